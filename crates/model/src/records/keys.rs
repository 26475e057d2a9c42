//! Keys of the records in the key-value store.

use crate::ids::{JobId, Member, ShardId, Team};

/// Prefix of the keys of job records.
pub const JOB_PREFIX: &str = "job/";
/// Prefix of the keys of shard leaders' records.
pub const SHARD_PREFIX: &str = "part/";
/// Key of the calendar, written with every change of a reservation or maintenance window.
pub const CALENDAR_KEY: &str = "calendar";
/// Key of the record format and capabilities that all controllers support.
pub const FORMAT_KEY: &str = "format";
/// Key of the leader's record.
pub const LEADER_KEY: &str = "leader";

/// Returns the key of a job's record.
#[must_use]
pub fn job_key(job: &JobId) -> String {
    format!("{JOB_PREFIX}{job}")
}

/// Returns the key of a shard's allocation of a job.
#[must_use]
pub fn allocation_key(shard_id: ShardId, job: &JobId) -> String {
    format!("alloc/{shard_id}/{job}")
}

/// Returns the key of a shard leader's record.
#[must_use]
pub fn shard_key(shard_id: ShardId) -> String {
    format!("{SHARD_PREFIX}{shard_id}")
}

/// Returns the key of a team's quota grants.
#[must_use]
pub fn quota_key(team: &Team) -> String {
    format!("quota/{team}")
}

/// Returns the key of the record format and capabilities that a controller supports.
#[must_use]
pub fn member_key(member: &Member) -> String {
    format!("member/{member}")
}

/// Returns the key of a chunk of a job's list of dependencies.
#[must_use]
pub fn dependency_chunk_key(job: &JobId, chunk: u32) -> String {
    format!("needs/{job}/{chunk}")
}
