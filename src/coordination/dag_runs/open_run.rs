//! An expanded run: its plan, and the states of its jobs as this controller has observed them.

use crate::coordination::context::Context;
use crate::storage::record_cache::ChunkKey;
use snowshelf_dag::packing;
use snowshelf_dag::plan::{Plan, expand, job_id};
use snowshelf_dag::run::{Asked, Decision, Seen, decide};
use snowshelf_model::ids::{JobId, MonotonicMillis};
use snowshelf_model::protocol::user::Submission;
use snowshelf_model::records::{JobState, RunId, RunRecord};
use std::collections::{BTreeMap, BTreeSet};

/// Why the definition of a run cannot be expanded.
#[derive(Clone, PartialEq, Eq, Debug, thiserror::Error)]
pub(super) enum ExpansionError {
    /// The chunks of the definition cannot be unpacked.
    #[error("{0}")]
    Unpack(String),
    /// The definition is invalid; holds all problems, separated by semicolons.
    #[error("{0}")]
    Problems(String),
}

/// Unpacks the definition of a run; `None` until all its chunks are cached.
pub(super) fn unpack_run(
    id: &RunId,
    record: &RunRecord,
    context: &Context<'_>,
) -> Option<Result<Asked, ExpansionError>> {
    let definition = packing::unpack_pieces(record.chunks, |chunk| {
        let key = ChunkKey {
            owner: id.clone(),
            hash: record.hash.clone(),
            chunk,
        };
        context
            .records
            .plan_chunks
            .get(&key)
            .map(|text| text.as_str())
    })?;
    Some(definition.map_err(ExpansionError::Unpack))
}

/// A run's plan and the observed states of its jobs. Jobs are identified by their index in the plan.
pub(super) struct OpenRun {
    /// The jobs and their dependencies.
    pub(super) plan: Plan,
    max_active_tasks: Option<usize>,
    /// The last observed state of each job. The end of a job is kept after the record cache has dropped it.
    observed: Vec<Seen>,
    /// For each job, its ids in the earlier runs that have not been looked up yet.
    earlier_jobs: Vec<Vec<JobId>>,
    /// Whether each job succeeded in an earlier run; final once `earlier_jobs` is empty for the job.
    inherited: Vec<bool>,
    /// When each open job with a timeout was first observed with running tasks.
    running_since: BTreeMap<usize, MonotonicMillis>,
    /// When the jobs were last observed, to advance the run or to answer a status query.
    pub(super) observed_at: MonotonicMillis,
    /// When the run was last advanced. Separate from `observed_at`, because frequent status queries would
    /// otherwise keep the run from being advanced.
    pub(super) advanced_at: MonotonicMillis,
    /// The value of the record cache's `job_changes` when the run was last advanced.
    pub(super) advanced_at_change: u64,
}

impl OpenRun {
    /// Expands a run; `None` until all its chunks are cached.
    ///
    /// # Errors
    /// Returns why the definition cannot be expanded.
    pub(super) fn expand(
        id: &RunId,
        record: &RunRecord,
        context: &Context<'_>,
    ) -> Option<Result<OpenRun, ExpansionError>> {
        let definition = unpack_run(id, record, context)?;
        Some(definition.and_then(|definition| OpenRun::new(id, &definition)))
    }

    fn new(id: &RunId, definition: &Asked) -> Result<OpenRun, ExpansionError> {
        let facts = definition.facts();
        let plan =
            expand(&definition.graph, &definition.mapping, &facts, "run").map_err(|problems| {
                let problems: Vec<String> = problems.iter().map(ToString::to_string).collect();
                ExpansionError::Problems(problems.join("; "))
            })?;
        let earlier_jobs = plan.jobs.iter().map(|job| {
            let runs = definition.after.iter();
            runs.map(|run| job_id(&id.dag, run, &job.step, job.copy))
                .collect()
        });
        Ok(OpenRun {
            earlier_jobs: earlier_jobs.collect(),
            inherited: vec![false; plan.jobs.len()],
            observed: vec![Seen::Not; plan.jobs.len()],
            max_active_tasks: definition.graph.max_active_tasks.map(|n| n as usize),
            plan,
            running_since: BTreeMap::new(),
            observed_at: MonotonicMillis(0),
            advanced_at: MonotonicMillis(0),
            advanced_at_change: 0,
        })
    }

    /// Looks up in the record cache which jobs succeeded in earlier runs. Returns at most `max_reads` ids of
    /// jobs that are not cached as finished and must be read from the key-value store.
    pub(super) fn look_up_earlier_jobs(
        &mut self,
        max_reads: usize,
        context: &Context<'_>,
    ) -> Vec<JobId> {
        let mut unknown = Vec::new();
        for (i, ids) in self.earlier_jobs.iter_mut().enumerate() {
            ids.retain(|id| match context.records.finished_job(id) {
                Some(end) => {
                    self.inherited[i] |= end.from_run && end.state == JobState::Done;
                    false
                }
                // Still open, or not in the record cache.
                None => !self.inherited[i],
            });
            if self.inherited[i] {
                ids.clear();
                self.observed[i] = Seen::Done;
            } else if unknown.len() < max_reads {
                unknown.extend(ids.first().cloned());
            }
        }
        unknown
    }

    /// Records that a job of an earlier run does not exist: it was never submitted.
    pub(super) fn exclude_earlier_job(&mut self, id: &JobId) {
        for ids in &mut self.earlier_jobs {
            ids.retain(|other| other != id);
        }
    }

    /// Whether all jobs have been looked up in all earlier runs.
    pub(super) fn has_looked_up_earlier_jobs(&self) -> bool {
        self.earlier_jobs.iter().all(Vec::is_empty)
    }

    /// The submission of a job, without the dependencies that succeeded in an earlier run.
    pub(super) fn submission(&self, index: usize) -> Submission {
        let job = &self.plan.jobs[index];
        let mut submission = job.submission.clone();
        let is_met = |id: &JobId| {
            let mut upstream = job.after.iter();
            upstream.any(|u| self.inherited[*u] && self.plan.jobs[*u].submission.job == *id)
        };
        submission.dependencies.retain(|id| !is_met(id));
        submission
    }

    /// Updates the observed states of all jobs and decides which jobs to cancel and which to submit, at most
    /// `max_submissions`.
    pub(super) fn decide(
        &mut self,
        record: &RunRecord,
        max_submissions: usize,
        context: &Context<'_>,
    ) -> Decision {
        self.observed_at = context.effects.now;
        for (observed, job) in self.observed.iter_mut().zip(&self.plan.jobs) {
            if matches!(*observed, Seen::Done | Seen::Aborted | Seen::Foreign) {
                continue;
            }
            let id = &job.submission.job;
            let state = match (
                context.records.finished_job(id),
                context.records.jobs.get(id),
            ) {
                (Some(end), _) => Some((end.state, end.from_run)),
                (None, Some(v)) => Some((v.value.state, v.value.from_run)),
                (None, None) => None,
            };
            *observed = match state {
                None => *observed,
                Some((_, false)) => Seen::Foreign,
                Some((JobState::Open, true)) => Seen::Open,
                Some((JobState::Done, true)) => Seen::Done,
                Some((JobState::Cancelled, true)) => Seen::Aborted,
            };
        }
        let failed: BTreeSet<usize> = record.failed.iter().map(|(t, _)| t.0 as usize).collect();
        decide(
            &self.plan,
            &self.observed,
            &failed,
            record.cancel_requested,
            self.max_active_tasks,
            max_submissions,
        )
    }

    /// Open jobs that have failed permanently, because their retries are exhausted or they timed out.
    /// `task_failures` is, for each job, the number of failures of the task that has failed most often.
    pub(super) fn failed_jobs(
        &mut self,
        task_failures: &BTreeMap<JobId, u32>,
        context: &Context<'_>,
    ) -> Vec<u32> {
        let mut failed = Vec::new();
        for (i, job) in self.plan.jobs.iter().enumerate() {
            if self.observed[i] != Seen::Open {
                self.running_since.remove(&i);
                continue;
            }
            let id = &job.submission.job;
            let retries_exhausted = task_failures.get(id).is_some_and(|n| *n > job.retries);
            let timed_out = job.timeout_s.is_some_and(|timeout_s| {
                let record = context.records.jobs.get(id).map(|v| &v.value);
                let counts = record.map(|r| context.records.task_counts(id, &r.shards, r.tasks));
                if counts.is_none_or(|counts| counts.running == 0) {
                    self.running_since.remove(&i);
                    return false;
                }
                let now = context.effects.now;
                let since = *self.running_since.entry(i).or_insert(now);
                now.since(since) as f64 > timeout_s * 1000.0
            });
            if retries_exhausted || timed_out {
                failed.push(i as u32);
            }
        }
        failed
    }
}
