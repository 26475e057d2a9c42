//! The users' requests. What a user is told is durable, and nothing is older than what any
//! controller said: only final states are answered without asking the state service.

mod accepting;
mod cancelling;
mod reading;
mod split;
mod submitting;

pub use split::split;
pub use submitting::never_runs;

use super::env::ReadFor;
use super::peers::PartRoom;
use snowshelf_horizon::confirmed::Confirmed;
use snowshelf_model::ids::{ConnId, JobId, Millis, PartId, Team};
use snowshelf_model::records::JobSpec;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

struct Accept {
    conns: Vec<ConnId>,
    job: JobId,
    spec: JobSpec,
    needs: Vec<JobId>,
    /// What it needs has been written in so many values of their own.
    pieces: u32,
    since: Millis,
    /// A graph's run submits it; nobody waits for an answer.
    run: bool,
    pause_ms: u64,
}

/// A submission whose needs are being written in pieces, before its own key makes them count.
struct Dividing {
    accept: Accept,
    pieces: Vec<Vec<JobId>>,
    written: usize,
    /// So many are in the transaction underway.
    underway: usize,
}

struct Cancel {
    conn: ConnId,
    job: JobId,
    next: serde_json::Value,
    why: ReadFor,
    tries: u32,
}

/// Submissions in one transaction, and the keys that it writes.
struct Batch {
    accepts: Vec<Accept>,
    written: Vec<(String, serde_json::Value)>,
}

#[derive(Default)]
pub struct Gateway {
    queue: VecDeque<Accept>,
    batches: HashMap<u64, Batch>,
    cancels: HashMap<u64, Cancel>,
    cancel_tries: HashMap<ConnId, u32>,
    /// Submissions that need jobs unknown here, and which of those are being read.
    checking: HashMap<u64, (Accept, BTreeSet<JobId>)>,
    /// Cancellations of jobs that need a cancelled one, underway.
    cascades: HashMap<u64, Vec<(JobId, serde_json::Value)>>,
    cascade_at: Millis,
    /// Jobs of runs that these want cancelled.
    pub own_cancels: BTreeSet<JobId>,
    /// Jobs that the cascade leaves alone until then.
    left_alone: HashMap<JobId, Millis>,
    dividing: BTreeMap<u64, Dividing>,
    /// Polls of jobs that the mirror has, and since when the first of them waits for others to share
    /// a request with.
    polls: Vec<(ConnId, JobId)>,
    polls_since: Millis,
    polled: HashMap<u64, Vec<(ConnId, JobId)>>,
    next: u64,
    /// Room by part, as far as known.
    pub rooms: BTreeMap<PartId, PartRoom>,
    /// CPUs that parts keep for teams, beside that.
    pub kept: BTreeMap<(PartId, Team), f64>,
    /// CPUs lately given to parts, which these do not tell of yet.
    given: VecDeque<(Millis, PartId, f64)>,
    /// What users have been told here to be cancelled.
    pub confirmed: Confirmed,
}

impl Gateway {
    /// A gateway whose process begins at `now`.
    pub fn begun(now: Millis) -> Gateway {
        let mut gateway = Gateway::default();
        gateway.confirmed.begin(now);
        gateway
    }
}
