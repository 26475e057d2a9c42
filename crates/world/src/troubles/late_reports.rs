//! Workers' reports of which a copy arrives again, up to well over a lease later.

use crate::{Asked, Event, LEASE_MS, World};
use rand::RngExt;
use serde_json::{Value, json};

const LATE_MS: std::ops::Range<u64> = 2_000..5 * LEASE_MS / 2;

impl World {
    pub(crate) fn copy_report(&mut self, node: usize, body: &[u8]) {
        let share = self.ails.late_reports;
        if share > 0.0 && self.rng.random_bool(share) {
            let ms = self.rng.random_range(LATE_MS);
            let mut copy = body.to_vec();
            if self.sabotage.no_order {
                let mut report: Value = serde_json::from_slice(body).unwrap_or_default();
                for (field, more) in [("Jornada", 1), ("Contagem", 1_000_000)] {
                    report[field] = json!(more + report[field].as_u64().unwrap_or(0));
                }
                copy = report.to_string().into_bytes();
            }
            self.after(ms, Event::Copy(node, copy));
        }
    }

    /// Nobody waits for the answer any more.
    pub(crate) fn copy_arrives(&mut self, node: usize, body: Vec<u8>) {
        self.ask(node, "POST", "/checkin", body, Asked::Nobody);
    }
}
