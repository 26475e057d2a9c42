//! Workers' reports of which a copy arrives again, up to well over a lease later.

use crate::{Asked, Event, LEASE_MS, Sabotage, World};
use rand::RngExt;
use serde_json::{Value, json};

const LATE_MS: std::ops::Range<u64> = 2_000..5 * LEASE_MS / 2;

/// The copy as it arrives: without the guards that a test takes out, as the newest, and with the token in force.
pub(super) fn forged(body: &[u8], sabotage: &Sabotage, token: u64) -> Vec<u8> {
    if !sabotage.no_order && !sabotage.no_tokens {
        return body.to_vec();
    }
    let mut report: Value = serde_json::from_slice(body).unwrap_or_default();
    if sabotage.no_order {
        for (field, more) in [("Jornada", 1), ("Contagem", 1_000_000)] {
            report[field] = json!(more + report[field].as_u64().unwrap_or(0));
        }
    }
    if sabotage.no_tokens {
        report["Selo"] = json!(token.max(report["Selo"].as_u64().unwrap_or(0)));
    }
    report.to_string().into_bytes()
}

impl World {
    pub(crate) fn copy_report(&mut self, node: usize, body: &[u8]) {
        let share = self.ails.late_reports;
        if share > 0.0 && self.rng.random_bool(share) {
            let ms = self.rng.random_range(LATE_MS);
            let copy = forged(body, &self.sabotage, 0);
            self.after(ms, Event::Copy(node, copy));
        }
    }

    /// Nobody waits for the answer any more.
    pub(crate) fn copy_arrives(&mut self, node: usize, body: Vec<u8>) {
        self.ask(node, "POST", "/checkin", body, Asked::Nobody);
    }
}
