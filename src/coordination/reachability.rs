//! Whether workers reach this controller: which part's machines turn up at the wrong door, whether an owner
//! that hears nobody hands its part to those who do, and when it hears somebody again.

use super::context::Context;
use crate::effects::{CallOutcome, Method, Target};
use snowshelf_model::ids::{CallId, MachineId, MonotonicMillis, ShardId};
use snowshelf_model::protocol::worker::Heartbeat;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddrV4;

/// Addresses of workers that are remembered, to ask them.
const ADDRESSES: usize = 16;
/// How often a controller that hears nobody asks a worker for its state, and how long that may take.
const PROBE_GAP_MS: u64 = 1_000;
const PROBE_MS: u64 = 1_500;
/// A part is handed over at most this often.
const HAND_OVER_GAP_MS: u64 = 2_000;

#[derive(Default)]
pub struct Reachability {
    /// Machines of parts that are not owned here whose reports came here, and when.
    strangers: BTreeMap<ShardId, BTreeMap<MachineId, MonotonicMillis>>,
    /// Since when no worker reaches this controller although others are reached.
    pub deaf: bool,
    addresses: VecDeque<SocketAddrV4>,
    probe: Option<CallId>,
    probe_at: MonotonicMillis,
    handed_at: MonotonicMillis,
}

impl Reachability {
    /// A worker has reached this controller.
    pub fn heard(
        &mut self,
        report: &Heartbeat,
        ours: bool,
        shard_id: ShardId,
        now: MonotonicMillis,
    ) {
        if std::mem::take(&mut self.deaf) {
            tracing::info!(machine = %report.machine, "reachable by workers again");
        }
        if let Some(address) = report.address.as_ref().and_then(|a| a.parse().ok())
            && !self.addresses.contains(&address)
        {
            self.addresses.push_back(address);
            if self.addresses.len() > ADDRESSES {
                self.addresses.pop_front();
            }
        }
        if !ours {
            let machines = self.strangers.entry(shard_id).or_default();
            machines.insert(report.machine.clone(), now);
        }
    }

    /// How many machines of each part came here lately though another owns it.
    pub fn strangers(&mut self, now: MonotonicMillis, within_ms: u64) -> BTreeMap<ShardId, u32> {
        for machines in self.strangers.values_mut() {
            machines.retain(|_, at| now.since(*at) <= within_ms);
        }
        self.strangers.retain(|_, machines| !machines.is_empty());
        let shards = self.strangers.iter();
        shards.map(|(p, m)| (*p, m.len() as u32)).collect()
    }

    /// Which of the parts that should be handed over goes now, if any.
    pub fn hand_over(
        &mut self,
        shards: &BTreeSet<ShardId>,
        now: MonotonicMillis,
    ) -> Option<ShardId> {
        if now.since(self.handed_at) < HAND_OVER_GAP_MS {
            return None;
        }
        let shard_id = shards.first().copied()?;
        self.handed_at = now;
        self.deaf = true;
        Some(shard_id)
    }

    /// Asks workers, while none reaches this controller, whether they can be reached.
    pub fn probe(&mut self, context: &mut Context) {
        let now = context.now();
        if !self.deaf || self.probe.is_some() || now.since(self.probe_at) < PROBE_GAP_MS {
            return;
        }
        let Some(address) = self.addresses.pop_front() else {
            return;
        };
        self.addresses.push_back(address);
        self.probe_at = now;
        let target = Target::Worker(address);
        let path = "/status".to_string();
        let id = context
            .effects
            .call(target, Method::Get, path, Vec::new(), PROBE_MS);
        self.probe = Some(id);
    }

    /// Takes the answer to a probe in; false if the call is not this actor's.
    pub fn done(&mut self, id: CallId, result: &CallOutcome) -> bool {
        if self.probe != Some(id) {
            return false;
        }
        self.probe = None;
        if matches!(result, CallOutcome::Response { status: 200, .. }) && self.deaf {
            tracing::info!("reachability probe answered");
            self.deaf = false;
        }
        true
    }
}
