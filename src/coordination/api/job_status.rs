//! Polls and other questions about one job.

use super::{Cancel, JobApi, JobApiRequest, JobReadPurpose};
use crate::coordination::context::{Context, KvRequest};
use crate::effects::Response;
use crate::storage::kv_client::{GetOutcome, RequestPriority, SwapOutcome};
use crate::storage::record_cache::{FinishedJob, TaskCounts};
use serde::Deserialize;
use snowshelf_model::ids::{ConnectionId, JobId, MonotonicMillis};
use snowshelf_model::protocol::state::{CompareAndSwap, Mutation};
use snowshelf_model::protocol::user;
use snowshelf_model::records::{JobRecord, JobState, job_key};
use snowshelf_watermark::renewal::is_covered;
use std::collections::BTreeSet;
use std::rc::Rc;

/// How long polls gather to share a request, and how long its answer may take.
const POLLS_GATHER_MS: u64 = 25;
const POLLS_MS: u64 = 1_500;

/// Why a job that needs others is not told of.
pub(super) const UNKNOWN_DEPENDENCIES: &str = "not known yet what became of the jobs that it needs";

/// Whether this controller knows what users were told, but for the last moments.
pub(super) fn knows_confirmed(context: &Context) -> bool {
    let answering_ms = context.config.settings.answering_ms();
    is_covered(context.watermark, context.now(), answering_ms)
}

impl JobApi {
    pub fn read(
        &mut self,
        conn: ConnectionId,
        job: &JobId,
        why: JobReadPurpose,
        context: &mut Context,
    ) {
        if let Some(end) = context.records.finished_job(job) {
            self.tell_final(conn, job, end, why, context);
            return;
        }
        if matches!(why, JobReadPurpose::Poll)
            && context.records.jobs.contains_key(job)
            && !context.dependency_graph.doomed.contains(job)
        {
            if self.polls.is_empty() {
                self.polls_since = context.now();
            }
            self.polls.push((conn, job.clone()));
            return;
        }
        self.read_alone(conn, job, why, context);
    }

    /// Reads one job's key.
    pub(super) fn read_alone(
        &mut self,
        conn: ConnectionId,
        job: &JobId,
        why: JobReadPurpose,
        context: &mut Context,
    ) {
        let class = match why {
            JobReadPurpose::Poll => RequestPriority::Reads,
            JobReadPurpose::Resubmit
            | JobReadPurpose::Refuse(_)
            | JobReadPurpose::Malformed(_)
            | JobReadPurpose::Cancel => RequestPriority::Admission,
        };
        if !context.kv.has_budget(context.now(), class, 0) {
            let later = Response::later(503, "too many requests", 1);
            context.effects.respond(conn, later);
            return;
        }
        let tag = KvRequest::JobApi(JobApiRequest::Read {
            connection: conn,
            job: job.clone(),
            purpose: why,
        });
        context.kv.get(context.effects, tag, &job_key(job), 1_500);
    }

    /// Asks for the gathered polls, in one request for as many as it may compare, whether the mirror
    /// is behind: what nobody has changed since may be told from it.
    pub fn flush_polls(&mut self, context: &mut Context) {
        let now = context.now();
        let most = 4 * context.storage_limits.txn_ops;
        while !self.polls.is_empty()
            && (now.since(self.polls_since) >= POLLS_GATHER_MS || self.polls.len() >= most)
        {
            let batch: Vec<(ConnectionId, JobId)> =
                self.polls.drain(..most.min(self.polls.len())).collect();
            if !context.kv.has_budget(now, RequestPriority::Reads, 0) {
                for (conn, _) in batch {
                    let later = Response::later(503, "too many requests", 1);
                    context.effects.respond(conn, later);
                }
                continue;
            }
            let jobs: BTreeSet<&JobId> = batch.iter().map(|(_, job)| job).collect();
            let swap = jobs
                .into_iter()
                .fold(CompareAndSwap::default(), |swap, job| {
                    let known = context.records.jobs.get(job).map(|v| v.version);
                    swap.compare(job_key(job), known.unwrap_or_default())
                });
            self.next += 1;
            self.polled.insert(self.next, batch);
            let tag = KvRequest::JobApi(JobApiRequest::CheckPolls(self.next));
            context
                .kv
                .check_versions(context.effects, tag, &swap, POLLS_MS);
        }
    }

    /// The answer to a comparison for polls.
    pub fn polls_done(&mut self, id: u64, result: SwapOutcome, context: &mut Context) {
        let batch = self.polled.remove(&id).unwrap_or_default();
        match result {
            SwapOutcome::Applied(_) => {
                for (conn, job) in batch {
                    match (
                        context.records.finished_job(&job),
                        context.records.jobs.get(&job),
                    ) {
                        (Some(end), _) => {
                            self.tell_final(conn, &job, end, JobReadPurpose::Poll, context)
                        }
                        (None, Some(v)) => {
                            let record = v.value.clone();
                            self.tell_open(conn, &job, &record, JobReadPurpose::Poll, context);
                        }
                        (None, None) => self.read_alone(conn, &job, JobReadPurpose::Poll, context),
                    }
                }
            }
            SwapOutcome::Conflict(keys) => {
                for (conn, job) in batch {
                    if keys.contains(&job_key(&job)) {
                        self.read_alone(conn, &job, JobReadPurpose::Poll, context);
                    } else {
                        // Compared once more, without those that have changed.
                        self.polls_since = MonotonicMillis(0);
                        self.polls.push((conn, job));
                    }
                }
            }
            _ => {
                for (conn, _) in batch {
                    let later = Response::later(503, "the state service did not answer", 1);
                    context.effects.respond(conn, later);
                }
            }
        }
    }

    /// Tells the state of a job that has not ended.
    pub(super) fn tell_open(
        &mut self,
        conn: ConnectionId,
        job: &JobId,
        record: &JobRecord,
        why: JobReadPurpose,
        context: &mut Context,
    ) {
        // Guards against calling a job open whose need another controller has confirmed as cancelled over
        // `cancel_s` ago, while this one could not learn it.
        let waits = !record.dependencies.is_empty() || record.dependency_chunks > 0;
        if waits && !knows_confirmed(context) {
            let later = Response::later(503, UNKNOWN_DEPENDENCIES, 1);
            context.effects.respond(conn, later);
            return;
        }
        let TaskCounts { finished, running } =
            context
                .records
                .task_counts(job, &record.shards, record.tasks);
        let word = user::job_state_label(record.state, running);
        let body = match why {
            JobReadPurpose::Poll => user::job_status_body(job, word, finished, running),
            _ => user::job_state_body(job, word),
        };
        context.effects.respond(conn, Response::new(200, body));
    }

    pub(super) fn tell_final(
        &mut self,
        conn: ConnectionId,
        job: &JobId,
        end: FinishedJob,
        why: JobReadPurpose,
        context: &mut Context,
    ) {
        if end.state == JobState::Cancelled {
            self.confirmed.record(job, context.now());
        }
        let word = user::job_state_label(end.state, 0);
        let body = match why {
            JobReadPurpose::Poll => {
                let done = if end.state == JobState::Done {
                    end.tasks
                } else {
                    0
                };
                user::job_status_body(job, word, done, 0)
            }
            JobReadPurpose::Resubmit
            | JobReadPurpose::Refuse(_)
            | JobReadPurpose::Malformed(_)
            | JobReadPurpose::Cancel => user::job_state_body(job, word),
        };
        self.cancel_tries.remove(&conn);
        context.effects.respond(conn, Response::new(200, body));
    }

    pub fn read_done(
        &mut self,
        conn: ConnectionId,
        job: &JobId,
        why: JobReadPurpose,
        result: GetOutcome,
        context: &mut Context,
    ) {
        let read = match result {
            GetOutcome::Found(item) => {
                let Ok(record) = JobRecord::deserialize(&item.value) else {
                    let later = Response::later(503, "the job's record cannot be read", 5);
                    context.effects.respond(conn, later);
                    return;
                };
                context
                    .records
                    .apply(&item.key, Some(&item.value), item.version);
                Some((Rc::new(record), item.version))
            }
            GetOutcome::NotFound(_) => None,
            GetOutcome::Failed => {
                self.cancel_tries.remove(&conn);
                let later = Response::later(503, "the state service did not answer", 1);
                context.effects.respond(conn, later);
                return;
            }
        };
        // Guards against an answer that was underway while the job was accepted or ended, and its user told so here:
        // what is known here goes first where it is newer.
        let ended = context.records.finished_job(job);
        let ended = ended.or_else(|| {
            read.as_ref()
                .filter(|r| r.0.is_final())
                .map(|r| FinishedJob::from(&*r.0))
        });
        if let Some(end) = ended {
            self.tell_final(conn, job, end, why, context);
            return;
        }
        let known = context
            .records
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
                JobReadPurpose::Refuse(why) => Response::error(422, why),
                JobReadPurpose::Malformed(why) => Response::error(400, &why.to_string()),
                _ => Response::error(404, "no such job"),
            };
            context.effects.respond(conn, refused);
            return;
        };
        // Whoever asks for a job that needs a cancelled one is not told that it waits: it is
        // cancelled first.
        let doomed = context.dependency_graph.doomed.contains(job);
        match why {
            JobReadPurpose::Poll
            | JobReadPurpose::Resubmit
            | JobReadPurpose::Refuse(_)
            | JobReadPurpose::Malformed(_)
                if !doomed =>
            {
                self.tell_open(conn, job, &record, why, context);
            }
            _ => {
                let next = context.job_value(&context.cancelled(&record));
                let may = context
                    .kv
                    .has_budget(context.now(), RequestPriority::Admission, 1);
                let Some(next) = next.filter(|_| may) else {
                    let later = Response::later(503, "too many requests", 1);
                    context.effects.respond(conn, later);
                    return;
                };
                self.next += 1;
                let tries = self.cancel_tries.remove(&conn).unwrap_or(0);
                let swap = CompareAndSwap::default()
                    .compare(job_key(job), version)
                    .mutate(Mutation::put(job_key(job), &next));
                let cancel = Cancel {
                    conn,
                    job: job.clone(),
                    next,
                    why,
                    tries,
                };
                self.cancels.insert(self.next, cancel);
                context.kv.compare_and_swap(
                    context.effects,
                    KvRequest::JobApi(JobApiRequest::Cancel(self.next)),
                    &swap,
                );
            }
        }
    }
}
