//! Copies of heartbeats that arrive a second time, up to two and a half leases later.

use crate::{DisabledSafeguards, Event, LEASE_MS, PendingRequest, Simulation};
use rand::RngExt;
use serde_json::{Value, json};

const LATE_MS: std::ops::Range<u64> = 2_000..5 * LEASE_MS / 2;

/// The copy as it arrives. With disabled safeguards it is renumbered as the newest heartbeat or carries the
/// current fencing token.
pub(super) fn altered_copy(
    body: &[u8],
    safeguards: &DisabledSafeguards,
    fencing_token: u64,
) -> Vec<u8> {
    if !safeguards.renumber_late_heartbeats && !safeguards.ignore_fencing_tokens {
        return body.to_vec();
    }
    let mut heartbeat: Value = serde_json::from_slice(body).unwrap_or_default();
    if safeguards.renumber_late_heartbeats {
        for (field, increment) in [("Jornada", 1), ("Contagem", 1_000_000)] {
            heartbeat[field] = json!(increment + heartbeat[field].as_u64().unwrap_or(0));
        }
    }
    if safeguards.ignore_fencing_tokens {
        heartbeat["Selo"] = json!(fencing_token.max(heartbeat["Selo"].as_u64().unwrap_or(0)));
    }
    heartbeat.to_string().into_bytes()
}

impl Simulation {
    /// Schedules a late copy of this share of the heartbeats.
    pub(crate) fn delay_heartbeat_copy(&mut self, node: usize, body: &[u8]) {
        let share = self.injected.late_heartbeats;
        if share > 0.0 && self.rng.random_bool(share) {
            let ms = self.rng.random_range(LATE_MS);
            let copy = altered_copy(body, &self.safeguards, 0);
            self.schedule_after(ms, Event::HeartbeatCopyArrives(node, copy));
        }
    }

    /// Delivers a late copy. No worker waits for the response.
    pub(crate) fn heartbeat_copy_arrives(&mut self, node: usize, body: Vec<u8>) {
        self.send_request(node, "POST", "/checkin", body, PendingRequest::Ignored);
    }
}
