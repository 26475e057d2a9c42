//! The cancellation watermark: the time up to which a controller knows every cancellation that was confirmed
//! to a user. This crate performs no I/O and reads no clock.
//!
//! A response to a heartbeat renews the lease of the worker's tasks, counted from when the heartbeat was sent.
//! Cancelled tasks end within `cancel_s` under two conditions ([`renewal::authorize_renewal`]). Every response
//! halts the tasks whose cancellation is known. Heartbeats received more than [`answering_ms`] after the
//! watermark get no response, so that the lease of a task whose cancellation is not known expires in time.

pub mod confirmation_round;
pub mod confirmed_cancellations;
pub mod renewal;

use snowshelf_model::ids::MonotonicMillis;

/// Upper bound of the drift between two monotonic clocks: each drifts by at most 0.05%.
const DRIFT_PER_MILLE: u64 = 1;
/// Allowance for the resolution of a worker's timers and for killing its tasks, in milliseconds.
const WORKER_TIMER_MARGIN_MS: u64 = 1_000;

/// The longest duration, in milliseconds, that another clock may measure for an interval that one clock
/// measures as `ms`.
#[must_use]
pub fn with_drift(ms: u64) -> u64 {
    ms + (ms * DRIFT_PER_MILLE).div_ceil(1_000)
}

/// The time after the cancellation watermark, in milliseconds, during which a shard leader may respond to
/// heartbeats: what `cancel_ms` leaves beside a lease. 0 if `cancel_ms` is no longer than a lease.
#[must_use]
pub fn answering_ms(cancel_ms: u64, lease_ms: u64) -> u64 {
    let cancel_ms = cancel_ms - (cancel_ms * DRIFT_PER_MILLE).div_ceil(1_000);
    cancel_ms.saturating_sub(with_drift(lease_ms) + WORKER_TIMER_MARGIN_MS)
}

/// The time up to which every confirmed cancellation is known.
#[derive(Clone, Copy, Default, Debug)]
pub struct CancellationWatermark {
    /// When the newest request was sent whose response left no gap in the record cache; `None` before the
    /// first.
    watch: Option<MonotonicMillis>,
    /// When the newest confirmation round was started that all other controllers completed; `None` before
    /// the first.
    confirmation: Option<MonotonicMillis>,
}

impl CancellationWatermark {
    /// The watermark; `None` before the first advance.
    #[must_use]
    pub fn at(self) -> Option<MonotonicMillis> {
        self.watch.max(self.confirmation)
    }

    /// The part of the watermark that the watch has established, without confirmation rounds.
    #[must_use]
    pub fn watch(self) -> Option<MonotonicMillis> {
        self.watch
    }

    /// Advances the watermark to `sent_at`: the key-value store has responded to a request sent then, and the
    /// record cache lacks no earlier change.
    pub fn advance_by_watch(&mut self, sent_at: MonotonicMillis) {
        self.watch = self.watch.max(Some(sent_at));
    }

    /// Advances the watermark to `started_at`: all other controllers have sent the cancellations that they
    /// confirmed before.
    pub fn advance_by_confirmation(&mut self, started_at: MonotonicMillis) {
        self.confirmation = self.confirmation.max(Some(started_at));
    }
}
