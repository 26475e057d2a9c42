//! Preemption for the calendar: stops tasks that have overrun their estimates on reserved machines,
//! and all tasks in pools that a maintenance window closes.

use super::Shard;
use super::machine::RetirementReason;
use super::queue::jobs_within_quota;
use crate::coordination::context::Context;
use snowshelf_model::ids::{JobId, MachineId, Team, WallClockMillis, seconds_to_ms};
use std::collections::{BTreeMap, BTreeSet};

/// Upper bound of the time that a worker takes to receive a command and confirm its execution, in
/// addition to two heartbeat intervals.
const COMMAND_LATENCY_MS: u64 = 1_000;

/// What a team with reserved capacity waits for.
#[derive(Default)]
struct ReservedDemand<'a> {
    /// CPUs of waiting tasks for which nothing is preempted yet.
    cpus: f64,
    jobs: Vec<&'a JobId>,
}

impl Shard {
    /// Finds the tasks to preempt on machines that are reserved now: tasks of other teams that have
    /// overrun their estimates. They are preempted for waiting jobs of the reservation's team that
    /// have a higher priority, or that are within their team's quota while the preempted job is
    /// not. At most as many are preempted as the waiting tasks need, and none if only quota keeps
    /// these waiting.
    pub(super) fn find_preemptible(&mut self, context: &Context<'_>) {
        self.reservations.preemptible.clear();
        let mut demand = self.reserved_demand(context);
        if demand.is_empty() {
            return;
        }
        let within_quota = jobs_within_quota(context);
        let priority = |id: &JobId| self.jobs.get(id)?.spec().map(|s| s.priority);
        let mut preemptible: BTreeMap<MachineId, BTreeSet<JobId>> = BTreeMap::new();
        let reserved = self.reservations.by_machine.iter();
        for (name, reservation) in reserved.filter(|(_, r)| r.is_active(context)) {
            let Some(demand) = demand.get_mut(&reservation.team) else {
                continue;
            };
            for (id, job) in self.jobs.on_machine(name) {
                let spec = job.spec().filter(|s| s.team != reservation.team);
                let Some(spec) = spec.filter(|_| demand.cpus > 0.0) else {
                    continue;
                };
                let is_preemptible = demand.jobs.iter().any(|waiting| {
                    let for_quota = within_quota.contains(*waiting) && !within_quota.contains(id);
                    for_quota || priority(waiting) > Some(spec.priority)
                });
                if is_preemptible {
                    let tasks = job
                        .desired
                        .started
                        .get(name)
                        .map_or(0, snowshelf_model::task_ranges::TaskRanges::len);
                    demand.cpus -= spec.resources.cpus * f64::from(tasks);
                    preemptible
                        .entry(name.clone())
                        .or_default()
                        .insert(id.clone());
                }
            }
        }
        self.reservations.preemptible = preemptible;
    }

    /// Returns the waiting demand of each team that has machines reserved now and does not lack
    /// quota.
    fn reserved_demand(&self, context: &Context<'_>) -> BTreeMap<&Team, ReservedDemand<'_>> {
        let mut demand: BTreeMap<&Team, ReservedDemand<'_>> = BTreeMap::new();
        let reserved = self.reservations.by_machine.values();
        for reservation in reserved.filter(|r| r.is_active(context)) {
            if !self.quotas.shortfalls.contains_key(&reservation.team) {
                demand.entry(&reservation.team).or_default();
            }
        }
        if demand.is_empty() {
            return demand;
        }
        for (id, job) in self.jobs.iter().filter(|(_, j)| j.is_waiting()) {
            let Some(spec) = job.spec() else { continue };
            if let Some(demand) = demand.get_mut(&spec.team) {
                demand.cpus += spec.resources.cpus * f64::from(job.desired.waiting.len());
                demand.jobs.push(id);
            }
        }
        demand.retain(|_, demand| demand.cpus > 0.0);
        demand
    }

    /// Whether a job's tasks on a machine are preempted for a reservation.
    pub(super) fn is_preempted(&self, name: &MachineId, job: &JobId) -> bool {
        let jobs = self.reservations.preemptible.get(name);
        jobs.is_some_and(|jobs| jobs.contains(job))
    }

    /// Starts evicting from the machines of a closing pool, just early enough for every task to
    /// write a checkpoint and stop in time. The machines are released once they are empty.
    pub(super) fn drain_closing_pools(&mut self, context: &Context<'_>) {
        if context.calendar_constraints.windows.is_empty() {
            return;
        }
        let now = WallClockMillis(context.effects.wall_ms);
        let heartbeat_ms = context.config.settings.report_ms();
        let jobs = &self.jobs;
        let machines = self.machines.iter_mut();
        for (name, m) in machines.filter(|(_, m)| m.retirement.is_none()) {
            let Some(pool) = &m.pool else {
                continue;
            };
            let reported = m.reported_tasks.iter();
            let specs = reported.filter_map(|t| jobs.get(&t.task.job)?.spec());
            let grace_s = specs.map(|s| s.checkpoint_duration_s).fold(0.0, f64::max);
            let lead_ms = 2 * heartbeat_ms + COMMAND_LATENCY_MS + seconds_to_ms(grace_s);
            if let Some(closing) = context
                .calendar_constraints
                .requires_empty(pool, now, lead_ms)
            {
                tracing::info!(machine = %name, shard = %self.id, window = %closing.window,
                    "machine cordoned: maintenance window");
                m.retirement = Some(RetirementReason::MaintenanceWindow);
                self.placement.dirty = true;
            }
        }
    }
}
