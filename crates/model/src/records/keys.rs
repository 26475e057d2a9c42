//! The keys of records in the key-value store.

use crate::ids::{JobId, Member, ShardId, Team};

/// Prefix of the keys of jobs.
pub const JOB_PREFIX: &str = "job/";
/// Prefix of the keys of shard owners.
pub const SHARD_PREFIX: &str = "part/";
/// The key of the calendar, changed together with every reservation and maintenance window.
pub const CALENDAR_KEY: &str = "calendar";
/// The key of the record format and capabilities that all controllers have.
pub const FORMAT_KEY: &str = "format";
/// The key of the leader.
pub const LEADER_KEY: &str = "leader";

/// The key of a job.
#[must_use]
pub fn job_key(job: &JobId) -> String {
    format!("{JOB_PREFIX}{job}")
}

/// The key of a shard's allocation of a job.
#[must_use]
pub fn allocation_key(shard_id: ShardId, job: &JobId) -> String {
    format!("alloc/{shard_id}/{job}")
}

/// The key of a shard's owner.
#[must_use]
pub fn shard_key(shard_id: ShardId) -> String {
    format!("{SHARD_PREFIX}{shard_id}")
}

/// The key of a team's quota.
#[must_use]
pub fn quota_key(team: &Team) -> String {
    format!("quota/{team}")
}

/// The key of what a controller can read and do.
#[must_use]
pub fn member_key(member: &Member) -> String {
    format!("member/{member}")
}

/// The key of a chunk of a job's list of dependencies.
#[must_use]
pub fn dependency_chunk_key(job: &JobId, chunk: u32) -> String {
    format!("needs/{job}/{chunk}")
}
