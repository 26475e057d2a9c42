//! The table of client connections: the kind of each client and since when it is idle. Decides which connection is
//! closed for a new one.

use crate::limits::ConnectionLimits;
use serde::Serialize;
use snowshelf_model::ids::MonotonicMillis;
use std::collections::{BTreeSet, HashMap};
use std::hash::Hash;

/// The kind of a client, by the last request on its connection.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub enum ClientKind {
    /// No request has been received yet.
    Unidentified,
    /// A load balancer or an operator that reads the readiness.
    Probe,
    /// A user of the job API, or an operator.
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
    /// The kind of client that requests this path.
    #[must_use]
    pub fn from_path(path: &str) -> ClientKind {
        match path.split('?').next() {
            Some("/checkin") => ClientKind::Worker,
            Some("/ready") => ClientKind::Probe,
            _ => ClientKind::User,
        }
    }
}

/// The decision on a new connection.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Admission<I> {
    /// It is accepted.
    Admitted,
    /// It is accepted, and this idle connection is to be closed for it.
    Replaces(I),
    /// It is refused: no connection that may be closed is idle.
    Refused,
}

struct Connection {
    kind: ClientKind,
    /// When it last became idle.
    idle_since: MonotonicMillis,
    /// A request on it awaits its response.
    busy: bool,
}

/// Connections now, and counters since the start of the process, for the log and operators.
#[derive(Clone, Copy, PartialEq, Eq, Default, Debug, Serialize)]
pub struct ConnectionStats {
    /// Connections of workers.
    pub workers: usize,
    /// Connections of users.
    pub users: usize,
    /// Connections without a request so far.
    #[serde(rename = "strangers")]
    pub unidentified: usize,
    /// Most client connections at a time.
    #[serde(rename = "most")]
    pub max_clients: usize,
    /// Connections refused.
    pub refused: u64,
    /// Idle connections closed for new ones.
    #[serde(rename = "let_go")]
    pub evicted: u64,
    /// Responses with which a user was asked to reconnect.
    #[serde(rename = "asked_anew")]
    pub reconnects_requested: u64,
    /// Requests aborted because too many bytes of partial requests were buffered.
    #[serde(rename = "given_up")]
    pub partial_aborted: u64,
}

/// The client connections of a controller, by their identifiers.
pub struct ConnectionTable<I> {
    limits: ConnectionLimits,
    connections: HashMap<I, Connection>,
    /// The idle connections of each kind, the longest idle first.
    idle: [BTreeSet<(MonotonicMillis, I)>; KIND_COUNT],
    counts: [usize; KIND_COUNT],
    stats: ConnectionStats,
}

impl<I: Copy + Ord + Hash> ConnectionTable<I> {
    /// An empty table.
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

    /// The number of connections.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Whether there is no connection.
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    /// The number of connections of a kind.
    pub fn count(&self, kind: ClientKind) -> usize {
        self.counts[kind as usize]
    }

    /// The number of connections guaranteed to a kind.
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

    /// The connection to close when the table is full: the longest idle one of the kind furthest above its floor;
    /// without such a kind, the longest idle unidentified one.
    fn eviction_candidate(&self) -> Option<I> {
        let above = KINDS
            .into_iter()
            .filter(|k| *k != ClientKind::Unidentified && !self.idle[*k as usize].is_empty())
            .map(|k| (self.count(k).saturating_sub(self.floor(k)), k))
            .filter(|(above, _)| *above > 0)
            .max();
        match above {
            Some((_, kind)) => self.longest_idle(kind),
            None => self.longest_idle(ClientKind::Unidentified),
        }
    }

    /// Decides on a new connection; a connection that it replaces is removed from the table.
    #[must_use = "a replaced connection must be closed, and a refused one dropped"]
    pub fn admit(&mut self, id: I, now: MonotonicMillis) -> Admission<I> {
        let unidentified_full =
            self.count(ClientKind::Unidentified) >= self.limits.max_unidentified;
        let replaced = if unidentified_full {
            // Silent connections replace only each other.
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

    /// Notes that a request has been received.
    pub fn request_started(&mut self, id: I, kind: ClientKind) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        self.idle[connection.kind as usize].remove(&(connection.idle_since, id));
        self.counts[connection.kind as usize] -= 1;
        self.counts[kind as usize] += 1;
        (connection.kind, connection.busy) = (kind, true);
    }

    /// Whether the connection is to be closed with the response that follows: it is a user's, and the table is nearly
    /// full. Users reconnect without harm, possibly to a controller that has more capacity. Counts such responses.
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

    /// Notes that the response has been written: the connection is idle.
    pub fn request_finished(&mut self, id: I, now: MonotonicMillis) {
        if let Some(connection) = self.connections.get_mut(&id).filter(|c| c.busy) {
            (connection.busy, connection.idle_since) = (false, now);
            self.idle[connection.kind as usize].insert((now, id));
        }
    }

    /// Forgets a connection that is closed.
    pub fn remove(&mut self, id: I) {
        if let Some(connection) = self.connections.remove(&id) {
            self.counts[connection.kind as usize] -= 1;
            self.idle[connection.kind as usize].remove(&(connection.idle_since, id));
        }
    }

    /// Whether a partial request is to be aborted, with so many bytes of partial requests buffered. Counts the aborted
    /// ones.
    #[must_use]
    pub fn aborts_partial(&mut self, partial_bytes: usize) -> bool {
        let exceeded = partial_bytes > self.limits.max_partial_bytes;
        self.stats.partial_aborted += u64::from(exceeded);
        exceeded
    }

    /// The connections now and the counters since the start.
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
