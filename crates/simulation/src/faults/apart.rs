//! Controllers that have lost the state service and the others, not their workers or users. What they send is
//! lost, and what was on its way to them too.

use crate::{Event, Simulation};

impl Simulation {
    /// Cuts a controller off from the state service and the other controllers.
    pub fn apart_at(&mut self, from: u64, until: u64, node: usize) {
        self.mute_at(from, until, node);
        self.at(from, Event::Unserved(node, true));
        self.at(until, Event::Unserved(node, false));
    }
}
