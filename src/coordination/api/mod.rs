//! The users' requests. What a user is told is durable, and nothing is older than what any
//! controller said: only final states are answered without asking the state service.

mod admission;
mod cancellation;
mod commit;
mod job_status;
mod partitioning;

pub use admission::never_runs;
pub use partitioning::split;

use super::context::Context;
use super::gossip::ShardCapacity;
use crate::storage::kv_client::{GetOutcome, KvResponse, unexpected_response};
use crate::storage::record_cache::RecordChange;
use snowshelf_model::ids::{ConnectionId, JobId, MonotonicMillis, ShardId, Team};
use snowshelf_model::protocol::user::InvalidField;
use snowshelf_model::records::JobSpec;
use snowshelf_watermark::confirmed_cancellations::ConfirmedCancellations;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

/// What the job API asks of the key-value store; numbers are those of what is underway.
#[derive(Clone, Debug)]
pub enum JobApiRequest {
    /// Writes accepted submissions.
    Commit(u64),
    /// Reads a job's record for a user's request.
    Read {
        connection: ConnectionId,
        job: JobId,
        purpose: JobReadPurpose,
    },
    /// Writes a part of the long list of jobs that a submission depends on.
    WriteDependencies(u64),
    /// Compares versions for polls that the record cache can answer.
    CheckPolls(u64),
    Cancel(u64),
    /// Reads the record of a job that a submission depends on.
    ReadDependency {
        submission: u64,
        job: JobId,
    },
    /// Cancels jobs that depend on cancelled ones.
    Cascade(u64),
}

/// Why a job's record is read for a user.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum JobReadPurpose {
    Poll,
    /// An idempotent request: the job may have been accepted before.
    Resubmit,
    /// A submission that can never run, unless the job was accepted before; the reason.
    Refuse(&'static str),
    /// A submission with a field that is wrong or missing, unless the job was accepted before.
    Malformed(InvalidField),
    Cancel,
}

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
    why: JobReadPurpose,
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
        gateway.confirmed.start_recording(now);
        gateway
    }

    /// Takes a response of the key-value store in: the records that have changed by it.
    pub fn on_response(
        &mut self,
        request: JobApiRequest,
        response: KvResponse,
        context: &mut Context,
    ) -> Vec<RecordChange> {
        match (request, response) {
            (JobApiRequest::Commit(id), KvResponse::Swap(outcome)) => {
                self.accepted(id, outcome, context);
            }
            (
                JobApiRequest::Read {
                    connection,
                    job,
                    purpose,
                },
                KvResponse::Get(outcome),
            ) => {
                self.read_done(connection, &job, purpose, outcome, context);
                return vec![RecordChange::Job(job)];
            }
            (JobApiRequest::WriteDependencies(id), KvResponse::Swap(outcome)) => {
                self.pieces_done(id, outcome, context);
            }
            (JobApiRequest::CheckPolls(id), KvResponse::Swap(outcome)) => {
                self.polls_done(id, outcome, context);
            }
            (JobApiRequest::Cancel(id), KvResponse::Swap(outcome)) => {
                let job = self.cancelled(id, outcome, context);
                return job.into_iter().map(RecordChange::Job).collect();
            }
            (JobApiRequest::ReadDependency { submission, job }, KvResponse::Get(outcome)) => {
                if let GetOutcome::Found(item) = &outcome {
                    context
                        .records
                        .apply(&item.key, Some(&item.value), item.version);
                }
                self.needed(submission, &job, &outcome, context);
                return vec![RecordChange::Job(job)];
            }
            (JobApiRequest::Cascade(id), KvResponse::Swap(outcome)) => {
                let jobs = self.cascaded(id, outcome, context);
                return jobs.into_iter().map(RecordChange::Job).collect();
            }
            (request, _) => unexpected_response(&request),
        }
        Vec::new()
    }
}
