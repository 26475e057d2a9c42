//! Responses about a single job, from the record cache or from a read of its record.

use super::{JobApi, JobApiRequest, JobReadPurpose};
use crate::coordination::context::{Context, KvRequest};
use crate::coordination::unavailable::Unavailable;
use crate::effects::Response;
use crate::storage::kv_client::{GetOutcome, RequestPriority};
use crate::storage::record_cache::{FinishedJob, VersionedRecord};
use serde::Deserialize;
use snowshelf_model::ids::{ConnectionId, JobId};
use snowshelf_model::protocol::state::KeyValue;
use snowshelf_model::protocol::user;
use snowshelf_model::records::{JobRecord, JobState, job_key};
use snowshelf_watermark::renewal::is_covered;
use std::rc::Rc;

/// Timeout for reading a job's record, in milliseconds.
const READ_TIMEOUT_MS: u64 = 1_500;

/// Returns whether this controller knows the cancellations that other controllers have confirmed, except
/// possibly the most recent ones.
pub(super) fn cancellations_known(context: &Context<'_>) -> bool {
    let answering_ms = context.config.settings.answering_ms();
    is_covered(context.watermark, context.now(), answering_ms)
}

impl JobApi {
    /// Responds to a request about a job: immediately if the job has ended, otherwise after a request to the
    /// key-value store.
    pub fn read_job(
        &mut self,
        connection: ConnectionId,
        job: &JobId,
        purpose: JobReadPurpose,
        context: &mut Context<'_>,
    ) {
        if let Some(finished) = context.records.finished_job(job) {
            self.respond_final(connection, job, finished, purpose, context);
            return;
        }
        if purpose == JobReadPurpose::Poll
            && context.records.jobs.contains_key(job)
            && !context.dependency_graph.unsatisfiable.contains(job)
        {
            self.polls.push(connection, job.clone(), context.now());
            return;
        }
        self.read_record(connection, job, purpose, context);
    }

    /// Requests a job's record from the key-value store; [`JobApi::on_job_read`] handles the outcome.
    /// Asks the client to retry if the request budget does not allow the read.
    pub(super) fn read_record(
        &mut self,
        connection: ConnectionId,
        job: &JobId,
        purpose: JobReadPurpose,
        context: &mut Context<'_>,
    ) {
        let priority = match purpose {
            JobReadPurpose::Poll => RequestPriority::Reads,
            JobReadPurpose::Resubmit
            | JobReadPurpose::Reject(_)
            | JobReadPurpose::Malformed(_)
            | JobReadPurpose::Cancel => RequestPriority::Admission,
        };
        if !context.kv.has_budget(context.now(), priority, 0) {
            let unavailable = Unavailable::RateLimited.into();
            context.effects.respond(connection, unavailable);
            return;
        }
        let request = KvRequest::JobApi(JobApiRequest::Read {
            connection,
            job: job.clone(),
            purpose,
        });
        let key = job_key(job);
        context
            .kv
            .get(context.effects, request, &key, READ_TIMEOUT_MS);
    }

    /// Responds to the user for whom a job's record was read.
    pub(super) fn on_job_read(
        &mut self,
        connection: ConnectionId,
        job: &JobId,
        purpose: JobReadPurpose,
        outcome: GetOutcome,
        context: &mut Context<'_>,
    ) {
        let found = match outcome {
            GetOutcome::Found(item) => match decode_record(&item, context) {
                Ok(record) => Some(record),
                Err(reason) => {
                    context.effects.respond(connection, reason.into());
                    return;
                }
            },
            GetOutcome::NotFound(_) => None,
            GetOutcome::Failed => {
                self.cancellations.forget_retries(connection);
                let unavailable = Unavailable::StoreNotResponding.into();
                context.effects.respond(connection, unavailable);
                return;
            }
        };
        // The job may have been accepted or ended, and reported so to its user, while this read was in
        // flight. The record cache takes precedence where it is newer.
        let finished = context.records.finished_job(job).or_else(|| {
            let record = found.as_ref().map(|v| &*v.value);
            record.filter(|r| r.is_final()).map(FinishedJob::from)
        });
        if let Some(finished) = finished {
            self.respond_final(connection, job, finished, purpose, context);
            return;
        }
        let cached = context.records.jobs.get(job).cloned();
        let newest = found.into_iter().chain(cached).max_by_key(|v| v.version);
        let Some(record) = newest else {
            self.cancellations.forget_retries(connection);
            context
                .effects
                .respond(connection, not_found_response(purpose));
            return;
        };
        // A job with a cancelled dependency is cancelled before its state is reported.
        let is_unsatisfiable = context.dependency_graph.unsatisfiable.contains(job);
        if purpose == JobReadPurpose::Cancel || is_unsatisfiable {
            self.cancel_job(connection, job, purpose, &record, context);
        } else {
            self.respond_open(connection, job, &record.value, purpose, context);
        }
    }

    /// Responds with the state of a job that has not ended.
    pub(super) fn respond_open(
        &self,
        connection: ConnectionId,
        job: &JobId,
        record: &JobRecord,
        purpose: JobReadPurpose,
        context: &mut Context<'_>,
    ) {
        // Otherwise the job could be reported as open although another controller confirmed the
        // cancellation of a dependency more than `cancel_s` ago.
        let is_dependent = !record.dependencies.is_empty() || record.dependency_chunks > 0;
        if is_dependent && !cancellations_known(context) {
            let unavailable = Unavailable::CancellationsUnknown.into();
            context.effects.respond(connection, unavailable);
            return;
        }
        let counts = context
            .records
            .task_counts(job, &record.shards, record.tasks);
        let state = user::job_state_label(record.state, counts.running);
        let body = match purpose {
            JobReadPurpose::Poll => {
                user::job_status_body(job, state, counts.finished, counts.running)
            }
            _ => user::job_state_body(job, state),
        };
        context
            .effects
            .respond(connection, Response::new(200, body));
    }

    /// Responds with the state of a job that has ended.
    pub(super) fn respond_final(
        &mut self,
        connection: ConnectionId,
        job: &JobId,
        finished: FinishedJob,
        purpose: JobReadPurpose,
        context: &mut Context<'_>,
    ) {
        if finished.state == JobState::Cancelled {
            self.confirmed_cancellations.record(job, context.now());
        }
        let state = user::job_state_label(finished.state, 0);
        let body = match purpose {
            JobReadPurpose::Poll => {
                let done = match finished.state {
                    JobState::Done => finished.tasks,
                    _ => 0,
                };
                user::job_status_body(job, state, done, 0)
            }
            JobReadPurpose::Resubmit
            | JobReadPurpose::Reject(_)
            | JobReadPurpose::Malformed(_)
            | JobReadPurpose::Cancel => user::job_state_body(job, state),
        };
        self.cancellations.forget_retries(connection);
        context
            .effects
            .respond(connection, Response::new(200, body));
    }
}

/// Decodes a job's record and applies it to the record cache.
fn decode_record(
    item: &KeyValue,
    context: &mut Context<'_>,
) -> Result<VersionedRecord<JobRecord>, Unavailable> {
    let record = JobRecord::deserialize(&item.value).map_err(|_| Unavailable::UnreadableRecord)?;
    context
        .records
        .apply(&item.key, Some(&item.value), item.version);
    Ok(VersionedRecord {
        version: item.version,
        value: Rc::new(record),
    })
}

/// Returns the response about a job that was never accepted.
fn not_found_response(purpose: JobReadPurpose) -> Response {
    match purpose {
        JobReadPurpose::Reject(reason) => Response::error(422, &reason.to_string()),
        JobReadPurpose::Malformed(error) => Response::error(400, &error.to_string()),
        JobReadPurpose::Poll | JobReadPurpose::Resubmit | JobReadPurpose::Cancel => {
            Response::error(404, "no such job")
        }
    }
}
