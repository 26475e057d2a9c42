//! The inputs and the result of a scale-out plan.

use crate::coordination::zone_rule::ZoneRule;
use snowshelf_model::ids::ShardId;
use snowshelf_model::protocol::cloud::MachineType;
use snowshelf_model::records::Resources;
use std::collections::BTreeMap;

/// Machines of one type, zone and purchase option; one scale-out request covers one pool.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub struct Pool {
    /// The label of the machine type.
    pub model: String,
    /// The zone in which the machines run.
    pub zone: String,
    /// Whether the machines are spot instances.
    pub spot: bool,
}

/// A machine type in a zone.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct ZoneModel {
    /// The name of the zone.
    pub zone: String,
    /// The label of the machine type.
    pub model: String,
}

/// Demand of a group of identical tasks that are not on machines of the supply.
#[derive(Clone, Debug)]
pub struct TaskDemand {
    /// Whether each task stands for a whole machine of a reservation, which may be any machine of the supply,
    /// whatever runs on it now.
    pub is_reservation: bool,
    /// Resources that each task needs.
    pub resources: Resources,
    /// Number of tasks to place on machines.
    pub tasks: u32,
    /// Labels of the machine types that the tasks may use; `None` allows all.
    pub types: Option<Vec<String>>,
    /// The zone that the tasks must run in; `None` allows all.
    pub zone: Option<String>,
    /// Whether the tasks may run on spot instances.
    pub spot: bool,
    /// Expected run time of a task, in seconds.
    pub estimate_s: f64,
    /// Work of tasks over the team's quota, in CPU seconds. No machines are requested for them, but they
    /// will use existing machines.
    pub over_quota_cpu_s: f64,
    /// How long the tasks may wait without missing a service-level objective, in seconds.
    pub patience_s: f64,
    /// For how long the tasks have exceeded the machines in service and starting, in seconds.
    pub unmet_s: f64,
    /// Pools in which a maintenance window begins before the tasks would end.
    pub closed_pools: Vec<ZoneModel>,
    /// The zone constraints of the job, and where its tasks are that stay.
    pub zones: ZoneRule<String>,
    /// The only shard whose machines the tasks may use; `None` if they may use all.
    pub shard: Option<ShardId>,
}

impl TaskDemand {
    pub(super) fn allows(&self, pool: &Pool) -> bool {
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

    /// Whether the tasks may use machines of a shard; `None` stands for a shard that is not known yet.
    pub(super) fn may_use_shard(&self, shard: Option<ShardId>) -> bool {
        self.shard.is_none() || shard.is_none() || self.shard == shard
    }

    /// Returns the price of one task on a fully used machine; `None` if no task fits.
    pub(super) fn task_price(&self, machine_type: &MachineType, spot: bool) -> Option<f64> {
        match self.resources.count_in(machine_type.capacity()) {
            0 => None,
            tasks => Some(machine_type.price(spot) / f64::from(tasks)),
        }
    }

    /// Returns the lowest price of one task on any machine type that the tasks may use.
    pub(super) fn min_task_price(&self, types: &BTreeMap<String, MachineType>) -> f64 {
        types
            .values()
            .filter(|t| self.types.as_ref().is_none_or(|l| l.contains(&t.name)))
            .filter_map(|t| self.task_price(t, self.spot))
            .fold(f64::INFINITY, f64::min)
    }

    /// Returns the total work of `tasks` tasks, in CPU seconds.
    pub(super) fn work_cpu_s(&self, tasks: u32) -> f64 {
        f64::from(tasks) * self.resources.cpus * self.estimate_s
    }
}

/// A machine that is in service, starting or requested.
#[derive(Clone, Debug)]
pub struct MachineSupply {
    /// The pool of the machine.
    pub pool: Pool,
    /// The shard of the machine; `None` while it is requested and may turn out to be in any.
    pub shard: Option<ShardId>,
    /// Resources of the machine that no started task holds.
    pub free: Resources,
    /// CPUs that are not expected to become free: those of services, and of tasks that have overrun their estimate.
    pub lasting_cpus: f64,
}

/// The machines to request.
#[derive(Default, PartialEq, Debug)]
pub struct Plan {
    /// Number of machines to request, by pool.
    pub requests: BTreeMap<Pool, u32>,
    /// Indexes of the demands of which some task fits on no machine in service or starting.
    pub unmet: Vec<usize>,
}
