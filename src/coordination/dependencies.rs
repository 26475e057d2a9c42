//! Jobs that need other jobs: which may start, which can never, and how urgent each is through those
//! that need it. A pure function of the records; nothing is remembered that they do not show, but
//! when a job that may start was first seen to.

use crate::storage::record_cache::{FinishedJob, VersionedRecord};
use snowshelf_model::ids::{JobId, WallClockMillis, seconds_to_ms};
use snowshelf_model::records::{JobRecord, JobSpec, JobState, Priority};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};

/// What a job is to be treated as, for itself and for the jobs that need it.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Urgency {
    pub priority: Priority,
    /// When it should start so that every deadline below it can be met; `None`: no deadline.
    pub latest: Option<WallClockMillis>,
}

#[derive(Default)]
pub struct DependencyGraph {
    /// Open jobs with needs, all of which are done: since when.
    ready: HashMap<JobId, WallClockMillis>,
    /// Open jobs that need a cancelled one, directly or through others.
    pub doomed: BTreeSet<JobId>,
    /// Needed jobs of which nothing is known here.
    pub unknown: BTreeSet<JobId>,
    urgency: HashMap<JobId, Urgency>,
}

impl DependencyGraph {
    /// Whether every job that this one needs is done. A job that the graph has not seen yet is not.
    pub fn is_ready(&self, id: &JobId, record: &JobRecord) -> bool {
        !record.has_dependencies() || self.ready.contains_key(id)
    }

    /// From when on a job's waiting counts: its submission, or the end of the last job it needs.
    pub fn since(&self, id: &JobId, record: &JobRecord) -> WallClockMillis {
        let ready = self.ready.get(id).copied();
        ready.map_or(record.submitted, |at| at.max(record.submitted))
    }

    /// How long a job waited for others after its submission.
    pub fn waited_s(&self, id: &JobId, record: &JobRecord) -> f64 {
        (self.since(id, record).0 - record.submitted.0) as f64 / 1000.0
    }

    /// How urgent a job is, by itself and by what needs it.
    pub fn urgency(&self, id: &JobId, spec: &JobSpec) -> Urgency {
        self.urgency.get(id).copied().unwrap_or(Urgency {
            priority: spec.priority,
            latest: None,
        })
    }

    /// Works the picture out from the records of jobs that have not ended. `length_ms` is how long a
    /// job is expected to take, `dependencies_of` what it needs, as far as that is known.
    pub fn build<'a>(
        jobs: &'a BTreeMap<JobId, VersionedRecord<JobRecord>>,
        dependencies_of: impl Fn(&JobId, &'a JobRecord) -> Option<Vec<&'a JobId>>,
        finished_job: impl Fn(&JobId) -> Option<FinishedJob>,
        length_ms: impl Fn(&JobSpec) -> u64,
        now: WallClockMillis,
        before: &DependencyGraph,
    ) -> DependencyGraph {
        let open = |id: &JobId| {
            let found = jobs.get(id).map(|v| &*v.value);
            found.filter(|r| r.state == JobState::Open)
        };
        let mut graph = DependencyGraph::default();
        let mut dependencies: HashMap<&JobId, Vec<&JobId>> = HashMap::new();
        let mut needed_by: HashMap<&JobId, Vec<&JobId>> = HashMap::new();
        let mut cancelled: Vec<&JobId> = Vec::new();
        for (id, v) in jobs {
            let record = &*v.value;
            if record.state != JobState::Open || !record.has_dependencies() {
                continue;
            }
            let known = dependencies_of(id, record);
            let mut done = known.is_some();
            let mut since = Some(record.submitted);
            let needed = dependencies.entry(id).or_insert(known.unwrap_or_default());
            for dependency in needed.iter().copied() {
                needed_by.entry(dependency).or_default().push(id);
                match finished_job(dependency) {
                    Some(end) if end.state == JobState::Done => {
                        since = since.and_then(|s| Some(s.max(end.ended?)));
                    }
                    Some(_) => {
                        done = false;
                        cancelled.push(dependency);
                    }
                    None => {
                        done = false;
                        if open(dependency).is_none() {
                            graph.unknown.insert(dependency.clone());
                        }
                    }
                }
            }
            if done {
                let seen = before.ready.get(id).copied();
                graph
                    .ready
                    .insert(id.clone(), since.or(seen).unwrap_or(now));
            }
        }
        // What can never start: everything below a cancelled job, each visited once.
        let mut doomed: HashSet<&JobId> = HashSet::new();
        let mut queue: VecDeque<&JobId> = cancelled.into();
        while let Some(id) = queue.pop_front() {
            for below in needed_by.get(id).into_iter().flatten() {
                if doomed.insert(below) {
                    queue.push_back(below);
                }
            }
        }
        graph.doomed = doomed.iter().map(|id| (*id).clone()).collect();
        // Urgency goes up from those that nobody needs; a corrupt circle is never reached.
        let own = |record: &JobRecord| {
            let spec = record.spec.as_ref()?;
            let latest = spec.deadline_s.map(|deadline| {
                let end = record.submitted.0.saturating_add(seconds_to_ms(deadline));
                WallClockMillis(end.saturating_sub(length_ms(spec)))
            });
            Some(Urgency {
                priority: spec.priority,
                latest,
            })
        };
        let mut above: HashMap<&JobId, usize> = HashMap::new();
        for (dependency, below) in &needed_by {
            if open(dependency).is_some() {
                let waits = below.iter().filter(|b| !doomed.contains(*b)).count();
                above.insert(dependency, waits);
            }
        }
        let mut queue: VecDeque<&JobId> = needed_by
            .values()
            .flatten()
            .filter(|id| above.get(*id).copied().unwrap_or(0) == 0)
            .copied()
            .collect::<BTreeSet<_>>()
            .into_iter()
            .collect();
        queue.extend(
            above
                .iter()
                .filter(|(id, n)| **n == 0 && open(id).is_some_and(|r| !r.has_dependencies()))
                .map(|(id, _)| *id),
        );
        while let Some(id) = queue.pop_front() {
            let Some(record) = open(id).filter(|_| !doomed.contains(id)) else {
                continue;
            };
            let Some(mine) = own(record) else {
                continue;
            };
            let urgency = match graph.urgency.get(id) {
                Some(passed) => mine.and(*passed),
                None => mine,
            };
            graph.urgency.insert(id.clone(), urgency);
            for dependency in dependencies.get(id).into_iter().flatten().copied() {
                let Some(spec) = open(dependency).and_then(|r| r.spec.as_ref()) else {
                    continue;
                };
                let passed = Urgency {
                    priority: urgency.priority,
                    latest: urgency
                        .latest
                        .map(|at| WallClockMillis(at.0.saturating_sub(length_ms(spec)))),
                };
                let entry = graph.urgency.entry(dependency.clone()).or_insert(passed);
                *entry = entry.and(passed);
                if let Some(left) = above.get_mut(dependency) {
                    *left = left.saturating_sub(1);
                    if *left == 0 {
                        queue.push_back(dependency);
                    }
                }
            }
        }
        graph
    }
}

impl Urgency {
    /// The more urgent of both, in each respect.
    pub fn and(self, other: Urgency) -> Urgency {
        let latest = match (self.latest, other.latest) {
            (Some(a), Some(b)) => Some(a.min(b)),
            (a, b) => a.or(b),
        };
        Urgency {
            priority: self.priority.max(other.priority),
            latest,
        }
    }
}
