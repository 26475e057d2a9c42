//! Notifies the actors of changed records in the cache.

use super::Controller;
use crate::storage::record_cache::RecordChange;
use snowshelf_model::ids::JobId;
use std::collections::BTreeSet;

impl Controller {
    /// Makes the actors update their state from the changed records.
    pub(super) fn on_record_changes(&mut self, changes: Vec<RecordChange>) {
        if self.reservations.is_built() {
            self.reservations.on_changes(&changes, &self.env.context());
        }
        let mut jobs: BTreeSet<JobId> = BTreeSet::new();
        for change in changes {
            match change {
                RecordChange::Job(job) | RecordChange::ShardAllocation(_, job) => {
                    jobs.insert(job);
                }
                RecordChange::MachineTypes => self.env.machine_types.refresh(&self.env.records),
                _ => {}
            }
        }
        if jobs.is_empty() {
            return;
        }
        self.for_each_shard(|shard, context| {
            for job in &jobs {
                shard.refresh_job(job, context);
            }
        });
    }

    /// Makes the shards take over allocations that this controller's job API has just written.
    pub(super) fn refresh_new_allocations(&mut self) {
        self.for_each_shard(|shard, context| {
            let new: Vec<JobId> = context
                .records
                .shard_allocations(shard.id)
                .filter(|(job, _)| !shard.has_job(job))
                .map(|(job, _)| job.clone())
                .collect();
            for job in new {
                shard.refresh_job(&job, context);
            }
        });
    }
}
