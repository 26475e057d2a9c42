//! The owner of one part: its machines, its shares of jobs, and every start on its machines.
//!
//! What it writes is conditional on its token, so a deposed owner's late writes fail. What it
//! commands has been committed first, and is commanded only inside answers to reports.

use super::env::{CloudTag, Env, Tag};
use super::peers::PartRoom;
use super::placement::{self, Image, Load, Seat, ZoneRule};
use crate::bookkeeping::records::{
    Alloc, Grant, JobRecord, JobSpec, JobState, Kind, QuotaRecord, Room, Step, StepKind, alloc_key,
    job_key, part_key, quota_key,
};
use crate::bookkeeping::store::{Class, GetResult, TxnResult};
use crate::ids::{
    Attempt, ConnId, JobId, MachineId, Millis, PartId, Seq, Session, TaskNo, Team, Token, Version,
    WallMs, seconds_to_ms,
};
use crate::outbox::Response;
use crate::protocol::state::{Change, Txn};
use crate::protocol::worker::{Answer, Command, Report, TaskRef, TaskState, Why};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};
use std::rc::Rc;

/// Most commands in one answer: keeps it under the 64 KiB that a worker accepts.
const MAX_COMMANDS: usize = 400;
/// How long steps gather before they are written, so that several share a transaction.
const GATHER_MS: u64 = 60;
/// Names of returned machines that are remembered, to know late reports by.
const TOMBSTONES: usize = 4_000;
/// The least time between two moves of a team's grant by one part.
const QUOTA_GAP_MS: u64 = 400;
/// A job younger than this is left to the part that holds it.
const CLAIM_AGE_MS: u64 = 1_500;
/// Bytes of a transaction's body that may be used.
const TXN_BYTES: usize = 56 * 1024;

struct NumberedStep {
    id: u64,
    step: Step,
}

struct ShardJob {
    spec: Rc<JobRecord>,
    job_version: Version,
    durable: Rc<Alloc>,
    version: Version,
    /// `durable` with all steps applied.
    view: Alloc,
    steps: Vec<NumberedStep>,
    since: Millis,
    /// A write went unanswered and may still be applied: the key must be written once more.
    unsettled: bool,
    /// Being read back; nothing is written meanwhile.
    reading: bool,
    in_flight: bool,
    failed_on: BTreeSet<MachineId>,
    failures: u32,
    retry_at: Millis,
}

impl ShardJob {
    fn spec(&self) -> Option<&JobSpec> {
        self.spec.spec.as_ref()
    }
    fn cancelled(&self) -> bool {
        self.spec.state == JobState::Cancelled
    }
    /// Nothing of the job is left here once all steps are durable.
    fn over(&self) -> bool {
        self.view.started.is_empty() && (self.cancelled() || self.view.waiting.is_empty())
    }
    fn rebase(&mut self) {
        let mut view = (*self.durable).clone();
        let cancelled = self.cancelled();
        self.steps.retain(|numbered| {
            // A start that is not durable when the job is cancelled must never become so.
            if cancelled && numbered.step.what == StepKind::Start {
                let here = view.started_on(&numbered.step.machine, numbered.step.task);
                return here == Some(numbered.step.attempt);
            }
            view.apply(&numbered.step)
        });
        self.view = view;
    }
    fn needs_write(&self) -> bool {
        !self.in_flight
            && !self.reading
            && (!self.steps.is_empty() || self.unsettled || self.over())
    }
}

#[derive(Clone)]
struct OnMachine {
    task: TaskRef,
    attempt: Attempt,
    state: TaskState,
    why: Option<Why>,
}

struct Machine {
    model: String,
    zone: usize,
    spot: bool,
    session: Session,
    seq: Seq,
    /// Its report shows this owner's token: no earlier owner can command it any more.
    shown: bool,
    heard: Millis,
    /// Whether it ever reported to this owner.
    reported: bool,
    notice_until: Option<Millis>,
    listed: Vec<OnMachine>,
    held: Option<(ConnId, Millis)>,
    idle_since: Option<Millis>,
    images: HashSet<String>,
    /// Images that tasks placed here wait for.
    coming: HashSet<String>,
    /// Jobs whose tasks failed here since a task last completed here.
    error_streak: Vec<JobId>,
    draining: bool,
    returning: bool,
    full_until: Millis,
}

struct Flight {
    jobs: Vec<(JobId, u64, Option<Alloc>, Option<JobRecord>)>,
}

#[derive(Default)]
struct QuotaState {
    /// Lowered grant that a write may have made durable.
    ceiling: Option<Grant>,
    retry_at: Millis,
}

pub struct Shard {
    pub part: PartId,
    pub token: Token,
    pub ready: bool,
    pub deposed: bool,
    taken: Millis,
    jobs: BTreeMap<JobId, ShardJob>,
    machines: BTreeMap<MachineId, Machine>,
    gone: HashSet<MachineId>,
    gone_order: VecDeque<MachineId>,
    next_step: u64,
    flight: Option<Flight>,
    /// Writes in a row that were not carried out.
    refusals: u32,
    retry_at: Millis,
    claiming: bool,
    claim_at: Millis,
    quota: HashMap<Team, QuotaState>,
    quota_flight: Option<(Team, QuotaRecord)>,
    /// Teams for which placement lacked grant in the last pass.
    pub short_of: BTreeMap<Team, Grant>,
    /// A return is underway.
    releasing: bool,
    /// Something changed that placement may use.
    dirty: bool,
    placed_at: Millis,
    told_at: Millis,
    pub free_cpus: f64,
    capacity_cpus: f64,
    pub waiting_cpus: f64,
    /// Tasks wait that some machine here could run, were it empty.
    waiting_here: bool,
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
            gone: HashSet::new(),
            gone_order: VecDeque::new(),
            next_step: 0,
            flight: None,
            refusals: 0,
            retry_at: Millis(0),
            claiming: false,
            claim_at: Millis(0),
            quota: HashMap::new(),
            quota_flight: None,
            short_of: BTreeMap::new(),
            releasing: false,
            dirty: true,
            placed_at: Millis(0),
            told_at: Millis(0),
            free_cpus: 0.0,
            capacity_cpus: 0.0,
            waiting_cpus: 0.0,
            waiting_here: false,
        }
    }

    pub fn room(&self) -> PartRoom {
        PartRoom {
            free: self.free_cpus,
            capacity: self.capacity_cpus,
        }
    }

    pub fn knows(&self, job: &JobId) -> bool {
        self.jobs.contains_key(job)
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
                .or_insert_with(|| Machine::unknown(now));
        }
        tracing::info!(part = %self.part, token = %self.token, jobs = jobs.len(),
            machines = self.machines.len(), "part taken, picture rebuilt");
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
                let entry = self.jobs.entry(job.clone()).or_insert_with(|| ShardJob {
                    spec: record.value.clone(),
                    job_version: record.version,
                    durable: alloc.value.clone(),
                    version: alloc.version,
                    view: (*alloc.value).clone(),
                    steps: Vec::new(),
                    since: now,
                    unsettled: false,
                    reading: false,
                    in_flight: false,
                    failed_on: BTreeSet::new(),
                    failures: 0,
                    retry_at: Millis(0),
                });
                entry.spec = record.value.clone();
                entry.job_version = record.version;
                if alloc.version > entry.version {
                    entry.version = alloc.version;
                    entry.durable = alloc.value.clone();
                }
                entry.rebase();
                self.dirty = true;
            }
            (None, _) => {
                if self.jobs.remove(job).is_some() {
                    self.dirty = true;
                }
            }
            // The share is known and the job not yet: its change follows.
            (Some(_), None) => {}
        }
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
            waiting = self.waiting_cpus, jobs = self.jobs.len(), "load in CPUs");
    }

    fn step(&mut self, now: Millis, job: &JobId, step: Step) -> bool {
        let Some(entry) = self.jobs.get_mut(job) else {
            return false;
        };
        if !entry.view.apply(&step) {
            return false;
        }
        self.next_step += 1;
        if entry.steps.is_empty() {
            entry.since = now;
        }
        entry.steps.push(NumberedStep {
            id: self.next_step,
            step,
        });
        self.dirty = true;
        true
    }

    // ---- reports -------------------------------------------------------------------------

    /// Handles a worker's report. The caller has checked that this owner may answer.
    pub fn check_in(&mut self, conn: ConnId, report: Report, env: &mut Env) {
        let now = env.now();
        if report.token > self.token {
            tracing::info!(part = %self.part, token = %self.token, seen = %report.token,
                machine = %report.machine, "a worker has seen a higher token: deposed");
            self.deposed = true;
            env.out.respond(
                conn,
                Response::new(421, crate::protocol::worker::redirect(None)),
            );
            return;
        }
        if self.gone.contains(&report.machine) {
            // Guards against a late report of a machine whose return was confirmed.
            env.out
                .respond(conn, Response::later(503, "this machine was returned", 5));
            return;
        }
        if !self.ready {
            self.answer(conn, Vec::new(), env);
            return;
        }
        let zone = env
            .cfg
            .settings
            .deployment
            .zones
            .iter()
            .position(|z| *z == report.zone)
            .unwrap_or(usize::MAX);
        let name = report.machine.clone();
        let machine = self
            .machines
            .entry(name.clone())
            .or_insert_with(|| Machine::unknown(now));
        if machine.reported && (report.session, report.seq) <= (machine.session, machine.seq) {
            // Late or repeated: a newer one has settled what this one says.
            self.answer(conn, Vec::new(), env);
            return;
        }
        let new_session = machine.reported && report.session > machine.session;
        if !machine.reported {
            tracing::info!(machine = %name, part = %self.part, model = %report.model,
                session = report.session.0, "machine reports");
            self.dirty = true;
        }
        if new_session {
            tracing::info!(machine = %name, session = report.session.0, "new session: its tasks are gone");
            machine.coming.clear();
        }
        machine.model = report.model;
        machine.zone = zone;
        machine.spot = report.spot;
        machine.session = report.session;
        machine.seq = report.seq;
        machine.heard = now;
        machine.reported = true;
        let shown = report.token == self.token;
        if machine.shown != shown {
            machine.shown = shown;
            self.dirty = true;
        }
        machine.notice_until = report.notice_s.map(|s| now.plus(seconds_to_ms(s)));
        machine.listed = report
            .tasks
            .into_iter()
            .map(|t| OnMachine {
                task: t.task,
                attempt: t.attempt,
                state: t.state,
                why: t.why,
            })
            .collect();
        if let Some((old, _)) = machine.held.take() {
            // The worker has given that request up.
            env.out
                .respond(old, Response::new(200, self.answer_body(&[])));
        }
        if new_session && shown {
            // A higher session proves that everything of the earlier one is gone, and the token
            // that no earlier owner can start it in the new one.
            self.requeue_unlisted(&name, now);
        }
        if shown {
            self.settle(&name, now, env);
        }
        self.place(env);
        let waits = self.awaits_commit(&name)
            && shown
            && self.machines.get(&name).is_some_and(|m| !m.returning);
        if waits && env.cfg.ops.hold_ms > 0 {
            if let Some(machine) = self.machines.get_mut(&name) {
                machine.held = Some((conn, now.plus(env.cfg.ops.hold_ms)));
            }
            self.flush(env, true);
        } else {
            let commands = self.commands(&name, now, env);
            self.answer(conn, commands, env);
        }
    }

    fn answer_body(&self, commands: &[Command]) -> Vec<u8> {
        serde_json::to_vec(&Answer {
            token: self.token,
            commands: commands.to_vec(),
        })
        .unwrap_or_default()
    }

    fn answer(&self, conn: ConnId, commands: Vec<Command>, env: &mut Env) {
        let body = self.answer_body(&commands);
        env.out.respond(conn, Response::new(200, body));
    }

    /// Draws what the newest report proves. The machine has shown this owner's token.
    fn settle(&mut self, name: &MachineId, now: Millis, env: &Env) {
        let Some(machine) = self.machines.get(name) else {
            return;
        };
        let listed = machine.listed.clone();
        for item in &listed {
            let job = &item.task.job;
            let ours = self
                .jobs
                .get(job)
                .and_then(|j| j.view.started_on(name, item.task.task))
                == Some(item.attempt);
            if item.state == TaskState::Running
                && let Some(spec) = self.jobs.get(job).and_then(|j| j.spec())
            {
                let image = spec.image.clone();
                if let Some(m) = self.machines.get_mut(name) {
                    m.coming.remove(&image);
                    m.images.insert(image);
                }
            }
            if !ours || item.state != TaskState::Exited {
                continue;
            }
            let step = |what| Step {
                task: item.task.task,
                attempt: item.attempt,
                machine: name.clone(),
                what,
            };
            match item.why {
                Some(Why::Done) => {
                    let batch = self
                        .jobs
                        .get(job)
                        .and_then(|j| j.spec())
                        .is_some_and(|s| s.kind == Kind::Batch);
                    let what = if batch {
                        StepKind::Finish
                    } else {
                        StepKind::Requeue
                    };
                    self.step(now, job, step(what));
                    if let Some(m) = self.machines.get_mut(name) {
                        m.error_streak.clear();
                    }
                    if let Some(j) = self.jobs.get_mut(job) {
                        j.failures = 0;
                    }
                }
                Some(Why::Error) => {
                    self.step(now, job, step(StepKind::Requeue));
                    self.blame(name, job, now);
                }
                Some(Why::Full) | Some(Why::InUse) => {
                    self.step(now, job, step(StepKind::Requeue));
                    if let Some(m) = self.machines.get_mut(name) {
                        m.full_until = now.plus(2 * env.cfg.settings.report_ms());
                    }
                }
                Some(Why::Unknown) => {
                    self.step(now, job, step(StepKind::Requeue));
                    if let Some(j) = self.jobs.get_mut(job) {
                        j.retry_at = now.plus(2_000);
                    }
                }
                Some(Why::Stopped) | None => {
                    self.step(now, job, step(StepKind::Requeue));
                }
            }
        }
        // Not listed in a report newer than any answer that could have carried the command: not
        // there. It is commanded again below, unless the job is over or the machine is not to
        // take it any more.
        let unwanted = self
            .machines
            .get(name)
            .is_some_and(|m| m.draining || m.returning || m.notice_until.is_some());
        let absent: Vec<(JobId, TaskNo, Attempt)> = self
            .unlisted(name)
            .into_iter()
            .filter(|(job, task, attempt)| {
                self.jobs.get(job).is_some_and(|j| {
                    (unwanted || j.cancelled())
                        && j.durable.started_on(name, *task) == Some(*attempt)
                })
            })
            .collect();
        for (job, task, attempt) in absent {
            self.step(now, &job, requeue(name, task, attempt));
        }
        self.track_idle(name, now);
    }

    fn track_idle(&mut self, name: &MachineId, now: Millis) {
        let busy = self.holds_tasks(name);
        if let Some(m) = self.machines.get_mut(name) {
            if busy || m.listed.iter().any(|t| t.state != TaskState::Exited) {
                m.idle_since = None;
            } else if m.idle_since.is_none() {
                m.idle_since = Some(now);
            }
        }
    }

    /// Tasks held by the picture on this machine that its newest report does not list.
    fn unlisted(&self, name: &MachineId) -> Vec<(JobId, TaskNo, Attempt)> {
        let Some(machine) = self.machines.get(name) else {
            return Vec::new();
        };
        let listed: HashSet<(&JobId, TaskNo, Attempt)> = machine
            .listed
            .iter()
            .map(|t| (&t.task.job, t.task.task, t.attempt))
            .collect();
        let mut found = Vec::new();
        for (id, job) in &self.jobs {
            if let Some(spans) = job.view.started.get(name) {
                for (task, attempt) in spans.iter() {
                    if !listed.contains(&(id, task, attempt)) {
                        found.push((id.clone(), task, attempt));
                    }
                }
            }
        }
        found
    }

    fn requeue_unlisted(&mut self, name: &MachineId, now: Millis) {
        for (job, task, attempt) in self.unlisted(name) {
            let durable = self
                .jobs
                .get(&job)
                .is_some_and(|j| j.durable.started_on(name, task) == Some(attempt));
            if durable {
                self.step(now, &job, requeue(name, task, attempt));
            }
        }
    }

    /// A task failed. A machine is to blame when different jobs fail on it, or when one fails that
    /// works elsewhere; a job that fails on several machines is held back instead.
    fn blame(&mut self, name: &MachineId, job: &JobId, now: Millis) {
        let Some(entry) = self.jobs.get_mut(job) else {
            return;
        };
        entry.failures += 1;
        entry.failed_on.insert(name.clone());
        let works = !entry.view.finished.is_empty();
        let spread = entry.failed_on.len();
        if !works && spread >= 2 {
            let wait = 1_000u64 << entry.failures.min(5);
            entry.retry_at = now.plus(wait);
            tracing::info!(job = %job, machines = spread, wait_ms = wait, "job fails on several machines");
        }
        if let Some(m) = self.machines.get_mut(name) {
            m.error_streak.push(job.clone());
            let distinct: BTreeSet<&JobId> = m.error_streak.iter().collect();
            let guilty = distinct.len() >= 2 || (works && m.error_streak.len() >= 2);
            if guilty && !m.draining {
                m.draining = true;
                tracing::info!(machine = %name, jobs = distinct.len(), "machine fails its tasks: drained");
            }
        }
    }

    fn commands(&self, name: &MachineId, now: Millis, env: &Env) -> Vec<Command> {
        let Some(machine) = self.machines.get(name) else {
            return Vec::new();
        };
        if !machine.shown {
            // An earlier owner might still command it: only the token goes out.
            return Vec::new();
        }
        let report_ms = env.cfg.settings.report_ms();
        let mut commands = Vec::new();
        for item in &machine.listed {
            let task = item.task.clone();
            let attempt = item.attempt;
            let job = self.jobs.get(&task.job);
            let viewed = job.and_then(|j| j.view.started_on(name, task.task)) == Some(attempt);
            let durable = job.and_then(|j| j.durable.started_on(name, task.task)) == Some(attempt);
            if item.state == TaskState::Exited {
                // Only when its end is durable: a repeated start would run it once more.
                if !viewed && !durable {
                    commands.push(Command::Reap { task, attempt });
                }
                continue;
            }
            let stray = !viewed && !durable;
            let cancelled = job.is_some_and(|j| j.cancelled());
            if stray || cancelled {
                commands.push(Command::Halt {
                    task,
                    attempt,
                    grace_s: 0.0,
                });
                continue;
            }
            if item.state == TaskState::Saving {
                continue;
            }
            let spec = job.and_then(|j| j.spec());
            let (saves, save_s) = spec.map_or((false, 0.0), |s| (s.checkpoint_s > 0.0, s.save_s));
            if let Some(until) = machine.notice_until {
                let left = until.0.saturating_sub(now.0);
                let late = left <= seconds_to_ms(save_s) + 2 * report_ms;
                if item.state == TaskState::Pulling || (saves && late) {
                    commands.push(Command::Halt {
                        task,
                        attempt,
                        grace_s: save_s,
                    });
                }
            } else if machine.draining {
                commands.push(Command::Halt {
                    task,
                    attempt,
                    grace_s: save_s,
                });
            }
        }
        if !machine.draining && !machine.returning && machine.notice_until.is_none() {
            for (job, task, attempt) in self.unlisted(name) {
                let go = self.jobs.get(&job).is_some_and(|j| {
                    !j.cancelled() && j.durable.started_on(name, task) == Some(attempt)
                });
                if go {
                    commands.push(Command::Run {
                        task: TaskRef { job, task },
                        attempt,
                    });
                }
            }
        }
        commands.truncate(MAX_COMMANDS);
        commands
    }

    /// Whether the picture has starts on this machine that are not durable yet.
    fn awaits_commit(&self, name: &MachineId) -> bool {
        self.jobs.values().any(|j| {
            let viewed = j.view.started.get(name);
            viewed.is_some_and(|v| j.durable.started.get(name) != Some(v))
        })
    }

    /// Whether the picture has tasks on this machine.
    fn holds_tasks(&self, name: &MachineId) -> bool {
        self.jobs
            .values()
            .any(|j| j.view.started.contains_key(name))
    }

    /// Answers the workers whose start is committed or who cannot wait any longer.
    fn answer_held(&mut self, env: &mut Env) {
        let now = env.now();
        let held: Vec<(MachineId, ConnId, Millis)> = self
            .machines
            .iter()
            .filter_map(|(n, m)| m.held.map(|(c, d)| (n.clone(), c, d)))
            .collect();
        for (name, conn, deadline) in held {
            if self.awaits_commit(&name) && now < deadline {
                continue;
            }
            if let Some(m) = self.machines.get_mut(&name) {
                m.held = None;
            }
            let commands = self.commands(&name, now, env);
            self.answer(conn, commands, env);
        }
    }

    /// Lets go of every worker that waits: this owner may not answer any more.
    pub fn drop_held(&mut self, env: &mut Env) {
        for machine in self.machines.values_mut() {
            if let Some((conn, _)) = machine.held.take() {
                env.out.respond(
                    conn,
                    Response::new(421, crate::protocol::worker::redirect(None)),
                );
            }
        }
    }

    // ---- placement -----------------------------------------------------------------------

    fn used(&self) -> HashMap<Team, Grant> {
        let mut used: HashMap<Team, Grant> = HashMap::new();
        for job in self.jobs.values() {
            // Durable and viewed starts both count: what is proven gone leaves both.
            let count = job.view.started_count();
            if count > 0
                && let Some(spec) = job.spec()
            {
                let entry = used.entry(spec.team.clone()).or_default();
                entry.cpus += spec.room.cpus * f64::from(count);
                entry.gpus += spec.room.gpus * f64::from(count);
            }
        }
        // Tasks on machines that no record holds there still use the team's limit.
        for (name, machine) in &self.machines {
            for item in &machine.listed {
                if item.state == TaskState::Exited {
                    continue;
                }
                if let Some(job) = self.jobs.get(&item.task.job)
                    && job.view.started_on(name, item.task.task) != Some(item.attempt)
                    && let Some(spec) = job.spec()
                {
                    let entry = used.entry(spec.team.clone()).or_default();
                    entry.cpus += spec.room.cpus;
                    entry.gpus += spec.room.gpus;
                }
            }
        }
        used
    }

    fn granted(&self, team: &Team, env: &Env) -> Grant {
        let durable = env
            .mirror
            .quotas
            .get(team)
            .and_then(|q| q.value.grants.get(&self.part).copied())
            .unwrap_or_default();
        match self.quota.get(team).and_then(|q| q.ceiling) {
            Some(c) => Grant {
                cpus: durable.cpus.min(c.cpus),
                gpus: durable.gpus.min(c.gpus),
            },
            None => durable,
        }
    }

    fn machine_used(&self) -> HashMap<MachineId, Room> {
        let mut used: HashMap<MachineId, Room> = HashMap::new();
        for job in self.jobs.values() {
            let Some(spec) = job.spec() else { continue };
            for (machine, spans) in &job.view.started {
                used.entry(machine.clone())
                    .or_default()
                    .add(spec.room.times(f64::from(spans.len())));
            }
        }
        for (name, machine) in &self.machines {
            for item in &machine.listed {
                if item.state == TaskState::Exited {
                    continue;
                }
                match self.jobs.get(&item.task.job) {
                    Some(job)
                        if job.view.started_on(name, item.task.task) == Some(item.attempt) => {}
                    Some(job) => {
                        if let Some(spec) = job.spec() {
                            used.entry(name.clone()).or_default().add(spec.room);
                        }
                    }
                    // A stray of unknown size: nothing is placed until it is gone.
                    None => used.entry(name.clone()).or_default().add(Room {
                        cpus: 1e9,
                        gpus: 0.0,
                        mem: 1e9,
                    }),
                }
            }
        }
        used
    }

    /// One pass of placement over the waiting jobs.
    fn place(&mut self, env: &mut Env) {
        if !self.dirty || !self.ready || self.deposed {
            return;
        }
        let now = env.now();
        self.dirty = false;
        self.placed_at = now;
        let fresh_ms = 2 * env.cfg.settings.report_ms() + 1_000;
        let used_room = self.machine_used();
        let mut load = Load::default();
        let mut names: Vec<MachineId> = Vec::new();
        let mut free: Vec<Room> = Vec::new();
        for (name, m) in &self.machines {
            let Some(kind) = env.types.get(&m.model) else {
                continue;
            };
            let used = used_room.get(name).copied().unwrap_or_default();
            load.capacity.add(kind.room());
            load.booked.add(used);
            if m.open(now, fresh_ms) {
                let mut room = kind.room();
                room.sub(used);
                names.push(name.clone());
                free.push(room);
            }
        }
        self.capacity_cpus = load.capacity.cpus;
        let default_s = env.cfg.ops.default_run_s;
        let waiting = |j: &&ShardJob| !j.cancelled() && !j.view.waiting.is_empty();
        let weights = placement::weights(
            self.jobs.values().filter(waiting).filter_map(|j| j.spec()),
            default_s,
            load,
        );
        let objectives = &env.cfg.settings.deployment.objectives;
        let within = within_guarantee(env);
        let mut order: Vec<(JobId, _)> = self
            .jobs
            .iter()
            .filter(|(_, j)| waiting(j) && j.retry_at <= now && !j.reading)
            .filter_map(|(id, j)| {
                let spec = j.spec()?;
                let age_s = env.out.wall_ms.saturating_sub(j.spec.submitted.0) as f64 / 1000.0;
                let late = age_s > placement::hope_s(spec, objectives);
                Some((
                    id.clone(),
                    (
                        !within.contains(id),
                        std::cmp::Reverse(spec.priority),
                        late,
                        j.spec.submitted.0,
                    ),
                ))
            })
            .collect();
        order.sort_by(|a, b| a.1.cmp(&b.1).then_with(|| a.0.cmp(&b.0)));
        let mut used_grant = self.used();
        self.short_of.clear();
        let value_limit = env.cfg.settings.value_bytes() * 8 / 10;
        for (id, _) in order {
            let Some(job) = self.jobs.get(&id) else {
                continue;
            };
            let Some(spec) = job.spec().cloned() else {
                continue;
            };
            let granted = self.granted(&spec.team, env);
            let used = used_grant.get(&spec.team).copied().unwrap_or_default();
            let headroom = Room {
                cpus: granted.cpus - used.cpus,
                gpus: granted.gpus - used.gpus,
                mem: f64::MAX / 4.0,
            };
            let waiting = job.view.waiting.len();
            let covered = Room {
                mem: 0.0,
                ..spec.room
            }
            .count_in(headroom);
            let mut want = waiting;
            if job.failures >= 2 && job.view.finished.is_empty() {
                // Nothing of it has worked yet: try a single task at a time.
                want = want.min(1u32.saturating_sub(job.view.started_count()));
            }
            // A share's record must stay under the largest value; a started range costs some 24 bytes.
            let room_in_record =
                value_limit / 28 - (job.view.started_count() as usize).min(value_limit / 28);
            want = want.min(room_in_record as u32);
            if want == 0 {
                continue;
            }
            let mut zones = ZoneRule {
                together: spec.together,
                most: spec.apart.then(|| spec.tasks.div_ceil(2)),
                ..ZoneRule::default()
            };
            if spec.zones_bound() {
                for (m, spans) in &job.view.started {
                    let zone = self.machines.get(m).map_or(usize::MAX, |m| m.zone);
                    *zones.held.entry(zone).or_default() += spans.len();
                }
            }
            let seats: Vec<Seat> = names
                .iter()
                .zip(&free)
                .map(|(name, free)| {
                    let m = &self.machines[name];
                    let zone_name = env.cfg.settings.deployment.zones.get(m.zone);
                    let allowed = m.allowed_for(&spec, zone_name)
                        && (!spec.zones_bound() || zone_name.is_some())
                        && (!job.failed_on.contains(name) || m.error_streak.is_empty());
                    let cap = if !allowed {
                        0
                    } else if m.error_streak.is_empty() {
                        u32::MAX
                    } else {
                        // It failed a task and completed none since: one at a time.
                        1u32.saturating_sub(m.listed.len() as u32)
                    };
                    Seat {
                        free: *free,
                        zone: m.zone,
                        cap,
                        spared: spec.spot && !m.spot,
                        image: m.image(&spec.image),
                    }
                })
                .collect();
            let mut chosen = placement::place(spec.room, want, &seats, weights, &mut zones);
            // What would fit but is not covered by the grant is asked for; a grant without room
            // on machines would only be moved to and fro.
            let fits: u32 = chosen.iter().map(|(_, n)| n).sum();
            if fits > covered {
                let lacking = self.short_of.entry(spec.team.clone()).or_default();
                lacking.cpus += spec.room.cpus * f64::from(fits - covered);
                lacking.gpus += spec.room.gpus * f64::from(fits - covered);
                let mut left = covered;
                for (_, n) in &mut chosen {
                    *n = (*n).min(left);
                    left -= *n;
                }
            }
            for (seat, count) in chosen {
                let name = names[seat].clone();
                for _ in 0..count {
                    let Some((task, attempt)) =
                        self.jobs.get(&id).and_then(|j| j.view.waiting.first())
                    else {
                        break;
                    };
                    let step = Step {
                        task,
                        attempt,
                        machine: name.clone(),
                        what: StepKind::Start,
                    };
                    if !self.step(now, &id, step) {
                        break;
                    }
                    free[seat].sub(spec.room);
                    let entry = used_grant.entry(spec.team.clone()).or_default();
                    entry.cpus += spec.room.cpus;
                    entry.gpus += spec.room.gpus;
                }
                if let Some(m) = self.machines.get_mut(&name) {
                    m.idle_since = None;
                    m.coming.insert(spec.image.clone());
                }
            }
        }
        self.dirty = false;
        self.free_cpus = free.iter().map(|r| r.cpus.max(0.0)).sum();
        self.waiting_here = self
            .jobs
            .values()
            .filter(waiting)
            .filter_map(|j| j.spec())
            .any(|spec| self.fit(spec, env, &HashMap::new()) > 0);
        self.waiting_cpus = self
            .jobs
            .values()
            .filter(waiting)
            .filter_map(|j| Some(j.spec()?.room.cpus * f64::from(j.view.waiting.len())))
            .sum();
    }

    // ---- writing -------------------------------------------------------------------------

    /// Writes gathered steps in one transaction.
    fn flush(&mut self, env: &mut Env, urgent: bool) {
        let now = env.now();
        if self.flight.is_some() || self.deposed || now < self.retry_at {
            return;
        }
        let mut ready: Vec<(u8, Millis, JobId)> = self
            .jobs
            .iter()
            .filter(|(_, j)| j.needs_write())
            .map(|(id, j)| {
                let ends = j.unsettled
                    || j.over()
                    || j.steps.iter().any(|s| s.step.what != StepKind::Start);
                (u8::from(!ends), j.since, id.clone())
            })
            .collect();
        if ready.is_empty() {
            return;
        }
        ready.sort();
        let oldest = ready.iter().map(|r| r.1).min().unwrap_or(now);
        if !urgent && now.since(oldest) < GATHER_MS {
            return;
        }
        let max_ops = env.cfg.settings.deployment.state.txn_ops;
        let mut txn = Txn::default().when(part_key(self.part), Version(self.token.0));
        let mut jobs = Vec::new();
        let mut bytes = 200;
        let ends = ready[0].0 == 0;
        for (_, _, id) in ready {
            let Some(job) = self.jobs.get(&id) else {
                continue;
            };
            let last = job.steps.last().map_or(0, |s| s.id);
            let key = alloc_key(self.part, &id);
            let over = job.over();
            let starts = job.steps.iter().any(|s| s.step.what == StepKind::Start);
            let ops = if over { 2 } else { 1 };
            if txn.changes.len() + ops > max_ops {
                break;
            }
            let change = if over {
                Change::Delete { key: key.clone() }
            } else {
                Change::write(key.clone(), &job.view)
            };
            let size = 400 + serde_json::to_vec(&change).map_or(0, |v| v.len());
            if bytes + size > TXN_BYTES && !jobs.is_empty() {
                break;
            }
            bytes += size;
            txn = txn.when(key, job.version).then(change);
            let mut record = None;
            if over {
                let next = job.spec.without_part(self.part);
                txn = txn
                    .when(job_key(&id), job.job_version)
                    .then(Change::write(job_key(&id), &next));
                record = Some(next);
            } else if starts {
                // A cancellation changes the job's key, so it wins over a start underway.
                txn = txn.when(job_key(&id), job.job_version);
            }
            jobs.push((id, last, (!over).then(|| job.view.clone()), record));
        }
        let class = if ends { Class::Ends } else { Class::Starts };
        if !env.store.may(now, class, txn.changes.len()) {
            self.retry_at = now.plus(50);
            return;
        }
        for (id, _, _, _) in &jobs {
            if let Some(job) = self.jobs.get_mut(id) {
                job.in_flight = true;
            }
        }
        env.store
            .txn(env.out, Tag::ShardTxn(self.part, self.token), &txn);
        self.flight = Some(Flight { jobs });
    }

    pub fn txn_done(&mut self, result: TxnResult, env: &mut Env) {
        let now = env.now();
        let Some(flight) = self.flight.take() else {
            return;
        };
        for (id, _, _, _) in &flight.jobs {
            if let Some(job) = self.jobs.get_mut(id) {
                job.in_flight = false;
            }
        }
        match result {
            TxnResult::Done(revision) => {
                self.refusals = 0;
                for (id, last, alloc, record) in flight.jobs {
                    if let Some(job) = self.jobs.get_mut(&id) {
                        job.unsettled = false;
                        job.steps.retain(|s| s.id > last);
                        job.since = now;
                    }
                    let key = alloc_key(self.part, &id);
                    let value = alloc.map(|a| serde_json::to_value(a).unwrap_or_default());
                    env.mirror.apply(&key, value.as_ref(), revision);
                    if let Some(record) = record {
                        tracing::info!(job = %id, part = %self.part, state = ?record.state,
                            open_parts = record.parts.len(), "share of job closed");
                        let value = serde_json::to_value(record).unwrap_or_default();
                        env.mirror.apply(&job_key(&id), Some(&value), revision);
                    }
                    self.refresh(&id, env);
                }
                self.dirty = true;
            }
            TxnResult::Conflict(keys) => {
                tracing::info!(part = %self.part, keys = ?keys, "write conflict");
                if keys.contains(&part_key(self.part)) {
                    tracing::info!(part = %self.part, token = %self.token, "the part's key has changed: deposed");
                    self.deposed = true;
                    return;
                }
                for key in keys {
                    self.read_back(&key, env);
                }
            }
            TxnResult::NotDone | TxnResult::NoLease => {
                self.retry_at = env.out.retry_at(150, self.refusals.min(3));
                self.refusals += 1;
            }
            TxnResult::Unknown => {
                tracing::info!(part = %self.part, jobs = flight.jobs.len(), "write without answer: reading back");
                for (id, _, _, record) in flight.jobs {
                    if let Some(job) = self.jobs.get_mut(&id) {
                        job.unsettled = true;
                    }
                    if record.is_some() {
                        self.read_back(&job_key(&id), env);
                    }
                    self.read_back(&alloc_key(self.part, &id), env);
                }
            }
        }
        self.answer_held(env);
        self.flush(env, false);
    }

    fn job_of_key(&self, key: &str) -> Option<JobId> {
        if let Some(job) = key.strip_prefix("job/") {
            return Some(JobId::new(job));
        }
        let rest = key.strip_prefix(&format!("alloc/{}/", self.part))?;
        Some(JobId::new(rest))
    }

    fn read_back(&mut self, key: &str, env: &mut Env) {
        if let Some(job) = self.job_of_key(key)
            && let Some(job) = self.jobs.get_mut(&job)
        {
            job.reading = true;
        }
        // Reading what an unanswered write did comes before any new one.
        let tag = Tag::ShardRead(self.part, self.token, key.to_string());
        env.store.get(env.out, tag, key, 1_500);
    }

    pub fn read_done(&mut self, key: &str, result: GetResult, env: &mut Env) {
        match result {
            GetResult::Found(item) => {
                env.mirror.apply(key, Some(&item.value), item.version);
            }
            GetResult::Missing(revision) => {
                env.mirror.apply(key, None, revision);
            }
            GetResult::Failed => {
                // Asked again by the tick.
                return;
            }
        }
        if let Some(id) = self.job_of_key(key) {
            if let Some(job) = self.jobs.get_mut(&id) {
                job.reading = false;
            }
            self.refresh(&id, env);
        }
    }

    // ---- quota ---------------------------------------------------------------------------

    fn tend_quota(&mut self, others_short: &BTreeSet<Team>, env: &mut Env) {
        let now = env.now();
        if self.quota_flight.is_some() || !self.ready || self.deposed {
            return;
        }
        let used = self.used();
        for limits in &env.cfg.settings.deployment.teams {
            let team = Team::new(&limits.name);
            if self.quota.get(&team).is_some_and(|q| q.retry_at > now) {
                continue;
            }
            let limit = Grant {
                cpus: limits.cpus_max,
                gpus: limits.gpus_max,
            };
            let used = used.get(&team).copied().unwrap_or_default();
            let (version, record) = match env.mirror.quotas.get(&team) {
                Some(v) => (v.version, (*v.value).clone()),
                None => (Version(0), QuotaRecord::default()),
            };
            let durable = record.grants.get(&self.part).copied().unwrap_or_default();
            let unsettled = self.quota.get(&team).is_some_and(|q| q.ceiling.is_some());
            let short = self.short_of.get(&team).copied();
            let mut wish = match short {
                Some(lack) => Grant {
                    cpus: used.cpus + lack.cpus,
                    gpus: used.gpus + lack.gpus,
                },
                None => durable,
            };
            if others_short.contains(&team) {
                // Another part could start more: keep what is used and, if this part waits too, a
                // share by demand. With other shares one part's tasks of a job lag behind the rest.
                let share = demand_share(&team, self.part, env);
                let fair = match short {
                    Some(lack) => Grant {
                        cpus: (limit.cpus * share).min(used.cpus + lack.cpus),
                        gpus: (limit.gpus * share).min(used.gpus + lack.gpus),
                    },
                    None => Grant::default(),
                };
                wish = Grant {
                    cpus: used.cpus.max(fair.cpus),
                    gpus: used.gpus.max(fair.gpus),
                };
            }
            let next = record.regrant(self.part, wish, used, limit);
            let granted = next.grants.get(&self.part).copied().unwrap_or_default();
            let same = (granted.cpus - durable.cpus).abs() < 0.5
                && (granted.gpus - durable.gpus).abs() < 0.5;
            if same && !unsettled {
                continue;
            }
            if !env.store.may(now, Class::Starts, 1) {
                return;
            }
            let lowers = granted.cpus < durable.cpus || granted.gpus < durable.gpus || unsettled;
            let key = quota_key(&team);
            let txn = Txn::default()
                .when(part_key(self.part), Version(self.token.0))
                .when(key.clone(), version)
                .then(Change::write(key, &next));
            let state = self.quota.entry(team.clone()).or_default();
            if lowers {
                // From here on no more than this is used, whatever becomes of the write.
                state.ceiling = Some(match state.ceiling {
                    Some(c) => Grant {
                        cpus: c.cpus.min(granted.cpus),
                        gpus: c.gpus.min(granted.gpus),
                    },
                    None => granted,
                });
            }
            env.store
                .txn(env.out, Tag::QuotaTxn(self.part, self.token), &txn);
            self.quota_flight = Some((team, next));
            return;
        }
    }

    pub fn quota_done(&mut self, result: TxnResult, env: &mut Env) {
        let now = env.now();
        let Some((team, value)) = self.quota_flight.take() else {
            return;
        };
        let key = quota_key(&team);
        let state = self.quota.entry(team).or_default();
        match result {
            TxnResult::Done(revision) => {
                state.ceiling = None;
                // The same grant is not moved again at once: every move is a write.
                state.retry_at = now.plus(QUOTA_GAP_MS);
                let value = serde_json::to_value(value).unwrap_or_default();
                env.mirror.apply(&key, Some(&value), revision);
                self.dirty = true;
            }
            TxnResult::Conflict(keys) => {
                if keys.contains(&part_key(self.part)) {
                    self.deposed = true;
                    return;
                }
                state.retry_at = now.plus(100);
                let tag = Tag::QuotaRead(self.part, self.token, key.clone());
                env.store.get(env.out, tag, &key, 1_500);
            }
            TxnResult::NotDone | TxnResult::NoLease => state.retry_at = now.plus(500),
            TxnResult::Unknown => {
                // A lowered grant stays lowered until a later write settles the key.
                state.retry_at = now.plus(500);
                let tag = Tag::QuotaRead(self.part, self.token, key.clone());
                env.store.get(env.out, tag, &key, 1_500);
            }
        }
    }

    // ---- claims --------------------------------------------------------------------------

    /// An idle part takes over tasks that wait in another part, in one conditional transaction.
    fn claim(&mut self, env: &mut Env) {
        let now = env.now();
        if self.claiming || self.waiting_here || self.free_cpus <= 0.0 || now < self.claim_at {
            return;
        }
        let used = self.machine_used();
        let mut best: Option<(WallMs, PartId, JobId, u32)> = None;
        for ((part, id), alloc) in &env.mirror.allocs {
            if *part == self.part || alloc.value.waiting.is_empty() {
                continue;
            }
            let Some(record) = env.mirror.jobs.get(id) else {
                continue;
            };
            let (Some(spec), JobState::Open) = (&record.value.spec, record.value.state) else {
                continue;
            };
            // A job whose zones are bound moves whole, before anything of it is started; a young
            // one may be about to start there.
            if (spec.zones_bound() && !alloc.value.started.is_empty())
                || env.out.wall_ms < record.value.submitted.0 + CLAIM_AGE_MS
                || self
                    .jobs
                    .get(id)
                    .is_some_and(|j| j.in_flight || !j.steps.is_empty())
            {
                continue;
            }
            let fit = self.fit(spec, env, &used);
            let older = best.as_ref().is_none_or(|b| record.value.submitted < b.0);
            if fit > 0 && older {
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
            self.claim_at = now.plus(250);
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
            .when(job_key(&id), record.version)
            .then(Change::write(theirs_key, &left))
            .then(Change::write(mine_key, &next));
        if !record.value.parts.contains(&self.part) {
            let mut job = (*record.value).clone();
            job.parts.push(self.part);
            txn = txn.then(Change::write(job_key(&id), &job));
        }
        if !env.store.may(now, Class::Starts, txn.changes.len()) {
            self.claim_at = now.plus(250);
            return;
        }
        tracing::info!(job = %id, from = %from, part = %self.part, tasks = count, "claims waiting tasks");
        self.claiming = true;
        env.store.txn(
            env.out,
            Tag::ClaimTxn(self.part, self.token, id, txn.clone()),
            &txn,
        );
    }

    /// How many tasks of a job could start here beside what is used.
    fn fit(&self, spec: &JobSpec, env: &Env, used: &HashMap<MachineId, Room>) -> u32 {
        let fresh_ms = 2 * env.cfg.settings.report_ms() + 1_000;
        let mut count = 0u32;
        for (name, m) in &self.machines {
            let zone = env.cfg.settings.deployment.zones.get(m.zone);
            let allowed = m.allowed_for(spec, zone) && m.error_streak.is_empty();
            if !allowed || !m.open(env.now(), fresh_ms) {
                continue;
            }
            if let Some(kind) = env.types.get(&m.model) {
                let mut free = kind.room();
                free.sub(used.get(name).copied().unwrap_or_default());
                count = count.saturating_add(spec.room.count_in(free));
            }
        }
        count
    }

    pub fn claim_done(&mut self, txn: &Txn, result: TxnResult, env: &mut Env) {
        let now = env.now();
        self.claiming = false;
        self.claim_at = now.plus(100);
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
            TxnResult::Conflict(_) | TxnResult::NotDone | TxnResult::NoLease => {
                self.claim_at = now.plus(500);
            }
        }
    }

    // ---- machines ------------------------------------------------------------------------

    fn tend_machines(&mut self, missing: &BTreeSet<MachineId>, env: &mut Env) {
        let now = env.now();
        let lease_ms = env.cfg.settings.lease_ms();
        let report_ms = env.cfg.settings.report_ms();
        let idle_ms = seconds_to_ms(env.cfg.ops.idle_release_s);
        let waiting = self.waiting_here;
        let mut back: Vec<MachineId> = Vec::new();
        let names: Vec<MachineId> = self.machines.keys().cloned().collect();
        for name in names {
            let busy = self.holds_tasks(&name);
            let Some(m) = self.machines.get_mut(&name) else {
                continue;
            };
            if m.returning {
                back.push(name);
                continue;
            }
            let silent = now.since(m.heard);
            let noticed = m.notice_until.is_some_and(|u| u < now);
            // Silence alone is no proof, nor is a missing name; both together make it likely enough
            // to return the machine, and only the confirmed return frees its tasks.
            let limit = if noticed || missing.contains(&name) {
                2 * report_ms
            } else {
                lease_ms + 2 * report_ms
            };
            let listed = m.listed.iter().any(|t| t.state != TaskState::Exited);
            let spent = m.draining && !busy && !listed;
            let idle = !busy
                && !listed
                && !waiting
                && m.idle_since.is_some_and(|since| now.since(since) > idle_ms);
            if silent > limit || spent || idle {
                tracing::info!(machine = %name, part = %self.part, silent_ms = silent, spent, idle,
                    "machine is returned");
                m.returning = true;
                back.push(name);
            }
        }
        if !back.is_empty() && !self.releasing && env.cloud.may(now) {
            back.truncate(100);
            self.releasing = true;
            env.cloud.release(
                env.out,
                CloudTag::PartRelease(self.part, self.token, back.clone()),
                &back,
            );
        }
    }

    /// The cloud confirmed that these machines, and all that was on them, are gone.
    pub fn returned(&mut self, machines: &[MachineId], confirmed: bool, env: &mut Env) {
        self.releasing = false;
        if !confirmed {
            return;
        }
        let now = env.now();
        for name in machines {
            if let Some(m) = self.machines.remove(name)
                && let Some((conn, _)) = m.held
            {
                env.out
                    .respond(conn, Response::later(503, "this machine was returned", 5));
            }
            if self.gone.insert(name.clone()) {
                self.gone_order.push_back(name.clone());
                if self.gone_order.len() > TOMBSTONES
                    && let Some(old) = self.gone_order.pop_front()
                {
                    self.gone.remove(&old);
                }
            }
            let held: Vec<(JobId, TaskNo, Attempt)> = self
                .jobs
                .iter()
                .flat_map(|(id, j)| {
                    j.view
                        .started
                        .get(name)
                        .into_iter()
                        .flat_map(|s| s.iter())
                        .map(|(t, a)| (id.clone(), t, a))
                        .collect::<Vec<_>>()
                })
                .collect();
            for (job, task, attempt) in held {
                self.step(now, &job, requeue(name, task, attempt));
            }
        }
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
        self.answer_held(env);
        if !fresh {
            return;
        }
        self.place(env);
        self.flush(env, false);
        self.claim(env);
        self.tend_quota(others_short, env);
        self.tend_machines(missing, env);
        if now.since(self.told_at) >= 10_000 {
            self.told_at = now;
            self.tell(env);
        }
        if now.since(self.taken) > 1_000 {
            // Reads that failed are asked again, a few times a second.
            if now.0 % 500 < 60 {
                let again: Vec<JobId> = self
                    .jobs
                    .iter()
                    .filter(|(_, j)| j.reading)
                    .map(|(id, _)| id.clone())
                    .collect();
                for id in again.into_iter().take(8) {
                    if env.store.may(now, Class::Ends, 0) {
                        let key = alloc_key(self.part, &id);
                        let tag = Tag::ShardRead(self.part, self.token, key.clone());
                        env.store.get(env.out, tag, &key, 1_500);
                    }
                }
            }
        }
    }
}

impl Machine {
    /// Whether the job may run on this type, in this zone and on this kind of machine.
    fn allowed_for(&self, spec: &JobSpec, zone: Option<&String>) -> bool {
        spec.types.as_ref().is_none_or(|t| t.contains(&self.model))
            && spec.zone.as_ref().is_none_or(|z| zone == Some(z))
            && (!self.spot || spec.spot)
    }

    fn image(&self, image: &str) -> Image {
        if self.images.contains(image) {
            Image::Cached
        } else if self.coming.contains(image) {
            Image::Coming
        } else {
            Image::Absent
        }
    }

    /// Whether tasks may be placed here.
    fn open(&self, now: Millis, fresh_ms: u64) -> bool {
        self.shown
            && !self.draining
            && !self.returning
            && self.notice_until.is_none()
            && self.full_until <= now
            && now.since(self.heard) <= fresh_ms
    }

    fn unknown(now: Millis) -> Machine {
        Machine {
            model: String::new(),
            zone: usize::MAX,
            spot: true,
            session: Session(0),
            seq: Seq(0),
            shown: false,
            heard: now,
            reported: false,
            notice_until: None,
            listed: Vec::new(),
            held: None,
            idle_since: None,
            images: HashSet::new(),
            coming: HashSet::new(),
            error_streak: Vec::new(),
            draining: false,
            returning: false,
            full_until: Millis(0),
        }
    }
}

/// The jobs that fit into their team's guarantee together with the team's earlier unfinished ones.
fn within_guarantee(env: &Env) -> HashSet<JobId> {
    let mut open: Vec<(WallMs, &JobId, &JobSpec)> = env
        .mirror
        .jobs
        .iter()
        .filter(|(_, r)| r.value.state == JobState::Open)
        .filter_map(|(id, r)| Some((r.value.submitted, id, r.value.spec.as_ref()?)))
        .collect();
    open.sort_by(|a, b| (a.0, a.1).cmp(&(b.0, b.1)));
    let mut left: HashMap<&str, Room> = env
        .cfg
        .settings
        .deployment
        .teams
        .iter()
        .map(|t| {
            let room = Room {
                cpus: t.cpus,
                gpus: t.gpus,
                mem: f64::MAX / 4.0,
            };
            (t.name.as_str(), room)
        })
        .collect();
    let mut within = HashSet::new();
    for (_, id, spec) in open {
        if let Some(left) = left.get_mut(spec.team.as_str()) {
            let whole = spec.room.times(f64::from(spec.tasks));
            if whole.fits_in(*left) {
                within.insert(id.clone());
            }
            left.sub(whole);
        }
    }
    within
}

/// This part's share of what a team's jobs have unfinished, over all parts.
fn demand_share(team: &Team, part: PartId, env: &Env) -> f64 {
    let (mut mine, mut all) = (0.0, 0.0);
    for ((p, id), alloc) in &env.mirror.allocs {
        let Some(record) = env.mirror.jobs.get(id) else {
            continue;
        };
        if let (JobState::Open, Some(spec)) = (record.value.state, &record.value.spec)
            && spec.team == *team
        {
            let tasks = alloc.value.waiting.len() + alloc.value.started_count();
            let cpus = spec.room.cpus * f64::from(tasks);
            all += cpus;
            if *p == part {
                mine += cpus;
            }
        }
    }
    if all > 0.0 {
        mine / all
    } else {
        1.0 / f64::from(env.cfg.parts)
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
