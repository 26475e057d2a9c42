//! Permission to respond to a heartbeat, which renews the lease of the worker's tasks. Only
//! [`authorize_renewal`] grants it.

use crate::with_drift;
use snowshelf_model::ids::MonotonicMillis;

/// The watch responds more than twice in this time, in milliseconds: one that has not for longer is late,
/// and no task is started on knowledge that is older.
pub const WATCH_LATE_MS: u64 = 6_000;

/// What a shard leader's knowledge of cancellations is based on.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum WatermarkSource {
    /// All records, up to the controller's cancellation watermark.
    AllRecords(Option<MonotonicMillis>),
    /// Single records, each requested after this process started at this time; the others are unread.
    SingleRecords(MonotonicMillis),
}

/// What is known of the job of a task that a heartbeat lists.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum JobKnowledge {
    /// Not cancelled, as far as is known.
    Open,
    /// Cancelled.
    Cancelled,
    /// Its record has not been read.
    Unread,
}

/// Why a heartbeat may not be responded to.
#[derive(Clone, Copy, PartialEq, Eq, Debug, thiserror::Error)]
pub enum RenewalRefusal {
    /// It came too long after the cancellation watermark.
    #[error("the cancellation watermark is too far behind")]
    Behind,
    /// It lists a task of a job whose record has not been read.
    #[error("the record of a listed job has not been read")]
    Unread,
}

/// Permission to respond to one heartbeat; the response must halt the tasks that it names.
#[derive(Clone, PartialEq, Eq, Debug)]
#[must_use]
pub struct LeaseRenewal<T> {
    halts: Vec<T>,
}

impl<T> LeaseRenewal<T> {
    /// The listed tasks of cancelled jobs, which the response must halt.
    pub fn into_halts(self) -> Vec<T> {
        self.halts
    }
}

/// Whether a cancellation confirmed just before `received` is covered by a watermark, within the
/// `answering_ms` for which responses may follow the watermark.
#[must_use]
pub fn is_covered(
    watermark: Option<MonotonicMillis>,
    received: MonotonicMillis,
    answering_ms: u64,
) -> bool {
    watermark.is_some_and(|at| received <= at.plus(answering_ms))
}

/// Whether a committed start may be commanded for the first time.
#[must_use]
pub fn may_start(watermark: Option<MonotonicMillis>, now: MonotonicMillis) -> bool {
    watermark.is_some_and(|at| now.since(at) <= with_drift(WATCH_LATE_MS))
}

/// Decides whether a heartbeat that came at `received` may be responded to, so that the lease of its
/// worker's tasks is renewed from the time when it was sent.
///
/// Each of the listed `tasks` then ends in time, whoever responded before and whoever will, for one of three reasons.
/// Its job is known to be cancelled: the response halts it, and a response that does not arrive renews
/// nothing. Its job was cancelled after the watermark: the confirmation came after that time, and
/// `answering_ms` leaves a lease of `cancel_s`. Its job is unread: there is no response. A heartbeat that
/// lists nothing keeps nothing alive.
///
/// # Errors
/// Why the heartbeat may not be responded to.
pub fn authorize_renewal<T>(
    source: WatermarkSource,
    received: MonotonicMillis,
    answering_ms: u64,
    tasks: impl Iterator<Item = (T, JobKnowledge)>,
) -> Result<LeaseRenewal<T>, RenewalRefusal> {
    let watermark = match source {
        WatermarkSource::AllRecords(watermark) => watermark,
        WatermarkSource::SingleRecords(started_at) => Some(started_at),
    };
    if !is_covered(watermark, received, answering_ms) {
        return Err(RenewalRefusal::Behind);
    }
    let mut halts = Vec::new();
    for (task, knowledge) in tasks {
        match knowledge {
            JobKnowledge::Open => {}
            JobKnowledge::Cancelled => halts.push(task),
            JobKnowledge::Unread => return Err(RenewalRefusal::Unread),
        }
    }
    Ok(LeaseRenewal { halts })
}
