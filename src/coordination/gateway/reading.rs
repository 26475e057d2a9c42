//! Polls and other questions about one job.

use super::{Cancel, Gateway};
use crate::bookkeeping::mirror::Final;
use crate::bookkeeping::store::{Class, GetResult, TxnResult};
use crate::coordination::env::{Env, ReadFor, Tag};
use crate::outbox::Response;
use serde::Deserialize;
use snowshelf_horizon::renewal::known;
use snowshelf_model::ids::{ConnId, JobId, Millis};
use snowshelf_model::protocol::state::{Change, Txn};
use snowshelf_model::protocol::user;
use snowshelf_model::records::{JobRecord, JobState, job_key};
use std::collections::BTreeSet;
use std::rc::Rc;

/// How long polls gather to share a request, and how long its answer may take.
const POLLS_GATHER_MS: u64 = 25;
const POLLS_MS: u64 = 1_500;

/// Why a job that needs others is not told of.
pub(super) const UNKNOWN_NEEDS: &str = "not known yet what became of the jobs that it needs";

/// Whether this controller knows what users were told, but for the last moments.
pub(super) fn knows_confirmed(env: &Env) -> bool {
    let answering_ms = env.cfg.settings.answering_ms();
    known(env.horizon, env.now(), answering_ms)
}

impl Gateway {
    pub fn read(&mut self, conn: ConnId, job: &JobId, why: ReadFor, env: &mut Env) {
        if let Some(end) = env.mirror.final_of(job) {
            self.tell_final(conn, job, end, why, env);
            return;
        }
        if matches!(why, ReadFor::Poll)
            && env.mirror.jobs.contains_key(job)
            && !env.graph.doomed.contains(job)
        {
            if self.polls.is_empty() {
                self.polls_since = env.now();
            }
            self.polls.push((conn, job.clone()));
            return;
        }
        self.read_alone(conn, job, why, env);
    }

    /// Reads one job's key.
    pub(super) fn read_alone(&mut self, conn: ConnId, job: &JobId, why: ReadFor, env: &mut Env) {
        let class = match why {
            ReadFor::Poll => Class::Reads,
            ReadFor::Resubmit | ReadFor::Refuse(_) | ReadFor::Malformed(_) | ReadFor::Cancel => {
                Class::Accept
            }
        };
        if !env.store.may(env.now(), class, 0) {
            let later = Response::later(503, "too many requests", 1);
            env.out.respond(conn, later);
            return;
        }
        let tag = Tag::Read(conn, job.clone(), why);
        env.store.get(env.out, tag, &job_key(job), 1_500);
    }

    /// Asks for the gathered polls, in one request for as many as it may compare, whether the mirror
    /// is behind: what nobody has changed since may be told from it.
    pub fn flush_polls(&mut self, env: &mut Env) {
        let now = env.now();
        let most = 4 * env.terms.txn_ops;
        while !self.polls.is_empty()
            && (now.since(self.polls_since) >= POLLS_GATHER_MS || self.polls.len() >= most)
        {
            let batch: Vec<(ConnId, JobId)> =
                self.polls.drain(..most.min(self.polls.len())).collect();
            if !env.store.may(now, Class::Reads, 0) {
                for (conn, _) in batch {
                    let later = Response::later(503, "too many requests", 1);
                    env.out.respond(conn, later);
                }
                continue;
            }
            let jobs: BTreeSet<&JobId> = batch.iter().map(|(_, job)| job).collect();
            let txn = jobs.into_iter().fold(Txn::default(), |txn, job| {
                let known = env.mirror.jobs.get(job).map(|v| v.version);
                txn.when(job_key(job), known.unwrap_or_default())
            });
            self.next += 1;
            self.polled.insert(self.next, batch);
            let tag = Tag::Polls(self.next);
            env.store.compare(env.out, tag, &txn, POLLS_MS);
        }
    }

    /// The answer to a comparison for polls.
    pub fn polls_done(&mut self, id: u64, result: TxnResult, env: &mut Env) {
        let batch = self.polled.remove(&id).unwrap_or_default();
        match result {
            TxnResult::Done(_) => {
                for (conn, job) in batch {
                    match (env.mirror.final_of(&job), env.mirror.jobs.get(&job)) {
                        (Some(end), _) => self.tell_final(conn, &job, end, ReadFor::Poll, env),
                        (None, Some(v)) => {
                            let record = v.value.clone();
                            self.tell_open(conn, &job, &record, ReadFor::Poll, env);
                        }
                        (None, None) => self.read_alone(conn, &job, ReadFor::Poll, env),
                    }
                }
            }
            TxnResult::Conflict(keys) => {
                for (conn, job) in batch {
                    if keys.contains(&job_key(&job)) {
                        self.read_alone(conn, &job, ReadFor::Poll, env);
                    } else {
                        // Compared once more, without those that have changed.
                        self.polls_since = Millis(0);
                        self.polls.push((conn, job));
                    }
                }
            }
            _ => {
                for (conn, _) in batch {
                    let later = Response::later(503, "the state service did not answer", 1);
                    env.out.respond(conn, later);
                }
            }
        }
    }

    /// Tells the state of a job that has not ended.
    pub(super) fn tell_open(
        &mut self,
        conn: ConnId,
        job: &JobId,
        record: &JobRecord,
        why: ReadFor,
        env: &mut Env,
    ) {
        // Guards against calling a job open whose need another controller has confirmed as cancelled over
        // `cancel_s` ago, while this one could not learn it.
        let waits = !record.needs.is_empty() || record.needs_pieces > 0;
        if waits && !knows_confirmed(env) {
            let later = Response::later(503, UNKNOWN_NEEDS, 1);
            env.out.respond(conn, later);
            return;
        }
        let (done, running) = env.mirror.counts(job, &record.parts, record.tasks);
        let word = user::state_word(record.state, running);
        let body = match why {
            ReadFor::Poll => user::full(job, word, done, running),
            _ => user::brief(job, word),
        };
        env.out.respond(conn, Response::new(200, body));
    }

    pub(super) fn tell_final(
        &mut self,
        conn: ConnId,
        job: &JobId,
        end: Final,
        why: ReadFor,
        env: &mut Env,
    ) {
        if end.state == JobState::Cancelled {
            self.confirmed.tell(job, env.now());
        }
        let word = user::state_word(end.state, 0);
        let body = match why {
            ReadFor::Poll => {
                let done = if end.state == JobState::Done {
                    end.tasks
                } else {
                    0
                };
                user::full(job, word, done, 0)
            }
            ReadFor::Resubmit | ReadFor::Refuse(_) | ReadFor::Malformed(_) | ReadFor::Cancel => {
                user::brief(job, word)
            }
        };
        self.cancel_tries.remove(&conn);
        env.out.respond(conn, Response::new(200, body));
    }

    pub fn read_done(
        &mut self,
        conn: ConnId,
        job: &JobId,
        why: ReadFor,
        result: GetResult,
        env: &mut Env,
    ) {
        let read = match result {
            GetResult::Found(item) => {
                let Ok(record) = JobRecord::deserialize(&item.value) else {
                    let later = Response::later(503, "the job's record cannot be read", 5);
                    env.out.respond(conn, later);
                    return;
                };
                env.mirror.apply(&item.key, Some(&item.value), item.version);
                Some((Rc::new(record), item.version))
            }
            GetResult::Missing(_) => None,
            GetResult::Failed => {
                self.cancel_tries.remove(&conn);
                let later = Response::later(503, "the state service did not answer", 1);
                env.out.respond(conn, later);
                return;
            }
        };
        // Guards against an answer that was underway while the job was accepted or ended, and its user told so here:
        // what is known here goes first where it is newer.
        let ended = env.mirror.final_of(job);
        let ended = ended.or_else(|| {
            read.as_ref()
                .filter(|r| r.0.is_final())
                .map(|r| Final::of(&r.0))
        });
        if let Some(end) = ended {
            self.tell_final(conn, job, end, why, env);
            return;
        }
        let known = env
            .mirror
            .jobs
            .get(job)
            .map(|v| (v.value.clone(), v.version));
        let newest = read
            .into_iter()
            .chain(known)
            .max_by_key(|(_, version)| *version);
        let Some((record, version)) = newest else {
            self.cancel_tries.remove(&conn);
            let refused = match why {
                ReadFor::Refuse(why) => Response::error(422, why),
                ReadFor::Malformed(why) => Response::error(400, &why.to_string()),
                _ => Response::error(404, "no such job"),
            };
            env.out.respond(conn, refused);
            return;
        };
        // Whoever asks for a job that needs a cancelled one is not told that it waits: it is
        // cancelled first.
        let doomed = env.graph.doomed.contains(job);
        match why {
            ReadFor::Poll | ReadFor::Resubmit | ReadFor::Refuse(_) | ReadFor::Malformed(_)
                if !doomed =>
            {
                self.tell_open(conn, job, &record, why, env);
            }
            _ => {
                let next = env.job_value(&env.cancelled(&record));
                let may = env.store.may(env.now(), Class::Accept, 1);
                let Some(next) = next.filter(|_| may) else {
                    let later = Response::later(503, "too many requests", 1);
                    env.out.respond(conn, later);
                    return;
                };
                self.next += 1;
                let tries = self.cancel_tries.remove(&conn).unwrap_or(0);
                let txn = Txn::default()
                    .when(job_key(job), version)
                    .then(Change::write(job_key(job), &next));
                let cancel = Cancel {
                    conn,
                    job: job.clone(),
                    next,
                    why,
                    tries,
                };
                self.cancels.insert(self.next, cancel);
                env.store.txn(env.out, Tag::Cancel(self.next), &txn);
            }
        }
    }
}
