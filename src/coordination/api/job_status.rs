//! Responses about one job, from the record cache or a read of its record.

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

/// Timeout of the read of a job's record, in milliseconds.
const READ_TIMEOUT_MS: u64 = 1_500;

/// Whether this controller knows the cancellations that others have confirmed, but for the last moments.
pub(super) fn cancellations_known(context: &Context<'_>) -> bool {
    let answering_ms = context.config.settings.answering_ms();
    is_covered(context.watermark, context.now(), answering_ms)
}

impl JobApi {
    /// Answers a request about a job: at once if it has ended, else after asking the key-value store.
    pub fn read_job(
        &mut self,
        connection: ConnectionId,
        job: &JobId,
        purpose: JobReadPurpose,
        context: &mut Context<'_>,
    ) {
        if let Some(end) = context.records.finished_job(job) {
            self.respond_final(connection, job, end, purpose, context);
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

    /// Reads the record of one job.
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

    /// Handles the read of a job's record.
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
        // Guards against a response that was in flight while the job was accepted or ended, and its user
        // answered so here: the record cache goes first where it is newer.
        let end = context.records.finished_job(job).or_else(|| {
            let record = found.as_ref().map(|v| &*v.value);
            record.filter(|r| r.is_final()).map(FinishedJob::from)
        });
        if let Some(end) = end {
            self.respond_final(connection, job, end, purpose, context);
            return;
        }
        let cached = context.records.jobs.get(job).cloned();
        let newest = found.into_iter().chain(cached).max_by_key(|v| v.version);
        let Some(record) = newest else {
            self.cancellations.forget_retries(connection);
            context.effects.respond(connection, absent(purpose));
            return;
        };
        // A job with a cancelled dependency is not reported as waiting: it is cancelled first.
        let is_doomed = context.dependency_graph.unsatisfiable.contains(job);
        if purpose == JobReadPurpose::Cancel || is_doomed {
            self.cancel_job(connection, job, purpose, &record, context);
        } else {
            self.respond_open(connection, job, &record.value, purpose, context);
        }
    }

    /// Answers with the state of a job that has not ended.
    pub(super) fn respond_open(
        &self,
        connection: ConnectionId,
        job: &JobId,
        record: &JobRecord,
        purpose: JobReadPurpose,
        context: &mut Context<'_>,
    ) {
        // Guards against calling a job open whose dependency another controller has confirmed as cancelled
        // over `cancel_s` ago, while this one could not learn it.
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

    /// Answers with the state of a job that has ended.
    pub(super) fn respond_final(
        &mut self,
        connection: ConnectionId,
        job: &JobId,
        end: FinishedJob,
        purpose: JobReadPurpose,
        context: &mut Context<'_>,
    ) {
        if end.state == JobState::Cancelled {
            self.confirmed_cancellations.record(job, context.now());
        }
        let state = user::job_state_label(end.state, 0);
        let body = match purpose {
            JobReadPurpose::Poll => {
                let done = match end.state {
                    JobState::Done => end.tasks,
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

/// Decodes a job's record and brings the record cache up to date with it.
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

/// The response about a job that was never accepted.
fn absent(purpose: JobReadPurpose) -> Response {
    match purpose {
        JobReadPurpose::Reject(reason) => Response::error(422, &reason.to_string()),
        JobReadPurpose::Malformed(error) => Response::error(400, &error.to_string()),
        JobReadPurpose::Poll | JobReadPurpose::Resubmit | JobReadPurpose::Cancel => {
            Response::error(404, "no such job")
        }
    }
}
