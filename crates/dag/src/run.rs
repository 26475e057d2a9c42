//! What a run does next, from what is seen of its jobs: pure, and the same whoever works it out.

use crate::graph::{Graph, Trigger};
use crate::mapping::Mapping;
use crate::plan::Plan;
use crate::template::RunFacts;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};

/// What a run was asked for: kept as it came, so that every controller expands the same.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct Asked {
    pub run: String,
    pub graph: Graph,
    #[serde(default)]
    pub mapping: Mapping,
    #[serde(default)]
    pub params: BTreeMap<String, Value>,
    pub from: jiff::Timestamp,
    pub until: jiff::Timestamp,
    /// Earlier runs of the same, the newest last: what succeeded in one of them is not run again.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub after: Vec<String>,
}

impl Asked {
    pub fn facts(&self) -> RunFacts {
        RunFacts {
            graph: self.graph.name.clone(),
            run: self.run.clone(),
            from: self.from,
            until: self.until,
            zone: self.graph.zone().to_string(),
            params: self.params.clone(),
        }
    }
}

/// What is seen of a job of the run.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Seen {
    /// Not submitted, as far as anybody knows.
    Not,
    Open,
    Done,
    /// Cancelled: by the run, with one that it needs, or by a user.
    Aborted,
    /// Its id belongs to somebody else's job, which the run leaves alone.
    Foreign,
}

/// Where a step's copy stands.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Stand {
    /// Not submitted yet.
    Waiting,
    /// Submitted: it waits for those above it, or for room, or runs.
    Open,
    Success,
    Failed,
    /// Something above it did not succeed.
    UpstreamFailed,
    /// Its trigger rule was not met.
    Skipped,
    Cancelled,
}

impl Stand {
    fn ended(self) -> bool {
        !matches!(self, Stand::Waiting | Stand::Open)
    }
    fn lost(self) -> bool {
        matches!(
            self,
            Stand::Failed | Stand::UpstreamFailed | Stand::Cancelled
        )
    }
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum End {
    Success,
    Failed,
    Cancelled,
}

#[derive(Clone, PartialEq, Debug, Default)]
pub struct Decision {
    /// Where each job stands.
    pub stands: Vec<Stand>,
    /// Jobs to submit now, in order.
    pub submit: Vec<usize>,
    /// Jobs of the run to cancel.
    pub cancel: Vec<usize>,
    /// How the run ended, if it has.
    pub end: Option<End>,
}

/// Decides. `failed` are jobs that have failed for good, durably; `most` is how many to submit at once.
pub fn decide(
    plan: &Plan,
    seen: &[Seen],
    failed: &BTreeSet<usize>,
    cancelled: bool,
    active: Option<usize>,
    most: usize,
) -> Decision {
    let mut decision = Decision::default();
    let mut open = seen.iter().filter(|s| **s == Seen::Open).count();
    for (i, job) in plan.jobs.iter().enumerate() {
        let above: Vec<Stand> = job.after.iter().map(|a| decision.stands[*a]).collect();
        let lost = above.iter().any(|s| s.lost());
        let skipped = above.contains(&Stand::Skipped);
        let ended = above.iter().all(|s| s.ended());
        let unsent = above.contains(&Stand::Waiting);
        let here = seen.get(i).copied().unwrap_or(Seen::Not);
        let stand = match here {
            Seen::Done => Stand::Success,
            Seen::Foreign => Stand::Failed,
            Seen::Open => {
                if cancelled || failed.contains(&i) {
                    decision.cancel.push(i);
                }
                Stand::Open
            }
            Seen::Aborted if failed.contains(&i) => Stand::Failed,
            Seen::Aborted if lost && job.trigger == Trigger::AllSuccess => Stand::UpstreamFailed,
            Seen::Aborted => Stand::Cancelled,
            Seen::Not if cancelled => Stand::Cancelled,
            Seen::Not => match job.trigger {
                Trigger::AllSuccess if lost => Stand::UpstreamFailed,
                Trigger::AllSuccess if skipped => Stand::Skipped,
                Trigger::AllSuccess if !unsent => Stand::Waiting,
                Trigger::AllDone if ended => Stand::Waiting,
                Trigger::NoneFailed if ended && lost => Stand::UpstreamFailed,
                Trigger::NoneFailed if ended => Stand::Waiting,
                Trigger::OneFailed if ended && !lost => Stand::Skipped,
                Trigger::OneFailed if ended => Stand::Waiting,
                _ => {
                    decision.stands.push(Stand::Waiting);
                    continue;
                }
            },
        };
        let room = active.is_none_or(|active| open < active) && decision.submit.len() < most;
        if stand == Stand::Waiting && room {
            decision.submit.push(i);
            open += 1;
        }
        decision.stands.push(stand);
    }
    if decision.stands.iter().all(|s| s.ended()) {
        // A run is as its last steps are.
        let inner: BTreeSet<usize> = plan
            .jobs
            .iter()
            .flat_map(|j| j.after.iter().copied())
            .collect();
        let mut leaves = (0..plan.jobs.len()).filter(|i| !inner.contains(i));
        let lost = leaves.any(|i| decision.stands[i].lost());
        decision.end = Some(match (cancelled, lost) {
            (true, _) => End::Cancelled,
            (false, true) => End::Failed,
            (false, false) => End::Success,
        });
    }
    decision
}
