//! The bounds of the calendar: what the deployment can have at most.

use super::DAY_MS;
use crate::operator::{CalendarSettings, KnownCapacity};
use crate::settings::TeamLimits;
use snowshelf_calendar::amount::Amount;
use snowshelf_calendar::calendar::{Bounds, Pool};
use snowshelf_model::ids::Team;
use snowshelf_model::protocol::cloud::MachineType;
use snowshelf_model::records::Resources;
use std::collections::BTreeMap;

/// What the deployment can have at most, as far as its operators and the cloud say. Prices do not
/// matter to it.
#[must_use]
pub fn bounds(
    types: &BTreeMap<String, MachineType>,
    teams: &[TeamLimits],
    settings: &CalendarSettings,
) -> Bounds {
    let mut pools = BTreeMap::new();
    for machine_type in types.values() {
        for zone in &machine_type.zones {
            let is_known = |c: &&KnownCapacity| c.zone == *zone && c.model == machine_type.name;
            let most = match settings.capacity.iter().find(is_known) {
                Some(c) => Amount::of(machine_type.capacity()).times(i64::from(c.machines)),
                None => Amount::BOUNDLESS,
            };
            pools.insert(Pool::new(zone, &machine_type.name), most);
        }
    }
    let limits = teams.iter().map(|team| {
        let quota = Resources {
            cpus: team.cpus_max,
            gpus: team.gpus_max,
            mem: 0.0,
        };
        let mut quota = Amount::of(quota);
        quota.mem = Amount::BOUNDLESS.mem;
        (Team::new(&team.name), quota)
    });
    Bounds {
        pools,
        limits: limits.collect(),
        horizon_ms: u64::from(settings.horizon_days) * DAY_MS,
        most_entries: settings.most_entries,
    }
}
