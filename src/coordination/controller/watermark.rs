//! The cancellation watermark: up to when this controller knows every cancellation that was confirmed to a user, by the
//! record cache or by the confirmations of all peers. Workers' leases are renewed for a while after that only.

use super::Controller;
use crate::coordination::config::Config;
use crate::effects::Effect;
use snowshelf_model::ids::{JobId, Member, MonotonicMillis};
use snowshelf_model::protocol::peer::{Confirmation, ConfirmationRequest, PeerMessage};
use snowshelf_watermark::CancellationWatermark;
use snowshelf_watermark::confirmation_round::{ConfirmationRounds, PeerConfirmation};
use snowshelf_watermark::renewal::{MAX_WATCH_AGE_MS, is_covered};
use std::collections::{BTreeMap, BTreeSet};

/// With less time for renewals than this, a watch that is only slow makes workers end their tasks.
const SMALL_MARGIN_MS: u64 = 4_000;
/// Most jobs in one confirmation, so that it stays within its frame; with more it is incomplete.
const MAX_CONFIRMED_JOBS: usize = 2_000;

/// What this controller knows of cancellations that were confirmed to users.
pub(super) struct CancellationKnowledge {
    watermark: CancellationWatermark,
    /// Rounds of confirmation requests. Their incarnation is 0 until the first event tells the time of day.
    rounds: ConfirmationRounds,
    /// Jobs whose cancellation a peer has confirmed, and when it said so.
    peer_confirmed: BTreeMap<JobId, MonotonicMillis>,
    /// The watermark is too old for workers' leases to be renewed.
    renewal_suspended: bool,
}

impl Default for CancellationKnowledge {
    fn default() -> CancellationKnowledge {
        CancellationKnowledge {
            watermark: CancellationWatermark::default(),
            rounds: ConfirmationRounds::new(0),
            peer_confirmed: BTreeMap::new(),
            renewal_suspended: false,
        }
    }
}

impl CancellationKnowledge {
    pub(super) fn watermark(&self) -> CancellationWatermark {
        self.watermark
    }

    pub(super) fn peer_confirmed(&self) -> &BTreeMap<JobId, MonotonicMillis> {
        &self.peer_confirmed
    }

    /// Gives this process its incarnation, by which peers tell it from the one before a restart.
    pub(super) fn begin_incarnation(&mut self, wall_ms: u64) {
        if self.rounds.incarnation() == 0 {
            self.rounds = ConfirmationRounds::new(wall_ms.max(1));
        }
    }

    /// The record cache has every record as of this time.
    pub(super) fn on_records_current(&mut self, at: MonotonicMillis) {
        self.watermark.advance_by_watch(at);
        // What peers confirmed before is in the record cache.
        self.peer_confirmed
            .retain(|_, confirmed_at| *confirmed_at >= at);
    }

    /// Whether the watch of records advances the watermark too late.
    fn is_watch_late(&self, now: MonotonicMillis) -> bool {
        let read_at = self.watermark.watch();
        read_at.is_none_or(|at| now.since(at) > MAX_WATCH_AGE_MS)
    }

    /// Logs when workers' leases are no longer renewed, and when they are again.
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
                "lease renewal suspended: cancellation watermark too old"
            ),
            false => tracing::info!(behind_ms, "lease renewal resumed"),
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
            Err(why) => {
                tracing::info!(member = %confirmation.from, sequence = confirmation.sequence, ?why,
                    "peer confirmation ignored");
                return;
            }
        };
        // Their tasks are stopped at once, whether or not the other peers have answered yet.
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

/// Logs at the start that the settings leave little time for renewals without the key-value store.
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
    /// Asks the peers which cancellations they have confirmed while the key-value store does not say it.
    pub(super) fn tick_watermark(&mut self) {
        let now = self.env.now();
        let answering_ms = self.env.config.settings.answering_ms();
        let cancellations = &mut self.env.cancellations;
        cancellations.log_suspension(now, answering_ms);
        let Some(watermark) = cancellations.watermark.at() else {
            return;
        };
        let watch_late = cancellations.is_watch_late(now);
        if self.shards.is_empty() || (self.env.is_served() && !watch_late) {
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
            // Nobody else confirms cancellations.
            env.cancellations.watermark.advance_by_confirmation(now);
            return;
        }
        let Some(round) = env.cancellations.rounds.start_round(now, watermark, peers) else {
            return;
        };
        let request = ConfirmationRequest {
            member: env.config.me.as_str().to_string(),
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

    /// Handles a message of a peer that safety depends on.
    pub(super) fn on_peer_message(&mut self, message: PeerMessage) {
        if let Some(request) = message.request {
            self.confirm_cancellations(&request);
        }
        if let Some(confirmation) = message.confirmation {
            let now = self.env.now();
            self.env.cancellations.on_confirmation(now, &confirmation);
        }
    }

    /// Answers a peer which cancellations this controller has confirmed to users lately.
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
            member: env.config.me.as_str().to_string(),
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
