//! Work stealing: a shard with spare capacity takes over tasks that wait in another shard.

use super::capacity::{CapacityIndex, MachineClass};
use super::{Shard, ShardRequest, StealOffer};
use crate::coordination::context::Context;
use crate::storage::kv_client::{RequestPriority, SwapOutcome};
use crate::storage::record_cache::VersionedRecord;
use snowshelf_fair_share::backfill::MIN_WAIT_MS;
use snowshelf_model::ids::{JobId, MonotonicMillis, ShardId, Team, Version};
use snowshelf_model::protocol::state::{CompareAndSwap, Mutation};
use snowshelf_model::records::{
    Grant, JobRecord, JobSpec, JobState, ShardAllocation, allocation_key, job_key, shard_key,
};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

/// Minimum age of a job that may be stolen; a younger one is left to its shard.
const MIN_STEAL_AGE_MS: u64 = 1_500;
/// Minimum age of a job for whose team capacity is reserved in the stealing shard.
const MIN_STEAL_AGE_RESERVED_MS: u64 = 250;
/// Minimum time between two attempts to steal offered jobs while tasks wait here. Each steal costs
/// three writes.
const STEAL_INTERVAL_MS: u64 = 1_000;
/// Retry delay after an attempt that found nothing to steal, or no request budget.
const RETRY_MS: u64 = 250;
/// Retry delay if one of the records would be too large: some of its tasks have to end first.
const TOO_LARGE_RETRY_MS: u64 = 1_000;
/// Delay of the next attempt after a successful one, while no job waits here that a machine here
/// could run.
const NEXT_STEAL_DELAY_MS: u64 = 100;
/// Retry delay after a failed attempt.
const FAILURE_RETRY_MS: u64 = 500;
/// Retry delay after an attempt with an unknown outcome, which the watch delivers in the meantime.
const UNKNOWN_RETRY_MS: u64 = 3_000;

/// Key of an allocation in the record cache.
type AllocationId = (ShardId, JobId);

/// State of stealing tasks from other shards.
#[derive(Default)]
pub(super) struct WorkStealing {
    in_flight: bool,
    next_attempt_at: MonotonicMillis,
    last_attempt_at: MonotonicMillis,
    /// Jobs that other shards offer, as reported by their leaders.
    pub foreign_offers: Rc<BTreeMap<AllocationId, StealOffer>>,
}

/// Capacity of a shard for tasks of other shards.
struct SpareCapacity {
    index: CapacityIndex,
    /// Whether some machines are idle that no job waiting here could use.
    idle: bool,
    /// Whether reserved capacity is free; jobs waiting here cannot use it.
    reserved: bool,
    used_quota: HashMap<Team, Grant>,
}

impl SpareCapacity {
    /// Whether all jobs are considered instead of only the offered ones. Considering all is too
    /// expensive to be done for offers alone.
    fn considers_all(&self) -> bool {
        self.idle || self.reserved
    }
}

/// Waiting tasks of another shard that this shard could run.
struct StealCandidate<'a> {
    from: ShardId,
    job: &'a JobId,
    allocation: &'a VersionedRecord<ShardAllocation>,
    record: &'a VersionedRecord<JobRecord>,
    spec: &'a JobSpec,
}

impl Shard {
    /// Takes over waiting tasks of another shard that this shard could run, in a single
    /// compare-and-swap.
    pub(super) fn steal(&mut self, context: &mut Context<'_>) {
        let now = context.now();
        if self.stealing.in_flight || now < self.stealing.next_attempt_at {
            return;
        }
        let Some(mut spare) = self.spare_capacity(context) else {
            return;
        };
        let Some((candidate, tasks)) = self.find_stealable(&mut spare, context) else {
            let wait_ms = if spare.considers_all() {
                RETRY_MS
            } else {
                STEAL_INTERVAL_MS
            };
            self.stealing.next_attempt_at = now.plus(wait_ms);
            return;
        };
        let (job, from) = (candidate.job.clone(), candidate.from);
        let Some(swap) = self.steal_swap(&candidate, tasks, context) else {
            self.stealing.next_attempt_at = now.plus(TOO_LARGE_RETRY_MS);
            return;
        };
        let ops = swap.mutations.len();
        if !context.kv.has_budget(now, RequestPriority::TaskStarts, ops) {
            self.stealing.next_attempt_at = now.plus(RETRY_MS);
            return;
        }
        tracing::info!(job = %job, from = %from, shard = %self.id, tasks, "stealing waiting tasks from shard");
        self.stealing.in_flight = true;
        self.stealing.last_attempt_at = now;
        let request = self.kv_request(ShardRequest::Steal {
            job,
            swap: swap.clone(),
        });
        context.kv.compare_and_swap(context.effects, request, &swap);
    }

    /// Returns the capacity for tasks of other shards; `None` if nothing is to be stolen.
    fn spare_capacity(&mut self, context: &Context<'_>) -> Option<SpareCapacity> {
        let mut reserved = self.reservations.capacity.values();
        let reserved = reserved.any(|capacity| capacity.free > 0.0);
        let idle = self.load.free_cpus > 0.0 && !self.placement.demand.idle_kinds.is_empty();
        let offered = !self.stealing.foreign_offers.is_empty();
        if !idle && !reserved && !offered {
            return None;
        }
        let index = self.capacity_index(context);
        let used_quota = if offered {
            self.used_quota()
        } else {
            HashMap::new()
        };
        Some(SpareCapacity {
            index,
            idle,
            reserved,
            used_quota,
        })
    }

    /// Returns the earliest submitted job of which this shard could run tasks, and the number of
    /// tasks.
    fn find_stealable<'a>(
        &self,
        spare: &mut SpareCapacity,
        context: &'a Context<'_>,
    ) -> Option<(StealCandidate<'a>, u32)> {
        let allocations = &context.records.allocations;
        let considered: Vec<_> = if spare.considers_all() {
            allocations.iter().collect()
        } else {
            let offered = self.stealing.foreign_offers.keys();
            offered
                .filter_map(|id| allocations.get_key_value(id))
                .collect()
        };
        let mut best: Option<(StealCandidate<'_>, u32)> = None;
        for (id, allocation) in considered {
            let Some(candidate) = self.steal_candidate(id, allocation, context) else {
                continue;
            };
            let submitted = candidate.record.value.submitted;
            if best
                .as_ref()
                .is_some_and(|(best, _)| submitted >= best.record.value.submitted)
            {
                continue;
            }
            let tasks = self.stealable_tasks(&candidate, spare, context);
            if tasks > 0 {
                best = Some((candidate, tasks));
            }
        }
        best
    }

    /// Returns the waiting tasks of an allocation as a candidate, if they may be stolen.
    fn steal_candidate<'a>(
        &self,
        (from, job): &'a AllocationId,
        allocation: &'a VersionedRecord<ShardAllocation>,
        context: &'a Context<'_>,
    ) -> Option<StealCandidate<'a>> {
        if *from == self.id || allocation.value.waiting.is_empty() {
            return None;
        }
        let record = context.records.jobs.get(job)?;
        let spec = record.value.spec.as_ref()?;
        if record.value.state != JobState::Open
            || !context.dependency_graph.is_ready(job, &record.value)
        {
            return None;
        }
        // A job with zone constraints is moved as a whole, before any of its tasks starts.
        if spec.is_zone_constrained() && !allocation.value.started.is_empty() {
            return None;
        }
        // A young job may be about to start in its own shard.
        let min_age_ms = if self.reservations.capacity.contains_key(&spec.team) {
            MIN_STEAL_AGE_RESERVED_MS
        } else {
            MIN_STEAL_AGE_MS
        };
        if context.effects.wall_ms < record.value.submitted.0 + min_age_ms {
            return None;
        }
        let ours = self.jobs.get(job);
        if ours.is_some_and(|j| j.write_in_flight || !j.pending_changes.is_empty()) {
            return None;
        }
        Some(StealCandidate {
            from: *from,
            job,
            allocation,
            record,
            spec,
        })
    }

    /// Returns how many of a candidate's tasks this shard should take over.
    fn stealable_tasks(
        &self,
        candidate: &StealCandidate<'_>,
        spare: &mut SpareCapacity,
        context: &Context<'_>,
    ) -> u32 {
        let spec = candidate.spec;
        let id = (candidate.from, candidate.job.clone());
        let offer = self.stealing.foreign_offers.get(&id).copied();
        // An offered job is taken even if other jobs wait here, but not if it would then wait for
        // the team's quota.
        let offered = offer.is_some() && self.has_grant(spec, &spare.used_quota, context);
        let idle = spare.idle;
        let is_usable = |class: &MachineClass| match self.team_reserved_for(class, context) {
            Some(team) => *team == spec.team,
            None => offered || (idle && self.placement.demand.idle_kinds.contains(&class.kind())),
        };
        let mut fitting = self.count_fitting(spec, &mut spare.index, is_usable, context);
        if fitting == 0
            && offer == Some(StealOffer::Unplaceable)
            && context.waited_ms(candidate.job, &candidate.record.value) >= MIN_WAIT_MS
        {
            // No machine has enough free resources now: a backfill reservation can be made for the
            // job here.
            fitting = u32::from(self.can_add_backfill_reservation(spec, &spare.index, context));
        }
        let waiting = candidate.allocation.value.waiting.len();
        if fitting > 0 && spec.is_zone_constrained() {
            waiting
        } else {
            fitting.min(waiting)
        }
    }

    /// Returns the team that machines of a class are reserved for now.
    fn team_reserved_for<'a>(
        &self,
        class: &'a MachineClass,
        context: &Context<'_>,
    ) -> Option<&'a Team> {
        let team = class.reservation.as_ref()?.current_team(context)?;
        self.reservations
            .capacity
            .contains_key(team)
            .then_some(team)
    }

    /// Builds the compare-and-swap that moves tasks here; `None` if one of the records would be too
    /// large.
    fn steal_swap(
        &self,
        candidate: &StealCandidate<'_>,
        tasks: u32,
        context: &Context<'_>,
    ) -> Option<CompareAndSwap> {
        let (job, record) = (candidate.job, candidate.record);
        let ours = context.records.allocations.get(&(self.id, job.clone()));
        let mut remaining = (*candidate.allocation.value).clone();
        let stolen = remaining.waiting.split_last(tasks);
        let mut next = ours.map(|a| (*a.value).clone()).unwrap_or_default();
        next.waiting.merge(&stolen);
        let their_key = allocation_key(candidate.from, job);
        let our_key = allocation_key(self.id, job);
        let our_version = ours.map(|a| a.version).unwrap_or_default();
        let mut swap = CompareAndSwap::default()
            .compare(shard_key(self.id), Version(self.fencing_token.0))
            .compare(their_key.clone(), candidate.allocation.version)
            .compare(our_key.clone(), our_version)
            .compare(job_key(job), record.version);
        let limits = context.storage_limits;
        let mut writes = vec![
            (their_key, limits.encode_allocation(&remaining)),
            (our_key, limits.encode_allocation(&next)),
        ];
        if !record.value.shards.contains(&self.id) {
            let mut record = (*record.value).clone();
            record.shards.push(self.id);
            writes.push((job_key(job), context.job_value(&record)));
        }
        let fits =
            writes.len() <= limits.txn_ops && limits.startable(&next, next.started_count(), 0) > 0;
        if !fits {
            return None;
        }
        for (key, value) in writes {
            swap = swap.mutate(Mutation::put(key, &value?));
        }
        Some(swap)
    }

    /// Whether the shard's quota grant covers one more task of this job.
    fn has_grant(
        &self,
        spec: &JobSpec,
        used: &HashMap<Team, Grant>,
        context: &Context<'_>,
    ) -> bool {
        let granted = self.granted(&spec.team, context);
        let mut next = used.get(&spec.team).copied().unwrap_or_default();
        next.add(Grant::from(spec.resources));
        granted.covers(next)
    }

    /// Handles the outcome of a steal: updates the record cache if it was applied, and sets the
    /// time of the next attempt. The caller then refreshes the job in every shard that this
    /// controller leads, because any of its allocations may have changed in the record cache.
    pub(super) fn on_steal_outcome(
        &mut self,
        swap: &CompareAndSwap,
        outcome: &SwapOutcome,
        context: &mut Context<'_>,
    ) {
        let now = context.now();
        self.stealing.in_flight = false;
        match outcome {
            SwapOutcome::Applied(revision) => {
                self.stealing.next_attempt_at = if self.placement.demand.placeable {
                    now.max(self.stealing.last_attempt_at.plus(STEAL_INTERVAL_MS))
                } else {
                    now.plus(NEXT_STEAL_DELAY_MS)
                };
                for mutation in &swap.mutations {
                    if let Mutation::Put { key, value, .. } = mutation {
                        context.records.apply(key, Some(value), *revision);
                    }
                }
            }
            // The watch delivers the outcome. Before that, the stolen tasks are not known here, and
            // no command is sent for them.
            SwapOutcome::Unknown => {
                self.stealing.next_attempt_at = now.plus(UNKNOWN_RETRY_MS);
            }
            SwapOutcome::Conflict(_)
            | SwapOutcome::NotApplied
            | SwapOutcome::Rejected
            | SwapOutcome::LeaseExpired => {
                self.stealing.next_attempt_at = now.plus(FAILURE_RETRY_MS);
            }
        }
    }
}
