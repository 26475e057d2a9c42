//! The table of client connections, with the kind of each client and when it became idle. It decides
//! which connection is closed for a new one.

use crate::limits::ConnectionLimits;
use serde::Serialize;
use snowshelf_model::ids::MonotonicMillis;
use std::collections::{BTreeSet, HashMap};
use std::hash::Hash;

/// The kind of a client, determined by the last request on its connection.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub enum ClientKind {
    /// No request has been received yet.
    Unidentified,
    /// A load balancer or an operator that requests the readiness.
    Probe,
    /// A user of the job API or an operator.
    User,
    /// A worker that sends heartbeats.
    Worker,
}

const KIND_COUNT: usize = 4;
const KINDS: [ClientKind; KIND_COUNT] = [
    ClientKind::Unidentified,
    ClientKind::Probe,
    ClientKind::User,
    ClientKind::Worker,
];

impl ClientKind {
    /// Returns the kind of client that requests this path.
    #[must_use]
    pub fn from_path(path: &str) -> ClientKind {
        match path.split('?').next() {
            Some("/checkin") => ClientKind::Worker,
            Some("/ready") => ClientKind::Probe,
            _ => ClientKind::User,
        }
    }
}

/// The admission decision on a new connection.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Admission<I> {
    /// The connection is accepted.
    Admitted,
    /// The connection is accepted, and this idle connection must be closed for it.
    Replaces(I),
    /// The connection is refused: there is no idle connection that may be closed.
    Refused,
}

struct Connection {
    kind: ClientKind,
    /// When the connection last became idle.
    idle_since: MonotonicMillis,
    /// Whether a request awaits its response.
    busy: bool,
}

/// Current connections and counters since the start of the process, for logs and operators.
#[derive(Clone, Copy, PartialEq, Eq, Default, Debug, Serialize)]
pub struct ConnectionStats {
    /// Current connections of workers.
    pub workers: usize,
    /// Current connections of users.
    pub users: usize,
    /// Current connections without a request so far.
    #[serde(rename = "strangers")]
    pub unidentified: usize,
    /// Limit on client connections.
    #[serde(rename = "most")]
    pub max_clients: usize,
    /// Number of refused connections.
    pub refused: u64,
    /// Number of idle connections closed for new ones.
    #[serde(rename = "let_go")]
    pub evicted: u64,
    /// Number of responses that closed a user's connection, so that the user reconnects.
    #[serde(rename = "asked_anew")]
    pub reconnects_requested: u64,
    /// Number of requests aborted because too many bytes of partial requests were buffered.
    #[serde(rename = "given_up")]
    pub partial_aborted: u64,
}

/// The client connections of a controller, by connection ID.
pub struct ConnectionTable<I> {
    limits: ConnectionLimits,
    connections: HashMap<I, Connection>,
    /// The idle connections of each kind, longest idle first.
    idle: [BTreeSet<(MonotonicMillis, I)>; KIND_COUNT],
    counts: [usize; KIND_COUNT],
    stats: ConnectionStats,
}

impl<I: Copy + Ord + Hash> ConnectionTable<I> {
    /// Creates an empty table.
    #[must_use]
    pub fn new(limits: ConnectionLimits) -> ConnectionTable<I> {
        ConnectionTable {
            limits,
            connections: HashMap::new(),
            idle: Default::default(),
            counts: [0; KIND_COUNT],
            stats: ConnectionStats::default(),
        }
    }

    /// Returns the number of connections of all kinds.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Whether the table contains no connection.
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    /// Returns the number of connections of a kind.
    pub fn count(&self, kind: ClientKind) -> usize {
        self.counts[kind as usize]
    }

    /// Returns the number of connections guaranteed to a kind.
    fn floor(&self, kind: ClientKind) -> usize {
        match kind {
            ClientKind::Unidentified => 0,
            ClientKind::Probe => self.limits.probe_floor,
            ClientKind::User => self.limits.user_floor,
            ClientKind::Worker => self.limits.worker_floor,
        }
    }

    fn longest_idle(&self, kind: ClientKind) -> Option<I> {
        self.idle[kind as usize].first().map(|(_, id)| *id)
    }

    /// Returns the connection to close when the table is full: the longest idle one of the kind that
    /// exceeds its floor by most. If no kind with idle connections exceeds its floor, it is the
    /// longest idle unidentified one.
    fn eviction_candidate(&self) -> Option<I> {
        let most_excess = KINDS
            .into_iter()
            .filter(|k| *k != ClientKind::Unidentified && !self.idle[*k as usize].is_empty())
            .map(|k| (self.count(k).saturating_sub(self.floor(k)), k))
            .filter(|(excess, _)| *excess > 0)
            .max();
        match most_excess {
            Some((_, kind)) => self.longest_idle(kind),
            None => self.longest_idle(ClientKind::Unidentified),
        }
    }

    /// Decides whether to accept a new connection, and adds it if so. A connection that it replaces is
    /// removed from the table.
    #[must_use = "a replaced connection must be closed, and a refused one dropped"]
    pub fn admit(&mut self, id: I, now: MonotonicMillis) -> Admission<I> {
        let unidentified_full =
            self.count(ClientKind::Unidentified) >= self.limits.max_unidentified;
        let replaced = if unidentified_full {
            // Unidentified connections at their limit replace only each other.
            Some(self.longest_idle(ClientKind::Unidentified))
        } else if self.len() >= self.limits.max_clients {
            Some(self.eviction_candidate())
        } else {
            None
        };
        let admission = match replaced {
            None => Admission::Admitted,
            Some(Some(other)) => {
                self.remove(other);
                self.stats.evicted += 1;
                Admission::Replaces(other)
            }
            Some(None) => {
                self.stats.refused += 1;
                return Admission::Refused;
            }
        };
        self.counts[ClientKind::Unidentified as usize] += 1;
        self.idle[ClientKind::Unidentified as usize].insert((now, id));
        let connection = Connection {
            kind: ClientKind::Unidentified,
            idle_since: now,
            busy: false,
        };
        self.connections.insert(id, connection);
        admission
    }

    /// Records that a request was received: the connection is busy, and its kind may change.
    pub fn request_started(&mut self, id: I, kind: ClientKind) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        self.idle[connection.kind as usize].remove(&(connection.idle_since, id));
        self.counts[connection.kind as usize] -= 1;
        self.counts[kind as usize] += 1;
        (connection.kind, connection.busy) = (kind, true);
    }

    /// Whether the connection must be closed after the response that is about to be sent: it is a user's,
    /// and the table is nearly full. Users can reconnect without harm, possibly to a controller with more
    /// capacity. Called once for each response, because the statistics count the responses that close.
    #[must_use]
    pub fn closes_after_response(&mut self, id: I) -> bool {
        let is_user = self
            .connections
            .get(&id)
            .is_some_and(|c| c.kind == ClientKind::User);
        let closes = is_user && self.len() >= self.limits.reconnect_threshold;
        self.stats.reconnects_requested += u64::from(closes);
        closes
    }

    /// Records that the response was written: the connection is idle.
    pub fn request_finished(&mut self, id: I, now: MonotonicMillis) {
        if let Some(connection) = self.connections.get_mut(&id).filter(|c| c.busy) {
            (connection.busy, connection.idle_since) = (false, now);
            self.idle[connection.kind as usize].insert((now, id));
        }
    }

    /// Removes a closed connection.
    pub fn remove(&mut self, id: I) {
        if let Some(connection) = self.connections.remove(&id) {
            self.counts[connection.kind as usize] -= 1;
            self.idle[connection.kind as usize].remove(&(connection.idle_since, id));
        }
    }

    /// Whether a partial request must be aborted, given the bytes buffered for all partial requests.
    /// Counts the aborted requests.
    #[must_use]
    pub fn aborts_partial(&mut self, partial_bytes: usize) -> bool {
        let exceeded = partial_bytes > self.limits.max_partial_bytes;
        self.stats.partial_aborted += u64::from(exceeded);
        exceeded
    }

    /// Returns the current connections and the counters since the start of the process.
    #[must_use]
    pub fn stats(&self) -> ConnectionStats {
        ConnectionStats {
            workers: self.count(ClientKind::Worker),
            users: self.count(ClientKind::User),
            unidentified: self.count(ClientKind::Unidentified),
            max_clients: self.limits.max_clients,
            ..self.stats
        }
    }
}
