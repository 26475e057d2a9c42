//! Workers' reports of which a copy arrives again, up to well over a lease later.

use crate::{Asked, DisabledSafeguards, Event, LEASE_MS, Simulation};
use rand::RngExt;
use serde_json::{Value, json};

const LATE_MS: std::ops::Range<u64> = 2_000..5 * LEASE_MS / 2;

/// The copy as it arrives: without the guards that a test takes out, as the newest, and with the token in force.
pub(super) fn forged(body: &[u8], safeguards: &DisabledSafeguards, fencing_token: u64) -> Vec<u8> {
    if !safeguards.no_order && !safeguards.no_tokens {
        return body.to_vec();
    }
    let mut report: Value = serde_json::from_slice(body).unwrap_or_default();
    if safeguards.no_order {
        for (field, more) in [("Jornada", 1), ("Contagem", 1_000_000)] {
            report[field] = json!(more + report[field].as_u64().unwrap_or(0));
        }
    }
    if safeguards.no_tokens {
        report["Selo"] = json!(fencing_token.max(report["Selo"].as_u64().unwrap_or(0)));
    }
    report.to_string().into_bytes()
}

impl Simulation {
    pub(crate) fn copy_report(&mut self, node: usize, body: &[u8]) {
        let share = self.injected.late_reports;
        if share > 0.0 && self.rng.random_bool(share) {
            let ms = self.rng.random_range(LATE_MS);
            let copy = forged(body, &self.safeguards, 0);
            self.after(ms, Event::Copy(node, copy));
        }
    }

    /// Nobody waits for the answer any more.
    pub(crate) fn copy_arrives(&mut self, node: usize, body: Vec<u8>) {
        self.ask(node, "POST", "/checkin", body, Asked::Nobody);
    }
}
