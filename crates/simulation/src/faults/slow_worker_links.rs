//! Slow links between workers and controllers, which delay heartbeats and their responses.

use crate::{Event, Simulation};
use rand::RngExt;

impl Simulation {
    /// Sends a worker's heartbeat. Returns `false` if it does not arrive.
    pub(crate) fn send_heartbeat(
        &mut self,
        node: usize,
        name: &str,
        number: u64,
        body: Vec<u8>,
    ) -> bool {
        match self.worker_link_delay_ms() {
            Some(ms) => {
                self.schedule_after(
                    ms,
                    Event::HeartbeatArrives(node, name.to_string(), number, body),
                );
                true
            }
            None => self.heartbeat_arrives(node, name.to_string(), number, body),
        }
    }

    /// Delay of a message between a worker and a controller. `None` if links are fast.
    pub(crate) fn worker_link_delay_ms(&mut self) -> Option<u64> {
        let max_ms = self.injected.worker_link_max_ms;
        (max_ms > 0).then(|| self.rng.random_range(max_ms / 2..max_ms))
    }
}
