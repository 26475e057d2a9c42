//! The cancellation watermark: the time up to which a controller knows of every cancellation that was
//! confirmed to a user, and for how long after it workers' heartbeats may be responded to. Pure: no clock,
//! no socket.
//!
//! A response lets a worker's tasks live for another lease, counted from when the heartbeat was sent. So a
//! task whose cancellation this controller does not know is gone in time if no heartbeat is responded to
//! that came later than the watermark and what `cancel_s` leaves beside a lease, and every response halts
//! what is known to be cancelled ([`renewal::authorize_renewal`]).

pub mod confirmation_round;
pub mod confirmed_cancellations;
pub mod renewal;

use snowshelf_model::ids::MonotonicMillis;

/// Monotonic clocks drift apart by 0.05% each way; rounded up for both.
const DRIFT_PER_MILLE: u64 = 1;
/// Allowance for a worker's timers, which fire in steps, and for killing its tasks.
const WORKER_TIMERS_MS: u64 = 1_000;

/// How much later than an interval measured by one clock another clock may end it, in milliseconds.
#[must_use]
pub fn with_drift(ms: u64) -> u64 {
    ms + (ms * DRIFT_PER_MILLE).div_ceil(1_000)
}

/// For how long after the cancellation watermark a shard leader may respond to heartbeats, in
/// milliseconds; 0 where `cancel_ms` is no longer than a lease.
#[must_use]
pub fn answering_ms(cancel_ms: u64, lease_ms: u64) -> u64 {
    let cancel_ms = cancel_ms - (cancel_ms * DRIFT_PER_MILLE).div_ceil(1_000);
    cancel_ms.saturating_sub(with_drift(lease_ms) + WORKER_TIMERS_MS)
}

/// The time up to which every confirmed cancellation is known.
#[derive(Clone, Copy, Default, Debug)]
pub struct CancellationWatermark {
    /// When the newest request was sent whose response left no gap in the record cache.
    watch: Option<MonotonicMillis>,
    /// When the newest round was started in which every other controller sent its confirmations.
    confirmation: Option<MonotonicMillis>,
}

impl CancellationWatermark {
    /// The watermark; `None` before anything has been read.
    #[must_use]
    pub fn at(self) -> Option<MonotonicMillis> {
        self.watch.max(self.confirmation)
    }

    /// The watermark by the watch alone.
    #[must_use]
    pub fn watch(self) -> Option<MonotonicMillis> {
        self.watch
    }

    /// The key-value store has responded to a request sent at `sent_at`, and nothing before that is missing.
    pub fn advance_by_watch(&mut self, sent_at: MonotonicMillis) {
        self.watch = self.watch.max(Some(sent_at));
    }

    /// All other controllers have sent what they have confirmed up to `started_at`.
    pub fn advance_by_confirmation(&mut self, started_at: MonotonicMillis) {
        self.confirmation = self.confirmation.max(Some(started_at));
    }
}
