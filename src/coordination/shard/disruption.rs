//! Charges evictions to the teams' disruption budgets. A charge is durable before any task is
//! stopped under it.

use super::machine::Machine;
use super::persistence::REJECTED_BACKOFF_MS;
use super::reservations::expected_stay_ms;
use super::{Shard, ShardRequest};
use crate::coordination::context::Context;
use crate::coordination::drains::disruption::{TeamDisruption, with_record_view};
use crate::storage::kv_client::{RequestPriority, SwapOutcome};
use crate::storage::record_cache::ledger_key;
use snowshelf_drain::budget::{Amount, Charge, EvictionRequest, Ledger, Shortfall};
use snowshelf_model::ids::{
    MachineId, MonotonicMillis, TaskIndex, Team, Version, WallClockMillis, shard_of,
};
use snowshelf_model::protocol::state::{CompareAndSwap, Mutation};
use snowshelf_model::records::{JobKind, JobSpec, shard_key};
use std::collections::BTreeMap;

/// Minimum time between two writes that only settle charges.
const SETTLE_INTERVAL_MS: u64 = 1_000;
/// Retry delay after a conflict; meanwhile the watch delivers the charge of the other shard.
const CONFLICT_RETRY_MS: u64 = 100;
/// Retry delay after a failed write. If the write was applied after all, the watch delivers it.
const FAILURE_RETRY_MS: u64 = 500;

/// A charge being written: the team, and the new value of its budget ledger.
pub(super) struct ChargeInFlight {
    team: Team,
    ledger: Ledger,
}

/// Tasks of a job on a machine that are due for eviction. Candidates on machines of forced drains
/// come first, then those with the least lost work.
struct EvictionCandidate {
    /// Whether the drain's deadline has not passed, so that the budget still applies.
    unforced: bool,
    /// CPUs of tasks without checkpoints, whose work since their start would be lost.
    lost_cpus: f64,
    request: EvictionRequest,
}

/// What a team's budget allows in one round.
struct ChargeRound {
    ledger: Ledger,
    charged: usize,
    shortfall: Option<Shortfall>,
}

/// Returns how long to wait for a job's tasks to end on a cordoned machine: their expected run
/// time, up to `patience_ms`. A service does not end by itself, so it is not waited for.
fn drain_wait_ms(spec: &JobSpec, patience_ms: u64, context: &Context<'_>) -> u64 {
    match (spec.kind, expected_stay_ms(spec, context)) {
        (JobKind::Service, _) | (_, None) => 0,
        (JobKind::Batch, Some(stay)) => stay.min(patience_ms),
    }
}

impl Shard {
    /// Charges the next due evictions to the budget of one team, as far as the budget allows.
    pub(super) fn charge_budgets(&mut self, context: &mut Context<'_>) {
        let now = context.now();
        if !self.may_charge(context) {
            return;
        }
        let candidates = self.eviction_candidates(context);
        if candidates.is_empty() {
            self.settle_finished_charges(context);
            return;
        }
        self.update_restarted_tasks(context);
        let at_risk = self.tasks_at_risk(now, context);
        for (team, requests) in candidates {
            let ours = at_risk.get(&team).copied().unwrap_or_default();
            let version = context.records.ledgers.get(&team).map(|v| v.version);
            let round = self.charge_team(&team, &requests, ours, context);
            if let Some(reason) = round.shortfall {
                self.evictions.blocked.push(format!("{team}: {reason}"));
            }
            if round.charged == 0 || !context.kv.has_budget(now, RequestPriority::TaskEnds, 1) {
                continue;
            }
            let version = version.unwrap_or(Version(0));
            self.write_ledger(team, version, round.ledger, context);
            return;
        }
    }

    /// Whether charges may be decided now. Stale records do not show which tasks are disrupted.
    /// Neither do records that are older than a single allocation read since: tasks that another
    /// shard stole from that allocation would be in neither shard.
    fn may_charge(&self, context: &Context<'_>) -> bool {
        self.evictions.charge_in_flight.is_none()
            && context.now() >= self.evictions.next_charge_at
            && self.ready
            && !self.fenced
            && context.drains.records_fresh
            && context.records.revision >= context.records.newest_single_read
    }

    /// Updates the shared count of tasks that run again with those of this shard.
    fn update_restarted_tasks(&self, context: &mut Context<'_>) {
        let restarted = self.restarted_tasks(context).into_iter();
        let restarted = restarted.map(|(job, tasks)| ((self.id, job), tasks));
        let all = &mut context.drains.restarted_tasks;
        all.retain(|(shard_id, _), _| *shard_id != self.id);
        all.extend(restarted);
    }

    /// Returns the evictions that are due, by team, in the order in which they are charged.
    fn eviction_candidates(&self, context: &Context<'_>) -> BTreeMap<Team, Vec<EvictionRequest>> {
        let mut found: BTreeMap<Team, Vec<EvictionCandidate>> = BTreeMap::new();
        for name in context.drains.cordoned.keys() {
            if shard_of(name.as_str(), context.config.shard_count) != self.id {
                continue;
            }
            let machine = self.machines.get(name);
            if let Some(m) = machine.filter(|m| self.is_evictable(name, m)) {
                for (team, candidate) in self.candidates_on(name, m, context) {
                    found.entry(team).or_default().push(candidate);
                }
            }
        }
        let sorted = found.into_iter().map(|(team, mut candidates)| {
            candidates.sort_by(|a, b| {
                let forced_first = a.unforced.cmp(&b.unforced);
                forced_first.then(a.lost_cpus.total_cmp(&b.lost_cpus))
            });
            (team, candidates.into_iter().map(|c| c.request).collect())
        });
        sorted.collect()
    }

    /// Whether the tasks stopped on a machine would be exactly the charged ones: it obeys this
    /// leader, and no start is pending.
    fn is_evictable(&self, name: &MachineId, m: &Machine) -> bool {
        m.token_acknowledged
            && !m.releasing
            && m.interruption_at.is_none()
            && !self.jobs.awaits_durable_start(name)
    }

    fn candidates_on(
        &self,
        name: &MachineId,
        m: &Machine,
        context: &Context<'_>,
    ) -> Vec<(Team, EvictionCandidate)> {
        let Some(drained) = context.drains.cordoned.get(name) else {
            return Vec::new();
        };
        // Counts from when this leader cordoned the machine. After a failover the wait restarts,
        // with the same bound.
        let waited_ms = context.now().since(m.cordon_changed_at);
        let candidates = self.jobs.on_machine(name).filter_map(|(id, job)| {
            let spec = job.spec().filter(|_| !job.cancelled())?;
            let tasks: Vec<TaskIndex> = job
                .durable
                .started
                .get(name)
                .map_or(Vec::new(), |ranges| ranges.iter().map(|(t, _)| t).collect());
            let due = waited_ms >= drain_wait_ms(spec, drained.patience_ms, context);
            if tasks.is_empty() || job.write_in_flight || !(drained.forced || due) {
                return None;
            }
            let lost_cpus_per_task = if spec.checkpoint_interval_s > 0.0 {
                0.0
            } else {
                spec.resources.cpus
            };
            let candidate = EvictionCandidate {
                unforced: !drained.forced,
                lost_cpus: lost_cpus_per_task * tasks.len() as f64,
                request: EvictionRequest {
                    machine: name.clone(),
                    job: id.clone(),
                    tasks,
                    allocation_version: job.allocation_version,
                    cpus_per_task: spec.resources.cpus,
                    forced: drained.forced,
                },
            };
            Some((spec.team.clone(), candidate))
        });
        candidates.collect()
    }

    /// Computes the charges that a team's budget allows. `at_risk` is the amount of this shard's
    /// tasks that count as lost already.
    fn charge_team(
        &self,
        team: &Team,
        requests: &[EvictionRequest],
        at_risk: Amount,
        context: &Context<'_>,
    ) -> ChargeRound {
        let wall = WallClockMillis(context.effects.wall_ms);
        let skew_ms = context.config.settings.skew_ms();
        let default = context.config.ops.drains.budget;
        let stored = context.records.ledgers.get(team);
        let mut ledger = stored.map_or(Ledger::default(), |v| (*v.value).clone());
        with_record_view(context, |records| {
            let void = |c: &Charge| self.is_void(c, context.now(), context);
            ledger.settle(&default, void, records, wall, skew_ms)
        });
        let mut work = TeamDisruption::of(team, context);
        let elsewhere = context
            .drains
            .lost_tasks
            .get(team)
            .copied()
            .unwrap_or_default();
        for lost in [at_risk, elsewhere] {
            work.unavailable.cpus += lost.cpus;
            work.unavailable.tasks = work.unavailable.tasks.saturating_add(lost.tasks);
        }
        let (mut charged, mut shortfall) = (0, None);
        for request in requests {
            if is_charged_already(&ledger, request) {
                continue;
            }
            let facts = work.state_for(&request.job);
            let next = with_record_view(context, |records| {
                ledger.charge(&default, request, &facts, records, wall, skew_ms)
            });
            match next {
                Ok(next) => {
                    log_breach(team, request, next.excess_cpus, ledger.excess_cpus);
                    let value = serde_json::to_value(&next).unwrap_or_default();
                    if !context.storage_limits.accepts(&value) {
                        shortfall = Some(Shortfall::LedgerFull);
                        break;
                    }
                    ledger = next;
                    charged += 1;
                }
                Err(reason) => shortfall = Some(reason),
            }
        }
        ChargeRound {
            ledger,
            charged,
            shortfall,
        }
    }

    fn write_ledger(
        &mut self,
        team: Team,
        version: Version,
        ledger: Ledger,
        context: &mut Context<'_>,
    ) {
        let key = ledger_key(&team);
        let swap = CompareAndSwap::default()
            .compare(shard_key(self.id), Version(self.fencing_token.0))
            .compare(key.clone(), version)
            .mutate(Mutation::put(key, &ledger));
        let request = self.kv_request(ShardRequest::ChargeBudget);
        context.kv.compare_and_swap(context.effects, request, &swap);
        self.evictions.charge_in_flight = Some(ChargeInFlight { team, ledger });
    }

    /// Settles this shard's finished charges with background writes. A settled charge counts as a
    /// past eviction; until then, it counts as one still to come.
    fn settle_finished_charges(&mut self, context: &mut Context<'_>) {
        let now = context.now();
        let wall = WallClockMillis(context.effects.wall_ms);
        let skew_ms = context.config.settings.skew_ms();
        let default = context.config.ops.drains.budget;
        let is_ours =
            |c: &Charge| shard_of(c.machine.as_str(), context.config.shard_count) == self.id;
        let found = context.records.ledgers.iter().find_map(|(team, v)| {
            let mut ledger = (*v.value).clone();
            let changed = with_record_view(context, |records| {
                let is_over = |c: &Charge| {
                    is_ours(c) && (!records.is_open(c) || self.is_void(c, now, context))
                };
                ledger.settle(&default, is_over, records, wall, skew_ms)
            });
            changed.then(|| (team.clone(), v.version, ledger))
        });
        if let Some((team, version, ledger)) = found
            && context.kv.has_budget(now, RequestPriority::Background, 1)
        {
            self.evictions.next_charge_at = now.plus(SETTLE_INTERVAL_MS);
            self.write_ledger(team, version, ledger, context);
        }
    }

    /// Whether no task can be evicted under a charge any more: its machine belongs to this shard,
    /// is not cordoned, and has been so for longer than a lease. If the machine is gone, its tasks
    /// count as disrupted until the records say otherwise.
    fn is_void(&self, charge: &Charge, now: MonotonicMillis, context: &Context<'_>) -> bool {
        let name = &charge.machine;
        let lease_ms = context.config.settings.lease_ms();
        let machine = self.machines.get(name);
        shard_of(name.as_str(), context.config.shard_count) == self.id
            && now.since(self.acquired_at) > lease_ms
            && !context.drains.cordoned.contains_key(name)
            && machine.is_some_and(|m| !m.cordoned && now.since(m.cordon_changed_at) > lease_ms)
    }

    /// Handles the outcome of a charge.
    pub(super) fn on_charge_outcome(&mut self, outcome: SwapOutcome, context: &mut Context<'_>) {
        let now = context.now();
        let Some(charge) = self.evictions.charge_in_flight.take() else {
            return;
        };
        match outcome {
            SwapOutcome::Applied(revision) => {
                let key = ledger_key(&charge.team);
                let value = serde_json::to_value(&charge.ledger).unwrap_or_default();
                context.records.apply(&key, Some(&value), revision);
            }
            SwapOutcome::Conflict(keys) => {
                if keys.contains(&shard_key(self.id)) {
                    self.fenced = true;
                    return;
                }
                self.evictions.next_charge_at = now.plus(CONFLICT_RETRY_MS);
            }
            SwapOutcome::Rejected => {
                self.evictions.next_charge_at = now.plus(REJECTED_BACKOFF_MS);
            }
            SwapOutcome::NotApplied | SwapOutcome::LeaseExpired | SwapOutcome::Unknown => {
                self.evictions.next_charge_at = now.plus(FAILURE_RETRY_MS);
            }
        }
    }
}

/// Whether some of a request's tasks are charged already, and so being evicted.
fn is_charged_already(ledger: &Ledger, request: &EvictionRequest) -> bool {
    let charge = ledger.charge_for(&request.machine, &request.job);
    charge.is_some_and(|c| request.tasks.iter().any(|t| *t >= c.first_task))
}

fn log_breach(team: &Team, request: &EvictionRequest, next_cpus: f64, cpus: f64) {
    if next_cpus > cpus {
        tracing::error!(team = %team, machine = %request.machine, job = %request.job,
            cpus = next_cpus - cpus, "eviction exceeds the disruption budget: drain deadline passed");
    }
}
