//! Quota grants: the division of a team's quota among shards.

use super::resources::{EPSILON, Resources};
use crate::ids::ShardId;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The record `quota/<team>`: the parts of the team's limit granted to shards. The rest of the limit
/// is free.
#[derive(Clone, PartialEq, Debug, Default, Serialize, Deserialize)]
pub struct QuotaRecord {
    /// The quota grant of each shard that has one.
    pub grants: BTreeMap<ShardId, Grant>,
}

/// A quota grant: the part of a team's limit that a shard may use.
#[derive(Clone, Copy, PartialEq, Debug, Default, Serialize, Deserialize)]
pub struct Grant {
    /// Number of CPUs.
    pub cpus: f64,
    /// Number of GPUs.
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
    /// Adds another grant to this one.
    pub fn add(&mut self, more: Grant) {
        self.cpus += more.cpus;
        self.gpus += more.gpus;
    }

    /// Whether the grant is enough for the resources in use.
    #[must_use]
    pub fn covers(self, used: Grant) -> bool {
        used.cpus <= self.cpus + EPSILON && used.gpus <= self.gpus + EPSILON
    }
}

impl QuotaRecord {
    /// Returns the sum of all shards' grants.
    #[must_use]
    pub fn granted(&self) -> Grant {
        self.grants
            .values()
            .fold(Grant::default(), |sum, grant| Grant {
                cpus: sum.cpus + grant.cpus,
                gpus: sum.gpus + grant.gpus,
            })
    }

    /// Returns the record with a shard's grant set to `desired`, or as close to it as `limit` allows,
    /// but not below `used`. The sum exceeds the limit only if it already does in this record.
    #[must_use]
    pub fn regrant(
        &self,
        shard_id: ShardId,
        desired: Grant,
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
        let bounded = |desired: f64, used: f64, free: f64, current: f64| {
            desired.max(used).min(free.max(current.min(used)))
        };
        let grant = Grant {
            cpus: bounded(desired.cpus, used.cpus, free.cpus, current.cpus),
            gpus: bounded(desired.gpus, used.gpus, free.gpus, current.gpus),
        };
        next.grants.insert(shard_id, grant);
        next
    }
}
