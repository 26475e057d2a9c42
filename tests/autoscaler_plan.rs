//! The autoscaler's plan, which groups machines, compared with a reference that scans every machine for every
//! demand.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed};
use snowshelf::coordination::autoscaler::{MachineSupply, Plan, Pool, TaskDemand, ZoneModel, plan};
use snowshelf::coordination::placement::ZoneRule;
use snowshelf_model::ids::ShardId;
use snowshelf_model::protocol::cloud::MachineType;
use snowshelf_model::records::Resources;
use std::collections::{BTreeMap, BTreeSet};

fn resources(cpus: u32, mem: u32) -> Resources {
    Resources {
        cpus: f64::from(cpus),
        gpus: 0.0,
        mem: f64::from(mem),
    }
}

fn types() -> BTreeMap<String, MachineType> {
    let kind = |label: &str, cpus: u32, hourly: f64, spot| MachineType {
        name: label.into(),
        cpus: f64::from(cpus),
        gpus: 0.0,
        mem: f64::from(4 * cpus),
        local_gb: 30.0,
        fetch_gb_per_s: 0.1,
        hourly_price: hourly,
        spot_price: spot,
        ready_s: 50.0,
        zones: vec!["a".into(), "b".into()],
    };
    let all = [
        kind("s", 8, 0.5, Some(0.1)),
        kind("l", 32, 2.4, Some(0.9)),
        kind("o", 16, 1.0, None),
    ];
    all.into_iter().map(|t| (t.name.clone(), t)).collect()
}

fn pool() -> impl Strategy<Value = Pool> {
    (0..3usize, any::<bool>(), any::<bool>()).prop_map(|(model, zone, spot)| Pool {
        model: ["s", "l", "o"][model].into(),
        zone: if zone { "a" } else { "b" }.into(),
        spot,
    })
}

fn task_demand() -> impl Strategy<Value = TaskDemand> {
    let of = prop_oneof![
        Just(None),
        Just(Some(vec!["s".to_string()])),
        Just(Some(vec!["l".to_string(), "o".to_string()]))
    ];
    let zone = prop_oneof![Just(None), Just(Some("a".to_string()))];
    let closed_pools = prop_oneof![
        4 => Just(Vec::new()),
        1 => Just(vec![ZoneModel { zone: "b".to_string(), model: "s".to_string() }])
    ];
    let size = (1..6u32, 1..20u32, 0..60u32, 0..3u32, 0..8u32);
    (size, of, zone, any::<bool>(), closed_pools).prop_map(
        |((cpus, mem, tasks, late, waited), types, zone, spot, closed_pools)| TaskDemand {
            is_reservation: false,
            zones: ZoneRule::default(),
            shard: None,
            unmet_s: f64::from(waited),
            resources: resources(cpus, mem),
            tasks,
            over_quota_cpu_s: 0.0,
            types,
            zone,
            spot,
            estimate_s: 10.0,
            patience_s: [0.0, 5.0, 100.0][late as usize],
            closed_pools,
        },
    )
}

/// Computes the plan by scanning all machines.
#[expect(
    clippy::too_many_lines,
    reason = "the reference model stands in one place"
)]
fn reference_plan(
    demands: &[TaskDemand],
    mut supply: Vec<MachineSupply>,
    types: &BTreeMap<String, MachineType>,
    refused: &BTreeSet<Pool>,
) -> Plan {
    let allows = |demand: &TaskDemand, pool: &Pool| {
        demand
            .types
            .as_ref()
            .is_none_or(|t| t.contains(&pool.model))
            && demand.zone.as_ref().is_none_or(|z| *z == pool.zone)
            && (demand.spot || !pool.spot)
            && !demand
                .closed_pools
                .iter()
                .any(|closed| closed.zone == pool.zone && closed.model == pool.model)
    };
    let unit = |demand: &TaskDemand, t: &MachineType, spot| match demand
        .resources
        .count_in(t.capacity())
    {
        0 => None,
        per => Some(t.price(spot) / f64::from(per)),
    };
    let mut pools = Vec::new();
    for t in types.values() {
        for zone in &t.zones {
            for spot in [true, false]
                .into_iter()
                .filter(|s| !s || t.spot_price.is_some())
            {
                let (model, zone) = (t.name.clone(), zone.clone());
                pools.push(Pool { model, zone, spot });
            }
        }
    }
    pools.retain(|p| !refused.contains(p));
    let mut rent: BTreeMap<Pool, u32> = BTreeMap::new();
    let mut unmet = Vec::new();
    let mut order: Vec<(usize, &TaskDemand)> = demands.iter().enumerate().collect();
    order.sort_by_key(|(_, w)| (w.spot, w.types.is_none(), w.zone.is_none()));
    supply.sort_by_key(|h| !h.pool.spot);
    let mut backlog = 0.0;
    for (index, demand) in order {
        let (mut left, mut reach) = (demand.tasks, 0.0);
        let mut on_rented = 0;
        for h in supply.iter_mut().filter(|h| allows(demand, &h.pool)) {
            let n = demand.resources.count_in(h.free).min(left);
            h.free.sub(demand.resources.times(f64::from(n)));
            left -= n;
            on_rented += if h.shard.is_some() { n } else { 0 };
            reach += types[&h.pool.model].cpus - h.lasting_cpus;
        }
        if on_rented < demand.tasks {
            unmet.push(index);
        }
        let of = types
            .values()
            .filter(|t| demand.types.as_ref().is_none_or(|l| l.contains(&t.name)));
        let cheapest = of
            .filter_map(|t| unit(demand, t, demand.spot))
            .fold(f64::INFINITY, f64::min);
        while left > 0 {
            let usable = pools.iter().filter(|p| {
                allows(demand, p) && demand.resources.count_in(types[&p.model].capacity()) > 0
            });
            let price = |p: &Pool| {
                let t = &types[&p.model];
                t.price(p.spot) / f64::from(demand.resources.count_in(t.capacity()).min(left))
            };
            let rented = |p: &Pool| rent.get(p).copied().unwrap_or(0);
            let best = usable.min_by(|a, b| {
                price(a)
                    .total_cmp(&price(b))
                    .then(rented(a).cmp(&rented(b)))
            });
            let Some(pool) = best.cloned() else { break };
            let t = &types[&pool.model];
            let work = backlog
                + demand.over_quota_cpu_s
                + f64::from(left) * demand.resources.cpus * demand.estimate_s;
            let dear = unit(demand, t, pool.spot).is_none_or(|u| u > 1.5 * cheapest);
            let patience = demand.patience_s - demand.unmet_s;
            if dear && patience > 0.0 && work <= reach * patience {
                break;
            }
            let n = demand.resources.count_in(t.capacity()).min(left);
            let mut free = t.capacity();
            free.sub(demand.resources.times(f64::from(n)));
            reach += t.cpus;
            left -= n;
            *rent.entry(pool.clone()).or_default() += 1;
            supply.push(MachineSupply {
                pool,
                shard: None,
                free,
                lasting_cpus: 0.0,
            });
        }
        backlog +=
            demand.over_quota_cpu_s + f64::from(left) * demand.resources.cpus * demand.estimate_s;
    }
    Plan {
        requests: rent,
        unmet,
    }
}

proptest! {
    #![proptest_config(Config {
        cases: 300,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..Config::default()
    })]

    /// Guards against a plan that rents other machines because it looks at groups instead of single machines.
    #[test]
    fn plan_matches_a_reference_that_scans_every_machine(
        demands in prop::collection::vec(task_demand(), 0..12),
        machines in prop::collection::vec((pool(), 0..9u32, 0..4u32, any::<bool>()), 0..30),
        refused in prop::collection::btree_set(pool(), 0..3),
    ) {
        let types = types();
        let supply = || {
            let supply = machines.iter().map(|(pool, taken, by_services, rented)| {
                let mut free = types[&pool.model].capacity();
                free.sub(resources(*taken, 2 * taken));
                let lasting_cpus = f64::from(*taken.min(by_services));
                let shard = rented.then_some(ShardId(0));
                MachineSupply { pool: pool.clone(), shard, free, lasting_cpus }
            });
            supply.collect::<Vec<MachineSupply>>()
        };
        prop_assert_eq!(
            plan(&demands, supply(), &types, &refused),
            reference_plan(&demands, supply(), &types, &refused)
        );
    }
}
