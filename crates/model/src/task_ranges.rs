//! Sets of tasks kept as ranges, each range with the attempt that its tasks share.

use crate::ids::{Attempt, TaskIndex};
use serde::{Deserialize, Serialize};

/// Tasks `from..to`, all at the same attempt.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct TaskRange(pub u32, pub u32, pub u32);

/// Sorted, disjoint, coalesced ranges.
#[derive(Clone, PartialEq, Eq, Debug, Default, Serialize, Deserialize)]
#[serde(try_from = "Vec<TaskRange>", into = "Vec<TaskRange>")]
pub struct TaskRanges(Vec<TaskRange>);

impl From<TaskRanges> for Vec<TaskRange> {
    fn from(spans: TaskRanges) -> Self {
        spans.0
    }
}

impl TryFrom<Vec<TaskRange>> for TaskRanges {
    type Error = &'static str;
    fn try_from(list: Vec<TaskRange>) -> Result<Self, Self::Error> {
        let mut end = 0;
        for span in &list {
            if span.0 >= span.1 || span.0 < end {
                return Err("ranges must be sorted, disjoint and not empty");
            }
            end = span.1;
        }
        Ok(TaskRanges(list))
    }
}

impl TaskRanges {
    pub fn range(from: u32, to: u32, attempt: u32) -> TaskRanges {
        if from < to {
            TaskRanges(vec![TaskRange(from, to, attempt)])
        } else {
            TaskRanges::default()
        }
    }

    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    pub fn len(&self) -> u32 {
        self.0.iter().map(|s| s.1 - s.0).sum()
    }

    pub fn spans(&self) -> &[TaskRange] {
        &self.0
    }

    pub fn get(&self, task: TaskIndex) -> Option<Attempt> {
        let at = self.0.partition_point(|s| s.1 <= task.0);
        self.0
            .get(at)
            .filter(|s| s.0 <= task.0)
            .map(|s| Attempt(s.2))
    }

    /// Takes a task out and tells its attempt.
    pub fn remove(&mut self, task: TaskIndex) -> Option<Attempt> {
        let at = self.0.partition_point(|s| s.1 <= task.0);
        let span = *self.0.get(at).filter(|s| s.0 <= task.0)?;
        let mut remaining = Vec::with_capacity(2);
        if span.0 < task.0 {
            remaining.push(TaskRange(span.0, task.0, span.2));
        }
        if task.0 + 1 < span.1 {
            remaining.push(TaskRange(task.0 + 1, span.1, span.2));
        }
        self.0.splice(at..=at, remaining);
        Some(Attempt(span.2))
    }

    /// Puts a task in, replacing what was said of it.
    pub fn insert(&mut self, task: TaskIndex, attempt: Attempt) {
        self.remove(task);
        let at = self.0.partition_point(|s| s.1 <= task.0);
        self.0
            .insert(at, TaskRange(task.0, task.0.saturating_add(1), attempt.0));
        if let (Some(next), Some(span)) = (self.0.get(at + 1).copied(), self.0.get(at).copied())
            && span.1 == next.0
            && span.2 == next.2
        {
            self.0[at].1 = next.1;
            self.0.remove(at + 1);
        }
        if at > 0 {
            let (before, span) = (self.0[at - 1], self.0[at]);
            if before.1 == span.0 && before.2 == span.2 {
                self.0[at - 1].1 = span.1;
                self.0.remove(at);
            }
        }
    }

    pub fn first(&self) -> Option<(TaskIndex, Attempt)> {
        self.0.first().map(|s| (TaskIndex(s.0), Attempt(s.2)))
    }

    pub fn iter(&self) -> impl Iterator<Item = (TaskIndex, Attempt)> + '_ {
        self.0
            .iter()
            .flat_map(|s| (s.0..s.1).map(move |t| (TaskIndex(t), Attempt(s.2))))
    }

    /// Splits off up to `count` tasks from the end.
    pub fn split_last(&mut self, count: u32) -> TaskRanges {
        let mut taken = Vec::new();
        let mut left = count;
        while left > 0 {
            let Some(last) = self.0.last_mut() else { break };
            let size = last.1 - last.0;
            if size <= left {
                taken.push(*last);
                left -= size;
                self.0.pop();
            } else {
                taken.push(TaskRange(last.1 - left, last.1, last.2));
                last.1 -= left;
                left = 0;
            }
        }
        taken.reverse();
        TaskRanges(taken)
    }

    /// Raises all tasks to the highest attempt among them; attempts only ever rise.
    pub fn raise(&mut self) {
        let attempt = self.0.iter().map(|s| s.2).max().unwrap_or(1);
        let mut level: Vec<TaskRange> = Vec::new();
        for span in &self.0 {
            match level.last_mut() {
                Some(last) if last.1 == span.0 => last.1 = span.1,
                _ => level.push(TaskRange(span.0, span.1, attempt)),
            }
        }
        self.0 = level;
    }

    pub fn merge(&mut self, other: &TaskRanges) {
        for (task, attempt) in other.iter() {
            self.insert(task, attempt);
        }
    }
}
