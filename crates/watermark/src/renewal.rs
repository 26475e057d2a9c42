//! Leave to answer a report, which is what lets a worker's tasks live on for a lease. One function gives it.

use crate::with_drift;
use snowshelf_model::ids::MonotonicMillis;

/// The change feed is asked more than twice in this time, in milliseconds: one that has not answered for longer is late,
/// and nothing is begun on knowledge that is older.
pub const FEED_LATE_MS: u64 = 6_000;

/// What an owner's knowledge of cancellations rests on.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum WatermarkSource {
    /// Every record, as of the controller's horizon.
    Read(Option<MonotonicMillis>),
    /// Single records, each asked for after this process began then; the others are unread.
    Reading(MonotonicMillis),
}

/// What is known of the job of a task that a report lists.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum JobKnowledge {
    /// Not cancelled, as far as the basis reaches.
    Open,
    Cancelled,
    Unread,
}

/// Why a report may not be answered.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum RenewalRefusal {
    /// It came too late after what is known.
    Behind,
    /// It lists a task of a job that has not been read.
    Unread,
}

/// Leave to answer one report: made by [`authorize_renewal`] alone, and of use together with what it halts.
#[derive(Clone, PartialEq, Eq, Debug)]
#[must_use]
pub struct LeaseRenewal<T> {
    halts: Vec<T>,
}

impl<T> LeaseRenewal<T> {
    /// The listed tasks of cancelled jobs, which the answer must halt.
    pub fn into_halts(self) -> Vec<T> {
        self.halts
    }
}

/// Whether something confirmed to users just before `received` would be known, but for what `answering_ms` covers.
pub fn known(as_of: Option<MonotonicMillis>, received: MonotonicMillis, answering_ms: u64) -> bool {
    as_of.is_some_and(|at| received <= at.plus(answering_ms))
}

/// Whether what has been committed may still be commanded for the first time.
pub fn may_begin(watermark: Option<MonotonicMillis>, now: MonotonicMillis) -> bool {
    watermark.is_some_and(|at| now.since(at) <= with_drift(FEED_LATE_MS))
}

/// Whether a report that came at `received` may be answered, so that its worker's tasks go on for a lease from when
/// it was sent.
///
/// Each listed task then ends in time, whoever answered before and whoever will, by one of three reasons. Its job is
/// known to be cancelled: the answer halts it, and an answer that does not arrive renews nothing. Its job was
/// cancelled after what is known: it was told after that moment, and `answering_ms` leaves a lease of
/// `cancel_s`. Its job is unread: there is no answer. A report that lists nothing keeps nothing alive.
pub fn authorize_renewal<T>(
    basis: WatermarkSource,
    received: MonotonicMillis,
    answering_ms: u64,
    listed: impl Iterator<Item = (T, JobKnowledge)>,
) -> Result<LeaseRenewal<T>, RenewalRefusal> {
    let as_of = match basis {
        WatermarkSource::Read(watermark) => watermark,
        WatermarkSource::Reading(began) => Some(began),
    };
    if !known(as_of, received, answering_ms) {
        return Err(RenewalRefusal::Behind);
    }
    let mut halts = Vec::new();
    for (task, known) in listed {
        match known {
            JobKnowledge::Open => {}
            JobKnowledge::Cancelled => halts.push(task),
            JobKnowledge::Unread => return Err(RenewalRefusal::Unread),
        }
    }
    Ok(LeaseRenewal { halts })
}
