//! What the state service keeps of a graph's run.

use crate::ids::{WallClockMillis, is_valid_name};
use crate::task_ranges::TaskRanges;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;

/// A run of a graph.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct RunId {
    pub graph: String,
    pub run: String,
}

/// Whether a run or a graph may have this name.
pub fn sound(name: &str) -> bool {
    is_valid_name(name, b"._:+-")
}

impl RunId {
    pub fn new(graph: &str, run: &str) -> Option<RunId> {
        (sound(graph) && sound(run)).then(|| RunId {
            graph: graph.to_string(),
            run: run.to_string(),
        })
    }

    /// From `graph/run`.
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

#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub enum RunState {
    Open,
    Success,
    Failed,
    Cancelled,
}

/// `run/<graph>/<run>`. What was asked for stands in pieces of their own, under the hash of it.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct RunRecord {
    pub state: RunState,
    pub at: WallClockMillis,
    pub jobs: u32,
    pub hash: String,
    pub pieces: u32,
    /// Whether its user has cancelled it.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub cancel: bool,
    /// Jobs that have failed for good, by their place in the plan.
    #[serde(default, skip_serializing_if = "TaskRanges::is_empty")]
    pub failed: TaskRanges,
    /// How many ended how, once it has ended.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub counts: BTreeMap<String, u32>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ended: Option<WallClockMillis>,
}

pub fn run_key(run: &RunId) -> String {
    format!("run/{run}")
}

/// One piece of what a run was asked for.
pub fn plan_key(run: &RunId, hash: &str, piece: u32) -> String {
    format!("plan/{run}/{hash}/{piece}")
}

/// `graph/<name>`: a graph that is kept, for its schedule. What it is stands in pieces.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct GraphRecord {
    pub hash: String,
    pub pieces: u32,
    /// When it was first kept.
    pub at: WallClockMillis,
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub paused: bool,
    /// Every interval that ended by then has its run, or was passed over.
    pub since: WallClockMillis,
    /// Intervals passed over, as nobody caught up.
    #[serde(default)]
    pub missed: u64,
    /// Why it was paused, if nobody asked for it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub why: Option<String>,
}

pub fn graph_key(name: &str) -> String {
    format!("graph/{name}")
}

/// One piece of what a graph is.
pub fn definition_key(name: &str, hash: &str, piece: u32) -> String {
    format!("def/{name}/{hash}/{piece}")
}
