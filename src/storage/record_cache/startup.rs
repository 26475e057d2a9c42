//! The cache's support for a startup read: its progress, the keys to confirm and the jobs still to be read.

use super::record_key::RecordKey;
use super::{RecordCache, ledger_key};
use super::{drain_key, reservation_key, window_key};
use snowshelf_model::ids::{JobId, Version};
use snowshelf_model::records::{
    LEADER_KEY, allocation_key, dag_key, job_key, member_key, quota_key, run_key, shard_key,
};
use std::collections::BTreeSet;

impl RecordCache {
    /// Marks the start of a startup read.
    pub fn begin_startup_read(&mut self) {
        self.startup_read = true;
    }

    /// Marks the end of a startup read.
    pub fn end_startup_read(&mut self) {
        self.startup_read = false;
    }

    /// Marks all records but those of finished jobs as cached up to `revision`.
    pub fn mark_loaded(&mut self, revision: Version) {
        self.loaded = true;
        if self.revision < revision {
            self.revision = revision;
        }
    }

    /// The keys of cached records that may have been deleted since, in ascending order. Their number depends on
    /// the open jobs, not on those that have ended.
    #[must_use]
    pub fn live_keys(&self) -> Vec<String> {
        let mut keys: Vec<String> = Vec::new();
        keys.extend(self.jobs.keys().map(job_key));
        let allocations = self.allocations.keys();
        keys.extend(allocations.map(|(shard_id, job)| allocation_key(*shard_id, job)));
        keys.extend(
            self.shard_leaders
                .keys()
                .map(|shard_id| shard_key(*shard_id)),
        );
        keys.extend(self.quotas.keys().map(quota_key));
        keys.extend(self.members.keys().map(member_key));
        keys.extend(self.graphs.keys().map(|name| dag_key(name)));
        let definitions = self.definition_chunks.keys().cloned();
        keys.extend(definitions.map(|key| RecordKey::DefinitionChunk(key).to_string()));
        keys.extend(self.runs.keys().map(run_key));
        let plans = self.plan_chunks.keys().cloned();
        keys.extend(plans.map(|key| RecordKey::PlanChunk(key).to_string()));
        keys.extend(self.reservations.keys().map(reservation_key));
        keys.extend(self.windows.keys().map(window_key));
        keys.extend(self.drains.keys().map(drain_key));
        keys.extend(self.ledgers.keys().map(ledger_key));
        keys.extend(self.leader.iter().map(|_| LEADER_KEY.to_string()));
        keys.sort_unstable();
        keys
    }

    /// Jobs that are not cached and must be before shards are served: those that have allocations, and the
    /// dependencies of cached jobs.
    #[must_use]
    pub fn missing_jobs(&self) -> BTreeSet<JobId> {
        let allocated = self.allocations.keys();
        let mut missing: BTreeSet<JobId> = allocated.map(|(_, job)| job.clone()).collect();
        for (job, record) in &self.jobs {
            let dependencies = self.dependencies_of(job, &record.value);
            missing.extend(dependencies.into_iter().flatten().cloned());
        }
        missing.retain(|job| !self.contains_job(job));
        missing
    }
}
