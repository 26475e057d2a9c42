//! All controllers are away at once, for as long as the trouble lasts.

use crate::{Event, NODES, Simulation};
use rand::RngExt;

/// They are back within this time of each other.
const BACK_MS: u64 = 2_000;

impl Simulation {
    pub(crate) fn all_down(&mut self, down: bool) {
        self.injected.all_down = down;
        for node in 0..NODES {
            if down {
                self.handle(Event::Crash(node));
            } else {
                let ms = self.rng.random_range(0..BACK_MS);
                self.after(ms, Event::Restart(node));
            }
        }
    }
}
