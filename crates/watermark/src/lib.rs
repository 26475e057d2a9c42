//! Up to when a controller knows of every cancellation that a user was told of (its knowledge horizon), and
//! for how long it may answer workers on the strength of that. Pure: no clock, no socket.
//!
//! An answer lets a worker's tasks live for another lease, counted from when the report was sent. So a task
//! whose cancellation this controller does not know is gone in time if no answer is given to a report that
//! came later than the horizon and what `cancel_s` leaves beside a lease, and every answer halts what is known
//! to be cancelled ([`renewal::authorize_renewal`]).

pub mod confirmation_round;
pub mod confirmed_cancellations;
pub mod renewal;

use snowshelf_model::ids::MonotonicMillis;

/// Steady clocks drift apart by 0.05% each way; rounded up for both.
const DRIFT_PER_MILLE: u64 = 1;
/// For a worker's timers, which fire in steps, and for killing what it has.
const TIMERS_MS: u64 = 1_000;

/// How much later than an interval measured by one clock another one may end.
pub fn with_drift(ms: u64) -> u64 {
    ms + (ms * DRIFT_PER_MILLE).div_ceil(1_000)
}

/// For so long after its horizon an owner may answer reports; 0 where `cancel_s` leaves no room beside a lease.
pub fn answering_ms(cancel_ms: u64, lease_ms: u64) -> u64 {
    let cancel_ms = cancel_ms - (cancel_ms * DRIFT_PER_MILLE).div_ceil(1_000);
    cancel_ms.saturating_sub(with_drift(lease_ms) + TIMERS_MS)
}

/// The moment up to which everything that any user was told is known.
#[derive(Clone, Copy, Default, Debug)]
pub struct CancellationWatermark {
    /// When the newest request was sent whose answer left no gap in the mirror.
    feed: Option<MonotonicMillis>,
    /// When the newest round was asked in which every other controller said what it has confirmed.
    attested: Option<MonotonicMillis>,
}

impl CancellationWatermark {
    pub fn at(self) -> Option<MonotonicMillis> {
        self.feed.max(self.attested)
    }
    pub fn feed(self) -> Option<MonotonicMillis> {
        self.feed
    }
    /// The state service has answered a request sent at `sent`, and nothing before that is missing.
    pub fn read(&mut self, sent: MonotonicMillis) {
        self.feed = self.feed.max(Some(sent));
    }
    /// All others have said what they have confirmed up to `asked`.
    pub fn attest(&mut self, asked: MonotonicMillis) {
        self.attested = self.attested.max(Some(asked));
    }
}
