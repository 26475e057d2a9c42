//! The names of the records in the state service.

use crate::ids::{JobId, Member, ShardId, Team};

/// Prefix of the keys of jobs.
pub const JOB_PREFIX: &str = "job/";
/// Prefix of the keys of shard owners.
pub const SHARD_PREFIX: &str = "part/";

pub fn job_key(job: &JobId) -> String {
    format!("{JOB_PREFIX}{job}")
}
pub fn allocation_key(shard_id: ShardId, job: &JobId) -> String {
    format!("alloc/{shard_id}/{job}")
}
pub fn shard_key(shard_id: ShardId) -> String {
    format!("{SHARD_PREFIX}{shard_id}")
}
pub fn quota_key(team: &Team) -> String {
    format!("quota/{team}")
}
pub fn member_key(member: &Member) -> String {
    format!("member/{member}")
}
pub fn dependency_chunk_key(job: &JobId, piece: u32) -> String {
    format!("needs/{job}/{piece}")
}
/// Every change of a reservation or a window changes this key too.
pub const CALENDAR_KEY: &str = "calendar";
pub const FORMAT_KEY: &str = "format";
pub const LEADER_KEY: &str = "leader";
