//! The order in which a shard's waiting jobs are served.

use super::Shard;
use super::placement::UNLIMITED;
use crate::coordination::context::Context;
use crate::coordination::placement;
use snowshelf_fair_share::shortage::Shortage;
use snowshelf_model::ids::{JobId, MonotonicMillis, WallClockMillis, seconds_to_ms};
use snowshelf_model::records::{JobRecord, JobSpec, JobState, Priority, Resources};
use std::cmp::Reverse;
use std::collections::{HashMap, HashSet};

/// A waiting job in the queue.
pub(super) struct QueuedJob {
    /// Outside of its team's quota; priority; objectives missed: the least goes first.
    pub rank: (bool, Reverse<Priority>, usize),
    /// When its tasks should start at the latest.
    pub due: WallClockMillis,
    /// Since when it waits for machines, and for nothing else.
    pub since: WallClockMillis,
    pub job: JobId,
    /// Whether it can wait for machines that have its image.
    pub patient: bool,
    /// Whether every second counts: it is within its team's quota, or other jobs depend on it.
    pub urgent: bool,
}

/// A waiting job, before its place among the others is known.
struct WaitingJob<'a> {
    id: &'a JobId,
    spec: &'a JobSpec,
    since: WallClockMillis,
    age_s: f64,
    missed_objectives: usize,
    patience_s: f64,
    /// CPU seconds of all its tasks.
    work: f64,
}

impl<'a> WaitingJob<'a> {
    fn new(id: &'a JobId, record: &JobRecord, spec: &'a JobSpec, context: &Context<'_>) -> Self {
        let objectives = &context.config.settings.deployment.objectives;
        // Objectives on starting and finishing count from when the last dependency was done, the deadline from the
        // submission.
        let since = context.dependency_graph.ready_since(id, record);
        let age_s = context.effects.wall_ms.saturating_sub(since.0) as f64 / 1000.0;
        let blocked_s = context.dependency_graph.blocked_s(id, record);
        let estimate_s = placement::estimated_run_s(spec, context.config.ops.default_run_s);
        WaitingJob {
            id,
            spec,
            since,
            age_s,
            missed_objectives: placement::missed_objectives(spec, objectives, age_s, blocked_s),
            patience_s: placement::wait_limit_s(spec, objectives, blocked_s),
            work: f64::from(spec.tasks) * spec.resources.cpus * estimate_s,
        }
    }

    fn queued(
        self,
        within_quota: &HashSet<JobId>,
        shortage: &Shortage<'_>,
        context: &Context<'_>,
    ) -> QueuedJob {
        let urgency = context.dependency_graph.urgency(self.id, self.spec);
        let slack = shortage.slack(&self.spec.class, self.work);
        let due = WallClockMillis(self.since.0 + seconds_to_ms(slack * self.patience_s));
        let within_quota = within_quota.contains(self.id);
        let image_patience_s = context.config.ops.image_patience * self.patience_s;
        QueuedJob {
            rank: (
                !within_quota,
                Reverse(urgency.priority),
                self.missed_objectives,
            ),
            due: urgency
                .latest_start
                .map_or(due, |latest_start| due.min(latest_start)),
            since: self.since,
            job: self.id.clone(),
            urgent: within_quota || urgency.latest_start.is_some(),
            patient: self.missed_objectives > 0 || self.age_s < image_patience_s,
        }
    }
}

impl Shard {
    /// The waiting jobs in the order in which they are served.
    pub(super) fn queue_order(
        &self,
        now: MonotonicMillis,
        context: &Context<'_>,
    ) -> Vec<QueuedJob> {
        let within_quota = jobs_within_quota(context);
        let mut shortage = Shortage::default();
        let jobs = self.jobs.iter().filter(|(_, j)| {
            j.is_waiting() && j.placement_backoff_until <= now && !j.read_in_flight
        });
        let waiting: Vec<WaitingJob<'_>> = jobs
            .filter_map(|(id, j)| Some(WaitingJob::new(id, &j.record, j.spec()?, context)))
            .collect();
        for job in &waiting {
            shortage.add_job(&job.spec.class, job.missed_objectives > 0, job.work);
        }
        let mut queue: Vec<QueuedJob> = waiting
            .into_iter()
            .map(|job| job.queued(&within_quota, &shortage, context))
            .collect();
        queue.sort_by(|a, b| (a.rank, a.due, &a.job).cmp(&(b.rank, b.due, &b.job)));
        queue
    }
}

/// The jobs that fit into their team's quota together with the team's earlier unfinished ones.
pub(super) fn jobs_within_quota(context: &Context<'_>) -> HashSet<JobId> {
    let jobs = context.records.jobs.iter();
    let open = jobs.filter(|(id, r)| {
        r.value.state == JobState::Open && context.dependency_graph.is_ready(id, &r.value)
    });
    let mut open: Vec<(WallClockMillis, &JobId, &JobSpec)> = open
        .filter_map(|(id, r)| Some((r.value.submitted, id, r.value.spec.as_ref()?)))
        .collect();
    open.sort_by(|a, b| (a.0, a.1).cmp(&(b.0, b.1)));
    let teams = context.config.settings.deployment.teams.iter();
    let mut remaining: HashMap<&str, Resources> = teams
        .map(|t| {
            let quota = Resources {
                cpus: t.cpus,
                gpus: t.gpus,
                mem: UNLIMITED,
            };
            (t.name.as_str(), quota)
        })
        .collect();
    let mut within = HashSet::new();
    for (_, id, spec) in open {
        if let Some(remaining) = remaining.get_mut(spec.team.as_str()) {
            let all_tasks = spec.resources.times(f64::from(spec.tasks));
            if all_tasks.fits_in(*remaining) {
                within.insert(id.clone());
            }
            remaining.sub(all_tasks);
        }
    }
    within
}
