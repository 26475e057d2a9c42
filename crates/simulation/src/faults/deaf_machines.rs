//! Machines whose reports arrive, and which hear no answer.

use crate::Simulation;

impl Simulation {
    /// Draws the machines that hear nothing from now on, or lets all hear again.
    pub(crate) fn deafen(&mut self, share: f64) {
        match share == 0.0 {
            true => self.injected.deaf_machines.clear(),
            false => {
                let drawn = self.draw_machines(share);
                self.injected.deaf_machines.extend(drawn);
            }
        }
    }
}
