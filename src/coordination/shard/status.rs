//! What the controller, its peers and operators read of a shard.

use super::reservations::ReservedCapacity;
use super::{Shard, StealOffer};
use crate::coordination::shard_capacity::ShardCapacity;
use serde::Serialize;
use snowshelf_drain::eviction::EvictionCause;
use snowshelf_model::ids::{JobId, MachineId, MonotonicMillis, Team};
use snowshelf_reconciliation::decision_table::ReconciliationCounts;
use snowshelf_reconciliation::silence::HeartbeatSummary;
use std::collections::BTreeMap;

/// The state of a shard, for operators.
#[derive(Serialize)]
pub struct ShardProgress {
    /// The shard's number.
    #[serde(rename = "part")]
    pub shard_id: u32,
    /// Whether the shard's state has been rebuilt, so that more than leases is renewed.
    pub served: bool,
    /// Machines known, by heartbeats or by records.
    pub machines: usize,
    /// Machines that have acknowledged this leader's fencing token.
    #[serde(rename = "shown")]
    pub token_acknowledged: usize,
    /// What heartbeats have proved since the shard was acquired.
    #[serde(rename = "squared")]
    pub reconciliation: ReconciliationCounts,
    /// Tasks stopped on purpose, by cause.
    pub stopped: BTreeMap<EvictionCause, u64>,
}

impl Shard {
    /// CPUs of the shard, as of the last placement pass.
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

    /// Jobs of DAG runs of which tasks fail here, and how often the worst of these has.
    pub fn failing(&self) -> impl Iterator<Item = (&JobId, u32)> + '_ {
        let failing = self
            .jobs
            .iter()
            .filter(|(_, j)| !j.task_failures.is_empty());
        failing.filter_map(|(id, j)| Some((id, *j.task_failures.values().max()?)))
    }

    /// Jobs that other shards may steal from.
    pub fn offers(&self) -> &[(JobId, StealOffer)] {
        &self.placement.demand.offers
    }

    /// Teams for which the last placement pass lacked quota.
    pub fn teams_short_of_quota(&self) -> impl Iterator<Item = &Team> + '_ {
        self.quotas.shortfalls.keys()
    }

    /// Capacity reserved for teams now, as of the last placement pass.
    pub fn reserved_for_teams(&self) -> &BTreeMap<Team, ReservedCapacity> {
        &self.reservations.capacity
    }

    /// Why evictions are blocked, as of the last round.
    pub fn blocked_evictions(&self) -> &[String] {
        &self.evictions.blocked
    }

    /// How many machines are known, and when the last heartbeat came. A machine known from records alone counts as
    /// heard from when the shard was acquired: otherwise a controller that no worker can reach, and that acquired the
    /// shard before it knew, would never miss them.
    pub fn heartbeat_summary(&self) -> HeartbeatSummary {
        let machines = self.machines.values();
        let known = machines.filter(|m| (m.heartbeat_received || m.inherited) && !m.releasing);
        known.fold(HeartbeatSummary::default(), |summary, m| HeartbeatSummary {
            machines: summary.machines + 1,
            last_at: summary.last_at.max(m.last_heartbeat_at),
        })
    }

    /// The state of the shard, for operators.
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

    /// Machines whose last heartbeat is at most `within_ms` old.
    pub fn machines_heard_since(
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
