//! Leave to answer a report, which is what lets a worker's tasks live on for a lease. One function gives it.

use crate::with_drift;
use snowshelf_model::ids::Millis;

/// The change feed is asked more than twice in this time, in milliseconds: one that has not answered for longer is late,
/// and nothing is begun on knowledge that is older.
pub const FEED_LATE_MS: u64 = 6_000;

/// What an owner's knowledge of cancellations rests on.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Basis {
    /// Every record, as of the controller's horizon.
    Read(Option<Millis>),
    /// Single records, each asked for after this process began then; the others are unread.
    Reading(Millis),
}

/// What is known of the job of a task that a report lists.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Known {
    /// Not cancelled, as far as the basis reaches.
    Open,
    Cancelled,
    Unread,
}

/// Why a report may not be answered.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Refusal {
    /// It came too late after what is known.
    Behind,
    /// It lists a task of a job that has not been read.
    Unread,
}

/// Leave to answer one report: made by [`renewal`] alone, and of use together with what it halts.
#[derive(Clone, PartialEq, Eq, Debug)]
#[must_use]
pub struct Renewal<T> {
    halts: Vec<T>,
}

impl<T> Renewal<T> {
    /// The listed tasks of cancelled jobs, which the answer must halt.
    pub fn into_halts(self) -> Vec<T> {
        self.halts
    }
}

/// Whether something confirmed to users just before `received` would be known, but for what `answering_ms` covers.
pub fn known(as_of: Option<Millis>, received: Millis, answering_ms: u64) -> bool {
    as_of.is_some_and(|at| received <= at.plus(answering_ms))
}

/// Whether what has been committed may still be commanded for the first time.
pub fn may_begin(horizon: Option<Millis>, now: Millis) -> bool {
    horizon.is_some_and(|at| now.since(at) <= with_drift(FEED_LATE_MS))
}

/// Whether a report that came at `received` may be answered, so that its worker's tasks go on for a lease from when
/// it was sent.
///
/// Each listed task then ends in time, whoever answered before and whoever will, by one of three reasons. Its job is
/// known to be cancelled: the answer halts it, and an answer that does not arrive renews nothing. Its job was
/// cancelled after what is known: it was told after that moment, and `answering_ms` leaves a lease of
/// `cancel_s`. Its job is unread: there is no answer. A report that lists nothing keeps nothing alive.
pub fn renewal<T>(
    basis: Basis,
    received: Millis,
    answering_ms: u64,
    listed: impl Iterator<Item = (T, Known)>,
) -> Result<Renewal<T>, Refusal> {
    let as_of = match basis {
        Basis::Read(horizon) => horizon,
        Basis::Reading(began) => Some(began),
    };
    if !known(as_of, received, answering_ms) {
        return Err(Refusal::Behind);
    }
    let mut halts = Vec::new();
    for (task, known) in listed {
        match known {
            Known::Open => {}
            Known::Cancelled => halts.push(task),
            Known::Unread => return Err(Refusal::Unread),
        }
    }
    Ok(Renewal { halts })
}
