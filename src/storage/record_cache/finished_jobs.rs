//! A bounded record of jobs that have ended.

use snowshelf_model::ids::{JobId, WallClockMillis};
use snowshelf_model::records::{JobRecord, JobState};
use std::collections::{HashMap, VecDeque};

/// Most finished jobs retained. The others are read from the key-value store again when needed.
const CAPACITY: usize = 20_000;

/// The retained fields of the record of a job that has ended.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct FinishedJob {
    /// Whether the job is done or cancelled.
    pub state: JobState,
    /// Number of the job's tasks.
    pub tasks: u32,
    /// When the job ended; `None` if its record lacks the time.
    pub ended: Option<WallClockMillis>,
    /// Whether a DAG run submitted the job.
    pub from_run: bool,
}

impl From<&JobRecord> for FinishedJob {
    fn from(record: &JobRecord) -> FinishedJob {
        FinishedJob {
            state: record.state,
            tasks: record.tasks,
            ended: record.ended,
            from_run: record.from_run,
        }
    }
}

/// The jobs that were most recently found to have ended.
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

    /// Retains a job. Beyond [`CAPACITY`], the job that was inserted first is removed.
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
