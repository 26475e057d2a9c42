//! What the controller asks the transport to do, and the events that the transport delivers. The controller itself does no
//! I/O: it takes a [`ControllerEvent`] and returns [`Effect`]s.

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use snowshelf_connections::table::ConnectionStats;
use snowshelf_model::ids::{CallId, ConnectionId, Member, MonotonicMillis};
use snowshelf_model::protocol::peer::{PeerMessage, PeerStatus};
use std::net::SocketAddrV4;

/// The longest pause between retries, unless the first one is longer already.
const MAX_RETRY_PAUSE_MS: u64 = 4_000;
/// After so many failures in a row the pause between retries grows no further.
const MAX_RETRY_DOUBLINGS: u32 = 6;
/// The method of an HTTP call.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Method {
    /// Reads.
    Get,
    /// Changes something.
    Post,
}

/// Where an HTTP call goes.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub enum Target {
    /// The key-value store.
    KvStore,
    /// The cloud's API.
    Cloud,
    /// A worker, for commands sent straight to it.
    Worker(SocketAddrV4),
}

/// What came of an HTTP call.
#[derive(Clone, Debug)]
pub enum CallOutcome {
    /// The target responded.
    Response {
        /// The HTTP status.
        status: u16,
        /// The body.
        body: Vec<u8>,
    },
    /// Not a byte of the request left this process.
    NotSent,
    /// No response: the request may have been carried out, or may still be.
    Unanswered,
}

/// The response to an HTTP request of a user, a worker or a health check.
#[derive(Clone, Debug)]
pub struct Response {
    /// The HTTP status.
    pub status: u16,
    /// The body.
    pub body: Vec<u8>,
    /// After how many seconds the client should retry.
    pub retry_after_s: Option<u64>,
}

impl Response {
    /// A response with any body.
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

    /// An error response that says why.
    #[must_use]
    pub fn error(status: u16, why: &str) -> Response {
        Response::new(status, snowshelf_model::protocol::user::error_body(why))
    }

    /// An error response to a request that cannot be served now, with when to retry.
    #[must_use]
    pub fn later(status: u16, why: &str, after_s: u64) -> Response {
        Response {
            retry_after_s: Some(after_s.max(1)),
            ..Response::error(status, why)
        }
    }
}

/// An HTTP request of a user, a worker or a health check.
#[derive(Clone, Debug)]
pub struct Request {
    /// The method, in upper case.
    pub method: String,
    /// The path with its query.
    pub path: String,
    /// The body.
    pub body: Vec<u8>,
}

/// What happened that the controller must handle.
#[derive(Debug)]
pub enum ControllerEvent {
    /// A request came on this connection, which waits for [`Effect::Respond`].
    Request(ConnectionId, Request),
    /// An HTTP call has ended.
    CallDone(CallId, CallOutcome),
    /// The status of another controller, by which nothing is decided that must be safe.
    PeerStatus(PeerStatus),
    /// A message of another controller that safety depends on.
    PeerMessage(PeerMessage),
    /// How many connections this controller has.
    ConnectionStats(ConnectionStats),
    /// Time for the periodic work.
    Tick,
}

/// What the transport must do.
#[derive(Debug)]
pub enum Effect {
    /// Respond to a request.
    Respond(ConnectionId, Response),
    /// Call the key-value store, the cloud or a worker.
    Call {
        /// Names the call in [`ControllerEvent::CallDone`].
        id: CallId,
        /// Where it goes.
        target: Target,
        /// The HTTP method.
        method: Method,
        /// The path with its query.
        path: String,
        /// The body.
        body: Vec<u8>,
        /// After this time without a response the call is given up.
        timeout_ms: u64,
    },
    /// Send this controller's status to another one.
    PeerStatus(Member, PeerStatus),
    /// Send a message that safety depends on to another controller.
    PeerMessage(Member, PeerMessage),
}

/// Collects the effects of one event, and tells its time.
pub struct Effects {
    rng: SmallRng,
    /// The time of the event, by the monotonic clock.
    pub now: MonotonicMillis,
    /// The time of the event, by the wall clock, in milliseconds since 1970.
    pub wall_ms: u64,
    last_call: u64,
    /// The effects so far, in order.
    pub outputs: Vec<Effect>,
}

impl Effects {
    /// No effects yet. The seed only spreads the controllers' retries; nothing else is random.
    #[must_use]
    pub fn new(seed: u64) -> Effects {
        Effects {
            rng: SmallRng::seed_from_u64(seed),
            now: MonotonicMillis(0),
            wall_ms: 0,
            last_call: 0,
            outputs: Vec::new(),
        }
    }

    /// When to retry after so many failures in a row: exponential backoff from `first_ms`, with a jitter of half the
    /// pause each way, so that controllers do not retry in step.
    #[must_use]
    pub fn retry_at(&mut self, first_ms: u64, failures: u32) -> MonotonicMillis {
        let doubled_ms = first_ms << failures.min(MAX_RETRY_DOUBLINGS);
        let pause_ms = doubled_ms.min(MAX_RETRY_PAUSE_MS.max(first_ms));
        let jittered_ms = self
            .rng
            .random_range(pause_ms / 2..=pause_ms + pause_ms / 2);
        self.now.plus(jittered_ms)
    }

    /// Makes an HTTP call; its outcome comes as [`ControllerEvent::CallDone`].
    pub fn call(
        &mut self,
        target: Target,
        method: Method,
        path: String,
        body: Vec<u8>,
        timeout_ms: u64,
    ) -> CallId {
        self.last_call += 1;
        let id = CallId(self.last_call);
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
    pub fn respond(&mut self, conn: ConnectionId, response: Response) {
        self.outputs.push(Effect::Respond(conn, response));
    }
}
