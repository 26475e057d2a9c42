//! All controllers are down at once while the fault lasts.

use crate::{Event, NODES, Simulation};
use rand::RngExt;

/// Afterwards the controllers restart within this time.
const RESTART_MS: u64 = 2_000;

impl Simulation {
    /// Stops or restarts all controllers.
    pub(crate) fn all_controllers_down(&mut self, down: bool) {
        self.injected.all_controllers_down = down;
        for node in 0..NODES {
            if down {
                self.handle(Event::Crash(node));
            } else {
                let ms = self.rng.random_range(0..RESTART_MS);
                self.schedule_after(ms, Event::Restart(node));
            }
        }
    }
}
