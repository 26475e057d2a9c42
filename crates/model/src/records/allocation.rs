//! A shard's allocation of a job, and the changes that the shard leader makes to it.

use super::compact_encoding::{self, InvalidEncoding};
use crate::ids::{Attempt, MachineId, TaskIndex};
use crate::task_ranges::TaskRanges;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeMap;

/// `alloc/<shard>/<job>`: the tasks of a job that a shard is responsible for.
#[derive(Clone, PartialEq, Eq, Debug, Default, Serialize, Deserialize)]
#[serde(try_from = "StoredAllocation")]
pub struct ShardAllocation {
    /// Tasks that are not started; the attempt is the next one to use.
    #[serde(rename = "w", skip_serializing_if = "TaskRanges::is_empty")]
    pub waiting: TaskRanges,
    /// Tasks that may be on a machine; the attempt is the one commanded.
    #[serde(rename = "s", skip_serializing_if = "BTreeMap::is_empty")]
    pub started: BTreeMap<MachineId, TaskRanges>,
    /// Tasks that are done; in format V2 only the first of them.
    #[serde(rename = "f", skip_serializing_if = "TaskRanges::is_empty")]
    pub finished: TaskRanges,
}

/// An allocation in either stored format.
#[derive(Deserialize)]
#[serde(untagged)]
enum StoredAllocation {
    Compact(String),
    Plain {
        #[serde(default, rename = "w")]
        waiting: TaskRanges,
        #[serde(default, rename = "s")]
        started: BTreeMap<MachineId, TaskRanges>,
        #[serde(default, rename = "f")]
        finished: TaskRanges,
    },
}

impl TryFrom<StoredAllocation> for ShardAllocation {
    type Error = InvalidEncoding;

    fn try_from(stored: StoredAllocation) -> Result<ShardAllocation, InvalidEncoding> {
        match stored {
            StoredAllocation::Compact(text) => compact_encoding::decode(&text),
            StoredAllocation::Plain {
                waiting,
                started,
                finished,
            } => Ok(ShardAllocation {
                waiting,
                started,
                finished,
            }),
        }
    }
}

/// A change that a shard leader makes to an allocation. Applied twice it has the effect of once.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct AllocationChange {
    /// The task.
    pub task: TaskIndex,
    /// The attempt that starts or has ended.
    pub attempt: Attempt,
    /// The machine that it starts or has ended on.
    pub machine: MachineId,
    /// The kind of the change.
    pub kind: AllocationChangeKind,
}

/// The kind of a change of an allocation.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum AllocationChangeKind {
    /// A waiting task starts on a machine.
    Start,
    /// A started task is done.
    Finish,
    /// A started task is proven not to be on its machine; it waits again, with the next attempt.
    Requeue,
}

/// Most bytes that a started task takes of its allocation's record in format V1: its own range on a machine
/// of its own, and the gap that it leaves among waiting or finished tasks.
const STARTED_TASK_BYTES: usize = 50;

impl ShardAllocation {
    /// Most tasks that an allocation may have started at once in format V1, so that its record stays under
    /// the largest value: a larger one is rejected, and every write of the shard with it.
    #[must_use]
    pub fn max_started(value_bytes: usize) -> u32 {
        (value_bytes * 9 / 10 / STARTED_TASK_BYTES) as u32
    }

    /// The value in format V2: compact, unless a machine's name does not allow it.
    pub(super) fn to_compact_value(&self) -> Option<Value> {
        match compact_encoding::encode(self) {
            Some(text) => Some(Value::String(text)),
            None => serde_json::to_value(self).ok(),
        }
    }

    /// The attempt of a task that is started on a machine.
    #[must_use]
    pub fn started_on(&self, machine: &MachineId, task: TaskIndex) -> Option<Attempt> {
        self.started.get(machine)?.get(task)
    }

    /// Number of started tasks.
    #[must_use]
    pub fn started_count(&self) -> u32 {
        self.started.values().map(TaskRanges::len).sum()
    }

    /// Applies a change; false if the allocation no longer allows it, so that it must be dropped.
    pub fn apply(&mut self, change: &AllocationChange) -> bool {
        let is_started = self.started_on(&change.machine, change.task) == Some(change.attempt);
        match change.kind {
            AllocationChangeKind::Start if is_started => true,
            AllocationChangeKind::Start => self.start(change),
            AllocationChangeKind::Finish | AllocationChangeKind::Requeue if !is_started => false,
            AllocationChangeKind::Finish => {
                self.remove_started(change);
                self.finished.insert(change.task, Attempt(0));
                true
            }
            AllocationChangeKind::Requeue => {
                self.remove_started(change);
                let next_attempt = Attempt(change.attempt.0.saturating_add(1));
                self.waiting.insert(change.task, next_attempt);
                true
            }
        }
    }

    fn start(&mut self, change: &AllocationChange) -> bool {
        if self.waiting.get(change.task) != Some(change.attempt) {
            return false;
        }
        self.waiting.remove(change.task);
        self.started
            .entry(change.machine.clone())
            .or_default()
            .insert(change.task, change.attempt);
        true
    }

    fn remove_started(&mut self, change: &AllocationChange) {
        if let Some(tasks) = self.started.get_mut(&change.machine) {
            tasks.remove(change.task);
            if tasks.is_empty() {
                self.started.remove(&change.machine);
            }
        }
    }
}
