//! What of a team's work is away, over all parts, by the records.

use crate::coordination::context::Context;
use snowshelf_drain::budget::{Amount, Facts, Picture};
use snowshelf_model::ids::{JobId, MachineId, TaskIndex, Team, shard_of};
use snowshelf_model::records::{JobKind, JobState, allocation_key};
use snowshelf_model::task_ranges::TaskRanges;
use std::collections::BTreeMap;

/// A task that has been tried so often fails by itself, over and over: it is not waited for.
const MOST_TRIES: u32 = 8;

/// Tasks that have been tried before.
pub fn tried(spans: &TaskRanges) -> u32 {
    let tried = spans.ranges().iter();
    let tried = tried.filter(|s| (2..=MOST_TRIES).contains(&s.attempt));
    tried.map(|s| s.end - s.start).sum()
}

/// A team's open jobs.
#[derive(Default)]
pub struct TeamWork {
    pub away: Amount,
    jobs: BTreeMap<JobId, JobWork>,
}

#[derive(Clone, Copy, Default)]
struct JobWork {
    away: u32,
    up: u32,
    tasks: u32,
    standing: bool,
}

impl TeamWork {
    /// Adds up the shares of all parts: a task that has been tried before is away, stopped or lost, unless
    /// its part's owner has seen it run again.
    pub fn of(team: &Team, context: &Context) -> TeamWork {
        let mut work = TeamWork::default();
        for ((shard_id, id), alloc) in &context.records.allocations {
            let Some(record) = context.records.jobs.get(id) else {
                continue;
            };
            let (JobState::Open, Some(spec)) = (record.value.state, &record.value.spec) else {
                continue;
            };
            if spec.team != *team {
                continue;
            }
            let waiting = tried(&alloc.value.waiting);
            let started: u32 = alloc.value.started.values().map(tried).sum();
            let again = context.drains.again.get(&(*shard_id, id.clone()));
            let again = again.copied().unwrap_or(0);
            let coming = started.saturating_sub(again);
            let away = waiting.saturating_add(coming);
            work.away.add(away, spec.resources.cpus);
            let job = work.jobs.entry(id.clone()).or_default();
            job.away += away;
            // A replica that is on its way back is not up.
            job.up += alloc.value.started_count().saturating_sub(coming);
            job.tasks = spec.tasks;
            job.standing = spec.kind == JobKind::Service;
        }
        work
    }

    pub fn facts(&self, job: &JobId) -> Facts {
        let job = self.jobs.get(job).copied().unwrap_or_default();
        Facts {
            away: self.away,
            job_away: job.away,
            job_tasks: job.tasks,
            job_up: job.up,
            standing: job.standing,
        }
    }
}

/// Whether the records have any of a job's tasks from some number on started on a machine.
fn there(machine: &MachineId, job: &JobId, from: TaskIndex, context: &Context) -> bool {
    let shard_id = shard_of(machine.as_str(), context.config.shard_count);
    let share = context.records.allocations.get(&(shard_id, job.clone()));
    let started = share.and_then(|a| a.value.started.get(machine));
    started.is_some_and(|s| s.iter().any(|(task, _)| task >= from))
}

/// Asks something of the picture of the records that charges are held against.
pub fn with_picture<T>(context: &Context, ask: impl FnOnce(&Picture) -> T) -> T {
    let look = |machine: &MachineId, job: &JobId, from| there(machine, job, from, context);
    let version = |machine: &MachineId, job: &JobId| {
        let shard_id = shard_of(machine.as_str(), context.config.shard_count);
        context.records.version_of(&allocation_key(shard_id, job))
    };
    ask(&Picture {
        seen: context.records.revision,
        there: &look,
        version: &version,
    })
}
