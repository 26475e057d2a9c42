//! Records in the key-value store: types, keys, formats and size limits.

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
    DagRecord, RunId, RunRecord, RunState, dag_key, definition_key, is_valid_run_name, plan_key,
    run_key,
};
pub use storage_limits::StorageLimits;
