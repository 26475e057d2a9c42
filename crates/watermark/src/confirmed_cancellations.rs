//! The record of cancellations that this controller has confirmed to users, which other controllers request.

use snowshelf_model::ids::{JobId, MonotonicMillis};
use std::collections::{BTreeMap, VecDeque};

/// Most jobs recorded. When the oldest is dropped, the record becomes incomplete up to its confirmation.
const CAPACITY: usize = 8_192;

/// The jobs whose cancellation this controller has confirmed to users, by the time of the first confirmation.
#[derive(Default, Debug)]
pub struct ConfirmedCancellations {
    first_confirmed_at: BTreeMap<JobId, MonotonicMillis>,
    oldest_first: VecDeque<(MonotonicMillis, JobId)>,
    /// The record contains every cancellation first confirmed at this time or later.
    complete_from: MonotonicMillis,
}

impl ConfirmedCancellations {
    /// Starts the record at the start of the process. Cancellations confirmed by an earlier incarnation are not
    /// known.
    pub fn start_recording(&mut self, now: MonotonicMillis) {
        self.complete_from = now;
    }

    /// Records that a job's cancellation is confirmed to a user. Only a job's first confirmation counts, as the
    /// time within which its tasks must end starts with it.
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

    /// All jobs whose cancellation was first confirmed within the last `window_ms`; `None` if the record does
    /// not reach back that far.
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
