//! Job cancellation: requested by a user or a DAG run, or cascaded to jobs that depend on a cancelled job.

use super::{JobApi, JobApiRequest, JobReadPurpose};
use crate::coordination::context::{Context, KvRequest};
use crate::coordination::unavailable::Unavailable;
use crate::storage::kv_client::{RequestPriority, SwapOutcome};
use crate::storage::record_cache::{FinishedJob, VersionedRecord};
use serde_json::Value;
use snowshelf_model::ids::{ConnectionId, JobId, MonotonicMillis, ShardId};
use snowshelf_model::protocol::state::{CompareAndSwap, Mutation};
use snowshelf_model::records::{JobRecord, JobState, job_key};
use std::collections::{BTreeSet, HashMap};

/// Maximum retries of a cancellation that conflicts with other writes; after them the user is asked to retry.
const MAX_CANCEL_RETRIES: u32 = 5;
/// Minimum time between two cascades, in milliseconds.
const CASCADE_INTERVAL_MS: u64 = 200;
/// How long a cascade skips a job after its cancellation failed, in milliseconds.
const CASCADE_BACKOFF_MS: u64 = 400;
/// Timeout for reading a job whose cancellation conflicted, in milliseconds.
const LOOKUP_TIMEOUT_MS: u64 = 1_500;

/// A cancellation that a user requested.
struct UserCancellation {
    connection: ConnectionId,
    job: JobId,
    /// The job's record in the state cancelled.
    cancelled_record: Value,
    purpose: JobReadPurpose,
    retries: u32,
}

/// A job in a cascade, and its record in the state cancelled.
struct CascadeCancellation {
    job: JobId,
    cancelled_record: Value,
}

/// Cancellations in flight, and jobs that await cancellation.
#[derive(Default)]
pub(super) struct Cancellations {
    /// Cancellations requested by users and in flight, by request number.
    user_cancellations: HashMap<u64, UserCancellation>,
    /// Retries so far of cancellations whose job is being read again.
    retries: HashMap<ConnectionId, u32>,
    /// The cascade in flight, by request number; at most one.
    cascades: HashMap<u64, Vec<CascadeCancellation>>,
    last_cascade_at: MonotonicMillis,
    /// Jobs of DAG runs whose cancellation their run has requested.
    requested_by_dag_runs: BTreeSet<JobId>,
    /// Jobs that cascades skip, and until when.
    backoff_until: HashMap<JobId, MonotonicMillis>,
}

impl Cancellations {
    /// Discards the retry count of a request that has been answered.
    pub(super) fn forget_retries(&mut self, connection: ConnectionId) {
        self.retries.remove(&connection);
    }
}

impl JobApi {
    /// Schedules jobs of a DAG run for cancellation by the next cascade.
    pub fn cancel_for_run(&mut self, jobs: impl IntoIterator<Item = JobId>) {
        self.cancellations.requested_by_dag_runs.extend(jobs);
    }

    /// Cancels a job, provided that its record still has the given version.
    pub(super) fn cancel_job(
        &mut self,
        connection: ConnectionId,
        job: &JobId,
        purpose: JobReadPurpose,
        record: &VersionedRecord<JobRecord>,
        context: &mut Context<'_>,
    ) {
        let cancelled_record = context.job_value(&context.cancelled(&record.value));
        let may_write = context
            .kv
            .has_budget(context.now(), RequestPriority::Admission, 1);
        let Some(cancelled_record) = cancelled_record.filter(|_| may_write) else {
            let unavailable = Unavailable::RateLimited.into();
            context.effects.respond(connection, unavailable);
            return;
        };
        let id = self.next_request_id();
        let swap = CompareAndSwap::default()
            .compare(job_key(job), record.version)
            .mutate(Mutation::put(job_key(job), &cancelled_record));
        let cancellation = UserCancellation {
            connection,
            job: job.clone(),
            cancelled_record,
            purpose,
            retries: self.cancellations.retries.remove(&connection).unwrap_or(0),
        };
        self.cancellations
            .user_cancellations
            .insert(id, cancellation);
        let request = KvRequest::JobApi(JobApiRequest::Cancel(id));
        context.kv.compare_and_swap(context.effects, request, &swap);
    }

    /// Handles the outcome of a user's cancellation. Returns the job if its record has changed.
    pub(super) fn on_cancelled(
        &mut self,
        id: u64,
        outcome: &SwapOutcome,
        context: &mut Context<'_>,
    ) -> Option<JobId> {
        let UserCancellation {
            connection,
            job,
            cancelled_record,
            purpose,
            retries,
        } = self.cancellations.user_cancellations.remove(&id)?;
        match outcome {
            SwapOutcome::Applied(revision) => {
                tracing::info!(%job, "job cancelled");
                context
                    .records
                    .apply(&job_key(&job), Some(&cancelled_record), *revision);
                let finished = FinishedJob {
                    state: JobState::Cancelled,
                    tasks: 0,
                    ended: None,
                    from_run: false,
                };
                self.respond_final(connection, &job, finished, purpose, context);
                Some(job)
            }
            SwapOutcome::Conflict(_) if retries < MAX_CANCEL_RETRIES => {
                self.cancellations.retries.insert(connection, retries + 1);
                self.read_job(connection, &job, purpose, context);
                None
            }
            _ => {
                let unavailable = Unavailable::Contended.into();
                context.effects.respond(connection, unavailable);
                None
            }
        }
    }

    /// Cancels jobs that depend on a cancelled job and whose first shard this controller leads, and jobs
    /// whose DAG run requested it, as many as one transaction allows. Scans the cached records instead of
    /// reacting to events, so a missed event does not leave a job uncancelled.
    pub fn cascade_cancellations(
        &mut self,
        led_shards: &BTreeSet<ShardId>,
        context: &mut Context<'_>,
    ) {
        let now = context.now();
        let cancellations = &mut self.cancellations;
        if now.since(cancellations.last_cascade_at) < CASCADE_INTERVAL_MS
            || !cancellations.cascades.is_empty()
        {
            return;
        }
        cancellations.last_cascade_at = now;
        cancellations.backoff_until.retain(|_, until| *until > now);
        let budget = context.kv.write_budget(now, RequestPriority::Admission);
        let max_writes = context.storage_limits.txn_ops.min(budget);
        cancellations.requested_by_dag_runs.retain(|job| {
            let cached = context.records.jobs.get(job);
            cached.is_some_and(|v| !v.value.is_final())
        });
        let mut swap = CompareAndSwap::default();
        let mut batch = Vec::new();
        let dependents = context.dependency_graph.unsatisfiable.iter();
        for job in dependents.chain(&cancellations.requested_by_dag_runs) {
            if swap.mutations.len() >= max_writes {
                break;
            }
            let Some(record) = cancellations.cascade_target(job, led_shards, context) else {
                continue;
            };
            let Some(cancelled_record) = context.job_value(&context.cancelled(&record.value))
            else {
                continue;
            };
            swap = swap
                .compare(job_key(job), record.version)
                .mutate(Mutation::put(job_key(job), &cancelled_record));
            let job = job.clone();
            batch.push(CascadeCancellation {
                job,
                cancelled_record,
            });
        }
        let writes = swap.mutations.len();
        if batch.is_empty()
            || !context
                .kv
                .has_budget(now, RequestPriority::Admission, writes)
        {
            return;
        }
        let id = self.next_request_id();
        self.cancellations.cascades.insert(id, batch);
        let request = KvRequest::JobApi(JobApiRequest::Cascade(id));
        context.kv.compare_and_swap(context.effects, request, &swap);
    }

    /// Handles the outcome of a cascade. Returns the jobs whose records have changed.
    pub(super) fn on_cascaded(
        &mut self,
        id: u64,
        outcome: SwapOutcome,
        context: &mut Context<'_>,
    ) -> Vec<JobId> {
        let batch = self.cancellations.cascades.remove(&id).unwrap_or_default();
        let backoff_until = &mut self.cancellations.backoff_until;
        let retry_at = context.now().plus(CASCADE_BACKOFF_MS);
        match outcome {
            SwapOutcome::Applied(revision) => {
                for CascadeCancellation {
                    job,
                    cancelled_record,
                } in &batch
                {
                    tracing::info!(%job, "job cancelled: dependency or DAG run cancelled");
                    context
                        .records
                        .apply(&job_key(job), Some(cancelled_record), revision);
                }
                return batch.into_iter().map(|c| c.job).collect();
            }
            SwapOutcome::Conflict(keys) => {
                for CascadeCancellation { job, .. } in batch {
                    let key = job_key(&job);
                    if keys.contains(&key) {
                        let request = KvRequest::JobLookup(job.clone());
                        context
                            .kv
                            .get(context.effects, request, &key, LOOKUP_TIMEOUT_MS);
                        backoff_until.insert(job, retry_at);
                    }
                }
            }
            _ => backoff_until.extend(batch.into_iter().map(|c| (c.job, retry_at))),
        }
        Vec::new()
    }
}

impl Cancellations {
    /// Returns the cached record of a job if a cascade by this controller is to cancel it now: the job has
    /// not ended, is not in backoff, and either this controller leads its first shard, or a DAG run submitted
    /// it and has requested its cancellation.
    fn cascade_target<'a>(
        &self,
        job: &JobId,
        led_shards: &BTreeSet<ShardId>,
        context: &'a Context<'_>,
    ) -> Option<&'a VersionedRecord<JobRecord>> {
        let record = context.records.jobs.get(job)?;
        let from_dag_run = self.requested_by_dag_runs.contains(job) && record.value.from_run;
        let first_shard = record.value.shards.first();
        let is_responsible = from_dag_run || first_shard.is_some_and(|s| led_shards.contains(s));
        let is_due = !self.backoff_until.contains_key(job);
        (is_responsible && is_due && !record.value.is_final()).then_some(record)
    }
}
