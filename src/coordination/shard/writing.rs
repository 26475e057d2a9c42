//! How an owner's steps become durable: batched transactions, and reading back what is unsure.

use super::Shard;
use super::job::Press;
use crate::bookkeeping::records::{Alloc, JobRecord, StepKind, alloc_key, job_key, part_key};
use crate::bookkeeping::store::{Class, GetResult, TxnResult};
use crate::coordination::env::{Env, Tag};
use crate::ids::{JobId, Millis, Version};
use crate::protocol::state::{Change, Txn};

/// How long starts gather before they are written, so that several share a transaction.
const GATHER_MS: u64 = 60;
/// How long ends of tasks gather: nobody waits for them until the share's last one.
const ENDS_GATHER_MS: u64 = 2_000;
/// Bytes of a transaction's body that may be used.
const TXN_BYTES: usize = 56 * 1024;

pub(super) struct Flight {
    pub jobs: Vec<(JobId, u64, Option<Alloc>, Option<JobRecord>)>,
}

impl Shard {
    /// Writes gathered steps in one transaction, as many as the budget has room for.
    pub(super) fn flush(&mut self, env: &mut Env) {
        let now = env.now();
        if self.flight.is_some() || self.deposed || now < self.retry_at {
            return;
        }
        let mut ready: Vec<(Press, Millis, JobId)> = self
            .jobs
            .iter()
            .filter_map(|(id, j)| Some((j.press()?, j.since, id.clone())))
            .filter(|(press, since, _)| {
                let gather = match press {
                    Press::Ends => ENDS_GATHER_MS,
                    Press::Settle | Press::Starts => GATHER_MS,
                };
                now.since(*since) >= gather
            })
            .collect();
        if ready.is_empty() {
            return;
        }
        ready.sort();
        let class = match ready[0].0 {
            Press::Settle | Press::Ends => Class::Ends,
            Press::Starts => Class::Starts,
        };
        // More than the budget has room for would wait until the bucket is full, and keep
        // everything else waiting after it.
        let max_ops = env.cfg.settings.deployment.state.txn_ops;
        let most = env.store.room(now, class).min(max_ops);
        let mut txn = Txn::default().when(part_key(self.part), Version(self.token.0));
        let mut jobs = Vec::new();
        let mut bytes = 200;
        for (_, _, id) in ready {
            let Some(job) = self.jobs.get(&id) else {
                continue;
            };
            let over = job.over();
            let ops = if over { 2 } else { 1 };
            if txn.changes.len() + ops > most {
                break;
            }
            let last = job.steps.last().map_or(0, |s| s.id);
            let key = alloc_key(self.part, &id);
            let starts = job.steps.iter().any(|s| s.step.what == StepKind::Start);
            let change = if over {
                Change::Delete { key: key.clone() }
            } else {
                Change::write(key.clone(), &job.view)
            };
            let size = 400 + serde_json::to_vec(&change).map_or(0, |v| v.len());
            if bytes + size > TXN_BYTES && !jobs.is_empty() {
                break;
            }
            bytes += size;
            txn = txn.when(key, job.version).then(change);
            let mut record = None;
            if over {
                let next = job.spec.without_part(self.part);
                txn = txn
                    .when(job_key(&id), job.job_version)
                    .then(Change::write(job_key(&id), &next));
                record = Some(next);
            } else if starts {
                // A cancellation changes the job's key, so it wins over a start underway.
                txn = txn.when(job_key(&id), job.job_version);
            }
            jobs.push((id, last, (!over).then(|| job.view.clone()), record));
        }
        if jobs.is_empty() || !env.store.may(now, class, txn.changes.len()) {
            self.retry_at = now.plus(50);
            return;
        }
        for (id, _, _, _) in &jobs {
            if let Some(job) = self.jobs.get_mut(id) {
                job.in_flight = true;
            }
        }
        env.store
            .txn(env.out, Tag::ShardTxn(self.part, self.token), &txn);
        self.flight = Some(Flight { jobs });
    }

    pub fn txn_done(&mut self, result: TxnResult, env: &mut Env) {
        let now = env.now();
        let Some(flight) = self.flight.take() else {
            return;
        };
        for (id, _, _, _) in &flight.jobs {
            if let Some(job) = self.jobs.get_mut(id) {
                job.in_flight = false;
            }
        }
        match result {
            TxnResult::Done(revision) => {
                self.refusals = 0;
                for (id, last, alloc, record) in flight.jobs {
                    if let Some(job) = self.jobs.get_mut(&id) {
                        job.unsettled = false;
                        job.steps.retain(|s| s.id > last);
                        job.since = now;
                    }
                    let key = alloc_key(self.part, &id);
                    let value = alloc.map(|a| serde_json::to_value(a).unwrap_or_default());
                    env.mirror.apply(&key, value.as_ref(), revision);
                    if let Some(record) = record {
                        tracing::info!(job = %id, part = %self.part, state = ?record.state,
                            open_parts = record.parts.len(), "share of job closed");
                        let value = serde_json::to_value(record).unwrap_or_default();
                        env.mirror.apply(&job_key(&id), Some(&value), revision);
                    }
                    self.refresh(&id, env);
                }
                self.dirty = true;
            }
            TxnResult::Conflict(keys) => {
                tracing::info!(part = %self.part, keys = ?keys, "write conflict");
                if keys.contains(&part_key(self.part)) {
                    tracing::info!(part = %self.part, token = %self.token, "the part's key has changed: deposed");
                    self.deposed = true;
                    return;
                }
                for key in keys {
                    self.read_back(&key, env);
                }
            }
            TxnResult::NotDone | TxnResult::NoLease => {
                self.retry_at = env.out.retry_at(150, self.refusals.min(3));
                self.refusals += 1;
            }
            TxnResult::Unknown => {
                tracing::info!(part = %self.part, jobs = flight.jobs.len(), "write without answer: reading back");
                for (id, _, _, record) in flight.jobs {
                    if let Some(job) = self.jobs.get_mut(&id) {
                        job.unsettled = true;
                    }
                    if record.is_some() {
                        self.read_back(&job_key(&id), env);
                    }
                    self.read_back(&alloc_key(self.part, &id), env);
                }
            }
        }
        self.answer_held(env);
        self.flush(env);
    }

    pub(super) fn job_of_key(&self, key: &str) -> Option<JobId> {
        if let Some(job) = key.strip_prefix("job/") {
            return Some(JobId::new(job));
        }
        let rest = key.strip_prefix(&format!("alloc/{}/", self.part))?;
        Some(JobId::new(rest))
    }

    pub(super) fn read_back(&mut self, key: &str, env: &mut Env) {
        if let Some(job) = self.job_of_key(key)
            && let Some(job) = self.jobs.get_mut(&job)
        {
            job.reading = true;
        }
        // Reading what an unanswered write did comes before any new one.
        let tag = Tag::ShardRead(self.part, self.token, key.to_string());
        env.store.get(env.out, tag, key, 1_500);
    }

    pub fn read_done(&mut self, key: &str, result: GetResult, env: &mut Env) {
        match result {
            GetResult::Found(item) => {
                env.mirror.apply(key, Some(&item.value), item.version);
            }
            GetResult::Missing(revision) => {
                env.mirror.apply(key, None, revision);
            }
            GetResult::Failed => {
                // Asked again by the tick.
                return;
            }
        }
        if let Some(id) = self.job_of_key(key) {
            if let Some(job) = self.jobs.get_mut(&id) {
                job.reading = false;
            }
            self.refresh(&id, env);
        }
    }

    /// Asks again, a few times a second, for what could not be read back.
    pub(super) fn read_again(&mut self, env: &mut Env) {
        let now = env.now();
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
            if env.store.may(now, Class::Ends, 0) {
                let key = alloc_key(self.part, &id);
                let tag = Tag::ShardRead(self.part, self.token, key.clone());
                env.store.get(env.out, tag, &key, 1_500);
            }
        }
    }
}
