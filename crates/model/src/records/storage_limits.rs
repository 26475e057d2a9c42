//! The record format and size limits that writes to the key-value store comply with.

use super::allocation::ShardAllocation;
use super::compact_encoding;
use super::format::RecordFormat;
use super::job::JobRecord;
use crate::ids::JobId;
use serde_json::Value;

/// The record format to write, and the limits of the key-value store.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct StorageLimits {
    /// The format of written records.
    pub format: RecordFormat,
    /// Maximum bytes of a value.
    pub value_bytes: usize,
    /// Maximum mutations of a compare-and-swap.
    pub txn_ops: usize,
    /// Maximum requests per second.
    pub rps: f64,
    /// Maximum writes per second.
    pub write_rps: f64,
}

/// Bytes below the maximum value size that stay unused: the store may compute the size differently.
const SPARE_BYTES: usize = 32;
/// Bytes of the brackets of a JSON list.
const BRACKETS_BYTES: usize = 2;
/// Bytes of the quotes and the comma of a string in a JSON list.
const LIST_ITEM_BYTES: usize = 3;

impl StorageLimits {
    /// Whether a value is within the size limit.
    #[must_use]
    pub fn accepts(&self, value: &Value) -> bool {
        value.to_string().len() + SPARE_BYTES <= self.value_bytes
    }

    /// Splits a long list of dependencies into chunks within the size limit. The result is the same
    /// on every controller.
    #[must_use]
    pub fn dependency_chunks(&self, dependencies: &[JobId]) -> Vec<Vec<JobId>> {
        let available_bytes = self
            .value_bytes
            .saturating_sub(SPARE_BYTES + BRACKETS_BYTES);
        let mut chunks: Vec<Vec<JobId>> = Vec::new();
        let mut remaining_bytes = 0;
        for dependency in dependencies {
            let bytes = dependency.as_str().len() + LIST_ITEM_BYTES;
            match chunks.last_mut() {
                Some(chunk) if bytes <= remaining_bytes => chunk.push(dependency.clone()),
                _ => {
                    chunks.push(vec![dependency.clone()]);
                    remaining_bytes = available_bytes;
                }
            }
            remaining_bytes = remaining_bytes.saturating_sub(bytes);
        }
        chunks
    }

    /// Encodes an allocation; `None` if its value is too large. It shrinks as tasks end.
    #[must_use]
    pub fn encode_allocation(&self, allocation: &ShardAllocation) -> Option<Value> {
        let value = match self.format {
            RecordFormat::V1 => serde_json::to_value(allocation).ok(),
            RecordFormat::V2 => allocation.to_compact_value(),
        }?;
        if self.accepts(&value) {
            return Some(value);
        }
        if self.format == RecordFormat::V1 {
            return None;
        }
        let mut coalesced = allocation.clone();
        coalesced.waiting.raise_to_highest_attempt();
        coalesced
            .to_compact_value()
            .filter(|value| self.accepts(value))
    }

    /// Encodes a job's record; `None` if its value is too large. To reduce the size, machine types
    /// for which `type_exists` is false may be dropped.
    #[must_use]
    pub fn encode_job(
        &self,
        record: &JobRecord,
        type_exists: impl Fn(&str) -> bool,
    ) -> Option<Value> {
        let value = serde_json::to_value(record).ok()?;
        if self.accepts(&value) {
            return Some(value);
        }
        let mut reduced = record.clone();
        if let Some(types) = reduced.spec.as_mut().and_then(|spec| spec.types.as_mut()) {
            types.retain(|name| type_exists(name));
            types.sort();
            types.dedup();
        }
        let value = serde_json::to_value(reduced).ok()?;
        self.accepts(&value).then_some(value)
    }

    /// Returns how many more tasks of an allocation may be started while its value stays within the
    /// size limit after any sequence of task ends and requeues. `started` is the number of started
    /// tasks; `name_bytes` is the maximum length of a machine's name.
    #[must_use]
    pub fn startable(&self, allocation: &ShardAllocation, started: u32, name_bytes: usize) -> u32 {
        let available_bytes = self.value_bytes.saturating_sub(SPARE_BYTES);
        match self.format {
            RecordFormat::V1 => {
                ShardAllocation::max_started(available_bytes).saturating_sub(started)
            }
            RecordFormat::V2 => {
                let waiting = allocation.waiting.ranges();
                let last_task = waiting.last().map_or(0, |range| range.end);
                let attempt = waiting.iter().map(|range| range.attempt).max().unwrap_or(1);
                // Starting a task may split the range that contains it.
                let bytes_each =
                    compact_encoding::max_task_bytes(last_task, attempt) + name_bytes + 2;
                let used = compact_encoding::max_bytes(&allocation.waiting, &allocation.started);
                let free = available_bytes.saturating_sub(used + 2 * bytes_each);
                (free / bytes_each) as u32
            }
        }
    }
}
