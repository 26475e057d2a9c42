//! The cluster leader's view of machines, on which drain steps decide.

use super::Autoscaler;
use crate::coordination::context::Context;
use crate::coordination::placement::estimated_run_s;
use snowshelf_drain::stepping::ObservedMachine;
use snowshelf_model::ids::{MachineId, MonotonicMillis, WallClockMillis, seconds_to_ms};
use snowshelf_model::protocol::cloud::{ListedMachine, ListedMachineState};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum age of a machine's last heartbeat for it to count as up, in milliseconds.
const HEARTBEAT_MAX_AGE_MS: u64 = 15_000;

/// The load of a machine's running tasks.
#[derive(Clone, Copy, Default)]
struct MachineLoad {
    /// CPUs that tasks use.
    cpus: f64,
    /// Work that would be lost if all tasks were evicted, in CPU seconds.
    unsaved_cpu_s: f64,
}

/// Returns the load of each machine, from the cached records.
fn load_by_machine<'a>(context: &'a Context<'_>) -> BTreeMap<&'a MachineId, MachineLoad> {
    let default_s = context.config.ops.default_run_s;
    let mut load_by_machine: BTreeMap<&MachineId, MachineLoad> = BTreeMap::new();
    for ((_, id), allocation) in &context.records.allocations {
        let record = context.records.jobs.get(id);
        let Some(spec) = record.and_then(|v| v.value.spec.as_ref()) else {
            continue;
        };
        // A task with checkpoints loses at most the work since its last checkpoint.
        let unsaved_s = if spec.checkpoint_interval_s > 0.0 {
            spec.checkpoint_interval_s
                .min(estimated_run_s(spec, default_s))
        } else {
            estimated_run_s(spec, default_s)
        };
        for (machine, tasks) in &allocation.value.started {
            let cpus = spec.resources.cpus * f64::from(tasks.len());
            let load = load_by_machine.entry(machine).or_default();
            load.cpus += cpus;
            load.unsaved_cpu_s += cpus * unsaved_s;
        }
    }
    load_by_machine
}

impl Autoscaler {
    /// Returns all listed machines that have not failed, with their load; `None` until the first list is
    /// complete.
    #[must_use]
    pub fn machines_for_drains(
        &self,
        context: &Context<'_>,
    ) -> Option<BTreeMap<MachineId, ObservedMachine>> {
        if !self.list.is_complete {
            return None;
        }
        let load_by_machine = load_by_machine(context);
        let listed = self.list.listed.values();
        let working = listed.filter(|l| l.state != ListedMachineState::Failed);
        let machines = working.map(|listed| {
            let load = load_by_machine
                .get(&listed.machine)
                .copied()
                .unwrap_or_default();
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
        let has_heartbeat = heartbeat.is_some_and(|at| now.since(*at) <= HEARTBEAT_MAX_AGE_MS);
        // The list lags, and its ages are from the time when it was current.
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

    /// Counts missing machines on which the records still have tasks: they failed or were interrupted.
    /// Released machines are missing as well but have no tasks.
    #[must_use]
    pub fn lost_machines(&self, context: &Context<'_>) -> usize {
        let allocations = context.records.allocations.values();
        let started = allocations.flat_map(|a| a.value.started.keys());
        let with_tasks: BTreeSet<&MachineId> = started.collect();
        let missing = self.missing_machines();
        missing.filter(|name| with_tasks.contains(name)).count()
    }
}
