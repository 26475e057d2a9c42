//! Copies of workers' reports that are kept, whether or not the report arrived. They reach every controller just as
//! the next owner of their machine's part begins, and once more when it has acted for seconds.

use super::late_reports::forged;
use crate::{Event, NODES, Simulation};
use rand::RngExt;
use snowshelf_model::ids::shard_of;
use snowshelf_model::records::shard_key;
use std::collections::BTreeMap;

/// Most copies that are kept for a part; of more, any.
const MOST: usize = 40;
/// The first of these moments is about that of the owner's first reading.
const ARRIVE_MS: [std::ops::Range<u64>; 2] = [0..60, 2_000..12_000];

#[derive(Default)]
pub(crate) struct KeptReports {
    pub share: f64,
    /// By the key of the part.
    copies: BTreeMap<String, Vec<Vec<u8>>>,
    /// The token of each part's owner.
    tokens: BTreeMap<String, u64>,
}

impl Simulation {
    pub(crate) fn keep_reports(&mut self, share: f64) {
        self.injected.kept.share = share;
        self.injected.kept.tokens = self.state.tokens();
    }

    pub(crate) fn keep_report(&mut self, machine: &str, body: &[u8]) {
        let share = self.injected.kept.share;
        if share > 0.0 && self.rng.random_bool(share) {
            let shard_id = shard_key(shard_of(machine, NODES as u32));
            let kept = self.injected.kept.copies.entry(shard_id).or_default();
            if kept.len() >= MOST {
                let any = self.rng.random_range(0..MOST);
                kept.swap_remove(any);
            }
            kept.push(body.to_vec());
        }
    }

    /// Sends what was kept for the owners that have just begun.
    pub(crate) fn owners_begin(&mut self) {
        let kept = &self.injected.kept;
        if kept.share == 0.0 && kept.copies.is_empty() {
            return;
        }
        for (shard_id, fencing_token) in self.state.tokens() {
            if self
                .injected
                .kept
                .tokens
                .insert(shard_id.clone(), fencing_token)
                == Some(fencing_token)
            {
                continue;
            }
            for body in self
                .injected
                .kept
                .copies
                .remove(&shard_id)
                .unwrap_or_default()
            {
                for (node, when) in (0..NODES).flat_map(|n| ARRIVE_MS.map(|when| (n, when))) {
                    let copy = forged(&body, &self.safeguards, fencing_token);
                    let ms = self.rng.random_range(when);
                    self.after(ms, Event::Copy(node, copy));
                }
            }
        }
    }
}
