//! The state of a startup read, and the slots of requests.

use crate::coordination::context::Context;
use snowshelf_model::ids::{JobId, MonotonicMillis, Version};
use snowshelf_model::records::JOB_PREFIX;
use snowshelf_reconciliation::startup_read::{CoveredRange, ReadPlan, ReadRequest};
use std::collections::BTreeSet;

/// A startup read underway.
#[derive(Default)]
pub(super) struct StartupRead {
    pub(super) plan: ReadPlan,
    /// Keys that were cached when the first page came and that no page has covered yet.
    pub(super) unconfirmed: BTreeSet<String>,
    /// The list request in flight.
    pub(super) request: Option<ReadRequest>,
    /// The revision up to which the watch has been followed, once the first page has said from where. Unused
    /// once everything open is cached.
    pub(super) watched_to: Option<Version>,
    /// When the watch began.
    pub(super) watching_since: Option<MonotonicMillis>,
    /// Everything open is cached; finished jobs are still read.
    pub(super) open_loaded: bool,
    /// Keys that have been listed.
    pub(super) keys_listed: u64,
    /// When the request for the first page was sent.
    pub(super) first_sent_at: MonotonicMillis,
}

/// Whether a request may be sent: at most one of its kind is in flight, and failures delay the next one.
#[derive(Default)]
pub(super) struct RequestSlot {
    pub(super) in_flight: bool,
    pub(super) next_at: MonotonicMillis,
    pub(super) failures: u32,
}

impl RequestSlot {
    pub(super) fn is_free(&self, now: MonotonicMillis) -> bool {
        !self.in_flight && now >= self.next_at
    }

    pub(super) fn fail(&mut self, next_at: MonotonicMillis) {
        self.next_at = next_at;
        self.failures += 1;
    }
}

impl StartupRead {
    /// A key's newest state has been applied: if it is a job's, the job need not be looked for.
    pub(super) fn mark_read(&mut self, key: &str) {
        if let Some(job) = key.strip_prefix(JOB_PREFIX) {
            self.plan.mark_read(&JobId::new(job));
        }
    }

    /// Removes the unconfirmed keys in a range that has been listed: they have been deleted.
    pub(super) fn take_unconfirmed(&mut self, covered: &CoveredRange) -> Vec<String> {
        let deleted: Vec<String> = self
            .unconfirmed
            .range(covered.after.clone()..)
            .take_while(|key| covered.last.as_ref().is_none_or(|last| *key <= last))
            .filter(|key| covered.contains(key))
            .cloned()
            .collect();
        for key in &deleted {
            self.unconfirmed.remove(key);
        }
        deleted
    }

    /// Once no job is missing: requires those that have become known to be needed meanwhile.
    pub(super) fn require_jobs(&mut self, context: &Context<'_>) {
        self.plan
            .require_jobs(context.records.missing_jobs().iter());
        // Jobs cached before may have changed while the watch was interrupted.
        let unconfirmed = self.unconfirmed.iter();
        let jobs = unconfirmed.filter_map(|key| key.strip_prefix(JOB_PREFIX));
        let jobs: Vec<JobId> = jobs.map(JobId::new).collect();
        self.plan.require_jobs(jobs.iter());
        if context.records.has_open_runs() {
            self.plan.require_finished_jobs();
        }
        self.plan.end_jobs_if_none_missing();
    }
}
