//! Whether workers reach this controller: which part's machines turn up at the wrong door, whether an owner
//! that hears nobody hands its part to those who do, and when it hears somebody again.

use super::env::Env;
use crate::outbox::{CallResult, Method, Target};
use snowshelf_model::ids::{CallId, MachineId, Millis, PartId};
use snowshelf_model::protocol::worker::Report;
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
pub struct Hearing {
    /// Machines of parts that are not owned here whose reports came here, and when.
    strangers: BTreeMap<PartId, BTreeMap<MachineId, Millis>>,
    /// Since when no worker reaches this controller although others are reached.
    pub deaf: bool,
    addresses: VecDeque<SocketAddrV4>,
    probe: Option<CallId>,
    probe_at: Millis,
    handed_at: Millis,
}

impl Hearing {
    /// A worker has reached this controller.
    pub fn heard(&mut self, report: &Report, ours: bool, part: PartId, now: Millis) {
        if std::mem::take(&mut self.deaf) {
            tracing::info!(machine = %report.machine, "workers reach this controller again");
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
            let machines = self.strangers.entry(part).or_default();
            machines.insert(report.machine.clone(), now);
        }
    }

    /// How many machines of each part came here lately though another owns it.
    pub fn strangers(&mut self, now: Millis, within_ms: u64) -> BTreeMap<PartId, u32> {
        for machines in self.strangers.values_mut() {
            machines.retain(|_, at| now.since(*at) <= within_ms);
        }
        self.strangers.retain(|_, machines| !machines.is_empty());
        let parts = self.strangers.iter();
        parts.map(|(p, m)| (*p, m.len() as u32)).collect()
    }

    /// Which of the parts that should be handed over goes now, if any.
    pub fn hand_over(&mut self, parts: &BTreeSet<PartId>, now: Millis) -> Option<PartId> {
        if now.since(self.handed_at) < HAND_OVER_GAP_MS {
            return None;
        }
        let part = parts.first().copied()?;
        self.handed_at = now;
        self.deaf = true;
        Some(part)
    }

    /// Asks workers, while none reaches this controller, whether they can be reached.
    pub fn probe(&mut self, env: &mut Env) {
        let now = env.now();
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
        let id = env
            .out
            .call(target, Method::Get, path, Vec::new(), PROBE_MS);
        self.probe = Some(id);
    }

    /// Takes the answer to a probe in; false if the call is not this actor's.
    pub fn done(&mut self, id: CallId, result: &CallResult) -> bool {
        if self.probe != Some(id) {
            return false;
        }
        self.probe = None;
        if matches!(result, CallResult::Answer { status: 200, .. }) && self.deaf {
            tracing::info!("a worker answers this controller again");
            self.deaf = false;
        }
        true
    }
}
