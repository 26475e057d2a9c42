//! How a job is divided over parts.

use crate::coordination::shard_capacity::ShardCapacity;
use snowshelf_model::ids::{JobId, ShardId, shard_of};
use snowshelf_model::records::{JobKind, JobSpec};
use snowshelf_model::task_ranges::TaskRanges;
use std::collections::BTreeMap;

/// A part is given a share only if it takes at least one in so many of the tasks that are left.
const LEAST_SHARE: u32 = 4;

/// Divides a job over parts by their free room, over no more of them than its tasks need: every
/// share costs its own record and several writes. Jobs with the same image prefer the same parts,
/// so that a part's machines need few images; `fetch_s` is what a fetch of this one takes.
pub fn split(
    job: &JobId,
    spec: &JobSpec,
    fetch_s: f64,
    shard_count: u32,
    rooms: &BTreeMap<ShardId, ShardCapacity>,
) -> Vec<(ShardId, TaskRanges)> {
    let known = |p: u32| rooms.get(&ShardId(p)).copied().unwrap_or_default();
    let room = |p: u32| known(p).free.max(0.0);
    if spec.kind == JobKind::Service || spec.zones_bound() || spec.tasks == 1 || shard_count == 1 {
        let first = shard_of(job.as_str(), shard_count).0;
        let ring = (0..shard_count).map(|i| (first + i) % shard_count);
        let best = ring.max_by(|a, b| room(*a).total_cmp(&room(*b)));
        let shard_id = ShardId(best.unwrap_or(first));
        return vec![(shard_id, TaskRanges::range(0, spec.tasks, 1))];
    }
    let size = spec.resources.cpus.max(0.01);
    let home = shard_of(&spec.image, shard_count).0;
    // How long `tasks` more would wait in a part, and how far it is from the image's home.
    let cost = |p: u32, tasks: u32| {
        let ahead = known(p).waiting + f64::from(tasks) * size - room(p);
        let rounds = ahead.max(0.0) / known(p).capacity.max(size);
        rounds * spec.estimate_s + fetch_s * f64::from((p + shard_count - home) % shard_count)
    };
    let mut order: Vec<(f64, u32)> = (0..shard_count).map(|p| (cost(p, spec.tasks), p)).collect();
    order.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
    let mut rest = spec.tasks;
    let mut counts: BTreeMap<u32, u32> = BTreeMap::new();
    for (_, p) in &order {
        let fit = ((room(*p) / size) as u32).min(rest);
        if fit > 0 && fit.saturating_mul(LEAST_SHARE) >= rest {
            counts.insert(*p, fit);
            rest -= fit;
        }
    }
    if rest > 0 {
        // What waits goes where it waits least.
        let best = order.first().map_or(home, |(_, p)| *p);
        *counts.entry(best).or_default() += rest;
    }
    let mut at = 0;
    let mut shares = Vec::new();
    for (p, n) in counts {
        shares.push((ShardId(p), TaskRanges::range(at, at + n, 1)));
        at += n;
    }
    shares
}
