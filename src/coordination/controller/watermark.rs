//! For how long this controller keeps workers while it cannot learn what users are told: its knowledge horizon,
//! and the rounds in which the others say what they have confirmed.

use super::{Controller, UNSERVED_MS};
use crate::effects::Effect;
use snowshelf_model::ids::{JobId, Member, MonotonicMillis};
use snowshelf_model::protocol::peer::{Confirmation, ConfirmationRequest, PeerMessage};
use snowshelf_watermark::confirmation_round::PeerConfirmation;
use snowshelf_watermark::renewal::{WATCH_LATE_MS, is_covered};
use std::collections::BTreeSet;

/// Less than this and workers are let go by a feed that is only slow.
const LITTLE_ROOM_MS: u64 = 4_000;
/// Most jobs named in one attestation, so that it stays within its frame; beyond that it is incomplete.
const MOST_NAMED: usize = 2_000;

impl Controller {
    /// Whether answering workers is of use: where the state service serves hardly anybody, nobody can have taken the
    /// part. That is a hint; that answers break no rule follows from the renewal that each of them needs.
    pub(super) fn serves(&self) -> bool {
        self.leases.fresh(self.effects.now) || (self.leases.lease.is_some() && self.outage())
    }

    /// Asks the others what they have confirmed while the state service does not say it.
    pub(super) fn tick_horizon(&mut self) {
        let now = self.effects.now;
        self.tell_of_horizon();
        let Some(at) = self.watermark.at() else {
            return;
        };
        // Where the state service answers all but the feed, that does not say it either.
        let feed_late = self
            .watermark
            .watch()
            .is_none_or(|feed| now.since(feed) > WATCH_LATE_MS);
        if self.shards.is_empty() || (self.state_silent_ms() < UNSERVED_MS && !feed_late) {
            return;
        }
        let others: BTreeSet<Member> = self.others().cloned().collect();
        if others.is_empty() {
            // Nobody else tells users anything.
            self.watermark.advance_by_confirmation(now);
            return;
        }
        let Some(question) = self.confirmation_rounds.start_round(now, at, others) else {
            return;
        };
        let request = ConfirmationRequest {
            member: self.config.me.as_str().to_string(),
            incarnation: question.incarnation,
            sequence: question.sequence,
            window_ms: question.window_ms,
        };
        for member in self.others().cloned().collect::<Vec<_>>() {
            let proof = PeerMessage {
                request: Some(request.clone()),
                confirmation: None,
            };
            self.effects
                .outputs
                .push(Effect::PeerMessage(member, proof));
        }
    }

    /// Says at the start where the settings leave hardly any room for answering without the state service.
    pub(super) fn tell_of_room(&self) {
        let answering_ms = self.config.settings.answering_ms();
        if answering_ms < LITTLE_ROOM_MS {
            let workers = &self.config.settings.deployment.workers;
            tracing::error!(
                cancel_s = workers.cancel_s,
                lease_s = workers.lease_s,
                answering_ms,
                "cancel_s leaves little margin beyond lease_s: worker leases are not renewed once cancellations are known late"
            );
        }
    }

    fn others(&self) -> impl Iterator<Item = &Member> + '_ {
        self.config.members.iter().filter(|m| **m != self.config.me)
    }

    /// One line for operators when workers are let go, and when they are answered again.
    fn tell_of_horizon(&mut self) {
        let now = self.effects.now;
        let answering_ms = self.config.settings.answering_ms();
        let lets_go = self
            .watermark
            .at()
            .is_some_and(|at| !is_covered(Some(at), now, answering_ms));
        if lets_go != self.lets_go {
            self.lets_go = lets_go;
            let behind_ms = self.watermark.at().map(|at| now.since(at));
            match lets_go {
                true => tracing::info!(
                    behind_ms,
                    "lease renewal suspended: cancellation watermark too old"
                ),
                false => tracing::info!(behind_ms, "lease renewal resumed"),
            }
        }
    }

    /// The mirror is current as of a new moment.
    pub(super) fn read_as_of(&mut self, at: MonotonicMillis) {
        self.watermark.advance_by_watch(at);
        // What was said before that is in the mirror if it is true.
        self.attested.retain(|_, said| *said >= at);
    }

    /// A message that is no hint, of another controller.
    pub(super) fn proof(&mut self, proof: PeerMessage) {
        if let Some(request) = proof.request {
            self.attest(&request);
        }
        if let Some(attestation) = proof.confirmation {
            self.attested(attestation);
        }
    }

    fn attest(&mut self, request: &ConfirmationRequest) {
        let asker = Member::new(&request.member);
        if !self.others().any(|m| *m == asker) {
            tracing::info!(member = %asker, "confirmation request rejected: unknown member");
            return;
        }
        let stats = self
            .job_api
            .confirmed
            .within(self.effects.now, request.window_ms);
        let stats = stats.filter(|jobs| jobs.len() <= MOST_NAMED);
        let complete = stats.is_some();
        let cancelled = stats.into_iter().flatten();
        let attestation = Confirmation {
            member: self.config.me.as_str().to_string(),
            incarnation: self.confirmation_rounds.incarnation(),
            asker_incarnation: request.incarnation,
            sequence: request.sequence,
            complete,
            cancelled: cancelled.map(|job| job.as_str().to_string()).collect(),
        };
        let proof = PeerMessage {
            request: None,
            confirmation: Some(attestation),
        };
        self.effects.outputs.push(Effect::PeerMessage(asker, proof));
    }

    fn attested(&mut self, attestation: Confirmation) {
        let now = self.effects.now;
        let answer = PeerConfirmation {
            from: Member::new(&attestation.member),
            incarnation: attestation.asker_incarnation,
            sequence: attestation.sequence,
            complete: attestation.complete,
            cancelled: attestation
                .cancelled
                .iter()
                .map(|j| JobId::new(j))
                .collect(),
        };
        match self.confirmation_rounds.on_confirmation(now, &answer) {
            Err(why) => {
                tracing::info!(member = %answer.from, sequence = answer.sequence, ?why, "peer confirmation ignored");
            }
            Ok(complete) => {
                // Halted at once, whether or not the others have answered yet.
                for job in answer.cancelled {
                    if self.attested.insert(job.clone(), now).is_none() {
                        tracing::info!(job = %job, by = %answer.from, "job cancellation confirmed by peer");
                    }
                }
                if let Some(asked) = complete {
                    self.watermark.advance_by_confirmation(asked);
                }
            }
        }
    }
}
