//! Scale-out planning: a pure function that chooses the machines to request so that each task runs where it
//! is cheapest.

use super::plan_types::{MachineSupply, Plan, Pool, TaskDemand};
use crate::coordination::zone_rule::ZoneRule;
use snowshelf_machine_index::capacity_index::{AllowedClasses, CapacityIndex};
use snowshelf_model::ids::ShardId;
use snowshelf_model::protocol::cloud::MachineType;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// A machine type is expensive for a job if a task costs more on it than this multiple of the lowest price on
/// any type that the job allows.
const EXPENSIVE_FACTOR: f64 = 1.5;

/// A pool whose machines can satisfy a demand.
struct PoolOption<'a> {
    pool: &'a Pool,
    machine_type: &'a MachineType,
    tasks_per_machine: u32,
}

impl PoolOption<'_> {
    /// Returns how many of `left` tasks a further machine would take.
    fn tasks_now(&self, left: u32, zones: &ZoneRule<String>) -> u32 {
        let tasks = self.tasks_per_machine.min(left);
        tasks.min(zones.remaining(&self.pool.zone))
    }
}

/// Tasks of a demand that fit on the supply.
#[derive(Default)]
struct PlacedTasks {
    total: u32,
    /// Those on machines in service or starting, not on requested ones.
    on_rented: u32,
}

/// The state of a plan under construction.
struct Planner<'a> {
    types: &'a BTreeMap<String, MachineType>,
    capacity_index: CapacityIndex<Pool, Option<ShardId>>,
    /// CPUs that are not expected to become free, by pool.
    lasting_cpus: BTreeMap<Pool, f64>,
    plan: Plan,
    /// Work of tasks that must wait for a free machine, in CPU seconds.
    backlog_cpu_s: f64,
}

/// Plans how many machines to request from each pool that is not in `excluded`, in addition to `supply`, to
/// satisfy the demand.
#[must_use]
pub fn plan(
    demand: &[TaskDemand],
    mut supply: Vec<MachineSupply>,
    types: &BTreeMap<String, MachineType>,
    excluded: &BTreeSet<Pool>,
) -> Plan {
    let pools = available_pools(types, excluded);
    // Spot instances are filled first, which leaves on-demand machines to jobs that cannot use spot
    // instances.
    supply.sort_by_key(|machine| !machine.pool.spot);
    let (reserved, mut tasks): (Vec<_>, Vec<_>) = demand
        .iter()
        .enumerate()
        .partition(|(_, demand)| demand.is_reservation);
    let mut unclaimed = Vec::new();
    for (_, demand) in reserved {
        let claimed = claim_machines(demand, &mut supply);
        unclaimed.push(TaskDemand {
            tasks: demand.tasks - claimed,
            ..demand.clone()
        });
    }
    // Demand with the most constraints is placed first.
    tasks.sort_by_key(|(_, d)| (d.spot, d.types.is_none(), d.zone.is_none()));
    let mut planner = Planner::new(supply, types);
    for demand in &unclaimed {
        planner.satisfy(demand, &pools);
    }
    for (index, demand) in tasks {
        if !planner.satisfy(demand, &pools) {
            planner.plan.unmet.push(index);
        }
    }
    planner.plan
}

/// Takes machines for a reservation out of the supply, those with the most free CPUs first. Returns their number.
fn claim_machines(demand: &TaskDemand, supply: &mut Vec<MachineSupply>) -> u32 {
    let mut claimable: Vec<usize> = (0..supply.len())
        .filter(|index| demand.allows(&supply[*index].pool))
        .collect();
    claimable.sort_by(|a, b| supply[*b].free.cpus.total_cmp(&supply[*a].free.cpus));
    claimable.truncate(demand.tasks as usize);
    let claimed = claimable.len() as u32;
    // Removal from the end keeps the lower indices valid.
    claimable.sort_unstable();
    for index in claimable.into_iter().rev() {
        supply.remove(index);
    }
    claimed
}

/// Returns all pools from which machines may be requested.
fn available_pools(types: &BTreeMap<String, MachineType>, excluded: &BTreeSet<Pool>) -> Vec<Pool> {
    let mut pools = Vec::new();
    for machine_type in types.values() {
        for zone in &machine_type.zones {
            for spot in [true, false] {
                if spot && machine_type.spot_price.is_none() {
                    continue;
                }
                let pool = Pool {
                    model: machine_type.name.clone(),
                    zone: zone.clone(),
                    spot,
                };
                if !excluded.contains(&pool) {
                    pools.push(pool);
                }
            }
        }
    }
    pools
}

impl<'t> Planner<'t> {
    /// Starts a plan with the supply alone.
    fn new(supply: Vec<MachineSupply>, types: &'t BTreeMap<String, MachineType>) -> Planner<'t> {
        let mut capacity_index = CapacityIndex::default();
        let mut lasting_cpus: BTreeMap<Pool, f64> = BTreeMap::new();
        for machine in supply {
            let pool = machine.pool;
            if machine.lasting_cpus > 0.0 {
                *lasting_cpus.entry(pool.clone()).or_default() += machine.lasting_cpus;
            }
            let is_same = |other: &Pool| *other == pool;
            capacity_index.push(is_same, || pool.clone(), machine.free, machine.shard);
        }
        Planner {
            types,
            capacity_index,
            lasting_cpus,
            plan: Plan::default(),
            backlog_cpu_s: 0.0,
        }
    }

    /// Places the tasks of one demand on the supply, and plans machines for the remaining tasks. Returns whether the
    /// machines in service and starting suffice.
    fn satisfy(&mut self, demand: &TaskDemand, pools: &[Pool]) -> bool {
        let gang_zone = self.zone_for_gang(demand, pools);
        let in_gang_zone = |pool: &Pool| gang_zone.as_ref().is_none_or(|zone| *zone == pool.zone);
        let allowed = self
            .capacity_index
            .allowed(|pool| demand.allows(pool) && in_gang_zone(pool));
        let mut zones = demand.zones.clone();
        let placed = self.place_on_supply(demand, &allowed, &mut zones);
        let mut left = demand.tasks - placed.total;
        let mut usable_cpus = self.usable_cpus(&allowed);
        let patience_s = demand.patience_s - demand.unmet_s;
        let min_price = demand.min_task_price(self.types);
        let mut options = self.options(demand, left, pools);
        options.retain(|option| in_gang_zone(option.pool));
        while left > 0 {
            let Some(option) = self.cheapest_option(&options, left, &zones) else {
                break;
            };
            let PoolOption {
                pool, machine_type, ..
            } = option;
            let price = demand.task_price(machine_type, pool.spot);
            let is_expensive = price.is_none_or(|p| p > EXPENSIVE_FACTOR * min_price);
            if is_expensive {
                // Requests expensive machines only if the work would wait too long for the usable ones, or has
                // done so.
                let work = self.backlog_cpu_s + demand.over_quota_cpu_s + demand.work_cpu_s(left);
                if patience_s > 0.0 && work <= usable_cpus * patience_s {
                    break;
                }
            }
            let tasks = option.tasks_now(left, &zones);
            let mut free = machine_type.capacity();
            free.sub(demand.resources.times(f64::from(tasks)));
            usable_cpus += machine_type.cpus;
            self.capacity_index
                .push(|other| other == *pool, || (*pool).clone(), free, None);
            zones.add_tasks(Some(pool.zone.clone()), tasks);
            left -= tasks;
            *self.plan.requests.entry((*pool).clone()).or_default() += 1;
        }
        self.backlog_cpu_s += demand.over_quota_cpu_s + demand.work_cpu_s(left);
        placed.on_rented == demand.tasks
    }

    /// Returns the CPUs of the machines of the allowed pools that are free or become free.
    fn usable_cpus(&self, allowed: &AllowedClasses) -> f64 {
        let usable = |(pool, machines): (&Pool, usize)| {
            let cpus = self.types.get(&pool.model).map_or(0.0, |t| t.cpus);
            let lasting_cpus = self.lasting_cpus.get(pool).copied().unwrap_or(0.0);
            machines as f64 * cpus - lasting_cpus
        };
        self.capacity_index.class_sizes(allowed).map(usable).sum()
    }

    /// Places tasks on the supply, and counts them in `zones`.
    fn place_on_supply(
        &mut self,
        demand: &TaskDemand,
        allowed: &AllowedClasses,
        zones: &mut ZoneRule<String>,
    ) -> PlacedTasks {
        let mut placed = PlacedTasks::default();
        if demand.tasks == 0 {
            return placed;
        }
        for index in self.capacity_index.fitting(demand.resources, allowed) {
            let entry = &self.capacity_index.entries()[index];
            if !demand.may_use_shard(entry.machine) {
                continue;
            }
            let is_rented = entry.machine.is_some();
            let left = demand.tasks - placed.total;
            let mut tasks = demand.resources.count_in(entry.free).min(left);
            if zones.is_constrained() {
                let zone = &self.capacity_index.class(entry).zone;
                tasks = tasks.min(zones.remaining(zone));
                zones.add_tasks(Some(zone.clone()), tasks);
            }
            self.capacity_index
                .allocate(index, demand.resources.times(f64::from(tasks)));
            placed.total += tasks;
            placed.on_rented += if is_rented { tasks } else { 0 };
        }
        placed
    }

    /// Returns the zone for the tasks of a job that must share one and has none on a machine: one where all fit or
    /// machines can be requested, and there the one with room for the most tasks. `None` if the demand has no
    /// such constraint.
    fn zone_for_gang(&mut self, demand: &TaskDemand, pools: &[Pool]) -> Option<String> {
        if !demand.zones.gang || !demand.zones.has_no_tasks() {
            return None;
        }
        let mut room: BTreeMap<String, u32> = BTreeMap::new();
        let allowed = self.capacity_index.allowed(|pool| demand.allows(pool));
        for index in self.capacity_index.fitting(demand.resources, &allowed) {
            let entry = &self.capacity_index.entries()[index];
            let zone = self.capacity_index.class(entry).zone.clone();
            let tasks = room.entry(zone).or_default();
            *tasks = tasks.saturating_add(demand.resources.count_in(entry.free));
        }
        let options = self.options(demand, demand.tasks, pools);
        let requestable: BTreeSet<String> = options.iter().map(|o| o.pool.zone.clone()).collect();
        for zone in &requestable {
            room.entry(zone.clone()).or_default();
        }
        let rank = |(zone, tasks): (String, u32)| {
            let tasks = tasks.min(demand.tasks);
            let can_hold_all = tasks == demand.tasks || requestable.contains(&zone);
            ((can_hold_all, tasks), Reverse(zone))
        };
        let best = room.into_iter().map(rank).max();
        best.map(|(_, Reverse(zone))| zone)
    }

    /// Returns the pools that can satisfy a demand; none if it has no tasks left.
    fn options<'p>(&self, demand: &TaskDemand, left: u32, pools: &'p [Pool]) -> Vec<PoolOption<'p>>
    where
        Self: 'p,
    {
        let types = self.types;
        pools
            .iter()
            .filter(|pool| left > 0 && demand.allows(pool))
            .filter_map(|pool| {
                let machine_type = types.get(&pool.model)?;
                let tasks_per_machine = demand.resources.count_in(machine_type.capacity());
                (tasks_per_machine > 0).then_some(PoolOption {
                    pool,
                    machine_type,
                    tasks_per_machine,
                })
            })
            .collect()
    }

    /// Returns the option with the lowest price per task; among equals, the one with the fewest machines
    /// planned.
    fn cheapest_option<'o, 'p>(
        &self,
        options: &'o [PoolOption<'p>],
        left: u32,
        zones: &ZoneRule<String>,
    ) -> Option<&'o PoolOption<'p>> {
        let usable = options
            .iter()
            .filter(|option| option.tasks_now(left, zones) > 0);
        let priced = usable.map(|option| {
            // The last machine may be partly empty, so its price is divided by the tasks placed on it.
            let tasks = option.tasks_now(left, zones);
            let price = option.machine_type.price(option.pool.spot) / f64::from(tasks);
            let requested = self.plan.requests.get(option.pool).copied().unwrap_or(0);
            (price, requested, option)
        });
        let cheapest = priced.min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        cheapest.map(|(_, _, option)| option)
    }
}
