//! Workers' reports: what they prove, and the commands that their answers carry.

use super::Shard;
use super::job::ShardJob;
use super::machine::{Drained, Held, Machine};
use crate::coordination::context::Context;
use crate::effects::Response;
use snowshelf_calendar::calendar::Pool;
use snowshelf_drain::door::{Cause, stops};
use snowshelf_model::ids::{
    Attempt, ConnectionId, JobId, MachineId, MonotonicMillis, TaskIndex, seconds_to_ms,
};
use snowshelf_model::protocol::worker::{
    Command, ExitReason, Heartbeat, HeartbeatResponse, TaskRef, TaskState, TaskStatus,
    redirect_body,
};
use snowshelf_model::records::{AllocationChange, AllocationChangeKind, JobKind, JobSpec};
use snowshelf_reconciliation::decision_table::{
    DesiredState, HeartbeatEvidence, MachineDisposition, ObservedState, OutcomeSignal,
    ReconcileAction, TaskTraits, TokenState, reconcile,
};
use snowshelf_watermark::renewal::{LeaseRenewal, RenewalRefusal, may_start};
use std::collections::BTreeSet;

/// Most commands in one answer: keeps it under the 64 KiB that a worker accepts.
const MAX_COMMANDS: usize = 400;

impl Shard {
    /// Handles a worker's report that came at `received`. The caller has checked that the part is held; gives the
    /// report back while it may not be answered for want of knowledge.
    pub fn check_in(
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
            self.deposed = true;
            let_go(conn, context);
            return None;
        }
        if self.gone.contains(&report.machine) {
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
            self.answer(conn, renewal, Vec::new(), context);
            let newest = self.early.get(&report.machine);
            if newest.is_none_or(|(_, r)| {
                (r.incarnation, r.sequence) < (report.incarnation, report.sequence)
            }) {
                self.early.insert(report.machine.clone(), (now, report));
            }
            return None;
        }
        let name = report.machine.clone();
        if !self.take_in(report, now, context) {
            // Late or repeated: a newer one has settled what this one says.
            self.answer(conn, renewal, Vec::new(), context);
            return None;
        }
        if let Some(old) = self.machines.get_mut(&name).and_then(|m| m.held.take()) {
            // The worker has given that request up.
            let_go(old.conn, context);
        }
        self.place(context);
        let since = now;
        let deadline = now.plus(context.config.ops.hold_ms);
        let held = Held {
            conn,
            since,
            deadline,
        };
        if self.worth_waiting(&name, &held, now) {
            if let Some(machine) = self.machines.get_mut(&name) {
                machine.held = Some(held);
            }
            self.flush(context);
        } else {
            let commands = self.commands(&name, now, context);
            self.answer(conn, renewal, commands, context);
        }
        None
    }

    /// Takes in the reports that came before the picture was there. Nothing has been started by this
    /// owner since, so they prove what they would have proved then.
    pub(super) fn take_early(&mut self, context: &mut Context) {
        for (at, report) in std::mem::take(&mut self.early).into_values() {
            self.take_in(report, at, context);
        }
    }

    /// Takes in what a report that came at `heard` says; false if a newer one has been.
    fn take_in(
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
        if machine.reported
            && (report.incarnation, report.sequence) <= (machine.incarnation, machine.sequence)
        {
            return false;
        }
        let new_incarnation = machine.reported && report.incarnation > machine.incarnation;
        if !machine.reported {
            tracing::info!(machine = %name, shard = %self.id, model = %report.model,
                incarnation = report.incarnation.0, "first heartbeat of machine received");
            self.dirty = true;
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
        machine.heard = heard;
        machine.reported = true;
        let shown = report.fencing_token == self.fencing_token;
        if machine.shown != shown {
            machine.shown = shown;
            self.dirty = true;
        }
        machine.notice_until = report.notice_s.map(|s| heard.plus(seconds_to_ms(s)));
        machine.listed = report.tasks;
        machine.stale = true;
        let evidence = HeartbeatEvidence {
            token: if shown {
                TokenState::Equal
            } else {
                TokenState::Behind
            },
            superseded: false,
            new_incarnation,
            inherited: shown && std::mem::take(&mut machine.inherited),
        };
        if shown {
            self.settle(&name, evidence, now, context);
        }
        true
    }

    /// Whether an answer should wait: a start is about to be durable, or a pass of placement that
    /// may use this machine is due.
    fn worth_waiting(&self, name: &MachineId, held: &Held, now: MonotonicMillis) -> bool {
        let Some(machine) = self.machines.get(name) else {
            return false;
        };
        if now >= held.deadline || !machine.shown || machine.returning {
            return false;
        }
        let pass_due = self.dirty && self.placed_at <= held.since && self.matched.any;
        let open = machine.notice_until.is_none() && machine.draining.is_none() && !machine.closed;
        self.awaits_start(name) || (pass_due && open)
    }

    /// Answers a report, which renews the worker's lease: what leave was given to halt goes first.
    fn answer(
        &self,
        conn: ConnectionId,
        renewal: LeaseRenewal<(TaskRef, Attempt)>,
        commands: Vec<Command>,
        context: &mut Context,
    ) {
        let halts = renewal.into_halts();
        if halts.len() > MAX_COMMANDS {
            let_go(conn, context);
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
    fn stored(
        job: Option<&ShardJob>,
        name: &MachineId,
        task: TaskIndex,
        attempt: Attempt,
    ) -> DesiredState {
        let Some(j) = job else {
            return DesiredState::NotOurs;
        };
        let here = j.view.started_on(name, task);
        let viewed = here == Some(attempt);
        let durable = j.durable.started_on(name, task) == Some(attempt);
        match (viewed, durable, j.cancelled()) {
            (true, false, _) => DesiredState::Starting,
            (true, true, false) => DesiredState::Here,
            (true, true, true) => DesiredState::Cancelled,
            (false, true, false) => DesiredState::Ending,
            (false, true, true) => DesiredState::CancelledEnding,
            (false, false, _) if here.is_some() => DesiredState::OtherAttempt,
            (false, false, _) if j.view.waiting.get(task).is_some() => DesiredState::Waiting,
            (false, false, _) if j.view.finished.get(task).is_some() => DesiredState::Finished,
            // On another machine, or in another part's share.
            (false, false, _) => DesiredState::Elsewhere,
        }
    }

    fn nature(spec: Option<&JobSpec>) -> TaskTraits {
        spec.map_or(TaskTraits::default(), |s| TaskTraits {
            is_service: s.kind == JobKind::Service,
            checkpoints: s.checkpoint_interval_s > 0.0,
        })
    }

    /// Draws what the newest report proves. The machine has shown this owner's token.
    fn settle(
        &mut self,
        name: &MachineId,
        evidence: HeartbeatEvidence,
        now: MonotonicMillis,
        context: &Context,
    ) {
        let Some(machine) = self.machines.get(name) else {
            return;
        };
        let report_ms = context.config.settings.report_ms();
        let leaving = machine.leaving(now, 0.0, report_ms);
        let unbegun = machine.leaving_unbegun(now, report_ms);
        let listed = machine.listed.clone();
        let (mut proofs, mut stopped) = (Vec::new(), Vec::new());
        for item in &listed {
            let (job, task, attempt) = (&item.task.job, item.task.task, item.attempt);
            let ours = self.jobs.get(job);
            let stored = Self::stored(ours, name, task, attempt);
            let nature = Self::nature(ours.and_then(|j| j.spec()));
            let reported = ObservedState::Listed(item.state, item.exit_reason);
            let cell = reconcile(stored, reported, evidence, leaving, nature);
            if item.exit_reason == Some(ExitReason::Stopped)
                && cell.change == Some(AllocationChangeKind::Requeue)
            {
                stopped.push((job.clone(), task));
            }
            proofs.push((cell, job.clone(), task, attempt));
        }
        for (job, task, attempt) in self.unlisted(name) {
            let ours = self.jobs.get(&job);
            let stored = Self::stored(ours, name, task, attempt);
            let nature = Self::nature(ours.and_then(|j| j.spec()));
            let cell = reconcile(stored, ObservedState::Absent, evidence, unbegun, nature);
            proofs.push((cell, job, task, attempt));
        }
        for (job, task) in stopped {
            self.count_stop(name, &job, task, context);
        }
        self.note_images(name, &listed, context);
        for (cell, job, task, attempt) in proofs {
            self.reconciliation.count(cell.finding);
            let Some(kind) = cell.change else { continue };
            let machine = name.clone();
            let step = AllocationChange {
                task,
                attempt,
                machine,
                kind,
            };
            self.step(now, &job, step);
            self.told(name, &job, task, cell.signal, now, context);
        }
        self.track_idle(name, now);
    }

    /// What a task's end says of its job and its machine.
    fn told(
        &mut self,
        name: &MachineId,
        job: &JobId,
        task: TaskIndex,
        tells: OutcomeSignal,
        now: MonotonicMillis,
        context: &Context,
    ) {
        match tells {
            OutcomeSignal::Neutral => {}
            OutcomeSignal::Success => {
                if let Some(m) = self.machines.get_mut(name) {
                    m.error_streak.clear();
                }
                if let Some(j) = self.jobs.get_mut(job) {
                    j.failures = 0;
                }
            }
            OutcomeSignal::Failure => {
                self.blame(name, job, now);
                if let Some(j) = self.jobs.get_mut(job).filter(|j| j.spec.run) {
                    *j.errors.entry(task).or_default() += 1;
                    if j.spec.pause_ms > 0 {
                        j.retry_at = j.retry_at.max(now.plus(j.spec.pause_ms));
                    }
                }
            }
            OutcomeSignal::CapacityExceeded => {
                if let Some(m) = self.machines.get_mut(name) {
                    m.full_until = now.plus(2 * context.config.settings.report_ms());
                }
            }
            OutcomeSignal::DescriptionMissing => {
                if let Some(j) = self.jobs.get_mut(job) {
                    j.retry_at = now.plus(2_000);
                }
            }
        }
    }

    /// Which images the machine has and which it fetches, by its newest report.
    fn note_images(&mut self, name: &MachineId, listed: &[TaskStatus], context: &Context) {
        let unlisted = self.unlisted(name);
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
                TaskState::Running | TaskState::Checkpointing => {
                    let gb = job.spec().map_or(0.0, |s| s.pull_gb);
                    m.images.used(job.image, gb, local_gb);
                }
                TaskState::Pulling => {
                    m.images.coming.insert(job.image);
                }
                TaskState::Exited => {}
            }
        }
        let started = unlisted.iter().filter_map(|(id, _, _)| jobs.get(id));
        let absent: Vec<u32> = started
            .map(|j| j.image)
            .filter(|image| !m.images.has(*image))
            .collect();
        m.images.coming.extend(absent);
    }

    fn track_idle(&mut self, name: &MachineId, now: MonotonicMillis) {
        let busy = self.holds_tasks(name);
        if let Some(m) = self.machines.get_mut(name) {
            if busy || m.lists_tasks() {
                m.idle_since = None;
            } else if m.idle_since.is_none() {
                m.idle_since = Some(now);
            }
        }
    }

    /// Tasks held by the picture on this machine that its newest report does not list.
    fn unlisted(&self, name: &MachineId) -> Vec<(JobId, TaskIndex, Attempt)> {
        let Some(machine) = self.machines.get(name) else {
            return Vec::new();
        };
        let listed = |id: &JobId, task: TaskIndex, attempt: Attempt| {
            let mut tasks = machine.listed.iter();
            tasks.any(|t| t.task.task == task && t.attempt == attempt && t.task.job == *id)
        };
        let mut found = Vec::new();
        for (id, job) in self.jobs_on(name) {
            for (task, attempt) in job
                .view
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
    fn blame(&mut self, name: &MachineId, job: &JobId, now: MonotonicMillis) {
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
            tracing::info!(job = %job, machines = spread, wait_ms = wait, "job backing off: tasks fail on several machines");
        }
        if let Some(m) = self.machines.get_mut(name) {
            m.error_streak.push(job.clone());
            let distinct: BTreeSet<&JobId> = m.error_streak.iter().collect();
            let guilty = distinct.len() >= 2 || (works && m.error_streak.len() >= 2);
            if guilty && m.draining.is_none() {
                m.draining = Some(Drained::Fault);
                tracing::info!(machine = %name, jobs = distinct.len(), "machine quarantined: tasks fail");
            }
        }
    }

    fn commands(&self, name: &MachineId, now: MonotonicMillis, context: &Context) -> Vec<Command> {
        let Some(machine) = self.machines.get(name) else {
            return Vec::new();
        };
        if !machine.shown {
            // An earlier owner might still command it: only the token goes out.
            return Vec::new();
        }
        let report_ms = context.config.settings.report_ms();
        let begins = may_start(context.watermark, now);
        let mut commands = Vec::new();
        let mut order = |machine_leaves, reported, task: TaskRef, attempt| {
            let job = self.jobs.get(&task.job);
            let spec = job.and_then(|j| j.spec());
            let save_s = spec.map_or(0.0, |s| s.checkpoint_duration_s);
            let leaving = match machine_leaves {
                Some(leaving) => leaving,
                // One door for every cause.
                None => match stops(self.grounds(name, &task.job, task.task, context)) {
                    None | Some(Cause::Cancelled | Cause::Notice) => {
                        machine.leaving(now, save_s, report_ms)
                    }
                    Some(_) => MachineDisposition::Evicting,
                },
            };
            let mut stored = Self::stored(job, name, task.task, attempt);
            // Halted, and not commanded any more, whoever says so. Written it is only once the mirror shows it.
            if context.peer_confirmed.contains_key(&task.job) {
                stored = stored.if_cancelled();
            }
            let nature = Self::nature(spec);
            let cell = reconcile(stored, reported, HeartbeatEvidence::PLAIN, leaving, nature);
            // Guards against a task that begins long after a cancellation which this owner could not hear of.
            let order = cell.action.filter(|o| begins || *o != ReconcileAction::Run);
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
        for item in &machine.listed {
            let reported = ObservedState::Listed(item.state, item.exit_reason);
            order(None, reported, item.task.clone(), item.attempt);
        }
        // Whether a task has to make room matters only to one that is there.
        let leaving = Some(machine.leaving_unbegun(now, report_ms));
        for (job, task, attempt) in self.unlisted(name) {
            order(
                leaving,
                ObservedState::Absent,
                TaskRef { job, task },
                attempt,
            );
        }
        commands
    }

    /// Whether the picture has starts on this machine that are not durable yet.
    pub(super) fn awaits_start(&self, name: &MachineId) -> bool {
        self.jobs_on(name).any(|(_, j)| {
            let durable = j.durable.started.get(name);
            j.view.started.get(name).is_some_and(|v| match durable {
                Some(d) => d != v && v.iter().any(|(task, a)| d.get(task) != Some(a)),
                None => true,
            })
        })
    }

    /// Whether the picture has tasks on this machine.
    pub(super) fn holds_tasks(&self, name: &MachineId) -> bool {
        self.on.contains_key(name)
    }

    /// Answers the workers whose start is committed or who cannot wait any longer.
    pub(super) fn answer_held(&mut self, context: &mut Context) {
        let now = context.now();
        let held: Vec<(MachineId, Held)> = self
            .machines
            .iter()
            .filter_map(|(n, m)| m.held.map(|h| (n.clone(), h)))
            .collect();
        for (name, held) in held {
            if self.worth_waiting(&name, &held, now) {
                continue;
            }
            if let Some(m) = self.machines.get_mut(&name) {
                m.held = None;
            }
            let Some(machine) = self.machines.get(&name) else {
                continue;
            };
            match context.authorize_renewal(self.id, &machine.listed, held.since) {
                Ok(renewal) => {
                    let commands = self.commands(&name, now, context);
                    self.answer(held.conn, renewal, commands, context);
                }
                Err(_) => let_go(held.conn, context),
            }
        }
    }

    /// Lets go of every worker that waits: this owner may not answer any more.
    pub fn drop_held(&mut self, context: &mut Context) {
        for machine in self.machines.values_mut() {
            if let Some(held) = machine.held.take() {
                let_go(held.conn, context);
            }
        }
    }
}

/// Lets a worker look for an owner elsewhere; its lease is as it was.
fn let_go(conn: ConnectionId, context: &mut Context) {
    context
        .effects
        .respond(conn, Response::new(421, redirect_body(None)));
}
