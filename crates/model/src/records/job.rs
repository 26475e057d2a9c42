//! The record of a job.

use super::format::RecordFormat;
use super::resources::Resources;
use crate::ids::{JobId, ShardId, Team, WallClockMillis};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;

/// The priority of a job, lowest first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Serialize, Deserialize)]
pub enum Priority {
    /// Runs on capacity that nobody else uses.
    Idle,
    /// The usual priority.
    Normal,
    /// Before normal jobs.
    High,
    /// Before all others.
    Prod,
}

/// A text that is no value of the type to be parsed.
#[derive(Clone, Copy, PartialEq, Eq, Debug, thiserror::Error)]
#[error("unknown value")]
pub struct UnknownValue;

/// The priority's name on the wire.
impl fmt::Display for Priority {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Priority::Idle => "idle",
            Priority::Normal => "normal",
            Priority::High => "high",
            Priority::Prod => "prod",
        })
    }
}

/// Parses the priority's name on the wire.
impl FromStr for Priority {
    type Err = UnknownValue;

    fn from_str(text: &str) -> Result<Priority, UnknownValue> {
        let all = [
            Priority::Idle,
            Priority::Normal,
            Priority::High,
            Priority::Prod,
        ];
        let found = all.into_iter().find(|p| p.to_string() == text);
        found.ok_or(UnknownValue)
    }
}

/// The kind of a job.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub enum JobKind {
    /// Ends when all its tasks are done.
    Batch,
    /// Runs until it is cancelled.
    #[serde(rename = "Standing")]
    Service,
}

/// The kind's name on the wire.
impl fmt::Display for JobKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            JobKind::Batch => "batch",
            JobKind::Service => "standing",
        })
    }
}

/// Parses the kind's name on the wire.
impl FromStr for JobKind {
    type Err = UnknownValue;

    fn from_str(text: &str) -> Result<JobKind, UnknownValue> {
        let all = [JobKind::Batch, JobKind::Service];
        let found = all.into_iter().find(|kind| kind.to_string() == text);
        found.ok_or(UnknownValue)
    }
}

/// A job's description.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct JobSpec {
    /// The class of jobs that it belongs to; the settings state the objectives of each class.
    pub class: String,
    /// The team that the job counts for.
    pub team: Team,
    /// The kind of the job.
    pub kind: JobKind,
    /// Its priority.
    pub priority: Priority,
    /// Number of its tasks.
    pub tasks: u32,
    /// What each task requires.
    #[serde(rename = "room")]
    pub resources: Resources,
    /// The image that a machine must have before a task can start.
    pub image: String,
    /// The image's size in gigabytes, to be pulled once for each machine.
    pub pull_gb: f64,
    /// The machine types that are allowed; `None`: all.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub types: Option<Vec<String>>,
    /// The zone that is required, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// Gang: all tasks must be in one zone.
    #[serde(rename = "together", default)]
    pub gang: bool,
    /// Spread: at most half of the tasks, rounded up, may be in one zone.
    #[serde(rename = "apart", default)]
    pub spread: bool,
    /// Whether tasks may run on spot instances.
    pub spot: bool,
    /// The owner's estimate of a task's run time without the pull, in seconds; 0 for services.
    pub estimate_s: f64,
    /// Interval between two checkpoints of a task, in seconds; 0: it makes none.
    #[serde(rename = "checkpoint_s", default)]
    pub checkpoint_interval_s: f64,
    /// How long a task needs for a checkpoint when it is stopped, in seconds.
    #[serde(rename = "save_s", default)]
    pub checkpoint_duration_s: f64,
    /// The deadline, in seconds after the submission, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline_s: Option<f64>,
}

impl JobSpec {
    /// Whether the tasks depend on one another's zones, so that one shard must have them all.
    #[must_use]
    pub fn zones_bound(&self) -> bool {
        self.gang || self.spread
    }
}

/// The state of a job.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub enum JobState {
    /// Not ended.
    Open,
    /// All its tasks are done.
    Done,
    /// Cancelled by its user.
    Cancelled,
}

/// `job/<job>`. The description is dropped once no shard has an allocation of the job.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct JobRecord {
    /// The state.
    pub state: JobState,
    /// Number of tasks.
    pub tasks: u32,
    /// The shards that have an allocation of the job.
    #[serde(rename = "parts", default, skip_serializing_if = "Vec::is_empty")]
    pub shards: Vec<ShardId>,
    /// When it was submitted.
    pub submitted: WallClockMillis,
    /// The description.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub spec: Option<JobSpec>,
    /// Jobs that must be done before any task of this one starts; only in format V2.
    #[serde(rename = "needs", default, skip_serializing_if = "Vec::is_empty")]
    pub dependencies: Vec<JobId>,
    /// Number of further records that hold the dependencies, if the list is too long for this one.
    #[serde(rename = "needs_pieces", default, skip_serializing_if = "is_zero")]
    pub dependency_chunks: u32,
    /// Whether a run of a graph submitted it; no other job ever belongs to a run.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub run: bool,
    /// Of a run's job: how long its tasks wait after a failure, in milliseconds.
    #[serde(default, skip_serializing_if = "is_zero_ms")]
    pub pause_ms: u64,
    /// When it was done or cancelled; only in format V2, and for cancelled jobs only since that was added.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ended: Option<WallClockMillis>,
}

fn is_zero(number: &u32) -> bool {
    *number == 0
}

fn is_zero_ms(ms: &u64) -> bool {
    *ms == 0
}

impl JobRecord {
    /// Whether it has dependencies.
    #[must_use]
    pub fn has_dependencies(&self) -> bool {
        !self.dependencies.is_empty() || self.dependency_chunks > 0
    }

    /// Whether it has ended.
    #[must_use]
    pub fn is_final(&self) -> bool {
        self.state != JobState::Open
    }

    /// The record after `shard_id` has no allocation of the job any more.
    #[must_use]
    pub fn without_shard(
        &self,
        shard_id: ShardId,
        now: WallClockMillis,
        format: RecordFormat,
    ) -> JobRecord {
        let mut next = self.clone();
        next.shards.retain(|shard| *shard != shard_id);
        if next.shards.is_empty() {
            if next.state == JobState::Open {
                next.end(JobState::Done, now, format);
            }
            next.spec = None;
            next.clear_dependencies();
        }
        next
    }

    /// The record after the job's cancellation.
    #[must_use]
    pub fn cancelled(&self, now: WallClockMillis, format: RecordFormat) -> JobRecord {
        let mut next = self.clone();
        next.end(JobState::Cancelled, now, format);
        next.clear_dependencies();
        if next.shards.is_empty() {
            next.spec = None;
        }
        next
    }

    fn end(&mut self, state: JobState, now: WallClockMillis, format: RecordFormat) {
        self.state = state;
        self.ended = (format == RecordFormat::V2).then_some(now);
    }

    fn clear_dependencies(&mut self) {
        self.dependencies = Vec::new();
        self.dependency_chunks = 0;
    }
}
