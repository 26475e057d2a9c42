//! The scale-out plan: which machines to request so that all demand is met where a task is cheapest. Pure.

use snowshelf_machine_index::capacity_index::{AllowedClasses, CapacityIndex};
use snowshelf_model::protocol::cloud::MachineType;
use snowshelf_model::records::Resources;
use std::collections::{BTreeMap, BTreeSet};

/// A machine is expensive for a job if a task costs more on it than this many times the least price.
const EXPENSIVE_FACTOR: f64 = 1.5;

/// Equal machines of one zone: what one scale-out request asks for.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub struct Pool {
    /// The label of the machine type.
    pub model: String,
    /// The zone.
    pub zone: String,
    /// Whether these are spot instances.
    pub spot: bool,
}

/// A machine type in a zone.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct ZoneModel {
    /// The zone.
    pub zone: String,
    /// The label of the machine type.
    pub model: String,
}

/// A group of equal tasks that need machines.
#[derive(Clone, Debug)]
pub struct TaskDemand {
    /// What each task needs.
    pub resources: Resources,
    /// How many tasks there are.
    pub tasks: u32,
    /// The machine types that they may use; `None`: all.
    pub types: Option<Vec<String>>,
    /// The zone that they must run in, if any.
    pub zone: Option<String>,
    /// Whether they may run on spot instances.
    pub spot: bool,
    /// How long a task is expected to run, in seconds.
    pub estimate_s: f64,
    /// Work of tasks that the team's quota keeps waiting, in CPU seconds: no machines are requested for
    /// them, but they will use those that there are.
    pub over_quota_cpu_s: f64,
    /// How long its tasks may wait without missing a service-level objective, in seconds.
    pub patience_s: f64,
    /// Where maintenance begins before its tasks would have ended.
    pub closed_pools: Vec<ZoneModel>,
}

impl TaskDemand {
    fn allows(&self, pool: &Pool) -> bool {
        self.types
            .as_ref()
            .is_none_or(|types| types.contains(&pool.model))
            && self.zone.as_ref().is_none_or(|zone| *zone == pool.zone)
            && (self.spot || !pool.spot)
            && !self
                .closed_pools
                .iter()
                .any(|closed| closed.zone == pool.zone && closed.model == pool.model)
    }

    /// The price of one task on a full machine, if a task fits.
    fn task_price(&self, machine_type: &MachineType, spot: bool) -> Option<f64> {
        match self.resources.count_in(machine_type.capacity()) {
            0 => None,
            tasks => Some(machine_type.price(spot) / f64::from(tasks)),
        }
    }

    /// The least price of one task on any machine type that it may use.
    fn least_task_price(&self, types: &BTreeMap<String, MachineType>) -> f64 {
        types
            .values()
            .filter(|t| self.types.as_ref().is_none_or(|l| l.contains(&t.name)))
            .filter_map(|t| self.task_price(t, self.spot))
            .fold(f64::INFINITY, f64::min)
    }

    /// The work of so many tasks, in CPU seconds.
    fn work_cpu_s(&self, tasks: u32) -> f64 {
        f64::from(tasks) * self.resources.cpus * self.estimate_s
    }
}

/// A machine that serves or is about to.
#[derive(Clone, Debug)]
pub struct MachineSupply {
    /// Its pool.
    pub pool: Pool,
    /// What it has free.
    pub free: Resources,
}

/// A pool whose machines a demand may use.
struct PoolOption<'a> {
    pool: &'a Pool,
    machine_type: &'a MachineType,
    tasks_per_machine: u32,
}

/// A plan while it is worked out.
struct Planner<'a> {
    types: &'a BTreeMap<String, MachineType>,
    capacity_index: CapacityIndex<Pool, ()>,
    orders: BTreeMap<Pool, u32>,
    /// What fits on no machine at once and waits, in CPU seconds.
    backlog_cpu_s: f64,
}

/// Plans how many machines to request of which pools, other than those in `excluded`, so that the demand
/// fits.
#[must_use]
pub fn plan(
    demand: &[TaskDemand],
    mut supply: Vec<MachineSupply>,
    types: &BTreeMap<String, MachineType>,
    excluded: &BTreeSet<Pool>,
) -> BTreeMap<Pool, u32> {
    let pools = available_pools(types, excluded);
    // Those that may use fewer machines choose first.
    let mut by_choice: Vec<&TaskDemand> = demand.iter().collect();
    by_choice.sort_by_key(|d| (d.spot, d.types.is_none(), d.zone.is_none()));
    // Jobs that may use spot instances leave the ordinary machines to those that may not.
    supply.sort_by_key(|machine| !machine.pool.spot);
    let mut planner = Planner {
        types,
        capacity_index: CapacityIndex::default(),
        orders: BTreeMap::new(),
        backlog_cpu_s: 0.0,
    };
    for MachineSupply { pool, free } in supply {
        let index = &mut planner.capacity_index;
        index.push(|other| *other == pool, || pool.clone(), free, ());
    }
    for demand in by_choice {
        planner.meet(demand, &pools);
    }
    planner.orders
}

/// All pools that machines may be requested of.
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

impl Planner<'_> {
    /// Places the tasks of one demand on the machines that there are, and plans machines for the rest.
    fn meet(&mut self, demand: &TaskDemand, pools: &[Pool]) {
        let allowed = self.capacity_index.allowed(|pool| demand.allows(pool));
        let mut left = self.place_on_supply(demand, &allowed);
        let cpus = |pool: &Pool| self.types.get(&pool.model).map_or(0.0, |t| t.cpus);
        let sizes = self.capacity_index.class_sizes(&allowed);
        let mut usable_cpus: f64 = sizes.map(|(pool, n)| n as f64 * cpus(pool)).sum();
        let least_price = demand.least_task_price(self.types);
        let options = self.options(demand, left, pools);
        while left > 0 {
            let Some(option) = self.cheapest_option(&options, left) else {
                break;
            };
            let PoolOption {
                pool, machine_type, ..
            } = option;
            let price = demand.task_price(machine_type, pool.spot);
            let is_expensive = price.is_none_or(|p| p > EXPENSIVE_FACTOR * least_price);
            if is_expensive {
                // Expensive machines are requested only for what would wait too long for the others.
                let work = self.backlog_cpu_s + demand.over_quota_cpu_s + demand.work_cpu_s(left);
                if demand.patience_s > 0.0 && work <= usable_cpus * demand.patience_s {
                    break;
                }
            }
            let tasks = option.tasks_per_machine.min(left);
            let mut free = machine_type.capacity();
            free.sub(demand.resources.times(f64::from(tasks)));
            usable_cpus += machine_type.cpus;
            self.capacity_index
                .push(|other| other == *pool, || (*pool).clone(), free, ());
            left -= tasks;
            *self.orders.entry((*pool).clone()).or_default() += 1;
        }
        self.backlog_cpu_s += demand.over_quota_cpu_s + demand.work_cpu_s(left);
    }

    /// Places tasks on the machines that there are; how many are left.
    fn place_on_supply(&mut self, demand: &TaskDemand, allowed: &AllowedClasses) -> u32 {
        let mut left = demand.tasks;
        if left > 0 {
            for at in self.capacity_index.fitting(demand.resources, allowed) {
                let free = self.capacity_index.entries()[at].free;
                let tasks = demand.resources.count_in(free).min(left);
                self.capacity_index
                    .allocate(at, demand.resources.times(f64::from(tasks)));
                left -= tasks;
            }
        }
        left
    }

    /// The pools whose machines a demand with tasks left may use.
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

    /// The option with the least price for each task, and among equals the one with the fewest orders.
    fn cheapest_option<'o, 'p>(
        &self,
        options: &'o [PoolOption<'p>],
        left: u32,
    ) -> Option<&'o PoolOption<'p>> {
        let priced = options.iter().map(|option| {
            // The last machine may stay partly empty: price what is used of it.
            let tasks = option.tasks_per_machine.min(left);
            let price = option.machine_type.price(option.pool.spot) / f64::from(tasks);
            let orders = self.orders.get(option.pool).copied().unwrap_or(0);
            (price, orders, option)
        });
        let cheapest = priced.min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        cheapest.map(|(_, _, option)| option)
    }
}
