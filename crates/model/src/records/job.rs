//! The record of a job and the job's description.

use super::format::RecordFormat;
use super::resources::Resources;
use crate::ids::{JobId, ShardId, Team, WallClockMillis};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;

/// The priority of a job, lowest first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Serialize, Deserialize)]
pub enum Priority {
    /// Runs on capacity that no other job uses.
    Idle,
    /// The priority of most jobs.
    Normal,
    /// Placed before normal jobs.
    High,
    /// Placed before all other jobs.
    Prod,
}

/// The error for a text that names no value of the parsed type.
#[derive(Clone, Copy, PartialEq, Eq, Debug, thiserror::Error)]
#[error("unknown value")]
pub struct UnknownValue;

/// Writes the priority's name on the wire.
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

/// Whether a job ends by itself.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub enum JobKind {
    /// Ends when all of its tasks are done.
    Batch,
    /// Runs until it is cancelled.
    #[serde(rename = "Standing")]
    Service,
}

/// Writes the kind's name on the wire.
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

/// The description of a job, as submitted by its user.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct JobSpec {
    /// The class of the job; the settings define service objectives for each class.
    pub class: String,
    /// The team whose quota the job uses.
    pub team: Team,
    /// Batch job or service.
    pub kind: JobKind,
    /// The job's priority in the queue.
    pub priority: Priority,
    /// Number of tasks.
    pub tasks: u32,
    /// Resources that each task requires.
    #[serde(rename = "room")]
    pub resources: Resources,
    /// The container image that a machine must have before a task can start.
    pub image: String,
    /// Gigabytes to pull for the image, once for each machine.
    pub pull_gb: f64,
    /// The allowed machine types; `None` allows all.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub types: Option<Vec<String>>,
    /// The required zone; `None` allows all.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// Gang placement: all tasks must run in the same zone.
    #[serde(rename = "together", default)]
    pub gang: bool,
    /// Spread placement: at most half of the tasks, rounded up, may run in the same zone.
    #[serde(rename = "apart", default)]
    pub spread: bool,
    /// Whether tasks may run on spot instances.
    pub spot: bool,
    /// The user's estimate of a task's run time without the image pull, in seconds; 0 for services.
    pub estimate_s: f64,
    /// Interval between checkpoints of a task, in seconds; 0 if tasks make none.
    #[serde(rename = "checkpoint_s", default)]
    pub checkpoint_interval_s: f64,
    /// Time that a task needs for a checkpoint when it is stopped, in seconds.
    #[serde(rename = "save_s", default)]
    pub checkpoint_duration_s: f64,
    /// The deadline in seconds after the submission, if the job has one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline_s: Option<f64>,
}

impl JobSpec {
    /// Whether the zone of a task depends on the zones of the others. A single shard must place all
    /// tasks of such a job.
    #[must_use]
    pub fn is_zone_constrained(&self) -> bool {
        self.gang || self.spread
    }
}

/// The state of a job.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub enum JobState {
    /// Waiting or running.
    Open,
    /// All tasks are done.
    Done,
    /// Cancelled by its user or its DAG run, or because a dependency was cancelled.
    Cancelled,
}

/// The record `job/<job>`. The description is dropped once no shard has an allocation of the job.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct JobRecord {
    /// Whether the job is open, done or cancelled.
    pub state: JobState,
    /// Number of tasks, retained after the description is dropped.
    pub tasks: u32,
    /// The shards that have an allocation of the job.
    #[serde(rename = "parts", default, skip_serializing_if = "Vec::is_empty")]
    pub shards: Vec<ShardId>,
    /// When the job was submitted.
    pub submitted: WallClockMillis,
    /// The description; `None` once no shard has an allocation of the ended job.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub spec: Option<JobSpec>,
    /// Jobs that must be done before any task of this one starts. Written only in format V2.
    #[serde(rename = "needs", default, skip_serializing_if = "Vec::is_empty")]
    pub dependencies: Vec<JobId>,
    /// Number of chunk records with the dependencies, if the list is too long for this record.
    #[serde(rename = "needs_pieces", default, skip_serializing_if = "is_zero")]
    pub dependency_chunks: u32,
    /// Whether a DAG run submitted the job. Jobs submitted by users never belong to a run.
    #[serde(rename = "run", default, skip_serializing_if = "std::ops::Not::not")]
    pub from_run: bool,
    /// For a job of a DAG run: how long a failed task waits before its next attempt, in milliseconds.
    #[serde(rename = "pause_ms", default, skip_serializing_if = "is_zero_ms")]
    pub retry_delay_ms: u64,
    /// When the job was done or cancelled. Written only in format V2; older records of cancelled jobs
    /// lack it too.
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
    /// Whether the record or its chunks list dependencies.
    #[must_use]
    pub fn has_dependencies(&self) -> bool {
        !self.dependencies.is_empty() || self.dependency_chunks > 0
    }

    /// Whether the job is done or cancelled.
    #[must_use]
    pub fn is_final(&self) -> bool {
        self.state != JobState::Open
    }

    /// Returns the record without `shard_id`, whose allocation of the job is deleted. An open job
    /// without shards is done.
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

    /// Returns the record of the job after its cancellation.
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
