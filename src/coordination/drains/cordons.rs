//! The constraints that drains put on placement, scale-out and scale-in, computed from their records.

use crate::storage::record_cache::VersionedRecord;
use snowshelf_calendar::entry::Name;
use snowshelf_drain::budget::Amount;
use snowshelf_drain::entry::{Drain, Stage, Then};
use snowshelf_model::ids::{JobId, MachineId, ShardId, Team};
use std::collections::{BTreeMap, BTreeSet};

/// The cordon of one machine: no task starts on it.
#[derive(Clone, Debug)]
pub struct Cordon {
    /// The drain that cordons the machine.
    pub drain: Name,
    /// What becomes of the machine once it is empty.
    pub then: Then,
    /// How long its tasks may keep running before they are evicted, in milliseconds.
    pub patience_ms: u64,
    /// Whether its tasks are evicted even beyond the disruption budgets.
    pub forced: bool,
}

/// The effect of all drains on machines and disruption budgets.
#[derive(Default)]
pub struct DrainConstraints {
    /// Cordoned machines.
    pub cordoned: BTreeMap<MachineId, Cordon>,
    /// Machines that do not count as capacity: those in a step, and those that are kept empty.
    pub leaving: BTreeSet<MachineId>,
    /// Whether any drain has not ended.
    pub active: bool,
    /// Whether the records are recent enough to compute disruption budgets from them.
    pub records_fresh: bool,
    /// Tasks of a job that were attempted before and are known to run again, by shard and job.
    pub restarted_tasks: BTreeMap<(ShardId, JobId), u32>,
    /// Tasks on machines of other shards that are silent or about to be interrupted, by team.
    pub lost_tasks: BTreeMap<Team, Amount>,
}

impl DrainConstraints {
    /// Computes the constraints of all drains; the counts of tasks are still empty.
    #[must_use]
    pub fn of(drains: &BTreeMap<Name, VersionedRecord<Drain>>) -> DrainConstraints {
        let mut constraints = DrainConstraints::default();
        for (name, v) in drains {
            let drain = &*v.value;
            constraints.active |= !drain.state.has_ended();
            for (machine, step) in drain.cordoned_machines() {
                let cordon = Cordon {
                    drain: name.clone(),
                    then: drain.options.then,
                    patience_ms: drain.options.patience_ms,
                    forced: step.stage == Stage::Forcing,
                };
                constraints.cordoned.insert(machine.clone(), cordon);
            }
            constraints
                .leaving
                .extend(drain.leaving_machines().cloned());
            for machine in &drain.kept_machines {
                let cordon = Cordon {
                    drain: name.clone(),
                    then: Then::Keep,
                    patience_ms: drain.options.patience_ms,
                    forced: false,
                };
                constraints.cordoned.insert(machine.clone(), cordon);
                constraints.leaving.insert(machine.clone());
            }
        }
        constraints
    }

    /// Whether no drain is in progress and no machine is cordoned.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        !self.active && self.cordoned.is_empty()
    }
}
