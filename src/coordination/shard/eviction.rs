//! Machines that a drain empties: nothing starts on them, what ends soon is waited for, and the rest is
//! stopped as far as its team's budget allows. What may be stopped is durable before it is commanded.

use super::machine::RetirementReason;
use super::persistence::REFUSED_BACKOFF_MS;
use super::{Shard, ShardRequest};
use crate::coordination::context::Context;
use crate::coordination::drains::facts::{TeamWork, tried, with_picture};
use crate::coordination::shard::reservations::expected_stay_ms;
use crate::storage::kv_client::{RequestPriority, SwapOutcome};
use crate::storage::record_cache::ledger_key;
use snowshelf_drain::budget::{Amount, Ask, Charge, Ledger, Short};
use snowshelf_drain::door::{Cause, Grounds, stops};
use snowshelf_drain::entry::Then;
use snowshelf_model::ids::{
    JobId, MachineId, MonotonicMillis, TaskIndex, Team, Version, WallClockMillis, shard_of,
};
use snowshelf_model::protocol::state::{CompareAndSwap, Mutation};
use snowshelf_model::protocol::worker::TaskState;
use snowshelf_model::records::{JobKind, JobSpec, shard_key};
use std::collections::BTreeMap;

/// The least time between two writes that only settle charges.
const SETTLE_INTERVAL_MS: u64 = 1_000;

/// A charge underway: whose, and the record as it would be.
struct ChargeInFlight {
    team: Team,
    ledger: Ledger,
}

/// Evictions from cordoned machines and their charges.
#[derive(Default)]
pub(super) struct Evictions {
    charge_in_flight: Option<ChargeInFlight>,
    next_charge_at: MonotonicMillis,
    /// Why evictions are blocked, as of the last round.
    pub blocked: Vec<String>,
    /// Tasks stopped on purpose since the shard was acquired, by cause.
    pub counts: BTreeMap<Cause, u64>,
}

impl Shard {
    /// Closes machines to new tasks and opens them again, as the drains' records say, and asks the
    /// budgets for what has been waited for long enough.
    pub(super) fn update_cordons(&mut self, context: &mut Context) {
        let now = context.now();
        for (name, m) in &mut self.machines {
            let closed = context.drains.closed.contains_key(name);
            if closed != m.cordoned {
                m.cordoned = closed;
                m.cordon_changed_at = now;
                // Guards against handing back at once, as long idle, what was kept empty until now.
                m.idle_since = m.idle_since.map(|_| now);
                self.placement.dirty = true;
                let drain = context.drains.closed.get(name).map(|c| c.drain.as_str());
                tracing::info!(machine = %name, shard = %self.id, closed, drain, "machine cordon changed by drain");
            }
        }
        self.evictions.blocked.clear();
        if context.drains.closed.is_empty() {
            return;
        }
        self.charge_budgets(context);
    }

    /// For how long a job's tasks are waited for on a closed machine: as long as they should take, if
    /// that is not too long. A service would not end by itself.
    fn drain_patience_ms(spec: &JobSpec, patience_ms: u64, context: &Context) -> u64 {
        match (spec.kind, expected_stay_ms(spec, context)) {
            (JobKind::Service, _) | (_, None) => 0,
            (JobKind::Batch, Some(stay)) => stay.min(patience_ms),
        }
    }

    /// Tasks that are to be stopped by now, by team: those that lose least first.
    fn eviction_candidates(&self, context: &Context) -> BTreeMap<Team, Vec<Ask>> {
        let now = context.effects.now;
        let mut found: BTreeMap<Team, Vec<(bool, f64, Ask)>> = BTreeMap::new();
        for (name, closed) in &context.drains.closed {
            if shard_of(name.as_str(), context.config.shard_count) != self.id {
                continue;
            }
            let Some(m) = self.machines.get(name) else {
                continue;
            };
            // Only a machine that obeys this owner, and on which nothing is about to start, can be told
            // to stop just what is charged.
            if !m.token_acknowledged
                || m.releasing
                || m.interruption_at.is_some()
                || self.jobs.awaits_durable_start(name)
            {
                continue;
            }
            // Since this owner closed it: one that takes the part over waits anew, within the same bound.
            let waited = now.since(m.cordon_changed_at);
            for (id, job) in self.jobs.on_machine(name) {
                let Some(spec) = job.spec().filter(|_| !job.cancelled()) else {
                    continue;
                };
                let due = Self::drain_patience_ms(spec, closed.patience_ms, context);
                let started = job.durable.started.get(name);
                let there: Vec<TaskIndex> =
                    started.map_or(Vec::new(), |s| s.iter().map(|(t, _)| t).collect());
                if there.is_empty() || job.write_in_flight || (!closed.forced && waited < due) {
                    continue;
                }
                let ask = Ask {
                    machine: name.clone(),
                    job: id.clone(),
                    there,
                    version: job.allocation_version,
                    cpus: spec.resources.cpus,
                    force: closed.forced,
                };
                let loses = if spec.checkpoint_s > 0.0 {
                    0.0
                } else {
                    spec.resources.cpus
                };
                let asks = found.entry(spec.team.clone()).or_default();
                asks.push((!closed.forced, loses * ask.there.len() as f64, ask));
            }
        }
        let sorted = found.into_iter().map(|(team, mut asks)| {
            asks.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
            (team, asks.into_iter().map(|(_, _, ask)| ask).collect())
        });
        sorted.collect()
    }

    /// Charges the budget of one team with what is to be stopped next, as far as it allows.
    fn charge_budgets(&mut self, context: &mut Context) {
        let now = context.now();
        if self.evictions.charge_in_flight.is_some()
            || now < self.evictions.next_charge_at
            || !self.ready
            || self.fenced
        {
            return;
        }
        // A picture that may be old is not asked what is away; nor is one in which a share is newer than the rest:
        // tasks that another part claimed from it would be nowhere.
        if !context.drains.fresh || context.records.revision < context.records.read_ahead {
            return;
        }
        let overdue = self.eviction_candidates(context);
        if overdue.is_empty() {
            self.settle_finished_charges(context);
            return;
        }
        let wall = WallClockMillis(context.effects.wall_ms);
        let skew_ms = context.config.settings.skew_ms();
        let default = context.config.ops.drains.budget;
        // Of its own part an owner knows what runs again and what is lost as of now.
        context
            .drains
            .again
            .retain(|(shard_id, _), _| *shard_id != self.id);
        let again = self.restarted_tasks(context).into_iter();
        let again = again.map(|(job, n)| ((self.id, job), n));
        context.drains.again.extend(again);
        let losing = self.tasks_at_risk(now, context);
        for (team, asks) in overdue {
            let before = context.records.ledgers.get(&team);
            let version = before.map_or(Version(0), |v| v.version);
            let stored = before.map_or(Ledger::default(), |v| (*v.value).clone());
            let mut ledger = stored;
            with_picture(context, |picture| {
                let void = |c: &Charge| self.is_void(c, now, context);
                ledger.settle(&default, void, picture, wall, skew_ms)
            });
            let mut work = TeamWork::of(&team, context);
            let mine = losing.get(&team).copied().unwrap_or_default();
            let theirs = context.drains.lost.get(&team).copied().unwrap_or_default();
            for lost in [mine, theirs] {
                work.away.cpus += lost.cpus;
                work.away.tasks = work.away.tasks.saturating_add(lost.tasks);
            }
            let (mut charged, mut short) = (0, None);
            for ask in &asks {
                let charge = ledger.charge_for(&ask.machine, &ask.job);
                if charge.is_some_and(|c| ask.there.iter().any(|t| *t >= c.from)) {
                    // Charged, and on its way out.
                    continue;
                }
                let facts = work.facts(&ask.job);
                let next = with_picture(context, |picture| {
                    ledger.charge(&default, ask, &facts, picture, wall, skew_ms)
                });
                match next {
                    Ok(next) => {
                        if next.breach > ledger.breach {
                            tracing::error!(team = %team, machine = %ask.machine, job = %ask.job,
                                cpus = next.breach - ledger.breach, "eviction exceeds the disruption budget: drain deadline passed");
                        }
                        let value = serde_json::to_value(&next).unwrap_or_default();
                        if !context.storage_limits.accepts(&value) {
                            short = Some(Short::Full);
                            break;
                        }
                        ledger = next;
                        charged += 1;
                    }
                    Err(why) => short = Some(why),
                }
            }
            if let Some(why) = short {
                self.evictions.blocked.push(format!("{team}: {why}"));
            }
            if charged == 0 || !context.kv.may(now, RequestPriority::Ends, 1) {
                continue;
            }
            self.write_ledger(team, version, ledger, context);
            return;
        }
    }

    fn write_ledger(
        &mut self,
        team: Team,
        version: Version,
        ledger: Ledger,
        context: &mut Context,
    ) {
        let key = ledger_key(&team);
        let swap = CompareAndSwap::default()
            .compare(shard_key(self.id), Version(self.fencing_token.0))
            .compare(key.clone(), version)
            .mutate(Mutation::put(key, &ledger));
        context.kv.compare_and_swap(
            context.effects,
            self.kv_request(ShardRequest::ChargeBudget),
            &swap,
        );
        self.evictions.charge_in_flight = Some(ChargeInFlight { team, ledger });
    }

    /// Has this part's charges that are over count from now on as what was stopped, with writes that
    /// nobody else needs: until then they count as if they were still to come.
    fn settle_finished_charges(&mut self, context: &mut Context) {
        let now = context.now();
        let wall = WallClockMillis(context.effects.wall_ms);
        let skew_ms = context.config.settings.skew_ms();
        let default = context.config.ops.drains.budget;
        let mine = |c: &Charge| shard_of(c.machine.as_str(), context.config.shard_count) == self.id;
        let found = context.records.ledgers.iter().find_map(|(team, v)| {
            let mut ledger = (*v.value).clone();
            let over = with_picture(context, |picture| {
                let over =
                    |c: &Charge| mine(c) && (!picture.open(c) || self.is_void(c, now, context));
                ledger.settle(&default, over, picture, wall, skew_ms)
            });
            over.then(|| (team.clone(), v.version, ledger))
        });
        if let Some((team, version, ledger)) = found
            && context.kv.may(now, RequestPriority::Spare, 1)
        {
            self.evictions.next_charge_at = now.plus(SETTLE_INTERVAL_MS);
            self.write_ledger(team, version, ledger, context);
        }
    }

    /// Whether nothing can be stopped under a charge any more: its machine is this part's, serves again,
    /// and has long heard so. What was on one that is gone is away until the records have that.
    fn is_void(&self, charge: &Charge, now: MonotonicMillis, context: &Context) -> bool {
        let name = &charge.machine;
        let lease_ms = context.config.settings.lease_ms();
        shard_of(name.as_str(), context.config.shard_count) == self.id
            && now.since(self.acquired_at) > lease_ms
            && !context.drains.closed.contains_key(name)
            && self
                .machines
                .get(name)
                .is_some_and(|m| !m.cordoned && now.since(m.cordon_changed_at) > lease_ms)
    }

    /// Tasks on machines that are silent, or that the cloud is about to take, by team.
    pub fn tasks_at_risk(&self, now: MonotonicMillis, context: &Context) -> BTreeMap<Team, Amount> {
        let silent_ms = 2 * context.config.settings.report_ms() + 1_000;
        let mut lost: BTreeMap<Team, Amount> = BTreeMap::new();
        for (name, m) in &self.machines {
            if now.since(m.last_heartbeat_at) <= silent_ms && m.interruption_at.is_none() {
                continue;
            }
            for (_, job) in self.jobs.on_machine(name) {
                if let Some(spec) = job.spec()
                    && let Some(tasks) = job.desired.started.get(name)
                {
                    let lost = lost.entry(spec.team.clone()).or_default();
                    lost.add(tasks.len(), spec.resources.cpus);
                }
            }
        }
        lost
    }

    /// How many of each job's tasks that were tried before have been seen to run again, and are not to be
    /// stopped once more.
    pub fn restarted_tasks(&self, context: &Context) -> BTreeMap<JobId, u32> {
        let mut found = BTreeMap::new();
        for (id, job) in self.jobs.iter() {
            if job.durable.started.values().all(|s| tried(s) == 0) {
                continue;
            }
            let mut again = 0;
            for (name, ranges) in &job.durable.started {
                let Some(m) = self.machines.get(name).filter(|m| m.token_acknowledged) else {
                    continue;
                };
                for item in m.reported_tasks.iter().filter(|t| t.task.job == *id) {
                    let runs = matches!(item.state, TaskState::Running | TaskState::Saving);
                    let tried =
                        item.attempt.0 >= 2 && ranges.get(item.task.task) == Some(item.attempt);
                    if runs
                        && tried
                        && !(m.cordoned && self.is_charged(name, id, item.task.task, context))
                    {
                        again += 1;
                    }
                }
            }
            if again > 0 {
                found.insert(id.clone(), again);
            }
        }
        found
    }

    pub fn on_charge_outcome(&mut self, result: SwapOutcome, context: &mut Context) {
        let now = context.now();
        let Some(charging) = self.evictions.charge_in_flight.take() else {
            return;
        };
        let key = ledger_key(&charging.team);
        match result {
            SwapOutcome::Done(revision) => {
                let value = serde_json::to_value(&charging.ledger).unwrap_or_default();
                context.records.apply(&key, Some(&value), revision);
            }
            SwapOutcome::Conflict(keys) => {
                if keys.contains(&shard_key(self.id)) {
                    self.fenced = true;
                    return;
                }
                // The feed brings what another part has charged.
                self.evictions.next_charge_at = now.plus(100);
            }
            SwapOutcome::Refused => self.evictions.next_charge_at = now.plus(REFUSED_BACKOFF_MS),
            SwapOutcome::NotDone | SwapOutcome::NoLease | SwapOutcome::Unknown => {
                // If it was carried out after all the feed tells.
                self.evictions.next_charge_at = now.plus(500);
            }
        }
    }

    /// Whether a durable charge covers a task on a closed machine.
    fn is_charged(
        &self,
        name: &MachineId,
        job: &JobId,
        task: TaskIndex,
        context: &Context,
    ) -> bool {
        let Some(entry) = self.jobs.get(job) else {
            return false;
        };
        let Some(spec) = entry.spec() else {
            return false;
        };
        let ledger = context.records.ledgers.get(&spec.team);
        let Some(charge) = ledger.and_then(|v| v.value.charge_for(name, job)) else {
            return false;
        };
        task >= charge.from && entry.durable.started_on(name, task).is_some()
    }

    /// What speaks for stopping a task on a machine.
    pub(super) fn eviction_grounds(
        &self,
        name: &MachineId,
        job: &JobId,
        task: TaskIndex,
        context: &Context,
    ) -> Grounds {
        let Some(m) = self.machines.get(name) else {
            return Grounds::default();
        };
        let closed = context.drains.closed.get(name).filter(|_| m.cordoned);
        Grounds {
            cancelled: self.jobs.get(job).is_some_and(|j| j.cancelled()),
            noticed: m.interruption_at.is_some(),
            faulty: m.retirement == Some(RetirementReason::Fault),
            window: m.retirement == Some(RetirementReason::Window),
            overrun: self.is_preempted(name, job),
            drained: closed.is_some(),
            forced: closed.is_some_and(|c| c.forced),
            charged: closed.is_some() && self.is_charged(name, job, task, context),
        }
    }

    /// Counts a task that was stopped, by what for.
    pub(super) fn count_eviction(
        &mut self,
        name: &MachineId,
        job: &JobId,
        task: TaskIndex,
        context: &Context,
    ) {
        if let Some(cause) = stops(self.eviction_grounds(name, job, task, context)) {
            *self.evictions.counts.entry(cause).or_default() += 1;
        }
    }

    /// Closed machines on which nothing is, of those that are kept so, and those that were returned, which the
    /// cloud lists a while longer.
    pub fn drained_machines(&self, context: &Context) -> Vec<MachineId> {
        let closed = context.drains.closed.iter();
        closed
            .filter(|(name, c)| match self.machines.get(*name) {
                Some(m) => {
                    c.then == Then::Keep
                        && m.cordoned
                        && m.token_acknowledged
                        && !m.reports_live_tasks()
                        && !self.jobs.has_tasks_on(name)
                }
                None => self.scale_in.released.contains(*name),
            })
            .map(|(name, _)| name.clone())
            .collect()
    }

    /// Machines that failed what they started.
    pub fn quarantined_machines(&self) -> impl Iterator<Item = &MachineId> + '_ {
        let machines = self.machines.iter();
        let sick = machines.filter(|(_, m)| m.retirement == Some(RetirementReason::Fault));
        sick.map(|(name, _)| name)
    }
}
