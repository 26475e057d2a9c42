//! Reading allocations back whose write is in conflict or has no known outcome.

use super::{Shard, ShardRequest};
use crate::coordination::context::Context;
use crate::storage::kv_client::{GetOutcome, RequestPriority};
use snowshelf_model::ids::JobId;
use snowshelf_model::records::allocation_key;

/// How long a read may take.
const READ_TIMEOUT_MS: u64 = 1_500;
/// Failed reads are repeated once in this time,
const RETRY_INTERVAL_MS: u64 = 500;
/// in a tick that falls into this first part of it.
const RETRY_WINDOW_MS: u64 = 60;
/// Most reads repeated at a time.
const MAX_RETRIES: usize = 8;

impl Shard {
    /// Reads a key back. Nothing of its job is written until its value is known.
    pub(super) fn read_back(&mut self, key: &str, context: &mut Context<'_>) {
        if let Some(job) = self.job_of_key(key)
            && let Some(job) = self.jobs.get_mut(&job)
        {
            job.read_in_flight = true;
        }
        self.request_allocation(key, context);
    }

    fn request_allocation(&self, key: &str, context: &mut Context<'_>) {
        let request = self.kv_request(ShardRequest::ReadAllocation {
            key: key.to_string(),
        });
        context
            .kv
            .get(context.effects, request, key, READ_TIMEOUT_MS);
    }

    /// Takes the value of a key that was read back over. A failed read is repeated by the tick.
    pub(super) fn on_allocation_read(
        &mut self,
        key: &str,
        outcome: GetOutcome,
        context: &mut Context<'_>,
    ) {
        let records = &mut *context.records;
        match outcome {
            GetOutcome::Found(item) => {
                records.newest_single_read = records.newest_single_read.max(item.version);
                records.apply(key, Some(&item.value), item.version);
            }
            GetOutcome::NotFound(revision) => {
                records.newest_single_read = records.newest_single_read.max(revision);
                records.apply(key, None, revision);
            }
            GetOutcome::Failed => return,
        }
        if let Some(id) = self.job_of_key(key) {
            if let Some(job) = self.jobs.get_mut(&id) {
                job.read_in_flight = false;
            }
            self.refresh_job(&id, context);
        }
    }

    /// Repeats failed reads, a few times a second.
    pub(super) fn retry_reads(&mut self, context: &mut Context<'_>) {
        let now = context.now();
        if now.0 % RETRY_INTERVAL_MS >= RETRY_WINDOW_MS {
            return;
        }
        let unread = self.jobs.iter().filter(|(_, j)| j.read_in_flight);
        let unread: Vec<JobId> = unread.map(|(id, _)| id.clone()).take(MAX_RETRIES).collect();
        for id in unread {
            if context.kv.has_budget(now, RequestPriority::TaskEnds, 0) {
                self.request_allocation(&allocation_key(self.id, &id), context);
            }
        }
    }

    /// The job that a key of a job's record, or of this shard's allocation of it, belongs to.
    fn job_of_key(&self, key: &str) -> Option<JobId> {
        if let Some(job) = key.strip_prefix("job/") {
            return Some(JobId::new(job));
        }
        let job = key.strip_prefix(&format!("alloc/{}/", self.id))?;
        Some(JobId::new(job))
    }
}
