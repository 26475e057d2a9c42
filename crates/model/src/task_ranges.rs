//! Sets of tasks stored as ranges of task indices, each with the attempt that its tasks share.
//!
//! ```
//! use snowshelf_model::ids::{Attempt, TaskIndex};
//! use snowshelf_model::task_ranges::TaskRanges;
//!
//! let mut tasks = TaskRanges::range(0, 4, 1);
//! assert_eq!(tasks.remove(TaskIndex(2)), Some(Attempt(1)));
//! assert_eq!(tasks.len(), 3);
//! assert_eq!(tasks.get(TaskIndex(2)), None);
//! tasks.insert(TaskIndex(2), Attempt(1));
//! assert_eq!(tasks, TaskRanges::range(0, 4, 1));
//! ```

use crate::ids::{Attempt, TaskIndex};
use serde::{Deserialize, Serialize};

/// The tasks `start..end` of a job, all at the same attempt. Serialized as `[start, end, attempt]`.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(from = "(u32, u32, u32)", into = "(u32, u32, u32)")]
pub struct TaskRange {
    /// Index of the first task.
    pub start: u32,
    /// Index after the last task.
    pub end: u32,
    /// Attempt of every task in the range.
    pub attempt: u32,
}

impl From<(u32, u32, u32)> for TaskRange {
    fn from((start, end, attempt): (u32, u32, u32)) -> TaskRange {
        TaskRange {
            start,
            end,
            attempt,
        }
    }
}

impl From<TaskRange> for (u32, u32, u32) {
    fn from(range: TaskRange) -> (u32, u32, u32) {
        (range.start, range.end, range.attempt)
    }
}

impl TaskRange {
    /// Number of tasks in the range.
    pub(crate) fn task_count(self) -> u32 {
        self.end - self.start
    }

    /// Whether `next` directly follows this range at the same attempt.
    fn is_continued_by(self, next: TaskRange) -> bool {
        self.end == next.start && self.attempt == next.attempt
    }
}

/// A set of tasks with their attempts: sorted, disjoint, coalesced ranges.
#[derive(Clone, PartialEq, Eq, Debug, Default, Serialize, Deserialize)]
#[serde(try_from = "Vec<TaskRange>", into = "Vec<TaskRange>")]
pub struct TaskRanges(Vec<TaskRange>);

/// The error for a list of ranges that is unsorted, overlaps, or contains an empty range.
#[derive(Clone, Copy, PartialEq, Eq, Debug, thiserror::Error)]
#[error("ranges must be sorted, disjoint and not empty")]
pub struct InvalidRanges;

impl From<TaskRanges> for Vec<TaskRange> {
    fn from(ranges: TaskRanges) -> Self {
        ranges.0
    }
}

impl TryFrom<Vec<TaskRange>> for TaskRanges {
    type Error = InvalidRanges;

    fn try_from(list: Vec<TaskRange>) -> Result<Self, InvalidRanges> {
        let mut end = 0;
        for range in &list {
            if range.start >= range.end || range.start < end {
                return Err(InvalidRanges);
            }
            end = range.end;
        }
        Ok(TaskRanges(list))
    }
}

impl TaskRanges {
    /// Creates the set of tasks `start..end` at one attempt; empty if `start >= end`.
    #[must_use]
    pub fn range(start: u32, end: u32, attempt: u32) -> TaskRanges {
        if start < end {
            TaskRanges(vec![TaskRange {
                start,
                end,
                attempt,
            }])
        } else {
            TaskRanges::default()
        }
    }

    /// Whether the set contains no task.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Number of tasks in the set.
    #[must_use]
    pub fn len(&self) -> u32 {
        self.0.iter().map(|range| range.task_count()).sum()
    }

    /// Returns the ranges, sorted by task.
    #[must_use]
    pub fn ranges(&self) -> &[TaskRange] {
        &self.0
    }

    /// Returns the position of the first range that ends after a task.
    fn position(&self, task: TaskIndex) -> usize {
        self.0.partition_point(|range| range.end <= task.0)
    }

    /// Returns the attempt of a task, if the set contains it.
    #[must_use]
    pub fn get(&self, task: TaskIndex) -> Option<Attempt> {
        self.0
            .get(self.position(task))
            .filter(|range| range.start <= task.0)
            .map(|range| Attempt(range.attempt))
    }

    /// Removes a task and returns its attempt; `None` if the set does not contain it.
    pub fn remove(&mut self, task: TaskIndex) -> Option<Attempt> {
        let position = self.position(task);
        let range = *self.0.get(position).filter(|range| range.start <= task.0)?;
        let mut remaining = Vec::with_capacity(2);
        if range.start < task.0 {
            remaining.push(TaskRange {
                end: task.0,
                ..range
            });
        }
        if task.0 + 1 < range.end {
            remaining.push(TaskRange {
                start: task.0 + 1,
                ..range
            });
        }
        self.0.splice(position..=position, remaining);
        Some(Attempt(range.attempt))
    }

    /// Inserts a task, replacing its previous attempt if there is one.
    pub fn insert(&mut self, task: TaskIndex, attempt: Attempt) {
        self.remove(task);
        let position = self.position(task);
        let single = TaskRange {
            start: task.0,
            end: task.0.saturating_add(1),
            attempt: attempt.0,
        };
        self.0.insert(position, single);
        self.coalesce(position);
        if position > 0 {
            self.coalesce(position - 1);
        }
    }

    /// Merges the range at `position` with the next one if they are contiguous at the same attempt.
    fn coalesce(&mut self, position: usize) {
        if let (Some(range), Some(next)) = (
            self.0.get(position).copied(),
            self.0.get(position + 1).copied(),
        ) && range.is_continued_by(next)
        {
            self.0[position].end = next.end;
            self.0.remove(position + 1);
        }
    }

    /// Returns the task with the lowest index and its attempt, or `None` if the set is empty.
    #[must_use]
    pub fn first(&self) -> Option<(TaskIndex, Attempt)> {
        let range = self.0.first()?;
        Some((TaskIndex(range.start), Attempt(range.attempt)))
    }

    /// Iterates over the tasks and their attempts, sorted by task.
    pub fn iter(&self) -> impl Iterator<Item = (TaskIndex, Attempt)> + '_ {
        self.0.iter().flat_map(|range| {
            let attempt = Attempt(range.attempt);
            (range.start..range.end).map(move |task| (TaskIndex(task), attempt))
        })
    }

    /// Removes and returns up to `count` tasks with the highest indices.
    #[must_use]
    pub fn split_last(&mut self, count: u32) -> TaskRanges {
        let mut taken = Vec::new();
        let mut remaining = count;
        while remaining > 0 {
            let Some(last) = self.0.last_mut() else { break };
            let size = last.task_count();
            if size <= remaining {
                taken.push(*last);
                remaining -= size;
                self.0.pop();
            } else {
                let start = last.end - remaining;
                taken.push(TaskRange { start, ..*last });
                last.end = start;
                remaining = 0;
            }
        }
        taken.reverse();
        TaskRanges(taken)
    }

    /// Raises all tasks to the highest attempt in the set, which coalesces more ranges. Attempts must
    /// never decrease.
    pub fn raise_to_highest_attempt(&mut self) {
        let attempts = self.0.iter().map(|range| range.attempt);
        let attempt = attempts.max().unwrap_or(1);
        let mut raised: Vec<TaskRange> = Vec::new();
        for range in &self.0 {
            match raised.last_mut() {
                Some(last) if last.end == range.start => last.end = range.end,
                _ => raised.push(TaskRange { attempt, ..*range }),
            }
        }
        self.0 = raised;
    }

    /// Inserts all tasks of another set; its attempts replace those in this set.
    pub fn merge(&mut self, other: &TaskRanges) {
        for (task, attempt) in other.iter() {
            self.insert(task, attempt);
        }
    }
}
