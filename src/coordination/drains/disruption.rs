//! Computes from the records how much of a team's work is unavailable, over all shards.

use crate::coordination::context::Context;
use snowshelf_drain::budget::{Amount, DisruptionState, RecordView};
use snowshelf_model::ids::{JobId, MachineId, TaskIndex, Team, shard_of};
use snowshelf_model::records::{JobKind, JobState, allocation_key};
use snowshelf_model::task_ranges::TaskRanges;
use std::collections::BTreeMap;

/// A task with more attempts than this keeps failing by itself and does not count as disrupted.
const MAX_ATTEMPTS: u32 = 8;

/// How many tasks have been attempted before.
#[must_use]
pub fn retried_tasks(ranges: &TaskRanges) -> u32 {
    let ranges = ranges.ranges().iter();
    let retried = ranges.filter(|range| (2..=MAX_ATTEMPTS).contains(&range.attempt));
    retried.map(|range| range.end - range.start).sum()
}

/// The disruption of a team's open jobs.
#[derive(Default)]
pub struct TeamDisruption {
    /// Tasks and CPUs of all jobs that are unavailable.
    pub unavailable: Amount,
    jobs: BTreeMap<JobId, JobDisruption>,
}

/// The tasks of one job, over all shards.
#[derive(Clone, Copy, Default)]
struct JobDisruption {
    unavailable: u32,
    /// Started tasks, without those that are being restarted.
    up: u32,
    tasks: u32,
    is_service: bool,
}

impl TeamDisruption {
    /// Adds up the allocations of all shards. A task that has been attempted before counts as unavailable,
    /// whether it was evicted or lost, until its shard leader has seen it run again.
    #[must_use]
    pub fn of(team: &Team, context: &Context<'_>) -> TeamDisruption {
        let mut disruption = TeamDisruption::default();
        for ((shard_id, id), allocation) in &context.records.allocations {
            let Some(record) = context.records.jobs.get(id) else {
                continue;
            };
            let (JobState::Open, Some(spec)) = (record.value.state, &record.value.spec) else {
                continue;
            };
            if spec.team != *team {
                continue;
            }
            let waiting = retried_tasks(&allocation.value.waiting);
            let started: u32 = allocation.value.started.values().map(retried_tasks).sum();
            let restarted = &context.drains.restarted_tasks;
            let restarted = restarted.get(&(*shard_id, id.clone())).copied();
            let starting = started.saturating_sub(restarted.unwrap_or(0));
            let unavailable = waiting.saturating_add(starting);
            disruption.unavailable.add(unavailable, spec.resources.cpus);
            let job = disruption.jobs.entry(id.clone()).or_default();
            job.unavailable += unavailable;
            // A replica that is being restarted is not up.
            job.up += allocation.value.started_count().saturating_sub(starting);
            job.tasks = spec.tasks;
            job.is_service = spec.kind == JobKind::Service;
        }
        disruption
    }

    /// The state against which evictions of a job are charged to the disruption budget.
    #[must_use]
    pub fn state_for(&self, job: &JobId) -> DisruptionState {
        let job = self.jobs.get(job).copied().unwrap_or_default();
        DisruptionState {
            unavailable: self.unavailable,
            job_unavailable: job.unavailable,
            job_tasks: job.tasks,
            job_up: job.up,
            is_service: job.is_service,
        }
    }
}

/// Whether any task of a job, from `first` on, is recorded as started on a machine.
fn has_started(machine: &MachineId, job: &JobId, first: TaskIndex, context: &Context<'_>) -> bool {
    let shard_id = shard_of(machine.as_str(), context.config.shard_count);
    let allocation = context.records.allocations.get(&(shard_id, job.clone()));
    let started = allocation.and_then(|a| a.value.started.get(machine));
    started.is_some_and(|s| s.iter().any(|(task, _)| task >= first))
}

/// Calls `evaluate` with a view of the record cache, for creating and settling charges.
pub fn with_record_view<T>(
    context: &Context<'_>,
    evaluate: impl FnOnce(&RecordView<'_>) -> T,
) -> T {
    let has_started =
        |machine: &MachineId, job: &JobId, first| has_started(machine, job, first, context);
    let allocation_version = |machine: &MachineId, job: &JobId| {
        let shard_id = shard_of(machine.as_str(), context.config.shard_count);
        context.records.version_of(&allocation_key(shard_id, job))
    };
    evaluate(&RecordView {
        revision: context.records.revision,
        has_started: &has_started,
        allocation_version: &allocation_version,
    })
}
