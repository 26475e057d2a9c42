//! What the state service keeps of a job.

use super::format::RecordFormat;
use super::resources::Resources;
use crate::ids::{JobId, ShardId, Team, WallClockMillis};
use serde::{Deserialize, Serialize};

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Serialize, Deserialize)]
pub enum Priority {
    Idle,
    Normal,
    High,
    Prod,
}

#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub enum JobKind {
    Batch,
    /// A service: runs until it is cancelled.
    #[serde(rename = "Standing")]
    Service,
}

#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct JobSpec {
    pub class: String,
    pub team: Team,
    pub kind: JobKind,
    pub priority: Priority,
    pub tasks: u32,
    #[serde(rename = "room")]
    pub resources: Resources,
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
    #[serde(rename = "parts", default, skip_serializing_if = "Vec::is_empty")]
    pub shards: Vec<ShardId>,
    pub submitted: WallClockMillis,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub spec: Option<JobSpec>,
    /// Jobs that must be done before any task of this one starts; only in the wide format.
    #[serde(rename = "needs", default, skip_serializing_if = "Vec::is_empty")]
    pub dependencies: Vec<JobId>,
    /// So many values of their own hold what it needs, if that is too long for this one.
    #[serde(rename = "needs_pieces", default, skip_serializing_if = "is_zero")]
    pub dependency_chunks: u32,
    /// Whether a graph's run has submitted it: nobody else's job is ever a run's.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub run: bool,
    /// Of a run's job: how long its tasks wait after a failure, in milliseconds.
    #[serde(default, skip_serializing_if = "is_none")]
    pub pause_ms: u64,
    /// When it was done or cancelled; only in the wide format, and on cancelled jobs not from the beginning.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ended: Option<WallClockMillis>,
}

fn is_zero(n: &u32) -> bool {
    *n == 0
}

fn is_none(n: &u64) -> bool {
    *n == 0
}

impl JobRecord {
    /// Whether it needs other jobs.
    pub fn has_dependencies(&self) -> bool {
        !self.dependencies.is_empty() || self.dependency_chunks > 0
    }
    pub fn is_final(&self) -> bool {
        self.state != JobState::Open
    }
    /// The record after `shard_id` has nothing of the job any more.
    pub fn without_shard(
        &self,
        shard_id: ShardId,
        now: WallClockMillis,
        format: RecordFormat,
    ) -> JobRecord {
        let mut next = self.clone();
        next.shards.retain(|p| *p != shard_id);
        if next.shards.is_empty() {
            if next.state == JobState::Open {
                next.state = JobState::Done;
                next.ended = (format == RecordFormat::V2).then_some(now);
            }
            next.spec = None;
            (next.dependencies, next.dependency_chunks) = (Vec::new(), 0);
        }
        next
    }
    /// The record after its cancellation.
    pub fn cancelled(&self, now: WallClockMillis, format: RecordFormat) -> JobRecord {
        let mut next = self.clone();
        next.state = JobState::Cancelled;
        next.ended = (format == RecordFormat::V2).then_some(now);
        (next.dependencies, next.dependency_chunks) = (Vec::new(), 0);
        if next.shards.is_empty() {
            next.spec = None;
        }
        next
    }
}
