//! What the calendar changes of what is rented: nothing where it would close too soon, and ahead what is
//! reserved.

use super::planning::Want;
use crate::coordination::context::Context;
use crate::coordination::shard::reservations::provisioning_lead_ms;
use snowshelf_model::ids::{Team, WallClockMillis, seconds_to_ms};

/// Zones and types for which nothing is rented that is to run for so long once it is up.
pub(super) fn shut(stay_ms: Option<u64>, context: &Context) -> Vec<(String, String)> {
    let now = WallClockMillis(context.effects.wall_ms);
    let pools = context.guard.closings.keys();
    pools
        .filter(|pool| {
            let ready_s = context.types.get(&*pool.model).map_or(0.0, |t| t.ready_s);
            let stay = stay_ms.map(|ms| ms.saturating_add(seconds_to_ms(ready_s)));
            context.guard.forbids(pool, stay, now).is_some()
        })
        .map(|pool| (pool.zone.to_string(), pool.model.to_string()))
        .collect()
}

/// What a team's unfinished jobs ask for: zone, types and CPUs.
pub(super) type Demand = (Team, Option<String>, Option<Vec<String>>, f64);

/// Machines for what is reserved now, or so soon that they must be rented: beyond what the team's jobs
/// ask for themselves there.
pub(super) fn reserved(mut demand: Vec<Demand>, context: &Context) -> Vec<Want> {
    let now = WallClockMillis(context.effects.wall_ms);
    let ahead = provisioning_lead_ms(context);
    let mut wants = Vec::new();
    for hold in &context.guard.holds {
        let opens = hold.from.0.saturating_sub(ahead);
        let Some(kind) = context.types.get(&*hold.pool.model) else {
            continue;
        };
        if now.0 < opens || now >= hold.until || context.guard.empties(&hold.pool, now, 0).is_some()
        {
            continue;
        }
        let mut room = hold.amount.room();
        for (team, zone, types, cpus) in &mut demand {
            let there = *team == hold.team
                && zone.as_ref().is_none_or(|z| **z == *hold.pool.zone)
                && types
                    .as_ref()
                    .is_none_or(|t| t.iter().any(|t| **t == *hold.pool.model));
            if there && room.cpus > 0.0 {
                let taken = cpus.min(room.cpus);
                room = room.times(1.0 - taken / room.cpus);
                *cpus -= taken;
            }
        }
        let whole = kind.room();
        let machines = [
            (room.cpus, whole.cpus),
            (room.gpus, whole.gpus),
            (room.mem, whole.mem),
        ];
        let machines = machines
            .into_iter()
            .filter(|(requested, available)| *requested > 0.0 && *available > 0.0)
            .map(|(requested, available)| (requested / available).ceil())
            .fold(0.0, f64::max);
        if machines > 0.0 {
            wants.push(Want {
                resources: whole,
                tasks: machines.min(f64::from(u32::MAX)) as u32,
                types: Some(vec![hold.pool.model.to_string()]),
                zone: Some(hold.pool.zone.to_string()),
                spot: hold.spot,
                estimate_s: 0.0,
                beyond: 0.0,
                // What is reserved is rented however dear it is.
                patience_s: 0.0,
                shut: Vec::new(),
            });
        }
    }
    wants
}
