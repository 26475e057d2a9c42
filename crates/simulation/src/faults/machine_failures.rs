//! Machines that fail with all their tasks. The cloud lists them as running for a while.

use crate::{Event, Simulation};
use rand::RngExt;

impl Simulation {
    /// Lets this share of the machines fail within two seconds.
    pub(crate) fn fail_machines(&mut self, share: f64) {
        for name in self.draw_machines(share) {
            let ms = self.rng.random_range(0..2_000u64);
            self.schedule_after(ms, Event::MachineFails(name));
        }
    }
}
