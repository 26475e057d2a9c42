//! A shard's allocation of one job: its durable state, its desired state, and the pending changes between them.

use crate::storage::record_cache::VersionedRecord;
use snowshelf_model::ids::{MachineId, MonotonicMillis, TaskIndex, Version};
use snowshelf_model::records::{
    AllocationChange, AllocationChangeKind, JobRecord, JobSpec, JobState, ShardAllocation,
};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// A change of an allocation that is not durable yet.
pub(super) struct PendingChange {
    /// Increases with each change of the shard.
    pub id: u64,
    /// When it was applied to the desired state.
    pub applied_at: MonotonicMillis,
    pub change: AllocationChange,
}

impl PendingChange {
    fn is_start(&self) -> bool {
        self.change.kind == AllocationChangeKind::Start
    }
}

/// How soon an allocation's changes should be written, most urgent first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub(super) enum WritePriority {
    /// The allocation is finished, or the outcome of a write is unknown.
    Settle,
    /// Tasks wait for their start to be durable.
    Starts,
    /// Ends of tasks: their resources are free already, and heartbeats repeat them until they are reaped.
    Ends,
}

/// A shard's allocation of one job.
pub(super) struct ShardJob {
    pub record: Rc<JobRecord>,
    pub record_version: Version,
    /// The allocation as the record cache has it.
    pub durable: Rc<ShardAllocation>,
    pub allocation_version: Version,
    /// `durable` with all pending changes applied.
    pub desired: ShardAllocation,
    /// The number of tasks started in `desired`.
    pub started_tasks: u32,
    pub pending_changes: Vec<PendingChange>,
    /// When the oldest pending change was applied.
    pub pending_since: MonotonicMillis,
    /// A write went unanswered and may still be applied: the key must be written once more.
    pub outcome_unknown: bool,
    /// The allocation is being read back; nothing is written meanwhile.
    pub read_in_flight: bool,
    pub write_in_flight: bool,
    /// Every job that this one depends on is done; once so, for good.
    pub dependencies_satisfied: bool,
    /// The key-value store refused a write of this allocation alone: nothing is written until then.
    pub write_backoff_until: MonotonicMillis,
    /// The number that stands for the job's image in this shard.
    pub image_id: u32,
    /// Machines on which a task of the job failed.
    pub failed_on: BTreeSet<MachineId>,
    /// Failures since a task last completed.
    pub consecutive_failures: u32,
    /// For jobs of DAG runs: how often each task has failed, as far as this leader knows.
    pub task_failures: BTreeMap<TaskIndex, u32>,
    /// No task is placed until then.
    pub placement_backoff_until: MonotonicMillis,
}

impl ShardJob {
    /// An allocation just read, before its state is taken over.
    pub(super) fn new(
        record: &VersionedRecord<JobRecord>,
        allocation: &VersionedRecord<ShardAllocation>,
        image_id: u32,
        dependencies_satisfied: bool,
        now: MonotonicMillis,
    ) -> ShardJob {
        ShardJob {
            record: record.value.clone(),
            record_version: record.version,
            durable: allocation.value.clone(),
            allocation_version: allocation.version,
            desired: ShardAllocation::default(),
            started_tasks: 0,
            pending_changes: Vec::new(),
            pending_since: now,
            outcome_unknown: false,
            read_in_flight: false,
            write_in_flight: false,
            dependencies_satisfied,
            write_backoff_until: MonotonicMillis(0),
            image_id,
            failed_on: BTreeSet::new(),
            consecutive_failures: 0,
            task_failures: BTreeMap::new(),
            placement_backoff_until: MonotonicMillis(0),
        }
    }

    /// The job's specification; `None` once the record has been reduced to its end.
    pub(super) fn spec(&self) -> Option<&JobSpec> {
        self.record.spec.as_ref()
    }

    /// Whether the job has been cancelled.
    pub(super) fn cancelled(&self) -> bool {
        self.record.state == JobState::Cancelled
    }

    /// Whether tasks of the job wait for machines, and for nothing else.
    pub(super) fn is_waiting(&self) -> bool {
        self.dependencies_satisfied && !self.cancelled() && !self.desired.waiting.is_empty()
    }

    /// Whether nothing of the job is left in this shard once all pending changes are durable.
    pub(super) fn is_over_here(&self) -> bool {
        self.desired.started.is_empty() && (self.cancelled() || self.desired.waiting.is_empty())
    }

    /// Works `desired` out anew from `durable`; pending changes that no longer apply are dropped.
    pub(super) fn reapply_pending_changes(&mut self) {
        let mut desired = (*self.durable).clone();
        let cancelled = self.cancelled();
        self.pending_changes.retain(|pending| {
            let change = &pending.change;
            // A start that is not durable when the job is cancelled must never become so.
            if cancelled && pending.is_start() {
                let started = desired.started_on(&change.machine, change.task);
                return started == Some(change.attempt);
            }
            desired.apply(change)
        });
        self.started_tasks = desired.started_count();
        self.desired = desired;
    }

    /// For how long the pending starts have waited to be durable, summed over all: when writes are scarce, the
    /// allocation goes first that keeps most tasks waiting.
    pub(super) fn start_wait_ms(&self, now: MonotonicMillis) -> u64 {
        let starts = self.pending_changes.iter().filter(|p| p.is_start());
        starts.map(|p| now.since(p.applied_at).max(1)).sum()
    }

    /// Whether a start is pending.
    pub(super) fn has_pending_start(&self) -> bool {
        self.pending_changes.iter().any(PendingChange::is_start)
    }

    /// How soon the allocation should be written; `None` if there is nothing to write.
    pub(super) fn write_priority(&self) -> Option<WritePriority> {
        if self.write_in_flight || self.read_in_flight {
            None
        } else if self.outcome_unknown || self.is_over_here() {
            Some(WritePriority::Settle)
        } else if self.has_pending_start() {
            Some(WritePriority::Starts)
        } else if !self.pending_changes.is_empty() {
            Some(WritePriority::Ends)
        } else {
            None
        }
    }
}
