//! The cancellation watermark: the time up to which this controller knows every cancellation that was confirmed to a
//! user, from the record cache or from the confirmations of all peers. Worker leases are renewed only for a limited
//! time after the watermark.

use super::Controller;
use crate::coordination::config::Config;
use crate::effects::Effect;
use snowshelf_model::ids::{JobId, Member, MonotonicMillis};
use snowshelf_model::protocol::peer::{Confirmation, ConfirmationRequest, PeerMessage};
use snowshelf_watermark::CancellationWatermark;
use snowshelf_watermark::confirmation_round::{ConfirmationRounds, PeerConfirmation};
use snowshelf_watermark::renewal::{MAX_WATCH_AGE_MS, is_covered};
use std::collections::{BTreeMap, BTreeSet};

/// With less time than this for renewals after the watermark, a watch that is merely slow makes workers stop their
/// tasks.
const SMALL_MARGIN_MS: u64 = 4_000;
/// Largest number of jobs in one confirmation, to stay within the frame size. With more jobs the confirmation is sent
/// as incomplete.
const MAX_CONFIRMED_JOBS: usize = 2_000;

/// Tracks the cancellations that were confirmed to users.
pub(super) struct CancellationTracker {
    watermark: CancellationWatermark,
    /// Rounds of confirmation requests. Their incarnation is 0 until the first event brings the wall clock time.
    rounds: ConfirmationRounds,
    /// Jobs whose cancellation a peer has confirmed, with the time of its answer.
    peer_confirmed: BTreeMap<JobId, MonotonicMillis>,
    /// Whether the watermark is too old to renew worker leases.
    renewal_suspended: bool,
}

impl Default for CancellationTracker {
    fn default() -> CancellationTracker {
        CancellationTracker {
            watermark: CancellationWatermark::default(),
            rounds: ConfirmationRounds::new(0),
            peer_confirmed: BTreeMap::new(),
            renewal_suspended: false,
        }
    }
}

impl CancellationTracker {
    pub(super) fn watermark(&self) -> CancellationWatermark {
        self.watermark
    }

    pub(super) fn peer_confirmed(&self) -> &BTreeMap<JobId, MonotonicMillis> {
        &self.peer_confirmed
    }

    /// Sets this process's incarnation on the first event. It distinguishes the process from the one before a restart.
    pub(super) fn begin_incarnation(&mut self, wall_ms: u64) {
        if self.rounds.incarnation() == 0 {
            self.rounds = ConfirmationRounds::new(wall_ms.max(1));
        }
    }

    /// Advances the watermark: the record cache holds every change up to `at`.
    pub(super) fn on_records_current(&mut self, at: MonotonicMillis) {
        self.watermark.advance_by_watch(at);
        // Cancellations that peers confirmed before then are in the record cache.
        self.peer_confirmed
            .retain(|_, confirmed_at| *confirmed_at >= at);
    }

    /// Whether the watch is late: it has not advanced the watermark for longer than [`MAX_WATCH_AGE_MS`].
    fn is_watch_late(&self, now: MonotonicMillis) -> bool {
        let synced_at = self.watermark.watch();
        synced_at.is_none_or(|at| now.since(at) > MAX_WATCH_AGE_MS)
    }

    /// Logs when worker lease renewal is suspended and when it resumes.
    fn log_suspension(&mut self, now: MonotonicMillis, answering_ms: u64) {
        let watermark = self.watermark.at();
        let is_suspended = watermark.is_some_and(|at| !is_covered(Some(at), now, answering_ms));
        if is_suspended == self.renewal_suspended {
            return;
        }
        self.renewal_suspended = is_suspended;
        let behind_ms = watermark.map(|at| now.since(at));
        match is_suspended {
            true => tracing::info!(
                behind_ms,
                "worker lease renewal suspended: cancellation watermark too old"
            ),
            false => tracing::info!(behind_ms, "worker lease renewal resumed"),
        }
    }

    /// Handles a peer's answer to a confirmation request.
    fn on_confirmation(&mut self, now: MonotonicMillis, confirmation: &Confirmation) {
        let cancelled = confirmation.cancelled.iter();
        let confirmation = PeerConfirmation {
            from: Member::new(&confirmation.member),
            incarnation: confirmation.asker_incarnation,
            sequence: confirmation.sequence,
            complete: confirmation.complete,
            cancelled: cancelled.map(|job| JobId::new(job)).collect(),
        };
        let completed_round = match self.rounds.on_confirmation(now, &confirmation) {
            Ok(completed_round) => completed_round,
            Err(reason) => {
                tracing::info!(member = %confirmation.from, sequence = confirmation.sequence, why = ?reason,
                    "peer confirmation ignored");
                return;
            }
        };
        // The jobs' tasks are stopped immediately, whether or not the other peers have answered yet.
        for job in confirmation.cancelled {
            if self.peer_confirmed.insert(job.clone(), now).is_none() {
                tracing::info!(job = %job, by = %confirmation.from, "job cancellation confirmed by peer");
            }
        }
        if let Some(asked_at) = completed_round {
            self.watermark.advance_by_confirmation(asked_at);
        }
    }
}

/// Logs an error at startup if the settings leave little time for lease renewals without the key-value store.
pub(super) fn log_small_margin(config: &Config) {
    let answering_ms = config.settings.answering_ms();
    if answering_ms < SMALL_MARGIN_MS {
        let workers = &config.settings.deployment.workers;
        tracing::error!(
            cancel_s = workers.cancel_s,
            lease_s = workers.lease_s,
            answering_ms,
            "cancel_s leaves little margin beyond lease_s: worker leases are not renewed once cancellations are known late"
        );
    }
}

impl Controller {
    /// Requests the peers' confirmed cancellations while the key-value store is unavailable or the watch is late.
    pub(super) fn tick_watermark(&mut self) {
        let now = self.env.now();
        let answering_ms = self.env.config.settings.answering_ms();
        let cancellations = &mut self.env.cancellations;
        cancellations.log_suspension(now, answering_ms);
        let Some(watermark) = cancellations.watermark.at() else {
            return;
        };
        let watch_late = cancellations.is_watch_late(now);
        if self.shards.is_empty() || (self.env.is_kv_available() && !watch_late) {
            return;
        }
        self.request_confirmations(watermark);
    }

    /// Starts a round of confirmation requests, if one is due.
    fn request_confirmations(&mut self, watermark: MonotonicMillis) {
        let env = &mut self.env;
        let now = env.effects.now;
        let peers: BTreeSet<Member> = env.config.other_members().cloned().collect();
        if peers.is_empty() {
            // Without peers, no other controller confirms cancellations.
            env.cancellations.watermark.advance_by_confirmation(now);
            return;
        }
        let Some(round) = env.cancellations.rounds.start_round(now, watermark, peers) else {
            return;
        };
        let request = ConfirmationRequest {
            member: env.config.local_member.as_str().to_string(),
            incarnation: round.incarnation,
            sequence: round.sequence,
            window_ms: round.window_ms,
        };
        for member in env.config.other_members() {
            let message = PeerMessage {
                request: Some(request.clone()),
                confirmation: None,
            };
            let effect = Effect::PeerMessage(member.clone(), message);
            env.effects.outputs.push(effect);
        }
    }

    /// Handles a peer's confirmation request or confirmation. Unlike statuses, safety depends on them.
    pub(super) fn on_peer_message(&mut self, message: PeerMessage) {
        if let Some(request) = message.request {
            self.confirm_cancellations(&request);
        }
        if let Some(confirmation) = message.confirmation {
            let now = self.env.now();
            self.env.cancellations.on_confirmation(now, &confirmation);
        }
    }

    /// Sends a peer the cancellations that this controller has confirmed to users within the requested window.
    fn confirm_cancellations(&mut self, request: &ConfirmationRequest) {
        let env = &mut self.env;
        let peer = Member::new(&request.member);
        if !env.config.other_members().any(|member| *member == peer) {
            tracing::info!(member = %peer, "confirmation request rejected: unknown member");
            return;
        }
        let confirmed = &self.job_api.confirmed_cancellations;
        let cancelled = confirmed
            .within(env.effects.now, request.window_ms)
            .filter(|jobs| jobs.len() <= MAX_CONFIRMED_JOBS);
        let confirmation = Confirmation {
            member: env.config.local_member.as_str().to_string(),
            incarnation: env.cancellations.rounds.incarnation(),
            asker_incarnation: request.incarnation,
            sequence: request.sequence,
            complete: cancelled.is_some(),
            cancelled: cancelled
                .into_iter()
                .flatten()
                .map(|job| job.as_str().to_string())
                .collect(),
        };
        let message = PeerMessage {
            request: None,
            confirmation: Some(confirmation),
        };
        let effect = Effect::PeerMessage(peer, message);
        env.effects.outputs.push(effect);
    }
}
