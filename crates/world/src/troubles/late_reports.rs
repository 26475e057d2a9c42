//! Workers' reports of which a copy arrives again, up to well over a lease later.

use crate::{Asked, Event, LEASE_MS, World};
use rand::RngExt;

const LATE_MS: std::ops::Range<u64> = 2_000..5 * LEASE_MS / 2;

impl World {
    pub(crate) fn copy_report(&mut self, node: usize, body: &[u8]) {
        let share = self.ails.late_reports;
        if share > 0.0 && self.rng.random_bool(share) {
            let ms = self.rng.random_range(LATE_MS);
            self.after(ms, Event::Copy(node, body.to_vec()));
        }
    }

    /// Nobody waits for the answer any more.
    pub(crate) fn copy_arrives(&mut self, node: usize, body: Vec<u8>) {
        self.copies += u64::from(self.ask(node, "POST", "/checkin", body, Asked::Nobody));
    }
}
