//! Authorization of responses to heartbeats. A response renews the lease of the worker's tasks, and only
//! [`authorize_renewal`] permits one.

use crate::with_drift;
use snowshelf_model::ids::MonotonicMillis;

/// The age of the watermark, in milliseconds, above which the watch counts as late and no task is started.
/// A watch that works responds more than twice in this time.
pub const MAX_WATCH_AGE_MS: u64 = 6_000;

/// The source of a shard leader's information on cancellations.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum WatermarkSource {
    /// All records have been read; the watermark is that of the controller.
    AllRecords(Option<MonotonicMillis>),
    /// Single records have been read, each requested after this time, at which the process started.
    SingleRecords(MonotonicMillis),
}

/// Whether the job of a task that a heartbeat lists is cancelled.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum CancellationStatus {
    /// Not cancelled as of the watermark.
    NotCancelled,
    /// Cancelled, according to its record or a peer's confirmation.
    Cancelled,
    /// Unknown, as the job's record has not been read.
    Unread,
}

/// Why a heartbeat gets no response.
#[derive(Clone, Copy, PartialEq, Eq, Debug, thiserror::Error)]
pub enum RenewalRefusal {
    /// The heartbeat was received too long after the cancellation watermark.
    #[error("the cancellation watermark is too far behind")]
    WatermarkTooOld,
    /// The heartbeat lists a task of a job whose record has not been read.
    #[error("the record of a listed job has not been read")]
    JobUnread,
}

/// Permission to respond to one heartbeat. The response must halt the tasks that the permission names.
#[derive(Clone, PartialEq, Eq, Debug)]
#[must_use]
pub struct LeaseRenewal<T> {
    halts: Vec<T>,
}

impl<T> LeaseRenewal<T> {
    /// The listed tasks of cancelled jobs, all of which the response must halt.
    pub fn into_halts(self) -> Vec<T> {
        self.halts
    }
}

/// Whether a time is at most `answering_ms` after the watermark, so that a heartbeat received then may be
/// responded to. False if there is no watermark.
#[must_use]
pub fn is_covered(
    watermark: Option<MonotonicMillis>,
    received: MonotonicMillis,
    answering_ms: u64,
) -> bool {
    watermark.is_some_and(|at| received <= at.plus(answering_ms))
}

/// Whether the watermark is recent enough to command a durable start for the first time.
#[must_use]
pub fn may_start(watermark: Option<MonotonicMillis>, now: MonotonicMillis) -> bool {
    watermark.is_some_and(|at| now.since(at) <= with_drift(MAX_WATCH_AGE_MS))
}

/// Decides whether a heartbeat received at `received` may be responded to. If its job's cancellation is known,
/// a listed task is halted by the response, or by the end of its lease if the response is lost. If the
/// cancellation was confirmed after the watermark, `answering_ms` leaves a whole lease of `cancel_s`.
///
/// # Errors
/// If the watermark is too old, or the record of a listed job has not been read.
pub fn authorize_renewal<T>(
    source: WatermarkSource,
    received: MonotonicMillis,
    answering_ms: u64,
    tasks: impl Iterator<Item = (T, CancellationStatus)>,
) -> Result<LeaseRenewal<T>, RenewalRefusal> {
    let watermark = match source {
        WatermarkSource::AllRecords(watermark) => watermark,
        WatermarkSource::SingleRecords(started_at) => Some(started_at),
    };
    if !is_covered(watermark, received, answering_ms) {
        return Err(RenewalRefusal::WatermarkTooOld);
    }
    // A heartbeat that lists no tasks keeps none alive.
    let mut halts = Vec::new();
    for (task, status) in tasks {
        match status {
            CancellationStatus::NotCancelled => {}
            CancellationStatus::Cancelled => halts.push(task),
            CancellationStatus::Unread => return Err(RenewalRefusal::JobUnread),
        }
    }
    Ok(LeaseRenewal { halts })
}
