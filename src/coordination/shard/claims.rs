//! A part with idle machines takes over tasks that wait in another one.

use super::placing::Sort;
use super::{Offer, Shard};
use crate::bookkeeping::store::{Class, TxnResult};
use crate::coordination::env::{Env, Tag};
use snowshelf_model::ids::{JobId, PartId, Team, Version, WallMs};
use snowshelf_model::protocol::state::{Change, Txn};
use snowshelf_model::records::{Grant, JobSpec, JobState, alloc_key, job_key, part_key};
use snowshelf_policy::holding::WAITED_MS;
use std::collections::HashMap;

/// A job younger than this is left to the part that holds it.
const CLAIM_AGE_MS: u64 = 1_500;

/// The same where room is kept for its team.
const KEPT_AGE_MS: u64 = 250;

/// The least time between two claims of what others offer while tasks wait here: each costs three writes.
const OFFERED_GAP_MS: u64 = 1_000;

impl Shard {
    /// An idle part takes over tasks that wait in another part, in one conditional transaction.
    pub(super) fn claim(&mut self, env: &mut Env) {
        let now = env.now();
        if self.claiming || now < self.claim_at {
            return;
        }
        // Room that is kept for a team is of no use to what waits here.
        let kept = self.kept_room.values().any(|k| k.free > 0.0);
        let idle = self.free_cpus > 0.0 && !self.matched.idle.is_empty();
        if !idle && !kept && self.offered.is_empty() {
            return;
        }
        let mut rooms = self.rooms(env);
        let used = match self.offered.is_empty() {
            true => HashMap::new(),
            false => self.used(),
        };
        // The team that machines of a sort are kept for by now.
        let team_of = |sort: &Sort| {
            let team = sort.kept.as_ref()?.team_now(env)?;
            self.kept_room.contains_key(team).then(|| team.clone())
        };
        let mut best: Option<(WallMs, PartId, JobId, u32)> = None;
        // Looking through all shares costs too much to be done for what is offered alone.
        let all = idle || kept;
        let offered = self.offered.keys();
        let shares: Vec<_> = match all {
            true => env.mirror.allocs.iter().collect(),
            false => offered
                .filter_map(|key| env.mirror.allocs.get_key_value(key))
                .collect(),
        };
        for (key, alloc) in shares {
            let (part, id) = key;
            if *part == self.part || alloc.value.waiting.is_empty() {
                continue;
            }
            let Some(record) = env.mirror.jobs.get(id) else {
                continue;
            };
            let (Some(spec), JobState::Open) = (&record.value.spec, record.value.state) else {
                continue;
            };
            let kept_ours = self.kept_room.contains_key(&spec.team);
            let age_ms = if kept_ours { KEPT_AGE_MS } else { CLAIM_AGE_MS };
            // A job whose zones are bound moves whole, before anything of it is started; a young
            // one may be about to start there.
            if !env.graph.is_ready(id, &record.value)
                || (spec.zones_bound() && !alloc.value.started.is_empty())
                || env.out.wall_ms < record.value.submitted.0 + age_ms
                || self
                    .jobs
                    .get(id)
                    .is_some_and(|j| j.in_flight || !j.steps.is_empty())
            {
                continue;
            }
            let older = best.as_ref().is_none_or(|b| record.value.submitted < b.0);
            if !older {
                continue;
            }
            let offer = self.offered.get(key).copied();
            // Taken though others wait here, but not to wait here for the team's grant.
            let offered = offer.is_some() && self.has_grant(spec, &used, env);
            let counts = |sort: &Sort| match team_of(sort) {
                Some(team) => kept_ours && team == spec.team,
                None => offered || (idle && self.matched.idle.contains(&sort.kind())),
            };
            let mut fit = self.fit(spec, &mut rooms, counts, env);
            if fit == 0
                && offer == Some(Offer::Stranded)
                && env.waited_ms(id, &record.value) >= WAITED_MS
            {
                // What has room at once is for smaller tasks: room is held for it here.
                fit = u32::from(self.could_hold(spec, &rooms, env));
            }
            if fit > 0 {
                let waiting = alloc.value.waiting.len();
                let count = if spec.zones_bound() {
                    waiting
                } else {
                    fit.min(waiting)
                };
                best = Some((record.value.submitted, *part, id.clone(), count));
            }
        }
        let Some((_, from, id, count)) = best else {
            self.claim_at = now.plus(if all { 250 } else { OFFERED_GAP_MS });
            return;
        };
        let (Some(theirs), Some(record)) = (
            env.mirror.allocs.get(&(from, id.clone())).cloned(),
            env.mirror.jobs.get(&id).cloned(),
        ) else {
            return;
        };
        let mine = env.mirror.allocs.get(&(self.part, id.clone())).cloned();
        let mut left = (*theirs.value).clone();
        let taken = left.waiting.split_last(count);
        let mut next = mine
            .as_ref()
            .map(|m| (*m.value).clone())
            .unwrap_or_default();
        next.waiting.merge(&taken);
        let (theirs_key, mine_key) = (alloc_key(from, &id), alloc_key(self.part, &id));
        let mut txn = Txn::default()
            .when(part_key(self.part), Version(self.token.0))
            .when(theirs_key.clone(), theirs.version)
            .when(
                mine_key.clone(),
                mine.map(|m| m.version).unwrap_or_default(),
            )
            .when(job_key(&id), record.version);
        let mut writes = vec![
            (theirs_key, env.terms.share(&left)),
            (mine_key, env.terms.share(&next)),
        ];
        if !record.value.parts.contains(&self.part) {
            let mut job = (*record.value).clone();
            job.parts.push(self.part);
            writes.push((job_key(&id), env.job_value(&job)));
        }
        let fits = writes.len() <= env.terms.txn_ops
            && env.terms.startable(&next, next.started_count(), 0) > 0;
        for (key, value) in writes {
            let Some(value) = value.filter(|_| fits) else {
                // One of the records would be too large: not before some of its tasks have ended.
                self.claim_at = now.plus(1_000);
                return;
            };
            txn = txn.then(Change::write(key, &value));
        }
        if !env.store.may(now, Class::Starts, txn.changes.len()) {
            self.claim_at = now.plus(250);
            return;
        }
        tracing::info!(job = %id, from = %from, part = %self.part, tasks = count, "claims waiting tasks");
        self.claiming = true;
        self.claimed_at = now;
        env.store.txn(
            env.out,
            Tag::ClaimTxn(self.part, self.token, id, txn.clone()),
            &txn,
        );
    }
    /// Whether the part's grant has room for a task of this job.
    fn has_grant(&self, spec: &JobSpec, used: &HashMap<Team, Grant>, env: &Env) -> bool {
        let granted = self.granted(&spec.team, env);
        let mut next = used.get(&spec.team).copied().unwrap_or_default();
        next.add(Grant::of(spec.room));
        granted.covers(next)
    }

    pub fn claim_done(&mut self, txn: &Txn, result: TxnResult, env: &mut Env) {
        let now = env.now();
        self.claiming = false;
        self.claim_at = match self.matched.any {
            true => now.max(self.claimed_at.plus(OFFERED_GAP_MS)),
            false => now.plus(100),
        };
        match result {
            TxnResult::Done(revision) => {
                for change in &txn.changes {
                    if let Change::Write { key, value, .. } = change {
                        env.mirror.apply(key, Some(value), revision);
                    }
                }
                // Every share of the job changed hands in the mirror; the caller tells all shards.
            }
            // The change feed shows what became of it; nothing is commanded before that.
            TxnResult::Unknown => self.claim_at = now.plus(3_000),
            TxnResult::Conflict(_)
            | TxnResult::NotDone
            | TxnResult::Refused
            | TxnResult::NoLease => {
                self.claim_at = now.plus(500);
            }
        }
    }
}
