//! Requests to the state service, the cloud and single workers, and the connections they go over.

use super::{Net, SockId};
use crate::effects::{CallOutcome, ControllerEvent, Target};
use crate::transport::http::{self, Parsed};
use crate::transport::socket::{ReadEnd, Socket};
use calloop::RegistrationToken;
use snowshelf_model::ids::{CallId, MonotonicMillis};
use std::net::SocketAddrV4;

/// A connection of ours on which nothing happens for so long is closed.
const IDLE_MS: u64 = 30_000;
/// Connections to the state service at a time: watches, a write for each part, reads and polls.
const STATE_CONNS: usize = 16;
/// The same to the cloud, and to a worker.
const OTHER_CONNS: usize = 4;
/// Workers that are asked something at a time: one, and those before it that did not answer.
const WORKERS_ASKED: usize = 4;
/// All connections that this process opens itself, but for those to other controllers.
pub(super) const OWN_CONNS: usize = STATE_CONNS + OTHER_CONNS + WORKERS_ASKED;

pub(super) struct Calling {
    socket: Socket,
    fencing_token: RegistrationToken,
    target: Target,
    call: Option<CallId>,
    idle_since: MonotonicMillis,
}

pub(super) struct Call {
    pub(super) bytes: Vec<u8>,
    pub(super) deadline: MonotonicMillis,
    pub(super) on: Option<SockId>,
}

impl Net {
    pub(super) fn address(&self, target: Target) -> SocketAddrV4 {
        match target {
            Target::KvStore => self.state,
            Target::Cloud => self.cloud,
            Target::Worker(address) => address,
        }
    }

    pub(super) fn start_calls(&mut self, target: Target) {
        let most = match target {
            Target::KvStore => STATE_CONNS,
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
                        self.call_ends(id, CallOutcome::NotSent);
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
        let fencing_token = self.register(&socket, id, Net::calling_ready)?;
        let calling = Calling {
            socket,
            fencing_token,
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
                self.call_ends(call, CallOutcome::Response { status, body });
                self.start_calls(target);
            }
            Parsed::Partial if end == ReadEnd::Open => {}
            Parsed::Partial | Parsed::Bad(_) => self.drop_calling(id),
        }
    }

    /// Closes an outgoing connection; the call on it, if any, ends without an answer.
    pub(super) fn drop_calling(&mut self, id: SockId) {
        let Some(conn) = self.calling.remove(&id) else {
            return;
        };
        self.handle.remove(conn.fencing_token);
        if let Some(call) = conn.call {
            let result = if conn.socket.connecting {
                CallOutcome::NotSent
            } else {
                CallOutcome::Unanswered
            };
            self.call_ends(call, result);
        }
        self.start_calls(conn.target);
    }

    pub(super) fn call_ends(&mut self, id: CallId, result: CallOutcome) {
        if self.calls.remove(&id).is_some() {
            // Fed from the loop, never from inside the controller's own outputs.
            self.inputs.push_back(ControllerEvent::CallDone(id, result));
        }
    }

    /// Closes connections of ours that nobody uses.
    pub(super) fn sweep_calling(&mut self, now: MonotonicMillis) {
        let idle: Vec<SockId> = self
            .calling
            .iter()
            .filter(|(_, c)| c.call.is_none() && now.since(c.idle_since) > IDLE_MS)
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
    }
}
