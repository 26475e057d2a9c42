//! The names of the records in the state service.

use crate::ids::{JobId, Member, PartId, Team};

pub fn job_key(job: &JobId) -> String {
    format!("job/{job}")
}
pub fn alloc_key(part: PartId, job: &JobId) -> String {
    format!("alloc/{part}/{job}")
}
pub fn part_key(part: PartId) -> String {
    format!("part/{part}")
}
pub fn quota_key(team: &Team) -> String {
    format!("quota/{team}")
}
pub fn member_key(member: &Member) -> String {
    format!("member/{member}")
}
pub fn needs_key(job: &JobId, piece: u32) -> String {
    format!("needs/{job}/{piece}")
}
/// Every change of a reservation or a window changes this key too.
pub const CALENDAR_KEY: &str = "calendar";
pub const FORMAT_KEY: &str = "format";
pub const LEADER_KEY: &str = "leader";
