//! What the drains change of placement, renting and returning, worked out from their records.

use crate::storage::record_cache::VersionedRecord;
use snowshelf_calendar::entry::Name;
use snowshelf_drain::budget::Amount;
use snowshelf_drain::entry::{Drain, Stage, Then};
use snowshelf_model::ids::{JobId, MachineId, ShardId, Team};
use std::collections::{BTreeMap, BTreeSet};

/// A machine on which nothing starts any more.
#[derive(Clone, Debug)]
pub struct Closed {
    pub drain: Name,
    pub then: Then,
    pub patience_ms: u64,
    /// What is there goes whatever the budgets say.
    pub forced: bool,
}

#[derive(Default)]
pub struct Draining {
    pub closed: BTreeMap<MachineId, Closed>,
    /// Machines that are no capacity any more: those of a step, and those kept empty.
    pub leaving: BTreeSet<MachineId>,
    /// Some drain has not ended.
    pub active: bool,
    /// The records are known as of a moment ago, so that budgets can be worked out.
    pub fresh: bool,
    /// How many of a job's tasks that were tried before are known to run again in a part.
    pub again: BTreeMap<(ShardId, JobId), u32>,
    /// Tasks on machines of other parts that are silent or taken, by team.
    pub lost: BTreeMap<Team, Amount>,
}

impl Draining {
    pub fn of(drains: &BTreeMap<Name, VersionedRecord<Drain>>) -> Draining {
        let mut found = Draining::default();
        for (name, v) in drains {
            let drain = &*v.value;
            found.active |= !drain.state.ended();
            for (machine, step) in drain.closed() {
                let closed = Closed {
                    drain: name.clone(),
                    then: drain.how.then,
                    patience_ms: drain.how.patience_ms,
                    forced: step.stage == Stage::Forcing,
                };
                found.closed.insert(machine.clone(), closed);
            }
            found.leaving.extend(drain.leaving().cloned());
            for machine in &drain.kept {
                let closed = Closed {
                    drain: name.clone(),
                    then: Then::Keep,
                    patience_ms: drain.how.patience_ms,
                    forced: false,
                };
                found.closed.insert(machine.clone(), closed);
                found.leaving.insert(machine.clone());
            }
        }
        found
    }

    /// Whether anything is to be kept to, or looked after.
    pub fn is_idle(&self) -> bool {
        !self.active && self.closed.is_empty()
    }
}
