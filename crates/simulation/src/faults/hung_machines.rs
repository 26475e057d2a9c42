//! Machines that hang: what is on them stays there, and they go on within their lease or after it.

use crate::{Event, LEASE_MS, Simulation};
use rand::RngExt;

const HUNG_MS: std::ops::Range<u64> = 1_000..2 * LEASE_MS;

impl Simulation {
    pub(crate) fn hang_some(&mut self, share: f64) {
        for name in self.draw_machines(share) {
            let ms = self.rng.random_range(HUNG_MS);
            self.handle(Event::Hang(name, ms));
        }
    }
}
