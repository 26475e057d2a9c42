//! Machines that cannot connect to any controller. Direct commands reach them, but nothing renews their
//! leases, which expire.

use crate::Simulation;
use std::collections::BTreeSet;

impl Simulation {
    /// Draws the machines that reach no controller from now on. A `share` of zero ends the fault.
    pub(crate) fn set_lost_heartbeats(&mut self, share: f64) {
        self.injected.lost_heartbeats = BTreeSet::from_iter(self.draw_machines(share));
    }
}
