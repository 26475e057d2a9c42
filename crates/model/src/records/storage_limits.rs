//! What may be written now, and whether a record keeps to it.

use super::allocation::ShardAllocation;
use super::format::RecordFormat;
use super::job::JobRecord;
use super::packed;
use crate::ids::JobId;
use serde_json::Value;

/// What may be written now: the format, and what the state service takes.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct StorageLimits {
    pub format: RecordFormat,
    pub value_bytes: usize,
    pub txn_ops: usize,
    pub rps: f64,
    pub write_rps: f64,
}

/// Bytes of the largest value that are left free, as its size may be counted differently.
const SPARE_BYTES: usize = 32;

impl StorageLimits {
    /// Whether a value is small enough to be written.
    pub fn accepts(&self, value: &Value) -> bool {
        value.to_string().len() + SPARE_BYTES <= self.value_bytes
    }

    /// A long list of needed jobs in values that are small enough: the same list, the same pieces,
    /// whichever controller divides it.
    pub fn dependency_chunks(&self, dependencies: &[JobId]) -> Vec<Vec<JobId>> {
        let available_bytes = self.value_bytes.saturating_sub(SPARE_BYTES + 2);
        let mut pieces: Vec<Vec<JobId>> = Vec::new();
        let mut left = 0;
        for dependency in dependencies {
            let bytes = dependency.as_str().len() + 3;
            match pieces.last_mut() {
                Some(piece) if bytes <= left => piece.push(dependency.clone()),
                _ => {
                    pieces.push(vec![dependency.clone()]);
                    left = available_bytes;
                }
            }
            left = left.saturating_sub(bytes);
        }
        pieces
    }

    /// A share's value; `None` if it is too large now. It shrinks as tasks end.
    pub fn encode_allocation(&self, alloc: &ShardAllocation) -> Option<Value> {
        let value = match self.format {
            RecordFormat::V1 => serde_json::to_value(alloc).ok(),
            RecordFormat::V2 => alloc.packed(),
        }?;
        if self.accepts(&value) {
            return Some(value);
        }
        if self.format == RecordFormat::V1 {
            return None;
        }
        let mut level = alloc.clone();
        level.waiting.raise();
        level.packed().filter(|value| self.accepts(value))
    }

    /// A job's value; `None` if it is too large. Names of machine types that do not exist may go.
    pub fn encode_job(&self, record: &JobRecord, exists: impl Fn(&str) -> bool) -> Option<Value> {
        let value = serde_json::to_value(record).ok()?;
        if self.accepts(&value) {
            return Some(value);
        }
        let mut slim = record.clone();
        if let Some(types) = slim.spec.as_mut().and_then(|s| s.types.as_mut()) {
            types.retain(|t| exists(t));
            types.sort();
            types.dedup();
        }
        let value = serde_json::to_value(slim).ok()?;
        self.accepts(&value).then_some(value)
    }

    /// How many more tasks may be started of a share so that no write that must follow, whatever
    /// ends and requeues it tells of, becomes too large.
    pub fn startable(&self, alloc: &ShardAllocation, started: u32, name_bytes: usize) -> u32 {
        let available_bytes = self.value_bytes.saturating_sub(SPARE_BYTES);
        match self.format {
            RecordFormat::V1 => {
                ShardAllocation::most_started(available_bytes).saturating_sub(started)
            }
            RecordFormat::V2 => {
                let last = alloc.waiting.spans().last();
                let tries = alloc.waiting.spans().iter().map(|s| s.2).max();
                let (task, attempt) = (last.map_or(0, |s| s.1), tries.unwrap_or(1));
                // A start may split the range it comes from.
                let each = packed::task_bytes(task, attempt) + name_bytes + 2;
                let free = available_bytes
                    .saturating_sub(packed::most_bytes(&alloc.waiting, &alloc.started) + 2 * each);
                (free / each) as u32
            }
        }
    }
}
