//! The job API's estimate of free capacity, by which jobs are partitioned over shards.

use crate::coordination::shard_capacity::ShardCapacity;
use snowshelf_model::ids::{MonotonicMillis, ShardId, Team};
use std::collections::{BTreeMap, VecDeque};

/// How long an assignment is counted beside the capacity that its shard reports of itself.
const RECENT_ASSIGNMENT_MS: u64 = 1_000;

/// CPUs of a job assigned to a shard that its reported capacity does not include yet.
struct RecentAssignment {
    at: MonotonicMillis,
    shard: ShardId,
    cpus: f64,
}

/// Free capacity of all shards, with what was assigned since they reported it.
#[derive(Default)]
pub(super) struct CapacityEstimate {
    /// Capacity as last reported, by shard.
    pub(super) reported: BTreeMap<ShardId, ShardCapacity>,
    /// CPUs that shards reserve for a team beside that.
    pub(super) reserved_cpus: BTreeMap<(ShardId, Team), f64>,
    recent: VecDeque<RecentAssignment>,
}

impl CapacityEstimate {
    /// The capacity by shard after all recent assignments.
    pub(super) fn current(&mut self, now: MonotonicMillis) -> BTreeMap<ShardId, ShardCapacity> {
        self.recent
            .retain(|a| now.since(a.at) < RECENT_ASSIGNMENT_MS);
        let mut shards = self.reported.clone();
        for assignment in &self.recent {
            let capacity = shards.entry(assignment.shard).or_default();
            capacity.assign(assignment.cpus);
        }
        shards
    }

    /// `shards` with the capacity that is reserved for a team.
    pub(super) fn with_reserved(
        &self,
        shards: &BTreeMap<ShardId, ShardCapacity>,
        team: &Team,
    ) -> BTreeMap<ShardId, ShardCapacity> {
        let mut shards = shards.clone();
        for ((shard, reserved_for), cpus) in &self.reserved_cpus {
            if reserved_for == team {
                shards.entry(*shard).or_default().free += cpus;
            }
        }
        shards
    }

    /// Records that tasks of so many CPUs were assigned to a shard.
    pub(super) fn record_assignment(&mut self, at: MonotonicMillis, shard: ShardId, cpus: f64) {
        self.recent.push_back(RecentAssignment { at, shard, cpus });
    }
}
