//! Since when the waiting tasks of jobs have exceeded the machines in service and starting.

use snowshelf_model::ids::{JobId, MonotonicMillis};
use std::collections::{BTreeMap, BTreeSet};

const MS_PER_S: f64 = 1000.0;

/// Jobs with tasks for which no machine has room.
#[derive(Default)]
pub(super) struct UnmetDemand {
    since: BTreeMap<JobId, MonotonicMillis>,
}

impl UnmetDemand {
    /// Returns for how long a job's tasks have exceeded the machines, in seconds.
    pub(super) fn waited_s(&self, job: &JobId, now: MonotonicMillis) -> f64 {
        let since = self.since.get(job);
        since.map_or(0.0, |since| now.since(*since) as f64 / MS_PER_S)
    }

    /// Replaces the jobs whose tasks exceed the machines.
    pub(super) fn update(&mut self, jobs: BTreeSet<JobId>, now: MonotonicMillis) {
        self.since.retain(|job, since| {
            let is_unmet = jobs.contains(job);
            if !is_unmet {
                tracing::info!(%job, waited_ms = now.since(*since), "tasks fit on the machines");
            }
            is_unmet
        });
        for job in jobs {
            self.since.entry(job).or_insert_with_key(|job| {
                tracing::info!(%job, "tasks exceed the machines");
                now
            });
        }
    }
}
