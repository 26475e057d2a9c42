//! The order in which a shard's waiting jobs are placed.

use super::Shard;
use super::placement::UNLIMITED_MEMORY;
use crate::coordination::context::Context;
use crate::coordination::placement;
use snowshelf_fair_share::shortage::Shortage;
use snowshelf_model::ids::{JobId, MonotonicMillis, WallClockMillis, seconds_to_ms};
use snowshelf_model::records::{JobRecord, JobSpec, JobState, Priority, Resources};
use std::cmp::Reverse;
use std::collections::{HashMap, HashSet};

/// A waiting job in the queue.
pub(super) struct QueuedJob {
    /// Whether it is outside its team's quota, its priority (that of a job that depends on it if
    /// higher), and the number of objectives that it has missed. The lowest rank goes first.
    pub rank: (bool, Reverse<Priority>, usize),
    /// Latest time at which its tasks should start.
    pub latest_start: WallClockMillis,
    /// Since when it has waited for machines and for nothing else.
    pub ready_since: WallClockMillis,
    pub job: JobId,
    /// Whether it can wait for machines that have its image.
    pub can_wait_for_image: bool,
    /// Whether start delays count in choosing machines: the job is within its team's quota, or it
    /// or a job that depends on it has a deadline.
    pub urgent: bool,
}

/// A waiting job before its place in the queue is computed.
struct WaitingJob<'a> {
    id: &'a JobId,
    spec: &'a JobSpec,
    ready_since: WallClockMillis,
    age_s: f64,
    missed_objectives: usize,
    patience_s: f64,
    /// CPU seconds of all its tasks.
    work_cpu_s: f64,
}

impl<'a> WaitingJob<'a> {
    fn new(id: &'a JobId, record: &JobRecord, spec: &'a JobSpec, context: &Context<'_>) -> Self {
        let objectives = &context.config.settings.deployment.objectives;
        // Objectives on waiting and finishing count from the end of the last dependency, deadlines
        // from the submission.
        let ready_since = context.dependency_graph.ready_since(id, record);
        let age_s = context.effects.wall_ms.saturating_sub(ready_since.0) as f64 / 1000.0;
        let blocked_s = context.dependency_graph.blocked_s(id, record);
        let estimate_s = placement::estimated_run_s(spec, context.config.ops.default_run_s);
        WaitingJob {
            id,
            spec,
            ready_since,
            age_s,
            missed_objectives: placement::missed_objectives(spec, objectives, age_s, blocked_s),
            patience_s: placement::wait_limit_s(spec, objectives, blocked_s),
            work_cpu_s: f64::from(spec.tasks) * spec.resources.cpus * estimate_s,
        }
    }

    fn queued(
        self,
        within_quota: &HashSet<JobId>,
        shortage: &Shortage<'_>,
        context: &Context<'_>,
    ) -> QueuedJob {
        let urgency = context.dependency_graph.urgency(self.id, self.spec);
        let slack = shortage.slack(&self.spec.class, self.work_cpu_s);
        let due = WallClockMillis(self.ready_since.0 + seconds_to_ms(slack * self.patience_s));
        let within_quota = within_quota.contains(self.id);
        let image_patience_s = context.config.ops.image_patience * self.patience_s;
        QueuedJob {
            rank: (
                !within_quota,
                Reverse(urgency.priority),
                self.missed_objectives,
            ),
            latest_start: urgency
                .latest_start
                .map_or(due, |latest_start| due.min(latest_start)),
            ready_since: self.ready_since,
            job: self.id.clone(),
            urgent: within_quota || urgency.latest_start.is_some(),
            can_wait_for_image: self.missed_objectives > 0 || self.age_s < image_patience_s,
        }
    }
}

impl Shard {
    /// Returns the waiting jobs in the order in which they are placed: by rank, then by the latest
    /// time at which their tasks should start. Jobs whose placement is backing off, or whose
    /// allocation is being read back, are left out.
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
            shortage.add_job(&job.spec.class, job.missed_objectives > 0, job.work_cpu_s);
        }
        let mut queue: Vec<QueuedJob> = waiting
            .into_iter()
            .map(|job| job.queued(&within_quota, &shortage, context))
            .collect();
        queue.sort_by(|a, b| {
            (a.rank, a.latest_start, &a.job).cmp(&(b.rank, b.latest_start, &b.job))
        });
        queue
    }
}

/// Returns the open jobs with all dependencies done that fit into their team's quota together with
/// all such jobs that the team submitted earlier.
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
                mem: UNLIMITED_MEMORY,
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
