//! Advances the runs of the shards that this controller leads: submits and cancels their jobs, and records
//! which jobs failed and how the run ended.

use super::open_run::OpenRun;
use super::run_records::RunWrite;
use super::{DagRuns, DagRunsRequest, count_states};
use crate::coordination::api::JobApi;
use crate::coordination::context::{Context, KvRequest};
use crate::coordination::leases::Leases;
use crate::storage::kv_client::RequestPriority;
use crate::storage::record_cache::VersionedRecord;
use snowshelf_dag::run::{Decision, End};
use snowshelf_model::ids::{
    Attempt, JobId, MonotonicMillis, TaskIndex, Version, WallClockMillis, seconds_to_ms, shard_of,
};
use snowshelf_model::protocol::state::CompareAndSwap;
use snowshelf_model::records::{RunId, RunRecord, RunState, job_key, shard_key};
use std::collections::BTreeMap;

/// Time between two advances of a run while no job changes, in milliseconds.
const ADVANCE_INTERVAL_MS: u64 = 500;
/// Shortest time between two advances of a run, in milliseconds.
const MIN_ADVANCE_INTERVAL_MS: u64 = 100;
/// Most jobs submitted, or read from earlier runs, in one advance.
const MAX_JOBS_AT_ONCE: usize = 8;
/// Most runs kept expanded only because their status was queried.
const MAX_POLLED_RUNS: usize = 4;
/// How long a run stays expanded after its last status query, in milliseconds.
const POLLED_RUN_MS: u64 = 60_000;
/// Timeout for reading a job of an earlier run, in milliseconds.
const READ_TIMEOUT_MS: u64 = 1_500;

impl DagRuns {
    /// Periodic work: writes submissions, starts scheduled runs, and advances the next open run of the
    /// shards that this controller leads. `task_failures` is, for each job, the number of failures of the
    /// task that has failed most often.
    pub fn tick(
        &mut self,
        leases: &Leases,
        task_failures: &BTreeMap<JobId, u32>,
        job_api: &mut JobApi,
        context: &mut Context<'_>,
    ) {
        self.write_pending(context);
        self.start_scheduled_runs(leases, context);
        if context.records.runs.is_empty() && self.open_runs.is_empty() {
            return;
        }
        self.drop_unused_runs(leases, context);
        let next = self.next_run(leases, context);
        self.last_advanced.clone_from(&next);
        let Some(id) = next else {
            return;
        };
        let Some(record) = context.records.runs.get(&id).cloned() else {
            return;
        };
        self.expand(&id, &record.value, context);
        let mut own_writes = self.writes.values().filter(|w| w.connection.is_none());
        if own_writes.any(|w| w.run == id) {
            return;
        }
        let Some(run) = self.open_runs.get_mut(&id) else {
            return;
        };
        let now = context.now();
        let since_advance_ms = now.since(run.advanced_at);
        let job_changes = context.records.job_changes;
        if since_advance_ms < MIN_ADVANCE_INTERVAL_MS
            || (since_advance_ms < ADVANCE_INTERVAL_MS && run.advanced_at_change == job_changes)
        {
            return;
        }
        (run.advanced_at, run.advanced_at_change) = (now, job_changes);
        if !run.has_looked_up_earlier_jobs() {
            read_earlier_jobs(&id, run, context);
            return;
        }
        let decision = run.decide(&record.value, MAX_JOBS_AT_ONCE, context);
        apply_to_jobs(run, &decision, job_api, context);
        let failed = run.failed_jobs(task_failures, context);
        let wall = WallClockMillis(context.effects.wall_ms);
        let advanced = advanced_record(&record.value, &decision, &failed, wall);
        self.write_advanced(&id, &record, advanced, leases, context);
    }

    /// Drops the expansions of runs that this controller does not advance, except some queried recently.
    fn drop_unused_runs(&mut self, leases: &Leases, context: &Context<'_>) {
        let now = context.now();
        let mut polled = 0;
        let records = &context.records;
        self.open_runs.retain(|id, run| {
            let record = records.runs.get(id).map(|v| &v.value);
            let is_open = record.is_some_and(|r| r.state == RunState::Open);
            if is_open && leads_shard_of(id, leases, context) {
                return true;
            }
            polled += 1;
            polled <= MAX_POLLED_RUNS && now.since(run.observed_at) < POLLED_RUN_MS
        });
    }

    /// The next open run to advance, round robin in the order of ids.
    fn next_run(&self, leases: &Leases, context: &Context<'_>) -> Option<RunId> {
        let runs = &context.records.runs;
        let is_candidate = |id: &&RunId| {
            runs[*id].value.state == RunState::Open && leads_shard_of(id, leases, context)
        };
        let last = self.last_advanced.as_ref();
        let mut candidates = runs.keys().filter(is_candidate);
        let later = candidates.find(|id| last.is_none_or(|last| *id > last));
        later.or_else(|| runs.keys().find(is_candidate)).cloned()
    }

    /// Writes the record of a run if it has changed. The write applies only if this controller still leads
    /// the run's shard and the record still has the version that the decision was based on.
    fn write_advanced(
        &mut self,
        id: &RunId,
        before: &VersionedRecord<RunRecord>,
        advanced: RunRecord,
        leases: &Leases,
        context: &mut Context<'_>,
    ) {
        let shard_id = shard_of(&id.to_string(), context.config.shard_count);
        let fencing_token = leases.fencing_token(shard_id);
        let Some(fencing_token) = fencing_token.filter(|_| advanced != *before.value) else {
            return;
        };
        let value = serde_json::to_value(&advanced).unwrap_or_default();
        if !context.storage_limits.accepts(&value) {
            tracing::error!(run = %id, "DAG run record too large");
            return;
        }
        if !context
            .kv
            .has_budget(context.now(), RequestPriority::TaskEnds, 1)
        {
            return;
        }
        let swap = CompareAndSwap::default().compare(shard_key(shard_id), Version(fencing_token.0));
        let write = RunWrite {
            connection: None,
            run: id.clone(),
            record: advanced,
        };
        self.write_run(write, before.version, swap, context);
    }

    /// Handles the response to reading a job of an earlier run. The caller has added the record, if it
    /// exists, to the record cache.
    pub(super) fn on_earlier_job_read(&mut self, run: &RunId, job: &JobId, is_absent: bool) {
        if let Some(run) = self.open_runs.get_mut(run) {
            run.advanced_at = MonotonicMillis(0);
            if is_absent {
                run.exclude_earlier_job(job);
            }
        }
    }
}

/// Whether this controller leads the shard of a run.
fn leads_shard_of(id: &RunId, leases: &Leases, context: &Context<'_>) -> bool {
    let shard_id = shard_of(&id.to_string(), context.config.shard_count);
    leases.fencing_token(shard_id).is_some()
}

/// Reads the next jobs of earlier runs that are missing from the record cache.
fn read_earlier_jobs(id: &RunId, run: &mut OpenRun, context: &mut Context<'_>) {
    for job in run.look_up_earlier_jobs(MAX_JOBS_AT_ONCE, context) {
        if context
            .kv
            .has_budget(context.now(), RequestPriority::Reads, 0)
        {
            let key = job_key(&job);
            let request = KvRequest::DagRuns(DagRunsRequest::ReadEarlierJob {
                run: id.clone(),
                job,
            });
            context
                .kv
                .get(context.effects, request, &key, READ_TIMEOUT_MS);
        }
    }
}

/// Submits and cancels the jobs of a decision. Stops submitting at the first job that is not accepted.
fn apply_to_jobs(
    run: &OpenRun,
    decision: &Decision,
    job_api: &mut JobApi,
    context: &mut Context<'_>,
) {
    for index in &decision.submit {
        let retry_delay_ms = seconds_to_ms(run.plan.jobs[*index].retry_delay_s);
        if !job_api.submit_for_run(&run.submission(*index), retry_delay_ms, context) {
            break;
        }
    }
    let jobs = &run.plan.jobs;
    let cancelled = decision.cancel.iter();
    job_api.cancel_for_run(cancelled.map(|index| jobs[*index].submission.job.clone()));
}

/// The record of a run, updated with the jobs that have failed permanently and with the end of the run.
fn advanced_record(
    before: &RunRecord,
    decision: &Decision,
    failed: &[u32],
    now: WallClockMillis,
) -> RunRecord {
    let mut record = before.clone();
    for index in failed {
        record.failed.insert(TaskIndex(*index), Attempt(0));
    }
    if let Some(end) = decision.end {
        record.state = match end {
            End::Success => RunState::Success,
            End::Failed => RunState::Failed,
            End::Cancelled => RunState::Cancelled,
        };
        record.jobs_by_state = count_states(&decision.stands);
        record.ended = Some(now);
        // Not needed after the end of the run, because the counts include the failed jobs.
        record.failed = Default::default();
    }
    record
}
