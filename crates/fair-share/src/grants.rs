//! How a shard adjusts its grant of a team's quota.

use snowshelf_model::ids::ShardId;
use snowshelf_model::records::{Grant, QuotaRecord};

/// The additional quota that a shard needs for a team's waiting tasks.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct QuotaShortfall {
    /// For all tasks that the shard could start.
    pub total: Grant,
    /// For the smallest of these tasks.
    pub smallest_task: Grant,
}

/// A shard's demand for a team's quota.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct ShardDemand {
    /// The shard whose grant is adjusted.
    pub shard_id: ShardId,
    /// Resources in use by the team in this shard.
    pub used: Grant,
    /// The additional quota that the shard needs; `None` if the grant suffices.
    pub shortfall: Option<QuotaShortfall>,
    /// The shard's share of the limit in proportion to demand; `None` unless another shard needs more
    /// quota.
    pub fair_share: Option<Grant>,
    /// Minimum step by which a shard in need raises its grant, since each change is a write to the
    /// key-value store. The limit may allow less.
    pub step: Grant,
    /// The team's limit for all shards together.
    pub limit: Grant,
}

/// Combines two grants separately for each resource.
fn combine(a: Grant, b: Grant, combine: impl Fn(f64, f64) -> f64) -> Grant {
    Grant {
        cpus: combine(a.cpus, b.cpus),
        gpus: combine(a.gpus, b.gpus),
    }
}

/// Returns the record with the shard's grant adjusted to its demand, and to its fair share if other
/// shards need more quota too. A contending shard whose grant would not suffice for one more task
/// keeps only what it uses. Otherwise all shards could hold less than one task needs, and none
/// could start any.
#[must_use]
pub fn regrant_fairly(record: &QuotaRecord, demand: &ShardDemand) -> QuotaRecord {
    let (used, limit) = (demand.used, demand.limit);
    let granted = |record: &QuotaRecord| {
        let grant = record.grants.get(&demand.shard_id);
        grant.copied().unwrap_or_default()
    };
    let demanded = |shortfall: QuotaShortfall| {
        let increase = combine(shortfall.total, demand.step, f64::max);
        combine(used, increase, |a, b| a + b)
    };
    let desired = match (demand.fair_share, demand.shortfall) {
        (None, None) => granted(record),
        (None, Some(shortfall)) => demanded(shortfall),
        // Another shard needs more quota. This shard keeps what it uses and, if tasks wait here too,
        // gets a share in proportion to demand. With other shares, the tasks of a job in one shard
        // would lag behind those in the other shards.
        (Some(_), None) => used,
        (Some(fair_share), Some(shortfall)) => {
            let fair = combine(fair_share, shortfall.smallest_task, f64::max);
            let desired = combine(fair, demanded(shortfall), f64::min);
            combine(used, desired, f64::max)
        }
    };
    let next = record.regrant(demand.shard_id, desired, used, limit);
    let contended = demand.fair_share.is_some();
    let Some(shortfall) = demand.shortfall.filter(|_| contended) else {
        return next;
    };
    let one_more_task = combine(used, shortfall.smallest_task, |a, b| a + b);
    if granted(&next).covers(one_more_task) {
        next
    } else {
        record.regrant(demand.shard_id, used, used, limit)
    }
}
