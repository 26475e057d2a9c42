//! Transactions that get no answer and are carried out later, after newer ones.

use crate::Simulation;
use rand::RngExt;

/// So much later.
const LATE_MS: std::ops::Range<u64> = 2_000..12_000;

impl Simulation {
    /// How much later this call is carried out, unanswered; nothing if it is not.
    pub(crate) fn write_is_late(&mut self, path: &str, body: &[u8]) -> Option<u64> {
        let share = self.injected.late_writes;
        let writes =
            share > 0.0 && path == "/txn" && String::from_utf8_lossy(body).contains("\"Apply\"");
        (writes && self.rng.random_bool(share)).then(|| self.rng.random_range(LATE_MS))
    }
}
