//! A team's limit as it is divided over parts.

use super::resources::{EPS, Resources};
use crate::ids::ShardId;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// `quota/<team>`: what each part may use; the rest of the limit is free.
#[derive(Clone, PartialEq, Debug, Default, Serialize, Deserialize)]
pub struct QuotaRecord {
    pub grants: BTreeMap<ShardId, Grant>,
}

#[derive(Clone, Copy, PartialEq, Debug, Default, Serialize, Deserialize)]
pub struct Grant {
    pub cpus: f64,
    pub gpus: f64,
}

impl Grant {
    pub fn of(resources: Resources) -> Grant {
        Grant {
            cpus: resources.cpus,
            gpus: resources.gpus,
        }
    }
    pub fn add(&mut self, more: Grant) {
        self.cpus += more.cpus;
        self.gpus += more.gpus;
    }
    pub fn covers(self, used: Grant) -> bool {
        used.cpus <= self.cpus + EPS && used.gpus <= self.gpus + EPS
    }
}

impl QuotaRecord {
    pub fn granted(&self) -> Grant {
        self.grants.values().fold(Grant::default(), |a, g| Grant {
            cpus: a.cpus + g.cpus,
            gpus: a.gpus + g.gpus,
        })
    }

    /// Sets `shard_id`'s grant as near to `wish` as the limit allows, never below `used`.
    /// Fails only if the record itself is already over the limit.
    pub fn regrant(
        &self,
        shard_id: ShardId,
        wish: Grant,
        used: Grant,
        limit: Grant,
    ) -> QuotaRecord {
        let mut next = self.clone();
        let mine = next.grants.remove(&shard_id).unwrap_or_default();
        let others = next.granted();
        let free = Grant {
            cpus: (limit.cpus - others.cpus).max(0.0),
            gpus: (limit.gpus - others.gpus).max(0.0),
        };
        // `used` never exceeds what is granted now, so keeping it cannot pass the limit.
        let grant = Grant {
            cpus: wish
                .cpus
                .max(used.cpus)
                .min(free.cpus.max(mine.cpus.min(used.cpus))),
            gpus: wish
                .gpus
                .max(used.gpus)
                .min(free.gpus.max(mine.gpus.min(used.gpus))),
        };
        next.grants.insert(shard_id, grant);
        next
    }
}
