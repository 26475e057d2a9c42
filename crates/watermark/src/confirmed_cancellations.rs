//! The cancellations that this controller has confirmed to users, and since when the record is complete.

use snowshelf_model::ids::{JobId, MonotonicMillis};
use std::collections::{BTreeMap, VecDeque};

/// Most jobs recorded; the record is incomplete before the oldest of them.
const CAPACITY: usize = 8_192;

/// The jobs whose cancellation this controller has confirmed to users.
#[derive(Default, Debug)]
pub struct ConfirmedCancellations {
    first_confirmed_at: BTreeMap<JobId, MonotonicMillis>,
    oldest_first: VecDeque<(MonotonicMillis, JobId)>,
    /// The record is complete from then on.
    complete_from: MonotonicMillis,
}

impl ConfirmedCancellations {
    /// Starts the record when the process starts: what an earlier incarnation confirmed is not known.
    pub fn start_recording(&mut self, now: MonotonicMillis) {
        self.complete_from = now;
    }

    /// Records that a user is told of a job's cancellation. Only the first confirmation of a job counts.
    pub fn record(&mut self, job: &JobId, now: MonotonicMillis) {
        if self.first_confirmed_at.contains_key(job) {
            return;
        }
        self.first_confirmed_at.insert(job.clone(), now);
        self.oldest_first.push_back((now, job.clone()));
        if self.oldest_first.len() > CAPACITY
            && let Some((at, oldest)) = self.oldest_first.pop_front()
        {
            self.first_confirmed_at.remove(&oldest);
            self.complete_from = self.complete_from.max(at.plus(1));
        }
    }

    /// All jobs confirmed within the last `window_ms`; `None` if the record does not reach back so far.
    #[must_use]
    pub fn within(&self, now: MonotonicMillis, window_ms: u64) -> Option<Vec<&JobId>> {
        let from = MonotonicMillis(now.0.checked_sub(window_ms)?);
        if from < self.complete_from {
            return None;
        }
        let newest_first = self.oldest_first.iter().rev();
        let recent = newest_first.take_while(|(at, _)| *at >= from);
        Some(recent.map(|(_, job)| job).collect())
    }
}
