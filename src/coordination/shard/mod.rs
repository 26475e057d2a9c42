//! The leader of one shard: it tracks the shard's machines and its allocations of jobs, and decides
//! every task start on those machines.
//!
//! [`Shard`] is an actor that dispatches requests, responses and ticks to its submodules; each
//! submodule owns part of the state. Every write is conditional on the leader's fencing token, so
//! late writes of a fenced leader fail. A command is sent only once the change behind it is
//! durable, and only in the response to a heartbeat.

mod backfill;
mod capacity;
mod commands;
mod demand;
mod disruption;
mod eviction;
mod failures;
mod heartbeats;
mod job;
mod job_table;
mod load;
mod machine;
mod persistence;
mod placement;
mod placement_request;
mod preemption;
mod queue;
mod quota;
mod read_back;
mod reconciling;
pub mod reservations;
mod scale_in;
mod status;
mod work_stealing;

use super::context::{Context, KvRequest};
use crate::storage::kv_client::{KvResponse, unexpected_response};
use backfill::BackfillReservations;
pub use demand::StealOffer;
use eviction::Evictions;
use job_table::JobTable;
use load::LoadStatistics;
use machine::Machine;
use persistence::WriteState;
use placement::PlacementState;
use quota::QuotaGrants;
use reservations::CapacityReservations;
use scale_in::ScaleIn;
use snowshelf_calendar::calendar::Pool;
use snowshelf_model::ids::{FencingToken, JobId, MachineId, MonotonicMillis, ShardId, Team};
use snowshelf_model::protocol::state::CompareAndSwap;
use snowshelf_model::protocol::worker::Heartbeat;
use snowshelf_model::records::AllocationChange;
use snowshelf_reconciliation::decision_table::ReconciliationCounts;
pub use status::ShardProgress;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use work_stealing::WorkStealing;

/// Interval between maintenance rounds, which move quota grants, update cordons and scale in
/// machines.
const MAINTENANCE_INTERVAL_MS: u64 = 200;
/// Longest time between two placement passes, even if nothing changed.
const MAX_PASS_INTERVAL_MS: u64 = 500;
/// Failed reads are not retried within this time after the shard was acquired.
const RETRY_READS_AFTER_MS: u64 = 1_000;

/// A request of a shard leader to the key-value store.
#[derive(Clone, Debug)]
pub enum ShardRequest {
    /// Writes changed allocations.
    WriteAllocations,
    /// Reads back an allocation whose write conflicted or has an unknown outcome.
    ReadAllocation {
        /// Key of the allocation or of its job.
        key: String,
    },
    /// Writes a changed quota grant of a team.
    RegrantQuota,
    /// Reads back a team's quota record.
    ReadQuota {
        /// Key of the quota record.
        key: String,
    },
    /// Moves waiting tasks of a job from another shard to this one.
    Steal {
        /// Job whose tasks move.
        job: JobId,
        /// The transaction; its mutations go into the record cache once it has been applied.
        swap: CompareAndSwap,
    },
    /// Charges evictions to a team's disruption budget.
    ChargeBudget,
}

/// The leader of a shard: an actor that holds the shard's lease and all in-memory state of the
/// shard.
pub struct Shard {
    /// Number of the shard.
    pub id: ShardId,
    /// Fencing token under which this leader acquired the shard.
    pub fencing_token: FencingToken,
    /// Whether the shard's state has been rebuilt from the records. Until then, the leader renews
    /// worker leases and does nothing else.
    pub ready: bool,
    /// Whether a later leader is known to hold a higher fencing token. A fenced leader must not
    /// act.
    pub fenced: bool,
    /// Time at which the shard was acquired.
    pub acquired_at: MonotonicMillis,
    jobs: JobTable,
    machines: BTreeMap<MachineId, Machine>,
    /// The newest heartbeat of each machine received before the shard was ready, and its arrival
    /// time.
    early_heartbeats: BTreeMap<MachineId, (MonotonicMillis, Heartbeat)>,
    /// Counts of what heartbeats have shown since the shard was acquired.
    reconciliation: ReconciliationCounts,
    writes: WriteState,
    quotas: QuotaGrants,
    stealing: WorkStealing,
    backfill: BackfillReservations,
    reservations: CapacityReservations,
    evictions: Evictions,
    scale_in: ScaleIn,
    placement: PlacementState,
    load: LoadStatistics,
    last_maintenance_at: MonotonicMillis,
}

impl Shard {
    /// Creates the leader of a shard that has just been acquired; its state is still to be rebuilt.
    pub fn new(shard_id: ShardId, fencing_token: FencingToken, now: MonotonicMillis) -> Shard {
        Shard {
            id: shard_id,
            fencing_token,
            ready: false,
            fenced: false,
            acquired_at: now,
            jobs: JobTable::default(),
            machines: BTreeMap::new(),
            early_heartbeats: BTreeMap::new(),
            reconciliation: ReconciliationCounts::default(),
            writes: WriteState::default(),
            quotas: QuotaGrants::default(),
            stealing: WorkStealing::default(),
            backfill: BackfillReservations::default(),
            reservations: CapacityReservations::default(),
            evictions: Evictions::default(),
            scale_in: ScaleIn::default(),
            placement: PlacementState::default(),
            load: LoadStatistics::default(),
            last_maintenance_at: MonotonicMillis(0),
        }
    }

    fn kv_request(&self, request: ShardRequest) -> KvRequest {
        KvRequest::Shard(self.id, self.fencing_token, request)
    }

    /// Handles a response of the key-value store. Responses to [`ShardRequest::ReadQuota`] only
    /// update the record cache and are not passed to the shard.
    pub fn on_response(
        &mut self,
        request: ShardRequest,
        response: KvResponse,
        context: &mut Context<'_>,
    ) {
        match (request, response) {
            (ShardRequest::WriteAllocations, KvResponse::Swap(outcome)) => {
                self.on_write_outcome(outcome, context);
            }
            (ShardRequest::ReadAllocation { key }, KvResponse::Get(outcome)) => {
                self.on_allocation_read(&key, outcome, context);
            }
            (ShardRequest::RegrantQuota, KvResponse::Swap(outcome)) => {
                self.on_regrant_outcome(outcome, context);
            }
            (ShardRequest::Steal { swap, .. }, KvResponse::Swap(outcome)) => {
                self.on_steal_outcome(&swap, &outcome, context);
            }
            (ShardRequest::ChargeBudget, KvResponse::Swap(outcome)) => {
                self.on_charge_outcome(outcome, context);
            }
            (request, _) => unexpected_response(&request),
        }
    }

    /// Sets the jobs that other shards offer for work stealing, as reported by their leaders.
    pub fn set_foreign_offers(&mut self, offers: Rc<BTreeMap<(ShardId, JobId), StealOffer>>) {
        self.stealing.foreign_offers = offers;
    }

    /// Sets the numbers of on-demand and spot machines that other shards have in each pool.
    pub fn set_machines_elsewhere(&mut self, machines: Rc<BTreeMap<(ShardId, Pool), (u32, u32)>>) {
        self.reservations.machines_elsewhere = machines;
    }

    /// Rebuilds the shard's state once the record cache has reached the revision of the fencing
    /// token. From that revision on, writes of earlier leaders fail, and the cache holds all that
    /// succeeded.
    fn activate(&mut self, context: &mut Context<'_>) {
        if self.ready
            || !context.records.loaded
            || context.records.revision.0 < self.fencing_token.0
        {
            return;
        }
        self.ready = true;
        let jobs: Vec<JobId> = context
            .records
            .shard_allocations(self.id)
            .map(|(job, _)| job.clone())
            .collect();
        for job in &jobs {
            self.refresh_job(job, context);
        }
        let now = context.now();
        for name in self.jobs.machines_in_use() {
            self.machines
                .entry(name)
                .or_insert_with(|| Machine::unknown(now))
                .inherited = true;
        }
        tracing::info!(shard = %self.id, fencing_token = %self.fencing_token, jobs = jobs.len(),
            machines = self.machines.len(), early = self.early_heartbeats.len(),
            after_ms = now.since(self.acquired_at), "shard failover complete");
        self.process_early_heartbeats(context);
    }

    /// Refreshes a job, and the shard's allocation of it, from the record cache.
    pub fn refresh_job(&mut self, job: &JobId, context: &Context<'_>) {
        if !self.ready {
            return;
        }
        let Some(machines) = self.jobs.refresh(self.id, job, context) else {
            return;
        };
        for name in &machines {
            self.mark_usage_dirty(name);
        }
        // A job that is added or removed changes the resources that orphaned tasks are known to
        // use.
        let with_orphans = self.machines.values_mut();
        for m in with_orphans.filter(|m| !m.orphaned_tasks.is_empty()) {
            m.usage_dirty = true;
        }
        self.placement.dirty = true;
    }

    fn mark_usage_dirty(&mut self, name: &MachineId) {
        if let Some(m) = self.machines.get_mut(name) {
            m.usage_dirty = true;
        }
    }

    /// Applies a change to the desired state of a job; a later write makes it durable. Returns
    /// whether the change applies.
    fn apply_change(
        &mut self,
        now: MonotonicMillis,
        job: &JobId,
        change: AllocationChange,
    ) -> bool {
        let name = change.machine.clone();
        if !self.jobs.apply(now, job, change) {
            return false;
        }
        self.mark_usage_dirty(&name);
        self.placement.dirty = true;
        true
    }

    fn update_dependencies(&mut self, context: &Context<'_>) {
        let blocked = self.jobs.iter_mut();
        for (id, job) in blocked.filter(|(_, j)| !j.dependencies_satisfied) {
            if context.dependency_graph.is_ready(id, &job.record) {
                tracing::info!(job = %id, shard = %self.id, "dependencies satisfied");
                job.dependencies_satisfied = true;
                self.placement.dirty = true;
            }
        }
    }

    /// Runs the periodic work. `lease_valid` tells whether this leader's lease is known to be
    /// valid, `teams_short_elsewhere` names the teams for which other shards lack quota, and
    /// `missing_machines` the machines that the cloud does not list.
    pub fn tick(
        &mut self,
        lease_valid: bool,
        teams_short_elsewhere: &BTreeSet<Team>,
        missing_machines: &BTreeSet<MachineId>,
        context: &mut Context<'_>,
    ) {
        self.activate(context);
        if !self.ready || self.fenced {
            return;
        }
        let now = context.now();
        if now.since(self.placement.last_pass_at) > MAX_PASS_INTERVAL_MS {
            self.placement.dirty = true;
        }
        self.update_dependencies(context);
        if lease_valid {
            self.place(context);
            self.flush_changes(context);
        }
        self.send_deferred_responses(context);
        if !lease_valid {
            return;
        }
        self.steal(context);
        if now.since(self.last_maintenance_at) >= MAINTENANCE_INTERVAL_MS {
            self.last_maintenance_at = now;
            self.regrant_quota(teams_short_elsewhere, context);
            self.scale_in_machines(missing_machines, context);
        }
        self.log_load(context);
        if now.since(self.acquired_at) > RETRY_READS_AFTER_MS {
            self.retry_reads(context);
        }
    }
}
