//! How a job's tasks are partitioned over shards.

use crate::coordination::shard_capacity::ShardCapacity;
use snowshelf_model::ids::{JobId, ShardId, shard_of};
use snowshelf_model::records::{JobKind, JobSpec};
use snowshelf_model::task_ranges::TaskRanges;
use std::collections::BTreeMap;

/// A shard is assigned tasks only if it takes at least one in so many of those that are left.
const MIN_SHARD_FRACTION: u32 = 4;
/// Least CPUs that a task counts for, so that divisions by its size are safe.
const MIN_TASK_CPUS: f64 = 0.01;

/// The tasks of a job that one shard is to run.
#[derive(Clone, PartialEq, Debug)]
pub struct ShardAssignment {
    /// The shard.
    pub shard: ShardId,
    /// Its tasks.
    pub tasks: TaskRanges,
}

impl ShardAssignment {
    /// All tasks of a job on one shard.
    pub(super) fn whole_job(shard: ShardId, spec: &JobSpec) -> ShardAssignment {
        ShardAssignment {
            shard,
            tasks: TaskRanges::range(0, spec.tasks, 1),
        }
    }
}

/// Partitions a job over shards by their free capacity, over no more of them than its tasks need: every
/// allocation costs a record of its own and several writes. Jobs with the same image prefer the same
/// shards, so that a shard's machines need few images; `fetch_s` is the time to fetch this one, in seconds.
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
        let ring = (0..shard_count).map(|i| (first + i) % shard_count);
        let freest = ring.max_by(|a, b| free_cpus(*a).total_cmp(&free_cpus(*b)));
        return vec![ShardAssignment::whole_job(
            ShardId(freest.unwrap_or(first)),
            spec,
        )];
    }
    let task_cpus = spec.resources.cpus.max(MIN_TASK_CPUS);
    let image_home = shard_of(&spec.image, shard_count).0;
    // How long the tasks would wait in a shard, and how far that is from the image's home.
    let cost = |shard: u32, tasks: u32| {
        let backlog = capacity_of(shard).waiting + f64::from(tasks) * task_cpus - free_cpus(shard);
        let rounds = backlog.max(0.0) / capacity_of(shard).capacity.max(task_cpus);
        let distance = (shard + shard_count - image_home) % shard_count;
        rounds * spec.estimate_s + fetch_s * f64::from(distance)
    };
    let mut by_cost: Vec<(f64, u32)> = (0..shard_count)
        .map(|shard| (cost(shard, spec.tasks), shard))
        .collect();
    by_cost.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
    let mut unassigned = spec.tasks;
    let mut task_counts: BTreeMap<u32, u32> = BTreeMap::new();
    for (_, shard) in &by_cost {
        let fit = ((free_cpus(*shard) / task_cpus) as u32).min(unassigned);
        if fit > 0 && fit.saturating_mul(MIN_SHARD_FRACTION) >= unassigned {
            task_counts.insert(*shard, fit);
            unassigned -= fit;
        }
    }
    if unassigned > 0 {
        // What must wait goes to the shard where it waits least.
        let cheapest = by_cost.first().map_or(image_home, |(_, shard)| *shard);
        *task_counts.entry(cheapest).or_default() += unassigned;
    }
    consecutive_ranges(task_counts)
}

/// Gives each shard the next tasks of the job, in the order of shards.
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
