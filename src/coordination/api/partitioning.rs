//! Partitioning of a job's tasks over shards.

use crate::coordination::shard_capacity::ShardCapacity;
use snowshelf_model::ids::{JobId, ShardId, shard_of};
use snowshelf_model::records::{JobKind, JobSpec};
use snowshelf_model::task_ranges::TaskRanges;
use std::collections::BTreeMap;

/// A shard is assigned tasks only if it can run at least the unassigned tasks divided by this number.
const MIN_ASSIGNMENT_DIVISOR: u32 = 4;
/// Lower bound on the CPUs counted for a task; prevents division by zero.
const MIN_TASK_CPUS: f64 = 0.01;

/// The tasks of a job that are assigned to one shard.
#[derive(Clone, PartialEq, Debug)]
pub struct ShardAssignment {
    /// The shard that runs the tasks.
    pub shard: ShardId,
    /// The tasks assigned to it.
    pub tasks: TaskRanges,
}

impl ShardAssignment {
    /// Assigns all tasks of a job to one shard.
    pub(super) fn whole_job(shard: ShardId, spec: &JobSpec) -> ShardAssignment {
        ShardAssignment {
            shard,
            tasks: TaskRanges::range(0, spec.tasks, 1),
        }
    }
}

/// Partitions a job over shards by their free capacity. Uses no more shards than the tasks need, because
/// every allocation costs a record and several writes. Jobs with the same image prefer the same shards, so
/// that each shard's machines fetch few images. `fetch_s` is the time to fetch the image, in seconds.
#[must_use]
pub fn partition(
    job: &JobId,
    spec: &JobSpec,
    fetch_s: f64,
    shard_count: u32,
    capacity: &BTreeMap<ShardId, ShardCapacity>,
) -> Vec<ShardAssignment> {
    let capacity_of = |shard: u32| capacity.get(&ShardId(shard)).copied().unwrap_or_default();
    let free_cpus = |shard: u32| capacity_of(shard).free.max(0.0);
    if spec.kind == JobKind::Service
        || spec.is_zone_constrained()
        || spec.tasks == 1
        || shard_count == 1
    {
        let first = shard_of(job.as_str(), shard_count).0;
        let candidates = (0..shard_count).map(|i| (first + i) % shard_count);
        let most_free = candidates.max_by(|a, b| free_cpus(*a).total_cmp(&free_cpus(*b)));
        return vec![ShardAssignment::whole_job(
            ShardId(most_free.unwrap_or(first)),
            spec,
        )];
    }
    let task_cpus = spec.resources.cpus.max(MIN_TASK_CPUS);
    let preferred_shard = shard_of(&spec.image, shard_count).0;
    // The estimated wait in a shard, plus a penalty of `fetch_s` for each step away from the image's
    // preferred shard.
    let cost = |shard: u32, tasks: u32| {
        let backlog = capacity_of(shard).waiting + f64::from(tasks) * task_cpus - free_cpus(shard);
        let rounds = backlog.max(0.0) / capacity_of(shard).capacity.max(task_cpus);
        let distance = (shard + shard_count - preferred_shard) % shard_count;
        rounds * spec.estimate_s + fetch_s * f64::from(distance)
    };
    let mut by_cost: Vec<(f64, u32)> = (0..shard_count)
        .map(|shard| (cost(shard, spec.tasks), shard))
        .collect();
    by_cost.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
    let mut unassigned = spec.tasks;
    let mut task_counts: BTreeMap<u32, u32> = BTreeMap::new();
    for (_, shard) in &by_cost {
        let fitting_tasks = ((free_cpus(*shard) / task_cpus) as u32).min(unassigned);
        if fitting_tasks > 0 && fitting_tasks.saturating_mul(MIN_ASSIGNMENT_DIVISOR) >= unassigned {
            task_counts.insert(*shard, fitting_tasks);
            unassigned -= fitting_tasks;
        }
    }
    if unassigned > 0 {
        // Tasks that must wait go to the shard with the lowest cost.
        let cheapest = by_cost.first().map_or(preferred_shard, |(_, shard)| *shard);
        *task_counts.entry(cheapest).or_default() += unassigned;
    }
    consecutive_ranges(task_counts)
}

/// Assigns consecutive task ranges to the shards, in the order of their ids.
fn consecutive_ranges(task_counts: BTreeMap<u32, u32>) -> Vec<ShardAssignment> {
    let mut first_task = 0;
    let mut assignments = Vec::new();
    for (shard, count) in task_counts {
        assignments.push(ShardAssignment {
            shard: ShardId(shard),
            tasks: TaskRanges::range(first_task, first_task + count, 1),
        });
        first_task += count;
    }
    assignments
}
