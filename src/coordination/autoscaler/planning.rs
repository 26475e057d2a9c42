//! What to rent so that what waits finds room where a task is cheapest: pure.

use snowshelf_machine_index::capacity_index::CapacityIndex;
use snowshelf_model::protocol::cloud::MachineType;
use snowshelf_model::records::Resources;
use std::collections::{BTreeMap, BTreeSet};

/// A kind of machine in a place: what one rental request asks for.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub struct Pool {
    pub model: String,
    pub zone: String,
    pub spot: bool,
}

/// A group of equal tasks that want room.
#[derive(Clone, Debug)]
pub struct Want {
    pub resources: Resources,
    pub tasks: u32,
    pub types: Option<Vec<String>>,
    pub zone: Option<String>,
    pub spot: bool,
    pub estimate_s: f64,
    /// Work of tasks that the team's limit keeps waiting, in CPU seconds: no room is rented for
    /// them, but they take their turn on what there is.
    pub beyond: f64,
    /// How long its tasks may wait for room without missing an aim.
    pub patience_s: f64,
    /// Zones and types that close before its tasks would be through.
    pub shut: Vec<(String, String)>,
}

/// A machine is dear for a job if it costs more than this many times the cheapest one allowed.
const DEAR: f64 = 1.5;
/// Room that is there or on its way.
#[derive(Clone, Debug)]
pub struct Have {
    pub pool: Pool,
    pub free: Resources,
}

fn allows(want: &Want, pool: &Pool) -> bool {
    want.types.as_ref().is_none_or(|t| t.contains(&pool.model))
        && want.zone.as_ref().is_none_or(|z| *z == pool.zone)
        && (want.spot || !pool.spot)
        && !want
            .shut
            .iter()
            .any(|(zone, model)| *zone == pool.zone && *model == pool.model)
}

/// What a full machine costs for each task of `want`.
fn unit_price(want: &Want, t: &MachineType, spot: bool) -> Option<f64> {
    match want.resources.count_in(t.room()) {
        0 => None,
        per => Some(t.price(spot) / f64::from(per)),
    }
}

/// What to rent so that the wants fit: pure.
pub fn plan(
    wants: &[Want],
    mut have: Vec<Have>,
    types: &BTreeMap<String, MachineType>,
    refused: &BTreeSet<Pool>,
) -> BTreeMap<Pool, u32> {
    let mut pools: Vec<Pool> = Vec::new();
    for t in types.values() {
        for zone in &t.zones {
            for spot in [true, false] {
                if spot && t.spot_price.is_none() {
                    continue;
                }
                let pool = Pool {
                    model: t.label.clone(),
                    zone: zone.clone(),
                    spot,
                };
                if !refused.contains(&pool) {
                    pools.push(pool);
                }
            }
        }
    }
    let mut rent: BTreeMap<Pool, u32> = BTreeMap::new();
    // Those that may use fewer machines choose first.
    let mut order: Vec<&Want> = wants.iter().collect();
    order.sort_by_key(|w| (w.spot, w.types.is_none(), w.zone.is_none()));
    // Jobs that may use spot machines leave the ordinary ones to those that may not.
    have.sort_by_key(|h| !h.pool.spot);
    let mut capacity_index: CapacityIndex<Pool, ()> = CapacityIndex::default();
    for h in have {
        capacity_index.push(|pool| *pool == h.pool, || h.pool.clone(), h.free, ());
    }
    // What fits nowhere at once and waits for room, in CPU seconds.
    let mut backlog = 0.0;
    for want in order {
        let mut left = want.tasks;
        let allowed = capacity_index.allowed(|pool| allows(want, pool));
        if left > 0 {
            for at in capacity_index.fitting(want.resources, &allowed) {
                let n = want
                    .resources
                    .count_in(capacity_index.entries()[at].free)
                    .min(left);
                capacity_index.allocate(at, want.resources.times(f64::from(n)));
                left -= n;
            }
        }
        let cpus = |pool: &Pool| types.get(&pool.model).map_or(0.0, |t| t.cpus);
        let sizes = capacity_index.class_sizes(&allowed);
        let mut reach: f64 = sizes.map(|(pool, n)| n as f64 * cpus(pool)).sum();
        let cheapest = types
            .values()
            .filter(|t| want.types.as_ref().is_none_or(|l| l.contains(&t.label)))
            .filter_map(|t| unit_price(want, t, want.spot))
            .fold(f64::INFINITY, f64::min);
        let usable: Vec<(&Pool, &MachineType, u32)> = pools
            .iter()
            .filter(|p| left > 0 && allows(want, p))
            .filter_map(|p| {
                let t = types.get(&p.model)?;
                let per = want.resources.count_in(t.room());
                (per > 0).then_some((p, t, per))
            })
            .collect();
        while left > 0 {
            let best = usable
                .iter()
                .map(|(p, t, per)| {
                    // The last machine may stay partly empty: price what is used of it.
                    let price = t.price(p.spot) / f64::from((*per).min(left));
                    (price, rent.get(*p).copied().unwrap_or(0), *p, *t, *per)
                })
                .min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
            let Some((_, _, pool, t, per)) = best else {
                break;
            };
            let dear = unit_price(want, t, pool.spot).is_none_or(|u| u > DEAR * cheapest);
            if dear {
                // Dear machines are rented only for what would wait too long for the others.
                let work =
                    backlog + want.beyond + f64::from(left) * want.resources.cpus * want.estimate_s;
                if want.patience_s > 0.0 && work <= reach * want.patience_s {
                    break;
                }
            }
            let n = per.min(left);
            let mut free = t.room();
            free.sub(want.resources.times(f64::from(n)));
            reach += t.cpus;
            capacity_index.push(|p| p == pool, || pool.clone(), free, ());
            left -= n;
            *rent.entry(pool.clone()).or_default() += 1;
        }
        backlog += want.beyond + f64::from(left) * want.resources.cpus * want.estimate_s;
    }
    rent
}
