//! CPU usage and capacity of a shard, for peers and for the log.

use super::Shard;
use super::job_table::JobTable;
use super::machine::Machine;
use crate::coordination::context::Context;
use snowshelf_model::ids::{MachineId, MonotonicMillis, ShardId};
use snowshelf_model::protocol::worker::TaskState;
use std::collections::BTreeMap;

/// Interval between log events about the load.
const LOG_INTERVAL_MS: u64 = 10_000;

/// The load of a shard as of the last placement pass.
#[derive(Default)]
pub(super) struct LoadStatistics {
    /// Free CPUs that are not reserved for a team.
    pub free_cpus: f64,
    /// CPUs of all machines.
    pub capacity_cpus: f64,
    /// CPUs of waiting tasks.
    pub waiting_cpus: f64,
    /// Tasks placed since the last log event, indexed by the state of their image on the machine:
    /// cached, being fetched, absent.
    pub placements_by_image: [u64; 3],
    last_logged_at: MonotonicMillis,
}

impl LoadStatistics {
    fn log(
        &self,
        shard_id: ShardId,
        machines: &BTreeMap<MachineId, Machine>,
        jobs: &JobTable,
        context: &Context<'_>,
    ) {
        let mut capacity = 0.0;
        for m in machines.values() {
            capacity += context.machine_types.get(&m.model).map_or(0.0, |t| t.cpus);
        }
        let cpus = cpus_by_state(machines, jobs);
        let in_state = |state: &str| cpus.get(state).copied().unwrap_or(0.0);
        tracing::info!(shard = %shard_id, machines = machines.len(), capacity, free = self.free_cpus,
            running = in_state("running"), pulling = in_state("pulling"), exited = in_state("exited"),
            cached = self.placements_by_image[0], coming = self.placements_by_image[1],
            absent = self.placements_by_image[2],
            waiting = self.waiting_cpus, jobs = jobs.len(), "shard load in CPUs");
    }
}

/// Returns the CPUs of the tasks that machines report, by task state.
fn cpus_by_state(
    machines: &BTreeMap<MachineId, Machine>,
    jobs: &JobTable,
) -> BTreeMap<&'static str, f64> {
    let mut cpus: BTreeMap<&str, f64> = BTreeMap::new();
    for item in machines.values().flat_map(|m| &m.reported_tasks) {
        let state = match item.state {
            TaskState::Pulling => "pulling",
            TaskState::Running => "running",
            TaskState::Checkpointing => "saving",
            TaskState::Exited => "exited",
        };
        if let Some(spec) = jobs.get(&item.task.job).and_then(|j| j.spec()) {
            *cpus.entry(state).or_default() += spec.resources.cpus;
        }
    }
    cpus
}

impl Shard {
    /// Logs the load and the reconciliation counts once every `LOG_INTERVAL_MS`.
    pub(super) fn log_load(&mut self, context: &Context<'_>) {
        let now = context.effects.now;
        if now.since(self.load.last_logged_at) < LOG_INTERVAL_MS {
            return;
        }
        self.load.last_logged_at = now;
        self.load.log(self.id, &self.machines, &self.jobs, context);
        let done = &self.reconciliation;
        tracing::info!(shard = %self.id, agree = done.consistent, not_begun = done.not_started, gone = done.lost,
            ended = done.ended, stray = done.orphaned, remnant = done.leftover_entries, stopped = ?self.evictions.counts,
            "heartbeats reconciled");
        self.load.placements_by_image = [0; 3];
    }
}
