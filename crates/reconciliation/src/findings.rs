//! The findings of reconciliation, and a counter for each.

use serde::Serialize;

/// What a pair of desired and observed state proves about an attempt.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub enum Finding {
    /// Nothing: the heartbeat is superseded, or an earlier shard leader may still command the machine.
    Inconclusive,
    /// A later shard leader has fenced this one.
    Fenced,
    /// Observed and desired state agree, or will once pending writes and commands have taken effect.
    Consistent,
    /// The command to start the attempt has not reached the machine.
    NotStarted,
    /// The attempt is not on the machine, and no command in flight can start it there.
    Lost,
    /// The attempt has exited on the machine.
    Ended,
    /// The attempt is alive on the machine and must not be.
    Orphaned,
    /// The machine still lists an exited attempt that needs no further handling.
    LeftoverEntry,
}

/// Number of findings of each kind. Each heartbeat adds one finding per attempt. The body of `GET /ready`
/// contains these counters under their serialized names.
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
    /// Counts a finding. [`Finding::Inconclusive`] and [`Finding::Fenced`] prove nothing about the attempt
    /// and are not counted.
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
