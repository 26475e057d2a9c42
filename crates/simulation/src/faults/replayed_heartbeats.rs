//! Captured copies of heartbeats, whether or not the heartbeat arrived. They are sent to every controller when
//! the machine's shard gets a new leader, and again seconds later.

use super::late_heartbeats::altered_copy;
use crate::{Event, NODES, Simulation};
use rand::RngExt;
use snowshelf_model::ids::shard_of;
use snowshelf_model::records::shard_key;
use std::collections::BTreeMap;

/// Most copies per shard. Beyond it a random one is dropped.
const MAX_COPIES: usize = 40;
/// Delays of the two deliveries. The first one is close to the new leader's initial read.
const REPLAY_DELAYS_MS: [std::ops::Range<u64>; 2] = [0..60, 2_000..12_000];

/// Captured heartbeats by shard.
#[derive(Default)]
pub(crate) struct ReplayedHeartbeats {
    /// Share of the heartbeats that are captured.
    pub share: f64,
    /// Copies by shard key.
    copies: BTreeMap<String, Vec<Vec<u8>>>,
    /// Fencing token of each shard's leader.
    fencing_tokens: BTreeMap<String, u64>,
}

impl Simulation {
    /// Sets the share of the heartbeats that are captured from now on.
    pub(crate) fn set_heartbeat_capture(&mut self, share: f64) {
        self.injected.replayed_heartbeats.share = share;
        self.injected.replayed_heartbeats.fencing_tokens = self.kv_store.fencing_tokens();
    }

    /// Captures a copy of this share of the heartbeats.
    pub(crate) fn capture_heartbeat(&mut self, machine: &str, body: &[u8]) {
        let share = self.injected.replayed_heartbeats.share;
        if share > 0.0 && self.rng.random_bool(share) {
            let shard = shard_key(shard_of(machine, NODES as u32));
            let copies = self
                .injected
                .replayed_heartbeats
                .copies
                .entry(shard)
                .or_default();
            if copies.len() >= MAX_COPIES {
                let dropped = self.rng.random_range(0..MAX_COPIES);
                copies.swap_remove(dropped);
            }
            copies.push(body.to_vec());
        }
    }

    /// Sends the captured copies to leaders that have just taken over.
    pub(crate) fn replay_to_new_leaders(&mut self) {
        let replayed = &self.injected.replayed_heartbeats;
        if replayed.share == 0.0 && replayed.copies.is_empty() {
            return;
        }
        for (shard, fencing_token) in self.kv_store.fencing_tokens() {
            if self
                .injected
                .replayed_heartbeats
                .fencing_tokens
                .insert(shard.clone(), fencing_token)
                == Some(fencing_token)
            {
                continue;
            }
            for body in self
                .injected
                .replayed_heartbeats
                .copies
                .remove(&shard)
                .unwrap_or_default()
            {
                for (node, delays) in
                    (0..NODES).flat_map(|n| REPLAY_DELAYS_MS.map(|delays| (n, delays)))
                {
                    let copy = altered_copy(&body, &self.safeguards, fencing_token);
                    let ms = self.rng.random_range(delays);
                    self.schedule_after(ms, Event::HeartbeatCopyArrives(node, copy));
                }
            }
        }
    }
}
