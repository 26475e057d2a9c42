//! Answers to reports that are held up for seconds. A worker gives a report up after 4 s and drops what comes later.

use crate::Simulation;
use rand::RngExt;

const HELD_MS: std::ops::Range<u64> = 300..6_000;

impl Simulation {
    /// For how long an answer to a worker is held up.
    pub(crate) fn answer_is_held(&mut self) -> Option<u64> {
        let share = self.injected.held_answers;
        (share > 0.0 && self.rng.random_bool(share)).then(|| self.rng.random_range(HELD_MS))
    }
}
