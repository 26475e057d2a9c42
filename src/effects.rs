//! The interface between controller and transport. The controller does no I/O: it handles a
//! [`ControllerEvent`] and returns [`Effect`]s, which the transport executes.

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use snowshelf_connections::table::ConnectionStats;
use snowshelf_model::ids::{CallId, ConnectionId, Member, MonotonicMillis};
use snowshelf_model::protocol::peer::{PeerMessage, PeerStatus};
use std::net::SocketAddrV4;

/// Longest pause between retries before jitter, in milliseconds. A longer initial pause is not shortened.
const MAX_RETRY_PAUSE_MS: u64 = 4_000;
/// Number of consecutive failures after which the pause between retries stops doubling.
const MAX_RETRY_DOUBLINGS: u32 = 6;

/// The method of an HTTP call.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Method {
    /// GET, without a body.
    Get,
    /// POST, with a body.
    Post,
}

/// The target of an HTTP call.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub enum Target {
    /// The key-value store.
    KvStore,
    /// The cloud's API.
    Cloud,
    /// A worker, for commands sent to it directly.
    Worker(SocketAddrV4),
}

/// The outcome of an HTTP call.
#[derive(Clone, Debug)]
pub enum CallOutcome {
    /// The target responded.
    Response {
        /// The HTTP status.
        status: u16,
        /// The body, with its transfer coding removed; empty if the response has none.
        body: Vec<u8>,
    },
    /// No byte of the request was sent.
    NotSent,
    /// No response was received. The request may have been executed, or may still be executed later.
    Unanswered,
}

/// The response to an HTTP request of a user, a worker or a probe.
#[derive(Clone, Debug)]
pub struct Response {
    /// The HTTP status.
    pub status: u16,
    /// The body, sent with the content type `application/json`.
    pub body: Vec<u8>,
    /// Seconds after which the client should retry, sent as `Retry-After`.
    pub retry_after_s: Option<u64>,
}

impl Response {
    /// A response with the given body and without `Retry-After`.
    #[must_use]
    pub fn new(status: u16, body: Vec<u8>) -> Response {
        Response {
            status,
            body,
            retry_after_s: None,
        }
    }

    /// A response with a JSON body.
    #[must_use]
    pub fn json(status: u16, body: &serde_json::Value) -> Response {
        Response::new(status, body.to_string().into_bytes())
    }

    /// An error response with a message for the client.
    #[must_use]
    pub fn error(status: u16, message: &str) -> Response {
        Response::new(status, snowshelf_model::protocol::user::error_body(message))
    }

    /// An error response to a request that cannot be served now, with the seconds after which to retry.
    #[must_use]
    pub fn retry_later(status: u16, message: &str, retry_after_s: u64) -> Response {
        Response {
            retry_after_s: Some(retry_after_s.max(1)),
            ..Response::error(status, message)
        }
    }
}

/// An HTTP request of a user, a worker or a probe.
#[derive(Clone, Debug)]
pub struct Request {
    /// The method, in upper case.
    pub method: String,
    /// The path with its query.
    pub path: String,
    /// The body, of at most 64 KiB; empty if the request has none.
    pub body: Vec<u8>,
}

/// An event that the transport delivers to the controller.
#[derive(Debug)]
pub enum ControllerEvent {
    /// A request was received. The connection waits for [`Effect::Respond`].
    Request(ConnectionId, Request),
    /// An HTTP call has finished.
    CallDone(CallId, CallOutcome),
    /// The status of another controller. No decision that must be safe depends on it.
    PeerStatus(PeerStatus),
    /// A message of another controller on which safety depends.
    PeerMessage(PeerMessage),
    /// The numbers of this controller's connections, and counts of those refused and closed.
    ConnectionStats(ConnectionStats),
    /// The periodic work is due.
    Tick,
}

/// An action that the transport must execute.
#[derive(Debug)]
pub enum Effect {
    /// Respond to a request.
    Respond(ConnectionId, Response),
    /// Call the key-value store, the cloud or a worker.
    Call {
        /// Identifies the call in [`ControllerEvent::CallDone`].
        id: CallId,
        /// The target of the call.
        target: Target,
        /// The HTTP method.
        method: Method,
        /// The path with its query.
        path: String,
        /// The body, sent only with a POST.
        body: Vec<u8>,
        /// The time after which the call is abandoned if it has no response, in milliseconds.
        timeout_ms: u64,
    },
    /// Send this controller's status to another one.
    PeerStatus(Member, PeerStatus),
    /// Send a message on which safety depends to another controller.
    PeerMessage(Member, PeerMessage),
}

/// Collects the effects of an event, and provides the time of the event and the jitter of retries.
pub struct Effects {
    rng: SmallRng,
    /// The time of the event, by the monotonic clock.
    pub now: MonotonicMillis,
    /// The time of the event, by the wall clock, in milliseconds since 1970.
    pub wall_ms: u64,
    last_call_id: u64,
    /// The effects collected so far, in order of execution.
    pub outputs: Vec<Effect>,
}

impl Effects {
    /// An empty collection. `seed` determines the jitter of retries, the only use of randomness.
    #[must_use]
    pub fn new(seed: u64) -> Effects {
        Effects {
            rng: SmallRng::seed_from_u64(seed),
            now: MonotonicMillis(0),
            wall_ms: 0,
            last_call_id: 0,
            outputs: Vec::new(),
        }
    }

    /// The time of the next retry after a number of consecutive failures: exponential backoff from
    /// `initial_ms`, with a jitter of up to half the pause in each direction, so that controllers do not retry
    /// at the same time.
    #[must_use]
    pub fn retry_at(&mut self, initial_ms: u64, failures: u32) -> MonotonicMillis {
        let doubled_ms = initial_ms << failures.min(MAX_RETRY_DOUBLINGS);
        let pause_ms = doubled_ms.min(MAX_RETRY_PAUSE_MS.max(initial_ms));
        let jittered_ms = self
            .rng
            .random_range(pause_ms / 2..=pause_ms + pause_ms / 2);
        self.now.plus(jittered_ms)
    }

    /// Requests an HTTP call. Its outcome is delivered as [`ControllerEvent::CallDone`].
    pub fn call(
        &mut self,
        target: Target,
        method: Method,
        path: String,
        body: Vec<u8>,
        timeout_ms: u64,
    ) -> CallId {
        self.last_call_id += 1;
        let id = CallId(self.last_call_id);
        self.outputs.push(Effect::Call {
            id,
            target,
            method,
            path,
            body,
            timeout_ms,
        });
        id
    }

    /// Responds to a request.
    pub fn respond(&mut self, connection: ConnectionId, response: Response) {
        self.outputs.push(Effect::Respond(connection, response));
    }
}
