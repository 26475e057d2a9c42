//! Controllers that have lost the connection to the key-value store and their peers but not to workers and
//! users. Messages in transit are lost in both directions.

use crate::{Event, Simulation};

impl Simulation {
    /// Cuts the connections between a controller, the key-value store and the peers.
    pub fn isolate_from_kv_and_peers_at(&mut self, from: u64, until: u64, node: usize) {
        self.isolate_from_peers_at(from, until, node);
        self.schedule_at(from, Event::KvUnreachable(node, true));
        self.schedule_at(until, Event::KvUnreachable(node, false));
    }
}
