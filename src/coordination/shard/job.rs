//! A part's share of one job: what is durable, and the steps that are not yet.

use snowshelf_model::ids::{MachineId, MonotonicMillis, TaskIndex, Version};
use snowshelf_model::records::{
    AllocationChange, AllocationChangeKind, JobRecord, JobSpec, JobState, ShardAllocation,
};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

pub(super) struct PendingChange {
    pub id: u64,
    pub taken: MonotonicMillis,
    pub step: AllocationChange,
}

/// How soon a share's changes should be written, most pressing first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub(super) enum WritePriority {
    /// Its end, or a write whose fate is unknown.
    Settle,
    /// Tasks wait for their start to be durable.
    Starts,
    /// Ends of tasks: their room is free already, and the reports repeat them until reaped.
    Ends,
}

pub(super) struct ShardJob {
    pub spec: Rc<JobRecord>,
    pub job_version: Version,
    pub durable: Rc<ShardAllocation>,
    pub version: Version,
    /// `durable` with all steps applied.
    pub view: ShardAllocation,
    /// Tasks started in `view`.
    pub started: u32,
    pub steps: Vec<PendingChange>,
    /// When the oldest step was taken.
    pub since: MonotonicMillis,
    /// A write went unanswered and may still be applied: the key must be written once more.
    pub unsettled: bool,
    /// Being read back; nothing is written meanwhile.
    pub reading: bool,
    pub in_flight: bool,
    /// Every job that it needs is done; once so, for good.
    pub ready: bool,
    /// The state service refused its write as it is: left alone until then.
    pub hold_until: MonotonicMillis,
    /// The number by which this part knows the job's image.
    pub image: u32,
    pub failed_on: BTreeSet<MachineId>,
    pub failures: u32,
    /// Of a graph's run: how often each task has failed, as far as this owner saw.
    pub errors: BTreeMap<TaskIndex, u32>,
    pub retry_at: MonotonicMillis,
}

impl ShardJob {
    pub fn spec(&self) -> Option<&JobSpec> {
        self.spec.spec.as_ref()
    }
    pub fn cancelled(&self) -> bool {
        self.spec.state == JobState::Cancelled
    }
    /// Whether tasks of it wait for room, and for nothing else.
    pub fn waits(&self) -> bool {
        self.ready && !self.cancelled() && !self.view.waiting.is_empty()
    }
    /// Nothing of the job is left here once all steps are durable.
    pub fn over(&self) -> bool {
        self.view.started.is_empty() && (self.cancelled() || self.view.waiting.is_empty())
    }
    pub fn rebase(&mut self) {
        let mut view = (*self.durable).clone();
        let cancelled = self.cancelled();
        self.steps.retain(|numbered| {
            // A start that is not durable when the job is cancelled must never become so.
            if cancelled && numbered.step.kind == AllocationChangeKind::Start {
                let here = view.started_on(&numbered.step.machine, numbered.step.task);
                return here == Some(numbered.step.attempt);
            }
            view.apply(&numbered.step)
        });
        self.started = view.started_count();
        self.view = view;
    }
    /// For how long its starts have waited to be durable, all together: when writes are scarce, the
    /// share goes first that keeps most tasks waiting.
    pub fn waited_starts(&self, now: MonotonicMillis) -> u64 {
        let starts = self
            .steps
            .iter()
            .filter(|s| s.step.kind == AllocationChangeKind::Start);
        starts.map(|s| now.since(s.taken).max(1)).sum()
    }
    /// Whether there is something to write, and how much it presses.
    pub fn press(&self) -> Option<WritePriority> {
        if self.in_flight || self.reading {
            None
        } else if self.unsettled || self.over() {
            Some(WritePriority::Settle)
        } else if self
            .steps
            .iter()
            .any(|s| s.step.kind == AllocationChangeKind::Start)
        {
            Some(WritePriority::Starts)
        } else if !self.steps.is_empty() {
            Some(WritePriority::Ends)
        } else {
            None
        }
    }
}
