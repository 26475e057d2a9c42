//! For how long this controller keeps workers while it cannot learn what users are told: its knowledge horizon,
//! and the rounds in which the others say what they have confirmed.

use super::{Controller, UNSERVED_MS};
use crate::outbox::Output;
use snowshelf_horizon::attesting::Answer;
use snowshelf_horizon::renewal::{FEED_LATE_MS, known};
use snowshelf_model::ids::{JobId, Member, Millis};
use snowshelf_model::protocol::peer::{Attestation, AttestationRequest, Proof};
use std::collections::BTreeSet;

/// Less than this and workers are let go by a feed that is only slow.
const LITTLE_ROOM_MS: u64 = 4_000;
/// Most jobs named in one attestation, so that it stays within its frame; beyond that it is incomplete.
const MOST_NAMED: usize = 2_000;

impl Controller {
    /// Whether answering workers is of use: where the state service serves hardly anybody, nobody can have taken the
    /// part. That is a hint; that answers break no rule follows from the renewal that each of them needs.
    pub(super) fn serves(&self) -> bool {
        self.own.fresh(self.out.now) || (self.own.lease.is_some() && self.outage())
    }

    /// Asks the others what they have confirmed while the state service does not say it.
    pub(super) fn tick_horizon(&mut self) {
        let now = self.out.now;
        self.tell_of_horizon();
        let Some(at) = self.horizon.at() else { return };
        // Where the state service answers all but the feed, that does not say it either.
        let feed_late = self
            .horizon
            .feed()
            .is_none_or(|feed| now.since(feed) > FEED_LATE_MS);
        if self.shards.is_empty() || (self.state_silent_ms() < UNSERVED_MS && !feed_late) {
            return;
        }
        let others: BTreeSet<Member> = self.others().cloned().collect();
        if others.is_empty() {
            // Nobody else tells users anything.
            self.horizon.attest(now);
            return;
        }
        let Some(question) = self.attesting.ask(now, at, others) else {
            return;
        };
        let request = AttestationRequest {
            member: self.cfg.me.as_str().to_string(),
            incarnation: question.incarnation,
            sequence: question.sequence,
            window_ms: question.window_ms,
        };
        for member in self.others().cloned().collect::<Vec<_>>() {
            let proof = Proof {
                request: Some(request.clone()),
                attestation: None,
            };
            self.out.outputs.push(Output::Proof(member, proof));
        }
    }

    /// Says at the start where the settings leave hardly any room for answering without the state service.
    pub(super) fn tell_of_room(&self) {
        let answering_ms = self.cfg.settings.answering_ms();
        if answering_ms < LITTLE_ROOM_MS {
            let workers = &self.cfg.settings.deployment.workers;
            tracing::error!(
                cancel_s = workers.cancel_s,
                lease_s = workers.lease_s,
                answering_ms,
                "cancel_s leaves little room beside lease_s: workers are let go as soon as news of cancellations is late"
            );
        }
    }

    fn others(&self) -> impl Iterator<Item = &Member> + '_ {
        self.cfg.members.iter().filter(|m| **m != self.cfg.me)
    }

    /// One line for operators when workers are let go, and when they are answered again.
    fn tell_of_horizon(&mut self) {
        let now = self.out.now;
        let answering_ms = self.cfg.settings.answering_ms();
        let lets_go = self
            .horizon
            .at()
            .is_some_and(|at| !known(Some(at), now, answering_ms));
        if lets_go != self.lets_go {
            self.lets_go = lets_go;
            let behind_ms = self.horizon.at().map(|at| now.since(at));
            match lets_go {
                true => tracing::info!(
                    behind_ms,
                    "answers no workers: it is not known what users were told since"
                ),
                false => tracing::info!(behind_ms, "answers workers again"),
            }
        }
    }

    /// The mirror is current as of a new moment.
    pub(super) fn read_as_of(&mut self, at: Millis) {
        self.horizon.read(at);
        // What was said before that is in the mirror if it is true.
        self.attested.retain(|_, said| *said >= at);
    }

    /// A message that is no hint, of another controller.
    pub(super) fn proof(&mut self, proof: Proof) {
        if let Some(request) = proof.request {
            self.attest(&request);
        }
        if let Some(attestation) = proof.attestation {
            self.attested(attestation);
        }
    }

    fn attest(&mut self, request: &AttestationRequest) {
        let asker = Member::new(&request.member);
        if !self.others().any(|m| *m == asker) {
            tracing::info!(member = %asker, "asked for an attestation by nobody known");
            return;
        }
        let told = self
            .gateway
            .confirmed
            .within(self.out.now, request.window_ms);
        let told = told.filter(|jobs| jobs.len() <= MOST_NAMED);
        let complete = told.is_some();
        let cancelled = told.into_iter().flatten();
        let attestation = Attestation {
            member: self.cfg.me.as_str().to_string(),
            incarnation: self.attesting.incarnation(),
            asker_incarnation: request.incarnation,
            sequence: request.sequence,
            complete,
            cancelled: cancelled.map(|job| job.as_str().to_string()).collect(),
        };
        let proof = Proof {
            request: None,
            attestation: Some(attestation),
        };
        self.out.outputs.push(Output::Proof(asker, proof));
    }

    fn attested(&mut self, attestation: Attestation) {
        let now = self.out.now;
        let answer = Answer {
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
        match self.attesting.take(now, &answer) {
            Err(why) => {
                tracing::info!(member = %answer.from, sequence = answer.sequence, ?why, "an attestation proves nothing");
            }
            Ok(complete) => {
                // Halted at once, whether or not the others have answered yet.
                for job in answer.cancelled {
                    if self.attested.insert(job.clone(), now).is_none() {
                        tracing::info!(job = %job, by = %answer.from, "cancelled, as another controller has told its user");
                    }
                }
                if let Some(asked) = complete {
                    self.horizon.attest(asked);
                }
            }
        }
    }
}
