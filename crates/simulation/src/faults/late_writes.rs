//! Transactions that get no response and are applied late, after newer ones.

use crate::Simulation;
use rand::RngExt;

/// Delay of a late transaction.
const LATE_MS: std::ops::Range<u64> = 2_000..12_000;

impl Simulation {
    /// Delay of a transaction that is applied late without a response. `None` if it is applied normally.
    pub(crate) fn late_write_delay_ms(&mut self, path: &str, body: &[u8]) -> Option<u64> {
        let share = self.injected.late_writes;
        let writes =
            share > 0.0 && path == "/txn" && String::from_utf8_lossy(body).contains("\"Apply\"");
        (writes && self.rng.random_bool(share)).then(|| self.rng.random_range(LATE_MS))
    }
}
