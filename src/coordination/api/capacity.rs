//! Estimate of the shards' free capacity, used to partition jobs over shards.

use crate::coordination::shard_capacity::ShardCapacity;
use snowshelf_model::ids::{MonotonicMillis, ShardId, Team};
use std::collections::{BTreeMap, VecDeque};

/// How long an assignment is deducted from its shard's reported capacity, in milliseconds. After that the
/// shard's report includes it.
const RECENT_ASSIGNMENT_MS: u64 = 1_000;

/// CPUs assigned to a shard that its reported capacity does not reflect yet.
struct RecentAssignment {
    at: MonotonicMillis,
    shard: ShardId,
    cpus: f64,
}

/// Reported capacity of all shards and the assignments made since the reports.
#[derive(Default)]
pub(super) struct CapacityEstimate {
    /// Capacity as last reported, by shard.
    pub(super) reported: BTreeMap<ShardId, ShardCapacity>,
    /// CPUs that shards reserve for a team, not included in `reported`.
    pub(super) reserved_cpus: BTreeMap<(ShardId, Team), f64>,
    recent: VecDeque<RecentAssignment>,
}

impl CapacityEstimate {
    /// Returns the capacity by shard after deducting recent assignments.
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

    /// Returns `shards` with the CPUs reserved for a team added to the free CPUs.
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

    /// Records an assignment of tasks that need `cpus` in total to a shard.
    pub(super) fn record_assignment(&mut self, at: MonotonicMillis, shard: ShardId, cpus: f64) {
        self.recent.push_back(RecentAssignment { at, shard, cpus });
    }
}
