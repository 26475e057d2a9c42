//! Machines that can open no connection to any controller. Direct commands reach them; nothing else renews or
//! ends what they have, so their leases run out.

use crate::Simulation;
use std::collections::BTreeSet;

impl Simulation {
    /// Draws the machines that reach nobody from now on, or lets all reach the controllers again.
    pub(crate) fn silence_machines(&mut self, share: f64) {
        self.injected.mute_machines = BTreeSet::from_iter(self.draw_machines(share));
    }
}
