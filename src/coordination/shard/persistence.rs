//! How an owner's steps become durable: batched transactions, and reading back what is unsure.

use super::job::WritePriority;
use super::{Shard, ShardRequest};
use crate::coordination::context::Context;
use crate::storage::kv_client::{GetOutcome, RequestPriority, SwapOutcome};
use serde_json::Value;
use snowshelf_model::ids::{JobId, MonotonicMillis, Version, WallClockMillis};
use snowshelf_model::protocol::state::{CompareAndSwap, Mutation};
use snowshelf_model::records::{AllocationChangeKind, allocation_key, job_key, shard_key};
use std::cmp::Reverse;

/// How long starts gather before they are written, so that several share a transaction.
const GATHER_MS: u64 = 60;
/// How long ends of tasks gather: nobody waits for them until the share's last one, and a start of
/// the same share takes them along.
const ENDS_GATHER_MS: u64 = 2_000;
/// After so long they are written even if that keeps starts waiting.
const ENDS_LATEST_MS: u64 = 15_000;
/// Bytes of a transaction's body that may be used.
const TXN_BYTES: usize = 56 * 1024;

pub(super) struct InFlightSwap {
    pub jobs: Vec<Writing>,
}

/// A share's changes underway.
pub(super) struct Writing {
    job: JobId,
    /// The last step that it holds.
    last: u64,
    /// The share's new value; `None`: it is over.
    share: Option<Value>,
    /// The job's new value, if it changes.
    record: Option<Value>,
}

/// For so long a record is left alone whose write alone was refused as it is.
pub(super) const REFUSED_MS: u64 = 5_000;

impl Shard {
    /// Writes gathered steps in one transaction, as many as the budget has room for.
    pub(super) fn flush(&mut self, context: &mut Context) {
        let now = context.now();
        if self.flight.is_some() || self.deposed || now < self.retry_at {
            return;
        }
        let mut ready: Vec<(WritePriority, Reverse<u64>, MonotonicMillis, JobId)> = self
            .jobs
            .iter()
            .filter(|(_, j)| j.hold_until <= now)
            .filter_map(|(id, j)| {
                Some((
                    j.press()?,
                    Reverse(j.waited_starts(now)),
                    j.since,
                    id.clone(),
                ))
            })
            .filter(|(press, _, since, _)| {
                let gather = match press {
                    WritePriority::Ends => ENDS_GATHER_MS,
                    WritePriority::Settle | WritePriority::Starts => GATHER_MS,
                };
                now.since(*since) >= gather
            })
            .collect();
        if ready.is_empty() {
            return;
        }
        ready.sort();
        let class = match ready[0].0 {
            WritePriority::Settle => RequestPriority::TaskEnds,
            WritePriority::Starts => RequestPriority::TaskStarts,
            WritePriority::Ends if now.since(ready[0].2) > ENDS_LATEST_MS => {
                RequestPriority::TaskStarts
            }
            WritePriority::Ends => RequestPriority::Background,
        };
        // More than the budget has room for would wait until the bucket is full, and keep
        // everything else waiting after it.
        let max_ops = context.storage_limits.txn_ops;
        let most = context.kv.write_budget(now, class).min(max_ops);
        let mut swap =
            CompareAndSwap::default().compare(shard_key(self.id), Version(self.fencing_token.0));
        let mut jobs = Vec::new();
        let mut bytes = 200;
        for (_, _, _, id) in ready {
            let Some(job) = self.jobs.get(&id) else {
                continue;
            };
            let over = job.over();
            let ops = if over { 2 } else { 1 };
            if swap.mutations.len() + ops > most {
                break;
            }
            let last = job.steps.last().map_or(0, |s| s.id);
            let key = allocation_key(self.id, &id);
            let starts = job
                .steps
                .iter()
                .any(|s| s.step.kind == AllocationChangeKind::Start);
            // What is too large now is written once enough of its tasks have ended: until then their
            // machines repeat the ends, and nothing more of it is started.
            let (share, record) = if over {
                let wall = WallClockMillis(context.effects.wall_ms);
                let next = job
                    .spec
                    .without_shard(self.id, wall, context.storage_limits.format);
                (None, context.job_value(&next))
            } else {
                (context.storage_limits.encode_allocation(&job.view), None)
            };
            if share.is_none() && record.is_none() {
                continue;
            }
            let change = match &share {
                None => Mutation::Delete { key: key.clone() },
                Some(value) => Mutation::put(key.clone(), value),
            };
            let size = 400 + serde_json::to_vec(&change).map_or(0, |v| v.len());
            if bytes + size > TXN_BYTES && !jobs.is_empty() {
                break;
            }
            bytes += size;
            swap = swap.compare(key, job.version).mutate(change);
            if let Some(value) = &record {
                swap = swap
                    .compare(job_key(&id), job.job_version)
                    .mutate(Mutation::put(job_key(&id), value));
            } else if starts {
                // A cancellation changes the job's key, so it wins over a start underway.
                swap = swap.compare(job_key(&id), job.job_version);
            }
            jobs.push(Writing {
                job: id,
                last,
                share,
                record,
            });
            if self.one_by_one > 0 {
                self.one_by_one -= 1;
                break;
            }
        }
        if jobs.is_empty() || !context.kv.has_budget(now, class, swap.mutations.len()) {
            self.retry_at = now.plus(50);
            return;
        }
        for writing in &jobs {
            if let Some(job) = self.jobs.get_mut(&writing.job) {
                job.in_flight = true;
            }
        }
        context.kv.compare_and_swap(
            context.effects,
            self.kv_request(ShardRequest::WriteAllocations),
            &swap,
        );
        self.flight = Some(InFlightSwap { jobs });
    }

    pub fn txn_done(&mut self, result: SwapOutcome, context: &mut Context) {
        let now = context.now();
        let Some(flight) = self.flight.take() else {
            return;
        };
        for writing in &flight.jobs {
            if let Some(job) = self.jobs.get_mut(&writing.job) {
                job.in_flight = false;
            }
        }
        match result {
            SwapOutcome::Applied(revision) => {
                self.refusals = 0;
                for writing in flight.jobs {
                    let id = writing.job;
                    if let Some(job) = self.jobs.get_mut(&id) {
                        job.unsettled = false;
                        job.steps.retain(|s| s.id > writing.last);
                        job.since = now;
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
                    self.refresh(&id, context);
                }
                self.dirty = true;
            }
            SwapOutcome::Conflict(keys) => {
                tracing::info!(shard = %self.id, keys = ?keys, "write conflict");
                if keys.contains(&shard_key(self.id)) {
                    tracing::info!(shard = %self.id, fencing_token = %self.fencing_token, "shard leader deposed: fencing token superseded");
                    self.deposed = true;
                    return;
                }
                for key in keys {
                    self.read_back(&key, context);
                }
            }
            SwapOutcome::NotApplied | SwapOutcome::LeaseExpired => {
                self.retry_at = context.effects.retry_at(150, self.refusals.min(3));
                self.refusals += 1;
            }
            SwapOutcome::Rejected => {
                // Guards against the same write again and again, and all others of the part after it.
                self.retry_at = now.plus(150);
                match &flight.jobs[..] {
                    [only] => {
                        tracing::info!(job = %only.job, shard = %self.id, "allocation write rejected");
                        if let Some(job) = self.jobs.get_mut(&only.job) {
                            job.hold_until = now.plus(REFUSED_MS);
                        }
                    }
                    several => self.one_by_one = 2 * several.len(),
                }
            }
            SwapOutcome::Unknown => {
                tracing::info!(shard = %self.id, jobs = flight.jobs.len(), "write outcome unknown: reading back");
                for writing in flight.jobs {
                    let id = writing.job;
                    if let Some(job) = self.jobs.get_mut(&id) {
                        job.unsettled = true;
                    }
                    if writing.record.is_some() {
                        self.read_back(&job_key(&id), context);
                    }
                    self.read_back(&allocation_key(self.id, &id), context);
                }
            }
        }
        self.answer_held(context);
        self.flush(context);
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
            job.reading = true;
        }
        // Reading what an unanswered write did comes before any new one.
        let tag = self.kv_request(ShardRequest::ReadAllocation {
            key: key.to_string(),
        });
        context.kv.get(context.effects, tag, key, 1_500);
    }

    pub fn read_done(&mut self, key: &str, result: GetOutcome, context: &mut Context) {
        match result {
            GetOutcome::Found(item) => {
                context.records.newest_single_read =
                    context.records.newest_single_read.max(item.version);
                context.records.apply(key, Some(&item.value), item.version);
            }
            GetOutcome::NotFound(revision) => {
                context.records.newest_single_read =
                    context.records.newest_single_read.max(revision);
                context.records.apply(key, None, revision);
            }
            GetOutcome::Failed => {
                // Asked again by the tick.
                return;
            }
        }
        if let Some(id) = self.job_of_key(key) {
            if let Some(job) = self.jobs.get_mut(&id) {
                job.reading = false;
            }
            self.refresh(&id, context);
        }
    }

    /// Asks again, a few times a second, for what could not be read back.
    pub(super) fn read_again(&mut self, context: &mut Context) {
        let now = context.now();
        if now.0 % 500 >= 60 {
            return;
        }
        let again: Vec<JobId> = self
            .jobs
            .iter()
            .filter(|(_, j)| j.reading)
            .map(|(id, _)| id.clone())
            .collect();
        for id in again.into_iter().take(8) {
            if context.kv.has_budget(now, RequestPriority::TaskEnds, 0) {
                let key = allocation_key(self.id, &id);
                let tag = self.kv_request(ShardRequest::ReadAllocation { key: key.clone() });
                context.kv.get(context.effects, tag, &key, 1_500);
            }
        }
    }
}
