//! A part with idle machines takes over tasks that wait in another one.

use super::placement::MachineClass;
use super::{Shard, ShardRequest, StealOffer};
use crate::coordination::context::Context;
use crate::storage::kv_client::{RequestPriority, SwapOutcome};
use snowshelf_fair_share::backfill::WAITED_MS;
use snowshelf_model::ids::{JobId, MonotonicMillis, ShardId, Team, Version, WallClockMillis};
use snowshelf_model::protocol::state::{CompareAndSwap, Mutation};
use snowshelf_model::records::{Grant, JobSpec, JobState, allocation_key, job_key, shard_key};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

/// A job younger than this is left to the part that holds it.
const MIN_STEAL_AGE_MS: u64 = 1_500;

/// The same where room is kept for its team.
const MIN_STEAL_AGE_RESERVED_MS: u64 = 250;

/// The least time between two claims of what others offer while tasks wait here: each costs three writes.
const STEAL_INTERVAL_MS: u64 = 1_000;

/// The state of taking tasks over from other shards.
#[derive(Default)]
pub(super) struct WorkStealing {
    in_flight: bool,
    next_attempt_at: MonotonicMillis,
    last_attempt_at: MonotonicMillis,
    /// What the other shards offer, as far as their leaders say.
    pub foreign_offers: Rc<BTreeMap<(ShardId, JobId), StealOffer>>,
}

impl Shard {
    /// An idle part takes over tasks that wait in another part, in one conditional transaction.
    pub(super) fn steal(&mut self, context: &mut Context) {
        let now = context.now();
        if self.stealing.in_flight || now < self.stealing.next_attempt_at {
            return;
        }
        // Room that is kept for a team is of no use to what waits here.
        let kept = self.reservations.capacity.values().any(|k| k.free > 0.0);
        let idle = self.load.free_cpus > 0.0 && !self.placement.demand.idle.is_empty();
        if !idle && !kept && self.stealing.foreign_offers.is_empty() {
            return;
        }
        let mut capacity_index = self.capacity_index(context);
        let used = match self.stealing.foreign_offers.is_empty() {
            true => HashMap::new(),
            false => self.used_quota(),
        };
        // The team that machines of a class are kept for by now.
        let team_of = |class: &MachineClass| {
            let team = class.kept.as_ref()?.team_now(context)?;
            self.reservations
                .capacity
                .contains_key(team)
                .then(|| team.clone())
        };
        let mut best: Option<(WallClockMillis, ShardId, JobId, u32)> = None;
        // Looking through all shares costs too much to be done for what is offered alone.
        let all = idle || kept;
        let offered = self.stealing.foreign_offers.keys();
        let shares: Vec<_> = match all {
            true => context.records.allocations.iter().collect(),
            false => offered
                .filter_map(|key| context.records.allocations.get_key_value(key))
                .collect(),
        };
        for (key, alloc) in shares {
            let (shard_id, id) = key;
            if *shard_id == self.id || alloc.value.waiting.is_empty() {
                continue;
            }
            let Some(record) = context.records.jobs.get(id) else {
                continue;
            };
            let (Some(spec), JobState::Open) = (&record.value.spec, record.value.state) else {
                continue;
            };
            let kept_ours = self.reservations.capacity.contains_key(&spec.team);
            let age_ms = if kept_ours {
                MIN_STEAL_AGE_RESERVED_MS
            } else {
                MIN_STEAL_AGE_MS
            };
            // A job whose zones are bound moves whole, before anything of it is started; a young
            // one may be about to start there.
            if !context.dependency_graph.is_ready(id, &record.value)
                || (spec.zones_bound() && !alloc.value.started.is_empty())
                || context.effects.wall_ms < record.value.submitted.0 + age_ms
                || self
                    .jobs
                    .get(id)
                    .is_some_and(|j| j.write_in_flight || !j.pending_changes.is_empty())
            {
                continue;
            }
            let older = best.as_ref().is_none_or(|b| record.value.submitted < b.0);
            if !older {
                continue;
            }
            let offer = self.stealing.foreign_offers.get(key).copied();
            // Taken though others wait here, but not to wait here for the team's grant.
            let offered = offer.is_some() && self.has_grant(spec, &used, context);
            let counts = |class: &MachineClass| match team_of(class) {
                Some(team) => kept_ours && team == spec.team,
                None => offered || (idle && self.placement.demand.idle.contains(&class.kind())),
            };
            let mut fit = self.count_fitting(spec, &mut capacity_index, counts, context);
            if fit == 0
                && offer == Some(StealOffer::Stranded)
                && context.waited_ms(id, &record.value) >= WAITED_MS
            {
                // What has room at once is for smaller tasks: room is held for it here.
                fit = u32::from(self.could_reserve_backfill(spec, &capacity_index, context));
            }
            if fit > 0 {
                let waiting = alloc.value.waiting.len();
                let count = if spec.zones_bound() {
                    waiting
                } else {
                    fit.min(waiting)
                };
                best = Some((record.value.submitted, *shard_id, id.clone(), count));
            }
        }
        let Some((_, from, id, count)) = best else {
            self.stealing.next_attempt_at = now.plus(if all { 250 } else { STEAL_INTERVAL_MS });
            return;
        };
        let (Some(theirs), Some(record)) = (
            context
                .records
                .allocations
                .get(&(from, id.clone()))
                .cloned(),
            context.records.jobs.get(&id).cloned(),
        ) else {
            return;
        };
        let mine = context
            .records
            .allocations
            .get(&(self.id, id.clone()))
            .cloned();
        let mut left = (*theirs.value).clone();
        let taken = left.waiting.split_last(count);
        let mut next = mine
            .as_ref()
            .map(|m| (*m.value).clone())
            .unwrap_or_default();
        next.waiting.merge(&taken);
        let (theirs_key, mine_key) = (allocation_key(from, &id), allocation_key(self.id, &id));
        let mut swap = CompareAndSwap::default()
            .compare(shard_key(self.id), Version(self.fencing_token.0))
            .compare(theirs_key.clone(), theirs.version)
            .compare(
                mine_key.clone(),
                mine.map(|m| m.version).unwrap_or_default(),
            )
            .compare(job_key(&id), record.version);
        let mut writes = vec![
            (theirs_key, context.storage_limits.encode_allocation(&left)),
            (mine_key, context.storage_limits.encode_allocation(&next)),
        ];
        if !record.value.shards.contains(&self.id) {
            let mut job = (*record.value).clone();
            job.shards.push(self.id);
            writes.push((job_key(&id), context.job_value(&job)));
        }
        let fits = writes.len() <= context.storage_limits.txn_ops
            && context
                .storage_limits
                .startable(&next, next.started_count(), 0)
                > 0;
        for (key, value) in writes {
            let Some(value) = value.filter(|_| fits) else {
                // One of the records would be too large: not before some of its tasks have ended.
                self.stealing.next_attempt_at = now.plus(1_000);
                return;
            };
            swap = swap.mutate(Mutation::put(key, &value));
        }
        if !context
            .kv
            .may(now, RequestPriority::Starts, swap.mutations.len())
        {
            self.stealing.next_attempt_at = now.plus(250);
            return;
        }
        tracing::info!(job = %id, from = %from, shard = %self.id, tasks = count, "waiting tasks stolen from shard");
        self.stealing.in_flight = true;
        self.stealing.last_attempt_at = now;
        context.kv.compare_and_swap(
            context.effects,
            self.kv_request(ShardRequest::Steal {
                job: id,
                swap: swap.clone(),
            }),
            &swap,
        );
    }
    /// Whether the part's grant has room for a task of this job.
    fn has_grant(&self, spec: &JobSpec, used: &HashMap<Team, Grant>, context: &Context) -> bool {
        let granted = self.granted(&spec.team, context);
        let mut next = used.get(&spec.team).copied().unwrap_or_default();
        next.add(Grant::of(spec.resources));
        granted.covers(next)
    }

    pub fn on_steal_outcome(
        &mut self,
        swap: &CompareAndSwap,
        result: SwapOutcome,
        context: &mut Context,
    ) {
        let now = context.now();
        self.stealing.in_flight = false;
        self.stealing.next_attempt_at = match self.placement.demand.any {
            true => now.max(self.stealing.last_attempt_at.plus(STEAL_INTERVAL_MS)),
            false => now.plus(100),
        };
        match result {
            SwapOutcome::Done(revision) => {
                for change in &swap.mutations {
                    if let Mutation::Put { key, value, .. } = change {
                        context.records.apply(key, Some(value), revision);
                    }
                }
                // Every share of the job changed hands in the mirror; the caller tells all shards.
            }
            // The change feed shows what became of it; nothing is commanded before that.
            SwapOutcome::Unknown => self.stealing.next_attempt_at = now.plus(3_000),
            SwapOutcome::Conflict(_)
            | SwapOutcome::NotDone
            | SwapOutcome::Refused
            | SwapOutcome::NoLease => {
                self.stealing.next_attempt_at = now.plus(500);
            }
        }
    }
}
