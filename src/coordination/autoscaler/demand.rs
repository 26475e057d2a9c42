//! The demand for machines: what jobs need within their teams' quotas, and what is reserved.

use super::planning::{TaskDemand, ZoneModel};
use crate::coordination::context::Context;
use crate::coordination::placement::{estimated_run_s, wait_limit_s};
use crate::coordination::shard::reservations::{expected_stay_ms, provisioning_lead_ms};
use snowshelf_calendar::guard::Hold;
use snowshelf_model::ids::{JobId, Team, WallClockMillis, seconds_to_ms};
use snowshelf_model::records::{JobRecord, JobSpec, JobState, Resources};
use std::collections::BTreeMap;

/// Memory that stands for no quota, in GB.
const UNLIMITED_MEM_GB: f64 = f64::MAX / 4.0;

/// The CPUs that an open job needs, and where.
struct JobDemand {
    team: Team,
    zone: Option<String>,
    types: Option<Vec<String>>,
    cpus: f64,
}

/// The demand of all jobs that can run, and of reservations beyond what their teams' jobs need.
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
        // A team cannot use more than its quota, so no more machines are requested for it.
        let mut within_quota = tasks;
        if let Some(left) = quotas.get_mut(spec.team.as_str()) {
            within_quota = tasks.min(spec.resources.count_in(*left));
            left.sub(spec.resources.times(f64::from(within_quota)));
        }
        if tasks > 0 {
            job_demand.push(JobDemand {
                team: spec.team.clone(),
                zone: spec.zone.clone(),
                types: spec.types.clone(),
                cpus: f64::from(tasks) * spec.resources.cpus,
            });
            let counts = TaskCounts {
                within_quota,
                over_quota: tasks - within_quota,
            };
            demand.push(demand_of(spec, &counts, blocked_s, context));
        }
    }
    demand.extend(reserved_demand(job_demand, context));
    demand
}

/// The quota of each team, by its name.
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

/// A job's tasks that wait or have started.
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

/// A job's unfinished tasks, divided by its team's quota.
struct TaskCounts {
    within_quota: u32,
    over_quota: u32,
}

fn demand_of(
    spec: &JobSpec,
    counts: &TaskCounts,
    blocked_s: f64,
    context: &Context<'_>,
) -> TaskDemand {
    let settings = &context.config.ops;
    let objectives = &context.config.settings.deployment.objectives;
    let estimate_s = estimated_run_s(spec, settings.default_run_s);
    let tasks = f64::from(counts.within_quota) * settings.capacity_factor;
    TaskDemand {
        resources: spec.resources,
        tasks: tasks.ceil() as u32,
        over_quota_cpu_s: f64::from(counts.over_quota) * spec.resources.cpus * estimate_s,
        types: spec.types.clone(),
        zone: spec.zone.clone(),
        spot: spec.spot,
        estimate_s,
        patience_s: settings.dear_patience * wait_limit_s(spec, objectives, blocked_s),
        closed_pools: closed_pools(expected_stay_ms(spec, context), context),
    }
}

/// Zones and types that close before a machine that is requested now could run for so long.
fn closed_pools(expected_stay_ms: Option<u64>, context: &Context<'_>) -> Vec<ZoneModel> {
    let now = WallClockMillis(context.effects.wall_ms);
    let pools = context.guard.closings.keys();
    pools
        .filter(|pool| {
            let ready_s = context
                .machine_types
                .get(&*pool.model)
                .map_or(0.0, |t| t.ready_s);
            let stay = expected_stay_ms.map(|ms| ms.saturating_add(seconds_to_ms(ready_s)));
            context.guard.forbids(pool, stay, now).is_some()
        })
        .map(|pool| ZoneModel {
            zone: pool.zone.to_string(),
            model: pool.model.to_string(),
        })
        .collect()
}

/// Machines for what is reserved now, or so soon that they must be requested: beyond what the team's jobs
/// need there themselves.
fn reserved_demand(mut jobs: Vec<JobDemand>, context: &Context<'_>) -> Vec<TaskDemand> {
    let now = WallClockMillis(context.effects.wall_ms);
    let ahead_ms = provisioning_lead_ms(context);
    let mut demand = Vec::new();
    for hold in &context.guard.holds {
        let opens = hold.from.0.saturating_sub(ahead_ms);
        let Some(machine_type) = context.machine_types.get(&*hold.pool.model) else {
            continue;
        };
        if now.0 < opens || now >= hold.until || context.guard.empties(&hold.pool, now, 0).is_some()
        {
            continue;
        }
        let uncovered = uncovered_by_jobs(hold, &mut jobs);
        let whole = machine_type.capacity();
        let machines = machines_for(uncovered, whole);
        if machines > 0.0 {
            demand.push(TaskDemand {
                resources: whole,
                tasks: machines.min(f64::from(u32::MAX)) as u32,
                types: Some(vec![hold.pool.model.to_string()]),
                zone: Some(hold.pool.zone.to_string()),
                spot: hold.spot,
                estimate_s: 0.0,
                over_quota_cpu_s: 0.0,
                // What is reserved is requested however expensive it is.
                patience_s: 0.0,
                closed_pools: Vec::new(),
            });
        }
    }
    demand
}

/// What of a reservation its team's jobs do not need themselves; what they need counts once.
fn uncovered_by_jobs(hold: &Hold, jobs: &mut [JobDemand]) -> Resources {
    let mut uncovered = hold.amount.room();
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

/// How many machines it takes for the resource of which most are needed.
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
