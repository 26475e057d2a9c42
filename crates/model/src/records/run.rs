//! Records of DAGs and their runs.

use crate::ids::{WallClockMillis, is_valid_name};
use crate::task_ranges::TaskRanges;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;

/// The ID of a DAG run.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct RunId {
    /// The DAG's name.
    pub dag: String,
    /// The run's name, unique among the runs of the DAG.
    pub run: String,
}

/// Whether this name is valid for a DAG or a DAG run.
#[must_use]
pub fn is_valid_run_name(name: &str) -> bool {
    is_valid_name(name, b"._:+-")
}

impl RunId {
    /// Creates the ID of a run; `None` if one of the names is invalid.
    #[must_use]
    pub fn new(dag: &str, run: &str) -> Option<RunId> {
        (is_valid_run_name(dag) && is_valid_run_name(run)).then(|| RunId {
            dag: dag.to_string(),
            run: run.to_string(),
        })
    }

    /// Parses `<dag>/<run>`; `None` if the form or one of the names is invalid.
    #[must_use]
    pub fn parse(text: &str) -> Option<RunId> {
        let (dag, run) = text.split_once('/')?;
        RunId::new(dag, run)
    }
}

impl fmt::Display for RunId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.dag, self.run)
    }
}

/// The state of a DAG run.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub enum RunState {
    /// Not ended yet.
    Open,
    /// Ended, and no job failed that the run's result depends on.
    Success,
    /// Ended, and a job failed that the run's result depends on.
    Failed,
    /// Ended after a user cancelled the run.
    Cancelled,
}

/// The record `run/<dag>/<run>`. The run's definition is stored in chunk records under its hash.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct RunRecord {
    /// Whether the run is open, or how it ended.
    pub state: RunState,
    /// When the run was accepted.
    #[serde(rename = "at")]
    pub accepted_at: WallClockMillis,
    /// Number of jobs of the run.
    pub jobs: u32,
    /// The hash of the run's definition.
    pub hash: String,
    /// Number of chunk records with the run's definition.
    #[serde(rename = "pieces")]
    pub chunks: u32,
    /// Whether a user requested to cancel the run.
    #[serde(rename = "cancel", default, skip_serializing_if = "std::ops::Not::not")]
    pub cancel_requested: bool,
    /// Jobs that have failed permanently, by their index in the plan; empty once the run has ended.
    #[serde(default, skip_serializing_if = "TaskRanges::is_empty")]
    pub failed: TaskRanges,
    /// Number of jobs by final state; empty until the run has ended.
    #[serde(rename = "counts", default, skip_serializing_if = "BTreeMap::is_empty")]
    pub jobs_by_state: BTreeMap<String, u32>,
    /// When the run ended; `None` while it is open.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ended: Option<WallClockMillis>,
}

/// Returns the key of a DAG run's record.
#[must_use]
pub fn run_key(run: &RunId) -> String {
    format!("run/{run}")
}

/// Returns the key of a chunk of a DAG run's definition.
#[must_use]
pub fn plan_key(run: &RunId, hash: &str, chunk: u32) -> String {
    format!("plan/{run}/{hash}/{chunk}")
}

/// The record `graph/<name>`: a DAG with its schedule. The definition is stored in chunk records.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct DagRecord {
    /// The hash of the DAG's definition.
    pub hash: String,
    /// Number of chunk records with the definition.
    #[serde(rename = "pieces")]
    pub chunks: u32,
    /// When the DAG was first stored; later versions of the definition keep it.
    #[serde(rename = "at")]
    pub created_at: WallClockMillis,
    /// Whether the schedule is paused.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub paused: bool,
    /// Every schedule interval that ended by this time has its run, or was skipped.
    #[serde(rename = "since")]
    pub scheduled_until: WallClockMillis,
    /// Number of schedule intervals skipped because the DAG does not catch up.
    #[serde(rename = "missed", default)]
    pub skipped_intervals: u64,
    /// Why the scheduler paused the DAG; `None` if a user did, or it is not paused.
    #[serde(rename = "why", default, skip_serializing_if = "Option::is_none")]
    pub pause_reason: Option<String>,
}

/// Returns the key of a DAG's record.
#[must_use]
pub fn dag_key(name: &str) -> String {
    format!("graph/{name}")
}

/// Returns the key of a chunk of a DAG's definition.
#[must_use]
pub fn definition_key(name: &str, hash: &str, chunk: u32) -> String {
    format!("def/{name}/{hash}/{chunk}")
}
