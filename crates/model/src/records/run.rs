//! The records of graphs and their runs.

use crate::ids::{WallClockMillis, is_valid_name};
use crate::task_ranges::TaskRanges;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;

/// Identifies a run of a graph.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct RunId {
    /// The graph's name.
    pub graph: String,
    /// The run's name.
    pub run: String,
}

/// Whether a run or a graph may have this name.
#[must_use]
pub fn is_valid_run_name(name: &str) -> bool {
    is_valid_name(name, b"._:+-")
}

impl RunId {
    /// A run of a graph; `None` if one of the names is invalid.
    #[must_use]
    pub fn new(graph: &str, run: &str) -> Option<RunId> {
        (is_valid_run_name(graph) && is_valid_run_name(run)).then(|| RunId {
            graph: graph.to_string(),
            run: run.to_string(),
        })
    }

    /// Parses `<graph>/<run>`.
    #[must_use]
    pub fn parse(text: &str) -> Option<RunId> {
        let (graph, run) = text.split_once('/')?;
        RunId::new(graph, run)
    }
}

impl fmt::Display for RunId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.graph, self.run)
    }
}

/// The state of a run.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub enum RunState {
    /// Not ended.
    Open,
    /// Ended without a failure that counts.
    Success,
    /// Ended with one.
    Failed,
    /// Cancelled by its user.
    Cancelled,
}

/// `run/<graph>/<run>`. The request is stored in chunks of its own, under its hash.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct RunRecord {
    /// The state.
    pub state: RunState,
    /// When it was accepted.
    pub at: WallClockMillis,
    /// Number of its jobs.
    pub jobs: u32,
    /// The hash of the request.
    pub hash: String,
    /// Number of chunks of the request.
    pub pieces: u32,
    /// Whether its user has cancelled it.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub cancel: bool,
    /// Jobs that have failed for good, by their place in the plan.
    #[serde(default, skip_serializing_if = "TaskRanges::is_empty")]
    pub failed: TaskRanges,
    /// How many jobs ended how, once the run has ended.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub counts: BTreeMap<String, u32>,
    /// When it ended.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ended: Option<WallClockMillis>,
}

/// The key of a run.
#[must_use]
pub fn run_key(run: &RunId) -> String {
    format!("run/{run}")
}

/// The key of a chunk of a run's request.
#[must_use]
pub fn plan_key(run: &RunId, hash: &str, chunk: u32) -> String {
    format!("plan/{run}/{hash}/{chunk}")
}

/// `graph/<name>`: a graph that is stored for its schedule. Its definition is stored in chunks of its own.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct GraphRecord {
    /// The hash of the definition.
    pub hash: String,
    /// Number of chunks of the definition.
    pub pieces: u32,
    /// When it was first stored.
    pub at: WallClockMillis,
    /// Whether its schedule is paused.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub paused: bool,
    /// Every interval that ended by then has its run, or was skipped.
    pub since: WallClockMillis,
    /// Number of intervals skipped because nobody requested to catch up.
    #[serde(default)]
    pub missed: u64,
    /// Why it was paused, if not by a user.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub why: Option<String>,
}

/// The key of a stored graph.
#[must_use]
pub fn graph_key(name: &str) -> String {
    format!("graph/{name}")
}

/// The key of a chunk of a graph's definition.
#[must_use]
pub fn definition_key(name: &str, hash: &str, chunk: u32) -> String {
    format!("def/{name}/{hash}/{chunk}")
}
