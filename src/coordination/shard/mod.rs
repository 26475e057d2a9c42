//! The leader of one shard: its machines, its allocations of jobs, and every start on its machines.
//!
//! [`Shard`] is an actor that routes: requests, responses and ticks go to the modules beside this one, each of which
//! owns its part of the state. All that a leader writes is conditional on its fencing token, so that the late writes of
//! a fenced leader fail. A command is sent only after the change it follows from is durable, and only in the response
//! to a heartbeat.

mod backfill;
mod capacity;
mod commands;
mod demand;
mod disruption;
mod eviction;
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

/// The time between two rounds of maintenance of machines and quota grants.
const MAINTENANCE_INTERVAL_MS: u64 = 200;
/// A placement pass runs at least this often, whether or not anything changed.
const MAX_PASS_INTERVAL_MS: u64 = 500;
/// For so long after the shard was acquired, failed reads are not repeated.
const RETRY_READS_AFTER_MS: u64 = 1_000;

/// What a shard's leader asks of the key-value store.
#[derive(Clone, Debug)]
pub enum ShardRequest {
    /// Writes changes of allocations.
    WriteAllocations,
    /// Reads an allocation back whose write has no known outcome, or was in conflict.
    ReadAllocation {
        /// The key to read.
        key: String,
    },
    /// Moves a team's quota grant.
    RegrantQuota,
    /// Reads a team's quota record back.
    ReadQuota {
        /// The key to read.
        key: String,
    },
    /// Takes waiting tasks of a job over from another shard.
    Steal {
        /// The job whose tasks move.
        job: JobId,
        /// The transaction, whose mutations go into the record cache once it is carried out.
        swap: CompareAndSwap,
    },
    /// Charges evictions to a team's disruption budget.
    ChargeBudget,
}

/// The leader of a shard.
pub struct Shard {
    /// The shard's number.
    pub id: ShardId,
    /// The fencing token that this leader holds.
    pub fencing_token: FencingToken,
    /// Whether the state of the shard has been rebuilt from the records; until then only leases are renewed.
    pub ready: bool,
    /// Whether a later leader is known to hold a higher fencing token: this one must not act any more.
    pub fenced: bool,
    /// When the shard was acquired.
    pub acquired_at: MonotonicMillis,
    jobs: JobTable,
    machines: BTreeMap<MachineId, Machine>,
    /// The newest heartbeat of each machine from before the shard was ready, and when it was received.
    early_heartbeats: BTreeMap<MachineId, (MonotonicMillis, Heartbeat)>,
    /// What heartbeats have proved since the shard was acquired.
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
    /// A leader that has just acquired the shard, and knows nothing of it yet.
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

    /// Takes a response of the key-value store in. Responses to [`ShardRequest::ReadQuota`] concern the record cache
    /// alone, and do not come here.
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

    /// Sets what the other shards offer to be stolen, as far as their leaders say.
    pub fn set_foreign_offers(&mut self, offers: Rc<BTreeMap<(ShardId, JobId), StealOffer>>) {
        self.stealing.foreign_offers = offers;
    }

    /// Sets how many ordinary and spot machines the other shards have, by pool.
    pub fn set_machines_elsewhere(&mut self, machines: Rc<BTreeMap<(ShardId, Pool), (u32, u32)>>) {
        self.reservations.machines_elsewhere = machines;
    }

    /// Rebuilds the shard's state once the record cache has everything up to the fencing token: from then on no write
    /// of an earlier leader can succeed, and those that did are in the cache.
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

    /// Takes the record cache's state of a job and of the shard's allocation of it over.
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
        // A job that comes or goes changes what is known of orphaned tasks.
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

    /// Applies a change to the desired state of a job; it becomes durable with a later write. Returns whether the
    /// change applies.
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

    /// The regular work. `lease_valid` says whether this leader's lease is known to hold, `others_short` names teams
    /// for which other shards lack quota, `missing` machines that the cloud does not list.
    pub fn tick(
        &mut self,
        lease_valid: bool,
        others_short: &BTreeSet<Team>,
        missing: &BTreeSet<MachineId>,
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
            self.regrant_quota(others_short, context);
            self.scale_in_machines(missing, context);
        }
        self.log_load(context);
        if now.since(self.acquired_at) > RETRY_READS_AFTER_MS {
            self.retry_reads(context);
        }
    }
}
