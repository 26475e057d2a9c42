//! Properties of the division of a team's quota among shards.

use proptest::prelude::*;
use snowshelf_fair_share::grants::{QuotaShortfall, ShardDemand, regrant_fairly};
use snowshelf_model::ids::ShardId;
use snowshelf_model::records::{Grant, QuotaRecord};

fn cpus(cpus: f64) -> Grant {
    Grant { cpus, gpus: 0.0 }
}

proptest! {
    /// Guards against a deadlock in which each shard holds a grant smaller than one task, so that no
    /// shard starts any. For any initial division of the limit, once each shard has adjusted its
    /// grant twice, some shard can start a task if the limit allows it.
    #[test]
    fn regrant_fairly_lets_some_shard_start_a_task(
        busy in 0..20u32,
        shards in prop::collection::vec((1..6u32, 1..60u32, 0..30u32), 2..6),
        spare in 0..8u32,
        adjustments in prop::collection::vec(any::<prop::sample::Index>(), 0..12),
    ) {
        let largest = shards.iter().map(|p| p.0).max().unwrap_or(1);
        let limit = f64::from(busy + largest + spare);
        let demand: u32 = shards.iter().map(|p| p.1).sum::<u32>() + 10 * busy;
        // Shard 0 uses its whole grant and needs no more; the other shards divide the rest arbitrarily.
        let mut record = QuotaRecord::default();
        record.grants.insert(ShardId(0), cpus(f64::from(busy)));
        let mut remaining = limit - f64::from(busy);
        for (n, (_, _, eighths)) in shards.iter().enumerate() {
            let granted = (f64::from(*eighths) / 8.0).min(remaining);
            remaining -= granted;
            record.grants.insert(ShardId(n as u32 + 1), cpus(granted));
        }
        let demand_of = |n: usize| {
            let (task, demanded, _) = shards[n];
            ShardDemand {
                shard_id: ShardId(n as u32 + 1),
                used: Grant::default(),
                shortfall: Some(QuotaShortfall {
                    total: cpus(f64::from(demanded.max(task))),
                    smallest_task: cpus(f64::from(task)),
                }),
                fair_share: Some(cpus(limit * f64::from(demanded) / f64::from(demand))),
                step: cpus(limit / 40.0),
                limit: cpus(limit),
            }
        };
        let order = adjustments.iter().map(|t| t.index(shards.len()));
        for n in order.chain(0..shards.len()).chain(0..shards.len()) {
            record = regrant_fairly(&record, &demand_of(n));
            prop_assert!(record.granted().cpus <= limit + 1e-6);
            prop_assert_eq!(record.grants[&ShardId(0)], cpus(f64::from(busy)));
        }
        let can_start = |(n, p): (usize, &(u32, u32, u32))| {
            record.grants[&ShardId(n as u32 + 1)].cpus + 1e-6 >= f64::from(p.0)
        };
        prop_assert!(shards.iter().enumerate().any(can_start), "{record:?}");
    }
}
