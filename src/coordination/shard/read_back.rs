//! Reads back allocations and job records whose write conflicted or has an unknown outcome.

use super::{Shard, ShardRequest};
use crate::coordination::context::Context;
use crate::storage::kv_client::{GetOutcome, RequestPriority};
use snowshelf_model::ids::JobId;
use snowshelf_model::records::allocation_key;

/// Timeout of a read.
const READ_TIMEOUT_MS: u64 = 1_500;
/// Reads without a result are repeated at the beginning of each interval of this length.
const RETRY_INTERVAL_MS: u64 = 500;
/// The beginning of an interval: every tick within this time of it repeats reads.
const RETRY_WINDOW_MS: u64 = 60;
/// Maximum number of reads retried at a time.
const MAX_RETRIES: usize = 8;

impl Shard {
    /// Reads a key back. Nothing of its job is written until the value is known.
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

    /// Handles the value of a key that was read back. A failed read is retried by a later tick.
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

    /// Reads the allocations again whose job has a read that failed or is not answered yet, in the
    /// ticks at the beginning of every `RETRY_INTERVAL_MS`.
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

    /// Returns the job whose record, or whose allocation in this shard, is stored under a key;
    /// `None` for any other key.
    fn job_of_key(&self, key: &str) -> Option<JobId> {
        if let Some(job) = key.strip_prefix("job/") {
            return Some(JobId::new(job));
        }
        let job = key.strip_prefix(&format!("alloc/{}/", self.id))?;
        Some(JobId::new(job))
    }
}
