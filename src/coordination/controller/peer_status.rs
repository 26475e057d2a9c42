//! The status that this controller sends to its peers a few times a second.

use super::Controller;
use super::tick::RECENT_HEARTBEAT_MS;
use crate::coordination::gossip::{HEARTBEAT_NAMES_BYTES, MISSING_NAMES_BYTES, RoundRobinNames};
use crate::coordination::shard::{Shard, StealOffer};
use crate::effects::Effect;
use snowshelf_model::ids::{MachineId, MonotonicMillis};
use snowshelf_model::protocol::peer::{
    FailingJob, ForeignHeartbeats, PeerStatus, PoolSize, ReservedCpus, ShardStatus,
};
use std::collections::BTreeSet;

const SEND_INTERVAL_MS: u64 = 400;
/// For how many heartbeat intervals a heartbeat counts as recent on a controller that does not lead its shard.
const FOREIGN_HEARTBEAT_INTERVALS: u64 = 2;
/// Largest number of failing jobs in one shard's status.
const MAX_FAILING_JOBS: usize = 100;

/// When the status was last sent, and which machine names to send next.
#[derive(Default)]
pub(super) struct PeerStatusSender {
    sent_at: MonotonicMillis,
    heartbeat_names: RoundRobinNames,
    missing_names: RoundRobinNames,
}

impl Controller {
    /// Sends this controller's status to its peers if it is due.
    pub(super) fn tick_peer_status(&mut self) {
        let now = self.env.now();
        if now.since(self.peer_status.sent_at) < SEND_INTERVAL_MS {
            return;
        }
        self.peer_status.sent_at = now;
        let status = self.status();
        for member in self.env.config.other_members() {
            let effect = Effect::PeerStatus(member.clone(), status.clone());
            self.env.effects.outputs.push(effect);
        }
    }

    fn status(&mut self) -> PeerStatus {
        let now = self.env.now();
        let shards = self.shards.values();
        let teams = shards.flat_map(super::super::shard::Shard::teams_short_of_quota);
        let teams: BTreeSet<String> = teams.map(|team| team.as_str().to_string()).collect();
        let shards = self.shard_statuses();
        PeerStatus {
            member: self.env.config.local_member.as_str().to_string(),
            state_silent_ms: self.env.kv_outage_ms(),
            up_ms: now.since(self.env.started_at),
            shards,
            quota_limited_teams: teams.into_iter().collect(),
            missing: self.missing_machines(),
            watch_silent_ms: now.since(self.list_watch.last_watch_at),
            unreachable_by_workers: self.reachability.unreachable_by_workers()
                || self.receives_no_heartbeats(),
            foreign_heartbeats: self.foreign_heartbeats(),
            waits: self.drain_progress(),
        }
    }

    /// The statuses of the shards led here.
    fn shard_statuses(&mut self) -> Vec<ShardStatus> {
        let has_reservations = !self.env.calendar_constraints.reservations.is_empty();
        let shards = self.shards.values();
        let mut statuses: Vec<ShardStatus> = shards
            .map(|shard| shard_status(shard, has_reservations))
            .collect();
        self.add_drain_status(&mut statuses);
        // The first shard's status carries the machines of all shards led here, since the cluster leader merges the
        // lists.
        if let Some(first) = statuses.first_mut() {
            let now = self.env.now();
            let machines = self.shards.values();
            let machines: BTreeSet<MachineId> = machines
                .flat_map(|shard| shard.machines_with_recent_heartbeats(now, RECENT_HEARTBEAT_MS))
                .cloned()
                .collect();
            let names = &mut self.peer_status.heartbeat_names;
            first.recent_heartbeats = names.next(&machines, HEARTBEAT_NAMES_BYTES);
        }
        statuses
    }

    /// Machines that the cloud's list lacks or shows as failed; empty unless this controller leads the cluster.
    fn missing_machines(&mut self) -> Vec<String> {
        let missing: BTreeSet<MachineId> = self
            .autoscaler
            .iter()
            .flat_map(|leader| leader.missing_machines().cloned())
            .collect();
        let names = &mut self.peer_status.missing_names;
        names.next(&missing, MISSING_NAMES_BYTES)
    }

    fn foreign_heartbeats(&mut self) -> Vec<ForeignHeartbeats> {
        let heartbeat_interval_ms = self.env.config.settings.report_ms();
        let within_ms = FOREIGN_HEARTBEAT_INTERVALS * heartbeat_interval_ms;
        let shards = self
            .reachability
            .foreign_heartbeats(self.env.now(), within_ms);
        shards
            .into_iter()
            .map(|(shard_id, machines)| ForeignHeartbeats {
                shard_id: shard_id.0,
                machines,
            })
            .collect()
    }
}

/// A shard's status without its machines and drain observations.
fn shard_status(shard: &Shard, has_reservations: bool) -> ShardStatus {
    let failing = shard.failing_jobs().take(MAX_FAILING_JOBS);
    let reserved = shard.reserved_for_teams().iter();
    ShardStatus {
        shard_id: shard.id.0,
        free_cpus: shard.capacity().free,
        capacity_cpus: shard.capacity().capacity,
        waiting_cpus: shard.capacity().waiting,
        pools: match has_reservations {
            true => pool_sizes(shard),
            false => Vec::new(),
        },
        failing: failing
            .map(|(job, errors)| FailingJob {
                job: job.as_str().to_string(),
                errors,
            })
            .collect(),
        reserved: reserved
            .map(|(team, capacity)| ReservedCpus {
                team: team.as_str().to_string(),
                cpus: capacity.unused_by_team,
            })
            .collect(),
        stranded: offered_jobs(shard, StealOffer::Unplaceable),
        overdue: offered_jobs(shard, StealOffer::Overdue),
        ..ShardStatus::default()
    }
}

/// The jobs that a shard offers to other shards for work stealing, for this reason.
fn offered_jobs(shard: &Shard, reason: StealOffer) -> Vec<String> {
    let offers = shard
        .steal_offers()
        .iter()
        .filter(|(_, offer)| *offer == reason);
    offers.map(|(job, _)| job.as_str().to_string()).collect()
}

fn pool_sizes(shard: &Shard) -> Vec<PoolSize> {
    let pools = shard.machines_by_pool().into_iter();
    pools
        .map(|(pool, (ordinary, spot))| PoolSize {
            zone: pool.zone.to_string(),
            model: pool.model.to_string(),
            ordinary,
            spot,
        })
        .collect()
}
