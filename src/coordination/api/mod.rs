//! The users' requests. What a user is told is durable, and nothing is older than what any
//! controller said: only final states are answered without asking the state service.

mod admission;
mod cancellation;
mod commit;
mod job_status;
mod partitioning;

pub use admission::never_runs;
pub use partitioning::split;

use super::context::ReadFor;
use super::gossip::ShardCapacity;
use snowshelf_model::ids::{ConnectionId, JobId, MonotonicMillis, ShardId, Team};
use snowshelf_model::records::JobSpec;
use snowshelf_watermark::confirmed_cancellations::ConfirmedCancellations;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

struct Accept {
    conns: Vec<ConnectionId>,
    job: JobId,
    spec: JobSpec,
    dependencies: Vec<JobId>,
    /// What it needs has been written in so many values of their own.
    pieces: u32,
    since: MonotonicMillis,
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
    conn: ConnectionId,
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
pub struct JobApi {
    queue: VecDeque<Accept>,
    batches: HashMap<u64, Batch>,
    cancels: HashMap<u64, Cancel>,
    cancel_tries: HashMap<ConnectionId, u32>,
    /// Submissions that need jobs unknown here, and which of those are being read.
    checking: HashMap<u64, (Accept, BTreeSet<JobId>)>,
    /// Cancellations of jobs that need a cancelled one, underway.
    cascades: HashMap<u64, Vec<(JobId, serde_json::Value)>>,
    cascade_at: MonotonicMillis,
    /// Jobs of runs that these want cancelled.
    pub own_cancels: BTreeSet<JobId>,
    /// Jobs that the cascade leaves alone until then.
    left_alone: HashMap<JobId, MonotonicMillis>,
    dividing: BTreeMap<u64, Dividing>,
    /// Polls of jobs that the mirror has, and since when the first of them waits for others to share
    /// a request with.
    polls: Vec<(ConnectionId, JobId)>,
    polls_since: MonotonicMillis,
    polled: HashMap<u64, Vec<(ConnectionId, JobId)>>,
    next: u64,
    /// Room by part, as far as known.
    pub rooms: BTreeMap<ShardId, ShardCapacity>,
    /// CPUs that parts keep for teams, beside that.
    pub kept: BTreeMap<(ShardId, Team), f64>,
    /// CPUs lately given to parts, which these do not tell of yet.
    given: VecDeque<(MonotonicMillis, ShardId, f64)>,
    /// What users have been told here to be cancelled.
    pub confirmed: ConfirmedCancellations,
}

impl JobApi {
    /// A gateway whose process begins at `now`.
    pub fn begun(now: MonotonicMillis) -> JobApi {
        let mut gateway = JobApi::default();
        gateway.confirmed.begin(now);
        gateway
    }
}
