//! Workers' reports: what they prove, and the commands that their answers carry.

use super::Shard;
use super::job::ShardJob;
use super::machine::{DeferredResponse, Machine, RetirementReason};
use crate::coordination::context::Context;
use crate::effects::Response;
use snowshelf_calendar::calendar::Pool;
use snowshelf_drain::door::{Cause, stops};
use snowshelf_model::ids::{
    Attempt, ConnectionId, JobId, MachineId, MonotonicMillis, TaskIndex, seconds_to_ms,
};
use snowshelf_model::protocol::worker::{
    Command, ExitReason, Heartbeat, HeartbeatResponse, TaskRef, TaskState, TaskStatus, redirect,
};
use snowshelf_model::records::{AllocationChange, AllocationChangeKind, JobKind, JobSpec};
use snowshelf_reconciliation::decision_table::{
    DesiredState, HeartbeatEvidence, MachineDisposition, ObservedState, OutcomeSignal,
    ReconcileAction, TaskTraits, TokenState, reconcile,
};
use snowshelf_watermark::renewal::{LeaseRenewal, RenewalRefusal, may_begin};
use std::collections::BTreeSet;

/// Most commands in one answer: keeps it under the 64 KiB that a worker accepts.
const MAX_COMMANDS: usize = 400;

impl Shard {
    /// Handles a worker's report that came at `received`. The caller has checked that the part is held; gives the
    /// report back while it may not be answered for want of knowledge.
    pub fn on_heartbeat(
        &mut self,
        conn: ConnectionId,
        report: Heartbeat,
        received: MonotonicMillis,
        context: &mut Context,
    ) -> Option<(RenewalRefusal, Heartbeat)> {
        let now = context.now();
        if report.fencing_token > self.fencing_token {
            tracing::info!(shard = %self.id, fencing_token = %self.fencing_token, seen = %report.fencing_token,
                machine = %report.machine, "shard leader deposed: worker reports a higher fencing token");
            self.fenced = true;
            redirect_worker(conn, context);
            return None;
        }
        if self.scale_in.released.contains(&report.machine) {
            // Guards against a late report of a machine whose return was confirmed.
            context
                .effects
                .respond(conn, Response::later(503, "this machine was returned", 5));
            return None;
        }
        let renewal = match context.authorize_renewal(self.id, &report.tasks, received) {
            Ok(renewal) => renewal,
            Err(why) => return Some((why, report)),
        };
        if !self.ready {
            // Its lease is kept up, and the token told. What it says is taken in with the picture.
            self.respond(conn, renewal, Vec::new(), context);
            let newest = self.early_heartbeats.get(&report.machine);
            if newest.is_none_or(|(_, r)| {
                (r.incarnation, r.sequence) < (report.incarnation, report.sequence)
            }) {
                self.early_heartbeats
                    .insert(report.machine.clone(), (now, report));
            }
            return None;
        }
        let name = report.machine.clone();
        if !self.record_heartbeat(report, now, context) {
            // Late or repeated: a newer one has settled what this one says.
            self.respond(conn, renewal, Vec::new(), context);
            return None;
        }
        if let Some(old) = self
            .machines
            .get_mut(&name)
            .and_then(|m| m.deferred_response.take())
        {
            // The worker has given that request up.
            redirect_worker(old.connection, context);
        }
        self.place(context);
        let since = now;
        let deadline = now.plus(context.config.ops.hold_ms);
        let held = DeferredResponse {
            connection: conn,
            since,
            deadline,
        };
        if self.should_defer(&name, &held, now) {
            if let Some(machine) = self.machines.get_mut(&name) {
                machine.deferred_response = Some(held);
            }
            self.flush_changes(context);
        } else {
            let commands = self.commands(&name, now, context);
            self.respond(conn, renewal, commands, context);
        }
        None
    }

    /// Takes in the reports that came before the picture was there. Nothing has been started by this
    /// owner since, so they prove what they would have proved then.
    pub(super) fn process_early_heartbeats(&mut self, context: &mut Context) {
        for (at, report) in std::mem::take(&mut self.early_heartbeats).into_values() {
            self.record_heartbeat(report, at, context);
        }
    }

    /// Takes in what a report that came at `heard` says; false if a newer one has been.
    fn record_heartbeat(
        &mut self,
        report: Heartbeat,
        heard: MonotonicMillis,
        context: &mut Context,
    ) -> bool {
        let now = context.now();
        let zone = context
            .config
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
        if machine.heartbeat_received
            && (report.incarnation, report.sequence) <= (machine.incarnation, machine.sequence)
        {
            return false;
        }
        let new_incarnation =
            machine.heartbeat_received && report.incarnation > machine.incarnation;
        if !machine.heartbeat_received {
            tracing::info!(machine = %name, shard = %self.id, model = %report.model,
                incarnation = report.incarnation.0, "first heartbeat of machine received");
            self.placement.dirty = true;
        }
        if new_incarnation {
            tracing::info!(machine = %name, incarnation = report.incarnation.0, "new agent incarnation: earlier tasks are lost");
            machine.images.coming.clear();
        }
        if machine.pool.is_none() {
            machine.pool = Some(Pool::new(&report.zone, &report.model));
        }
        machine.model = report.model;
        machine.zone = zone;
        machine.spot = report.spot;
        machine.incarnation = report.incarnation;
        machine.sequence = report.sequence;
        machine.last_heartbeat_at = heard;
        machine.heartbeat_received = true;
        let shown = report.fencing_token == self.fencing_token;
        if machine.token_acknowledged != shown {
            machine.token_acknowledged = shown;
            self.placement.dirty = true;
        }
        machine.interruption_at = report.notice_s.map(|s| heard.plus(seconds_to_ms(s)));
        machine.reported_tasks = report.tasks;
        machine.usage_dirty = true;
        let evidence = HeartbeatEvidence {
            shown: if shown {
                TokenState::Equal
            } else {
                TokenState::Behind
            },
            late: false,
            new_incarnation,
            inherited: shown && std::mem::take(&mut machine.inherited),
        };
        if shown {
            self.reconcile_heartbeat(&name, evidence, now, context);
        }
        true
    }

    /// Whether an answer should wait: a start is about to be durable, or a pass of placement that
    /// may use this machine is due.
    fn should_defer(
        &self,
        name: &MachineId,
        held: &DeferredResponse,
        now: MonotonicMillis,
    ) -> bool {
        let Some(machine) = self.machines.get(name) else {
            return false;
        };
        if now >= held.deadline || !machine.token_acknowledged || machine.releasing {
            return false;
        }
        let pass_due = self.placement.dirty
            && self.placement.last_pass_at <= held.since
            && self.placement.demand.any;
        let open =
            machine.interruption_at.is_none() && machine.retirement.is_none() && !machine.cordoned;
        self.jobs.awaits_durable_start(name) || (pass_due && open)
    }

    /// Answers a report, which renews the worker's lease: what leave was given to halt goes first.
    fn respond(
        &self,
        conn: ConnectionId,
        renewal: LeaseRenewal<(TaskRef, Attempt)>,
        commands: Vec<Command>,
        context: &mut Context,
    ) {
        let halts = renewal.into_halts();
        if halts.len() > MAX_COMMANDS {
            redirect_worker(conn, context);
            return;
        }
        let mut all: Vec<Command> = halts
            .into_iter()
            .map(|(task, attempt)| Command::Halt {
                task,
                attempt,
                grace_s: 0.0,
            })
            .collect();
        let others: Vec<Command> = commands.into_iter().filter(|c| !all.contains(c)).collect();
        all.extend(others);
        all.truncate(MAX_COMMANDS);
        let answer = HeartbeatResponse {
            fencing_token: self.fencing_token,
            commands: all,
        };
        let body = serde_json::to_vec(&answer).unwrap_or_default();
        context.effects.respond(conn, Response::new(200, body));
    }

    /// What the records and the picture say of an attempt on a machine, by the part's share of its job.
    fn desired_state(
        job: Option<&ShardJob>,
        name: &MachineId,
        task: TaskIndex,
        attempt: Attempt,
    ) -> DesiredState {
        let Some(j) = job else {
            return DesiredState::NotOurs;
        };
        let here = j.desired.started_on(name, task);
        let viewed = here == Some(attempt);
        let durable = j.durable.started_on(name, task) == Some(attempt);
        match (viewed, durable, j.cancelled()) {
            (true, false, _) => DesiredState::Starting,
            (true, true, false) => DesiredState::Here,
            (true, true, true) => DesiredState::Cancelled,
            (false, true, false) => DesiredState::Ending,
            (false, true, true) => DesiredState::CancelledEnding,
            (false, false, _) if here.is_some() => DesiredState::OtherAttempt,
            (false, false, _) if j.desired.waiting.get(task).is_some() => DesiredState::Waiting,
            (false, false, _) if j.desired.finished.get(task).is_some() => DesiredState::Finished,
            // On another machine, or in another part's share.
            (false, false, _) => DesiredState::Elsewhere,
        }
    }

    fn task_traits(spec: Option<&JobSpec>) -> TaskTraits {
        spec.map_or(TaskTraits::default(), |s| TaskTraits {
            standing: s.kind == JobKind::Service,
            saves: s.checkpoint_s > 0.0,
        })
    }

    /// Draws what the newest report proves. The machine has shown this owner's token.
    fn reconcile_heartbeat(
        &mut self,
        name: &MachineId,
        evidence: HeartbeatEvidence,
        now: MonotonicMillis,
        context: &Context,
    ) {
        let Some(machine) = self.machines.get(name) else {
            return;
        };
        let heartbeat_ms = context.config.settings.report_ms();
        let leaving = machine.disposition(now, 0.0, heartbeat_ms);
        let unbegun = machine.disposition_of_unstarted(now, heartbeat_ms);
        let listed = machine.reported_tasks.clone();
        let (mut proofs, mut stopped) = (Vec::new(), Vec::new());
        for item in &listed {
            let (job, task, attempt) = (&item.task.job, item.task.task, item.attempt);
            let ours = self.jobs.get(job);
            let stored = Self::desired_state(ours, name, task, attempt);
            let nature = Self::task_traits(ours.and_then(|j| j.spec()));
            let reported = ObservedState::Listed(item.state, item.why);
            let cell = reconcile(stored, reported, evidence, leaving, nature);
            if item.why == Some(ExitReason::Stopped)
                && cell.write == Some(AllocationChangeKind::Requeue)
            {
                stopped.push((job.clone(), task));
            }
            proofs.push((cell, job.clone(), task, attempt));
        }
        for (job, task, attempt) in self.unreported_tasks(name) {
            let ours = self.jobs.get(&job);
            let stored = Self::desired_state(ours, name, task, attempt);
            let nature = Self::task_traits(ours.and_then(|j| j.spec()));
            let cell = reconcile(stored, ObservedState::Absent, evidence, unbegun, nature);
            proofs.push((cell, job, task, attempt));
        }
        for (job, task) in stopped {
            self.count_eviction(name, &job, task, context);
        }
        self.note_images(name, &listed, context);
        for (cell, job, task, attempt) in proofs {
            self.reconciliation.count(cell.finding);
            let Some(what) = cell.write else { continue };
            let machine = name.clone();
            let step = AllocationChange {
                task,
                attempt,
                machine,
                what,
            };
            self.apply_change(now, &job, step);
            self.apply_outcome_signal(name, &job, task, cell.tells, now, context);
        }
        self.track_idle(name, now);
    }

    /// What a task's end says of its job and its machine.
    fn apply_outcome_signal(
        &mut self,
        name: &MachineId,
        job: &JobId,
        task: TaskIndex,
        tells: OutcomeSignal,
        now: MonotonicMillis,
        context: &Context,
    ) {
        match tells {
            OutcomeSignal::Nothing => {}
            OutcomeSignal::Works => {
                if let Some(m) = self.machines.get_mut(name) {
                    m.failed_jobs.clear();
                }
                if let Some(j) = self.jobs.get_mut(job) {
                    j.consecutive_failures = 0;
                }
            }
            OutcomeSignal::Fails => {
                self.record_task_failure(name, job, now);
                if let Some(j) = self.jobs.get_mut(job).filter(|j| j.record.run) {
                    *j.task_failures.entry(task).or_default() += 1;
                    if j.record.pause_ms > 0 {
                        j.placement_backoff_until =
                            j.placement_backoff_until.max(now.plus(j.record.pause_ms));
                    }
                }
            }
            OutcomeSignal::Full => {
                if let Some(m) = self.machines.get_mut(name) {
                    m.backoff_until = now.plus(2 * context.config.settings.report_ms());
                }
            }
            OutcomeSignal::NoDescription => {
                if let Some(j) = self.jobs.get_mut(job) {
                    j.placement_backoff_until = now.plus(2_000);
                }
            }
        }
    }

    /// Which images the machine has and which it fetches, by its newest report.
    fn note_images(&mut self, name: &MachineId, listed: &[TaskStatus], context: &Context) {
        let unlisted = self.unreported_tasks(name);
        let Some(m) = self.machines.get_mut(name) else {
            return;
        };
        let local_gb = context.types.get(&m.model).map_or(f64::MAX, |t| t.local_gb);
        let jobs = &self.jobs;
        m.images.coming.clear();
        for item in listed {
            let Some(job) = jobs.get(&item.task.job) else {
                continue;
            };
            match item.state {
                TaskState::Running | TaskState::Saving => {
                    let gb = job.spec().map_or(0.0, |s| s.pull_gb);
                    m.images.used(job.image_id, gb, local_gb);
                }
                TaskState::Pulling => {
                    m.images.coming.insert(job.image_id);
                }
                TaskState::Exited => {}
            }
        }
        let started = unlisted.iter().filter_map(|(id, _, _)| jobs.get(id));
        let absent: Vec<u32> = started
            .map(|j| j.image_id)
            .filter(|image| !m.images.has(*image))
            .collect();
        m.images.coming.extend(absent);
    }

    fn track_idle(&mut self, name: &MachineId, now: MonotonicMillis) {
        let busy = self.jobs.has_tasks_on(name);
        if let Some(m) = self.machines.get_mut(name) {
            if busy || m.reports_live_tasks() {
                m.idle_since = None;
            } else if m.idle_since.is_none() {
                m.idle_since = Some(now);
            }
        }
    }

    /// Tasks held by the picture on this machine that its newest report does not list.
    fn unreported_tasks(&self, name: &MachineId) -> Vec<(JobId, TaskIndex, Attempt)> {
        let Some(machine) = self.machines.get(name) else {
            return Vec::new();
        };
        let listed = |id: &JobId, task: TaskIndex, attempt: Attempt| {
            let mut tasks = machine.reported_tasks.iter();
            tasks.any(|t| t.task.task == task && t.attempt == attempt && t.task.job == *id)
        };
        let mut found = Vec::new();
        for (id, job) in self.jobs.on_machine(name) {
            for (task, attempt) in job
                .desired
                .started
                .get(name)
                .into_iter()
                .flat_map(|s| s.iter())
            {
                if !listed(id, task, attempt) {
                    found.push((id.clone(), task, attempt));
                }
            }
        }
        found
    }

    /// A task failed. A machine is to blame when different jobs fail on it, or when one fails that
    /// works elsewhere; a job that fails on several machines is held back instead.
    fn record_task_failure(&mut self, name: &MachineId, job: &JobId, now: MonotonicMillis) {
        let Some(entry) = self.jobs.get_mut(job) else {
            return;
        };
        entry.consecutive_failures += 1;
        entry.failed_on.insert(name.clone());
        let works = !entry.desired.finished.is_empty();
        let spread = entry.failed_on.len();
        if !works && spread >= 2 {
            let wait = 1_000u64 << entry.consecutive_failures.min(5);
            entry.placement_backoff_until = now.plus(wait);
            tracing::info!(job = %job, machines = spread, wait_ms = wait, "job backing off: tasks fail on several machines");
        }
        if let Some(m) = self.machines.get_mut(name) {
            m.failed_jobs.push(job.clone());
            let distinct: BTreeSet<&JobId> = m.failed_jobs.iter().collect();
            let guilty = distinct.len() >= 2 || (works && m.failed_jobs.len() >= 2);
            if guilty && m.retirement.is_none() {
                m.retirement = Some(RetirementReason::Fault);
                tracing::info!(machine = %name, jobs = distinct.len(), "machine quarantined: tasks fail");
            }
        }
    }

    fn commands(&self, name: &MachineId, now: MonotonicMillis, context: &Context) -> Vec<Command> {
        let Some(machine) = self.machines.get(name) else {
            return Vec::new();
        };
        if !machine.token_acknowledged {
            // An earlier owner might still command it: only the token goes out.
            return Vec::new();
        }
        let heartbeat_ms = context.config.settings.report_ms();
        let begins = may_begin(context.watermark, now);
        let mut commands = Vec::new();
        let mut order = |machine_leaves, reported, task: TaskRef, attempt| {
            let job = self.jobs.get(&task.job);
            let spec = job.and_then(|j| j.spec());
            let save_s = spec.map_or(0.0, |s| s.save_s);
            let leaving = match machine_leaves {
                Some(leaving) => leaving,
                // One door for every cause.
                None => match stops(self.eviction_grounds(name, &task.job, task.task, context)) {
                    None | Some(Cause::Cancelled | Cause::Notice) => {
                        machine.disposition(now, save_s, heartbeat_ms)
                    }
                    Some(_) => MachineDisposition::Drained,
                },
            };
            let mut stored = Self::desired_state(job, name, task.task, attempt);
            // Halted, and not commanded any more, whoever says so. Written it is only once the mirror shows it.
            if context.attested.contains_key(&task.job) {
                stored = stored.if_cancelled();
            }
            let nature = Self::task_traits(spec);
            let cell = reconcile(stored, reported, HeartbeatEvidence::PLAIN, leaving, nature);
            // Guards against a task that begins long after a cancellation which this owner could not hear of.
            let order = cell.order.filter(|o| begins || *o != ReconcileAction::Run);
            commands.extend(order.map(|order| match order {
                ReconcileAction::Run => Command::Run { task, attempt },
                ReconcileAction::Reap => Command::Reap { task, attempt },
                ReconcileAction::Kill | ReconcileAction::Stop => Command::Halt {
                    task,
                    attempt,
                    grace_s: if order == ReconcileAction::Stop {
                        save_s
                    } else {
                        0.0
                    },
                },
            }));
        };
        for item in &machine.reported_tasks {
            let reported = ObservedState::Listed(item.state, item.why);
            order(None, reported, item.task.clone(), item.attempt);
        }
        // Whether a task has to make room matters only to one that is there.
        let leaving = Some(machine.disposition_of_unstarted(now, heartbeat_ms));
        for (job, task, attempt) in self.unreported_tasks(name) {
            order(
                leaving,
                ObservedState::Absent,
                TaskRef { job, task },
                attempt,
            );
        }
        commands
    }

    /// Answers the workers whose start is committed or who cannot wait any longer.
    pub(super) fn send_deferred_responses(&mut self, context: &mut Context) {
        let now = context.now();
        let held: Vec<(MachineId, DeferredResponse)> = self
            .machines
            .iter()
            .filter_map(|(n, m)| m.deferred_response.map(|h| (n.clone(), h)))
            .collect();
        for (name, held) in held {
            if self.should_defer(&name, &held, now) {
                continue;
            }
            if let Some(m) = self.machines.get_mut(&name) {
                m.deferred_response = None;
            }
            let Some(machine) = self.machines.get(&name) else {
                continue;
            };
            match context.authorize_renewal(self.id, &machine.reported_tasks, held.since) {
                Ok(renewal) => {
                    let commands = self.commands(&name, now, context);
                    self.respond(held.connection, renewal, commands, context);
                }
                Err(_) => redirect_worker(held.connection, context),
            }
        }
    }

    /// Lets go of every worker that waits: this owner may not answer any more.
    pub fn redirect_deferred_requests(&mut self, context: &mut Context) {
        for machine in self.machines.values_mut() {
            if let Some(held) = machine.deferred_response.take() {
                redirect_worker(held.connection, context);
            }
        }
    }
}

/// Lets a worker look for an owner elsewhere; its lease is as it was.
fn redirect_worker(conn: ConnectionId, context: &mut Context) {
    context
        .effects
        .respond(conn, Response::new(421, redirect(None)));
}
