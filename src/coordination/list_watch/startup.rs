//! The state of a startup read, and the request slots of the list-and-watch.

use crate::coordination::context::Context;
use snowshelf_model::ids::{JobId, MonotonicMillis, Version};
use snowshelf_model::records::JOB_PREFIX;
use snowshelf_reconciliation::startup_read::{CoveredRange, ReadPlan, ReadRequest};
use std::collections::BTreeSet;

/// A startup read in progress.
#[derive(Default)]
pub(super) struct StartupRead {
    pub(super) plan: ReadPlan,
    /// Keys that were cached when the first page arrived and that no page has covered yet.
    pub(super) unconfirmed: BTreeSet<String>,
    /// The list request in flight.
    pub(super) request: Option<ReadRequest>,
    /// The revision up to which the watch has been followed; `None` before the first page. Unused once all open jobs
    /// are cached.
    pub(super) watched_to: Option<Version>,
    /// When the first page arrived, from whose revision the watch is followed.
    pub(super) watching_since: Option<MonotonicMillis>,
    /// Whether all open jobs are cached and only finished jobs are still being read.
    pub(super) open_loaded: bool,
    /// Number of keys listed so far.
    pub(super) keys_listed: u64,
    /// When the request for the first page was sent.
    pub(super) first_sent_at: MonotonicMillis,
}

/// Limits requests of one kind to one in flight, and delays the next one after failures.
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
    /// Notes that the newest state of a key has been applied. If it is a job's key, the read no longer looks for the
    /// job.
    pub(super) fn mark_read(&mut self, key: &str) {
        if let Some(job) = key.strip_prefix(JOB_PREFIX) {
            self.plan.mark_read(&JobId::new(job));
        }
    }

    /// Takes the unconfirmed keys in the range of a page out of `unconfirmed` and returns them. As the page
    /// does not list them, their records have been deleted from the store.
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

    /// Requires the jobs that have become known to be needed during the read. Called once no required job is missing.
    pub(super) fn require_jobs(&mut self, context: &Context<'_>) {
        self.plan
            .require_jobs(context.records.missing_jobs().iter());
        // Jobs that were cached before the read may have changed while the watch was interrupted.
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
