//! Rounds in which all other controllers send the cancellations that they have confirmed to users.
//!
//! A round to which every controller has sent a valid confirmation advances the watermark to the start of the
//! round. Cancellations confirmed before are in the confirmations; those confirmed later have their full time
//! left from then on. If one confirmation is missing, late, incomplete or for another incarnation, the round
//! proves nothing.

use crate::with_drift;
use snowshelf_model::ids::{JobId, Member, MonotonicMillis};
use std::collections::BTreeSet;

/// Least time between the start of a completed round and that of the next, in milliseconds.
const ROUND_INTERVAL_MS: u64 = 1_000;
/// Least time between the start of an incomplete round and that of the next, in milliseconds.
const ROUND_TIMEOUT_MS: u64 = 1_500;
/// Time by which a round's window begins before the watermark, in milliseconds: allows for the time that
/// confirmations are in flight.
const IN_FLIGHT_MS: u64 = 2_000;

/// The request of a round for the cancellations that a controller has confirmed to users within a window.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct ConfirmationRequest {
    /// The requesting controller's incarnation.
    pub incarnation: u64,
    /// The round's number, from 1.
    pub sequence: u64,
    /// How far the window reaches back, in milliseconds.
    pub window_ms: u64,
}

/// One controller's response to a request.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct PeerConfirmation {
    /// The controller that sent the confirmation.
    pub from: Member,
    /// The incarnation in the request.
    pub incarnation: u64,
    /// The round's number in the request.
    pub sequence: u64,
    /// Whether `cancelled` contains all confirmations within the window.
    pub complete: bool,
    /// The jobs whose cancellation was confirmed to users.
    pub cancelled: Vec<JobId>,
}

/// Why a confirmation is ignored.
#[derive(Clone, Copy, PartialEq, Eq, Debug, thiserror::Error)]
pub enum IgnoredConfirmation {
    /// The sender is not a peer, or has already confirmed this round.
    #[error("no confirmation is awaited from this controller")]
    NotAwaited,
    /// The confirmation is for a request of an earlier incarnation of this process.
    #[error("the confirmation is for another incarnation")]
    OtherIncarnation,
    /// The confirmation is for a round that is over or never started.
    #[error("the confirmation is for another round")]
    OtherRound,
    /// The sender cannot name all its confirmations within the window.
    #[error("the confirmation is incomplete")]
    Incomplete,
    /// The confirmation was in flight for so long that its window may begin after the watermark.
    #[error("the confirmation was in flight for too long")]
    TooLate,
}

/// A round that awaits confirmations.
#[derive(Clone, Debug)]
struct Round {
    sequence: u64,
    started_at: MonotonicMillis,
    /// The watermark when the round started.
    watermark: MonotonicMillis,
    window_ms: u64,
    /// Controllers whose confirmations are missing.
    awaited: BTreeSet<Member>,
}

/// The confirmation rounds of one controller; at most one is open.
#[derive(Debug)]
pub struct ConfirmationRounds {
    /// Distinguishes this process from those before a restart.
    incarnation: u64,
    /// The number of the newest round; 0 before the first.
    sequence: u64,
    last_started_at: Option<MonotonicMillis>,
    round: Option<Round>,
}

impl ConfirmationRounds {
    /// The rounds of a process with this incarnation; none is open.
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

    /// Starts a new round if one is due, and returns the request to send to `peers`. An open round is abandoned.
    /// Every cancellation confirmed before `watermark` must be known.
    pub fn start_round(
        &mut self,
        now: MonotonicMillis,
        watermark: MonotonicMillis,
        peers: BTreeSet<Member>,
    ) -> Option<ConfirmationRequest> {
        let interval_ms = match self.round {
            Some(_) => ROUND_TIMEOUT_MS,
            None => ROUND_INTERVAL_MS,
        };
        if self
            .last_started_at
            .is_some_and(|at| now.since(at) < interval_ms)
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
        Some(ConfirmationRequest {
            incarnation: self.incarnation,
            sequence: self.sequence,
            window_ms,
        })
    }

    /// Processes a confirmation. Returns the start of the round if the round is complete: every cancellation
    /// confirmed before is then known.
    ///
    /// # Errors
    /// If the confirmation proves nothing for the open round.
    pub fn on_confirmation(
        &mut self,
        now: MonotonicMillis,
        confirmation: &PeerConfirmation,
    ) -> Result<Option<MonotonicMillis>, IgnoredConfirmation> {
        if confirmation.incarnation != self.incarnation {
            return Err(IgnoredConfirmation::OtherIncarnation);
        }
        let round = self
            .round
            .as_mut()
            .filter(|round| round.sequence == confirmation.sequence)
            .ok_or(IgnoredConfirmation::OtherRound)?;
        if !round.awaited.contains(&confirmation.from) {
            return Err(IgnoredConfirmation::NotAwaited);
        }
        if !confirmation.complete {
            return Err(IgnoredConfirmation::Incomplete);
        }
        // The sender created the confirmation at an unknown time up to now, and its window reaches back from
        // then.
        if with_drift(now.since(round.watermark)) > round.window_ms {
            return Err(IgnoredConfirmation::TooLate);
        }
        round.awaited.remove(&confirmation.from);
        if !round.awaited.is_empty() {
            return Ok(None);
        }
        let started_at = round.started_at;
        self.round = None;
        Ok(Some(started_at))
    }
}
