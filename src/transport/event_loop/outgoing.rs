//! Calls to the key-value store, the cloud and individual workers, and the pool of connections for them.

use super::{SocketId, Transport};
use crate::effects::{CallOutcome, ControllerEvent, Target};
use crate::transport::http::{self, Parsed};
use crate::transport::socket::{ReadStatus, Socket};
use calloop::RegistrationToken;
use snowshelf_model::ids::{CallId, MonotonicMillis};
use std::collections::VecDeque;
use std::net::SocketAddrV4;

/// Time without a call after which an outgoing connection is closed, in milliseconds.
const IDLE_TIMEOUT_MS: u64 = 30_000;
/// Maximum connections to the key-value store: for watches, one write per shard, reads and polls.
const MAX_KV_CONNECTIONS: usize = 16;
/// Maximum connections to the cloud, and to each worker.
const MAX_OTHER_CONNECTIONS: usize = 4;
/// Assumed maximum of workers called at a time: the current one, and earlier ones that did not respond. Not
/// enforced; only counted in `MAX_OUTGOING_CONNECTIONS`, with one connection each.
const MAX_CALLED_WORKERS: usize = 4;
/// Number of connections reserved for those that this process opens, except to other controllers: the limit
/// on client connections leaves room for them.
pub(super) const MAX_OUTGOING_CONNECTIONS: usize =
    MAX_KV_CONNECTIONS + MAX_OTHER_CONNECTIONS + MAX_CALLED_WORKERS;
/// Capacity in bytes above which a receive buffer is freed after a response.
const RETAINED_INPUT_BYTES: usize = 64 * 1024;

/// A connection to an external service or a worker, used by one call at a time.
pub(super) struct OutgoingConnection {
    socket: Socket,
    registration: RegistrationToken,
    target: Target,
    /// The call that uses the connection; `None` if it is idle.
    call: Option<CallId>,
    idle_since: MonotonicMillis,
}

/// A call that is queued or awaits its response.
pub(super) struct PendingCall {
    /// The serialized request; empty once it has moved to the connection's output.
    request: Vec<u8>,
    deadline: MonotonicMillis,
    /// The connection that the call uses; `None` while it is queued.
    socket: Option<SocketId>,
}

impl PendingCall {
    pub(super) fn new(request: Vec<u8>, deadline: MonotonicMillis) -> PendingCall {
        PendingCall {
            request,
            deadline,
            socket: None,
        }
    }
}

impl Transport {
    pub(super) fn address(&self, target: Target) -> SocketAddrV4 {
        match target {
            Target::KvStore => self.kv_address,
            Target::Cloud => self.cloud_address,
            Target::Worker(address) => address,
        }
    }

    /// Starts queued calls to a target while it has an idle connection or may open another one.
    pub(super) fn start_calls(&mut self, target: Target) {
        loop {
            let queue = self.queued_calls.get_mut(&target);
            let Some(id) = queue.and_then(VecDeque::pop_front) else {
                return;
            };
            if !self.calls.contains_key(&id) {
                continue;
            }
            if let Some(socket) = self.idle_connection(target) {
                self.send_call(id, socket);
            } else if !self.may_connect(target) {
                self.queued_calls.entry(target).or_default().push_front(id);
                return;
            } else if let Some(socket) = self.connect(target) {
                self.send_call(id, socket);
            } else {
                self.finish_call(id, CallOutcome::NotSent);
            }
        }
    }

    fn idle_connection(&self, target: Target) -> Option<SocketId> {
        self.outgoing
            .iter()
            .find(|(_, connection)| connection.target == target && connection.call.is_none())
            .map(|(socket, _)| *socket)
    }

    fn may_connect(&self, target: Target) -> bool {
        let max = match target {
            Target::KvStore => MAX_KV_CONNECTIONS,
            Target::Cloud | Target::Worker(_) => MAX_OTHER_CONNECTIONS,
        };
        let connections = self.outgoing.values();
        connections.filter(|c| c.target == target).count() < max
    }

    fn send_call(&mut self, id: CallId, socket: SocketId) {
        let call = self.calls.get_mut(&id);
        let connection = self.outgoing.get_mut(&socket);
        if let (Some(call), Some(connection)) = (call, connection) {
            call.socket = Some(socket);
            connection.call = Some(id);
            connection.socket.output = std::mem::take(&mut call.request);
            if !connection.socket.send() {
                self.drop_outgoing(socket);
            }
        }
    }

    fn connect(&mut self, target: Target) -> Option<SocketId> {
        let socket = Socket::connect(self.address(target)).ok()?;
        let id = self.next_socket_id();
        let registration = self.register(&socket, id, Transport::outgoing_ready)?;
        let connection = OutgoingConnection {
            socket,
            registration,
            target,
            call: None,
            idle_since: self.now(),
        };
        self.outgoing.insert(id, connection);
        Some(id)
    }

    fn outgoing_ready(&mut self, id: SocketId) {
        let Some(connection) = self.outgoing.get_mut(&id) else {
            return;
        };
        match connection.socket.finish_connect() {
            Ok(true) => {}
            Ok(false) => return,
            Err(_) => {
                self.drop_outgoing(id);
                return;
            }
        }
        if !connection.socket.send() {
            self.drop_outgoing(id);
            return;
        }
        let read_status = connection
            .socket
            .receive(http::MAX_RESPONSE_BODY_BYTES + http::MAX_HEAD_BYTES);
        match connection.call {
            Some(call) => self.receive_response(id, call, read_status),
            // Data or a close on an idle connection makes it unusable.
            None if read_status != ReadStatus::Open || !connection.socket.input.is_empty() => {
                self.drop_outgoing(id);
            }
            None => {}
        }
    }

    /// Parses the bytes received for a call. If the response is complete, finishes the call and starts queued
    /// calls to the same target. Closes the connection if it cannot be reused; if the response is invalid or
    /// can no longer become complete, closing finishes the call without a response.
    fn receive_response(&mut self, id: SocketId, call: CallId, read_status: ReadStatus) {
        let now = self.now();
        let Some(connection) = self.outgoing.get_mut(&id) else {
            return;
        };
        let socket = &mut connection.socket;
        match http::parse_response(&socket.input, read_status == ReadStatus::Closed) {
            Parsed::Complete {
                message: response,
                consumed,
                close,
            } => {
                socket.input.drain(..consumed);
                connection.call = None;
                connection.idle_since = now;
                let target = connection.target;
                let unusable = close || read_status != ReadStatus::Open || !socket.input.is_empty();
                if socket.input.capacity() > RETAINED_INPUT_BYTES {
                    socket.input = Vec::new();
                }
                if unusable {
                    self.drop_outgoing(id);
                }
                let outcome = CallOutcome::Response {
                    status: response.status,
                    body: response.body,
                };
                self.finish_call(call, outcome);
                self.start_calls(target);
            }
            Parsed::Partial if read_status == ReadStatus::Open => {}
            Parsed::Partial | Parsed::Invalid(_) => self.drop_outgoing(id),
        }
    }

    /// Closes an outgoing connection. The call on it, if any, finishes without a response.
    fn drop_outgoing(&mut self, id: SocketId) {
        let Some(connection) = self.outgoing.remove(&id) else {
            return;
        };
        self.handle.remove(connection.registration);
        if let Some(call) = connection.call {
            let outcome = if connection.socket.connecting {
                CallOutcome::NotSent
            } else {
                CallOutcome::Unanswered
            };
            self.finish_call(call, outcome);
        }
        self.start_calls(connection.target);
    }

    fn finish_call(&mut self, id: CallId, outcome: CallOutcome) {
        if self.calls.remove(&id).is_some() {
            // The event is queued, because this may run while the effects of another event are being
            // executed.
            self.events
                .push_back(ControllerEvent::CallDone(id, outcome));
        }
    }

    /// Finishes the calls whose deadline has passed.
    pub(super) fn time_out_calls(&mut self, now: MonotonicMillis) {
        let expired: Vec<CallId> = self
            .calls
            .iter()
            .filter(|(_, call)| call.deadline <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            match self.calls.get(&id).and_then(|call| call.socket) {
                Some(socket) => self.drop_outgoing(socket),
                None => self.finish_call(id, CallOutcome::NotSent),
            }
        }
    }

    /// Closes idle outgoing connections, and starts queued calls.
    pub(super) fn close_idle_outgoing(&mut self, now: MonotonicMillis) {
        let idle: Vec<SocketId> = self
            .outgoing
            .iter()
            .filter(|(_, c)| c.call.is_none() && now.since(c.idle_since) > IDLE_TIMEOUT_MS)
            .map(|(id, _)| *id)
            .collect();
        for id in idle {
            self.drop_outgoing(id);
        }
        let targets: Vec<Target> = self.queued_calls.keys().copied().collect();
        for target in targets {
            self.start_calls(target);
        }
        self.queued_calls.retain(|_, queue| !queue.is_empty());
    }
}
