//! The loop: server connections, outgoing calls and peer links around one controller.

use super::http::{self, Parsed};
use super::socket::{ReadEnd, Socket};
use crate::coordination::controller::{Controller, TICK_MS};
use crate::operator::OperatorSettings;
use crate::outbox::{CallResult, Input, Output, Response, Target};
use crate::settings::Settings;
use calloop::generic::Generic;
use calloop::timer::{TimeoutAction, Timer};
use calloop::{EventLoop, Interest, LoopHandle, Mode, PostAction, RegistrationToken};
use prost::Message;
use snowshelf_model::ids::{CallId, ConnId, Member, Millis};
use snowshelf_model::protocol::peer::Hint;
use std::collections::{HashMap, VecDeque};
use std::net::{SocketAddrV4, TcpListener};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A connection on which nothing happens for so long is closed.
const IDLE_MS: u64 = 60_000;
/// A request must be complete within this time of its first byte.
const SLOW_MS: u64 = 10_000;
const MAX_FRAME: usize = 64 * 1024;
const STATE_CONNS: usize = 16;
const OTHER_CONNS: usize = 4;
/// Peer messages are not gathered beyond this: they are only hints.
const PEER_BACKLOG: usize = 32 * 1024;

#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct SockId(u64);

struct Served {
    socket: Socket,
    token: RegistrationToken,
    waiting: Option<ConnId>,
    close: bool,
    active: Millis,
}

struct Calling {
    socket: Socket,
    token: RegistrationToken,
    target: Target,
    call: Option<CallId>,
    idle_since: Millis,
}

struct Call {
    bytes: Vec<u8>,
    deadline: Millis,
    on: Option<SockId>,
}

struct PeerOut {
    address: SocketAddrV4,
    socket: Option<(SockId, Socket, RegistrationToken)>,
    retry_at: Millis,
    since: Millis,
}

struct PeerIn {
    socket: Socket,
    token: RegistrationToken,
}

struct Net {
    handle: LoopHandle<'static, Net>,
    controller: Controller,
    started: Instant,
    next: u64,
    served: HashMap<SockId, Served>,
    waiting: HashMap<ConnId, SockId>,
    calling: HashMap<SockId, Calling>,
    calls: HashMap<CallId, Call>,
    queued: HashMap<Target, VecDeque<CallId>>,
    peers_out: HashMap<Member, PeerOut>,
    peers_in: HashMap<SockId, PeerIn>,
    state: SocketAddrV4,
    cloud: SocketAddrV4,
    max_served: usize,
    swept: Millis,
    inputs: VecDeque<Input>,
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
    // A connection may hold a whole request; leave most of the memory to everything else.
    let by_memory = (limits.mem_mb * 1024.0 * 1024.0 / 4.0 / (64.0 * 1024.0)) as usize;
    let max_served = (limits.sockets * 7 / 10).min(by_memory.max(256));
    let peers_out = settings
        .peers
        .iter()
        .map(|p| {
            let out = PeerOut {
                address: p.address,
                socket: None,
                retry_at: Millis(0),
                since: Millis(0),
            };
            (Member::new(&p.member), out)
        })
        .collect();
    let mut net = Net {
        handle,
        state: settings.outside.state,
        cloud: settings.outside.cloud,
        controller: Controller::new(settings, ops, Millis(1)),
        started,
        next: 0,
        served: HashMap::new(),
        waiting: HashMap::new(),
        calling: HashMap::new(),
        calls: HashMap::new(),
        queued: HashMap::new(),
        peers_out,
        peers_in: HashMap::new(),
        max_served,
        swept: Millis(0),
        inputs: VecDeque::new(),
    };
    net.tick();
    event_loop.run(None, &mut net, |_| {})?;
    Ok(())
}

impl Net {
    fn now(&self) -> Millis {
        Millis(self.started.elapsed().as_millis() as u64 + 1)
    }

    fn id(&mut self) -> SockId {
        self.next += 1;
        SockId(self.next)
    }

    /// Feeds the controller and carries out what it asks for, until nothing is left.
    fn feed(&mut self, input: Input) {
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

    fn carry_out(&mut self, output: Output, now: Millis) {
        match output {
            Output::Respond(conn, response) => self.respond(conn, &response),
            Output::Call {
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
            Output::Hint(member, hint) => self.send_hint(&member, &hint, now),
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
            .map_err(|e| tracing::error!(error = %e.error, "cannot watch a socket"))
            .ok()
    }

    // ---- server --------------------------------------------------------------------------

    fn accept(&mut self, listener: &TcpListener) {
        // A bounded number at a time: the other work goes on in between.
        for _ in 0..64 {
            let Ok((stream, _)) = listener.accept() else {
                return;
            };
            if self.served.len() >= self.max_served {
                // Refused at once, so that the other side can go elsewhere.
                drop(stream);
                continue;
            }
            let Ok(socket) = Socket::new(stream, false) else {
                continue;
            };
            let id = self.id();
            if let Some(token) = self.register(&socket, id, Net::served_ready) {
                let served = Served {
                    socket,
                    token,
                    waiting: None,
                    close: false,
                    active: self.now(),
                };
                self.served.insert(id, served);
                self.served_ready(id);
            }
        }
    }

    fn served_ready(&mut self, id: SockId) {
        let now = self.now();
        let Some(conn) = self.served.get_mut(&id) else {
            return;
        };
        conn.active = now;
        if !conn.socket.drain() {
            self.drop_served(id);
            return;
        }
        let most = http::MAX_HEAD + http::MAX_BODY + 16 * 1024;
        let end = conn.socket.fill(most);
        if end != ReadEnd::Open {
            // Whoever has closed waits for no answer.
            self.drop_served(id);
            return;
        }
        self.next_request(id);
    }

    fn next_request(&mut self, id: SockId) {
        let Some(conn) = self.served.get_mut(&id) else {
            return;
        };
        if conn.waiting.is_some() || conn.socket.input.is_empty() || conn.close {
            return;
        }
        match http::parse_request(&conn.socket.input) {
            Parsed::Partial => {}
            Parsed::Whole(request, used, close) => {
                conn.socket.input.drain(..used);
                conn.close = close;
                self.next += 1;
                let request_id = ConnId(self.next);
                conn.waiting = Some(request_id);
                self.waiting.insert(request_id, id);
                self.feed(Input::Request(request_id, request));
            }
            Parsed::Bad(status) => {
                conn.close = true;
                conn.socket.input.clear();
                let response = Response::error(status, "the request cannot be read");
                http::write_response(&mut conn.socket.output, &response, true);
                self.finish_write(id);
            }
        }
    }

    fn respond(&mut self, conn: ConnId, response: &Response) {
        let Some(id) = self.waiting.remove(&conn) else {
            return;
        };
        let Some(served) = self.served.get_mut(&id) else {
            return;
        };
        served.waiting = None;
        let close = served.close;
        http::write_response(&mut served.socket.output, response, close);
        let more = !served.socket.input.is_empty();
        self.finish_write(id);
        if more {
            self.handle.insert_idle(move |net| net.next_request(id));
        }
    }

    fn finish_write(&mut self, id: SockId) {
        let Some(served) = self.served.get_mut(&id) else {
            return;
        };
        let sound = served.socket.drain();
        if !sound || (served.close && served.socket.flushed() && served.waiting.is_none()) {
            self.drop_served(id);
        }
    }

    fn drop_served(&mut self, id: SockId) {
        if let Some(served) = self.served.remove(&id) {
            self.handle.remove(served.token);
            if let Some(conn) = served.waiting {
                self.waiting.remove(&conn);
            }
        }
    }

    // ---- outgoing calls ------------------------------------------------------------------

    fn address(&self, target: Target) -> SocketAddrV4 {
        match target {
            Target::State => self.state,
            Target::Cloud => self.cloud,
            Target::Worker(address) => address,
        }
    }

    fn start_calls(&mut self, target: Target) {
        let most = match target {
            Target::State => STATE_CONNS,
            _ => OTHER_CONNS,
        };
        loop {
            let Some(id) = self.queued.get_mut(&target).and_then(|q| q.pop_front()) else {
                return;
            };
            if !self.calls.contains_key(&id) {
                continue;
            }
            let idle = self
                .calling
                .iter()
                .find(|(_, c)| c.target == target && c.call.is_none())
                .map(|(s, _)| *s);
            let open = self.calling.values().filter(|c| c.target == target).count();
            let on = match idle {
                Some(on) => on,
                None if open < most => match self.connect(target) {
                    Some(on) => on,
                    None => {
                        self.call_ends(id, CallResult::NotSent);
                        continue;
                    }
                },
                None => {
                    self.queued.entry(target).or_default().push_front(id);
                    return;
                }
            };
            if let (Some(call), Some(conn)) = (self.calls.get_mut(&id), self.calling.get_mut(&on)) {
                call.on = Some(on);
                conn.call = Some(id);
                conn.socket.output = std::mem::take(&mut call.bytes);
                if !conn.socket.drain() {
                    self.drop_calling(on);
                }
            }
        }
    }

    fn connect(&mut self, target: Target) -> Option<SockId> {
        let socket = Socket::connect(self.address(target)).ok()?;
        let id = self.id();
        let token = self.register(&socket, id, Net::calling_ready)?;
        let calling = Calling {
            socket,
            token,
            target,
            call: None,
            idle_since: self.now(),
        };
        self.calling.insert(id, calling);
        Some(id)
    }

    fn calling_ready(&mut self, id: SockId) {
        let now = self.now();
        let Some(conn) = self.calling.get_mut(&id) else {
            return;
        };
        match conn.socket.finish_connect() {
            Ok(true) => {}
            Ok(false) => return,
            Err(_) => {
                self.drop_calling(id);
                return;
            }
        }
        if !conn.socket.drain() {
            self.drop_calling(id);
            return;
        }
        let end = conn.socket.fill(http::MAX_ANSWER + http::MAX_HEAD);
        let Some(call) = conn.call else {
            if end != ReadEnd::Open || !conn.socket.input.is_empty() {
                self.drop_calling(id);
            }
            return;
        };
        match http::parse_answer(&conn.socket.input, end == ReadEnd::Closed) {
            Parsed::Whole((status, body), used, close) => {
                conn.socket.input.drain(..used);
                conn.call = None;
                conn.idle_since = now;
                let target = conn.target;
                let spent = close || end != ReadEnd::Open || !conn.socket.input.is_empty();
                if conn.socket.input.capacity() > 64 * 1024 {
                    conn.socket.input = Vec::new();
                }
                if spent {
                    self.drop_calling(id);
                }
                self.call_ends(call, CallResult::Answer { status, body });
                self.start_calls(target);
            }
            Parsed::Partial if end == ReadEnd::Open => {}
            Parsed::Partial | Parsed::Bad(_) => self.drop_calling(id),
        }
    }

    /// Closes an outgoing connection; the call on it, if any, ends without an answer.
    fn drop_calling(&mut self, id: SockId) {
        let Some(conn) = self.calling.remove(&id) else {
            return;
        };
        self.handle.remove(conn.token);
        if let Some(call) = conn.call {
            let result = if conn.socket.connecting {
                CallResult::NotSent
            } else {
                CallResult::Lost
            };
            self.call_ends(call, result);
        }
        self.start_calls(conn.target);
    }

    fn call_ends(&mut self, id: CallId, result: CallResult) {
        if self.calls.remove(&id).is_some() {
            // Fed from the loop, never from inside the controller's own outputs.
            self.inputs.push_back(Input::CallDone(id, result));
        }
    }

    fn drain_inputs(&mut self) {
        while let Some(input) = self.inputs.pop_front() {
            self.feed(input);
        }
    }

    // ---- peers ---------------------------------------------------------------------------

    fn accept_peer(&mut self, listener: &TcpListener) {
        for _ in 0..16 {
            let Ok((stream, _)) = listener.accept() else {
                return;
            };
            if self.peers_in.len() >= 4 * (self.peers_out.len() + 1) {
                continue;
            }
            let Ok(socket) = Socket::new(stream, false) else {
                continue;
            };
            let id = self.id();
            if let Some(token) = self.register(&socket, id, Net::peer_in_ready) {
                self.peers_in.insert(id, PeerIn { socket, token });
                self.peer_in_ready(id);
            }
        }
    }

    fn peer_in_ready(&mut self, id: SockId) {
        let Some(peer) = self.peers_in.get_mut(&id) else {
            return;
        };
        let end = peer.socket.fill(2 * MAX_FRAME);
        let mut hints = Vec::new();
        let mut sound = end == ReadEnd::Open;
        loop {
            let input = &mut peer.socket.input;
            let mut view = input.as_slice();
            let Ok(size) = prost::decode_length_delimiter(&mut view) else {
                // A length takes ten bytes at most.
                sound &= input.len() < 10;
                break;
            };
            if size > MAX_FRAME {
                sound = false;
                break;
            }
            if view.len() < size {
                break;
            }
            let used = input.len() - view.len() + size;
            match Hint::decode(&view[..size]) {
                Ok(hint) => hints.push(hint),
                Err(error) => {
                    tracing::info!(%error, "odd message from a peer");
                    sound = false;
                }
            }
            input.drain(..used);
        }
        if !sound && let Some(peer) = self.peers_in.remove(&id) {
            self.handle.remove(peer.token);
        }
        for hint in hints {
            self.feed(Input::Hint(hint));
        }
    }

    fn send_hint(&mut self, member: &Member, hint: &Hint, now: Millis) {
        let Some(out) = self.peers_out.get_mut(member) else {
            return;
        };
        if out.socket.is_none() && now >= out.retry_at {
            out.retry_at = now.plus(1_000);
            out.since = now;
            let address = out.address;
            if let Ok(socket) = Socket::connect(address) {
                let id = self.id();
                if let Some(token) = self.register(&socket, id, Net::peer_out_ready)
                    && let Some(out) = self.peers_out.get_mut(member)
                {
                    out.socket = Some((id, socket, token));
                }
            }
        }
        let Some(out) = self.peers_out.get_mut(member) else {
            return;
        };
        let Some((_, socket, _)) = &mut out.socket else {
            return;
        };
        // A silent peer is left and tried again: its machine may have come back without us.
        let stuck = socket.connecting && now.since(out.since) > 3_000;
        if stuck || socket.backlog() > PEER_BACKLOG {
            if let Some((_, _, token)) = out.socket.take() {
                self.handle.remove(token);
            }
            return;
        }
        if !socket.connecting {
            socket
                .output
                .extend_from_slice(&hint.encode_length_delimited_to_vec());
            if !socket.drain()
                && let Some((_, _, token)) = out.socket.take()
            {
                self.handle.remove(token);
            }
        }
    }

    fn peer_out_ready(&mut self, id: SockId) {
        let Some(out) = self
            .peers_out
            .values_mut()
            .find(|o| o.socket.as_ref().is_some_and(|s| s.0 == id))
        else {
            return;
        };
        let Some((_, socket, _)) = &mut out.socket else {
            return;
        };
        let sound = match socket.finish_connect() {
            Ok(false) => return,
            Ok(true) => socket.drain() && socket.fill(1024) == ReadEnd::Open,
            Err(_) => false,
        };
        if !sound && let Some((_, _, token)) = out.socket.take() {
            self.handle.remove(token);
        }
    }

    // ---- time ----------------------------------------------------------------------------

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
                None => self.call_ends(id, CallResult::NotSent),
            }
        }
        self.feed(Input::Tick);
        self.drain_inputs();
        if now.since(self.swept) > 1_000 {
            self.swept = now;
            self.sweep(now);
        }
    }

    fn sweep(&mut self, now: Millis) {
        let idle: Vec<SockId> = self
            .served
            .iter()
            .filter(|(_, s)| {
                let quiet = now.since(s.active);
                s.waiting.is_none()
                    && (quiet > IDLE_MS || (!s.socket.input.is_empty() && quiet > SLOW_MS))
            })
            .map(|(id, _)| *id)
            .collect();
        for id in idle {
            self.drop_served(id);
        }
        let idle: Vec<SockId> = self
            .calling
            .iter()
            .filter(|(_, c)| c.call.is_none() && now.since(c.idle_since) > IDLE_MS / 2)
            .map(|(id, _)| *id)
            .collect();
        for id in idle {
            self.drop_calling(id);
        }
        let targets: Vec<Target> = self.queued.keys().copied().collect();
        for target in targets {
            self.start_calls(target);
        }
        self.queued.retain(|_, q| !q.is_empty());
        self.drain_inputs();
    }
}
