//! A part's share of a job, and the steps by which its owner changes it.

use super::packed;
use crate::ids::{Attempt, MachineId, TaskIndex};
use crate::task_ranges::TaskRanges;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeMap;

/// `alloc/<p>/<job>`: a part's share of a job.
#[derive(Clone, PartialEq, Eq, Debug, Default, Serialize, Deserialize)]
#[serde(try_from = "Stored")]
pub struct ShardAllocation {
    /// Not started; the attempt is the next one to use.
    #[serde(rename = "w", skip_serializing_if = "TaskRanges::is_empty")]
    pub waiting: TaskRanges,
    /// Possibly on a machine; the attempt is the one commanded.
    #[serde(rename = "s", skip_serializing_if = "BTreeMap::is_empty")]
    pub started: BTreeMap<MachineId, TaskRanges>,
    /// In the wide format only the first of them.
    #[serde(rename = "f", skip_serializing_if = "TaskRanges::is_empty")]
    pub finished: TaskRanges,
}

/// A share as it may stand in the state service.
#[derive(Deserialize)]
#[serde(untagged)]
enum Stored {
    Short(String),
    Plain {
        #[serde(default)]
        w: TaskRanges,
        #[serde(default)]
        s: BTreeMap<MachineId, TaskRanges>,
        #[serde(default)]
        f: TaskRanges,
    },
}

impl TryFrom<Stored> for ShardAllocation {
    type Error = &'static str;
    fn try_from(stored: Stored) -> Result<ShardAllocation, Self::Error> {
        match stored {
            Stored::Short(text) => {
                let (waiting, started, finished) =
                    packed::unpack(&text).ok_or("not a share's short form")?;
                Ok(ShardAllocation {
                    waiting,
                    started,
                    finished,
                })
            }
            Stored::Plain { w, s, f } => Ok(ShardAllocation {
                waiting: w,
                started: s,
                finished: f,
            }),
        }
    }
}

/// A change an owner makes to its share. Every step may be applied twice with the effect of once.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct AllocationChange {
    pub task: TaskIndex,
    pub attempt: Attempt,
    pub machine: MachineId,
    pub what: AllocationChangeKind,
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum AllocationChangeKind {
    Start,
    Finish,
    /// Proven not to be on the machine; waits again, with the next attempt.
    Requeue,
}

/// What a started task takes of a share's record at the most: its own range on a machine of its own,
/// and the gap that it leaves among those that wait or are finished.
const STARTED_BYTES: usize = 50;

impl ShardAllocation {
    /// Most tasks that a share may have started at once, so that its record stays under the largest
    /// value: a larger one is refused, and every write of the part with it.
    pub fn most_started(value_bytes: usize) -> u32 {
        (value_bytes * 9 / 10 / STARTED_BYTES) as u32
    }

    /// The value in the wide format: short, unless a machine's name does not allow it.
    pub(super) fn packed(&self) -> Option<Value> {
        match packed::pack(&self.waiting, &self.started, &self.finished) {
            Some(text) => Some(Value::String(text)),
            None => serde_json::to_value(self).ok(),
        }
    }

    pub fn started_on(&self, machine: &MachineId, task: TaskIndex) -> Option<Attempt> {
        self.started.get(machine)?.get(task)
    }

    pub fn started_count(&self) -> u32 {
        self.started.values().map(TaskRanges::len).sum()
    }

    /// Applies a step; false if the record no longer allows it and it must be forgotten.
    pub fn apply(&mut self, step: &AllocationChange) -> bool {
        let here = self.started_on(&step.machine, step.task) == Some(step.attempt);
        match step.what {
            AllocationChangeKind::Start => {
                if here {
                    return true;
                }
                if self.waiting.get(step.task) != Some(step.attempt) {
                    return false;
                }
                self.waiting.remove(step.task);
                self.started
                    .entry(step.machine.clone())
                    .or_default()
                    .insert(step.task, step.attempt);
                true
            }
            AllocationChangeKind::Finish | AllocationChangeKind::Requeue => {
                if !here {
                    return false;
                }
                if let Some(spans) = self.started.get_mut(&step.machine) {
                    spans.remove(step.task);
                    if spans.is_empty() {
                        self.started.remove(&step.machine);
                    }
                }
                if step.what == AllocationChangeKind::Finish {
                    self.finished.insert(step.task, Attempt(0));
                } else {
                    self.waiting
                        .insert(step.task, Attempt(step.attempt.0.saturating_add(1)));
                }
                true
            }
        }
    }
}
