//! Rounds in which all other controllers send the cancellations that they have confirmed to users.
//!
//! A round that every one of them has answered advances the watermark to the time at which it started: what
//! was confirmed before is in their answers, what was confirmed after has its full time from then on. If
//! one answer is missing, late, for another incarnation or incomplete, the round proves nothing.

use crate::with_drift;
use snowshelf_model::ids::{JobId, Member, MonotonicMillis};
use std::collections::BTreeSet;

/// Least time between the starts of two rounds.
const ROUND_GAP_MS: u64 = 1_000;
/// How long a round is waited for before the next one starts.
const ROUND_TIMEOUT_MS: u64 = 1_500;
/// How much further back than the watermark a round asks, for the time that its answers are in flight.
const IN_FLIGHT_MS: u64 = 2_000;

/// The query of a round: which cancellations have you confirmed to users in the last `window_ms`?
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct ConfirmationQuery {
    /// The querying controller's incarnation.
    pub incarnation: u64,
    /// The round's number.
    pub sequence: u64,
    /// How far back, in milliseconds.
    pub window_ms: u64,
}

/// One controller's answer.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct PeerConfirmation {
    /// The answering controller.
    pub from: Member,
    /// The incarnation in the query.
    pub incarnation: u64,
    /// The round's number in the query.
    pub sequence: u64,
    /// Whether these are all confirmations in the window.
    pub complete: bool,
    /// The jobs whose cancellation was confirmed.
    pub cancelled: Vec<JobId>,
}

/// Why an answer proves nothing.
#[derive(Clone, Copy, PartialEq, Eq, Debug, thiserror::Error)]
pub enum IgnoredConfirmation {
    /// It is from no controller, or from one that has answered this round.
    #[error("no answer of this controller is awaited")]
    NotAwaited,
    /// It answers a query of an earlier incarnation of this process.
    #[error("the answer is for another incarnation")]
    OtherIncarnation,
    /// It answers a round that is over or never started.
    #[error("the answer is for another round")]
    OtherRound,
    /// The answering controller's record does not reach back to the watermark.
    #[error("the answer is incomplete")]
    Incomplete,
    /// It has been in flight for so long that its window may begin after the watermark.
    #[error("the answer was in flight for too long")]
    TooLate,
}

#[derive(Clone, Debug)]
struct Round {
    sequence: u64,
    started_at: MonotonicMillis,
    /// The watermark when the round started.
    watermark: MonotonicMillis,
    window_ms: u64,
    awaited: BTreeSet<Member>,
}

/// The rounds of one controller; at most one is open.
#[derive(Debug)]
pub struct ConfirmationRounds {
    /// Distinguishes this run of the process from others.
    incarnation: u64,
    sequence: u64,
    last_started_at: Option<MonotonicMillis>,
    round: Option<Round>,
}

impl ConfirmationRounds {
    /// Rounds of a process with this incarnation.
    #[must_use]
    pub fn new(incarnation: u64) -> ConfirmationRounds {
        ConfirmationRounds {
            incarnation,
            sequence: 0,
            last_started_at: None,
            round: None,
        }
    }

    /// This process's incarnation.
    #[must_use]
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Starts a new round if one is due, and returns the query to send to `peers`. What was confirmed before
    /// `watermark` is known.
    pub fn start_round(
        &mut self,
        now: MonotonicMillis,
        watermark: MonotonicMillis,
        peers: BTreeSet<Member>,
    ) -> Option<ConfirmationQuery> {
        let pause_ms = match self.round {
            Some(_) => ROUND_TIMEOUT_MS,
            None => ROUND_GAP_MS,
        };
        if self
            .last_started_at
            .is_some_and(|at| now.since(at) < pause_ms)
        {
            return None;
        }
        self.last_started_at = Some(now);
        self.sequence += 1;
        let window_ms = with_drift(now.since(watermark) + IN_FLIGHT_MS);
        self.round = Some(Round {
            sequence: self.sequence,
            started_at: now,
            watermark,
            window_ms,
            awaited: peers,
        });
        Some(ConfirmationQuery {
            incarnation: self.incarnation,
            sequence: self.sequence,
            window_ms,
        })
    }

    /// Takes an answer in; the time up to which every confirmation is known, once the round is complete.
    ///
    /// # Errors
    /// Why the answer proves nothing.
    pub fn on_confirmation(
        &mut self,
        now: MonotonicMillis,
        answer: &PeerConfirmation,
    ) -> Result<Option<MonotonicMillis>, IgnoredConfirmation> {
        if answer.incarnation != self.incarnation {
            return Err(IgnoredConfirmation::OtherIncarnation);
        }
        let round = self
            .round
            .as_mut()
            .filter(|round| round.sequence == answer.sequence)
            .ok_or(IgnoredConfirmation::OtherRound)?;
        if !round.awaited.contains(&answer.from) {
            return Err(IgnoredConfirmation::NotAwaited);
        }
        if !answer.complete {
            return Err(IgnoredConfirmation::Incomplete);
        }
        // It was given at an unknown time up to now, and reaches back from that time.
        if with_drift(now.since(round.watermark)) > round.window_ms {
            return Err(IgnoredConfirmation::TooLate);
        }
        round.awaited.remove(&answer.from);
        if !round.awaited.is_empty() {
            return Ok(None);
        }
        let started_at = round.started_at;
        self.round = None;
        Ok(Some(started_at))
    }
}
