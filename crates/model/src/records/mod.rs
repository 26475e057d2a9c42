//! What the state service keeps, by matter.

mod format;
mod job;
mod keys;
mod owner;
pub mod packed;
mod quota;
mod room;
mod run;
mod share;
mod terms;

pub use format::{Capability, Format, FormatRecord, WIDE};
pub use job::{JobRecord, JobSpec, JobState, Kind, Priority};
pub use keys::{
    CALENDAR_KEY, FORMAT_KEY, LEADER_KEY, alloc_key, job_key, member_key, needs_key, part_key,
    quota_key,
};
pub use owner::PartRecord;
pub use quota::{Grant, QuotaRecord};
pub use room::Room;
pub use run::{
    GraphRecord, RunId, RunRecord, RunState, definition_key, graph_key, plan_key, run_key, sound,
};
pub use share::{Alloc, Step, StepKind};
pub use terms::Terms;
