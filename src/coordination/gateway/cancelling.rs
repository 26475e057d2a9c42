//! Cancellations: by a user, and of jobs that need a cancelled one.

use super::Gateway;
use crate::bookkeeping::mirror::Final;
use crate::bookkeeping::store::{Class, TxnResult};
use crate::coordination::env::{Env, Tag};
use crate::outbox::Response;
use snowshelf_model::ids::{JobId, PartId};
use snowshelf_model::protocol::state::{Change, Txn};
use snowshelf_model::records::{JobState, job_key};
use std::collections::BTreeSet;

/// How often a cancellation that met another write is tried again before the user is asked to.
const CANCEL_TRIES: u32 = 5;
/// How often jobs that need a cancelled one are looked for.
const CASCADE_MS: u64 = 200;
/// How long such a job is left alone after its cancellation met another write.
const CASCADE_AGAIN_MS: u64 = 400;

impl Gateway {
    /// The answer to a cancellation; the job, if its key has changed.
    pub fn cancelled(&mut self, id: u64, result: TxnResult, env: &mut Env) -> Option<JobId> {
        let cancel = self.cancels.remove(&id)?;
        match result {
            TxnResult::Done(revision) => {
                tracing::info!(job = %cancel.job, "cancelled");
                env.mirror
                    .apply(&job_key(&cancel.job), Some(&cancel.next), revision);
                let end = Final {
                    state: JobState::Cancelled,
                    tasks: 0,
                    ended: None,
                    run: false,
                };
                self.tell_final(cancel.conn, &cancel.job, end, cancel.why, env);
                Some(cancel.job)
            }
            TxnResult::Conflict(_) if cancel.tries < CANCEL_TRIES => {
                self.cancel_tries.insert(cancel.conn, cancel.tries + 1);
                self.read(cancel.conn, &cancel.job, cancel.why, env);
                None
            }
            _ => {
                let later = Response::later(503, "could not be settled yet", 1);
                env.out.respond(cancel.conn, later);
                None
            }
        }
    }

    /// Cancels jobs that need a cancelled one: those whose first part this controller owns, as many
    /// as go into a transaction. Compares levels, not events, so nothing is ever missed.
    pub fn cascade(&mut self, mine: &BTreeSet<PartId>, env: &mut Env) {
        let now = env.now();
        if now.since(self.cascade_at) < CASCADE_MS || !self.cascades.is_empty() {
            return;
        }
        self.cascade_at = now;
        self.left_alone.retain(|_, until| *until > now);
        let most = env.terms.txn_ops.min(env.store.room(now, Class::Accept));
        let mut txn = Txn::default();
        let mut batch = Vec::new();
        self.own_cancels.retain(|job| {
            let known = env.mirror.jobs.get(job);
            known.is_some_and(|v| !v.value.is_final())
        });
        for job in env.graph.doomed.iter().chain(&self.own_cancels) {
            if txn.changes.len() >= most {
                break;
            }
            let Some(v) = env.mirror.jobs.get(job) else {
                continue;
            };
            let own = self.own_cancels.contains(job) && v.value.run;
            let ours = own || v.value.parts.first().is_some_and(|p| mine.contains(p));
            if v.value.is_final() || !ours || self.left_alone.contains_key(job) {
                continue;
            }
            let Some(value) = env.job_value(&env.cancelled(&v.value)) else {
                continue;
            };
            let change = Change::write(job_key(job), &value);
            txn = txn.when(job_key(job), v.version).then(change);
            batch.push((job.clone(), value));
        }
        if batch.is_empty() || !env.store.may(now, Class::Accept, txn.changes.len()) {
            return;
        }
        self.next += 1;
        self.cascades.insert(self.next, batch);
        env.store.txn(env.out, Tag::Cascade(self.next), &txn);
    }

    /// The answer to a cascade; the jobs whose keys have changed.
    pub fn cascaded(&mut self, id: u64, result: TxnResult, env: &mut Env) -> Vec<JobId> {
        let batch = self.cascades.remove(&id).unwrap_or_default();
        let again = env.now().plus(CASCADE_AGAIN_MS);
        match result {
            TxnResult::Done(revision) => {
                for (job, value) in &batch {
                    tracing::info!(job = %job, "cancelled, as a job that it needs is, or its run says");
                    env.mirror.apply(&job_key(job), Some(value), revision);
                }
                return batch.into_iter().map(|(job, _)| job).collect();
            }
            TxnResult::Conflict(keys) => {
                for (job, _) in batch {
                    let key = job_key(&job);
                    if keys.contains(&key) {
                        env.store
                            .get(env.out, Tag::Needed(None, job.clone()), &key, 1_500);
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
