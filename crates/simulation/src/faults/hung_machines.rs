//! Machines that hang. Their tasks remain, and the machines resume before or after the expiry of their lease.

use crate::{Event, LEASE_MS, Simulation};
use rand::RngExt;

const HANG_MS: std::ops::Range<u64> = 1_000..2 * LEASE_MS;

impl Simulation {
    /// Lets this share of the machines hang from now on.
    pub(crate) fn hang_machines(&mut self, share: f64) {
        for name in self.draw_machines(share) {
            let ms = self.rng.random_range(HANG_MS);
            self.handle(Event::Hang(name, ms));
        }
    }
}
