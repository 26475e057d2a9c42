//! What a shard sets aside for reservations of the calendar: machines on which no task of another team starts that would
//! still be there.

use super::Shard;
use super::capacity::CapacityIndex;
use super::machine::Machine;
use crate::coordination::context::Context;
use crate::coordination::placement::{estimate, slowest_fetch};
use snowshelf_calendar::amount::Amount;
use snowshelf_calendar::calendar::Pool;
use snowshelf_calendar::constraints::PoolReservation;
use snowshelf_model::ids::{
    JobId, MachineId, ShardId, Team, WallClockMillis, seconds_to_ms, shard_of,
};
use snowshelf_model::records::{JobKind, JobSpec, Resources};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// Time allowed for an image to be fetched before a reservation begins.
const IMAGE_FETCH_ALLOWANCE_S: f64 = 30.0;

/// What a machine is reserved for.
#[derive(Clone, PartialEq)]
pub(super) struct MachineReservation {
    pub team: Team,
    from: WallClockMillis,
    until: WallClockMillis,
}

impl MachineReservation {
    fn has_begun(&self, context: &Context<'_>) -> bool {
        self.from.0 <= context.effects.wall_ms
    }

    /// Whether the reservation has begun and not ended.
    pub(super) fn is_open(&self, context: &Context<'_>) -> bool {
        self.has_begun(context) && context.effects.wall_ms < self.until.0
    }

    /// The team that the machine is reserved for, once the reservation has begun.
    pub(super) fn current_team(&self, context: &Context<'_>) -> Option<&Team> {
        self.has_begun(context).then_some(&self.team)
    }
}

/// What is set aside for reservations of the calendar.
#[derive(Default)]
pub(super) struct CapacityReservations {
    /// Reserved machines.
    pub by_machine: BTreeMap<MachineId, MachineReservation>,
    /// Jobs whose tasks on a machine are preempted for a reservation, as of the last pass.
    pub preemptible: BTreeMap<MachineId, BTreeSet<JobId>>,
    /// The other shards' machines by pool, ordinary and spot ones, while something is reserved.
    pub machines_elsewhere: Rc<BTreeMap<(ShardId, Pool), (u32, u32)>>,
    /// Capacity reserved for teams now, as of the last pass.
    pub capacity: BTreeMap<Team, ReservedCapacity>,
}

/// CPUs of machines that are reserved for a team.
#[derive(Clone, Copy, Default)]
pub struct ReservedCapacity {
    /// CPUs that are free.
    pub free: f64,
    /// CPUs that are free, or used by other teams.
    pub promised: f64,
}

/// How long a task is expected to be on its machine if it starts now, in milliseconds; `None`: until it is stopped.
pub fn expected_stay_ms(spec: &JobSpec, context: &Context<'_>) -> Option<u64> {
    if spec.kind == JobKind::Service {
        return None;
    }
    let run_s =
        context.config.ops.calendar.margin * estimate(spec, context.config.ops.default_run_s);
    let fetch_s = spec.pull_gb / slowest_fetch(context.types.values());
    Some(seconds_to_ms(run_s + fetch_s) + 2 * context.config.settings.report_ms())
}

/// How long before a reservation begins its machines are provisioned, in milliseconds: what the slowest type takes to be
/// up and to fetch an image.
pub fn provisioning_lead_ms(context: &Context<'_>) -> u64 {
    let types = context.types.values();
    let ready_s = types.map(|t| t.ready_s).fold(0.0, f64::max);
    seconds_to_ms(2.0 * ready_s + IMAGE_FETCH_ALLOWANCE_S)
}

impl Shard {
    /// Whether the calendar keeps a job from starting on a machine now.
    pub(super) fn is_reserved_for_others(
        &self,
        spec: &JobSpec,
        pool: Option<&Pool>,
        reservation: Option<&MachineReservation>,
        context: &Context<'_>,
    ) -> bool {
        if context.calendar_constraints.is_empty() {
            return false;
        }
        let Some(pool) = pool else {
            return false;
        };
        let now = WallClockMillis(context.effects.wall_ms);
        let stay_ms = expected_stay_ms(spec, context);
        if context
            .calendar_constraints
            .blocks_start(pool, stay_ms, now)
            .is_some()
        {
            return true;
        }
        reservation.is_some_and(|reservation| {
            let end = now.0.saturating_add(stay_ms.unwrap_or(u64::MAX));
            reservation.team != spec.team
                && now < reservation.until
                && end.saturating_add(context.calendar_constraints.skew_ms) > reservation.from.0
        })
    }

    /// Whether a machine is reserved and the reservation has begun, or begins within `lead_ms`.
    pub(super) fn is_reserved_soon(
        &self,
        name: &MachineId,
        lead_ms: u64,
        context: &Context<'_>,
    ) -> bool {
        let now = context.effects.wall_ms;
        let reservation = self.reservations.by_machine.get(name);
        reservation.is_some_and(|r| now < r.until.0 && now.saturating_add(lead_ms) >= r.from.0)
    }

    /// Chooses anew which machines are reserved for what: of each reservation, this shard takes its part. Machines' names
    /// decide before a reservation begins, so that the choice lasts; from then on what is free there, or its team's
    /// already.
    pub(super) fn reserve_machines(&mut self, context: &Context<'_>) {
        self.reservations.by_machine.clear();
        if context.calendar_constraints.reservations.is_empty() {
            return;
        }
        let now = WallClockMillis(context.effects.wall_ms);
        let begins_by = self.reservation_horizon(now, context);
        let mut reserved = BTreeMap::new();
        for hold in &context.calendar_constraints.reservations {
            if hold.until <= now || hold.from.0 > begins_by {
                continue;
            }
            let amount = self.reserved_amount(hold, context);
            if amount.is_zero() {
                continue;
            }
            let mut sum = Amount::ZERO;
            for (available, name) in self.reservable_machines(hold, &reserved, context) {
                if amount.fits_in(sum) {
                    break;
                }
                sum = sum.plus(available.max(Amount::ZERO));
                let reservation = MachineReservation {
                    team: hold.team.clone(),
                    from: hold.from,
                    until: hold.until,
                };
                reserved.insert(name, reservation);
            }
        }
        self.reservations.by_machine = reserved;
    }

    /// Reservations that begin later need no machines yet: nothing that waits would run into them, and their machines
    /// are not provisioned yet.
    fn reservation_horizon(&self, now: WallClockMillis, context: &Context<'_>) -> u64 {
        let waiting = self.jobs.values().filter(|j| j.is_waiting());
        let stays = waiting
            .filter_map(|j| j.spec())
            .map(|spec| expected_stay_ms(spec, context).unwrap_or(u64::MAX));
        let longest_stay = stays.max().unwrap_or(0);
        let ahead_ms = longest_stay.max(provisioning_lead_ms(context));
        now.0
            .saturating_add(ahead_ms)
            .saturating_add(context.calendar_constraints.skew_ms)
    }

    /// The machines that may be reserved and what each has for it, in the order in which they are taken.
    fn reservable_machines(
        &self,
        hold: &PoolReservation,
        reserved: &BTreeMap<MachineId, MachineReservation>,
        context: &Context<'_>,
    ) -> Vec<(Amount, MachineId)> {
        let open = hold.from.0 <= context.effects.wall_ms;
        let machines = self.machines.iter();
        let machines =
            machines.filter(|(name, m)| !reserved.contains_key(*name) && may_reserve(hold, m));
        let mut available: Vec<(Amount, MachineId)> = machines
            .filter_map(|(name, m)| {
                let mut resources = context.types.get(&m.model)?.room();
                if open {
                    resources.sub(m.used);
                    let theirs = self.used_by_team(&hold.team, name);
                    theirs.for_each(|used| resources.add(used));
                }
                Some((Amount::from_resources(resources), name.clone()))
            })
            .collect();
        if open {
            available.sort_by(|a, b| b.0.cpus.cmp(&a.0.cpus).then(a.1.cmp(&b.1)));
        }
        available
    }

    /// What a team's jobs use of a machine, job by job.
    fn used_by_team(&self, team: &Team, name: &MachineId) -> impl Iterator<Item = Resources> {
        self.jobs.on_machine(name).filter_map(move |(_, job)| {
            let spec = job.spec().filter(|s| s.team == *team)?;
            let tasks = job.desired.started.get(name)?.len();
            Some(spec.resources.times(f64::from(tasks)))
        })
    }

    /// What of a reservation this shard takes: shards take it one after the other, each as much as it has, beginning
    /// with one that the reservation's name tells, so that small ones are not splintered and many are spread.
    fn reserved_amount(&self, hold: &PoolReservation, context: &Context<'_>) -> Amount {
        let shard_count = context.config.shard_count.max(1);
        let first = shard_of(hold.reservation.as_str(), shard_count).0;
        let Some(machine_type) = context.types.get(&*hold.pool.model) else {
            return Amount::ZERO;
        };
        let per_machine = Amount::from_resources(machine_type.room());
        let mut remaining = hold.amount;
        for shard_id in (0..shard_count).map(|i| ShardId((first + i) % shard_count)) {
            let machines = self.machines_for(hold, shard_id);
            let available = per_machine.times(i64::from(machines));
            if shard_id == self.id {
                return remaining.min(available);
            }
            remaining = remaining.minus(available).max(Amount::ZERO);
        }
        Amount::ZERO
    }

    /// How many machines a shard has that may be taken for a reservation.
    fn machines_for(&self, hold: &PoolReservation, shard_id: ShardId) -> u32 {
        if shard_id == self.id {
            let machines = self.machines.values();
            return machines.filter(|m| may_reserve(hold, m)).count() as u32;
        }
        let elsewhere = &self.reservations.machines_elsewhere;
        let counts = elsewhere.get(&(shard_id, hold.pool.clone()));
        let (ordinary, spot) = counts.copied().unwrap_or_default();
        ordinary + if hold.spot { spot } else { 0 }
    }

    /// This shard's machines by pool, ordinary ones and spot ones.
    pub fn pools(&self) -> BTreeMap<Pool, (u32, u32)> {
        let mut pools: BTreeMap<Pool, (u32, u32)> = BTreeMap::new();
        let machines = self.machines.values();
        for m in machines.filter(|m| m.retirement.is_none() && !m.cordoned && !m.releasing) {
            if let Some(pool) = &m.pool {
                let (ordinary, spot) = pools.entry(pool.clone()).or_default();
                *(if m.spot { spot } else { ordinary }) += 1;
            }
        }
        pools
    }

    /// What is reserved for teams now: what of it is free, and what is not their own use, which is theirs as soon as it
    /// falls free.
    pub(super) fn reserved_capacity(
        &self,
        index: &CapacityIndex,
        context: &Context<'_>,
    ) -> BTreeMap<Team, ReservedCapacity> {
        let mut capacity: BTreeMap<Team, ReservedCapacity> = BTreeMap::new();
        for machine in index.entries() {
            let reservation = index.class(machine).reservation.as_ref();
            let Some(team) = reservation.and_then(|r| r.current_team(context)) else {
                continue;
            };
            let theirs = self.used_by_team(team, &machine.machine.name);
            let theirs = theirs.map(|used| used.cpus);
            let reserved = capacity.entry(team.clone()).or_default();
            reserved.free += machine.free.cpus.max(0.0);
            reserved.promised += (machine.machine.total.cpus - theirs.sum::<f64>()).max(0.0);
        }
        capacity
    }
}

fn may_reserve(hold: &PoolReservation, m: &Machine) -> bool {
    m.pool.as_ref() == Some(&hold.pool)
        && (hold.spot || !m.spot)
        && m.retirement.is_none()
        && !m.cordoned
        && !m.releasing
        && m.interruption_at.is_none()
}
