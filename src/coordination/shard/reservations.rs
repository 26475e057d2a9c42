//! Capacity reservations from the calendar: machines on which no task of another team starts if it
//! might still run when the reservation begins.

use super::Shard;
use super::capacity::CapacityIndex;
use super::machine::Machine;
use crate::coordination::context::Context;
use crate::coordination::placement::{estimated_run_s, slowest_fetch_gb_per_s};
use snowshelf_calendar::amount::Amount;
use snowshelf_calendar::calendar::Pool;
use snowshelf_calendar::constraints::PoolReservation;
use snowshelf_model::ids::{
    JobId, MachineId, ShardId, Team, WallClockMillis, seconds_to_ms, shard_of,
};
use snowshelf_model::records::{JobKind, JobSpec, Resources};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// Time allowed for fetching an image before a reservation begins.
const IMAGE_FETCH_ALLOWANCE_S: f64 = 30.0;

/// The reservation that a machine is set aside for.
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
    pub(super) fn is_active(&self, context: &Context<'_>) -> bool {
        self.has_begun(context) && context.effects.wall_ms < self.until.0
    }

    /// Returns the team that the machine is reserved for, once the reservation has begun.
    pub(super) fn current_team(&self, context: &Context<'_>) -> Option<&Team> {
        self.has_begun(context).then_some(&self.team)
    }
}

/// The capacity that a shard sets aside for reservations.
#[derive(Default)]
pub(super) struct CapacityReservations {
    /// Reserved machines.
    pub by_machine: BTreeMap<MachineId, MachineReservation>,
    /// Jobs whose tasks on a machine are preempted for a reservation, as of the last pass.
    pub preemptible: BTreeMap<MachineId, BTreeSet<JobId>>,
    /// Numbers of on-demand and spot machines in other shards' pools; updated only while
    /// reservations exist.
    pub machines_elsewhere: Rc<BTreeMap<(ShardId, Pool), (u32, u32)>>,
    /// Capacity reserved for teams now, as of the last pass.
    pub capacity: BTreeMap<Team, ReservedCapacity>,
}

/// CPUs of the machines that are reserved for a team.
#[derive(Clone, Copy, Default)]
pub struct ReservedCapacity {
    /// Free CPUs.
    pub free: f64,
    /// CPUs that are free or used by other teams.
    pub unused_by_team: f64,
}

/// Returns how long a task is expected to stay on its machine if it starts now, in milliseconds;
/// `None` for a service, which runs until it is stopped.
pub fn expected_stay_ms(spec: &JobSpec, context: &Context<'_>) -> Option<u64> {
    if spec.kind == JobKind::Service {
        return None;
    }
    let run_s = context.config.ops.calendar.margin
        * estimated_run_s(spec, context.config.ops.default_run_s);
    let fetch_s = spec.pull_gb / slowest_fetch_gb_per_s(context.machine_types.values());
    Some(seconds_to_ms(run_s + fetch_s) + 2 * context.config.settings.report_ms())
}

/// Returns how long before a reservation begins its machines are provisioned, in milliseconds: the
/// time that the slowest machine type needs to become ready and to fetch an image.
pub fn provisioning_lead_ms(context: &Context<'_>) -> u64 {
    let types = context.machine_types.values();
    let ready_s = types.map(|t| t.ready_s).fold(0.0, f64::max);
    seconds_to_ms(2.0 * ready_s + IMAGE_FETCH_ALLOWANCE_S)
}

impl Shard {
    /// Whether the calendar prevents a job from starting on a machine now.
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

    /// Whether a machine is reserved, and the reservation has begun or begins within `lead_ms`.
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

    /// Recomputes which machines are reserved: this shard's part of each reservation. Before a
    /// reservation begins, machines are chosen by name, so that the choice is stable. After that,
    /// machines with the most CPUs that are free or used by the reservation's team come first.
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

    /// Returns the wall-clock time up to which reservations need machines, in milliseconds. A
    /// reservation that begins later does not collide with any waiting task, and its machines are
    /// not provisioned yet.
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

    /// Returns the machines that may be reserved, in the order in which they are taken, and the
    /// amount that each provides.
    fn reservable_machines(
        &self,
        hold: &PoolReservation,
        reserved: &BTreeMap<MachineId, MachineReservation>,
        context: &Context<'_>,
    ) -> Vec<(Amount, MachineId)> {
        let is_active = hold.from.0 <= context.effects.wall_ms;
        let machines = self.machines.iter();
        let machines =
            machines.filter(|(name, m)| !reserved.contains_key(*name) && is_reservable(hold, m));
        let mut available: Vec<(Amount, MachineId)> = machines
            .filter_map(|(name, m)| {
                let mut resources = context.machine_types.get(&m.model)?.capacity();
                if is_active {
                    resources.sub(m.used);
                    let team_usage = self.used_by_team(&hold.team, name);
                    team_usage.for_each(|used| resources.add(used));
                }
                Some((Amount::from_resources(resources), name.clone()))
            })
            .collect();
        if is_active {
            available.sort_by(|a, b| b.0.cpus.cmp(&a.0.cpus).then(a.1.cmp(&b.1)));
        }
        available
    }

    /// Iterates over the resources that a team's jobs use on a machine, one item per job.
    fn used_by_team(&self, team: &Team, name: &MachineId) -> impl Iterator<Item = Resources> {
        self.jobs.on_machine(name).filter_map(move |(_, job)| {
            let spec = job.spec().filter(|s| s.team == *team)?;
            let tasks = job.desired.started.get(name)?.len();
            Some(spec.resources.times(f64::from(tasks)))
        })
    }

    /// Returns this shard's part of a reservation. Shards take as much as they have, one after
    /// another, starting with a shard derived from the reservation's name. This keeps small
    /// reservations in one shard, and spreads many reservations over all shards.
    fn reserved_amount(&self, hold: &PoolReservation, context: &Context<'_>) -> Amount {
        let shard_count = context.config.shard_count.max(1);
        let first = shard_of(hold.reservation.as_str(), shard_count).0;
        let Some(machine_type) = context.machine_types.get(&*hold.pool.model) else {
            return Amount::ZERO;
        };
        let per_machine = Amount::from_resources(machine_type.capacity());
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

    /// Returns the number of a shard's machines that may be used for a reservation.
    fn machines_for(&self, hold: &PoolReservation, shard_id: ShardId) -> u32 {
        if shard_id == self.id {
            let machines = self.machines.values();
            return machines.filter(|m| is_reservable(hold, m)).count() as u32;
        }
        let elsewhere = &self.reservations.machines_elsewhere;
        let counts = elsewhere.get(&(shard_id, hold.pool.clone()));
        let (on_demand, spot) = counts.copied().unwrap_or_default();
        on_demand + if hold.spot { spot } else { 0 }
    }

    /// Returns the numbers of this shard's on-demand and spot machines, by pool.
    pub fn machines_by_pool(&self) -> BTreeMap<Pool, (u32, u32)> {
        let mut pools: BTreeMap<Pool, (u32, u32)> = BTreeMap::new();
        let machines = self.machines.values();
        for m in machines.filter(|m| m.retirement.is_none() && !m.cordoned && !m.releasing) {
            if let Some(pool) = &m.pool {
                let (on_demand, spot) = pools.entry(pool.clone()).or_default();
                *(if m.spot { spot } else { on_demand }) += 1;
            }
        }
        pools
    }

    /// Returns the capacity reserved for teams now: what is free, and what is not used by the team
    /// itself. The latter includes resources used by other teams, which become available to the
    /// team when they are released.
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
            let team_usage = self.used_by_team(team, &machine.machine.name);
            let team_cpus = team_usage.map(|used| used.cpus);
            let reserved = capacity.entry(team.clone()).or_default();
            reserved.free += machine.free.cpus.max(0.0);
            reserved.unused_by_team +=
                (machine.machine.total.cpus - team_cpus.sum::<f64>()).max(0.0);
        }
        capacity
    }
}

fn is_reservable(hold: &PoolReservation, m: &Machine) -> bool {
    m.pool.as_ref() == Some(&hold.pool)
        && (hold.spot || !m.spot)
        && m.retirement.is_none()
        && !m.cordoned
        && !m.releasing
        && m.interruption_at.is_none()
}
