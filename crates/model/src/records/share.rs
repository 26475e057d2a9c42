//! A part's share of a job, and the steps by which its owner changes it.

use super::packed;
use crate::ids::{Attempt, MachineId, TaskNo};
use crate::spans::Spans;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeMap;

/// `alloc/<p>/<job>`: a part's share of a job.
#[derive(Clone, PartialEq, Eq, Debug, Default, Serialize, Deserialize)]
#[serde(try_from = "Stored")]
pub struct Alloc {
    /// Not started; the attempt is the next one to use.
    #[serde(rename = "w", skip_serializing_if = "Spans::is_empty")]
    pub waiting: Spans,
    /// Possibly on a machine; the attempt is the one commanded.
    #[serde(rename = "s", skip_serializing_if = "BTreeMap::is_empty")]
    pub started: BTreeMap<MachineId, Spans>,
    /// In the wide format only the first of them.
    #[serde(rename = "f", skip_serializing_if = "Spans::is_empty")]
    pub finished: Spans,
}

/// A share as it may stand in the state service.
#[derive(Deserialize)]
#[serde(untagged)]
enum Stored {
    Short(String),
    Plain {
        #[serde(default)]
        w: Spans,
        #[serde(default)]
        s: BTreeMap<MachineId, Spans>,
        #[serde(default)]
        f: Spans,
    },
}

impl TryFrom<Stored> for Alloc {
    type Error = &'static str;
    fn try_from(stored: Stored) -> Result<Alloc, Self::Error> {
        match stored {
            Stored::Short(text) => {
                let (waiting, started, finished) =
                    packed::unpack(&text).ok_or("not a share's short form")?;
                Ok(Alloc {
                    waiting,
                    started,
                    finished,
                })
            }
            Stored::Plain { w, s, f } => Ok(Alloc {
                waiting: w,
                started: s,
                finished: f,
            }),
        }
    }
}

/// A change an owner makes to its share. Every step may be applied twice with the effect of once.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Step {
    pub task: TaskNo,
    pub attempt: Attempt,
    pub machine: MachineId,
    pub what: StepKind,
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum StepKind {
    Start,
    Finish,
    /// Proven not to be on the machine; waits again, with the next attempt.
    Requeue,
}

/// What a started task takes of a share's record at the most: its own range on a machine of its own,
/// and the gap that it leaves among those that wait or are finished.
const STARTED_BYTES: usize = 50;

impl Alloc {
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

    pub fn started_on(&self, machine: &MachineId, task: TaskNo) -> Option<Attempt> {
        self.started.get(machine)?.get(task)
    }

    pub fn started_count(&self) -> u32 {
        self.started.values().map(Spans::len).sum()
    }

    /// Applies a step; false if the record no longer allows it and it must be forgotten.
    pub fn apply(&mut self, step: &Step) -> bool {
        let here = self.started_on(&step.machine, step.task) == Some(step.attempt);
        match step.what {
            StepKind::Start => {
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
            StepKind::Finish | StepKind::Requeue => {
                if !here {
                    return false;
                }
                if let Some(spans) = self.started.get_mut(&step.machine) {
                    spans.remove(step.task);
                    if spans.is_empty() {
                        self.started.remove(&step.machine);
                    }
                }
                if step.what == StepKind::Finish {
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
