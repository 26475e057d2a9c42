//! The plan of a startup read: which keys it lists, in an order that lets shards be served before all
//! records have been read.
//!
//! The allocations (`alloc/<shard>/<job>`) are an index of the open jobs. Every open job has at least one,
//! as the last shard of a job removes its allocation and ends the job in one compare-and-swap. Records
//! under `job/` are never deleted; a startup read needs only the jobs that allocations name, and their
//! dependencies. It finds them in recent changes and in pages that begin at the next missing job. Thus
//! neither requests nor bytes grow with the number of finished jobs.

use snowshelf_model::ids::JobId;
use snowshelf_model::records::{JOB_PREFIX, SHARD_PREFIX, job_key};
use std::collections::BTreeSet;

/// Most keys in one page of the key-value store.
const MAX_PAGE_KEYS: u32 = 1_000;
/// Fewest keys requested in a page when missing jobs are far apart.
const MIN_PAGE_KEYS: u32 = 8;
/// Number of revisions for which recent changes are requested first. The store retains 10,000 events, and a
/// revision can have several events.
const RECENT_REVISIONS: u64 = 8_000;
/// Number of revisions requested once the store no longer retains [`RECENT_REVISIONS`].
const REDUCED_RECENT_REVISIONS: u64 = 1_500;

/// A bound that sorts after all keys of jobs and before all keys that follow them.
const AFTER_JOBS: &str = "job0";

/// The stage of a startup read.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Default)]
pub enum Stage {
    /// The leader of each shard: suffices to acquire shards and to respond to workers.
    #[default]
    ShardLeaders,
    /// All keys before those of jobs: allocations, the version of the calendar, the record format.
    Allocations,
    /// All keys after those of jobs: quotas, members, machine types, reservations, runs.
    KeysAfterJobs,
    /// The jobs that allocations name, and their dependencies.
    Jobs,
    /// All other jobs, if [`ReadPlan::require_finished_jobs`] was called.
    FinishedJobs,
    /// All required records have been read.
    Complete,
}

/// The next request of a startup read.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum ReadRequest {
    /// A page of keys.
    List {
        /// Only keys with this prefix.
        prefix: &'static str,
        /// Only keys that sort after this one.
        after: String,
        /// Most keys in the page.
        limit: u32,
    },
    /// The changes of jobs before the revision at which the watch begins.
    RecentChanges {
        /// Number of revisions, counted back from that one.
        revisions: u64,
    },
}

/// The range of keys that a page covers: a key in it that the page lacks does not exist.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct CoveredRange {
    /// The prefix of all keys of the range.
    pub prefix: &'static str,
    /// The range begins after this key.
    pub after: String,
    /// The last key of the range; `None` if the range has no upper bound.
    pub last: Option<String>,
}

impl CoveredRange {
    /// Whether the range contains a key.
    #[must_use]
    pub fn contains(&self, key: &str) -> bool {
        key.starts_with(self.prefix)
            && key > self.after.as_str()
            && self.last.as_deref().is_none_or(|last| key <= last)
    }
}

/// Plans a startup read: tracks which keys have been read and determines the next request.
#[derive(Debug)]
pub struct ReadPlan {
    stage: Stage,
    /// The last key of the newest page of the current stage.
    after: String,
    /// Consecutive pages have covered all keys of jobs up to this one.
    jobs_covered_to: String,
    /// Required jobs that have not been read.
    missing: BTreeSet<JobId>,
    /// Jobs that have been read or do not exist.
    resolved: BTreeSet<JobId>,
    /// Limit of keys in the next page of jobs.
    page_keys: u32,
    /// Number of revisions in the next request for recent changes; `None` once no such request is due.
    recent_revisions: Option<u64>,
    finished_jobs_required: bool,
    /// Whether a page has been read in [`Stage::Jobs`].
    jobs_page_seen: bool,
}

impl Default for ReadPlan {
    fn default() -> ReadPlan {
        ReadPlan {
            stage: Stage::ShardLeaders,
            after: String::new(),
            jobs_covered_to: JOB_PREFIX.to_string(),
            missing: BTreeSet::new(),
            resolved: BTreeSet::new(),
            page_keys: MAX_PAGE_KEYS,
            recent_revisions: Some(RECENT_REVISIONS),
            finished_jobs_required: false,
            jobs_page_seen: false,
        }
    }
}

/// A key that sorts before `key` and after every key of a job that is less than `key`.
fn key_before(key: &str) -> String {
    let mut bytes = key.as_bytes().to_vec();
    // Ids of jobs end with a digit. Decrementing the last byte leaves only keys with the same prefix between.
    match bytes.pop() {
        Some(last) if last.is_ascii_graphic() && last > b'!' => {
            bytes.push(last - 1);
            bytes.push(b'~');
            String::from_utf8(bytes).unwrap_or_else(|_| JOB_PREFIX.to_string())
        }
        _ => JOB_PREFIX.to_string(),
    }
}

fn list_request(prefix: &'static str, after: &str, limit: u32) -> ReadRequest {
    ReadRequest::List {
        prefix,
        after: after.to_string(),
        limit,
    }
}

impl ReadPlan {
    /// The current stage.
    #[must_use]
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// Number of required jobs that have not been read.
    #[must_use]
    pub fn missing_jobs(&self) -> usize {
        self.missing.len()
    }

    /// Adds jobs that must be read before the read is complete. Jobs that have already been read are ignored.
    pub fn require_jobs<'a>(&mut self, jobs: impl Iterator<Item = &'a JobId>) {
        for job in jobs.filter(|job| !self.resolved.contains(*job)) {
            self.missing.insert(job.clone());
        }
        self.resolve_if_all_listed();
    }

    /// Requires that finished jobs are read as well, after all other records.
    pub fn require_finished_jobs(&mut self) {
        self.finished_jobs_required = true;
    }

    /// Marks a job as read whose record arrived by other means than a page.
    pub fn mark_read(&mut self, job: &JobId) {
        self.missing.remove(job);
        self.resolved.insert(job.clone());
        self.resolve_if_all_listed();
    }

    /// The next request. `None` once the read is complete, and in [`Stage::Jobs`] while no required job is
    /// missing and [`ReadPlan::end_jobs_if_none_missing`] has not been called.
    #[must_use]
    pub fn next_request(&self) -> Option<ReadRequest> {
        match self.stage {
            Stage::ShardLeaders => Some(list_request(SHARD_PREFIX, &self.after, MAX_PAGE_KEYS)),
            Stage::Allocations | Stage::KeysAfterJobs => {
                Some(list_request("", &self.after, MAX_PAGE_KEYS))
            }
            Stage::Jobs => {
                let job = self.missing.first()?;
                Some(match self.recent_revisions {
                    // Only after a first page: the jobs of most deployments fit into a few pages, so that
                    // one may suffice.
                    Some(revisions) if self.jobs_page_seen => {
                        ReadRequest::RecentChanges { revisions }
                    }
                    _ => list_request("", &key_before(&job_key(job)), self.page_keys),
                })
            }
            Stage::FinishedJobs => Some(list_request("", &self.jobs_covered_to, MAX_PAGE_KEYS)),
            Stage::Complete => None,
        }
    }

    /// Processes the page read for `request`: its keys, and whether more keys follow it. Returns the range
    /// that the page covers, or `None` if `request` was not for a page.
    pub fn on_page<'a>(
        &mut self,
        request: &ReadRequest,
        keys: impl Iterator<Item = &'a str>,
        more: bool,
    ) -> Option<CoveredRange> {
        let ReadRequest::List { prefix, after, .. } = request else {
            return None;
        };
        let covered = CoveredRange {
            prefix,
            after: after.clone(),
            // A page without keys has no last key to continue from. It counts as unbounded even if `more` is
            // set, or the same page would be requested forever.
            last: keys.last().filter(|_| more).map(str::to_string),
        };
        let resolved = self.resolve_covered(&covered);
        self.extend_covered_jobs(&covered);
        self.advance(covered.last.as_deref(), resolved);
        Some(covered)
    }

    /// Marks the missing jobs in a listed range as resolved and returns their number.
    fn resolve_covered(&mut self, covered: &CoveredRange) -> usize {
        let resolved: Vec<JobId> = self
            .missing
            .iter()
            .filter(|job| covered.contains(&job_key(job)))
            .cloned()
            .collect();
        for job in &resolved {
            self.missing.remove(job);
            self.resolved.insert(job.clone());
        }
        resolved.len()
    }

    /// Advances `jobs_covered_to` if the range continues the pages before it.
    fn extend_covered_jobs(&mut self, covered: &CoveredRange) {
        if covered.prefix.is_empty() && covered.after <= self.jobs_covered_to {
            let last = covered.last.as_deref().unwrap_or(AFTER_JOBS);
            if last > self.jobs_covered_to.as_str() {
                self.jobs_covered_to = last.to_string();
            }
        }
    }

    /// Proceeds to the next page or stage. `last` is the last key of the page (`None`: no keys follow), and
    /// `resolved` the number of missing jobs that it has resolved.
    fn advance(&mut self, last: Option<&str>, resolved: usize) {
        match self.stage {
            Stage::ShardLeaders if last.is_none() => {
                self.stage = Stage::Allocations;
                self.after = String::new();
            }
            Stage::Allocations if last.is_none() => {
                // No keys of jobs or after them exist.
                self.stage = Stage::Jobs;
                self.resolve_if_all_listed();
            }
            Stage::Allocations if last.is_some_and(|last| last >= JOB_PREFIX) => {
                self.stage = Stage::KeysAfterJobs;
                let beyond = last.filter(|last| *last >= AFTER_JOBS);
                self.after = beyond.unwrap_or(AFTER_JOBS).to_string();
            }
            Stage::KeysAfterJobs if last.is_none() => {
                self.stage = Stage::Jobs;
            }
            Stage::ShardLeaders | Stage::Allocations | Stage::KeysAfterJobs => {
                self.after = last.unwrap_or_default().to_string();
            }
            Stage::Jobs => {
                self.jobs_page_seen = true;
                // Larger pages save requests if a page resolves several jobs. Otherwise all keys but the first
                // are read needlessly.
                self.page_keys = match resolved {
                    0 | 1 => (self.page_keys / 2).max(MIN_PAGE_KEYS),
                    _ => (self.page_keys * 2).min(MAX_PAGE_KEYS),
                };
                self.resolve_if_all_listed();
            }
            Stage::FinishedJobs if self.jobs_covered_to.as_str() >= AFTER_JOBS => {
                self.stage = Stage::Complete;
            }
            Stage::FinishedJobs | Stage::Complete => {}
        }
    }

    /// Processes the response to a request for recent changes, after the caller has applied it. `available`
    /// tells whether the store still retained them.
    pub fn on_recent_changes(&mut self, available: bool) {
        self.recent_revisions = match self.recent_revisions {
            Some(RECENT_REVISIONS) if !available => Some(REDUCED_RECENT_REVISIONS),
            _ => None,
        };
        self.resolve_if_all_listed();
    }

    /// Ends [`Stage::Jobs`] if no required job is missing. Called once the caller knows of no further jobs to
    /// require.
    pub fn end_jobs_if_none_missing(&mut self) {
        if self.stage == Stage::Jobs && self.missing.is_empty() {
            let all_covered = self.jobs_covered_to.as_str() >= AFTER_JOBS;
            self.stage = if self.finished_jobs_required && !all_covered {
                Stage::FinishedJobs
            } else {
                Stage::Complete
            };
        }
    }

    /// Resolves all missing jobs once pages have covered all keys of jobs: the missing ones do not exist.
    fn resolve_if_all_listed(&mut self) {
        if self.stage == Stage::Jobs && self.jobs_covered_to.as_str() >= AFTER_JOBS {
            let missing = std::mem::take(&mut self.missing);
            self.resolved.extend(missing);
        }
    }
}
