//! The owner of one part: its machines, its shares of jobs, and every start on its machines.
//!
//! What it writes is conditional on its token, so a deposed owner's late writes fail. What it
//! commands has been committed first, and is commanded only inside answers to reports.

mod claims;
mod emptying;
mod holding;
mod job;
pub mod keeping;
mod machine;
mod placing;
mod quota;
mod reports;
mod returns;
mod turns;
mod writing;

use super::env::Env;
use super::peers::PartRoom;
use job::{NumberedStep, ShardJob};
use machine::Machine;
pub use placing::Offer;
use serde::Serialize;
use snowshelf_calendar::calendar::Pool;
use snowshelf_drain::door::Cause;
use snowshelf_model::ids::{Attempt, JobId, MachineId, Millis, PartId, TaskNo, Team, Token};
use snowshelf_model::protocol::worker::{Report, TaskState};
use snowshelf_model::records::{Alloc, QuotaRecord, Step, StepKind};
use snowshelf_policy::grants::Lack;
use snowshelf_recovery::silence::Hearing;
use snowshelf_recovery::squaring::Squared;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};
use std::rc::Rc;
use writing::Flight;

/// How often machines and grants are looked over.
const TEND_MS: u64 = 200;

pub struct Shard {
    pub part: PartId,
    pub token: Token,
    pub ready: bool,
    pub deposed: bool,
    pub taken: Millis,
    jobs: BTreeMap<JobId, ShardJob>,
    machines: BTreeMap<MachineId, Machine>,
    /// Jobs with started tasks in their view, by machine.
    on: BTreeMap<MachineId, BTreeSet<JobId>>,
    /// Numbers for the images of jobs seen.
    images: HashMap<String, u32>,
    /// Machines kept for reservations.
    kept: BTreeMap<MachineId, keeping::Kept>,
    /// Jobs whose tasks on a machine are stopped for a reservation, as of the last pass.
    overrun: BTreeMap<MachineId, BTreeSet<JobId>>,
    /// The other parts' machines by pool, ordinary and spot ones, while something is reserved.
    pub elsewhere: Rc<BTreeMap<(PartId, Pool), (u32, u32)>>,
    /// Room kept for teams, as of the last pass.
    pub kept_room: BTreeMap<Team, keeping::KeptRoom>,
    /// What reports have proved since the part was taken.
    squared: Squared,
    /// The newest report of each machine from before the picture was built, and when it came.
    early: BTreeMap<MachineId, (Millis, Report)>,
    gone: HashSet<MachineId>,
    gone_order: VecDeque<MachineId>,
    next_step: u64,
    flight: Option<Flight>,
    /// Writes in a row that were not carried out.
    refusals: u32,
    retry_at: Millis,
    /// So many writes hold one share only, to find the one that the state service refuses.
    one_by_one: usize,
    claiming: bool,
    claim_at: Millis,
    claimed_at: Millis,
    offers_at: Millis,
    quota: HashMap<Team, quota::QuotaState>,
    quota_flight: Option<(Team, QuotaRecord)>,
    /// Teams for which placement lacked grant in the last pass.
    pub short_of: BTreeMap<Team, Lack>,
    /// A charge of a team's budget is underway, and when the next one may be.
    charging: Option<emptying::Charging>,
    charge_at: Millis,
    /// What holds stops back, as of the last look.
    pub held_back: Vec<String>,
    /// Tasks that were stopped, by what for, since the part was taken.
    stopped: BTreeMap<Cause, u64>,
    /// A return is underway.
    releasing: bool,
    /// Something changed that placement may use.
    dirty: bool,
    placed_at: Millis,
    tended_at: Millis,
    told_at: Millis,
    /// Starts placed since the last line on the load: with the image, while it was fetched, and
    /// without it.
    placed: [u64; 3],
    pub free_cpus: f64,
    capacity_cpus: f64,
    pub waiting_cpus: f64,
    /// What waits here against the machines, as of the last pass.
    matched: placing::Match,
    /// What the other parts offer, as far as their owners say.
    pub offered: Rc<BTreeMap<(PartId, JobId), Offer>>,
    /// Room held for jobs that find none.
    holds: BTreeMap<JobId, holding::Hold>,
}

/// How far a part is served.
#[derive(Serialize)]
pub struct Progress {
    pub part: u32,
    /// Whether its picture is there, so that more than leases is kept up.
    pub served: bool,
    /// Machines known, by reports or by records, and those that have shown this owner's token.
    pub machines: usize,
    pub shown: usize,
    pub squared: Squared,
    /// Tasks stopped on purpose, by what for.
    pub stopped: BTreeMap<Cause, u64>,
}

impl Shard {
    pub fn new(part: PartId, token: Token, now: Millis) -> Shard {
        Shard {
            part,
            token,
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
            squared: Squared::default(),
            early: BTreeMap::new(),
            gone: HashSet::new(),
            gone_order: VecDeque::new(),
            next_step: 0,
            flight: None,
            refusals: 0,
            retry_at: Millis(0),
            one_by_one: 0,
            claiming: false,
            claim_at: Millis(0),
            claimed_at: Millis(0),
            offers_at: Millis(0),
            quota: HashMap::new(),
            quota_flight: None,
            short_of: BTreeMap::new(),
            charging: None,
            charge_at: Millis(0),
            held_back: Vec::new(),
            stopped: BTreeMap::new(),
            releasing: false,
            dirty: true,
            placed_at: Millis(0),
            tended_at: Millis(0),
            told_at: Millis(0),
            placed: [0; 3],
            free_cpus: 0.0,
            capacity_cpus: 0.0,
            waiting_cpus: 0.0,
            matched: placing::Match::default(),
            holds: BTreeMap::new(),
            offered: Rc::default(),
        }
    }

    pub fn room(&self) -> PartRoom {
        PartRoom {
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
    pub fn offers(&self) -> &[(JobId, Offer)] {
        &self.matched.offers
    }

    /// What is heard of its machines. Those that only the records tell of are missed as of the taking: otherwise a
    /// controller that no worker reaches, and took the part before it knew, would never miss them.
    pub fn hearing(&self) -> Hearing {
        let machines = self.machines.values();
        let known = machines.filter(|m| (m.reported || m.inherited) && !m.returning);
        known.fold(Hearing::default(), |h, m| Hearing {
            known: h.known + 1,
            last: h.last.max(m.heard),
        })
    }

    /// How far the part is served, for operators.
    pub fn progress(&self) -> Progress {
        let silent = self.machines.values().filter(|m| !m.shown).count();
        Progress {
            part: self.part.0,
            served: self.ready,
            machines: self.machines.len(),
            shown: self.machines.len() - silent,
            squared: self.squared.clone(),
            stopped: self.stopped.clone(),
        }
    }

    /// Machines that reported lately.
    pub fn heard(&self, now: Millis, within_ms: u64) -> impl Iterator<Item = &MachineId> + '_ {
        self.machines
            .iter()
            .filter(move |(_, m)| m.reported && now.since(m.heard) <= within_ms)
            .map(|(name, _)| name)
    }

    /// Builds the picture once everything up to the token has been read: later writes of an
    /// earlier owner cannot succeed, earlier ones are in the mirror.
    pub fn activate(&mut self, env: &mut Env) {
        if self.ready || !env.mirror.loaded || env.mirror.revision.0 < self.token.0 {
            return;
        }
        self.ready = true;
        let jobs: Vec<JobId> = env
            .mirror
            .part_allocs(self.part)
            .map(|(job, _)| job.clone())
            .collect();
        for job in &jobs {
            self.refresh(job, env);
        }
        let now = env.now();
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
        tracing::info!(part = %self.part, token = %self.token, jobs = jobs.len(),
            machines = self.machines.len(), early = self.early.len(),
            after_ms = now.since(self.taken), "part taken, picture rebuilt");
        self.take_early(env);
    }

    /// Takes the mirror's state of a job's share in.
    pub fn refresh(&mut self, job: &JobId, env: &Env) {
        if !self.ready {
            return;
        }
        let alloc = env.mirror.allocs.get(&(self.part, job.clone()));
        let record = env.mirror.jobs.get(job);
        match (alloc, record) {
            (Some(alloc), Some(record)) => {
                let now = env.out.now;
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
                    view: Alloc::default(),
                    started: 0,
                    steps: Vec::new(),
                    since: now,
                    unsettled: false,
                    reading: false,
                    in_flight: false,
                    ready: env.graph.is_ready(job, &record.value),
                    hold_until: Millis(0),
                    image,
                    failed_on: BTreeSet::new(),
                    failures: 0,
                    errors: BTreeMap::new(),
                    retry_at: Millis(0),
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
    fn tell(&self, env: &Env) {
        let mut cpus: BTreeMap<&str, f64> = BTreeMap::new();
        let mut capacity = 0.0;
        for m in self.machines.values() {
            capacity += env.types.get(&m.model).map_or(0.0, |t| t.cpus);
            for item in &m.listed {
                let room = self
                    .jobs
                    .get(&item.task.job)
                    .and_then(|j| j.spec())
                    .map(|s| s.room);
                let state = match item.state {
                    TaskState::Pulling => "pulling",
                    TaskState::Running => "running",
                    TaskState::Saving => "saving",
                    TaskState::Exited => "exited",
                };
                if let Some(room) = room {
                    *cpus.entry(state).or_default() += room.cpus;
                }
            }
        }
        let of = |state: &str| cpus.get(state).copied().unwrap_or(0.0);
        tracing::info!(part = %self.part, machines = self.machines.len(), capacity, free = self.free_cpus,
            running = of("running"), pulling = of("pulling"), exited = of("exited"),
            cached = self.placed[0], coming = self.placed[1], absent = self.placed[2],
            waiting = self.waiting_cpus, jobs = self.jobs.len(), "load in CPUs");
        let done = &self.squared;
        tracing::info!(part = %self.part, agree = done.agree, not_begun = done.not_begun, gone = done.gone,
            ended = done.ended, stray = done.stray, remnant = done.remnant, stopped = ?self.stopped, "reports squared");
    }

    fn step(&mut self, now: Millis, job: &JobId, step: Step) -> bool {
        let Some(entry) = self.jobs.get_mut(job) else {
            return false;
        };
        if !entry.view.apply(&step) {
            return false;
        }
        let name = &step.machine;
        match step.what {
            StepKind::Start => {
                entry.started += 1;
                self.on.entry(name.clone()).or_default().insert(job.clone());
            }
            StepKind::Finish | StepKind::Requeue => {
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
        entry.steps.push(NumberedStep {
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
        env: &mut Env,
    ) {
        self.activate(env);
        if !self.ready || self.deposed {
            return;
        }
        let now = env.now();
        if now.since(self.placed_at) > 500 {
            self.dirty = true;
        }
        for (id, job) in self.jobs.iter_mut().filter(|(_, j)| !j.ready) {
            if env.graph.is_ready(id, &job.spec) {
                tracing::info!(job = %id, part = %self.part, "all that it needs is done");
                job.ready = true;
                self.dirty = true;
            }
        }
        if fresh {
            self.place(env);
            self.flush(env);
        }
        self.answer_held(env);
        if !fresh {
            return;
        }
        self.claim(env);
        if now.since(self.tended_at) >= TEND_MS {
            self.tended_at = now;
            self.tend_quota(others_short, env);
            self.tend_machines(missing, env);
        }
        if now.since(self.told_at) >= 10_000 {
            self.told_at = now;
            self.tell(env);
            self.placed = [0; 3];
        }
        if now.since(self.taken) > 1_000 {
            self.read_again(env);
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

fn requeue(machine: &MachineId, task: TaskNo, attempt: Attempt) -> Step {
    Step {
        task,
        attempt,
        machine: machine.clone(),
        what: StepKind::Requeue,
    }
}
