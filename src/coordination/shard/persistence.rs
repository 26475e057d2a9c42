//! How an owner's steps become durable: batched transactions, and reading back what is unsure.

use super::job::WritePriority;
use super::{Shard, ShardRequest};
use crate::coordination::context::Context;
use crate::storage::kv_client::{GetOutcome, RequestPriority, SwapOutcome};
use serde_json::Value;
use snowshelf_model::ids::{JobId, MonotonicMillis, Version, WallClockMillis};
use snowshelf_model::protocol::state::{CompareAndSwap, Mutation};
use snowshelf_model::records::{allocation_key, job_key, shard_key};
use std::cmp::Reverse;

/// How long starts gather before they are written, so that several share a transaction.
const STARTS_BATCH_MS: u64 = 60;
/// How long ends of tasks gather: nobody waits for them until the share's last one, and a start of
/// the same share takes them along.
const ENDS_BATCH_MS: u64 = 2_000;
/// After so long they are written even if that keeps starts waiting.
const ENDS_DEADLINE_MS: u64 = 15_000;
/// Bytes of a transaction's body that may be used.
const MAX_TRANSACTION_BYTES: usize = 56 * 1024;

/// The writes of a shard's allocations.
#[derive(Default)]
pub(super) struct WriteState {
    in_flight: Option<InFlightSwap>,
    /// Writes in a row that were not carried out.
    consecutive_failures: u32,
    /// Nothing is written before then.
    retry_at: MonotonicMillis,
    /// So many of the next writes hold a single allocation, to isolate the one that the key-value store refuses.
    isolated_writes_left: usize,
}

/// A transaction underway.
struct InFlightSwap {
    jobs: Vec<AllocationWrite>,
}

/// A share's changes underway.
struct AllocationWrite {
    job: JobId,
    /// The last step that it holds.
    last: u64,
    /// The share's new value; `None`: it is over.
    share: Option<Value>,
    /// The job's new value, if it changes.
    record: Option<Value>,
}

/// For so long a record is left alone whose write alone was refused as it is.
pub(super) const REFUSED_BACKOFF_MS: u64 = 5_000;

impl Shard {
    /// Writes gathered steps in one transaction, as many as the budget has room for.
    pub(super) fn flush_changes(&mut self, context: &mut Context) {
        let now = context.now();
        if self.writes.in_flight.is_some() || self.fenced || now < self.writes.retry_at {
            return;
        }
        let mut ready: Vec<(WritePriority, Reverse<u64>, MonotonicMillis, JobId)> = self
            .jobs
            .iter()
            .filter(|(_, j)| j.write_backoff_until <= now)
            .filter_map(|(id, j)| {
                Some((
                    j.write_priority()?,
                    Reverse(j.start_wait_ms(now)),
                    j.pending_since,
                    id.clone(),
                ))
            })
            .filter(|(press, _, since, _)| {
                let gather = match press {
                    WritePriority::Ends => ENDS_BATCH_MS,
                    WritePriority::Settle | WritePriority::Starts => STARTS_BATCH_MS,
                };
                now.since(*since) >= gather
            })
            .collect();
        if ready.is_empty() {
            return;
        }
        ready.sort();
        let class = match ready[0].0 {
            WritePriority::Settle => RequestPriority::Ends,
            WritePriority::Starts => RequestPriority::Starts,
            WritePriority::Ends if now.since(ready[0].2) > ENDS_DEADLINE_MS => {
                RequestPriority::Starts
            }
            WritePriority::Ends => RequestPriority::Spare,
        };
        // More than the budget has room for would wait until the bucket is full, and keep
        // everything else waiting after it.
        let max_ops = context.storage_limits.txn_ops;
        let most = context.kv.room(now, class).min(max_ops);
        let mut swap =
            CompareAndSwap::default().compare(shard_key(self.id), Version(self.fencing_token.0));
        let mut jobs = Vec::new();
        let mut bytes = 200;
        for (_, _, _, id) in ready {
            let Some(job) = self.jobs.get(&id) else {
                continue;
            };
            let over = job.is_over_here();
            let ops = if over { 2 } else { 1 };
            if swap.mutations.len() + ops > most {
                break;
            }
            let last = job.pending_changes.last().map_or(0, |s| s.id);
            let key = allocation_key(self.id, &id);
            let starts = job.has_pending_start();
            // What is too large now is written once enough of its tasks have ended: until then their
            // machines repeat the ends, and nothing more of it is started.
            let (share, record) = if over {
                let wall = WallClockMillis(context.effects.wall_ms);
                let next = job
                    .record
                    .without_shard(self.id, wall, context.storage_limits.format);
                (None, context.job_value(&next))
            } else {
                (context.storage_limits.encode_allocation(&job.desired), None)
            };
            if share.is_none() && record.is_none() {
                continue;
            }
            let change = match &share {
                None => Mutation::Delete { key: key.clone() },
                Some(value) => Mutation::put(key.clone(), value),
            };
            let size = 400 + serde_json::to_vec(&change).map_or(0, |v| v.len());
            if bytes + size > MAX_TRANSACTION_BYTES && !jobs.is_empty() {
                break;
            }
            bytes += size;
            swap = swap.compare(key, job.allocation_version).mutate(change);
            if let Some(value) = &record {
                swap = swap
                    .compare(job_key(&id), job.record_version)
                    .mutate(Mutation::put(job_key(&id), value));
            } else if starts {
                // A cancellation changes the job's key, so it wins over a start underway.
                swap = swap.compare(job_key(&id), job.record_version);
            }
            jobs.push(AllocationWrite {
                job: id,
                last,
                share,
                record,
            });
            if self.writes.isolated_writes_left > 0 {
                self.writes.isolated_writes_left -= 1;
                break;
            }
        }
        if jobs.is_empty() || !context.kv.may(now, class, swap.mutations.len()) {
            self.writes.retry_at = now.plus(50);
            return;
        }
        for writing in &jobs {
            if let Some(job) = self.jobs.get_mut(&writing.job) {
                job.write_in_flight = true;
            }
        }
        context.kv.compare_and_swap(
            context.effects,
            self.kv_request(ShardRequest::WriteAllocations),
            &swap,
        );
        self.writes.in_flight = Some(InFlightSwap { jobs });
    }

    pub fn on_write_outcome(&mut self, result: SwapOutcome, context: &mut Context) {
        let now = context.now();
        let Some(flight) = self.writes.in_flight.take() else {
            return;
        };
        for writing in &flight.jobs {
            if let Some(job) = self.jobs.get_mut(&writing.job) {
                job.write_in_flight = false;
            }
        }
        match result {
            SwapOutcome::Done(revision) => {
                self.writes.consecutive_failures = 0;
                for writing in flight.jobs {
                    let id = writing.job;
                    if let Some(job) = self.jobs.get_mut(&id) {
                        job.outcome_unknown = false;
                        job.pending_changes.retain(|s| s.id > writing.last);
                        job.pending_since = now;
                    }
                    let key = allocation_key(self.id, &id);
                    context
                        .records
                        .apply(&key, writing.share.as_ref(), revision);
                    if let Some(value) = &writing.record {
                        tracing::info!(job = %id, shard = %self.id, state = %value["state"],
                            "shard allocation closed");
                        context.records.apply(&job_key(&id), Some(value), revision);
                    }
                    self.refresh_job(&id, context);
                }
                self.placement.dirty = true;
            }
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
            SwapOutcome::NotDone | SwapOutcome::NoLease => {
                self.writes.retry_at = context
                    .effects
                    .retry_at(150, self.writes.consecutive_failures.min(3));
                self.writes.consecutive_failures += 1;
            }
            SwapOutcome::Refused => {
                // Guards against the same write again and again, and all others of the part after it.
                self.writes.retry_at = now.plus(150);
                match &flight.jobs[..] {
                    [only] => {
                        tracing::info!(job = %only.job, shard = %self.id, "allocation write rejected");
                        if let Some(job) = self.jobs.get_mut(&only.job) {
                            job.write_backoff_until = now.plus(REFUSED_BACKOFF_MS);
                        }
                    }
                    several => self.writes.isolated_writes_left = 2 * several.len(),
                }
            }
            SwapOutcome::Unknown => {
                tracing::info!(shard = %self.id, jobs = flight.jobs.len(), "write outcome unknown: reading back");
                for writing in flight.jobs {
                    let id = writing.job;
                    if let Some(job) = self.jobs.get_mut(&id) {
                        job.outcome_unknown = true;
                    }
                    if writing.record.is_some() {
                        self.read_back(&job_key(&id), context);
                    }
                    self.read_back(&allocation_key(self.id, &id), context);
                }
            }
        }
        self.send_deferred_responses(context);
        self.flush_changes(context);
    }

    pub(super) fn job_of_key(&self, key: &str) -> Option<JobId> {
        if let Some(job) = key.strip_prefix("job/") {
            return Some(JobId::new(job));
        }
        let rest = key.strip_prefix(&format!("alloc/{}/", self.id))?;
        Some(JobId::new(rest))
    }

    pub(super) fn read_back(&mut self, key: &str, context: &mut Context) {
        if let Some(job) = self.job_of_key(key)
            && let Some(job) = self.jobs.get_mut(&job)
        {
            job.read_in_flight = true;
        }
        // Reading what an unanswered write did comes before any new one.
        let request = self.kv_request(ShardRequest::ReadAllocation {
            key: key.to_string(),
        });
        context.kv.get(context.effects, request, key, 1_500);
    }

    pub fn on_allocation_read(&mut self, key: &str, result: GetOutcome, context: &mut Context) {
        match result {
            GetOutcome::Found(item) => {
                context.records.read_ahead = context.records.read_ahead.max(item.version);
                context.records.apply(key, Some(&item.value), item.version);
            }
            GetOutcome::NotFound(revision) => {
                context.records.read_ahead = context.records.read_ahead.max(revision);
                context.records.apply(key, None, revision);
            }
            GetOutcome::Failed => {
                // Asked again by the tick.
                return;
            }
        }
        if let Some(id) = self.job_of_key(key) {
            if let Some(job) = self.jobs.get_mut(&id) {
                job.read_in_flight = false;
            }
            self.refresh_job(&id, context);
        }
    }

    /// Asks again, a few times a second, for what could not be read back.
    pub(super) fn retry_reads(&mut self, context: &mut Context) {
        let now = context.now();
        if now.0 % 500 >= 60 {
            return;
        }
        let again: Vec<JobId> = self
            .jobs
            .iter()
            .filter(|(_, j)| j.read_in_flight)
            .map(|(id, _)| id.clone())
            .collect();
        for id in again.into_iter().take(8) {
            if context.kv.may(now, RequestPriority::Ends, 0) {
                let key = allocation_key(self.id, &id);
                let request = self.kv_request(ShardRequest::ReadAllocation { key: key.clone() });
                context.kv.get(context.effects, request, &key, 1_500);
            }
        }
    }
}
