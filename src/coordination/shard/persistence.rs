//! Makes changes of allocations durable: batches them into transactions and handles the outcomes.

use super::job::{ShardJob, WritePriority};
use super::{Shard, ShardRequest};
use crate::coordination::context::Context;
use crate::storage::kv_client::{RequestPriority, SwapOutcome};
use serde_json::Value;
use snowshelf_model::ids::{JobId, MonotonicMillis, Version, WallClockMillis};
use snowshelf_model::protocol::state::{CompareAndSwap, Mutation};
use snowshelf_model::records::{allocation_key, job_key, shard_key};
use std::cmp::Reverse;

/// How long starts are batched before they are written, so that several share a transaction.
const STARTS_BATCH_MS: u64 = 60;
/// How long ends of tasks are batched. Nothing waits for them before the allocation's last one, and
/// a write for a start of the same allocation includes them.
const ENDS_BATCH_MS: u64 = 2_000;
/// Ends that have waited this long are written even if starts have to wait for it.
const ENDS_DEADLINE_MS: u64 = 15_000;
/// Maximum size of a transaction's body, in bytes.
const MAX_TRANSACTION_BYTES: usize = 56 * 1024;
/// Bytes reserved for the parts of a transaction other than its changes.
const TRANSACTION_OVERHEAD_BYTES: usize = 200;
/// Bytes reserved for each changed allocation in addition to its value.
const CHANGE_OVERHEAD_BYTES: usize = 400;
/// Backoff of a record after the key-value store rejected a transaction that wrote it alone.
pub(super) const REJECTED_BACKOFF_MS: u64 = 5_000;
/// Retry delay while the request budget is exhausted.
const BUDGET_RETRY_MS: u64 = 50;
/// Retry delay after a write that was not applied; doubles with each further failure.
const FAILURE_RETRY_MS: u64 = 150;
/// Maximum number of times that the retry delay doubles.
const MAX_RETRY_DOUBLINGS: u32 = 3;

/// State of the writes of a shard's allocations.
#[derive(Default)]
pub(super) struct WriteState {
    /// The writes of the transaction in flight.
    in_flight: Option<Vec<AllocationWrite>>,
    /// Consecutive writes that were not applied.
    consecutive_failures: u32,
    /// Nothing is written before this time.
    retry_at: MonotonicMillis,
    /// How many of the next writes hold a single allocation, to isolate the one that the key-value
    /// store rejects.
    isolated_writes_left: usize,
}

struct AllocationWrite {
    job: JobId,
    /// Number of the newest change that the write includes.
    last_change_id: u64,
    /// The allocation's new value; `None` if it is deleted.
    allocation: Option<Value>,
    /// The new value of the job's record, if the write changes it.
    record: Option<Value>,
}

/// An allocation that is due to be written. Sorts in the order of writing.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct DueWrite {
    priority: WritePriority,
    start_wait_ms: Reverse<u64>,
    pending_since: MonotonicMillis,
    job: JobId,
}

impl DueWrite {
    /// Returns the priority of a transaction that begins with this write.
    fn request_priority(&self, now: MonotonicMillis) -> RequestPriority {
        match self.priority {
            WritePriority::Settle => RequestPriority::TaskEnds,
            WritePriority::Starts => RequestPriority::TaskStarts,
            WritePriority::Ends if now.since(self.pending_since) > ENDS_DEADLINE_MS => {
                RequestPriority::TaskStarts
            }
            WritePriority::Ends => RequestPriority::Background,
        }
    }
}

/// A transaction being assembled.
struct Batch {
    swap: CompareAndSwap,
    writes: Vec<AllocationWrite>,
    bytes: usize,
}

impl Batch {
    /// Adds the write of an allocation and, if the write changes it, of the job's record. Returns
    /// `false`, and adds nothing, if the transaction has no space left; the first write is always
    /// added.
    fn add(&mut self, key: String, job: &ShardJob, write: AllocationWrite) -> bool {
        let mutation = match &write.allocation {
            None => Mutation::Delete { key: key.clone() },
            Some(value) => Mutation::put(key.clone(), value),
        };
        let size = CHANGE_OVERHEAD_BYTES + serde_json::to_vec(&mutation).map_or(0, |v| v.len());
        if self.bytes + size > MAX_TRANSACTION_BYTES && !self.writes.is_empty() {
            return false;
        }
        self.bytes += size;
        let mut swap = std::mem::take(&mut self.swap)
            .compare(key, job.allocation_version)
            .mutate(mutation);
        let job_key = job_key(&write.job);
        if let Some(value) = &write.record {
            swap = swap
                .compare(job_key.clone(), job.record_version)
                .mutate(Mutation::put(job_key, value));
        } else if job.has_pending_start() {
            // A cancellation changes the job's key, so it wins over a start in flight.
            swap = swap.compare(job_key, job.record_version);
        }
        self.swap = swap;
        self.writes.push(write);
        true
    }
}

impl Shard {
    /// Writes the allocations whose changes are due in one transaction, as many as the request
    /// budget and the limits of a transaction allow. Does nothing while another transaction is in
    /// flight, while a retry delay runs, or if this leader is fenced.
    pub(super) fn flush_changes(&mut self, context: &mut Context<'_>) {
        let now = context.now();
        if self.writes.in_flight.is_some() || self.fenced || now < self.writes.retry_at {
            return;
        }
        let due = self.due_writes(now);
        let Some(first) = due.first() else {
            return;
        };
        let priority = first.request_priority(now);
        // A transaction larger than the budget would wait until the token bucket is full, and
        // everything after it would wait too.
        let max_ops = context.storage_limits.txn_ops;
        let max_ops = context.kv.write_budget(now, priority).min(max_ops);
        let batch = self.build_batch(&due, max_ops, context);
        let ops = batch.swap.mutations.len();
        if batch.writes.is_empty() || !context.kv.has_budget(now, priority, ops) {
            self.writes.retry_at = now.plus(BUDGET_RETRY_MS);
            return;
        }
        for write in &batch.writes {
            if let Some(job) = self.jobs.get_mut(&write.job) {
                job.write_in_flight = true;
            }
        }
        let request = self.kv_request(ShardRequest::WriteAllocations);
        context
            .kv
            .compare_and_swap(context.effects, request, &batch.swap);
        self.writes.in_flight = Some(batch.writes);
    }

    /// Returns the allocations whose changes have been batched for long enough, in the order of
    /// writing.
    fn due_writes(&self, now: MonotonicMillis) -> Vec<DueWrite> {
        let ready = self
            .jobs
            .iter()
            .filter(|(_, j)| j.write_backoff_until <= now);
        let pending = ready.filter_map(|(id, job)| {
            Some(DueWrite {
                priority: job.write_priority()?,
                start_wait_ms: Reverse(job.start_wait_ms(now)),
                pending_since: job.pending_since,
                job: id.clone(),
            })
        });
        let mut due: Vec<DueWrite> = pending
            .filter(|write| {
                let batch_ms = match write.priority {
                    WritePriority::Ends => ENDS_BATCH_MS,
                    WritePriority::Settle | WritePriority::Starts => STARTS_BATCH_MS,
                };
                now.since(write.pending_since) >= batch_ms
            })
            .collect();
        due.sort();
        due
    }

    /// Assembles a transaction of at most `max_ops` operations.
    fn build_batch(&mut self, due: &[DueWrite], max_ops: usize, context: &Context<'_>) -> Batch {
        let fencing = Version(self.fencing_token.0);
        let mut batch = Batch {
            swap: CompareAndSwap::default().compare(shard_key(self.id), fencing),
            writes: Vec::new(),
            bytes: TRANSACTION_OVERHEAD_BYTES,
        };
        for DueWrite { job: id, .. } in due {
            let Some(job) = self.jobs.get(id) else {
                continue;
            };
            let ops = if job.is_finished_here() { 2 } else { 1 };
            if batch.swap.mutations.len() + ops > max_ops {
                break;
            }
            let Some(write) = self.allocation_write(id, job, context) else {
                continue;
            };
            if !batch.add(allocation_key(self.id, id), job, write) {
                break;
            }
            if self.writes.isolated_writes_left > 0 {
                self.writes.isolated_writes_left -= 1;
                break;
            }
        }
        batch
    }

    /// Returns the write of an allocation; `None` if its value is too large. It is written once
    /// enough of its tasks have ended. Until then, machines repeat the ends in their heartbeats,
    /// and no further task of the allocation starts.
    fn allocation_write(
        &self,
        id: &JobId,
        job: &ShardJob,
        context: &Context<'_>,
    ) -> Option<AllocationWrite> {
        let (allocation, record) = if job.is_finished_here() {
            let wall = WallClockMillis(context.effects.wall_ms);
            let format = context.storage_limits.format;
            let record = job.record.without_shard(self.id, wall, format);
            (None, Some(context.job_value(&record)?))
        } else {
            let limits = context.storage_limits;
            (Some(limits.encode_allocation(&job.desired)?), None)
        };
        Some(AllocationWrite {
            job: id.clone(),
            last_change_id: job.pending_changes.last().map_or(0, |p| p.id),
            allocation,
            record,
        })
    }

    /// Handles the outcome of a transaction.
    pub(super) fn on_write_outcome(&mut self, outcome: SwapOutcome, context: &mut Context<'_>) {
        let now = context.now();
        let Some(writes) = self.writes.in_flight.take() else {
            return;
        };
        for write in &writes {
            if let Some(job) = self.jobs.get_mut(&write.job) {
                job.write_in_flight = false;
            }
        }
        match outcome {
            SwapOutcome::Applied(revision) => self.on_written(writes, revision, context),
            SwapOutcome::Conflict(keys) => {
                tracing::info!(shard = %self.id, keys = ?keys, "write conflict");
                if keys.contains(&shard_key(self.id)) {
                    tracing::info!(shard = %self.id, fencing_token = %self.fencing_token, "shard leader deposed: fencing token superseded");
                    self.fenced = true;
                    return;
                }
                for key in keys {
                    self.read_back(&key, context);
                }
            }
            SwapOutcome::NotApplied | SwapOutcome::LeaseExpired => {
                let doublings = self.writes.consecutive_failures.min(MAX_RETRY_DOUBLINGS);
                self.writes.retry_at = context.effects.retry_at(FAILURE_RETRY_MS, doublings);
                self.writes.consecutive_failures += 1;
            }
            SwapOutcome::Rejected => self.on_write_rejected(&writes, now),
            SwapOutcome::Unknown => self.on_write_unknown(writes, context),
        }
        self.send_deferred_responses(context);
        self.flush_changes(context);
    }

    fn on_written(
        &mut self,
        writes: Vec<AllocationWrite>,
        revision: Version,
        context: &mut Context<'_>,
    ) {
        let now = context.now();
        self.writes.consecutive_failures = 0;
        for write in writes {
            let id = write.job;
            if let Some(job) = self.jobs.get_mut(&id) {
                job.outcome_unknown = false;
                job.pending_changes.retain(|p| p.id > write.last_change_id);
                job.pending_since = now;
            }
            let key = allocation_key(self.id, &id);
            let allocation = write.allocation.as_ref();
            context.records.apply(&key, allocation, revision);
            if let Some(value) = &write.record {
                tracing::info!(job = %id, shard = %self.id, state = %value["state"],
                    "shard allocation closed");
                context.records.apply(&job_key(&id), Some(value), revision);
            }
            self.refresh_job(&id, context);
        }
        self.placement.dirty = true;
    }

    /// Backs off after a rejected transaction. Without it, the same transaction would be sent again
    /// and again, and all other writes of the shard would wait behind it.
    fn on_write_rejected(&mut self, writes: &[AllocationWrite], now: MonotonicMillis) {
        self.writes.retry_at = now.plus(FAILURE_RETRY_MS);
        match writes {
            [only] => {
                tracing::info!(job = %only.job, shard = %self.id, "allocation write rejected");
                if let Some(job) = self.jobs.get_mut(&only.job) {
                    job.write_backoff_until = now.plus(REJECTED_BACKOFF_MS);
                }
            }
            several => self.writes.isolated_writes_left = 2 * several.len(),
        }
    }

    fn on_write_unknown(&mut self, writes: Vec<AllocationWrite>, context: &mut Context<'_>) {
        tracing::info!(shard = %self.id, jobs = writes.len(), "write outcome unknown: reading back");
        for write in writes {
            let id = write.job;
            if let Some(job) = self.jobs.get_mut(&id) {
                job.outcome_unknown = true;
            }
            if write.record.is_some() {
                self.read_back(&job_key(&id), context);
            }
            self.read_back(&allocation_key(self.id, &id), context);
        }
    }
}
