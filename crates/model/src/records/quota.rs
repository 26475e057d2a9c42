//! A team's quota and its division among shards.

use super::resources::{EPSILON, Resources};
use crate::ids::ShardId;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// `quota/<team>`: the part of the team's limit that is granted to each shard; the rest is free.
#[derive(Clone, PartialEq, Debug, Default, Serialize, Deserialize)]
pub struct QuotaRecord {
    /// The grant of each shard.
    pub grants: BTreeMap<ShardId, Grant>,
}

/// The part of a quota that a shard may use.
#[derive(Clone, Copy, PartialEq, Debug, Default, Serialize, Deserialize)]
pub struct Grant {
    /// CPUs.
    pub cpus: f64,
    /// GPUs.
    pub gpus: f64,
}

impl From<Resources> for Grant {
    fn from(resources: Resources) -> Grant {
        Grant {
            cpus: resources.cpus,
            gpus: resources.gpus,
        }
    }
}

impl Grant {
    /// Adds another grant.
    pub fn add(&mut self, more: Grant) {
        self.cpus += more.cpus;
        self.gpus += more.gpus;
    }

    /// Whether the grant is enough for what is used.
    #[must_use]
    pub fn covers(self, used: Grant) -> bool {
        used.cpus <= self.cpus + EPSILON && used.gpus <= self.gpus + EPSILON
    }
}

impl QuotaRecord {
    /// The sum of all grants.
    #[must_use]
    pub fn granted(&self) -> Grant {
        self.grants
            .values()
            .fold(Grant::default(), |sum, grant| Grant {
                cpus: sum.cpus + grant.cpus,
                gpus: sum.gpus + grant.gpus,
            })
    }

    /// The record with a shard's grant set as near to `wish` as `limit` allows, never below `used`. It
    /// exceeds the limit only if this record already does.
    #[must_use]
    pub fn regrant(
        &self,
        shard_id: ShardId,
        wish: Grant,
        used: Grant,
        limit: Grant,
    ) -> QuotaRecord {
        let mut next = self.clone();
        let current = next.grants.remove(&shard_id).unwrap_or_default();
        let others = next.granted();
        let free = Grant {
            cpus: (limit.cpus - others.cpus).max(0.0),
            gpus: (limit.gpus - others.gpus).max(0.0),
        };
        // `used` never exceeds the current grant, so granting it again cannot exceed the limit.
        let bounded = |wish: f64, used: f64, free: f64, current: f64| {
            wish.max(used).min(free.max(current.min(used)))
        };
        let grant = Grant {
            cpus: bounded(wish.cpus, used.cpus, free.cpus, current.cpus),
            gpus: bounded(wish.gpus, used.gpus, free.gpus, current.gpus),
        };
        next.grants.insert(shard_id, grant);
        next
    }
}
