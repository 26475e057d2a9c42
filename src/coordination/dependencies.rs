//! The dependency graph of jobs: which jobs are ready to start, which can never start, and how urgent each job is,
//! given the jobs that depend on it.
//!
//! The graph is derived from job records alone, except for the time at which a job was first seen to be ready.

use crate::storage::record_cache::{FinishedJob, VersionedRecord};
use snowshelf_model::ids::{JobId, WallClockMillis, seconds_to_ms};
use snowshelf_model::records::{JobRecord, JobSpec, JobState, Priority};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};

const MS_PER_S: f64 = 1000.0;

/// How urgent a job is. It includes the urgency of the jobs that depend on it.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Urgency {
    /// The highest priority of the job and its dependents.
    pub priority: Priority,
    /// The latest start of the job with which its own deadline and those of its dependents can be met; `None` without a
    /// deadline.
    pub latest_start: Option<WallClockMillis>,
}

impl Urgency {
    /// Combines both urgencies: the higher priority and the earlier latest start.
    #[must_use]
    pub fn max(self, other: Urgency) -> Urgency {
        let latest_start = match (self.latest_start, other.latest_start) {
            (Some(a), Some(b)) => Some(a.min(b)),
            (a, b) => a.or(b),
        };
        Urgency {
            priority: self.priority.max(other.priority),
            latest_start,
        }
    }
}

/// The input from which a graph is built.
pub struct GraphSource<'a, 's> {
    /// The records of all open jobs, and possibly of some finished ones.
    pub jobs: &'a BTreeMap<JobId, VersionedRecord<JobRecord>>,
    /// Returns a job's dependencies; `None` if they are not all known.
    pub dependencies_of: &'s dyn Fn(&JobId, &'a JobRecord) -> Option<Vec<&'a JobId>>,
    /// Returns how a job ended; `None` if it is open or unknown.
    pub finished_job: &'s dyn Fn(&JobId) -> Option<FinishedJob>,
    /// Returns a job's expected duration in milliseconds.
    pub duration_ms: &'s dyn Fn(&JobSpec) -> u64,
}

impl<'a> GraphSource<'a, '_> {
    fn open(&self, id: &JobId) -> Option<&'a JobRecord> {
        let record = self.jobs.get(id).map(|v| &*v.value);
        record.filter(|record| record.state == JobState::Open)
    }

    /// A job's urgency without its dependents; `None` if its record has no specification.
    fn own_urgency(&self, record: &JobRecord) -> Option<Urgency> {
        let spec = record.spec.as_ref()?;
        let latest_start = spec.deadline_s.map(|deadline_s| {
            let end = record.submitted.0.saturating_add(seconds_to_ms(deadline_s));
            WallClockMillis(end.saturating_sub((self.duration_ms)(spec)))
        });
        Some(Urgency {
            priority: spec.priority,
            latest_start,
        })
    }
}

/// The dependency graph of jobs.
#[derive(Default)]
pub struct DependencyGraph {
    /// Open jobs whose dependencies are all done, and since when.
    ready: HashMap<JobId, WallClockMillis>,
    /// Open jobs that depend on a cancelled job, directly or transitively.
    pub unsatisfiable: BTreeSet<JobId>,
    /// Dependencies that have no record in the cache.
    pub unknown: BTreeSet<JobId>,
    urgency: HashMap<JobId, Urgency>,
}

impl DependencyGraph {
    /// Whether every dependency of a job is done. A job with dependencies that is not in the graph yet is not ready.
    #[must_use]
    pub fn is_ready(&self, id: &JobId, record: &JobRecord) -> bool {
        !record.has_dependencies() || self.ready.contains_key(id)
    }

    /// The time since when a job could have started: its submission or the end of its last dependency, whichever is
    /// later.
    #[must_use]
    pub fn ready_since(&self, id: &JobId, record: &JobRecord) -> WallClockMillis {
        let ready = self.ready.get(id).copied();
        ready.map_or(record.submitted, |at| at.max(record.submitted))
    }

    /// How long a job waited for its dependencies after its submission, in seconds.
    #[must_use]
    pub fn blocked_s(&self, id: &JobId, record: &JobRecord) -> f64 {
        (self.ready_since(id, record).0 - record.submitted.0) as f64 / MS_PER_S
    }

    /// A job's urgency, including that of its dependents; without a deadline if the job is not in the graph.
    #[must_use]
    pub fn urgency(&self, id: &JobId, spec: &JobSpec) -> Urgency {
        self.urgency.get(id).copied().unwrap_or(Urgency {
            priority: spec.priority,
            latest_start: None,
        })
    }

    /// Builds the graph. Where records do not say when a job became ready, the time in `previous` is kept; a job that
    /// was not ready there counts as ready from `now` on.
    #[must_use]
    pub fn build(
        source: &GraphSource<'_, '_>,
        now: WallClockMillis,
        previous: &DependencyGraph,
    ) -> DependencyGraph {
        let mut builder = GraphBuilder {
            source,
            dependencies: HashMap::new(),
            dependents: HashMap::new(),
            cancelled: Vec::new(),
            graph: DependencyGraph::default(),
        };
        builder.link_all(now, previous);
        let unsatisfiable = builder.find_unsatisfiable();
        builder.propagate_urgency(&unsatisfiable);
        builder.graph
    }
}

struct GraphBuilder<'a, 's> {
    source: &'s GraphSource<'a, 's>,
    /// The dependencies of each open job that has any; an empty list while they are not all known.
    dependencies: HashMap<&'a JobId, Vec<&'a JobId>>,
    dependents: HashMap<&'a JobId, Vec<&'a JobId>>,
    /// Cancelled jobs that open jobs depend on.
    cancelled: Vec<&'a JobId>,
    graph: DependencyGraph,
}

impl<'a> GraphBuilder<'a, '_> {
    /// Links the open jobs with their dependencies. Records which of these jobs are ready, and which
    /// dependencies are cancelled or unknown.
    fn link_all(&mut self, now: WallClockMillis, previous: &DependencyGraph) {
        for (id, versioned) in self.source.jobs {
            let record = &*versioned.value;
            if record.state != JobState::Open || !record.has_dependencies() {
                continue;
            }
            let known = (self.source.dependencies_of)(id, record);
            let all_known = known.is_some();
            let dependencies = known.unwrap_or_default();
            let mut all_done = all_known;
            let mut ready_since = Some(record.submitted);
            for dependency in dependencies.iter().copied() {
                self.dependents.entry(dependency).or_default().push(id);
                match self.ended_dependency(dependency) {
                    Some(done) => {
                        ready_since = ready_since.and_then(|since| Some(since.max(done.ended?)));
                    }
                    None => all_done = false,
                }
            }
            self.dependencies.insert(id, dependencies);
            if all_done {
                let seen_since = previous.ready.get(id).copied();
                let since = ready_since.or(seen_since).unwrap_or(now);
                self.graph.ready.insert(id.clone(), since);
            }
        }
    }

    /// Returns the end of a dependency if it is done, otherwise `None`. Records dependencies that are
    /// cancelled or unknown.
    fn ended_dependency(&mut self, dependency: &'a JobId) -> Option<FinishedJob> {
        match (self.source.finished_job)(dependency) {
            Some(end) if end.state == JobState::Done => return Some(end),
            Some(_) => self.cancelled.push(dependency),
            None => {
                if self.source.open(dependency).is_none() {
                    self.graph.unknown.insert(dependency.clone());
                }
            }
        }
        None
    }

    /// Finds the jobs that depend on a cancelled job, by breadth-first search.
    fn find_unsatisfiable(&mut self) -> HashSet<&'a JobId> {
        let mut unsatisfiable: HashSet<&JobId> = HashSet::new();
        let mut queue: VecDeque<&JobId> = std::mem::take(&mut self.cancelled).into();
        while let Some(id) = queue.pop_front() {
            for dependent in self.dependents.get(id).into_iter().flatten().copied() {
                if unsatisfiable.insert(dependent) {
                    queue.push_back(dependent);
                }
            }
        }
        self.graph.unsatisfiable = unsatisfiable.iter().map(|id| (*id).clone()).collect();
        unsatisfiable
    }

    /// Propagates each job's urgency to its dependencies, in topological order from the jobs without dependents. Jobs
    /// in a cycle, which only corrupt records can have, are never visited.
    fn propagate_urgency(&mut self, unsatisfiable: &HashSet<&'a JobId>) {
        let mut unvisited = self.count_dependents(unsatisfiable);
        let mut queue = self.jobs_without_dependents(&unvisited);
        while let Some(id) = queue.pop_front() {
            let satisfiable = self.source.open(id).filter(|_| !unsatisfiable.contains(id));
            let Some(own) = satisfiable.and_then(|record| self.source.own_urgency(record)) else {
                continue;
            };
            let urgency = match self.graph.urgency.get(id) {
                Some(passed) => own.max(*passed),
                None => own,
            };
            self.graph.urgency.insert(id.clone(), urgency);
            for dependency in self.dependencies.get(id).into_iter().flatten().copied() {
                let record = self.source.open(dependency);
                let Some(spec) = record.and_then(|record| record.spec.as_ref()) else {
                    continue;
                };
                let duration_ms = (self.source.duration_ms)(spec);
                let passed = Urgency {
                    priority: urgency.priority,
                    latest_start: urgency
                        .latest_start
                        .map(|at| WallClockMillis(at.0.saturating_sub(duration_ms))),
                };
                let entry = self
                    .graph
                    .urgency
                    .entry(dependency.clone())
                    .or_insert(passed);
                *entry = entry.max(passed);
                if let Some(remaining) = unvisited.get_mut(dependency) {
                    *remaining = remaining.saturating_sub(1);
                    if *remaining == 0 {
                        queue.push_back(dependency);
                    }
                }
            }
        }
    }

    /// The number of satisfiable dependents of each open job that others depend on.
    fn count_dependents(&self, unsatisfiable: &HashSet<&'a JobId>) -> HashMap<&'a JobId, usize> {
        let open = self
            .dependents
            .iter()
            .filter(|(dependency, _)| self.source.open(dependency).is_some());
        open.map(|(dependency, dependents)| {
            let satisfiable = dependents.iter().filter(|id| !unsatisfiable.contains(*id));
            (*dependency, satisfiable.count())
        })
        .collect()
    }

    /// The jobs from which urgency is propagated: those without satisfiable dependents.
    fn jobs_without_dependents(
        &self,
        dependent_counts: &HashMap<&'a JobId, usize>,
    ) -> VecDeque<&'a JobId> {
        let is_last = |id: &JobId| dependent_counts.get(id).copied().unwrap_or(0) == 0;
        let dependents = self.dependents.values().flatten().copied();
        let last: BTreeSet<&JobId> = dependents.filter(|id| is_last(id)).collect();
        let has_no_dependencies = |id: &JobId| {
            let record = self.source.open(id);
            record.is_some_and(|record| !record.has_dependencies())
        };
        let unsatisfiable_dependents_only = dependent_counts
            .iter()
            .filter(|(id, count)| **count == 0 && has_no_dependencies(id))
            .map(|(id, _)| *id);
        last.into_iter()
            .chain(unsatisfiable_dependents_only)
            .collect()
    }
}
