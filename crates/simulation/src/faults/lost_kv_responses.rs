//! Transactions and lease requests that are applied at once and whose response is lost.

use crate::Simulation;
use rand::RngExt;

impl Simulation {
    /// Whether the response to this call is lost.
    pub(crate) fn is_kv_response_lost(&mut self, path: &str, body: &[u8]) -> bool {
        let share = self.injected.lost_kv_responses;
        let changes = |body| String::from_utf8_lossy(body).contains("\"Apply\"");
        let writes =
            share > 0.0 && (path.starts_with("/leases") || path == "/txn" && changes(body));
        writes && self.rng.random_bool(share)
    }
}
