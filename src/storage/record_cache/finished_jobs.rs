//! What is remembered of jobs that have ended.

use snowshelf_model::ids::{JobId, WallClockMillis};
use snowshelf_model::records::{JobRecord, JobState};
use std::collections::{HashMap, VecDeque};

/// Most finished jobs remembered; older ones are read from the key-value store again.
const CAPACITY: usize = 20_000;

/// What is remembered of a job that has ended.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct FinishedJob {
    /// Done or cancelled.
    pub state: JobState,
    /// Number of its tasks.
    pub tasks: u32,
    /// When it ended, if its record says so.
    pub ended: Option<WallClockMillis>,
    /// Whether a run of a graph submitted it.
    pub run: bool,
}

impl From<&JobRecord> for FinishedJob {
    fn from(record: &JobRecord) -> FinishedJob {
        FinishedJob {
            state: record.state,
            tasks: record.tasks,
            ended: record.ended,
            run: record.run,
        }
    }
}

/// The jobs that ended last.
#[derive(Default)]
pub(super) struct FinishedJobs {
    jobs: HashMap<JobId, FinishedJob>,
    oldest_first: VecDeque<JobId>,
}

impl FinishedJobs {
    pub(super) fn get(&self, job: &JobId) -> Option<FinishedJob> {
        self.jobs.get(job).copied()
    }

    pub(super) fn contains(&self, job: &JobId) -> bool {
        self.jobs.contains_key(job)
    }

    /// Remembers a job, and forgets the oldest one when there are too many.
    pub(super) fn insert(&mut self, job: &JobId, finished: FinishedJob) {
        if self.jobs.insert(job.clone(), finished).is_none() {
            self.oldest_first.push_back(job.clone());
            if self.oldest_first.len() > CAPACITY
                && let Some(oldest) = self.oldest_first.pop_front()
            {
                self.jobs.remove(&oldest);
            }
        }
    }
}
