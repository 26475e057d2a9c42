//! The state of a shard that the controller, its peers and operators read.

use super::reservations::ReservedCapacity;
use super::{Shard, StealOffer};
use crate::coordination::shard_capacity::ShardCapacity;
use serde::Serialize;
use snowshelf_drain::eviction::EvictionCause;
use snowshelf_model::ids::{JobId, MachineId, MonotonicMillis, Team};
use snowshelf_reconciliation::decision_table::ReconciliationCounts;
use snowshelf_reconciliation::silence::HeartbeatSummary;
use std::collections::BTreeMap;

/// Status of a shard for operators.
#[derive(Serialize)]
pub struct ShardProgress {
    /// Number of the shard.
    #[serde(rename = "part")]
    pub shard_id: u32,
    /// Whether the shard's state has been rebuilt. Until then, the leader only renews worker
    /// leases.
    pub served: bool,
    /// Machines known from heartbeats or from records.
    pub machines: usize,
    /// Machines that have acknowledged this leader's fencing token.
    #[serde(rename = "shown")]
    pub token_acknowledged: usize,
    /// Counts of what heartbeats have shown since the shard was acquired.
    #[serde(rename = "squared")]
    pub reconciliation: ReconciliationCounts,
    /// Tasks stopped on purpose, by cause.
    pub stopped: BTreeMap<EvictionCause, u64>,
}

impl Shard {
    /// Returns the shard's CPU capacity and load as of the last placement pass.
    pub fn capacity(&self) -> ShardCapacity {
        ShardCapacity {
            free: self.load.free_cpus,
            capacity: self.load.capacity_cpus,
            waiting: self.load.waiting_cpus,
        }
    }

    /// Whether the shard has an allocation of this job.
    pub fn has_job(&self, job: &JobId) -> bool {
        self.jobs.contains_key(job)
    }

    /// Iterates over the jobs of DAG runs with failed tasks in this shard, each with the highest
    /// number of failures of any of its tasks.
    pub fn failing_jobs(&self) -> impl Iterator<Item = (&JobId, u32)> + '_ {
        let failing = self
            .jobs
            .iter()
            .filter(|(_, j)| !j.task_failures.is_empty());
        failing.filter_map(|(id, j)| Some((id, *j.task_failures.values().max()?)))
    }

    /// Returns the jobs that other shards may steal from.
    pub fn steal_offers(&self) -> &[(JobId, StealOffer)] {
        &self.placement.demand.offers
    }

    /// Iterates over the teams for which the last placement pass lacked quota.
    pub fn teams_short_of_quota(&self) -> impl Iterator<Item = &Team> + '_ {
        self.quotas.shortfalls.keys()
    }

    /// Returns the capacity reserved for teams now, as of the last placement pass.
    pub fn reserved_for_teams(&self) -> &BTreeMap<Team, ReservedCapacity> {
        &self.reservations.capacity
    }

    /// Returns why evictions were blocked in the last round.
    pub fn blocked_evictions(&self) -> &[String] {
        &self.evictions.blocked
    }

    /// Returns the number of known machines and the time of the last heartbeat. For machines known
    /// only from records, the acquisition of the shard counts as a heartbeat. Otherwise a
    /// controller that no worker can reach would never notice that their heartbeats are missing.
    pub fn heartbeat_summary(&self) -> HeartbeatSummary {
        let machines = self.machines.values();
        let known = machines.filter(|m| (m.heartbeat_received || m.inherited) && !m.releasing);
        known.fold(HeartbeatSummary::default(), |summary, m| HeartbeatSummary {
            machines: summary.machines + 1,
            last_at: summary.last_at.max(m.last_heartbeat_at),
        })
    }

    /// Returns the status of the shard for operators.
    pub fn progress(&self) -> ShardProgress {
        let machines = self.machines.values();
        ShardProgress {
            shard_id: self.id.0,
            served: self.ready,
            machines: self.machines.len(),
            token_acknowledged: machines.filter(|m| m.token_acknowledged).count(),
            reconciliation: self.reconciliation.clone(),
            stopped: self.evictions.counts.clone(),
        }
    }

    /// Iterates over the machines whose last heartbeat is at most `within_ms` old.
    pub fn machines_with_recent_heartbeats(
        &self,
        now: MonotonicMillis,
        within_ms: u64,
    ) -> impl Iterator<Item = &MachineId> + '_ {
        self.machines
            .iter()
            .filter(move |(_, m)| {
                m.heartbeat_received && now.since(m.last_heartbeat_at) <= within_ms
            })
            .map(|(name, _)| name)
    }
}
