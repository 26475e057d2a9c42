//! Status polls: several share one request, which only checks whether the cached records are current.

use super::{JobApi, JobApiRequest, JobReadPurpose};
use crate::coordination::context::{Context, KvRequest};
use crate::coordination::unavailable::Unavailable;
use crate::storage::kv_client::{RequestPriority, SwapOutcome};
use snowshelf_model::ids::{ConnectionId, JobId, MonotonicMillis};
use snowshelf_model::protocol::state::CompareAndSwap;
use snowshelf_model::records::job_key;
use std::collections::{BTreeSet, HashMap};

/// How long polls are collected to share a request, in milliseconds.
const BATCH_DELAY_MS: u64 = 25;
/// Timeout of a version check, in milliseconds.
const CHECK_TIMEOUT_MS: u64 = 1_500;
/// Maximum version comparisons in one request, as a multiple of the mutations that a transaction allows.
const COMPARISONS_PER_MUTATION: usize = 4;

/// A user's status poll of a job in the record cache.
struct StatusPoll {
    connection: ConnectionId,
    job: JobId,
}

/// Polls that wait for a version check, and polls whose check is in flight.
#[derive(Default)]
pub(super) struct StatusPolls {
    waiting: Vec<StatusPoll>,
    /// When the first poll in `waiting` was queued; 0 if the next batch is due immediately.
    waiting_since: MonotonicMillis,
    in_flight: HashMap<u64, Vec<StatusPoll>>,
}

impl StatusPolls {
    /// Queues a poll.
    pub(super) fn push(&mut self, connection: ConnectionId, job: JobId, now: MonotonicMillis) {
        if self.waiting.is_empty() {
            self.waiting_since = now;
        }
        self.waiting.push(StatusPoll { connection, job });
    }

    /// Queues a poll and makes the next batch due immediately.
    fn push_urgent(&mut self, poll: StatusPoll) {
        self.waiting_since = MonotonicMillis(0);
        self.waiting.push(poll);
    }

    /// Takes the next batch of at most `max_polls` polls, if it is due.
    fn take_batch(&mut self, max_polls: usize, now: MonotonicMillis) -> Option<Vec<StatusPoll>> {
        let is_due = now.since(self.waiting_since) >= BATCH_DELAY_MS;
        if self.waiting.is_empty() || !(is_due || self.waiting.len() >= max_polls) {
            return None;
        }
        let count = max_polls.min(self.waiting.len());
        Some(self.waiting.drain(..count).collect())
    }
}

impl JobApi {
    /// Checks for each batch of collected polls, in one request, whether the cached records are current. A
    /// poll of an unchanged record is answered from the cache.
    pub fn check_polls(&mut self, context: &mut Context<'_>) {
        let now = context.now();
        let max_polls = COMPARISONS_PER_MUTATION * context.storage_limits.txn_ops;
        while let Some(batch) = self.polls.take_batch(max_polls, now) {
            if !context.kv.has_budget(now, RequestPriority::Reads, 0) {
                for poll in batch {
                    let unavailable = Unavailable::RateLimited.into();
                    context.effects.respond(poll.connection, unavailable);
                }
                continue;
            }
            let jobs: BTreeSet<&JobId> = batch.iter().map(|poll| &poll.job).collect();
            let mut comparison = CompareAndSwap::default();
            for job in jobs {
                let cached = context.records.jobs.get(job).map(|v| v.version);
                comparison = comparison.compare(job_key(job), cached.unwrap_or_default());
            }
            let id = self.next_request_id();
            self.polls.in_flight.insert(id, batch);
            let request = KvRequest::JobApi(JobApiRequest::CheckPolls(id));
            context
                .kv
                .check_versions(context.effects, request, &comparison, CHECK_TIMEOUT_MS);
        }
    }

    /// Handles the outcome of a version check for polls.
    pub(super) fn on_polls_checked(
        &mut self,
        id: u64,
        outcome: SwapOutcome,
        context: &mut Context<'_>,
    ) {
        let batch = self.polls.in_flight.remove(&id).unwrap_or_default();
        match outcome {
            SwapOutcome::Applied(_) => {
                for poll in batch {
                    self.respond_from_cache(&poll, context);
                }
            }
            SwapOutcome::Conflict(keys) => {
                for poll in batch {
                    if keys.contains(&job_key(&poll.job)) {
                        let StatusPoll { connection, job } = poll;
                        self.read_record(connection, &job, JobReadPurpose::Poll, context);
                    } else {
                        // Checks the unchanged records again; the conflict failed the whole request.
                        self.polls.push_urgent(poll);
                    }
                }
            }
            SwapOutcome::LeaseExpired
            | SwapOutcome::Rejected
            | SwapOutcome::NotApplied
            | SwapOutcome::Unknown => {
                for poll in batch {
                    let unavailable = Unavailable::StoreNotResponding.into();
                    context.effects.respond(poll.connection, unavailable);
                }
            }
        }
    }

    /// Responds to a poll whose cached record is known to be current.
    fn respond_from_cache(&mut self, poll: &StatusPoll, context: &mut Context<'_>) {
        let StatusPoll { connection, job } = poll;
        let purpose = JobReadPurpose::Poll;
        if let Some(end) = context.records.finished_job(job) {
            self.respond_final(*connection, job, end, purpose, context);
        } else if let Some(cached) = context.records.jobs.get(job).cloned() {
            self.respond_open(*connection, job, &cached.value, purpose, context);
        } else {
            self.read_record(*connection, job, purpose, context);
        }
    }
}
