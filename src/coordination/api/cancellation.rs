//! Cancellations: by a user, and of jobs that need a cancelled one.

use super::{JobApi, JobApiRequest};
use crate::coordination::context::{Context, KvRequest};
use crate::effects::Response;
use crate::storage::kv_client::{RequestPriority, SwapOutcome};
use crate::storage::record_cache::FinishedJob;
use snowshelf_model::ids::{JobId, ShardId};
use snowshelf_model::protocol::state::{CompareAndSwap, Mutation};
use snowshelf_model::records::{JobState, job_key};
use std::collections::BTreeSet;

/// How often a cancellation that met another write is tried again before the user is asked to.
const CANCEL_TRIES: u32 = 5;
/// How often jobs that need a cancelled one are looked for.
const CASCADE_MS: u64 = 200;
/// How long such a job is left alone after its cancellation met another write.
const CASCADE_AGAIN_MS: u64 = 400;

impl JobApi {
    /// The answer to a cancellation; the job, if its key has changed.
    pub fn cancelled(
        &mut self,
        id: u64,
        result: SwapOutcome,
        context: &mut Context,
    ) -> Option<JobId> {
        let cancel = self.cancels.remove(&id)?;
        match result {
            SwapOutcome::Applied(revision) => {
                tracing::info!(job = %cancel.job, "job cancelled");
                context
                    .records
                    .apply(&job_key(&cancel.job), Some(&cancel.next), revision);
                let end = FinishedJob {
                    state: JobState::Cancelled,
                    tasks: 0,
                    ended: None,
                    run: false,
                };
                self.tell_final(cancel.conn, &cancel.job, end, cancel.why, context);
                Some(cancel.job)
            }
            SwapOutcome::Conflict(_) if cancel.tries < CANCEL_TRIES => {
                self.cancel_tries.insert(cancel.conn, cancel.tries + 1);
                self.read(cancel.conn, &cancel.job, cancel.why, context);
                None
            }
            _ => {
                let later = Response::later(503, "could not be settled yet", 1);
                context.effects.respond(cancel.conn, later);
                None
            }
        }
    }

    /// Cancels jobs that need a cancelled one: those whose first part this controller owns, as many
    /// as go into a transaction. Compares levels, not events, so nothing is ever missed.
    pub fn cascade(&mut self, mine: &BTreeSet<ShardId>, context: &mut Context) {
        let now = context.now();
        if now.since(self.cascade_at) < CASCADE_MS || !self.cascades.is_empty() {
            return;
        }
        self.cascade_at = now;
        self.left_alone.retain(|_, until| *until > now);
        let most = context
            .storage_limits
            .txn_ops
            .min(context.kv.write_budget(now, RequestPriority::Admission));
        let mut swap = CompareAndSwap::default();
        let mut batch = Vec::new();
        self.own_cancels.retain(|job| {
            let known = context.records.jobs.get(job);
            known.is_some_and(|v| !v.value.is_final())
        });
        for job in context
            .dependency_graph
            .doomed
            .iter()
            .chain(&self.own_cancels)
        {
            if swap.mutations.len() >= most {
                break;
            }
            let Some(v) = context.records.jobs.get(job) else {
                continue;
            };
            let own = self.own_cancels.contains(job) && v.value.run;
            let ours = own || v.value.shards.first().is_some_and(|p| mine.contains(p));
            if v.value.is_final() || !ours || self.left_alone.contains_key(job) {
                continue;
            }
            let Some(value) = context.job_value(&context.cancelled(&v.value)) else {
                continue;
            };
            let change = Mutation::put(job_key(job), &value);
            swap = swap.compare(job_key(job), v.version).mutate(change);
            batch.push((job.clone(), value));
        }
        if batch.is_empty()
            || !context
                .kv
                .has_budget(now, RequestPriority::Admission, swap.mutations.len())
        {
            return;
        }
        self.next += 1;
        self.cascades.insert(self.next, batch);
        context.kv.compare_and_swap(
            context.effects,
            KvRequest::JobApi(JobApiRequest::Cascade(self.next)),
            &swap,
        );
    }

    /// The answer to a cascade; the jobs whose keys have changed.
    pub fn cascaded(&mut self, id: u64, result: SwapOutcome, context: &mut Context) -> Vec<JobId> {
        let batch = self.cascades.remove(&id).unwrap_or_default();
        let again = context.now().plus(CASCADE_AGAIN_MS);
        match result {
            SwapOutcome::Applied(revision) => {
                for (job, value) in &batch {
                    tracing::info!(job = %job, "job cancelled: dependency or run cancelled");
                    context.records.apply(&job_key(job), Some(value), revision);
                }
                return batch.into_iter().map(|(job, _)| job).collect();
            }
            SwapOutcome::Conflict(keys) => {
                for (job, _) in batch {
                    let key = job_key(&job);
                    if keys.contains(&key) {
                        context.kv.get(
                            context.effects,
                            KvRequest::JobLookup(job.clone()),
                            &key,
                            1_500,
                        );
                        self.left_alone.insert(job, again);
                    }
                }
            }
            _ => {
                for (job, _) in batch {
                    self.left_alone.insert(job, again);
                }
            }
        }
        Vec::new()
    }
}
