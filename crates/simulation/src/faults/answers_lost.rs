//! Transactions and leases that are carried out at once, and of which only the answer is lost.

use crate::Simulation;
use rand::RngExt;

impl Simulation {
    /// Whether the answer of the state service to this call is lost.
    pub(crate) fn answer_is_lost(&mut self, path: &str, body: &[u8]) -> bool {
        let share = self.injected.answers_lost;
        let changes = |body| String::from_utf8_lossy(body).contains("\"Apply\"");
        let writes =
            share > 0.0 && (path.starts_with("/leases") || path == "/txn" && changes(body));
        writes && self.rng.random_bool(share)
    }
}
