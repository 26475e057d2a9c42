//! The order in which a part's waiting jobs are served.

use super::Shard;
use crate::coordination::context::Context;
use crate::coordination::placement;
use snowshelf_fair_share::shortage::Shortage;
use snowshelf_model::ids::{JobId, MonotonicMillis, WallClockMillis, seconds_to_ms};
use snowshelf_model::records::{JobSpec, JobState, Priority, Resources};
use std::cmp::Reverse;
use std::collections::{HashMap, HashSet};

/// A waiting job's place in the order in which they are served.
pub(super) struct QueuedJob {
    /// Outside of its team's guarantee; priority; aims missed: the least goes first.
    pub rank: (bool, Reverse<Priority>, usize),
    /// When its tasks should start at the latest.
    pub due: WallClockMillis,
    /// Since when it waits, for room and nothing else.
    pub since: WallClockMillis,
    pub job: JobId,
    /// Whether it can wait for machines that have its image.
    pub patient: bool,
    /// Whether every second counts: it is within its team's guarantee, or others wait for it.
    pub urgent: bool,
}

/// A waiting job, before its place among the others is known.
struct Waiting<'a> {
    id: &'a JobId,
    spec: &'a JobSpec,
    since: WallClockMillis,
    age_s: f64,
    missed: usize,
    patience_s: f64,
    /// CPU seconds of all its tasks.
    work: f64,
}

impl Shard {
    /// The waiting jobs in the order in which they are served.
    pub(super) fn queue_order(&self, now: MonotonicMillis, context: &Context) -> Vec<QueuedJob> {
        let objectives = &context.config.settings.deployment.objectives;
        let within = jobs_within_quota(context);
        let mut shortage = Shortage::default();
        let waiting: Vec<Waiting> = self
            .jobs
            .iter()
            .filter(|(_, j)| {
                j.is_waiting() && j.placement_backoff_until <= now && !j.read_in_flight
            })
            .filter_map(|(id, j)| {
                let spec = j.spec()?;
                // Aims on starting and finishing count from when the last needed job was done, the
                // deadline from the submission.
                let since = context.dependency_graph.since(id, &j.record);
                let age_s = context.effects.wall_ms.saturating_sub(since.0) as f64 / 1000.0;
                let waited_s = context.dependency_graph.waited_s(id, &j.record);
                let missed = placement::missed(spec, objectives, age_s, waited_s);
                let patience_s = placement::patience_s(spec, objectives, waited_s);
                let estimate_s = placement::estimate(spec, context.config.ops.default_run_s);
                let work = f64::from(spec.tasks) * spec.resources.cpus * estimate_s;
                shortage.note(&spec.class, missed > 0, work);
                Some(Waiting {
                    id,
                    spec,
                    since,
                    age_s,
                    missed,
                    patience_s,
                    work,
                })
            })
            .collect();
        let queued = |w: Waiting| {
            let urgency = context.dependency_graph.urgency(w.id, w.spec);
            let slack = shortage.slack(&w.spec.class, w.work);
            let due = WallClockMillis(w.since.0 + seconds_to_ms(slack * w.patience_s));
            QueuedJob {
                rank: (!within.contains(w.id), Reverse(urgency.priority), w.missed),
                due: urgency.latest.map_or(due, |latest| due.min(latest)),
                since: w.since,
                job: w.id.clone(),
                urgent: within.contains(w.id) || urgency.latest.is_some(),
                patient: w.missed > 0 || w.age_s < context.config.ops.image_patience * w.patience_s,
            }
        };
        let mut queue: Vec<QueuedJob> = waiting.into_iter().map(queued).collect();
        queue.sort_by(|a, b| (a.rank, a.due, &a.job).cmp(&(b.rank, b.due, &b.job)));
        queue
    }
}

/// The jobs that fit into their team's guarantee together with the team's earlier unfinished ones.
pub(super) fn jobs_within_quota(context: &Context) -> HashSet<JobId> {
    let mut open: Vec<(WallClockMillis, &JobId, &JobSpec)> = context
        .records
        .jobs
        .iter()
        .filter(|(id, r)| {
            r.value.state == JobState::Open && context.dependency_graph.is_ready(id, &r.value)
        })
        .filter_map(|(id, r)| Some((r.value.submitted, id, r.value.spec.as_ref()?)))
        .collect();
    open.sort_by(|a, b| (a.0, a.1).cmp(&(b.0, b.1)));
    let mut left: HashMap<&str, Resources> = context
        .config
        .settings
        .deployment
        .teams
        .iter()
        .map(|t| {
            let room = Resources {
                cpus: t.cpus,
                gpus: t.gpus,
                mem: f64::MAX / 4.0,
            };
            (t.name.as_str(), room)
        })
        .collect();
    let mut within = HashSet::new();
    for (_, id, spec) in open {
        if let Some(left) = left.get_mut(spec.team.as_str()) {
            let whole = spec.resources.times(f64::from(spec.tasks));
            if whole.fits_in(*left) {
                within.insert(id.clone());
            }
            left.sub(whole);
        }
    }
    within
}
