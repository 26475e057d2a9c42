//! What drains change of placement, scale-out and scale-in, worked out from their records.

use crate::storage::record_cache::VersionedRecord;
use snowshelf_calendar::entry::Name;
use snowshelf_drain::budget::Amount;
use snowshelf_drain::entry::{Drain, Stage, Then};
use snowshelf_model::ids::{JobId, MachineId, ShardId, Team};
use std::collections::{BTreeMap, BTreeSet};

/// A cordoned machine: nothing starts on it any more.
#[derive(Clone, Debug)]
pub struct Cordon {
    /// The drain that cordons it.
    pub drain: Name,
    /// What becomes of it once it is empty.
    pub then: Then,
    /// How long its tasks may run on before they are evicted, in milliseconds.
    pub patience_ms: u64,
    /// Whether its tasks are evicted whatever the disruption budgets allow.
    pub forced: bool,
}

/// All drains' effect on machines and disruption budgets.
#[derive(Default)]
pub struct DrainState {
    /// Cordoned machines.
    pub cordoned: BTreeMap<MachineId, Cordon>,
    /// Machines that do not count as capacity any more: those of a step, and those that stay empty.
    pub leaving: BTreeSet<MachineId>,
    /// Whether some drain has not ended.
    pub active: bool,
    /// Whether the records are recent enough to compute budgets from them.
    pub records_fresh: bool,
    /// How many of a job's tasks that were tried before are known to run again in a shard.
    pub restarted_tasks: BTreeMap<(ShardId, JobId), u32>,
    /// Tasks on machines of other shards that are silent or about to be interrupted, by team.
    pub lost_tasks: BTreeMap<Team, Amount>,
}

impl DrainState {
    /// The cordons of all drains.
    #[must_use]
    pub fn of(drains: &BTreeMap<Name, VersionedRecord<Drain>>) -> DrainState {
        let mut state = DrainState::default();
        for (name, v) in drains {
            let drain = &*v.value;
            state.active |= !drain.state.ended();
            for (machine, step) in drain.closed() {
                let cordon = Cordon {
                    drain: name.clone(),
                    then: drain.how.then,
                    patience_ms: drain.how.patience_ms,
                    forced: step.stage == Stage::Forcing,
                };
                state.cordoned.insert(machine.clone(), cordon);
            }
            state.leaving.extend(drain.leaving().cloned());
            for machine in &drain.kept {
                let cordon = Cordon {
                    drain: name.clone(),
                    then: Then::Keep,
                    patience_ms: drain.how.patience_ms,
                    forced: false,
                };
                state.cordoned.insert(machine.clone(), cordon);
                state.leaving.insert(machine.clone());
            }
        }
        state
    }

    /// Whether there is no drain in progress and no cordoned machine.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        !self.active && self.cordoned.is_empty()
    }
}
