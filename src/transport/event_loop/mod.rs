//! The single-threaded event loop: a controller with its client connections, outgoing calls and peer links.

mod clients;
mod outgoing;
mod peers;

use super::http;
use super::socket::Socket;
use crate::coordination::controller::{Controller, TICK_MS};
use crate::effects::{ControllerEvent, Effect, Target};
use crate::operator::OperatorSettings;
use crate::settings::Settings;
use calloop::generic::Generic;
use calloop::timer::{TimeoutAction, Timer};
use calloop::{EventLoop, Interest, LoopHandle, Mode, PostAction, RegistrationToken};
use clients::ClientConnection;
use outgoing::{MAX_OUTGOING_CONNECTIONS, OutgoingConnection, PendingCall};
use peers::{PeerConnection, PeerLink};
use snowshelf_connections::limits::{ConnectionLimits, ProcessLimits};
use snowshelf_connections::table::{ConnectionStats, ConnectionTable};
use snowshelf_model::ids::{CallId, ConnectionId, Member, MonotonicMillis};
use std::collections::{HashMap, VecDeque};
use std::net::{SocketAddrV4, TcpListener};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Time between two sweeps, which close idle connections and update the statistics, in milliseconds.
const SWEEP_INTERVAL_MS: u64 = 1_000;
/// Shortest time between two log lines on refused and closed connections, in milliseconds.
const STATS_LOG_INTERVAL_MS: u64 = 5_000;
/// Bytes in a megabyte of the settings.
const BYTES_PER_MB: f64 = 1024.0 * 1024.0;

/// Why the event loop could not start or had to stop.
#[derive(Debug, thiserror::Error)]
pub enum TransportError {
    /// A socket could not be opened or listened on.
    #[error(transparent)]
    Socket(#[from] std::io::Error),
    /// The event loop itself failed.
    #[error(transparent)]
    EventLoop(#[from] calloop::Error),
}

/// Identifies an open socket of this process: a client, outgoing or peer connection.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct SocketId(u64);

/// The state shared by the event loop's callbacks: the controller and its connections.
struct Transport {
    handle: LoopHandle<'static, Transport>,
    controller: Controller,
    started: Instant,
    /// The last id assigned to a socket or a request.
    last_id: u64,
    clients: HashMap<SocketId, ClientConnection>,
    /// The sockets of the requests that await the controller's response.
    awaiting_response: HashMap<ConnectionId, SocketId>,
    outgoing: HashMap<SocketId, OutgoingConnection>,
    calls: HashMap<CallId, PendingCall>,
    /// Calls that wait for a free connection, by target, oldest first.
    queued_calls: HashMap<Target, VecDeque<CallId>>,
    peer_links: HashMap<Member, PeerLink>,
    peer_connections: HashMap<SocketId, PeerConnection>,
    kv_address: SocketAddrV4,
    cloud_address: SocketAddrV4,
    limits: ConnectionLimits,
    connections: ConnectionTable<SocketId>,
    /// Total bytes of partially received requests.
    partial_bytes: usize,
    /// The statistics in the last log line.
    logged_stats: ConnectionStats,
    stats_logged_at: MonotonicMillis,
    swept_at: MonotonicMillis,
    /// Events that the controller has not handled yet, oldest first.
    events: VecDeque<ControllerEvent>,
}

/// Runs a controller. Returns only on an unrecoverable error.
pub fn run(settings: Settings, operator: OperatorSettings) -> Result<(), TransportError> {
    let mut event_loop: EventLoop<'static, Transport> = EventLoop::try_new()?;
    let handle = event_loop.handle();
    listen(&handle, settings.serve_on, Transport::accept_clients)?;
    listen(&handle, settings.peer_listen, Transport::accept_peers)?;
    schedule_ticks(&handle)?;
    let mut transport = Transport::new(handle, settings, operator);
    transport.tick();
    event_loop.run(None, &mut transport, |_| {})?;
    Ok(())
}

/// Listens on an address; `accept` is called while connections wait to be accepted.
fn listen(
    handle: &LoopHandle<'static, Transport>,
    address: SocketAddrV4,
    accept: fn(&mut Transport, &TcpListener),
) -> Result<(), TransportError> {
    let listener = TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    let source = Generic::new(listener, Interest::READ, Mode::Level);
    handle
        .insert_source(source, move |_, listener, transport| {
            accept(transport, listener);
            Ok(PostAction::Continue)
        })
        .map_err(|failure| failure.error)?;
    Ok(())
}

/// Schedules the controller's periodic work every `TICK_MS`.
fn schedule_ticks(handle: &LoopHandle<'static, Transport>) -> Result<(), TransportError> {
    let interval = Duration::from_millis(TICK_MS);
    handle
        .insert_source(Timer::from_duration(interval), move |_, _, transport| {
            transport.tick();
            TimeoutAction::ToDuration(interval)
        })
        .map_err(|failure| failure.error)?;
    Ok(())
}

impl Transport {
    fn new(
        handle: LoopHandle<'static, Transport>,
        settings: Settings,
        operator: OperatorSettings,
    ) -> Transport {
        let started = Instant::now();
        let process = &settings.deployment.limits;
        let limits = ConnectionLimits::from(ProcessLimits {
            sockets: process.sockets,
            mem_bytes: (process.mem_mb * BYTES_PER_MB) as usize,
            controllers: settings.deployment.nodes as usize,
            outgoing: MAX_OUTGOING_CONNECTIONS,
        });
        tracing::info!(?limits, "connection limits");
        let peer_links = settings
            .peers
            .iter()
            .map(|peer| (Member::new(&peer.member), PeerLink::new(peer.address)))
            .collect();
        Transport {
            handle,
            kv_address: settings.outside.state,
            cloud_address: settings.outside.cloud,
            controller: Controller::new(settings, operator, MonotonicMillis(1)),
            started,
            last_id: 0,
            clients: HashMap::new(),
            awaiting_response: HashMap::new(),
            outgoing: HashMap::new(),
            calls: HashMap::new(),
            queued_calls: HashMap::new(),
            peer_links,
            peer_connections: HashMap::new(),
            limits,
            connections: ConnectionTable::new(limits),
            partial_bytes: 0,
            logged_stats: ConnectionStats::default(),
            stats_logged_at: MonotonicMillis(0),
            swept_at: MonotonicMillis(0),
            events: VecDeque::new(),
        }
    }

    /// The time since the start of the process. Starts at 1, because 0 means "never".
    fn now(&self) -> MonotonicMillis {
        MonotonicMillis(self.started.elapsed().as_millis() as u64 + 1)
    }

    fn next_socket_id(&mut self) -> SocketId {
        self.last_id += 1;
        SocketId(self.last_id)
    }

    /// Queues an event, then handles the queued events and executes their effects until the queue is empty.
    fn handle_event(&mut self, event: ControllerEvent) {
        self.events.push_back(event);
        while let Some(event) = self.events.pop_front() {
            let now = self.now();
            let wall_ms = SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .map_or(0, |since| since.as_millis() as u64);
            for effect in self.controller.handle(event, now, wall_ms) {
                self.execute(effect, now);
            }
        }
    }

    fn handle_queued_events(&mut self) {
        while let Some(event) = self.events.pop_front() {
            self.handle_event(event);
        }
    }

    fn execute(&mut self, effect: Effect, now: MonotonicMillis) {
        match effect {
            Effect::Respond(connection, response) => self.respond(connection, &response),
            Effect::Call {
                id,
                target,
                method,
                path,
                body,
                timeout_ms,
            } => {
                let bytes = http::write_request(method, &path, self.address(target), &body);
                let call = PendingCall::new(bytes, now.plus(timeout_ms));
                self.calls.insert(id, call);
                self.queued_calls.entry(target).or_default().push_back(id);
                self.start_calls(target);
            }
            Effect::PeerStatus(member, status) => self.send_to_peer(&member, &status, now),
            Effect::PeerMessage(member, message) => self.send_to_peer(&member, &message, now),
        }
    }

    /// Registers a socket with the event loop, which calls `on_ready` whenever the socket becomes readable
    /// or writable. Returns `None` if the registration fails.
    fn register(
        &mut self,
        socket: &Socket,
        id: SocketId,
        on_ready: fn(&mut Transport, SocketId),
    ) -> Option<RegistrationToken> {
        let source = Generic::new(socket.stream.clone(), Interest::BOTH, Mode::Edge);
        self.handle
            .insert_source(source, move |_, _, transport| {
                on_ready(transport, id);
                transport.handle_queued_events();
                Ok(PostAction::Continue)
            })
            .map_err(
                |failure| tracing::error!(error = %failure.error, "socket registration failed"),
            )
            .ok()
    }

    fn tick(&mut self) {
        let now = self.now();
        self.time_out_calls(now);
        self.handle_event(ControllerEvent::Tick);
        self.handle_queued_events();
        if now.since(self.swept_at) > SWEEP_INTERVAL_MS {
            self.swept_at = now;
            self.close_idle_clients(now);
            self.close_idle_outgoing(now);
            self.handle_queued_events();
            self.update_stats(now);
        }
    }

    /// Passes the statistics to the controller, which serves them to operators. Logs them if they have
    /// changed, at most once per `STATS_LOG_INTERVAL_MS`.
    fn update_stats(&mut self, now: MonotonicMillis) {
        let stats = self.connections.stats();
        let counters = |stats: &ConnectionStats| {
            [
                stats.refused,
                stats.evicted,
                stats.reconnects_requested,
                stats.partial_aborted,
            ]
        };
        let changed = counters(&stats) != counters(&self.logged_stats);
        if changed && now.since(self.stats_logged_at) >= STATS_LOG_INTERVAL_MS {
            self.logged_stats = stats;
            self.stats_logged_at = now;
            tracing::info!(?stats, "connections refused or closed");
        }
        self.handle_event(ControllerEvent::ConnectionStats(stats));
    }
}
