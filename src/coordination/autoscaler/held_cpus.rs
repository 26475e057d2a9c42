//! For how long started tasks have been on machines, which tells whether their CPUs can be expected to become free.

use snowshelf_model::ids::{JobId, MachineId, MonotonicMillis};
use snowshelf_model::task_ranges::TaskRanges;
use std::collections::HashMap;

/// A task holds its CPUs for good once it has been on its machine for this multiple of the expected time.
const OVERRUN_FACTOR: u64 = 2;
/// How much longer than that it may be there, in milliseconds.
const OVERRUN_MARGIN_MS: u64 = 30_000;

/// Tasks of one job on one machine.
struct Holding {
    tasks: TaskRanges,
    /// Since when these tasks, and no others of the job, have been started there.
    since: MonotonicMillis,
}

type HoldingId = (MachineId, JobId);

/// The started tasks of the last plan, by machine and job.
#[derive(Default)]
pub(super) struct HeldCpus {
    holdings: HashMap<HoldingId, Holding>,
    previous: HashMap<HoldingId, Holding>,
}

impl HeldCpus {
    /// Begins a new round of observations. What is not observed in it is forgotten.
    pub(super) fn begin_round(&mut self) {
        self.previous = std::mem::take(&mut self.holdings);
    }

    /// Takes in the started tasks of a job on a machine, which are expected to stay for `expected_ms`; `None` if they
    /// run until they are stopped. Returns whether their CPUs are not expected to become free.
    pub(super) fn observe(
        &mut self,
        (machine, job): (&MachineId, &JobId),
        tasks: &TaskRanges,
        expected_ms: Option<u64>,
        now: MonotonicMillis,
    ) -> bool {
        let Some(expected_ms) = expected_ms else {
            return true;
        };
        let id = (machine.clone(), job.clone());
        let holding = self.previous.remove(&id).filter(|h| h.tasks == *tasks);
        let holding = holding.unwrap_or_else(|| Holding {
            tasks: tasks.clone(),
            since: now,
        });
        let limit_ms = OVERRUN_FACTOR * expected_ms + OVERRUN_MARGIN_MS;
        let has_overrun = now.since(holding.since) > limit_ms;
        self.holdings.insert(id, holding);
        has_overrun
    }
}
