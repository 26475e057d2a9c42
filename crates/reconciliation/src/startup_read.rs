//! Which keys a start reads, in which order, so that parts serve before the whole is read.
//!
//! A job that has not ended has at least one share (`alloc/<part>/<job>`), since a job's last part
//! removes itself together with its share and sets the end. So the shares are an index of the open
//! jobs: of all records under `job/`, which are never deleted, a start needs those that shares name
//! and those that these need. They are found in what changed lately, and by pages that begin at the
//! next one wanted, so that neither requests nor bytes grow with what has ended.

use snowshelf_model::ids::JobId;
use snowshelf_model::records::job_key;
use std::collections::BTreeSet;

/// Most keys that the state service puts into a page.
pub const MOST_A_PAGE: u32 = 1_000;
/// Fewest keys asked for at once when those wanted lie far apart.
const FEWEST_A_PAGE: u32 = 8;
/// So many revisions are looked back for jobs that changed lately; the service keeps 10,000 changes,
/// of which a revision may have several.
const LOOK_BACK: u64 = 8_000;
/// The same after the service said that this is too far.
const LOOK_BACK_AGAIN: u64 = 1_500;

const JOBS: &str = "job/";
/// Sorts after every job's key and before every other key that follows them.
const BEYOND_JOBS: &str = "job0";
const SHARD_OWNERS: &str = "part/";

/// How far a reading is.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Default)]
pub enum Stage {
    /// Who owns which part: enough to take parts and to answer workers.
    #[default]
    ShardOwners,
    /// Shares, the calendar's version, the format: all before the jobs' keys.
    Shares,
    /// Everything behind the jobs' keys: grants, members, machine types, the calendar, runs.
    Rest,
    /// The jobs that shares name, and those that they need.
    Jobs,
    /// All other jobs; only while somebody needs to know which have ended.
    Ended,
    Over,
}

/// The next request of a reading.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Ask {
    /// Keys that start with `starts`, after `after`.
    Page {
        starts: &'static str,
        after: String,
        limit: u32,
    },
    /// Changes of jobs since so many revisions before the one that the feed was followed from.
    LookBack { revisions: u64 },
}

/// The keys that a page has answered for: those after `after`, up to and with `upto` (`None`: to the
/// end), as far as they start with `starts`.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Covered {
    pub starts: &'static str,
    pub after: String,
    pub upto: Option<String>,
}

impl Covered {
    pub fn has(&self, key: &str) -> bool {
        key.starts_with(self.starts)
            && key > self.after.as_str()
            && self.upto.as_deref().is_none_or(|upto| key <= upto)
    }
}

/// A reading underway.
#[derive(Debug)]
pub struct Reading {
    stage: Stage,
    /// The last key of the newest page of this stage.
    after: String,
    /// All job keys up to this one have been passed by pages in order.
    in_order: String,
    wanted: BTreeSet<JobId>,
    /// Looked for, and settled one way or the other.
    settled: BTreeSet<JobId>,
    limit: u32,
    look_back: Option<u64>,
    /// Whether ended jobs are to be read as well.
    ended_too: bool,
    /// A page of the jobs' has been read since they are what is read.
    jobs_begun: bool,
}

impl Default for Reading {
    fn default() -> Reading {
        Reading {
            stage: Stage::ShardOwners,
            after: String::new(),
            in_order: JOBS.to_string(),
            wanted: BTreeSet::new(),
            settled: BTreeSet::new(),
            limit: MOST_A_PAGE,
            look_back: Some(LOOK_BACK),
            ended_too: false,
            jobs_begun: false,
        }
    }
}

/// A key that sorts just before `key` and after every other key that a job may have.
fn just_before(key: &str) -> String {
    let mut bytes = key.as_bytes().to_vec();
    // Jobs' ids end with a digit; whatever it is, nothing between is skipped but what starts alike.
    match bytes.pop() {
        Some(last) if last.is_ascii_graphic() && last > b'!' => {
            bytes.push(last - 1);
            bytes.push(b'~');
            String::from_utf8(bytes).unwrap_or_else(|_| JOBS.to_string())
        }
        _ => JOBS.to_string(),
    }
}

impl Reading {
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// How many jobs are still looked for.
    pub fn wanted(&self) -> usize {
        self.wanted.len()
    }

    /// Jobs that must be known before the reading is over: those of shares, those known from before,
    /// those that open jobs need. May be said again with more; what is settled is not looked for again.
    pub fn want<'a>(&mut self, jobs: impl Iterator<Item = &'a JobId>) {
        for job in jobs.filter(|job| !self.settled.contains(*job)) {
            self.wanted.insert(job.clone());
        }
        if self.stage == Stage::Jobs {
            self.end_jobs();
        }
    }

    /// Has ended jobs read as well, after all others.
    pub fn want_ended(&mut self) {
        self.ended_too = true;
    }

    /// A change of a job has been seen, by the feed or by looking back.
    pub fn seen(&mut self, job: &JobId) {
        self.wanted.remove(job);
        self.settled.insert(job.clone());
        if self.stage == Stage::Jobs {
            self.end_jobs();
        }
    }

    /// What to ask next; nothing once the reading is over, or waits to be told what is wanted.
    pub fn next(&self) -> Option<Ask> {
        let page = |starts, after: &str, limit| {
            let after = after.to_string();
            Some(Ask::Page {
                starts,
                after,
                limit,
            })
        };
        match self.stage {
            Stage::ShardOwners => page(SHARD_OWNERS, &self.after, MOST_A_PAGE),
            Stage::Shares | Stage::Rest => page("", &self.after, MOST_A_PAGE),
            Stage::Jobs => match (self.look_back, self.wanted.first()) {
                // The first page may settle it all: most deployments' jobs fit into a few.
                (Some(revisions), Some(_)) if self.jobs_begun => Some(Ask::LookBack { revisions }),
                (_, Some(job)) => page("", &just_before(&job_key(job)), self.limit),
                (_, None) => None,
            },
            Stage::Ended => page("", &self.in_order, MOST_A_PAGE),
            Stage::Over => None,
        }
    }

    /// Takes in which keys a page brought, for the `ask` it answers: what it has answered for.
    pub fn page<'a>(
        &mut self,
        ask: &Ask,
        keys: impl Iterator<Item = &'a str>,
        more: bool,
    ) -> Option<Covered> {
        let Ask::Page { starts, after, .. } = ask else {
            return None;
        };
        let last = keys.last();
        let covered = Covered {
            starts,
            after: after.clone(),
            // A page that says that there is more and brings nothing would be asked for for ever.
            upto: last.filter(|_| more).map(str::to_string),
        };
        let passed: Vec<JobId> = self
            .wanted
            .iter()
            .filter(|job| covered.has(&job_key(job)))
            .cloned()
            .collect();
        for job in &passed {
            self.wanted.remove(job);
            self.settled.insert(job.clone());
        }
        let to = covered.upto.as_deref();
        if starts.is_empty() && covered.after <= self.in_order {
            let reached = to.unwrap_or(BEYOND_JOBS);
            if reached > self.in_order.as_str() {
                self.in_order = reached.to_string();
            }
        }
        match self.stage {
            Stage::ShardOwners if to.is_none() => {
                self.stage = Stage::Shares;
                self.after = String::new();
            }
            Stage::Shares if to.is_none() => {
                // All there is fits into these pages.
                self.stage = Stage::Jobs;
                self.end_jobs();
            }
            Stage::Shares if to.is_some_and(|to| to >= JOBS) => {
                self.stage = Stage::Rest;
                let beyond = to.filter(|to| *to >= BEYOND_JOBS);
                self.after = beyond.unwrap_or(BEYOND_JOBS).to_string();
            }
            Stage::Rest if to.is_none() => {
                self.stage = Stage::Jobs;
            }
            Stage::ShardOwners | Stage::Shares | Stage::Rest => {
                self.after = to.unwrap_or_default().to_string();
            }
            Stage::Jobs => {
                self.jobs_begun = true;
                // A page that brought several saves requests; one that brought a single one was read in
                // vain but for its first key.
                self.limit = match passed.len() {
                    0 | 1 => (self.limit / 2).max(FEWEST_A_PAGE),
                    _ => (self.limit * 2).min(MOST_A_PAGE),
                };
                self.end_jobs();
            }
            Stage::Ended if self.in_order.as_str() >= BEYOND_JOBS => self.stage = Stage::Over,
            Stage::Ended | Stage::Over => {}
        }
        Some(covered)
    }

    /// The answer to looking back has been taken in; `too_far`: the service keeps less than that.
    pub fn looked_back(&mut self, too_far: bool) {
        self.look_back = match self.look_back {
            Some(LOOK_BACK) if too_far => Some(LOOK_BACK_AGAIN),
            _ => None,
        };
        if self.stage == Stage::Jobs {
            self.end_jobs();
        }
    }

    /// Goes on once the caller knows of no further jobs that it wants.
    pub fn jobs_over(&mut self) {
        if self.stage == Stage::Jobs && self.wanted.is_empty() {
            self.stage = match self.ended_too && self.in_order.as_str() < BEYOND_JOBS {
                true => Stage::Ended,
                false => Stage::Over,
            };
        }
    }

    fn end_jobs(&mut self) {
        if self.in_order.as_str() >= BEYOND_JOBS {
            // Nothing is left that a page could bring.
            let rest = std::mem::take(&mut self.wanted);
            self.settled.extend(rest);
        }
    }
}
