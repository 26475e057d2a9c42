//! What missing heartbeats of many machines at once mean: an unreachable controller, a zone that is cut
//! off, or machines that are gone. Silence alone proves nothing, so this only decides when to ask other
//! controllers and when to stop waiting.

use snowshelf_model::ids::MonotonicMillis;

/// Fewer machines than this say nothing about the rest: each may have lost a message.
const MIN_MACHINES: u32 = 3;
/// Fraction of a shard's machines that must have reached other controllers before the shard is released to
/// them.
const REACHED_OTHERS_FRACTION: f64 = 0.25;
/// Fraction of a zone's machines that must be silent for the zone to count as cut off.
const SILENT_ZONE_FRACTION: f64 = 0.6;
/// Allowance for connecting and for slow responses.
const MARGIN_MS: u64 = 500;
/// Divisor: this fraction of the time within which cancelled tasks must be gone remains for the release of
/// their machine.
const RELEASE_TIME_DIVISOR: u64 = 5;

/// The heartbeats that a shard leader has received from its machines.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct HeartbeatSummary {
    /// Machines that have sent a heartbeat to this shard leader, or that have tasks by the records it has
    /// read.
    pub machines: u32,
    /// When the last heartbeat of any of them came, or when the shard was acquired.
    pub last_at: MonotonicMillis,
}

/// Whether no machine reaches the shard leader, though each should have sent a heartbeat by now. Machines
/// send one every `heartbeat_ms`, and up to a quarter later.
#[must_use]
pub fn is_unreachable(summary: HeartbeatSummary, now: MonotonicMillis, heartbeat_ms: u64) -> bool {
    summary.machines >= MIN_MACHINES
        && now.since(summary.last_at) > heartbeat_overdue_ms(heartbeat_ms)
}

/// The time after a heartbeat, in milliseconds, when the next one is overdue.
#[must_use]
pub fn heartbeat_overdue_ms(heartbeat_ms: u64) -> u64 {
    heartbeat_ms + heartbeat_ms / 4 + MARGIN_MS
}

/// Whether an unreachable shard leader should release its shard: `reached_others` of its machines reach
/// other controllers. Where they reach nobody the machines are silent, and the shard stays.
#[must_use]
pub fn should_release_shard(
    summary: HeartbeatSummary,
    reached_others: u32,
    now: MonotonicMillis,
    heartbeat_ms: u64,
) -> bool {
    is_unreachable(summary, now, heartbeat_ms)
        && f64::from(reached_others) >= REACHED_OTHERS_FRACTION * f64::from(summary.machines)
}

/// How many of a shard's machines are in a zone, and how many of them are silent.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct ZoneSilence {
    /// The shard's machines in the zone.
    pub machines: u32,
    /// Those of them that are silent.
    pub silent: u32,
}

impl ZoneSilence {
    /// Whether it is more likely that the zone is cut off than that its machines are gone one by one.
    #[must_use]
    pub fn is_cut_off(self) -> bool {
        self.silent >= MIN_MACHINES
            && f64::from(self.silent) >= SILENT_ZONE_FRACTION * f64::from(self.machines)
    }
}

/// How long after a task's cancellation, in milliseconds, a silent machine that may still have the task is
/// released, however short a time its present shard leader has waited: a machine that hangs cannot end the
/// task though its lease has expired, and successive shard leaders would each begin to wait anew.
#[must_use]
pub fn release_after_cancellation_ms(cancel_ms: u64) -> u64 {
    cancel_ms - cancel_ms / RELEASE_TIME_DIVISOR
}

/// For how long, in milliseconds, a machine may be silent before it is released. Whether a cut ends soon
/// cannot be known: waiting as long again as a replacement would take to be ready costs at most twice the
/// optimum, whether or not the cut ends.
#[must_use]
pub fn release_after_silence_ms(ordinary_ms: u64, cut_off: bool, replacement_ms: u64) -> u64 {
    if cut_off {
        ordinary_ms.saturating_add(replacement_ms)
    } else {
        ordinary_ms
    }
}
