//! The job API: users' submissions, status polls and cancellations.
//!
//! Responses report only durable state, and never an older state than any controller has reported before.
//! Only final states are therefore reported without a request to the key-value store.

mod admission;
mod cancellation;
mod capacity;
mod commit;
mod dependency_chunks;
mod feasibility;
mod job_status;
mod partitioning;
mod status_polls;

pub use feasibility::{RejectionReason, check_feasible};
pub use partitioning::{ShardAssignment, partition};

use super::context::Context;
use super::shard_capacity::ShardCapacity;
use crate::storage::kv_client::{GetOutcome, KvResponse, unexpected_response};
use crate::storage::record_cache::RecordChange;
use admission::AdmissionQueue;
use cancellation::Cancellations;
use capacity::CapacityEstimate;
use commit::Commits;
use snowshelf_model::ids::{ConnectionId, JobId, MonotonicMillis, ShardId, Team};
use snowshelf_model::protocol::user::InvalidField;
use snowshelf_watermark::confirmed_cancellations::ConfirmedCancellations;
use status_polls::StatusPolls;
use std::collections::BTreeMap;

/// A request from the job API to the key-value store; numbers identify requests in flight.
#[derive(Clone, Debug)]
pub enum JobApiRequest {
    /// Commits a batch of submissions.
    Commit(u64),
    /// Reads a job's record for a user's request.
    Read {
        /// The user's connection.
        connection: ConnectionId,
        /// The job whose record is read.
        job: JobId,
        /// What the user requested.
        purpose: JobReadPurpose,
    },
    /// Writes chunks of a dependency list that is too long for the job's record.
    WriteDependencies(u64),
    /// Checks that the cached records of polled jobs are current.
    CheckPolls(u64),
    /// Cancels a job for a user.
    Cancel(u64),
    /// Reads the record of a dependency of a submission.
    ReadDependency {
        /// The request number of the submission.
        submission: u64,
        /// The dependency whose record is read.
        job: JobId,
    },
    /// Cancels jobs that depend on cancelled jobs, or whose DAG run requested it.
    Cascade(u64),
}

/// The user's request for which a job's record is read.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum JobReadPurpose {
    /// A status poll.
    Poll,
    /// A repeated submission: the job may have been accepted before.
    Resubmit,
    /// A submission of a job that can never run; rejected unless the job was accepted before.
    Reject(RejectionReason),
    /// A submission with an invalid or missing field; rejected unless the job was accepted before.
    Malformed(InvalidField),
    /// A cancellation.
    Cancel,
}

/// The actor that handles submissions, status polls and cancellations.
#[derive(Default)]
pub struct JobApi {
    admission: AdmissionQueue,
    commits: Commits,
    polls: StatusPolls,
    cancellations: Cancellations,
    capacity: CapacityEstimate,
    last_request_id: u64,
    /// Jobs that this controller has reported to users as cancelled.
    pub confirmed_cancellations: ConfirmedCancellations,
}

impl JobApi {
    /// Creates the job API of a process that starts at `now`.
    #[must_use]
    pub fn new(now: MonotonicMillis) -> JobApi {
        let mut job_api = JobApi::default();
        job_api.confirmed_cancellations.start_recording(now);
        job_api
    }

    /// Updates the capacity used to partition jobs: the capacity of each shard, and the CPUs that shards
    /// reserve for a team, which `reported` does not include.
    pub fn set_capacity(
        &mut self,
        reported: BTreeMap<ShardId, ShardCapacity>,
        reserved_cpus: BTreeMap<(ShardId, Team), f64>,
    ) {
        self.capacity.reported = reported;
        self.capacity.reserved_cpus = reserved_cpus;
    }

    fn next_request_id(&mut self) -> u64 {
        self.last_request_id += 1;
        self.last_request_id
    }

    /// Handles a response of the key-value store. Returns the records that may have changed.
    pub fn on_response(
        &mut self,
        request: JobApiRequest,
        response: KvResponse,
        context: &mut Context<'_>,
    ) -> Vec<RecordChange> {
        match (request, response) {
            (JobApiRequest::Commit(id), KvResponse::Swap(outcome)) => {
                self.on_committed(id, outcome, context);
            }
            (
                JobApiRequest::Read {
                    connection,
                    job,
                    purpose,
                },
                KvResponse::Get(outcome),
            ) => {
                self.on_job_read(connection, &job, purpose, outcome, context);
                return vec![RecordChange::Job(job)];
            }
            (JobApiRequest::WriteDependencies(id), KvResponse::Swap(outcome)) => {
                self.on_chunks_written(id, &outcome, context);
            }
            (JobApiRequest::CheckPolls(id), KvResponse::Swap(outcome)) => {
                self.on_polls_checked(id, outcome, context);
            }
            (JobApiRequest::Cancel(id), KvResponse::Swap(outcome)) => {
                let job = self.on_cancelled(id, &outcome, context);
                return job.into_iter().map(RecordChange::Job).collect();
            }
            (JobApiRequest::ReadDependency { submission, job }, KvResponse::Get(outcome)) => {
                if let GetOutcome::Found(item) = &outcome {
                    context
                        .records
                        .apply(&item.key, Some(&item.value), item.version);
                }
                self.on_dependency_read(submission, &job, &outcome, context);
                return vec![RecordChange::Job(job)];
            }
            (JobApiRequest::Cascade(id), KvResponse::Swap(outcome)) => {
                let jobs = self.on_cascaded(id, outcome, context);
                return jobs.into_iter().map(RecordChange::Job).collect();
            }
            (request, _) => unexpected_response(&request),
        }
        Vec::new()
    }
}
