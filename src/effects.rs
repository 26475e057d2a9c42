//! What the decisions ask the transport to do, and what it tells them of the result.

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use snowshelf_connections::table::ConnectionStats;
use snowshelf_model::ids::{CallId, ConnectionId, Member, MonotonicMillis};
use snowshelf_model::protocol::peer::{PeerMessage, PeerStatus};
use std::net::SocketAddrV4;

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Method {
    Get,
    Post,
}

#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub enum Target {
    State,
    Cloud,
    /// A worker, for commands sent straight to it.
    Worker(SocketAddrV4),
}

#[derive(Clone, Debug)]
pub enum CallOutcome {
    Response {
        status: u16,
        body: Vec<u8>,
    },
    /// Not a byte of the request left this process.
    NotSent,
    /// No answer: it may have been carried out, or may still be.
    Unanswered,
}

#[derive(Clone, Debug)]
pub struct Response {
    pub status: u16,
    pub body: Vec<u8>,
    pub retry_after_s: Option<u64>,
}

impl Response {
    pub fn new(status: u16, body: Vec<u8>) -> Response {
        Response {
            status,
            body,
            retry_after_s: None,
        }
    }
    /// With a JSON body.
    pub fn json(status: u16, body: &serde_json::Value) -> Response {
        Response::new(status, body.to_string().into_bytes())
    }
    /// Tells why not.
    pub fn error(status: u16, why: &str) -> Response {
        Response::new(status, snowshelf_model::protocol::user::error_body(why))
    }
    /// Cannot be taken now: says so at once, and when to come back.
    pub fn later(status: u16, why: &str, after_s: u64) -> Response {
        Response {
            retry_after_s: Some(after_s.max(1)),
            ..Response::error(status, why)
        }
    }
}

#[derive(Clone, Debug)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub body: Vec<u8>,
}

#[derive(Debug)]
pub enum ControllerEvent {
    Request(ConnectionId, Request),
    CallDone(CallId, CallOutcome),
    PeerStatus(PeerStatus),
    /// A message of another controller that rules depend on.
    PeerMessage(PeerMessage),
    /// How full it is at this controller's doors.
    ConnectionTable(ConnectionStats),
    Tick,
}

#[derive(Debug)]
pub enum Effect {
    Respond(ConnectionId, Response),
    Call {
        id: CallId,
        target: Target,
        method: Method,
        path: String,
        body: Vec<u8>,
        timeout_ms: u64,
    },
    PeerStatus(Member, PeerStatus),
    PeerMessage(Member, PeerMessage),
}

/// Collects outputs while an input is worked on.
pub struct Effects {
    rng: SmallRng,
    pub now: MonotonicMillis,
    pub wall_ms: u64,
    next_call: u64,
    pub outputs: Vec<Effect>,
}

/// The longest pause between tries, whatever came before.
const LONGEST_PAUSE_MS: u64 = 4_000;

impl Effects {
    /// `seed` only spreads the controllers' pauses; nothing else depends on chance.
    pub fn new(seed: u64) -> Effects {
        Effects {
            rng: SmallRng::seed_from_u64(seed),
            now: MonotonicMillis(0),
            wall_ms: 0,
            next_call: 0,
            outputs: Vec::new(),
        }
    }

    /// When to try again after `failures` in a row: pauses double from `first_ms`, and are drawn
    /// from half to one and a half of that, so that controllers do not come back in step.
    pub fn retry_at(&mut self, first_ms: u64, failures: u32) -> MonotonicMillis {
        let pause = (first_ms << failures.min(6)).min(LONGEST_PAUSE_MS.max(first_ms));
        let drawn = self.rng.random_range(pause / 2..=pause + pause / 2);
        self.now.plus(drawn)
    }

    pub fn call(
        &mut self,
        target: Target,
        method: Method,
        path: String,
        body: Vec<u8>,
        timeout_ms: u64,
    ) -> CallId {
        self.next_call += 1;
        let id = CallId(self.next_call);
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
    pub fn respond(&mut self, conn: ConnectionId, response: Response) {
        self.outputs.push(Effect::Respond(conn, response));
    }
}
