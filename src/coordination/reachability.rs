//! Detects whether workers can reach this controller.
//!
//! Heartbeats from machines of shards that are led elsewhere are counted, since they show that the workers cannot
//! reach those leaders. A shard leader that receives no heartbeats itself hands its shard over, and probes workers
//! until one of them answers.

use super::context::Context;
use crate::effects::{CallOutcome, Method, Target};
use snowshelf_model::ids::{CallId, MachineId, MonotonicMillis, ShardId};
use snowshelf_model::protocol::worker::Heartbeat;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddrV4;

/// How many worker addresses are kept for probes.
const MAX_ADDRESSES: usize = 16;
/// Shortest time between two probes.
const PROBE_INTERVAL_MS: u64 = 1_000;
const PROBE_TIMEOUT_MS: u64 = 1_500;
/// Shortest time between two handovers of shards.
const HANDOVER_INTERVAL_MS: u64 = 2_000;

/// Tracks whether workers can reach this controller.
#[derive(Default)]
pub struct Reachability {
    /// Machines of shards led elsewhere that sent heartbeats to this controller, and when they last did.
    foreign_heartbeats: BTreeMap<ShardId, BTreeMap<MachineId, MonotonicMillis>>,
    unreachable_by_workers: bool,
    /// Addresses of workers that sent heartbeats to this controller; the front one is probed next.
    addresses: VecDeque<SocketAddrV4>,
    probe: Option<CallId>,
    last_probe_at: MonotonicMillis,
    last_handover_at: MonotonicMillis,
}

impl Reachability {
    /// Whether workers cannot reach this controller but reach others.
    #[must_use]
    pub fn unreachable_by_workers(&self) -> bool {
        self.unreachable_by_workers
    }

    /// Handles a heartbeat from a machine of `shard_id`. `is_led_here` says whether this controller leads the shard.
    pub fn on_heartbeat(
        &mut self,
        heartbeat: &Heartbeat,
        shard_id: ShardId,
        is_led_here: bool,
        now: MonotonicMillis,
    ) {
        if std::mem::take(&mut self.unreachable_by_workers) {
            tracing::info!(machine = %heartbeat.machine, "reachable by workers again");
        }
        self.remember_address(heartbeat);
        if !is_led_here {
            let machines = self.foreign_heartbeats.entry(shard_id).or_default();
            machines.insert(heartbeat.machine.clone(), now);
        }
    }

    fn remember_address(&mut self, heartbeat: &Heartbeat) {
        let address = heartbeat.address.as_ref().and_then(|a| a.parse().ok());
        if let Some(address) = address
            && !self.addresses.contains(&address)
        {
            self.addresses.push_back(address);
            if self.addresses.len() > MAX_ADDRESSES {
                self.addresses.pop_front();
            }
        }
    }

    /// Counts the machines of each shard led elsewhere that sent heartbeats to this controller within the last
    /// `within_ms`.
    pub fn foreign_heartbeats(
        &mut self,
        now: MonotonicMillis,
        within_ms: u64,
    ) -> BTreeMap<ShardId, u32> {
        for machines in self.foreign_heartbeats.values_mut() {
            machines.retain(|_, at| now.since(*at) <= within_ms);
        }
        self.foreign_heartbeats
            .retain(|_, machines| !machines.is_empty());
        let shards = self.foreign_heartbeats.iter();
        shards
            .map(|(shard_id, machines)| (*shard_id, machines.len() as u32))
            .collect()
    }

    /// Chooses the next of `shards` to hand over; `None` if there is none or the last handover was too recent.
    #[must_use]
    pub fn choose_handover(
        &mut self,
        shards: &BTreeSet<ShardId>,
        now: MonotonicMillis,
    ) -> Option<ShardId> {
        if now.since(self.last_handover_at) < HANDOVER_INTERVAL_MS {
            return None;
        }
        let shard_id = shards.first().copied()?;
        self.last_handover_at = now;
        self.unreachable_by_workers = true;
        Some(shard_id)
    }

    /// Probes a worker if a probe is due and this controller is unreachable by workers.
    pub fn probe(&mut self, context: &mut Context<'_>) {
        let now = context.now();
        let due = self.probe.is_none() && now.since(self.last_probe_at) >= PROBE_INTERVAL_MS;
        if !self.unreachable_by_workers || !due {
            return;
        }
        let Some(address) = self.addresses.pop_front() else {
            return;
        };
        self.addresses.push_back(address);
        self.last_probe_at = now;
        let target = Target::Worker(address);
        let path = "/status".to_string();
        let id = context
            .effects
            .call(target, Method::Get, path, Vec::new(), PROBE_TIMEOUT_MS);
        self.probe = Some(id);
    }

    /// Handles the outcome of a probe. Returns false if another actor made the call.
    #[must_use]
    pub fn on_response(&mut self, id: CallId, outcome: &CallOutcome) -> bool {
        if self.probe != Some(id) {
            return false;
        }
        self.probe = None;
        let is_answered = matches!(outcome, CallOutcome::Response { status: 200, .. });
        if is_answered && self.unreachable_by_workers {
            tracing::info!("reachability probe answered");
            self.unreachable_by_workers = false;
        }
        true
    }
}
