//! The limits of the calendar: the capacity of each pool and the reservable amount of each team.

use super::DAY_MS;
use crate::operator::{CalendarSettings, KnownCapacity};
use crate::settings::TeamLimits;
use snowshelf_calendar::amount::Amount;
use snowshelf_calendar::calendar::{CalendarLimits, Pool};
use snowshelf_model::ids::Team;
use snowshelf_model::protocol::cloud::MachineType;
use snowshelf_model::records::Resources;
use std::collections::BTreeMap;

/// The limits that follow from the cloud's machine types, the team limits and the settings. A pool whose
/// capacity the settings do not name is unlimited. Prices are not considered, so that a change of prices
/// does not rebuild the calendar.
#[must_use]
pub fn calendar_limits(
    types: &BTreeMap<String, MachineType>,
    teams: &[TeamLimits],
    settings: &CalendarSettings,
) -> CalendarLimits {
    let mut pools = BTreeMap::new();
    for machine_type in types.values() {
        for zone in &machine_type.zones {
            let is_known = |c: &&KnownCapacity| c.zone == *zone && c.model == machine_type.name;
            let capacity = match settings.capacity.iter().find(is_known) {
                Some(c) => {
                    Amount::from_resources(machine_type.capacity()).times(i64::from(c.machines))
                }
                None => Amount::UNLIMITED,
            };
            pools.insert(Pool::new(zone, &machine_type.name), capacity);
        }
    }
    let team_limits = teams.iter().map(|team| {
        let resources = Resources {
            cpus: team.cpus_max,
            gpus: team.gpus_max,
            mem: 0.0,
        };
        let mut limit = Amount::from_resources(resources);
        limit.mem = Amount::UNLIMITED.mem;
        (Team::new(&team.name), limit)
    });
    CalendarLimits {
        pools,
        teams: team_limits.collect(),
        horizon_ms: u64::from(settings.horizon_days) * DAY_MS,
        max_entries: settings.most_entries,
    }
}
