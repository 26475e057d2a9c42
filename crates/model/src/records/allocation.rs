//! A shard's allocation of a job, and the changes that the shard leader makes to it.

use super::compact_encoding::{self, InvalidEncoding};
use crate::ids::{Attempt, MachineId, TaskIndex};
use crate::task_ranges::TaskRanges;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeMap;

/// The record `alloc/<shard>/<job>`: the tasks of a job that a shard is responsible for.
#[derive(Clone, PartialEq, Eq, Debug, Default, Serialize, Deserialize)]
#[serde(try_from = "StoredAllocation")]
pub struct ShardAllocation {
    /// Tasks that are not started, with the attempt to start them at.
    #[serde(rename = "w", skip_serializing_if = "TaskRanges::is_empty")]
    pub waiting: TaskRanges,
    /// Tasks that may be on a machine, with the attempt in the command to start them.
    #[serde(rename = "s", skip_serializing_if = "BTreeMap::is_empty")]
    pub started: BTreeMap<MachineId, TaskRanges>,
    /// Tasks that are done. Format V2 stores only the first one.
    #[serde(rename = "f", skip_serializing_if = "TaskRanges::is_empty")]
    pub finished: TaskRanges,
}

/// An allocation in either record format.
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

/// A change that a shard leader makes to an allocation. Applying it again has no further effect.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct AllocationChange {
    /// The task to change.
    pub task: TaskIndex,
    /// The attempt that starts or ended.
    pub attempt: Attempt,
    /// The machine that the attempt starts or ended on.
    pub machine: MachineId,
    /// What happened to the attempt.
    pub kind: AllocationChangeKind,
}

/// The event that changes an allocation.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum AllocationChangeKind {
    /// A waiting task starts on a machine.
    Start,
    /// A started task is done.
    Finish,
    /// A started task is proven to be no longer on its machine; it waits again, at the next attempt.
    Requeue,
}

/// Maximum bytes that a started task adds to its allocation's record in format V1: a machine with
/// one range, and the range split that the task causes among waiting or finished tasks.
const MAX_STARTED_TASK_BYTES: usize = 50;

impl ShardAllocation {
    /// Maximum number of started tasks of an allocation in format V1. The store rejects a record
    /// above `value_bytes`, and with it the whole compare-and-swap of the shard.
    #[must_use]
    pub fn max_started(value_bytes: usize) -> u32 {
        (value_bytes * 9 / 10 / MAX_STARTED_TASK_BYTES) as u32
    }

    /// Encodes the allocation in format V2: compact, or plain if a machine's name cannot be encoded.
    pub(super) fn to_compact_value(&self) -> Option<Value> {
        match compact_encoding::encode(self) {
            Some(text) => Some(Value::String(text)),
            None => serde_json::to_value(self).ok(),
        }
    }

    /// Returns the attempt of a task that is started on this machine; `None` if it is not.
    #[must_use]
    pub fn started_on(&self, machine: &MachineId, task: TaskIndex) -> Option<Attempt> {
        self.started.get(machine)?.get(task)
    }

    /// Number of started tasks on all machines.
    #[must_use]
    pub fn started_count(&self) -> u32 {
        self.started.values().map(TaskRanges::len).sum()
    }

    /// Applies a change. Returns false, without an effect, if the allocation no longer allows the
    /// change; the caller must drop it then.
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
