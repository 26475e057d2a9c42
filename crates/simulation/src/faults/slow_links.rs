//! Slow links between workers and controllers: reports and their answers are underway for long.

use crate::{Event, Simulation};
use rand::RngExt;

impl Simulation {
    /// Sends a worker's report; whether it will arrive somewhere.
    pub(crate) fn send_report(
        &mut self,
        node: usize,
        name: &str,
        number: u64,
        body: Vec<u8>,
    ) -> bool {
        match self.link_ms() {
            Some(ms) => {
                self.after(ms, Event::Underway(node, name.to_string(), number, body));
                true
            }
            None => self.report_arrives(node, name.to_string(), number, body),
        }
    }

    /// For how long a message between a worker and a controller is underway, if links are slow.
    pub(crate) fn link_ms(&mut self) -> Option<u64> {
        let most = self.injected.slow_links_ms;
        (most > 0).then(|| self.rng.random_range(most / 2..most))
    }
}
