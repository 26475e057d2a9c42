//! Keeps the graph of dependencies up to date with the record cache, and looks unknown dependencies up.

use super::Controller;
use crate::coordination::context::KvRequest;
use crate::coordination::dependencies::{DependencyGraph, GraphSource};
use crate::coordination::placement::{estimate, slowest_fetch};
use crate::storage::kv_client::RequestPriority;
use snowshelf_model::ids::{MonotonicMillis, WallClockMillis, seconds_to_ms};
use snowshelf_model::records::{JobSpec, job_key};

/// The least time between two builds of the graph.
const BUILD_INTERVAL_MS: u64 = 50;
/// Most unknown dependencies that are looked up at once.
const MAX_LOOKUPS: usize = 4;
/// The least time between two rounds of lookups.
const LOOKUP_INTERVAL_MS: u64 = 500;
const LOOKUP_TIMEOUT_MS: u64 = 1_500;

/// The graph of dependencies, and as of when.
#[derive(Default)]
pub(super) struct DependencyTracker {
    graph: DependencyGraph,
    /// The record cache's count of job changes that the graph reflects.
    job_changes: u64,
    built_at: MonotonicMillis,
    last_lookup_at: MonotonicMillis,
}

impl DependencyTracker {
    pub(super) fn graph(&self) -> &DependencyGraph {
        &self.graph
    }
}

impl Controller {
    /// Builds the graph anew if a job has changed, and looks unknown dependencies up.
    pub(super) fn tick_dependencies(&mut self) {
        let tracker = &self.env.dependencies;
        let is_stale = tracker.job_changes != self.env.records.job_changes;
        if is_stale && self.env.now().since(tracker.built_at) >= BUILD_INTERVAL_MS {
            self.build_dependency_graph();
        }
        self.look_up_unknown_dependencies();
    }

    fn build_dependency_graph(&mut self) {
        let env = &mut self.env;
        let records = &env.records;
        let slowest_fetch = slowest_fetch(env.machine_types.by_name().values());
        let default_run_s = env.config.ops.default_run_s;
        let source = GraphSource {
            jobs: &records.jobs,
            dependencies_of: &|id, record| records.dependencies_of(id, record),
            finished_job: &|id| records.finished_job(id),
            duration_ms: &|spec: &JobSpec| {
                seconds_to_ms(estimate(spec, default_run_s) + spec.pull_gb / slowest_fetch)
            },
        };
        let wall_time = WallClockMillis(env.effects.wall_ms);
        let graph = DependencyGraph::build(&source, wall_time, &env.dependencies.graph);
        env.dependencies.graph = graph;
        env.dependencies.job_changes = env.records.job_changes;
        env.dependencies.built_at = env.effects.now;
    }

    /// Looks dependencies up that have been dropped from the record cache, or have not come yet.
    fn look_up_unknown_dependencies(&mut self) {
        let env = &mut self.env;
        let now = env.effects.now;
        let tracker = &mut env.dependencies;
        if !env.records.loaded
            || tracker.graph.unknown.is_empty()
            || now.since(tracker.last_lookup_at) < LOOKUP_INTERVAL_MS
        {
            return;
        }
        tracker.last_lookup_at = now;
        for job in tracker.graph.unknown.iter().take(MAX_LOOKUPS) {
            if env.kv.has_budget(now, RequestPriority::TaskEnds, 0) {
                let request = KvRequest::JobLookup(job.clone());
                let key = job_key(job);
                env.kv
                    .get(&mut env.effects, request, &key, LOOKUP_TIMEOUT_MS);
            }
        }
    }
}
