//! Keeps the dependency graph current with the record cache, and looks up unknown dependencies.

use super::Controller;
use crate::coordination::context::KvRequest;
use crate::coordination::dependencies::{DependencyGraph, GraphSource};
use crate::coordination::placement::{estimated_run_s, slowest_fetch_gb_per_s};
use crate::storage::kv_client::RequestPriority;
use snowshelf_model::ids::{MonotonicMillis, WallClockMillis, seconds_to_ms};
use snowshelf_model::records::{JobSpec, job_key};

/// Shortest time between two builds of the graph.
const BUILD_INTERVAL_MS: u64 = 50;
/// Largest number of unknown dependencies looked up in one round.
const MAX_LOOKUPS: usize = 4;
/// Shortest time between two rounds of lookups.
const LOOKUP_INTERVAL_MS: u64 = 500;
const LOOKUP_TIMEOUT_MS: u64 = 1_500;

/// The dependency graph and the state of the record cache that it reflects.
#[derive(Default)]
pub(super) struct DependencyTracker {
    graph: DependencyGraph,
    /// The record cache's job change counter at the time of the build.
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
    /// Rebuilds the graph if a job has changed, and looks up unknown dependencies.
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
        let fetch_gb_per_s = slowest_fetch_gb_per_s(env.machine_types.by_name().values());
        let default_run_s = env.config.ops.default_run_s;
        let source = GraphSource {
            jobs: &records.jobs,
            dependencies_of: &|id, record| records.dependencies_of(id, record),
            finished_job: &|id| records.finished_job(id),
            duration_ms: &|spec: &JobSpec| {
                seconds_to_ms(estimated_run_s(spec, default_run_s) + spec.pull_gb / fetch_gb_per_s)
            },
        };
        let wall_time = WallClockMillis(env.effects.wall_ms);
        let graph = DependencyGraph::build(&source, wall_time, &env.dependencies.graph);
        env.dependencies.graph = graph;
        env.dependencies.job_changes = env.records.job_changes;
        env.dependencies.built_at = env.effects.now;
    }

    /// Looks up dependencies that have been dropped from the record cache or have not been received yet.
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
