//! Which keys a startup read lists, in which order, so that shards are served before everything is read.
//!
//! A job that has not ended has at least one allocation (`alloc/<shard>/<job>`): the last shard of a job
//! removes its allocation and ends the job in one compare-and-swap. So the allocations are an index of the
//! open jobs: of all records under `job/`, which are never deleted, a start needs those that allocations
//! name and their dependencies. They are found in recent changes, and by pages that begin at the next
//! missing job, so that neither requests nor bytes grow with the number of finished jobs.

use snowshelf_model::ids::JobId;
use snowshelf_model::records::{JOB_PREFIX, SHARD_PREFIX, job_key};
use std::collections::BTreeSet;

/// Most keys that the key-value store puts into a page.
const MAX_PAGE_KEYS: u32 = 1_000;
/// Fewest keys in a page when missing jobs lie far apart.
const MIN_PAGE_KEYS: u32 = 8;
/// How many revisions back recent changes are asked for; the store retains 10,000 events, of which a
/// revision may have several.
const RECENT_REVISIONS: u64 = 8_000;
/// The same after the store has said that it does not retain that many.
const FEWER_RECENT_REVISIONS: u64 = 1_500;

/// Sorts after every job's key and before every other key that follows them.
const AFTER_JOBS: &str = "job0";

/// The stage of a startup read.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Default)]
pub enum Stage {
    /// The owner of each shard: enough to acquire shards and to answer workers.
    #[default]
    ShardOwners,
    /// Allocations, the calendar's version, the format: all keys before those of jobs.
    Allocations,
    /// All keys after those of jobs: quotas, members, machine types, reservations, runs.
    Rest,
    /// The jobs that allocations name, and their dependencies.
    Jobs,
    /// All other jobs, if it is needed to know which have ended.
    FinishedJobs,
    /// Everything needed has been read.
    Complete,
}

/// The next request of a startup read.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum ReadRequest {
    /// A page of keys.
    List {
        /// Only keys with this prefix.
        prefix: &'static str,
        /// Only keys after this one.
        after: String,
        /// Most keys in the page.
        limit: u32,
    },
    /// The changes of jobs before the watch began.
    RecentChanges {
        /// How many revisions before the one from which the watch is followed.
        revisions: u64,
    },
}

/// The range of keys that a page has answered for.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct CoveredRange {
    /// Only keys with this prefix.
    pub prefix: &'static str,
    /// Only keys after this one.
    pub after: String,
    /// The last key of the range; `None` if it is not bounded.
    pub last: Option<String>,
}

impl CoveredRange {
    /// Whether a key lies in the range.
    #[must_use]
    pub fn contains(&self, key: &str) -> bool {
        key.starts_with(self.prefix)
            && key > self.after.as_str()
            && self.last.as_deref().is_none_or(|last| key <= last)
    }
}

/// Plans a startup read: takes in which keys have been read, and says what to request next.
#[derive(Debug)]
pub struct ReadPlan {
    stage: Stage,
    /// The last key of the newest page of this stage.
    after: String,
    /// All job keys up to this one have been covered by consecutive pages.
    jobs_covered_to: String,
    missing: BTreeSet<JobId>,
    /// Jobs that have been read, or found not to exist.
    resolved: BTreeSet<JobId>,
    /// Most keys in the next page of jobs.
    page_keys: u32,
    /// How many revisions back to ask for recent changes; `None` once that has been done.
    recent_revisions: Option<u64>,
    finished_jobs_required: bool,
    /// Whether a page of jobs has come in the stage of the jobs.
    jobs_page_seen: bool,
}

impl Default for ReadPlan {
    fn default() -> ReadPlan {
        ReadPlan {
            stage: Stage::ShardOwners,
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

/// A key that sorts just before `key` and after every other key that a job may have.
fn just_before(key: &str) -> String {
    let mut bytes = key.as_bytes().to_vec();
    // Names of jobs end with a digit; whatever it is, only keys with the same beginning lie between.
    match bytes.pop() {
        Some(last) if last.is_ascii_graphic() && last > b'!' => {
            bytes.push(last - 1);
            bytes.push(b'~');
            String::from_utf8(bytes).unwrap_or_else(|_| JOB_PREFIX.to_string())
        }
        _ => JOB_PREFIX.to_string(),
    }
}

fn list(prefix: &'static str, after: &str, limit: u32) -> ReadRequest {
    ReadRequest::List {
        prefix,
        after: after.to_string(),
        limit,
    }
}

impl ReadPlan {
    /// The stage of the read.
    #[must_use]
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// How many required jobs have not been read yet.
    #[must_use]
    pub fn missing_jobs(&self) -> usize {
        self.missing.len()
    }

    /// Requires that these jobs are read before the read is complete. May be called again with more; what
    /// has been read is not looked for again.
    pub fn require_jobs<'a>(&mut self, jobs: impl Iterator<Item = &'a JobId>) {
        for job in jobs.filter(|job| !self.resolved.contains(*job)) {
            self.missing.insert(job.clone());
        }
        self.resolve_if_all_listed();
    }

    /// Requires that finished jobs are read as well, after all others.
    pub fn require_finished_jobs(&mut self) {
        self.finished_jobs_required = true;
    }

    /// A job's record has been read in another way than by a page.
    pub fn mark_read(&mut self, job: &JobId) {
        self.missing.remove(job);
        self.resolved.insert(job.clone());
        self.resolve_if_all_listed();
    }

    /// The next request; `None` once the read is complete, or as long as it waits for
    /// [`ReadPlan::end_jobs_if_none_missing`].
    #[must_use]
    pub fn next_request(&self) -> Option<ReadRequest> {
        match self.stage {
            Stage::ShardOwners => Some(list(SHARD_PREFIX, &self.after, MAX_PAGE_KEYS)),
            Stage::Allocations | Stage::Rest => Some(list("", &self.after, MAX_PAGE_KEYS)),
            Stage::Jobs => {
                let job = self.missing.first()?;
                Some(match self.recent_revisions {
                    // The first page may bring all: most deployments' jobs fit into a few pages.
                    Some(revisions) if self.jobs_page_seen => {
                        ReadRequest::RecentChanges { revisions }
                    }
                    _ => list("", &just_before(&job_key(job)), self.page_keys),
                })
            }
            Stage::FinishedJobs => Some(list("", &self.jobs_covered_to, MAX_PAGE_KEYS)),
            Stage::Complete => None,
        }
    }

    /// Takes in which keys the page for `request` brought, and whether more follow; the range that the page
    /// has covered, or `None` if the request was not for a page.
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
            // Where no key came the range is unbounded whatever the page says, or it would be asked for
            // for ever.
            last: keys.last().filter(|_| more).map(str::to_string),
        };
        let resolved = self.resolve_covered(&covered);
        self.extend_covered_jobs(&covered);
        self.advance(covered.last.as_deref(), resolved);
        Some(covered)
    }

    /// Resolves the missing jobs in a range that has been listed; their number.
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

    fn extend_covered_jobs(&mut self, covered: &CoveredRange) {
        if covered.prefix.is_empty() && covered.after <= self.jobs_covered_to {
            let last = covered.last.as_deref().unwrap_or(AFTER_JOBS);
            if last > self.jobs_covered_to.as_str() {
                self.jobs_covered_to = last.to_string();
            }
        }
    }

    /// Goes to the next page or stage after a page up to `last` (`None`: nothing follows) that has resolved
    /// so many missing jobs.
    fn advance(&mut self, last: Option<&str>, resolved: usize) {
        match self.stage {
            Stage::ShardOwners if last.is_none() => {
                self.stage = Stage::Allocations;
                self.after = String::new();
            }
            Stage::Allocations if last.is_none() => {
                // There are no further keys at all.
                self.stage = Stage::Jobs;
                self.resolve_if_all_listed();
            }
            Stage::Allocations if last.is_some_and(|last| last >= JOB_PREFIX) => {
                self.stage = Stage::Rest;
                let beyond = last.filter(|last| *last >= AFTER_JOBS);
                self.after = beyond.unwrap_or(AFTER_JOBS).to_string();
            }
            Stage::Rest if last.is_none() => {
                self.stage = Stage::Jobs;
            }
            Stage::ShardOwners | Stage::Allocations | Stage::Rest => {
                self.after = last.unwrap_or_default().to_string();
            }
            Stage::Jobs => {
                self.jobs_page_seen = true;
                // Larger pages save requests where a page resolves several jobs; otherwise all keys but the
                // first are read in vain.
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

    /// The response to a request for recent changes has been applied; `available`: the store still had them.
    pub fn on_recent_changes(&mut self, available: bool) {
        self.recent_revisions = match self.recent_revisions {
            Some(RECENT_REVISIONS) if !available => Some(FEWER_RECENT_REVISIONS),
            _ => None,
        };
        self.resolve_if_all_listed();
    }

    /// Ends the stage of the jobs if none is missing. To be called once the caller knows of no further jobs
    /// to require.
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

    /// Resolves all missing jobs if pages have covered all keys of jobs: they do not exist.
    fn resolve_if_all_listed(&mut self) {
        if self.stage == Stage::Jobs && self.jobs_covered_to.as_str() >= AFTER_JOBS {
            let missing = std::mem::take(&mut self.missing);
            self.resolved.extend(missing);
        }
    }
}
