//! Computes the demand for machines from jobs, within their teams' quotas, and from reservations.

use super::planning::{TaskDemand, ZoneModel};
use crate::coordination::context::Context;
use crate::coordination::placement::{estimated_run_s, wait_limit_s};
use crate::coordination::shard::reservations::{expected_stay_ms, provisioning_lead_ms};
use snowshelf_calendar::constraints::PoolReservation;
use snowshelf_model::ids::{JobId, Team, WallClockMillis, seconds_to_ms};
use snowshelf_model::records::{JobRecord, JobSpec, JobState, Resources};
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

/// Returns the demand of all ready jobs, and of reservations as far as it exceeds the demand of their teams'
/// jobs.
pub(super) fn task_demand(context: &Context<'_>) -> Vec<TaskDemand> {
    let mut demand = Vec::new();
    let mut job_demand = Vec::new();
    let mut quotas = team_quotas(context);
    for (id, record) in &context.records.jobs {
        let (Some(spec), JobState::Open) = (&record.value.spec, record.value.state) else {
            continue;
        };
        if !context.dependency_graph.is_ready(id, &record.value) {
            continue;
        }
        let blocked_s = context.dependency_graph.blocked_s(id, &record.value);
        let tasks = unfinished_tasks(id, &record.value, context);
        // No machines are requested for tasks over the team's quota, because they cannot start.
        let mut within_quota = tasks;
        if let Some(remaining) = quotas.get_mut(spec.team.as_str()) {
            within_quota = tasks.min(spec.resources.count_in(*remaining));
            remaining.sub(spec.resources.times(f64::from(within_quota)));
        }
        if tasks > 0 {
            job_demand.push(JobDemand {
                team: spec.team.clone(),
                zone: spec.zone.clone(),
                types: spec.types.clone(),
                cpus: f64::from(tasks) * spec.resources.cpus,
            });
            let split = QuotaSplit {
                within_quota,
                over_quota: tasks - within_quota,
            };
            demand.push(demand_of(spec, &split, blocked_s, context));
        }
    }
    demand.extend(reserved_demand(job_demand, context));
    demand
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

/// Counts a job's tasks that are waiting or started.
fn unfinished_tasks(id: &JobId, record: &JobRecord, context: &Context<'_>) -> u32 {
    let mut tasks = 0;
    for shard_id in &record.shards {
        let allocation = context.records.allocations.get(&(*shard_id, id.clone()));
        if let Some(allocation) = allocation {
            tasks += allocation.value.waiting.len() + allocation.value.started_count();
        }
    }
    tasks
}

/// A job's unfinished tasks, split by whether they fit into its team's quota.
struct QuotaSplit {
    within_quota: u32,
    over_quota: u32,
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
    let tasks = f64::from(split.within_quota) * settings.capacity_factor;
    TaskDemand {
        resources: spec.resources,
        tasks: tasks.ceil() as u32,
        over_quota_cpu_s: f64::from(split.over_quota) * spec.resources.cpus * estimate_s,
        types: spec.types.clone(),
        zone: spec.zone.clone(),
        spot: spec.spot,
        estimate_s,
        patience_s: settings.dear_patience * wait_limit_s(spec, objectives, blocked_s),
        closed_pools: closed_pools(expected_stay_ms(spec, context), context),
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
                resources: machine_resources,
                tasks: machines.min(f64::from(u32::MAX)) as u32,
                types: Some(vec![hold.pool.model.to_string()]),
                zone: Some(hold.pool.zone.to_string()),
                spot: hold.spot,
                estimate_s: 0.0,
                over_quota_cpu_s: 0.0,
                // Reserved machines are requested at any price.
                patience_s: 0.0,
                closed_pools: Vec::new(),
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
