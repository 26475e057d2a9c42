//! Machines whose heartbeats arrive but which receive no responses.

use crate::Simulation;

impl Simulation {
    /// Draws the machines that receive no responses from now on, or ends the fault for all if `share` is zero.
    pub(crate) fn set_lost_heartbeat_responses(&mut self, share: f64) {
        match share == 0.0 {
            true => self.injected.lost_heartbeat_responses.clear(),
            false => {
                let drawn = self.draw_machines(share);
                self.injected.lost_heartbeat_responses.extend(drawn);
            }
        }
    }
}
