//! How a shard asks for its part of a team's quota.

use snowshelf_model::ids::ShardId;
use snowshelf_model::records::{Grant, QuotaRecord};

/// What a shard lacks of a team's quota.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct QuotaShortfall {
    /// For all that it could start.
    pub total: Grant,
    /// For the smallest task of these.
    pub smallest_task: Grant,
}

/// A shard's demand of a team's quota.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct ShardDemand {
    /// The shard that asks.
    pub shard_id: ShardId,
    /// What the team uses there.
    pub used: Grant,
    /// What is missing there.
    pub shortfall: Option<QuotaShortfall>,
    /// The shard's fair share of the limit, by demand, where another shard lacks quota, too.
    pub fair_share: Option<Grant>,
    /// Grants go up by this much at the least: every move is a write.
    pub step: Grant,
    /// The team's limit over all shards.
    pub limit: Grant,
}

/// Combines two grants resource by resource.
fn combine(a: Grant, b: Grant, combine: impl Fn(f64, f64) -> f64) -> Grant {
    Grant {
        cpus: combine(a.cpus, b.cpus),
        gpus: combine(a.gpus, b.gpus),
    }
}

/// The grants as a shard would have them: what it lacks, and its fair share where others lack quota, too. One that cannot
/// have enough for a task keeps nothing beyond what it uses: guards against shards of which each has less than a task, and
/// which all together start nothing.
#[must_use]
pub fn regrant_fairly(record: &QuotaRecord, demand: &ShardDemand) -> QuotaRecord {
    let (used, limit) = (demand.used, demand.limit);
    let granted = |record: &QuotaRecord| {
        let grant = record.grants.get(&demand.shard_id);
        grant.copied().unwrap_or_default()
    };
    let wanted = |shortfall: QuotaShortfall| {
        let missing = combine(shortfall.total, demand.step, f64::max);
        combine(used, missing, |a, b| a + b)
    };
    let wish = match (demand.fair_share, demand.shortfall) {
        (None, None) => granted(record),
        (None, Some(shortfall)) => wanted(shortfall),
        // Another shard could start more: what is used is kept and, if this shard waits too, a share by demand. With
        // other shares one shard's tasks of a job lag behind the rest.
        (Some(_), None) => used,
        (Some(fair_share), Some(shortfall)) => {
            let fair = combine(fair_share, shortfall.smallest_task, f64::max);
            let wish = combine(fair, wanted(shortfall), f64::min);
            combine(used, wish, f64::max)
        }
    };
    let next = record.regrant(demand.shard_id, wish, used, limit);
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
