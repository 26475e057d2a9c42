//! The graph of jobs that depend on other jobs: which are ready to start, which can never start, and how urgent each is
//! by itself and through the jobs that depend on it.
//!
//! The graph follows from the records of jobs alone, but for when a ready job was first seen to be ready.

use crate::storage::record_cache::{FinishedJob, VersionedRecord};
use snowshelf_model::ids::{JobId, WallClockMillis, seconds_to_ms};
use snowshelf_model::records::{JobRecord, JobSpec, JobState, Priority};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};

const MS_PER_S: f64 = 1000.0;

/// How urgent a job is, by itself and through the jobs that depend on it.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Urgency {
    /// The highest priority among them.
    pub priority: Priority,
    /// When the job must start so that every deadline among them can be met; `None`: no deadline.
    pub latest_start: Option<WallClockMillis>,
}

impl Urgency {
    /// The more urgent of both, in each respect.
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

/// What the graph is built from.
pub struct GraphSource<'a, 's> {
    /// The records of jobs that have not ended, and maybe of some that have.
    pub jobs: &'a BTreeMap<JobId, VersionedRecord<JobRecord>>,
    /// The dependencies of a job; `None` if they are not all known.
    pub dependencies_of: &'s dyn Fn(&JobId, &'a JobRecord) -> Option<Vec<&'a JobId>>,
    /// How a job has ended; `None` if it has not, or is not known.
    pub finished_job: &'s dyn Fn(&JobId) -> Option<FinishedJob>,
    /// How long a job is expected to take, in milliseconds.
    pub duration_ms: &'s dyn Fn(&JobSpec) -> u64,
}

impl<'a> GraphSource<'a, '_> {
    fn open(&self, id: &JobId) -> Option<&'a JobRecord> {
        let record = self.jobs.get(id).map(|v| &*v.value);
        record.filter(|record| record.state == JobState::Open)
    }

    /// A job's urgency by itself; `None` without a specification.
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

/// The graph of jobs that depend on other jobs.
#[derive(Default)]
pub struct DependencyGraph {
    /// Open jobs all of whose dependencies are done, and since when.
    ready: HashMap<JobId, WallClockMillis>,
    /// Open jobs that depend on a cancelled one, directly or through others.
    pub unsatisfiable: BTreeSet<JobId>,
    /// Dependencies without a record in the cache.
    pub unknown: BTreeSet<JobId>,
    urgency: HashMap<JobId, Urgency>,
}

impl DependencyGraph {
    /// Whether every dependency of a job is done. A job that the graph has not seen yet is not ready.
    #[must_use]
    pub fn is_ready(&self, id: &JobId, record: &JobRecord) -> bool {
        !record.has_dependencies() || self.ready.contains_key(id)
    }

    /// Since when a job could have started: its submission, or the end of its last dependency.
    #[must_use]
    pub fn ready_since(&self, id: &JobId, record: &JobRecord) -> WallClockMillis {
        let ready = self.ready.get(id).copied();
        ready.map_or(record.submitted, |at| at.max(record.submitted))
    }

    /// How long a job has waited for its dependencies after its submission, in seconds.
    #[must_use]
    pub fn blocked_s(&self, id: &JobId, record: &JobRecord) -> f64 {
        (self.ready_since(id, record).0 - record.submitted.0) as f64 / MS_PER_S
    }

    /// How urgent a job is, by itself and through the jobs that depend on it.
    #[must_use]
    pub fn urgency(&self, id: &JobId, spec: &JobSpec) -> Urgency {
        self.urgency.get(id).copied().unwrap_or(Urgency {
            priority: spec.priority,
            latest_start: None,
        })
    }

    /// Builds the graph. `previous` says since when jobs have been ready where the records do not.
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
    /// The known dependencies of each open job that has any.
    dependencies: HashMap<&'a JobId, Vec<&'a JobId>>,
    dependents: HashMap<&'a JobId, Vec<&'a JobId>>,
    /// Cancelled jobs that others depend on.
    cancelled: Vec<&'a JobId>,
    graph: DependencyGraph,
}

impl<'a> GraphBuilder<'a, '_> {
    /// Links the open jobs with their dependencies, and notes which of them are ready.
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

    /// The end of a dependency that is done; notes one that is cancelled or unknown.
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

    /// Finds the jobs that depend on a cancelled one, each visited once.
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

    /// Passes each job's urgency on to its dependencies, from the jobs that nobody depends on. Jobs of a cycle, which
    /// only corrupt records have, are never reached.
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
                if let Some(left) = unvisited.get_mut(dependency) {
                    *left = left.saturating_sub(1);
                    if *left == 0 {
                        queue.push_back(dependency);
                    }
                }
            }
        }
    }

    /// How many satisfiable jobs depend on each open job that is a dependency.
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
