//! The leader's machines as the steps of drains need to know them.

use super::Autoscaler;
use crate::coordination::context::Context;
use crate::coordination::placement::estimated_run_s;
use snowshelf_drain::stepping::ObservedMachine;
use snowshelf_model::ids::{MachineId, MonotonicMillis, WallClockMillis, seconds_to_ms};
use snowshelf_model::protocol::cloud::{ListedMachine, ListedMachineState};
use std::collections::{BTreeMap, BTreeSet};

/// A machine is up if a shard leader has had a heartbeat of it this lately, in milliseconds.
const HEARTBEAT_MS: u64 = 15_000;

/// What runs on a machine.
#[derive(Clone, Copy, Default)]
struct MachineLoad {
    /// CPUs in use.
    cpus: f64,
    /// Work that would be lost if all its tasks were evicted, in CPU seconds.
    unsaved_cpu_s: f64,
}

/// What runs on each machine, by the records.
fn loads<'a>(context: &'a Context<'_>) -> BTreeMap<&'a MachineId, MachineLoad> {
    let default_s = context.config.ops.default_run_s;
    let mut loads: BTreeMap<&MachineId, MachineLoad> = BTreeMap::new();
    for ((_, id), allocation) in &context.records.allocations {
        let record = context.records.jobs.get(id);
        let Some(spec) = record.and_then(|v| v.value.spec.as_ref()) else {
            continue;
        };
        // A task with checkpoints loses what it did since the last one.
        let unsaved_s = if spec.checkpoint_interval_s > 0.0 {
            spec.checkpoint_interval_s
                .min(estimated_run_s(spec, default_s))
        } else {
            estimated_run_s(spec, default_s)
        };
        for (machine, tasks) in &allocation.value.started {
            let cpus = spec.resources.cpus * f64::from(tasks.len());
            let load = loads.entry(machine).or_default();
            load.cpus += cpus;
            load.unsaved_cpu_s += cpus * unsaved_s;
        }
    }
    loads
}

impl Autoscaler {
    /// All machines that are listed and have not failed, with what they do; `None` before there is a list.
    #[must_use]
    pub fn machines_for_drains(
        &self,
        context: &Context<'_>,
    ) -> Option<BTreeMap<MachineId, ObservedMachine>> {
        if !self.list.is_complete {
            return None;
        }
        let loads = loads(context);
        let listed = self.list.listed.values();
        let working = listed.filter(|l| l.state != ListedMachineState::Failed);
        let machines = working.map(|listed| {
            let load = loads.get(&listed.machine).copied().unwrap_or_default();
            (
                listed.machine.clone(),
                self.machine_for_drains(listed, load, context),
            )
        });
        Some(machines.collect())
    }

    fn machine_for_drains(
        &self,
        listed: &ListedMachine,
        load: MachineLoad,
        context: &Context<'_>,
    ) -> ObservedMachine {
        let now: MonotonicMillis = context.effects.now;
        let heartbeat = self.heartbeats.get(listed.machine.as_str());
        let has_heartbeat = heartbeat.is_some_and(|at| now.since(*at) <= HEARTBEAT_MS);
        // The list is some time old, and its ages are as of then.
        let list_lag_s = context.config.settings.deployment.cloud.list_lag_s;
        let age_ms = seconds_to_ms(listed.age_s) + seconds_to_ms(list_lag_s);
        let machine_type = context.machine_types.get(&listed.model);
        ObservedMachine {
            zone: listed.zone.clone(),
            model: listed.model.clone(),
            spot: listed.spot,
            rented_at: WallClockMillis(self.list.read_at_wall_ms.saturating_sub(age_ms)),
            up: listed.state == ListedMachineState::Running && has_heartbeat,
            cpus: machine_type.map_or(0.0, |t| t.cpus),
            busy_cpus: load.cpus,
            unsaved_cpu_s: load.unsaved_cpu_s,
        }
    }

    /// How many machines are missing on which the records still have tasks: they failed or were
    /// interrupted. Those that were released are missing as well, with nothing on them.
    #[must_use]
    pub fn lost_machines(&self, context: &Context<'_>) -> usize {
        let allocations = context.records.allocations.values();
        let started = allocations.flat_map(|a| a.value.started.keys());
        let with_tasks: BTreeSet<&MachineId> = started.collect();
        let missing = self.missing_machines();
        missing.filter(|name| with_tasks.contains(name)).count()
    }
}
