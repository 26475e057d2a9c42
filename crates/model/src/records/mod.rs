//! The records in the key-value store: their types, keys, formats and limits.

mod allocation;
pub mod compact_encoding;
mod format;
mod job;
mod keys;
mod lease_holder;
mod quota;
mod resources;
mod run;
mod storage_limits;

pub use allocation::{AllocationChange, AllocationChangeKind, ShardAllocation};
pub use format::{Capability, FORMAT_V2, FormatRecord, RecordFormat};
pub use job::{JobKind, JobRecord, JobSpec, JobState, Priority, UnknownValue};
pub use keys::{
    CALENDAR_KEY, FORMAT_KEY, JOB_PREFIX, LEADER_KEY, SHARD_PREFIX, allocation_key,
    dependency_chunk_key, job_key, member_key, quota_key, shard_key,
};
pub use lease_holder::LeaseHolder;
pub use quota::{Grant, QuotaRecord};
pub use resources::Resources;
pub use run::{
    GraphRecord, RunId, RunRecord, RunState, definition_key, graph_key, is_valid_run_name,
    plan_key, run_key,
};
pub use storage_limits::StorageLimits;
