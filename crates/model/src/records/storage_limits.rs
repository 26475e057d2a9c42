//! The format and the limits within which records are written.

use super::allocation::ShardAllocation;
use super::compact_encoding;
use super::format::RecordFormat;
use super::job::JobRecord;
use crate::ids::JobId;
use serde_json::Value;

/// The format in which records are written, and the limits of the key-value store.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct StorageLimits {
    /// The format.
    pub format: RecordFormat,
    /// Most bytes of a value.
    pub value_bytes: usize,
    /// Most mutations of a compare-and-swap.
    pub txn_ops: usize,
    /// Most requests a second.
    pub rps: f64,
    /// Most writes a second.
    pub write_rps: f64,
}

/// Bytes of the largest value that are not used, as the store may count its size differently.
const SPARE_BYTES: usize = 32;
/// Bytes of a list's brackets.
const BRACKETS_BYTES: usize = 2;
/// Bytes of a text's quotes and the comma after it.
const LIST_ITEM_BYTES: usize = 3;

impl StorageLimits {
    /// Whether a value is small enough to be written.
    #[must_use]
    pub fn accepts(&self, value: &Value) -> bool {
        value.to_string().len() + SPARE_BYTES <= self.value_bytes
    }

    /// Divides a long list of dependencies into chunks that are small enough to be written. The same list
    /// gives the same chunks on every controller.
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

    /// An allocation's value; `None` if it is too large now. It shrinks as tasks end.
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

    /// A job's value; `None` if it is too large. Machine types that do not exist may be dropped from it.
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
            types.retain(|label| type_exists(label));
            types.sort();
            types.dedup();
        }
        let value = serde_json::to_value(reduced).ok()?;
        self.accepts(&value).then_some(value)
    }

    /// How many more tasks of an allocation may be started so that no later write, whatever ends and
    /// requeues it contains, becomes too large. `started` tasks are started already; machines' names have
    /// at most `name_bytes`.
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
                // A start may split the range that it is taken from.
                let bytes_each =
                    compact_encoding::max_task_bytes(last_task, attempt) + name_bytes + 2;
                let used = compact_encoding::max_bytes(&allocation.waiting, &allocation.started);
                let free = available_bytes.saturating_sub(used + 2 * bytes_each);
                (free / bytes_each) as u32
            }
        }
    }
}
