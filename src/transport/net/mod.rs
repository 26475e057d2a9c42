//! The loop: server connections, outgoing calls and peer links around one controller.

mod calling;
mod peers;
mod served;

use super::http;
use super::socket::Socket;
use crate::coordination::controller::{Controller, TICK_MS};
use crate::effects::{CallOutcome, ControllerEvent, Effect, Target};
use crate::operator::OperatorSettings;
use crate::settings::Settings;
use calling::{Call, Calling, OWN_CONNS};
use calloop::generic::Generic;
use calloop::timer::{TimeoutAction, Timer};
use calloop::{EventLoop, Interest, LoopHandle, Mode, PostAction, RegistrationToken};
use peers::{PeerIn, PeerOut};
use served::Served;
use snowshelf_connections::limits::{ConnectionLimits, ProcessLimits};
use snowshelf_connections::table::{ConnectionStats, ConnectionTable};
use snowshelf_model::ids::{CallId, ConnectionId, Member, MonotonicMillis};
use std::collections::{HashMap, VecDeque};
use std::net::{SocketAddrV4, TcpListener};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct SockId(u64);

struct Net {
    handle: LoopHandle<'static, Net>,
    controller: Controller,
    started: Instant,
    next: u64,
    served: HashMap<SockId, Served>,
    waiting: HashMap<ConnectionId, SockId>,
    calling: HashMap<SockId, Calling>,
    calls: HashMap<CallId, Call>,
    queued: HashMap<Target, VecDeque<CallId>>,
    peers_out: HashMap<Member, PeerOut>,
    peers_in: HashMap<SockId, PeerIn>,
    state: SocketAddrV4,
    cloud: SocketAddrV4,
    bounds: ConnectionLimits,
    connections: ConnectionTable<SockId>,
    /// Bytes of requests that have come in part only.
    underway_bytes: usize,
    stats: ConnectionStats,
    told_at: MonotonicMillis,
    swept: MonotonicMillis,
    inputs: VecDeque<ControllerEvent>,
}

/// Runs a controller; returns only on an error that nothing can be done about.
pub fn run(settings: Settings, ops: OperatorSettings) -> Result<(), Box<dyn std::error::Error>> {
    let mut event_loop: EventLoop<Net> = EventLoop::try_new()?;
    let handle = event_loop.handle();
    let listener = TcpListener::bind(settings.serve_on)?;
    listener.set_nonblocking(true)?;
    let peer_listener = TcpListener::bind(settings.peer_listen)?;
    peer_listener.set_nonblocking(true)?;
    handle
        .insert_source(
            Generic::new(listener, Interest::READ, Mode::Level),
            |_, listener, net| {
                net.accept(listener);
                Ok(PostAction::Continue)
            },
        )
        .map_err(|e| e.error)?;
    handle
        .insert_source(
            Generic::new(peer_listener, Interest::READ, Mode::Level),
            |_, listener, net| {
                net.accept_peer(listener);
                Ok(PostAction::Continue)
            },
        )
        .map_err(|e| e.error)?;
    handle
        .insert_source(
            Timer::from_duration(Duration::from_millis(TICK_MS)),
            |_, _, net| {
                net.tick();
                TimeoutAction::ToDuration(Duration::from_millis(TICK_MS))
            },
        )
        .map_err(|e| e.error)?;
    let started = Instant::now();
    let limits = &settings.deployment.limits;
    let bounds = ConnectionLimits::of(ProcessLimits {
        sockets: limits.sockets,
        mem_bytes: (limits.mem_mb * 1024.0 * 1024.0) as usize,
        nodes: settings.deployment.nodes as usize,
        own: OWN_CONNS,
    });
    tracing::info!(?bounds, "connection limits");
    let peers_out = settings
        .peers
        .iter()
        .map(|p| {
            let out = PeerOut {
                address: p.address,
                socket: None,
                retry_at: MonotonicMillis(0),
                since: MonotonicMillis(0),
            };
            (Member::new(&p.member), out)
        })
        .collect();
    let mut net = Net {
        handle,
        state: settings.outside.state,
        cloud: settings.outside.cloud,
        controller: Controller::new(settings, ops, MonotonicMillis(1)),
        started,
        next: 0,
        served: HashMap::new(),
        waiting: HashMap::new(),
        calling: HashMap::new(),
        calls: HashMap::new(),
        queued: HashMap::new(),
        peers_out,
        peers_in: HashMap::new(),
        bounds,
        connections: ConnectionTable::new(bounds),
        underway_bytes: 0,
        stats: ConnectionStats::default(),
        told_at: MonotonicMillis(0),
        swept: MonotonicMillis(0),
        inputs: VecDeque::new(),
    };
    net.tick();
    event_loop.run(None, &mut net, |_| {})?;
    Ok(())
}

impl Net {
    fn now(&self) -> MonotonicMillis {
        MonotonicMillis(self.started.elapsed().as_millis() as u64 + 1)
    }

    fn id(&mut self) -> SockId {
        self.next += 1;
        SockId(self.next)
    }

    /// Feeds the controller and carries out what it asks for, until nothing is left.
    fn feed(&mut self, input: ControllerEvent) {
        self.inputs.push_back(input);
        while let Some(input) = self.inputs.pop_front() {
            let now = self.now();
            let wall = SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .map_or(0, |d| d.as_millis() as u64);
            for output in self.controller.handle(input, now, wall) {
                self.carry_out(output, now);
            }
        }
    }

    fn carry_out(&mut self, output: Effect, now: MonotonicMillis) {
        match output {
            Effect::Respond(conn, response) => self.respond(conn, &response),
            Effect::Call {
                id,
                target,
                method,
                path,
                body,
                timeout_ms,
            } => {
                let bytes = http::write_request(method, &path, self.address(target), &body);
                let call = Call {
                    bytes,
                    deadline: now.plus(timeout_ms),
                    on: None,
                };
                self.calls.insert(id, call);
                self.queued.entry(target).or_default().push_back(id);
                self.start_calls(target);
            }
            Effect::PeerStatus(member, hint) => self.send_peer(&member, &hint, now),
            Effect::PeerMessage(member, proof) => self.send_peer(&member, &proof, now),
        }
    }

    fn register(
        &mut self,
        socket: &Socket,
        id: SockId,
        on: fn(&mut Net, SockId),
    ) -> Option<RegistrationToken> {
        let source = Generic::new(socket.stream.clone(), Interest::BOTH, Mode::Edge);
        self.handle
            .insert_source(source, move |_, _, net| {
                on(net, id);
                net.drain_inputs();
                Ok(PostAction::Continue)
            })
            .map_err(|e| tracing::error!(error = %e.error, "socket registration failed"))
            .ok()
    }

    fn drain_inputs(&mut self) {
        while let Some(input) = self.inputs.pop_front() {
            self.feed(input);
        }
    }

    fn tick(&mut self) {
        let now = self.now();
        let late: Vec<CallId> = self
            .calls
            .iter()
            .filter(|(_, c)| c.deadline <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in late {
            match self.calls.get(&id).and_then(|c| c.on) {
                Some(on) => self.drop_calling(on),
                None => self.call_ends(id, CallOutcome::NotSent),
            }
        }
        self.feed(ControllerEvent::Tick);
        self.drain_inputs();
        if now.since(self.swept) > 1_000 {
            self.swept = now;
            self.sweep_served(now);
            self.sweep_calling(now);
            self.drain_inputs();
            self.tell_doors(now);
        }
    }

    /// Tells the controller, for operators, and now and then the log, how full it is here.
    fn tell_doors(&mut self, now: MonotonicMillis) {
        let stats = self.connections.stats();
        let turned = |t: &ConnectionStats| (t.refused, t.let_go, t.asked_anew, t.given_up);
        if turned(&stats) != turned(&self.stats) && now.since(self.told_at) >= 5_000 {
            (self.stats, self.told_at) = (stats, now);
            tracing::info!(?stats, "connections refused or closed");
        }
        self.feed(ControllerEvent::ConnectionStats(stats));
    }
}
