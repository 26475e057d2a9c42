//! Decisions on machines that send no heartbeats. Their silence can mean an unreachable controller, a
//! partitioned zone or lost machines. It proves none of these, so these functions only decide when a shard
//! leader releases its shard to another controller and when it releases a silent machine.

use snowshelf_model::ids::MonotonicMillis;

/// Fewest silent machines from which anything is concluded: with fewer, each may merely have lost a message.
const MIN_MACHINES: u32 = 3;
/// Fraction of a shard's machines that must have reached other controllers before the shard is released.
const REACHED_OTHERS_FRACTION: f64 = 0.25;
/// Fraction of a zone's machines that must be silent for the zone to count as partitioned.
const SILENT_ZONE_FRACTION: f64 = 0.6;
/// Allowance for the connection setup and for slow responses, in milliseconds.
const MARGIN_MS: u64 = 500;
/// The time within which cancelled tasks must have ended, divided by this, remains for the release of their
/// machine.
const RELEASE_TIME_DIVISOR: u64 = 5;

/// The heartbeats that a shard leader has received from its machines.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct HeartbeatSummary {
    /// Number of machines that have sent a heartbeat to this shard leader, or have tasks according to the
    /// records.
    pub machines: u32,
    /// When the last heartbeat of these machines was received, or when the shard was acquired.
    pub last_at: MonotonicMillis,
}

/// Whether no machine reaches the shard leader: a heartbeat is overdue from every one of them, and there are
/// at least `MIN_MACHINES`.
#[must_use]
pub fn is_unreachable(summary: HeartbeatSummary, now: MonotonicMillis, heartbeat_ms: u64) -> bool {
    summary.machines >= MIN_MACHINES
        && now.since(summary.last_at) > heartbeat_overdue_ms(heartbeat_ms)
}

/// The time after a heartbeat, in milliseconds, from which the next one is overdue. Machines send one every
/// `heartbeat_ms`, or up to a quarter of that later.
#[must_use]
pub fn heartbeat_overdue_ms(heartbeat_ms: u64) -> u64 {
    heartbeat_ms + heartbeat_ms / 4 + MARGIN_MS
}

/// Whether a shard leader should release its shard: none of its machines reaches it, and enough of them reach
/// another controller. `reached_others` is the largest number of its machines that reach the same other
/// controller. If its machines reach no controller at all, it keeps the shard.
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

/// The number of a shard's machines in a zone, and how many of them are silent.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct ZoneSilence {
    /// The shard's machines in the zone.
    pub machines: u32,
    /// The silent ones among these machines.
    pub silent: u32,
}

impl ZoneSilence {
    /// Whether so many machines are silent that a network partition of the zone is more likely than separate
    /// failures of its machines.
    #[must_use]
    pub fn is_partitioned(self) -> bool {
        self.silent >= MIN_MACHINES
            && f64::from(self.silent) >= SILENT_ZONE_FRACTION * f64::from(self.machines)
    }
}

/// The time after a task's cancellation, in milliseconds, at which a silent machine that may still run the
/// task is released. A hanging machine cannot end the task when its lease expires. The time counts from the
/// cancellation, as each new shard leader would restart a time that counts from its own last heartbeat.
#[must_use]
pub fn release_after_cancellation_ms(cancel_ms: u64) -> u64 {
    cancel_ms - cancel_ms / RELEASE_TIME_DIVISOR
}

/// The time without heartbeats, in milliseconds, after which a machine is released. How long a partition
/// lasts is unknown, so a partitioned machine is kept for as long again as a replacement takes to be ready:
/// that costs at most twice the optimum, whether or not the partition ends.
#[must_use]
pub fn release_after_silence_ms(ordinary_ms: u64, partitioned: bool, replacement_ms: u64) -> u64 {
    if partitioned {
        ordinary_ms.saturating_add(replacement_ms)
    } else {
        ordinary_ms
    }
}
