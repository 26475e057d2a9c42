//! A shard's allocation of one job: durable state, desired state, and the pending changes between
//! them.

use super::failures::JobFailures;
use crate::storage::record_cache::VersionedRecord;
use snowshelf_model::ids::{MonotonicMillis, TaskIndex, Version};
use snowshelf_model::records::{
    AllocationChange, AllocationChangeKind, JobRecord, JobSpec, JobState, ShardAllocation,
};
use std::collections::BTreeMap;
use std::rc::Rc;

/// A change of an allocation that is not durable yet.
pub(super) struct PendingChange {
    /// Change number, increasing within the shard.
    pub id: u64,
    /// When the change was applied to the desired state.
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
    /// Tasks wait for their start to become durable.
    Starts,
    /// Ends of tasks. They are least urgent: their resources are free already, and heartbeats
    /// repeat them until they are reaped.
    Ends,
}

/// A shard's allocation of one job.
pub(super) struct ShardJob {
    pub record: Rc<JobRecord>,
    pub record_version: Version,
    /// The allocation as stored, from the record cache.
    pub durable: Rc<ShardAllocation>,
    pub allocation_version: Version,
    /// `durable` with all pending changes applied.
    pub desired: ShardAllocation,
    /// Number of tasks started in `desired`.
    pub started_tasks: u32,
    pub pending_changes: Vec<PendingChange>,
    /// When the oldest pending change was applied.
    pub pending_since: MonotonicMillis,
    /// A write got no response and may still be applied; the key must be written again.
    pub outcome_unknown: bool,
    /// The allocation is being read back; nothing is written meanwhile.
    pub read_in_flight: bool,
    pub write_in_flight: bool,
    /// All dependencies of the job are done. Once true, it stays true.
    pub dependencies_satisfied: bool,
    /// No write before this time: the key-value store rejected a write of this allocation alone.
    pub write_backoff_until: MonotonicMillis,
    /// Number that identifies the job's image within this shard.
    pub image_id: u32,
    /// Failures of its tasks.
    pub failures: JobFailures,
    /// For jobs of DAG runs: failures of each task known to this leader.
    pub task_failures: BTreeMap<TaskIndex, u32>,
    /// No task is placed before this time.
    pub placement_backoff_until: MonotonicMillis,
}

impl ShardJob {
    /// Creates the entry of an allocation that has just been read; `desired` is still empty.
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
            failures: JobFailures::default(),
            task_failures: BTreeMap::new(),
            placement_backoff_until: MonotonicMillis(0),
        }
    }

    /// Returns the job's specification; `None` once the job has ended and its record has been
    /// reduced.
    pub(super) fn spec(&self) -> Option<&JobSpec> {
        self.record.spec.as_ref()
    }

    /// Whether the job has been cancelled.
    pub(super) fn cancelled(&self) -> bool {
        self.record.state == JobState::Cancelled
    }

    /// Whether tasks of the job wait for machines and for nothing else.
    pub(super) fn is_waiting(&self) -> bool {
        self.dependencies_satisfied && !self.cancelled() && !self.desired.waiting.is_empty()
    }

    /// Whether no task of the job is left in this shard once all pending changes are durable.
    pub(super) fn is_finished_here(&self) -> bool {
        self.desired.started.is_empty() && (self.cancelled() || self.desired.waiting.is_empty())
    }

    /// Recomputes `desired` from `durable`, dropping pending changes that no longer apply.
    pub(super) fn reapply_pending_changes(&mut self) {
        let mut desired = (*self.durable).clone();
        let cancelled = self.cancelled();
        self.pending_changes.retain(|pending| {
            let change = &pending.change;
            // A start that is not durable when the job is cancelled must never become durable.
            if cancelled && pending.is_start() {
                let started = desired.started_on(&change.machine, change.task);
                return started == Some(change.attempt);
            }
            desired.apply(change)
        });
        self.started_tasks = desired.started_count();
        self.desired = desired;
    }

    /// Returns how long the pending starts have waited to become durable, summed over all of them.
    /// When writes are scarce, the allocation with the largest sum is written first.
    pub(super) fn start_wait_ms(&self, now: MonotonicMillis) -> u64 {
        let starts = self.pending_changes.iter().filter(|p| p.is_start());
        starts.map(|p| now.since(p.applied_at).max(1)).sum()
    }

    /// Whether a start is pending.
    pub(super) fn has_pending_start(&self) -> bool {
        self.pending_changes.iter().any(PendingChange::is_start)
    }

    /// Returns how soon the allocation should be written; `None` if there is nothing to write.
    pub(super) fn write_priority(&self) -> Option<WritePriority> {
        if self.write_in_flight || self.read_in_flight {
            None
        } else if self.outcome_unknown || self.is_finished_here() {
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
