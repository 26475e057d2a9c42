//! Machines whose reports arrive, and which hear no answer.

use crate::World;
use rand::RngExt;

impl World {
    /// Draws the machines that hear nothing from now on, or lets all hear again.
    pub(crate) fn deafen(&mut self, share: f64) {
        let names: Vec<String> = self.workers.keys().cloned().collect();
        for name in names {
            if share == 0.0 {
                self.ails.deaf_machines.remove(&name);
            } else if self.rng.random_bool(share) {
                self.ails.deaf_machines.insert(name);
            }
        }
    }
}
