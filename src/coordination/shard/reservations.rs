//! What a part keeps of the calendar: pools that close are emptied, and room that is reserved is kept
//! from tasks of other teams that would still be there.

use super::Shard;
use super::capacity::CapacityIndex;
use super::machine::{Machine, RetirementReason};
use super::queue::jobs_within_quota;
use crate::coordination::context::Context;
use crate::coordination::placement::{estimate, slowest_fetch};
use snowshelf_calendar::amount::Amount;
use snowshelf_calendar::calendar::Pool;
use snowshelf_calendar::guard::Hold;
use snowshelf_model::ids::{
    JobId, MachineId, ShardId, Team, WallClockMillis, seconds_to_ms, shard_of,
};
use snowshelf_model::records::{JobKind, JobSpec, Resources};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// What a machine is kept for.
#[derive(Clone, PartialEq)]
pub(super) struct MachineReservation {
    team: Team,
    from: WallClockMillis,
    until: WallClockMillis,
}

impl MachineReservation {
    /// Whether it is kept by now.
    fn by_now(&self, context: &Context) -> bool {
        self.from.0 <= context.effects.wall_ms
    }

    /// The team that it is kept for by now.
    pub fn current_team(&self, context: &Context) -> Option<&Team> {
        self.by_now(context).then_some(&self.team)
    }
}

/// What is set aside for reservations of the calendar.
#[derive(Default)]
pub(super) struct CapacityReservations {
    /// Reserved machines.
    pub by_machine: BTreeMap<MachineId, MachineReservation>,
    /// Jobs whose tasks on a machine are preempted for a reservation, as of the last pass.
    preemptible: BTreeMap<MachineId, BTreeSet<JobId>>,
    /// The other shards' machines by pool, ordinary and spot ones, while something is reserved.
    pub machines_elsewhere: Rc<BTreeMap<(ShardId, Pool), (u32, u32)>>,
    /// Capacity reserved for teams now, as of the last pass.
    pub capacity: BTreeMap<Team, ReservedCapacity>,
}

/// CPUs of machines that are reserved for a team.
#[derive(Clone, Copy, Default)]
pub struct ReservedCapacity {
    pub free: f64,
    /// Free, or used by others.
    pub promised: f64,
}

/// Longer than a worker takes to hear a command and to say that it was carried out, beside two reports.
const COMMAND_LATENCY_MS: u64 = 1_000;

/// For how long a task is taken to be on its machine if it starts now; none: until it is stopped.
pub fn expected_stay_ms(spec: &JobSpec, context: &Context) -> Option<u64> {
    if spec.kind == JobKind::Service {
        return None;
    }
    let run = context.config.ops.calendar.margin * estimate(spec, context.config.ops.default_run_s);
    let fetch = spec.pull_gb / slowest_fetch(context.types.values());
    Some(seconds_to_ms(run + fetch) + 2 * context.config.settings.report_ms())
}

impl Shard {
    /// Whether the calendar keeps a job from starting on a machine now.
    pub(super) fn is_reserved_for_others(
        &self,
        spec: &JobSpec,
        pool: Option<&Pool>,
        kept: Option<&MachineReservation>,
        context: &Context,
    ) -> bool {
        if context.guard.is_empty() {
            return false;
        }
        let Some(pool) = pool else {
            return false;
        };
        let now = WallClockMillis(context.effects.wall_ms);
        let stay = expected_stay_ms(spec, context);
        if context.guard.forbids(pool, stay, now).is_some() {
            return true;
        }
        kept.is_some_and(|kept| {
            let end = now.0.saturating_add(stay.unwrap_or(u64::MAX));
            kept.team != spec.team
                && now < kept.until
                && end.saturating_add(context.guard.skew_ms) > kept.from.0
        })
    }

    /// Whether a machine is kept for a reservation that is open, or for which it has been rented.
    pub(super) fn is_reserved_soon(
        &self,
        name: &MachineId,
        ready_ms: u64,
        context: &Context,
    ) -> bool {
        let now = context.effects.wall_ms;
        let kept = self.reservations.by_machine.get(name);
        kept.is_some_and(|k| now < k.until.0 && now.saturating_add(ready_ms) >= k.from.0)
    }

    /// Chooses anew which machines are kept for which reservation: of each, this part keeps its
    /// share. Machines' names decide before a reservation opens, so that the choice lasts; from then on
    /// what is free there, or its team's already.
    pub(super) fn reserve_machines(&mut self, context: &Context) {
        self.reservations.by_machine.clear();
        if context.guard.holds.is_empty() {
            return;
        }
        let now = WallClockMillis(context.effects.wall_ms);
        let longest = self
            .jobs
            .values()
            .filter(|j| j.is_waiting())
            .filter_map(|j| j.spec())
            .map(|spec| expected_stay_ms(spec, context).unwrap_or(u64::MAX))
            .max();
        // What nobody who waits would run into need not be kept yet, but for machines rented ahead.
        let ahead = longest.unwrap_or(0).max(provisioning_lead_ms(context));
        let soon = now
            .0
            .saturating_add(ahead)
            .saturating_add(context.guard.skew_ms);
        let mut kept = BTreeMap::new();
        for hold in context.guard.holds.iter() {
            if hold.until <= now || hold.from.0 > soon {
                continue;
            }
            let share = self.reserved_amount(hold, context);
            if share.is_zero() {
                continue;
            }
            let open = hold.from <= now;
            let mut choice: Vec<(Amount, &MachineId)> = self
                .machines
                .iter()
                .filter(|(name, m)| !kept.contains_key(*name) && self.may_reserve(hold, m))
                .filter_map(|(name, m)| {
                    let whole = context.types.get(&m.model)?.room();
                    let mut room = whole;
                    if open {
                        room.sub(m.used);
                        let theirs = self.used_by_team(&hold.team, name);
                        theirs.for_each(|r| room.add(r));
                    }
                    Some((Amount::of(room), name))
                })
                .collect();
            if open {
                choice.sort_by(|a, b| b.0.cpus.cmp(&a.0.cpus).then(a.1.cmp(b.1)));
            }
            let mut sum = Amount::ZERO;
            for (room, name) in choice {
                if share.fits_in(sum) {
                    break;
                }
                sum = sum.plus(room.max(Amount::ZERO));
                let keep = MachineReservation {
                    team: hold.team.clone(),
                    from: hold.from,
                    until: hold.until,
                };
                kept.insert(name.clone(), keep);
            }
        }
        self.reservations.by_machine = kept;
    }

    /// What a team's jobs take of a machine, job by job.
    fn used_by_team(&self, team: &Team, name: &MachineId) -> impl Iterator<Item = Resources> {
        self.jobs.on_machine(name).filter_map(move |(_, j)| {
            let spec = j.spec().filter(|s| s.team == *team)?;
            let tasks = j.desired.started.get(name)?.len();
            Some(spec.resources.times(f64::from(tasks)))
        })
    }

    /// What of a reservation this part keeps: parts take it up one after the other, each as much as it
    /// has, beginning with one that the reservation's name tells, so that small ones are not
    /// splintered and many are spread.
    fn reserved_amount(&self, hold: &Hold, context: &Context) -> Amount {
        let shard_count = context.config.shard_count.max(1);
        let first = shard_of(hold.reservation.as_str(), shard_count).0;
        let Some(kind) = context.types.get(&*hold.pool.model) else {
            return Amount::ZERO;
        };
        let whole = Amount::of(kind.room());
        let mut left = hold.amount;
        for shard_id in (0..shard_count).map(|i| ShardId((first + i) % shard_count)) {
            let there = match shard_id == self.id {
                true => self
                    .machines
                    .values()
                    .filter(|m| self.may_reserve(hold, m))
                    .count() as u32,
                false => {
                    let (ordinary, spot) = self
                        .reservations
                        .machines_elsewhere
                        .get(&(shard_id, hold.pool.clone()))
                        .copied()
                        .unwrap_or_default();
                    ordinary + if hold.spot { spot } else { 0 }
                }
            };
            let has = whole.times(i64::from(there));
            if shard_id == self.id {
                return left.min(has);
            }
            left = left.minus(has).max(Amount::ZERO);
        }
        Amount::ZERO
    }

    /// This part's machines by pool, ordinary ones and spot ones.
    pub fn pools(&self) -> BTreeMap<Pool, (u32, u32)> {
        let mut pools: BTreeMap<Pool, (u32, u32)> = BTreeMap::new();
        for m in self
            .machines
            .values()
            .filter(|m| m.retirement.is_none() && !m.cordoned && !m.releasing)
        {
            if let Some(pool) = &m.pool {
                let count = pools.entry(pool.clone()).or_default();
                *(if m.spot { &mut count.1 } else { &mut count.0 }) += 1;
            }
        }
        pools
    }

    /// What is kept for teams by now: what of it is free, and what is not their own use, which is
    /// theirs as soon as it falls free or is freed.
    pub(super) fn reserved_capacity(
        &self,
        capacity_index: &CapacityIndex,
        context: &Context,
    ) -> BTreeMap<Team, ReservedCapacity> {
        let mut kept: BTreeMap<Team, ReservedCapacity> = BTreeMap::new();
        for room in capacity_index.entries() {
            if let Some(k) = &capacity_index.key(room).reservation
                && k.by_now(context)
            {
                let theirs = self.used_by_team(&k.team, &room.what.name).map(|r| r.cpus);
                let entry = kept.entry(k.team.clone()).or_default();
                entry.free += room.free.cpus.max(0.0);
                entry.promised += (room.what.total.cpus - theirs.sum::<f64>()).max(0.0);
            }
        }
        kept
    }

    /// Finds the tasks of other teams that have overrun their estimates on machines kept for a
    /// reservation by now, and that may be stopped for jobs of its team which wait here: to give these
    /// their team's guarantee, where theirs is not concerned, or for their priority. As many as the
    /// waiting tasks need, and none where only the team's limit holds these back.
    pub(super) fn find_preemptible(&mut self, context: &Context) {
        self.reservations.preemptible.clear();
        let mut needs: BTreeMap<&Team, (f64, Vec<&JobId>)> = BTreeMap::new();
        let open = |k: &&MachineReservation| {
            k.from.0 <= context.effects.wall_ms && context.effects.wall_ms < k.until.0
        };
        for kept in self.reservations.by_machine.values().filter(open) {
            needs.entry(&kept.team).or_default();
        }
        needs.retain(|team, _| !self.quotas.shortfalls.contains_key(*team));
        if needs.is_empty() {
            return;
        }
        for (id, job) in self.jobs.iter().filter(|(_, j)| j.is_waiting()) {
            let Some(spec) = job.spec() else { continue };
            if let Some((cpus, jobs)) = needs.get_mut(&spec.team) {
                *cpus += spec.resources.cpus * f64::from(job.desired.waiting.len());
                jobs.push(id);
            }
        }
        needs.retain(|_, (cpus, _)| *cpus > 0.0);
        if needs.is_empty() {
            return;
        }
        let within = jobs_within_quota(context);
        let priority = |id: &JobId| self.jobs.get(id)?.spec().map(|s| s.priority);
        let mut overrun: BTreeMap<MachineId, BTreeSet<JobId>> = BTreeMap::new();
        for (name, kept) in self.reservations.by_machine.iter().filter(|(_, k)| open(k)) {
            let Some((cpus, newcomers)) = needs.get_mut(&kept.team) else {
                continue;
            };
            for (id, job) in self.jobs.on_machine(name) {
                let Some(spec) = job.spec().filter(|s| s.team != kept.team) else {
                    continue;
                };
                let yields = newcomers.iter().any(|new| {
                    let guarantee = within.contains(*new) && !within.contains(id);
                    guarantee || priority(new) > Some(spec.priority)
                });
                if yields && *cpus > 0.0 {
                    let tasks = job.desired.started.get(name).map_or(0, |s| s.len());
                    *cpus -= spec.resources.cpus * f64::from(tasks);
                    overrun.entry(name.clone()).or_default().insert(id.clone());
                }
            }
        }
        self.reservations.preemptible = overrun;
    }

    /// Whether a task is to be stopped for a reservation.
    pub(super) fn is_preempted(&self, name: &MachineId, job: &JobId) -> bool {
        self.reservations
            .preemptible
            .get(name)
            .is_some_and(|jobs| jobs.contains(job))
    }

    fn may_reserve(&self, hold: &Hold, m: &Machine) -> bool {
        m.pool.as_ref() == Some(&hold.pool)
            && (hold.spot || !m.spot)
            && m.retirement.is_none()
            && !m.cordoned
            && !m.releasing
            && m.interruption_at.is_none()
    }

    /// Empties machines whose pool closes as soon as a task can be stopped in time, saving what it
    /// saves; they are returned once nothing is on them.
    pub(super) fn drain_closing_pools(&mut self, context: &Context) {
        if context.guard.closings.is_empty() {
            return;
        }
        let now = WallClockMillis(context.effects.wall_ms);
        let heartbeat_ms = context.config.settings.report_ms();
        let jobs = &self.jobs;
        for (name, m) in self
            .machines
            .iter_mut()
            .filter(|(_, m)| m.retirement.is_none())
        {
            let Some(pool) = &m.pool else {
                continue;
            };
            let saves = m
                .reported_tasks
                .iter()
                .filter_map(|t| jobs.get(&t.task.job)?.spec());
            let save_s = saves.map(|s| s.save_s).fold(0.0, f64::max);
            let ahead = 2 * heartbeat_ms + COMMAND_LATENCY_MS + seconds_to_ms(save_s);
            if let Some(closing) = context.guard.empties(pool, now, ahead) {
                tracing::info!(machine = %name, shard = %self.id, window = %closing.window,
                    "machine cordoned: maintenance window");
                m.retirement = Some(RetirementReason::Window);
                self.placement.dirty = true;
            }
        }
    }
}

/// How long before a reservation opens its machines are rented: what the slowest type takes to be up
/// and to fetch an image.
pub fn provisioning_lead_ms(context: &Context) -> u64 {
    let ready_s = context
        .types
        .values()
        .map(|t| t.ready_s)
        .fold(0.0, f64::max);
    seconds_to_ms(2.0 * ready_s + IMAGE_FETCH_ALLOWANCE_S)
}

/// Time allowed for an image to be fetched before a reservation opens.
const IMAGE_FETCH_ALLOWANCE_S: f64 = 30.0;
