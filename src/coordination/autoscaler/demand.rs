//! Computes the demand for machines from jobs, within their teams' quotas, and from reservations.

use super::held_cpus::HeldCpus;
use super::plan_types::{Pool, TaskDemand, ZoneModel};
use super::unmet_demand::UnmetDemand;
use crate::coordination::context::Context;
use crate::coordination::placement::{estimated_run_s, wait_limit_s};
use crate::coordination::shard::reservations::{expected_stay_ms, provisioning_lead_ms};
use crate::coordination::zone_rule::ZoneRule;
use snowshelf_calendar::constraints::PoolReservation;
use snowshelf_model::ids::{JobId, MachineId, ShardId, Team, WallClockMillis, seconds_to_ms};
use snowshelf_model::records::{JobKind, JobSpec, JobState, Resources};
use std::collections::BTreeMap;

/// Memory quota of every team, in GB: larger than any demand, because memory has no quota.
const UNLIMITED_MEM_GB: f64 = f64::MAX / 4.0;

/// The CPUs that an open job needs, and the pools that it may use.
struct JobDemand {
    team: Team,
    zone: Option<String>,
    types: Option<Vec<String>>,
    cpus: f64,
}

/// What jobs and reservations need, and what they use.
#[derive(Default)]
pub(super) struct Demand {
    /// Tasks to place on free resources or on further machines: those of `jobs`, then those of reservations.
    pub(super) tasks: Vec<TaskDemand>,
    /// The jobs of the first demands in `tasks`, in their order.
    pub(super) jobs: Vec<JobId>,
    /// What started tasks hold on machines of the supply.
    pub(super) used: BTreeMap<MachineId, UsedResources>,
}

/// What started tasks hold on a machine.
#[derive(Clone, Copy, Default)]
pub(super) struct UsedResources {
    /// Resources of all tasks.
    pub(super) total: Resources,
    /// CPUs that are not expected to become free.
    pub(super) lasting_cpus: f64,
}

/// A ready job and its unfinished tasks.
struct ReadyJob<'a> {
    id: &'a JobId,
    spec: &'a JobSpec,
    tasks: UnfinishedTasks,
    blocked_s: f64,
}

/// A job's unfinished tasks.
struct UnfinishedTasks {
    /// Tasks started on machines of the supply, where they stay.
    started: u32,
    /// Waiting tasks, and tasks started on machines that do not count as supply.
    to_place: u32,
    /// The job's zone constraints, and the zones of the tasks that stay.
    zones: ZoneRule<String>,
    /// The shard that the job cannot leave, because it has zone constraints and a started task.
    shard: Option<ShardId>,
}

impl UnfinishedTasks {
    fn total(&self) -> u32 {
        self.started + self.to_place
    }
}

/// Returns the demand of all ready jobs, and of reservations as far as it exceeds the demand of their teams'
/// jobs. `supplied` holds the machines that count as supply.
pub(super) fn demand(
    context: &Context<'_>,
    supplied: &BTreeMap<MachineId, Pool>,
    unmet: &UnmetDemand,
    held_cpus: &mut HeldCpus,
) -> Demand {
    let mut demand = Demand::default();
    let mut job_demand = Vec::new();
    let mut quotas = team_quotas(context);
    let mut counter = TaskCounter {
        context,
        supplied,
        held_cpus,
        used: BTreeMap::new(),
    };
    let jobs = counter.ready_jobs();
    demand.used = counter.used;
    for job in &jobs {
        if let Some(remaining) = quotas.get_mut(job.spec.team.as_str()) {
            remaining.sub(job.spec.resources.times(f64::from(job.tasks.started)));
        }
    }
    for ReadyJob {
        id,
        spec,
        tasks,
        blocked_s,
    } in jobs
    {
        // No machines are requested for tasks over the team's quota, because they cannot start.
        let mut within_quota = tasks.to_place;
        if let Some(remaining) = quotas.get_mut(spec.team.as_str()) {
            within_quota = within_quota.min(spec.resources.count_in(*remaining));
            remaining.sub(spec.resources.times(f64::from(within_quota)));
        }
        job_demand.push(JobDemand {
            team: spec.team.clone(),
            zone: spec.zone.clone(),
            types: spec.types.clone(),
            cpus: f64::from(tasks.total()) * spec.resources.cpus,
        });
        let split = QuotaSplit {
            started: tasks.started,
            within_quota,
            over_quota: tasks.to_place - within_quota,
        };
        let mut of_job = demand_of(spec, &split, blocked_s, context);
        of_job.zones = tasks.zones;
        of_job.shard = tasks.shard;
        // Batch work waits for tasks that end; what services run does not end.
        if spec.kind == JobKind::Service {
            of_job.unmet_s = unmet.waited_s(id, context.effects.now);
        }
        demand.tasks.push(of_job);
        demand.jobs.push(id.clone());
    }
    demand.tasks.extend(reserved_demand(job_demand, context));
    demand
}

/// Counts the unfinished tasks of jobs, and what the started ones hold on machines of the supply.
struct TaskCounter<'a, 'c> {
    context: &'a Context<'c>,
    /// The machines that count as supply.
    supplied: &'a BTreeMap<MachineId, Pool>,
    held_cpus: &'a mut HeldCpus,
    used: BTreeMap<MachineId, UsedResources>,
}

impl<'a> TaskCounter<'a, '_> {
    /// Returns the jobs with unfinished tasks that wait for no other job.
    fn ready_jobs(&mut self) -> Vec<ReadyJob<'a>> {
        let context = self.context;
        self.held_cpus.begin_round();
        let mut ready = Vec::new();
        for (id, record) in &context.records.jobs {
            let (Some(spec), JobState::Open) = (&record.value.spec, record.value.state) else {
                continue;
            };
            if !context.dependency_graph.is_ready(id, &record.value) {
                continue;
            }
            let tasks = self.unfinished_tasks(id, &record.value.shards, spec);
            if tasks.total() > 0 {
                let blocked_s = context.dependency_graph.blocked_s(id, &record.value);
                ready.push(ReadyJob {
                    id,
                    spec,
                    tasks,
                    blocked_s,
                });
            }
        }
        ready
    }

    /// Counts a job's unfinished tasks in its shards.
    fn unfinished_tasks(
        &mut self,
        id: &JobId,
        shards: &[ShardId],
        spec: &JobSpec,
    ) -> UnfinishedTasks {
        let mut tasks = UnfinishedTasks {
            started: 0,
            to_place: 0,
            zones: ZoneRule::of(spec),
            shard: None,
        };
        let expected_ms = expected_stay_ms(spec, self.context);
        for shard_id in shards {
            let allocations = &self.context.records.allocations;
            let Some(allocation) = allocations.get(&(*shard_id, id.clone())) else {
                continue;
            };
            tasks.to_place += allocation.value.waiting.len();
            for (machine, started) in &allocation.value.started {
                let count = started.len();
                if spec.is_zone_constrained() {
                    tasks.shard = Some(*shard_id);
                }
                let Some(pool) = self.supplied.get(machine) else {
                    tasks.to_place += count;
                    continue;
                };
                tasks.started += count;
                if tasks.zones.is_constrained() {
                    tasks.zones.add_tasks(Some(pool.zone.clone()), count);
                }
                let held = spec.resources.times(f64::from(count));
                let used = self.used.entry(machine.clone()).or_default();
                used.total.add(held);
                let now = self.context.effects.now;
                if self
                    .held_cpus
                    .observe((machine, id), started, expected_ms, now)
                {
                    used.lasting_cpus += held.cpus;
                }
            }
        }
        tasks
    }
}

/// Returns the quota of each team, by team name.
fn team_quotas<'a>(context: &Context<'a>) -> BTreeMap<&'a str, Resources> {
    let teams = context.config.settings.deployment.teams.iter();
    let quotas = teams.map(|team| {
        let quota = Resources {
            cpus: team.cpus_max,
            gpus: team.gpus_max,
            mem: UNLIMITED_MEM_GB,
        };
        (team.name.as_str(), quota)
    });
    quotas.collect()
}

/// A job's unfinished tasks, split by whether they have started and whether they fit into its team's quota.
struct QuotaSplit {
    started: u32,
    within_quota: u32,
    over_quota: u32,
}

impl QuotaSplit {
    /// Returns how many tasks to place so that the started and placed tasks are `factor` times those within the
    /// quota.
    fn to_place(&self, factor: f64) -> u32 {
        let scaled = f64::from(self.started + self.within_quota) * factor;
        (scaled.ceil() as u32).saturating_sub(self.started)
    }
}

fn demand_of(
    spec: &JobSpec,
    split: &QuotaSplit,
    blocked_s: f64,
    context: &Context<'_>,
) -> TaskDemand {
    let settings = &context.config.ops;
    let objectives = &context.config.settings.deployment.objectives;
    let estimate_s = estimated_run_s(spec, settings.default_run_s);
    TaskDemand {
        is_reservation: false,
        resources: spec.resources,
        tasks: split.to_place(settings.capacity_factor),
        over_quota_cpu_s: f64::from(split.over_quota) * spec.resources.cpus * estimate_s,
        types: spec.types.clone(),
        zone: spec.zone.clone(),
        spot: spec.spot,
        estimate_s,
        patience_s: settings.dear_patience * wait_limit_s(spec, objectives, blocked_s),
        closed_pools: closed_pools(expected_stay_ms(spec, context), context),
        unmet_s: 0.0,
        zones: ZoneRule::default(),
        shard: None,
    }
}

/// Returns the pools in which a machine requested now would be closed by a maintenance window before it has
/// run for the expected time.
fn closed_pools(expected_stay_ms: Option<u64>, context: &Context<'_>) -> Vec<ZoneModel> {
    let now = WallClockMillis(context.effects.wall_ms);
    let pools = context.calendar_constraints.windows.keys();
    pools
        .filter(|pool| {
            let ready_s = context
                .machine_types
                .get(&*pool.model)
                .map_or(0.0, |t| t.ready_s);
            let required_ms = expected_stay_ms.map(|ms| ms.saturating_add(seconds_to_ms(ready_s)));
            context
                .calendar_constraints
                .blocks_start(pool, required_ms, now)
                .is_some()
        })
        .map(|pool| ZoneModel {
            zone: pool.zone.to_string(),
            model: pool.model.to_string(),
        })
        .collect()
}

/// Returns the demand of reservations that are active, or that start within the provisioning lead time, as
/// far as it exceeds the demand of their teams' jobs in the same pool.
fn reserved_demand(mut jobs: Vec<JobDemand>, context: &Context<'_>) -> Vec<TaskDemand> {
    let now = WallClockMillis(context.effects.wall_ms);
    let lead_ms = provisioning_lead_ms(context);
    let mut demand = Vec::new();
    for hold in &context.calendar_constraints.reservations {
        let demand_from_ms = hold.from.0.saturating_sub(lead_ms);
        let Some(machine_type) = context.machine_types.get(&*hold.pool.model) else {
            continue;
        };
        if now.0 < demand_from_ms
            || now >= hold.until
            || context
                .calendar_constraints
                .requires_empty(&hold.pool, now, 0)
                .is_some()
        {
            continue;
        }
        let uncovered = uncovered_by_jobs(hold, &mut jobs);
        let machine_resources = machine_type.capacity();
        let machines = machines_for(uncovered, machine_resources);
        if machines > 0.0 {
            demand.push(TaskDemand {
                is_reservation: true,
                resources: machine_resources,
                tasks: machines.min(f64::from(u32::MAX)) as u32,
                types: Some(vec![hold.pool.model.to_string()]),
                zone: Some(hold.pool.zone.to_string()),
                spot: hold.spot,
                estimate_s: 0.0,
                over_quota_cpu_s: 0.0,
                // Reserved machines are requested at any price.
                patience_s: 0.0,
                unmet_s: 0.0,
                closed_pools: Vec::new(),
                zones: ZoneRule::default(),
                shard: None,
            });
        }
    }
    demand
}

/// Returns the part of a reservation that its team's jobs do not cover. CPUs counted as covering it are
/// deducted from the jobs, so that they cover no other reservation.
fn uncovered_by_jobs(hold: &PoolReservation, jobs: &mut [JobDemand]) -> Resources {
    let mut uncovered = hold.amount.to_resources();
    for job in jobs {
        let may_use_pool = job.team == hold.team
            && job.zone.as_ref().is_none_or(|z| **z == *hold.pool.zone)
            && job
                .types
                .as_ref()
                .is_none_or(|types| types.iter().any(|t| **t == *hold.pool.model));
        if may_use_pool && uncovered.cpus > 0.0 {
            let covered = job.cpus.min(uncovered.cpus);
            uncovered = uncovered.times(1.0 - covered / uncovered.cpus);
            job.cpus -= covered;
        }
    }
    uncovered
}

/// Returns how many machines are needed; the resource that needs the most machines decides.
fn machines_for(needed: Resources, machine: Resources) -> f64 {
    let amounts = [
        (needed.cpus, machine.cpus),
        (needed.gpus, machine.gpus),
        (needed.mem, machine.mem),
    ];
    amounts
        .into_iter()
        .filter(|(needed, available)| *needed > 0.0 && *available > 0.0)
        .map(|(needed, available)| (needed / available).ceil())
        .fold(0.0, f64::max)
}
