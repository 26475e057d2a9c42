//! What reconciliation finds, and how often.

use serde::Serialize;

/// What a pair of states proves.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub enum Finding {
    /// Nothing: the heartbeat is superseded, or an earlier shard leader may still act.
    Inconclusive,
    /// A later shard leader has fenced this one.
    Fenced,
    /// Observed and desired state agree, or soon will.
    Consistent,
    /// The command to start the attempt has not reached the machine.
    NotStarted,
    /// The attempt is not on this machine, and nobody can start it there any more.
    Lost,
    /// The attempt has ended there.
    Ended,
    /// The attempt is there and should not be.
    Orphaned,
    /// Only the entry of an ended attempt is left there.
    LeftoverEntry,
}

/// How often each finding was made, counted for each attempt in each heartbeat. Part of the body of
/// `GET /ready`, under the outside names.
#[derive(Clone, Default, PartialEq, Eq, Debug, Serialize)]
pub struct ReconciliationCounts {
    /// [`Finding::Consistent`].
    #[serde(rename = "agree")]
    pub consistent: u64,
    /// [`Finding::NotStarted`].
    #[serde(rename = "not_begun")]
    pub not_started: u64,
    /// [`Finding::Lost`].
    #[serde(rename = "gone")]
    pub lost: u64,
    /// [`Finding::Ended`].
    pub ended: u64,
    /// [`Finding::Orphaned`].
    #[serde(rename = "stray")]
    pub orphaned: u64,
    /// [`Finding::LeftoverEntry`].
    #[serde(rename = "remnant")]
    pub leftover_entries: u64,
}

impl ReconciliationCounts {
    /// Counts a finding, unless it proves nothing of the attempt.
    pub fn count(&mut self, finding: Finding) {
        let count = match finding {
            Finding::Inconclusive | Finding::Fenced => return,
            Finding::Consistent => &mut self.consistent,
            Finding::NotStarted => &mut self.not_started,
            Finding::Lost => &mut self.lost,
            Finding::Ended => &mut self.ended,
            Finding::Orphaned => &mut self.orphaned,
            Finding::LeftoverEntry => &mut self.leftover_entries,
        };
        *count += 1;
    }
}
