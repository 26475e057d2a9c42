//! How a part asks for its share of a team's limit.

use snowshelf_model::ids::ShardId;
use snowshelf_model::records::{Grant, QuotaRecord};

/// What a part lacks of a team's limit: for all that it could start, and for the smallest task of these.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct QuotaShortfall {
    pub all: Grant,
    pub task: Grant,
}

/// A part's standing with a team.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct ShardDemand {
    pub shard_id: ShardId,
    pub used: Grant,
    pub lack: Option<QuotaShortfall>,
    /// Its share of the limit by demand, where another part lacks, too.
    pub even: Option<Grant>,
    /// Grants go up by this much at the least: every move is a write.
    pub step: Grant,
    pub limit: Grant,
}

fn each(a: Grant, b: Grant, of: impl Fn(f64, f64) -> f64) -> Grant {
    Grant {
        cpus: of(a.cpus, b.cpus),
        gpus: of(a.gpus, b.gpus),
    }
}

/// The grants as a part would have them: what it lacks, and its share by demand where others lack, too. One that cannot
/// have enough for a task keeps nothing beyond what it uses: guards against parts of which each has less than a task,
/// and which all together start nothing.
pub fn regrant_fairly(record: &QuotaRecord, s: &ShardDemand) -> QuotaRecord {
    let held = record.grants.get(&s.shard_id).copied().unwrap_or_default();
    let wanted =
        |lack: QuotaShortfall| each(s.used, each(lack.all, s.step, f64::max), |a, b| a + b);
    let wish = match (s.even, s.lack) {
        (None, None) => held,
        (None, Some(lack)) => wanted(lack),
        // Another part could start more: what is used is kept and, if this part waits too, a share by demand. With
        // other shares one part's tasks of a job lag behind the rest.
        (Some(_), None) => s.used,
        (Some(even), Some(lack)) => {
            let fair = each(even, lack.task, f64::max);
            each(s.used, each(fair, wanted(lack), f64::min), f64::max)
        }
    };
    let next = record.regrant(s.shard_id, wish, s.used, s.limit);
    let Some(lack) = s.lack.filter(|_| s.even.is_some()) else {
        return next;
    };
    let granted = next.grants.get(&s.shard_id).copied().unwrap_or_default();
    match granted.covers(each(s.used, lack.task, |a, b| a + b)) {
        true => next,
        false => record.regrant(s.shard_id, s.used, s.used, s.limit),
    }
}
