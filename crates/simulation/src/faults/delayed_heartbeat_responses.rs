//! Heartbeat responses delayed by seconds. A worker gives up on a heartbeat after 4 s and drops a later
//! response.

use crate::Simulation;
use rand::RngExt;

const DELAY_MS: std::ops::Range<u64> = 300..6_000;

impl Simulation {
    /// Delay of a heartbeat response, if it is delayed.
    pub(crate) fn heartbeat_response_delay_ms(&mut self) -> Option<u64> {
        let share = self.injected.delayed_heartbeat_responses;
        (share > 0.0 && self.rng.random_bool(share)).then(|| self.rng.random_range(DELAY_MS))
    }
}
