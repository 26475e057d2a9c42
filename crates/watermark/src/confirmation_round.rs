//! Rounds in which all other controllers say what they have confirmed to users.
//!
//! A round that every one of them has answered moves the horizon to the moment at which it was asked: what was
//! told before is in their answers, what was told after has its full time from then on. One answer missing,
//! late, of another life or of a shorter count than asked for, and the round proves nothing.

use crate::with_drift;
use snowshelf_model::ids::{JobId, Member, MonotonicMillis};
use std::collections::BTreeSet;

/// The least time between two rounds, and how long one is waited for.
const GAP_MS: u64 = 1_000;
const WAIT_MS: u64 = 1_500;
/// How much further back than the horizon a round asks, for the time that its answers are underway.
const UNDERWAY_MS: u64 = 2_000;

/// Which jobs have you confirmed as cancelled to users in the last `window_ms`?
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct ConfirmationQuery {
    pub incarnation: u64,
    pub sequence: u64,
    pub window_ms: u64,
}

/// One controller's answer.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct PeerConfirmation {
    pub from: Member,
    /// Of the question that it answers.
    pub incarnation: u64,
    pub sequence: u64,
    /// Whether these are all that it told in the window asked for.
    pub complete: bool,
    pub cancelled: Vec<JobId>,
}

/// Why an answer proves nothing.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Ignored {
    /// Of a controller that is none, or that has answered this round.
    NotAwaited,
    /// To a question of an earlier life of this process.
    OtherIncarnation,
    /// To a round that is over or was never asked.
    OtherRound,
    /// The answering controller has not counted since before the horizon.
    Incomplete,
    /// It has been underway for so long that its window may begin after the horizon.
    TooLate,
}

#[derive(Clone, Debug)]
struct Round {
    sequence: u64,
    asked: MonotonicMillis,
    /// The horizon that it was asked from.
    from: MonotonicMillis,
    window_ms: u64,
    awaited: BTreeSet<Member>,
}

#[derive(Debug)]
pub struct ConfirmationRounds {
    /// Tells this life from others.
    incarnation: u64,
    sequence: u64,
    asked: Option<MonotonicMillis>,
    round: Option<Round>,
}

impl ConfirmationRounds {
    pub fn new(incarnation: u64) -> ConfirmationRounds {
        ConfirmationRounds {
            incarnation,
            sequence: 0,
            asked: None,
            round: None,
        }
    }

    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Asks all others for a new round if one is due; what has been confirmed before `watermark` is known.
    pub fn ask(
        &mut self,
        now: MonotonicMillis,
        watermark: MonotonicMillis,
        others: BTreeSet<Member>,
    ) -> Option<ConfirmationQuery> {
        let pause = match self.round {
            Some(_) => WAIT_MS,
            None => GAP_MS,
        };
        if self.asked.is_some_and(|at| now.since(at) < pause) {
            return None;
        }
        self.asked = Some(now);
        self.sequence += 1;
        let window_ms = with_drift(now.since(watermark) + UNDERWAY_MS);
        self.round = Some(Round {
            sequence: self.sequence,
            asked: now,
            from: watermark,
            window_ms,
            awaited: others,
        });
        Some(ConfirmationQuery {
            incarnation: self.incarnation,
            sequence: self.sequence,
            window_ms,
        })
    }

    /// Takes an answer in: the moment up to which everything is known, once the round is complete.
    pub fn take(
        &mut self,
        now: MonotonicMillis,
        answer: &PeerConfirmation,
    ) -> Result<Option<MonotonicMillis>, Ignored> {
        if answer.incarnation != self.incarnation {
            return Err(Ignored::OtherIncarnation);
        }
        let round = self
            .round
            .as_mut()
            .filter(|r| r.sequence == answer.sequence);
        let round = round.ok_or(Ignored::OtherRound)?;
        if !round.awaited.contains(&answer.from) {
            return Err(Ignored::NotAwaited);
        }
        if !answer.complete {
            return Err(Ignored::Incomplete);
        }
        // It was given at an unknown moment up to now, and reaches back from that one.
        if with_drift(now.since(round.from)) > round.window_ms {
            return Err(Ignored::TooLate);
        }
        round.awaited.remove(&answer.from);
        if !round.awaited.is_empty() {
            return Ok(None);
        }
        let asked = round.asked;
        self.round = None;
        Ok(Some(asked))
    }
}
