//! What a startup read needs of the cache: which keys to confirm, which jobs to look for, and how far it is.

use super::record_key::RecordKey;
use super::{RecordCache, ledger_key};
use super::{drain_key, reservation_key, window_key};
use snowshelf_model::ids::{JobId, Version};
use snowshelf_model::records::{
    LEADER_KEY, allocation_key, graph_key, job_key, member_key, quota_key, run_key, shard_key,
};
use std::collections::BTreeSet;

impl RecordCache {
    /// Begins a startup read.
    pub fn begin_startup_read(&mut self) {
        self.startup_read = true;
    }

    /// Ends a startup read.
    pub fn end_startup_read(&mut self) {
        self.startup_read = false;
    }

    /// All that is open up to `revision` has been read, or has come by the watch meanwhile.
    pub fn mark_loaded(&mut self, revision: Version) {
        self.loaded = true;
        if self.revision < revision {
            self.revision = revision;
        }
    }

    /// The keys, in order, of records that may have been deleted since they were cached. Their number
    /// grows with the open jobs, not with those that have ended.
    #[must_use]
    pub fn live_keys(&self) -> Vec<String> {
        let mut keys: Vec<String> = Vec::new();
        keys.extend(self.jobs.keys().map(job_key));
        let allocations = self.allocations.keys();
        keys.extend(allocations.map(|(shard_id, job)| allocation_key(*shard_id, job)));
        keys.extend(
            self.shard_owners
                .keys()
                .map(|shard_id| shard_key(*shard_id)),
        );
        keys.extend(self.quotas.keys().map(quota_key));
        keys.extend(self.members.keys().map(member_key));
        keys.extend(self.graphs.keys().map(|name| graph_key(name)));
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

    /// Jobs that must be known before shards are served and are not: those that have allocations, and
    /// the dependencies of known jobs.
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
