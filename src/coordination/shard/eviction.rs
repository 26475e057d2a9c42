//! Cordoned machines: no task starts on them, tasks that end soon are waited for, and the others
//! are evicted as far as the disruption budgets allow. The charge for an eviction is durable before
//! the eviction is commanded.

use super::Shard;
use super::disruption::ChargeInFlight;
use super::machine::RetirementReason;
use crate::coordination::context::Context;
use crate::coordination::drains::disruption::retried_tasks;
use snowshelf_drain::budget::Amount;
use snowshelf_drain::entry::Then;
use snowshelf_drain::eviction::{EvictionCause, EvictionReasons, eviction_cause};
use snowshelf_model::ids::{JobId, MachineId, MonotonicMillis, TaskIndex, Team};
use snowshelf_model::protocol::worker::TaskState;
use std::collections::BTreeMap;

/// A machine counts as silent if its last heartbeat is older than two heartbeat intervals plus
/// this.
const SILENCE_SLACK_MS: u64 = 1_000;

/// Evictions from cordoned machines, and their charges.
#[derive(Default)]
pub(super) struct Evictions {
    pub charge_in_flight: Option<ChargeInFlight>,
    /// No budget is charged before this time.
    pub next_charge_at: MonotonicMillis,
    /// Why evictions were blocked in the last round.
    pub blocked: Vec<String>,
    /// Tasks stopped on purpose since the shard was acquired, by cause.
    pub counts: BTreeMap<EvictionCause, u64>,
}

impl Shard {
    /// Cordons and uncordons machines according to the drains' records. Then charges evictions to
    /// the disruption budget of at most one team: evictions of tasks on cordoned machines that have
    /// been waited for long enough, or whose drain has passed its deadline.
    pub(super) fn update_cordons(&mut self, context: &mut Context<'_>) {
        let now = context.now();
        for (name, m) in &mut self.machines {
            let drained = context.drains.cordoned.get(name);
            let cordoned = drained.is_some();
            if cordoned == m.cordoned {
                continue;
            }
            m.cordoned = cordoned;
            m.cordon_changed_at = now;
            // Restart the idle time, so that a machine that was kept empty is not released at once.
            m.idle_since = m.idle_since.map(|_| now);
            self.placement.dirty = true;
            let drain = drained.map(|c| c.drain.as_str());
            tracing::info!(machine = %name, shard = %self.id, cordoned, drain, "machine cordon changed by drain");
        }
        self.evictions.blocked.clear();
        if !context.drains.cordoned.is_empty() {
            self.charge_budgets(context);
        }
    }

    /// Returns, by team, the number and the CPUs of the tasks on machines that are silent or about
    /// to be interrupted by the cloud. Disruption budgets count these tasks as lost already.
    pub fn tasks_at_risk(
        &self,
        now: MonotonicMillis,
        context: &Context<'_>,
    ) -> BTreeMap<Team, Amount> {
        let silent_ms = 2 * context.config.settings.report_ms() + SILENCE_SLACK_MS;
        let mut at_risk: BTreeMap<Team, Amount> = BTreeMap::new();
        for (name, m) in &self.machines {
            if now.since(m.last_heartbeat_at) <= silent_ms && m.interruption_at.is_none() {
                continue;
            }
            for (_, job) in self.jobs.on_machine(name) {
                if let Some(spec) = job.spec()
                    && let Some(tasks) = job.desired.started.get(name)
                {
                    let amount = at_risk.entry(spec.team.clone()).or_default();
                    amount.add(tasks.len(), spec.resources.cpus);
                }
            }
        }
        at_risk
    }

    /// Returns, by job, how many retried tasks are running again and are not about to be evicted
    /// again.
    pub fn restarted_tasks(&self, context: &Context<'_>) -> BTreeMap<JobId, u32> {
        let mut restarted = BTreeMap::new();
        for (id, job) in self.jobs.iter() {
            let started = &job.durable.started;
            if started.values().all(|ranges| retried_tasks(ranges) == 0) {
                continue;
            }
            let machines = started.keys();
            let tasks = machines.map(|name| self.restarted_tasks_on(name, id, context));
            let tasks: u32 = tasks.sum();
            if tasks > 0 {
                restarted.insert(id.clone(), tasks);
            }
        }
        restarted
    }

    fn restarted_tasks_on(&self, name: &MachineId, id: &JobId, context: &Context<'_>) -> u32 {
        let machine = self.machines.get(name).filter(|m| m.token_acknowledged);
        let ranges = self.jobs.get(id).and_then(|j| j.durable.started.get(name));
        let (Some(m), Some(ranges)) = (machine, ranges) else {
            return 0;
        };
        let restarted = m.reported_tasks.iter().filter(|item| {
            let task = item.task.task;
            item.task.job == *id
                && matches!(item.state, TaskState::Running | TaskState::Checkpointing)
                && item.attempt.0 >= 2
                && ranges.get(task) == Some(item.attempt)
                && !(m.cordoned && self.is_charged(name, id, task, context))
        });
        restarted.count() as u32
    }

    /// Whether a durable charge covers a task on a machine, so that it may be evicted. The caller
    /// checks that the machine is cordoned.
    fn is_charged(
        &self,
        name: &MachineId,
        id: &JobId,
        task: TaskIndex,
        context: &Context<'_>,
    ) -> bool {
        let Some(job) = self.jobs.get(id) else {
            return false;
        };
        let Some(spec) = job.spec() else {
            return false;
        };
        let ledger = context.records.ledgers.get(&spec.team);
        let Some(charge) = ledger.and_then(|v| v.value.charge_for(name, id)) else {
            return false;
        };
        task >= charge.first_task && job.durable.started_on(name, task).is_some()
    }

    /// Returns the reasons to stop a task on a machine.
    pub(super) fn eviction_grounds(
        &self,
        name: &MachineId,
        job: &JobId,
        task: TaskIndex,
        context: &Context<'_>,
    ) -> EvictionReasons {
        let Some(m) = self.machines.get(name) else {
            return EvictionReasons::default();
        };
        let drained = context.drains.cordoned.get(name).filter(|_| m.cordoned);
        EvictionReasons {
            cancelled: self
                .jobs
                .get(job)
                .is_some_and(super::job::ShardJob::cancelled),
            interrupted: m.interruption_at.is_some(),
            quarantined: m.retirement == Some(RetirementReason::Quarantine),
            maintenance: m.retirement == Some(RetirementReason::MaintenanceWindow),
            preempted: self.is_preempted(name, job),
            cordoned: drained.is_some(),
            forced: drained.is_some_and(|c| c.forced),
            charged: drained.is_some() && self.is_charged(name, job, task, context),
        }
    }

    /// Counts a task that was stopped on purpose, by cause.
    pub(super) fn count_eviction(
        &mut self,
        name: &MachineId,
        job: &JobId,
        task: TaskIndex,
        context: &Context<'_>,
    ) {
        if let Some(cause) = eviction_cause(self.eviction_grounds(name, job, task, context)) {
            *self.evictions.counts.entry(cause).or_default() += 1;
        }
    }

    /// Returns the cordoned machines without tasks that a drain keeps, and the cordoned machines
    /// that were released, which the cloud lists for a while longer.
    pub fn drained_machines(&self, context: &Context<'_>) -> Vec<MachineId> {
        let cordoned = context.drains.cordoned.iter();
        let drained = cordoned.filter(|(name, c)| match self.machines.get(*name) {
            Some(m) => {
                c.then == Then::Keep
                    && m.cordoned
                    && m.token_acknowledged
                    && !m.reports_live_tasks()
                    && !self.jobs.has_tasks_on(name)
            }
            None => self.scale_in.released.contains(name),
        });
        drained.map(|(name, _)| name.clone()).collect()
    }

    /// Returns the machines that are quarantined because tasks fail on them.
    pub fn quarantined_machines(&self) -> impl Iterator<Item = &MachineId> + '_ {
        let machines = self.machines.iter();
        machines
            .filter(|(_, m)| m.retirement == Some(RetirementReason::Quarantine))
            .map(|(name, _)| name)
    }
}
