//! What the state service keeps of a job.

use super::format::Format;
use super::room::Room;
use crate::ids::{JobId, PartId, Team, WallMs};
use serde::{Deserialize, Serialize};

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Serialize, Deserialize)]
pub enum Priority {
    Idle,
    Normal,
    High,
    Prod,
}

#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub enum Kind {
    Batch,
    Standing,
}

#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct JobSpec {
    pub class: String,
    pub team: Team,
    pub kind: Kind,
    pub priority: Priority,
    pub tasks: u32,
    pub room: Room,
    pub image: String,
    pub pull_gb: f64,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub types: Option<Vec<String>>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    #[serde(default)]
    pub together: bool,
    #[serde(default)]
    pub apart: bool,
    pub spot: bool,
    pub estimate_s: f64,
    #[serde(default)]
    pub checkpoint_s: f64,
    #[serde(default)]
    pub save_s: f64,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline_s: Option<f64>,
}

impl JobSpec {
    /// Whether the job's tasks depend on one another's zones, so that one part must hold them all.
    pub fn zones_bound(&self) -> bool {
        self.together || self.apart
    }
}

#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub enum JobState {
    Open,
    Done,
    Cancelled,
}

/// `job/<id>`. The spec is dropped once no part holds anything of the job.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct JobRecord {
    pub state: JobState,
    pub tasks: u32,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub parts: Vec<PartId>,
    pub submitted: WallMs,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub spec: Option<JobSpec>,
    /// Jobs that must be done before any task of this one starts; only in the wide format.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub needs: Vec<JobId>,
    /// So many values of their own hold what it needs, if that is too long for this one.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub needs_pieces: u32,
    /// Whether a graph's run has submitted it: nobody else's job is ever a run's.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub run: bool,
    /// Of a run's job: how long its tasks wait after a failure, in milliseconds.
    #[serde(default, skip_serializing_if = "is_none")]
    pub pause_ms: u64,
    /// When it was done or cancelled; only in the wide format, and on cancelled jobs not from the beginning.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ended: Option<WallMs>,
}

fn is_zero(n: &u32) -> bool {
    *n == 0
}

fn is_none(n: &u64) -> bool {
    *n == 0
}

impl JobRecord {
    /// Whether it needs other jobs.
    pub fn has_needs(&self) -> bool {
        !self.needs.is_empty() || self.needs_pieces > 0
    }
    pub fn is_final(&self) -> bool {
        self.state != JobState::Open
    }
    /// The record after `part` has nothing of the job any more.
    pub fn without_part(&self, part: PartId, now: WallMs, format: Format) -> JobRecord {
        let mut next = self.clone();
        next.parts.retain(|p| *p != part);
        if next.parts.is_empty() {
            if next.state == JobState::Open {
                next.state = JobState::Done;
                next.ended = (format == Format::Wide).then_some(now);
            }
            next.spec = None;
            (next.needs, next.needs_pieces) = (Vec::new(), 0);
        }
        next
    }
    /// The record after its cancellation.
    pub fn cancelled(&self, now: WallMs, format: Format) -> JobRecord {
        let mut next = self.clone();
        next.state = JobState::Cancelled;
        next.ended = (format == Format::Wide).then_some(now);
        (next.needs, next.needs_pieces) = (Vec::new(), 0);
        if next.parts.is_empty() {
            next.spec = None;
        }
        next
    }
}
