//! A job to be placed, and the machines that it may use in a placement pass.

use super::capacity::candidate;
use super::job::ShardJob;
use super::placement::PlacementPass;
use super::queue::QueuedJob;
use crate::coordination::context::Context;
use crate::coordination::placement::{ImageState, MachineCandidate};
use snowshelf_machine_index::capacity_index::AllowedClasses;
use snowshelf_model::ids::MachineId;
use snowshelf_model::records::JobSpec;

/// Where a job's tasks may be placed.
#[derive(Clone, PartialEq)]
pub(super) enum PlacementScope {
    /// On any machine that is not reserved for another job.
    Anywhere,
    /// Only on machines that have the job's image or are fetching it.
    WithImage,
    /// On the machine that is reserved for the job.
    On(MachineId),
}

/// A job to be placed, and where.
#[derive(Clone, Copy)]
pub(super) struct PlacementRequest<'a> {
    pub queued: &'a QueuedJob,
    pub scope: &'a PlacementScope,
    pub job: &'a ShardJob,
    pub spec: &'a JobSpec,
    /// One of the job's tasks is being tried after failures.
    pub awaits_trial: bool,
}

impl PlacementRequest<'_> {
    /// Whether the job may only use machines that have its image or are fetching it.
    pub(super) fn only_with_image(&self) -> bool {
        *self.scope == PlacementScope::WithImage
    }

    /// Whether the job may only use the machine that is reserved for it.
    pub(super) fn on_reserved_machine(&self) -> bool {
        matches!(self.scope, PlacementScope::On(_))
    }

    /// Returns how many tasks may be started now.
    pub(super) fn wanted_tasks(&self) -> u32 {
        let waiting = self.job.desired.waiting.len();
        if !self.job.failures.requires_trial() || !self.job.desired.finished.is_empty() {
            waiting
        } else if self.awaits_trial {
            0
        } else {
            waiting.min(1)
        }
    }

    /// Whether backfill reservations allow the job to use a machine.
    fn may_use(&self, name: &MachineId, pass: &PlacementPass) -> bool {
        match self.scope {
            PlacementScope::On(machine) => machine == name,
            PlacementScope::Anywhere | PlacementScope::WithImage => {
                let reserved_for = pass.backfill_machines.get(name);
                reserved_for.is_none_or(|job| *job == self.queued.job)
            }
        }
    }

    /// Returns the machines that could take a task now, as indexes into the capacity index and as
    /// the matching placement candidates.
    pub(super) fn candidates(
        &self,
        allowed: &AllowedClasses,
        pass: &mut PlacementPass,
        context: &Context<'_>,
    ) -> (Vec<usize>, Vec<MachineCandidate>) {
        let mut fitting = pass.capacity_index.fitting(self.spec.resources, allowed);
        let mut candidates = Vec::with_capacity(fitting.len());
        fitting.retain(|index| {
            if !self.may_use(&pass.capacity_index.entries()[*index].machine.name, pass) {
                return false;
            }
            let candidate = candidate(*self, *index, pass, context);
            let without_image = self.only_with_image() && candidate.image == ImageState::Absent;
            let usable = candidate.max_tasks > 0 && !without_image;
            if usable {
                candidates.push(candidate);
            }
            usable
        });
        (fitting, candidates)
    }
}
