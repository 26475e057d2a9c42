//! The leader's machines as the drains' steps see them.

use super::Autoscaler;
use crate::coordination::context::Context;
use crate::coordination::placement::estimate;
use snowshelf_drain::stepping::Seen;
use snowshelf_model::ids::{MachineId, WallClockMillis, seconds_to_ms};
use snowshelf_model::protocol::cloud::ListedMachineState;
use std::collections::{BTreeMap, BTreeSet};

/// A machine is up for others once an owner has heard of it this lately.
const HEARD_MS: u64 = 15_000;

impl Autoscaler {
    /// All machines that are listed and work, by what they do; `None` before there is a list.
    pub fn seen(&self, context: &Context) -> Option<BTreeMap<MachineId, Seen>> {
        if !self.have_list {
            return None;
        }
        let now = context.effects.now;
        let default_s = context.config.ops.default_run_s;
        let mut work: BTreeMap<&MachineId, (f64, f64)> = BTreeMap::new();
        for ((_, id), alloc) in &context.records.allocations {
            let record = context.records.jobs.get(id);
            let Some(spec) = record.and_then(|v| v.value.spec.as_ref()) else {
                continue;
            };
            // What saves as it goes loses next to nothing.
            let length_s = match spec.checkpoint_interval_s > 0.0 {
                true => spec.checkpoint_interval_s.min(estimate(spec, default_s)),
                false => estimate(spec, default_s),
            };
            for (name, tasks) in &alloc.value.started {
                let cpus = spec.resources.cpus * f64::from(tasks.len());
                let (busy, loses) = work.entry(name).or_default();
                *busy += cpus;
                *loses += cpus * length_s;
            }
        }
        let lag_ms = seconds_to_ms(context.config.settings.deployment.cloud.list_lag_s);
        let listed = self.listed.values();
        let listed = listed.filter(|l| l.state != ListedMachineState::Failed);
        let seen = listed.map(|l| {
            let (busy, loses) = work.get(&l.machine).copied().unwrap_or_default();
            let heard = self.heard.get(l.machine.as_str());
            // The list is some time old, and the age it tells is as of then.
            let age_ms = seconds_to_ms(l.age_s) + lag_ms;
            let seen = Seen {
                zone: l.zone.clone(),
                model: l.model.clone(),
                spot: l.spot,
                rented: WallClockMillis(self.listed_wall.saturating_sub(age_ms)),
                up: l.state == ListedMachineState::Running
                    && heard.is_some_and(|at| now.since(*at) <= HEARD_MS),
                cpus: context.types.get(&l.model).map_or(0.0, |t| t.cpus),
                busy,
                loses,
            };
            (l.machine.clone(), seen)
        });
        Some(seen.collect())
    }

    /// Machines that are missed and on which the records still have tasks: they died or were taken. Those
    /// that were returned are missed as well, with nothing on them.
    pub fn lost(&self, context: &Context) -> usize {
        let shares = context.records.allocations.values();
        let names: BTreeSet<&MachineId> = shares.flat_map(|a| a.value.started.keys()).collect();
        let missing = self.missing.keys();
        missing.filter(|name| names.contains(name)).count()
    }

    /// Whether the cloud lately had no more of something.
    pub fn refuses(&self) -> bool {
        !self.refused.is_empty()
    }
}
