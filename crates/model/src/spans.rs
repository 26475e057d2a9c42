//! Sets of tasks kept as ranges, each range with the attempt that its tasks share.

use crate::ids::{Attempt, TaskNo};
use serde::{Deserialize, Serialize};

/// Tasks `from..to`, all at the same attempt.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct Span(pub u32, pub u32, pub u32);

/// Sorted, disjoint, coalesced ranges.
#[derive(Clone, PartialEq, Eq, Debug, Default, Serialize, Deserialize)]
#[serde(try_from = "Vec<Span>", into = "Vec<Span>")]
pub struct Spans(Vec<Span>);

impl From<Spans> for Vec<Span> {
    fn from(spans: Spans) -> Self {
        spans.0
    }
}

impl TryFrom<Vec<Span>> for Spans {
    type Error = &'static str;
    fn try_from(list: Vec<Span>) -> Result<Self, Self::Error> {
        let mut end = 0;
        for span in &list {
            if span.0 >= span.1 || span.0 < end {
                return Err("ranges must be sorted, disjoint and not empty");
            }
            end = span.1;
        }
        Ok(Spans(list))
    }
}

impl Spans {
    pub fn range(from: u32, to: u32, attempt: u32) -> Spans {
        if from < to {
            Spans(vec![Span(from, to, attempt)])
        } else {
            Spans::default()
        }
    }

    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    pub fn len(&self) -> u32 {
        self.0.iter().map(|s| s.1 - s.0).sum()
    }

    pub fn spans(&self) -> &[Span] {
        &self.0
    }

    pub fn get(&self, task: TaskNo) -> Option<Attempt> {
        let at = self.0.partition_point(|s| s.1 <= task.0);
        self.0
            .get(at)
            .filter(|s| s.0 <= task.0)
            .map(|s| Attempt(s.2))
    }

    /// Takes a task out and tells its attempt.
    pub fn remove(&mut self, task: TaskNo) -> Option<Attempt> {
        let at = self.0.partition_point(|s| s.1 <= task.0);
        let span = *self.0.get(at).filter(|s| s.0 <= task.0)?;
        let mut parts = Vec::with_capacity(2);
        if span.0 < task.0 {
            parts.push(Span(span.0, task.0, span.2));
        }
        if task.0 + 1 < span.1 {
            parts.push(Span(task.0 + 1, span.1, span.2));
        }
        self.0.splice(at..=at, parts);
        Some(Attempt(span.2))
    }

    /// Puts a task in, replacing what was said of it.
    pub fn insert(&mut self, task: TaskNo, attempt: Attempt) {
        self.remove(task);
        let at = self.0.partition_point(|s| s.1 <= task.0);
        self.0
            .insert(at, Span(task.0, task.0.saturating_add(1), attempt.0));
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

    pub fn first(&self) -> Option<(TaskNo, Attempt)> {
        self.0.first().map(|s| (TaskNo(s.0), Attempt(s.2)))
    }

    pub fn iter(&self) -> impl Iterator<Item = (TaskNo, Attempt)> + '_ {
        self.0
            .iter()
            .flat_map(|s| (s.0..s.1).map(move |t| (TaskNo(t), Attempt(s.2))))
    }

    /// Splits off up to `count` tasks from the end.
    pub fn split_last(&mut self, count: u32) -> Spans {
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
                taken.push(Span(last.1 - left, last.1, last.2));
                last.1 -= left;
                left = 0;
            }
        }
        taken.reverse();
        Spans(taken)
    }

    /// Raises all tasks to the highest attempt among them; attempts only ever rise.
    pub fn raise(&mut self) {
        let attempt = self.0.iter().map(|s| s.2).max().unwrap_or(1);
        let mut level: Vec<Span> = Vec::new();
        for span in &self.0 {
            match level.last_mut() {
                Some(last) if last.1 == span.0 => last.1 = span.1,
                _ => level.push(Span(span.0, span.1, attempt)),
            }
        }
        self.0 = level;
    }

    pub fn merge(&mut self, other: &Spans) {
        for (task, attempt) in other.iter() {
            self.insert(task, attempt);
        }
    }
}
