//! The owner of one part: its machines, its shares of jobs, and every start on its machines.
//!
//! What it writes is conditional on its token, so a deposed owner's late writes fail. What it
//! commands has been committed first, and is commanded only inside answers to reports.

mod backfill;
mod eviction;
mod heartbeats;
mod job;
mod machine;
mod persistence;
mod placement;
mod queue;
mod quota;
pub mod reservations;
mod scale_in;
mod work_stealing;

use super::context::{Context, KvRequest};

use super::shard_capacity::ShardCapacity;
use crate::storage::kv_client::{KvResponse, unexpected_response};
use job::{PendingChange, ShardJob};
use machine::Machine;
use persistence::InFlightSwap;
pub use placement::StealOffer;
use serde::Serialize;
use snowshelf_calendar::calendar::Pool;
use snowshelf_drain::door::Cause;
use snowshelf_fair_share::grants::QuotaShortfall;
use snowshelf_model::ids::{
    Attempt, FencingToken, JobId, MachineId, MonotonicMillis, ShardId, TaskIndex, Team,
};
use snowshelf_model::protocol::state::CompareAndSwap;
use snowshelf_model::protocol::worker::{Heartbeat, TaskState};
use snowshelf_model::records::{
    AllocationChange, AllocationChangeKind, QuotaRecord, ShardAllocation,
};
use snowshelf_reconciliation::decision_table::ReconciliationCounts;
use snowshelf_reconciliation::silence::HeartbeatSummary;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};
use std::rc::Rc;

/// How often machines and grants are looked over.
const TEND_MS: u64 = 200;

/// What a shard's leader asks of the key-value store.
#[derive(Clone, Debug)]
pub enum ShardRequest {
    /// Writes changes of allocations.
    WriteAllocations,
    /// Reads an allocation back whose write has no known outcome, or was in conflict.
    ReadAllocation {
        key: String,
    },
    /// Moves a team's quota grant.
    RegrantQuota,
    ReadQuota {
        key: String,
    },
    /// Takes waiting tasks of a job over from another shard.
    Steal {
        job: JobId,
        swap: CompareAndSwap,
    },
    /// Charges evictions to a team's disruption budget.
    ChargeBudget,
}

pub struct Shard {
    pub id: ShardId,
    pub fencing_token: FencingToken,
    pub ready: bool,
    pub deposed: bool,
    pub taken: MonotonicMillis,
    jobs: BTreeMap<JobId, ShardJob>,
    machines: BTreeMap<MachineId, Machine>,
    /// Jobs with started tasks in their view, by machine.
    on: BTreeMap<MachineId, BTreeSet<JobId>>,
    /// Numbers for the images of jobs seen.
    images: HashMap<String, u32>,
    /// Machines kept for reservations.
    kept: BTreeMap<MachineId, reservations::MachineReservation>,
    /// Jobs whose tasks on a machine are stopped for a reservation, as of the last pass.
    overrun: BTreeMap<MachineId, BTreeSet<JobId>>,
    /// The other parts' machines by pool, ordinary and spot ones, while something is reserved.
    pub elsewhere: Rc<BTreeMap<(ShardId, Pool), (u32, u32)>>,
    /// Room kept for teams, as of the last pass.
    pub kept_room: BTreeMap<Team, reservations::ReservedCapacity>,
    /// What reports have proved since the part was taken.
    reconciliation: ReconciliationCounts,
    /// The newest report of each machine from before the picture was built, and when it came.
    early: BTreeMap<MachineId, (MonotonicMillis, Heartbeat)>,
    gone: HashSet<MachineId>,
    gone_order: VecDeque<MachineId>,
    next_step: u64,
    flight: Option<InFlightSwap>,
    /// Writes in a row that were not carried out.
    refusals: u32,
    retry_at: MonotonicMillis,
    /// So many writes hold one share only, to find the one that the state service refuses.
    one_by_one: usize,
    claiming: bool,
    claim_at: MonotonicMillis,
    claimed_at: MonotonicMillis,
    offers_at: MonotonicMillis,
    quota: HashMap<Team, quota::QuotaState>,
    quota_flight: Option<(Team, QuotaRecord)>,
    /// Teams for which placement lacked grant in the last pass.
    pub short_of: BTreeMap<Team, QuotaShortfall>,
    /// A charge of a team's budget is underway, and when the next one may be.
    charging: Option<eviction::Charging>,
    charge_at: MonotonicMillis,
    /// What holds stops back, as of the last look.
    pub held_back: Vec<String>,
    /// Tasks that were stopped, by what for, since the part was taken.
    stopped: BTreeMap<Cause, u64>,
    /// A return is underway.
    releasing: bool,
    /// Something changed that placement may use.
    dirty: bool,
    placed_at: MonotonicMillis,
    tended_at: MonotonicMillis,
    told_at: MonotonicMillis,
    /// Starts placed since the last line on the load: with the image, while it was fetched, and
    /// without it.
    placed: [u64; 3],
    pub free_cpus: f64,
    capacity_cpus: f64,
    pub waiting_cpus: f64,
    /// What waits here against the machines, as of the last pass.
    matched: placement::Match,
    /// What the other parts offer, as far as their owners say.
    pub offered: Rc<BTreeMap<(ShardId, JobId), StealOffer>>,
    /// Room held for jobs that find none.
    holds: BTreeMap<JobId, backfill::Hold>,
}

/// How far a part is served.
#[derive(Serialize)]
pub struct ShardProgress {
    #[serde(rename = "part")]
    pub shard_id: u32,
    /// Whether its picture is there, so that more than leases is kept up.
    pub served: bool,
    /// Machines known, by reports or by records, and those that have shown this owner's token.
    pub machines: usize,
    #[serde(rename = "shown")]
    pub token_acknowledged: usize,
    #[serde(rename = "squared")]
    pub reconciliation: ReconciliationCounts,
    /// Tasks stopped on purpose, by what for.
    pub stopped: BTreeMap<Cause, u64>,
}

impl Shard {
    pub fn new(shard_id: ShardId, fencing_token: FencingToken, now: MonotonicMillis) -> Shard {
        Shard {
            id: shard_id,
            fencing_token,
            ready: false,
            deposed: false,
            taken: now,
            jobs: BTreeMap::new(),
            machines: BTreeMap::new(),
            on: BTreeMap::new(),
            images: HashMap::new(),
            kept: BTreeMap::new(),
            overrun: BTreeMap::new(),
            elsewhere: Rc::default(),
            kept_room: BTreeMap::new(),
            reconciliation: ReconciliationCounts::default(),
            early: BTreeMap::new(),
            gone: HashSet::new(),
            gone_order: VecDeque::new(),
            next_step: 0,
            flight: None,
            refusals: 0,
            retry_at: MonotonicMillis(0),
            one_by_one: 0,
            claiming: false,
            claim_at: MonotonicMillis(0),
            claimed_at: MonotonicMillis(0),
            offers_at: MonotonicMillis(0),
            quota: HashMap::new(),
            quota_flight: None,
            short_of: BTreeMap::new(),
            charging: None,
            charge_at: MonotonicMillis(0),
            held_back: Vec::new(),
            stopped: BTreeMap::new(),
            releasing: false,
            dirty: true,
            placed_at: MonotonicMillis(0),
            tended_at: MonotonicMillis(0),
            told_at: MonotonicMillis(0),
            placed: [0; 3],
            free_cpus: 0.0,
            capacity_cpus: 0.0,
            waiting_cpus: 0.0,
            matched: placement::Match::default(),
            holds: BTreeMap::new(),
            offered: Rc::default(),
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
        context: &mut Context,
    ) {
        match (request, response) {
            (ShardRequest::WriteAllocations, KvResponse::Swap(outcome)) => {
                self.txn_done(outcome, context);
            }
            (ShardRequest::ReadAllocation { key }, KvResponse::Get(outcome)) => {
                self.read_done(&key, outcome, context);
            }
            (ShardRequest::RegrantQuota, KvResponse::Swap(outcome)) => {
                self.quota_done(outcome, context);
            }
            (ShardRequest::Steal { swap, .. }, KvResponse::Swap(outcome)) => {
                self.claim_done(&swap, outcome, context);
            }
            (ShardRequest::ChargeBudget, KvResponse::Swap(outcome)) => {
                self.charge_done(outcome, context);
            }
            (request, _) => unexpected_response(&request),
        }
    }

    pub fn room(&self) -> ShardCapacity {
        ShardCapacity {
            free: self.free_cpus,
            capacity: self.capacity_cpus,
            waiting: self.waiting_cpus,
        }
    }

    pub fn knows(&self, job: &JobId) -> bool {
        self.jobs.contains_key(job)
    }

    /// Jobs of graphs' runs that fail here, and how often their worst task has.
    pub fn failing(&self) -> impl Iterator<Item = (&JobId, u32)> + '_ {
        let failing = self.jobs.iter().filter(|(_, j)| !j.errors.is_empty());
        failing.filter_map(|(id, j)| Some((id, *j.errors.values().max()?)))
    }

    /// Jobs that others may take.
    pub fn offers(&self) -> &[(JobId, StealOffer)] {
        &self.matched.offers
    }

    /// What is heard of its machines. Those that only the records tell of are missed as of the taking: otherwise a
    /// controller that no worker reaches, and took the part before it knew, would never miss them.
    pub fn heartbeat_summary(&self) -> HeartbeatSummary {
        let machines = self.machines.values();
        let known = machines.filter(|m| (m.reported || m.inherited) && !m.returning);
        known.fold(HeartbeatSummary::default(), |h, m| HeartbeatSummary {
            machines: h.machines + 1,
            last_at: h.last_at.max(m.heard),
        })
    }

    /// How far the part is served, for operators.
    pub fn progress(&self) -> ShardProgress {
        let silent = self.machines.values().filter(|m| !m.shown).count();
        ShardProgress {
            shard_id: self.id.0,
            served: self.ready,
            machines: self.machines.len(),
            token_acknowledged: self.machines.len() - silent,
            reconciliation: self.reconciliation.clone(),
            stopped: self.stopped.clone(),
        }
    }

    /// Machines that reported lately.
    pub fn heard(
        &self,
        now: MonotonicMillis,
        within_ms: u64,
    ) -> impl Iterator<Item = &MachineId> + '_ {
        self.machines
            .iter()
            .filter(move |(_, m)| m.reported && now.since(m.heard) <= within_ms)
            .map(|(name, _)| name)
    }

    /// Builds the picture once everything up to the token has been read: later writes of an
    /// earlier owner cannot succeed, earlier ones are in the mirror.
    pub fn activate(&mut self, context: &mut Context) {
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
            self.refresh(job, context);
        }
        let now = context.now();
        let held: BTreeSet<MachineId> = self
            .jobs
            .values()
            .flat_map(|j| j.view.started.keys().cloned())
            .collect();
        for name in held {
            self.machines
                .entry(name)
                .or_insert_with(|| Machine::unknown(now))
                .inherited = true;
        }
        tracing::info!(shard = %self.id, fencing_token = %self.fencing_token, jobs = jobs.len(),
            machines = self.machines.len(), early = self.early.len(),
            after_ms = now.since(self.taken), "shard failover complete");
        self.take_early(context);
    }

    /// Takes the mirror's state of a job's share in.
    pub fn refresh(&mut self, job: &JobId, context: &Context) {
        if !self.ready {
            return;
        }
        let alloc = context.records.allocations.get(&(self.id, job.clone()));
        let record = context.records.jobs.get(job);
        match (alloc, record) {
            (Some(alloc), Some(record)) => {
                let now = context.effects.now;
                let known = self.jobs.contains_key(job);
                let image = record
                    .value
                    .spec
                    .as_ref()
                    .map_or(0, |s| self.number(&s.image));
                let entry = self.jobs.entry(job.clone()).or_insert_with(|| ShardJob {
                    spec: record.value.clone(),
                    job_version: record.version,
                    durable: alloc.value.clone(),
                    version: alloc.version,
                    view: ShardAllocation::default(),
                    started: 0,
                    steps: Vec::new(),
                    since: now,
                    unsettled: false,
                    reading: false,
                    in_flight: false,
                    ready: context.dependency_graph.is_ready(job, &record.value),
                    hold_until: MonotonicMillis(0),
                    image,
                    failed_on: BTreeSet::new(),
                    failures: 0,
                    errors: BTreeMap::new(),
                    retry_at: MonotonicMillis(0),
                });
                if known && record.version == entry.job_version && alloc.version <= entry.version {
                    // Nothing new.
                    return;
                }
                let before: Vec<MachineId> = entry.view.started.keys().cloned().collect();
                entry.spec = record.value.clone();
                entry.job_version = record.version;
                if alloc.version > entry.version {
                    entry.version = alloc.version;
                    entry.durable = alloc.value.clone();
                }
                entry.rebase();
                self.reindex(job, &before);
                self.dirty = true;
            }
            (None, _) => {
                if let Some(old) = self.jobs.remove(job) {
                    let before: Vec<MachineId> = old.view.started.into_keys().collect();
                    self.reindex(job, &before);
                    self.dirty = true;
                }
            }
            // The share is known and the job not yet: its change follows.
            (Some(_), None) => {}
        }
    }

    /// The number for an image.
    fn number(&mut self, image: &str) -> u32 {
        if let Some(number) = self.images.get(image) {
            return *number;
        }
        let number = self.images.len() as u32;
        self.images.insert(image.to_string(), number);
        number
    }

    /// Brings the sums by machine up to date after a job's view, which had started tasks on the
    /// machines `before`, was replaced or removed.
    fn reindex(&mut self, job: &JobId, before: &[MachineId]) {
        let after = self.jobs.get(job).map(|j| &j.view.started);
        for name in before {
            if after.is_none_or(|s| !s.contains_key(name)) {
                forget(&mut self.on, name, job);
            }
            if let Some(m) = self.machines.get_mut(name) {
                m.stale = true;
            }
        }
        for name in after.into_iter().flat_map(|s| s.keys()) {
            self.on.entry(name.clone()).or_default().insert(job.clone());
            if let Some(m) = self.machines.get_mut(name) {
                m.stale = true;
            }
        }
        // A job that comes or goes changes what is known of tasks outside the picture.
        for m in self.machines.values_mut().filter(|m| !m.strays.is_empty()) {
            m.stale = true;
        }
    }

    /// Jobs with started tasks on a machine, in the picture.
    fn jobs_on(&self, name: &MachineId) -> impl Iterator<Item = (&JobId, &ShardJob)> + '_ {
        let jobs = self.on.get(name).into_iter().flatten();
        jobs.filter_map(|id| Some((id, self.jobs.get(id)?)))
    }

    /// One line on the part's load, for whoever reads the logs.
    fn tell(&self, context: &Context) {
        let mut cpus: BTreeMap<&str, f64> = BTreeMap::new();
        let mut capacity = 0.0;
        for m in self.machines.values() {
            capacity += context.types.get(&m.model).map_or(0.0, |t| t.cpus);
            for item in &m.listed {
                let room = self
                    .jobs
                    .get(&item.task.job)
                    .and_then(|j| j.spec())
                    .map(|s| s.resources);
                let state = match item.state {
                    TaskState::Pulling => "pulling",
                    TaskState::Running => "running",
                    TaskState::Checkpointing => "saving",
                    TaskState::Exited => "exited",
                };
                if let Some(room) = room {
                    *cpus.entry(state).or_default() += room.cpus;
                }
            }
        }
        let of = |state: &str| cpus.get(state).copied().unwrap_or(0.0);
        tracing::info!(shard = %self.id, machines = self.machines.len(), capacity, free = self.free_cpus,
            running = of("running"), pulling = of("pulling"), exited = of("exited"),
            cached = self.placed[0], coming = self.placed[1], absent = self.placed[2],
            waiting = self.waiting_cpus, jobs = self.jobs.len(), "shard load in CPUs");
        let done = &self.reconciliation;
        tracing::info!(shard = %self.id, consistent = done.consistent, not_started = done.not_started, lost = done.lost,
            ended = done.ended, orphaned = done.orphaned, leftover_entries = done.leftover_entries, stopped = ?self.stopped, "heartbeats reconciled");
    }

    fn step(&mut self, now: MonotonicMillis, job: &JobId, step: AllocationChange) -> bool {
        let Some(entry) = self.jobs.get_mut(job) else {
            return false;
        };
        if !entry.view.apply(&step) {
            return false;
        }
        let name = &step.machine;
        match step.kind {
            AllocationChangeKind::Start => {
                entry.started += 1;
                self.on.entry(name.clone()).or_default().insert(job.clone());
            }
            AllocationChangeKind::Finish | AllocationChangeKind::Requeue => {
                entry.started = entry.started.saturating_sub(1);
                if !entry.view.started.contains_key(name) {
                    forget(&mut self.on, name, job);
                }
            }
        }
        if let Some(m) = self.machines.get_mut(name) {
            m.stale = true;
        }
        self.next_step += 1;
        if entry.steps.is_empty() {
            entry.since = now;
        }
        entry.steps.push(PendingChange {
            id: self.next_step,
            taken: now,
            step,
        });
        self.dirty = true;
        true
    }

    /// The regular work; `fresh` says whether this owner's lease is known to hold.
    pub fn tick(
        &mut self,
        fresh: bool,
        others_short: &BTreeSet<Team>,
        missing: &BTreeSet<MachineId>,
        context: &mut Context,
    ) {
        self.activate(context);
        if !self.ready || self.deposed {
            return;
        }
        let now = context.now();
        if now.since(self.placed_at) > 500 {
            self.dirty = true;
        }
        for (id, job) in self.jobs.iter_mut().filter(|(_, j)| !j.ready) {
            if context.dependency_graph.is_ready(id, &job.spec) {
                tracing::info!(job = %id, shard = %self.id, "dependencies satisfied");
                job.ready = true;
                self.dirty = true;
            }
        }
        if fresh {
            self.place(context);
            self.flush(context);
        }
        self.answer_held(context);
        if !fresh {
            return;
        }
        self.claim(context);
        if now.since(self.tended_at) >= TEND_MS {
            self.tended_at = now;
            self.tend_quota(others_short, context);
            self.tend_machines(missing, context);
        }
        if now.since(self.told_at) >= 10_000 {
            self.told_at = now;
            self.tell(context);
            self.placed = [0; 3];
        }
        if now.since(self.taken) > 1_000 {
            self.read_again(context);
        }
    }
}

/// Takes a job off the list of those with started tasks on a machine.
fn forget(on: &mut BTreeMap<MachineId, BTreeSet<JobId>>, name: &MachineId, job: &JobId) {
    if let Some(jobs) = on.get_mut(name) {
        jobs.remove(job);
        if jobs.is_empty() {
            on.remove(name);
        }
    }
}

fn requeue(machine: &MachineId, task: TaskIndex, attempt: Attempt) -> AllocationChange {
    AllocationChange {
        task,
        attempt,
        machine: machine.clone(),
        kind: AllocationChangeKind::Requeue,
    }
}
