//! What this controller has told users to be cancelled, and since when it has kept count.

use snowshelf_model::ids::{JobId, MonotonicMillis};
use std::collections::{BTreeMap, VecDeque};

/// Most jobs kept; what was told before the oldest of them is no longer vouched for.
const MOST: usize = 8_192;

#[derive(Default, Debug)]
pub struct ConfirmedCancellations {
    first: BTreeMap<JobId, MonotonicMillis>,
    order: VecDeque<(MonotonicMillis, JobId)>,
    /// The count is complete from then on.
    complete_from: MonotonicMillis,
}

impl ConfirmedCancellations {
    /// Begins to count when a process does: what an earlier life told is not known.
    pub fn begin(&mut self, now: MonotonicMillis) {
        self.complete_from = now;
    }

    /// A user is told that a job is cancelled.
    pub fn tell(&mut self, job: &JobId, now: MonotonicMillis) {
        if self.first.contains_key(job) {
            return;
        }
        self.first.insert(job.clone(), now);
        self.order.push_back((now, job.clone()));
        if self.order.len() > MOST
            && let Some((at, old)) = self.order.pop_front()
        {
            self.first.remove(&old);
            self.complete_from = self.complete_from.max(at.plus(1));
        }
    }

    /// All jobs told within the last `window_ms`; `None` if the count does not reach back so far.
    pub fn within(&self, now: MonotonicMillis, window_ms: u64) -> Option<Vec<&JobId>> {
        let from = MonotonicMillis(now.0.checked_sub(window_ms)?);
        if from < self.complete_from {
            return None;
        }
        let newest = self.order.iter().rev();
        Some(
            newest
                .take_while(|(at, _)| *at >= from)
                .map(|(_, job)| job)
                .collect(),
        )
    }
}
