//! Who is connected, what for, and since when nothing was asked: decides whom a newcomer takes the place of.

use crate::limits::ConnectionLimits;
use serde::Serialize;
use snowshelf_model::ids::MonotonicMillis;
use std::collections::{BTreeSet, HashMap};
use std::hash::Hash;

/// What a connection is for, by the last thing that was asked on it.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub enum ClientKind {
    /// Nothing has been asked yet.
    Unidentified,
    Probe,
    User,
    Worker,
}

const KINDS: [ClientKind; 4] = [
    ClientKind::Unidentified,
    ClientKind::Probe,
    ClientKind::User,
    ClientKind::Worker,
];

impl ClientKind {
    /// By the path that is asked for.
    pub fn of(path: &str) -> ClientKind {
        match path.split('?').next() {
            Some("/checkin") => ClientKind::Worker,
            Some("/ready") => ClientKind::Probe,
            _ => ClientKind::User,
        }
    }
}

/// What becomes of a connection that comes.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Admission<I> {
    In,
    /// It comes in and this one, which is idle, goes.
    InsteadOf(I),
    /// Everybody who may be let go of is being served.
    Refused,
}

struct Connection {
    kind: ClientKind,
    /// When it last came to be idle.
    since: MonotonicMillis,
    /// Something that it asked for is being worked on.
    busy: bool,
}

/// What has been counted since the start, for the log and operators.
#[derive(Clone, Copy, PartialEq, Eq, Default, Debug, Serialize)]
pub struct ConnectionStats {
    pub workers: usize,
    pub users: usize,
    pub strangers: usize,
    pub most: usize,
    /// Connections refused, and idle ones let go of for others.
    pub refused: u64,
    pub let_go: u64,
    /// Answers after which a user was asked to connect anew.
    pub asked_anew: u64,
    /// Requests given up on since too much was underway.
    pub given_up: u64,
}

pub struct ConnectionTable<I> {
    bounds: ConnectionLimits,
    conns: HashMap<I, Connection>,
    /// The idle ones of each kind, the longest idle first.
    idle: [BTreeSet<(MonotonicMillis, I)>; 4],
    counts: [usize; 4],
    stats: ConnectionStats,
}

impl<I: Copy + Ord + Hash> ConnectionTable<I> {
    pub fn new(bounds: ConnectionLimits) -> ConnectionTable<I> {
        ConnectionTable {
            bounds,
            conns: HashMap::new(),
            idle: Default::default(),
            counts: [0; 4],
            stats: ConnectionStats::default(),
        }
    }

    pub fn len(&self) -> usize {
        self.conns.len()
    }

    pub fn is_empty(&self) -> bool {
        self.conns.is_empty()
    }

    pub fn count(&self, kind: ClientKind) -> usize {
        self.counts[kind as usize]
    }

    /// As many of a kind are never let go of for others.
    fn floor(&self, kind: ClientKind) -> usize {
        match kind {
            ClientKind::Unidentified => 0,
            ClientKind::Probe => self.bounds.probes,
            ClientKind::User => self.bounds.users,
            ClientKind::Worker => self.bounds.workers,
        }
    }

    fn longest_idle(&self, kind: ClientKind) -> Option<I> {
        self.idle[kind as usize].first().map(|(_, id)| *id)
    }

    /// Whom a newcomer takes the place of: strangers if they are many; else, of the kind that is furthest
    /// above what it can always have, the one idle for longest; else the stranger who has said nothing for longest.
    fn victim(&self) -> Option<I> {
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

    /// A connection comes; whoever goes for it has left by this.
    pub fn enter(&mut self, id: I, now: MonotonicMillis) -> Admission<I> {
        let crowd = self.count(ClientKind::Unidentified) >= self.bounds.strangers;
        let goes = if crowd {
            // Guards against connections that say nothing: they take one another's place only.
            Some(self.longest_idle(ClientKind::Unidentified))
        } else if self.len() >= self.bounds.most {
            Some(self.victim())
        } else {
            None
        };
        let entry = match goes {
            None => Admission::In,
            Some(Some(other)) => {
                self.leaves(other);
                self.stats.let_go += 1;
                Admission::InsteadOf(other)
            }
            Some(None) => {
                self.stats.refused += 1;
                return Admission::Refused;
            }
        };
        self.counts[ClientKind::Unidentified as usize] += 1;
        self.idle[ClientKind::Unidentified as usize].insert((now, id));
        let conn = Connection {
            kind: ClientKind::Unidentified,
            since: now,
            busy: false,
        };
        self.conns.insert(id, conn);
        entry
    }

    /// Something is asked on a connection.
    pub fn asks(&mut self, id: I, kind: ClientKind) {
        let Some(conn) = self.conns.get_mut(&id) else {
            return;
        };
        self.idle[conn.kind as usize].remove(&(conn.since, id));
        self.counts[conn.kind as usize] -= 1;
        self.counts[kind as usize] += 1;
        (conn.kind, conn.busy) = (kind, true);
    }

    /// Whether the answer that follows should be the connection's last: it is a user's, and there is little
    /// room left. Users connect anew without harm, and go where there is more room.
    pub fn ends(&mut self, id: I) -> bool {
        let user = self
            .conns
            .get(&id)
            .is_some_and(|c| c.kind == ClientKind::User);
        let ends = user && self.len() >= self.bounds.pressed;
        self.stats.asked_anew += u64::from(ends);
        ends
    }

    /// What was asked for has been answered.
    pub fn answered(&mut self, id: I, now: MonotonicMillis) {
        if let Some(conn) = self.conns.get_mut(&id).filter(|c| c.busy) {
            (conn.busy, conn.since) = (false, now);
            self.idle[conn.kind as usize].insert((now, id));
        }
    }

    pub fn leaves(&mut self, id: I) {
        if let Some(conn) = self.conns.remove(&id) {
            self.counts[conn.kind as usize] -= 1;
            self.idle[conn.kind as usize].remove(&(conn.since, id));
        }
    }

    /// Whether a request that has come in part only is given up on, with so many bytes of such underway.
    pub fn gives_up(&mut self, underway_bytes: usize) -> bool {
        let much = underway_bytes > self.bounds.underway_bytes;
        self.stats.given_up += u64::from(much);
        much
    }

    pub fn stats(&self) -> ConnectionStats {
        ConnectionStats {
            workers: self.count(ClientKind::Worker),
            users: self.count(ClientKind::User),
            strangers: self.count(ClientKind::Unidentified),
            most: self.bounds.most,
            ..self.stats
        }
    }
}
