//! Machines that die, with all that runs on them. The cloud lists them as running for a while.

use crate::{Event, Simulation};
use rand::RngExt;

impl Simulation {
    pub(crate) fn kill_machines(&mut self, share: f64) {
        for name in self.draw_machines(share) {
            let ms = self.rng.random_range(0..2_000u64);
            self.after(ms, Event::Die(name));
        }
    }
}
