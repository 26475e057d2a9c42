//! Reconciles heartbeats with the desired state, and applies the consequences for tasks, jobs and
//! machines.

use super::Shard;
use super::job::ShardJob;
use super::job_table::StartedTask;
use super::machine::RetirementReason;
use crate::coordination::context::Context;
use snowshelf_model::ids::{Attempt, JobId, MachineId, MonotonicMillis, TaskIndex};
use snowshelf_model::protocol::worker::{ExitReason, TaskRef, TaskState, TaskStatus};
use snowshelf_model::records::{AllocationChange, AllocationChangeKind, JobKind, JobSpec};
use snowshelf_reconciliation::decision_table::{
    DesiredState, HeartbeatEvidence, ObservedState, OutcomeSignal, Reconciliation, TaskTraits,
    reconcile,
};
use std::collections::BTreeSet;

/// Backoff of a job whose tasks fail on several machines; doubles with each further failure.
const FAILURE_BACKOFF_MS: u64 = 1_000;
/// Maximum number of times that the backoff doubles.
const MAX_BACKOFF_DOUBLINGS: u32 = 5;
/// Backoff of a job after a worker did not have its description.
const NO_DESCRIPTION_BACKOFF_MS: u64 = 2_000;

/// An attempt of a task on a machine.
#[derive(Clone, Copy)]
pub(super) struct AttemptOnMachine<'a> {
    pub machine: &'a MachineId,
    pub task: &'a TaskRef,
    pub attempt: Attempt,
}

impl<'a> AttemptOnMachine<'a> {
    /// Creates a reference to an attempt of `task` on `machine`.
    pub(super) fn new(machine: &'a MachineId, task: &'a TaskRef, attempt: Attempt) -> Self {
        AttemptOnMachine {
            machine,
            task,
            attempt,
        }
    }
}

/// Returns the desired state of an attempt according to the shard's allocation of its job.
pub(super) fn desired_state(job: Option<&ShardJob>, attempt: AttemptOnMachine<'_>) -> DesiredState {
    let Some(job) = job else {
        return DesiredState::NotOurs;
    };
    let task = attempt.task.task;
    let started = job.desired.started_on(attempt.machine, task);
    let desired = started == Some(attempt.attempt);
    let durable = job.durable.started_on(attempt.machine, task) == Some(attempt.attempt);
    match (desired, durable, job.cancelled()) {
        (true, false, _) => DesiredState::Starting,
        (true, true, false) => DesiredState::Here,
        (true, true, true) => DesiredState::Cancelled,
        (false, true, false) => DesiredState::Ending,
        (false, true, true) => DesiredState::CancelledEnding,
        (false, false, _) if started.is_some() => DesiredState::OtherAttempt,
        (false, false, _) if job.desired.waiting.get(task).is_some() => DesiredState::Waiting,
        (false, false, _) if job.desired.finished.get(task).is_some() => DesiredState::Finished,
        // The task is on another machine, or belongs to another shard's allocation.
        (false, false, _) => DesiredState::Elsewhere,
    }
}

/// Returns the task properties that reconciliation depends on.
pub(super) fn task_traits(spec: Option<&JobSpec>) -> TaskTraits {
    spec.map_or(TaskTraits::default(), |s| TaskTraits {
        is_service: s.kind == JobKind::Service,
        checkpoints: s.checkpoint_interval_s > 0.0,
    })
}

/// The result of reconciling one attempt.
struct AttemptResult {
    task: TaskRef,
    attempt: Attempt,
    outcome: Reconciliation,
    /// Whether the task was stopped on purpose.
    evicted: bool,
}

impl Shard {
    /// Reconciles the newest heartbeat of a machine with the desired state. The machine has
    /// acknowledged this leader's fencing token.
    pub(super) fn reconcile_heartbeat(
        &mut self,
        name: &MachineId,
        evidence: HeartbeatEvidence,
        context: &Context<'_>,
    ) {
        let now = context.now();
        let results = self.reconcile_attempts(name, evidence, context);
        for result in results.iter().filter(|r| r.evicted) {
            self.count_eviction(name, &result.task.job, result.task.task, context);
        }
        self.update_images(name, context);
        for result in results {
            self.reconciliation.count(result.outcome.finding);
            let Some(kind) = result.outcome.change else {
                continue;
            };
            let change = AllocationChange {
                task: result.task.task,
                attempt: result.attempt,
                machine: name.clone(),
                kind,
            };
            self.apply_change(now, &result.task.job, change);
            self.apply_outcome_signal(name, &result.task, result.outcome.signal, context);
        }
        self.observe_trials(name, context);
        self.track_idle(name, now);
    }

    fn reconcile_attempts(
        &self,
        name: &MachineId,
        evidence: HeartbeatEvidence,
        context: &Context<'_>,
    ) -> Vec<AttemptResult> {
        let Some(machine) = self.machines.get(name) else {
            return Vec::new();
        };
        let (now, heartbeat_ms) = (context.now(), context.config.settings.report_ms());
        let reconcile_attempt = |task: &TaskRef, attempt: Attempt, observed, disposition| {
            let job = self.jobs.get(&task.job);
            let desired = desired_state(job, AttemptOnMachine::new(name, task, attempt));
            let traits = task_traits(job.and_then(|j| j.spec()));
            reconcile(desired, observed, evidence, disposition, traits)
        };
        let mut results = Vec::new();
        let disposition = machine.disposition(now, 0.0, heartbeat_ms);
        for item in &machine.reported_tasks {
            let observed = ObservedState::Listed(item.state, item.exit_reason);
            let outcome = reconcile_attempt(&item.task, item.attempt, observed, disposition);
            let requeued = outcome.change == Some(AllocationChangeKind::Requeue);
            results.push(AttemptResult {
                task: item.task.clone(),
                attempt: item.attempt,
                evicted: requeued && item.exit_reason == Some(ExitReason::Stopped),
                outcome,
            });
        }
        let disposition = machine.disposition_of_unstarted(now, heartbeat_ms);
        for (job, task, attempt) in self.unreported_tasks(name) {
            let task = TaskRef { job, task };
            let outcome = reconcile_attempt(&task, attempt, ObservedState::Absent, disposition);
            results.push(AttemptResult {
                task,
                attempt,
                outcome,
                evicted: false,
            });
        }
        results
    }

    /// Applies what the end of a task says about its job and its machine.
    fn apply_outcome_signal(
        &mut self,
        name: &MachineId,
        task: &TaskRef,
        signal: OutcomeSignal,
        context: &Context<'_>,
    ) {
        let now = context.now();
        match signal {
            OutcomeSignal::Neutral => {}
            OutcomeSignal::Success => {
                if let Some(m) = self.machines.get_mut(name) {
                    m.failures.clear();
                }
                if let Some(job) = self.jobs.get_mut(&task.job) {
                    job.failures.record_success();
                }
            }
            OutcomeSignal::Failure => {
                self.record_failure_on_machine(name, &task.job, now);
                self.record_dag_task_failure(&task.job, task.task, now);
            }
            OutcomeSignal::CapacityExceeded => {
                if let Some(m) = self.machines.get_mut(name) {
                    m.backoff_until = now.plus(2 * context.config.settings.report_ms());
                }
            }
            OutcomeSignal::DescriptionMissing => {
                if let Some(job) = self.jobs.get_mut(&task.job) {
                    job.placement_backoff_until = now.plus(NO_DESCRIPTION_BACKOFF_MS);
                }
            }
        }
    }

    /// Counts a failed task. Its machine is quarantined if tasks of different jobs fail on it, or
    /// if tasks of a job that works elsewhere fail on it repeatedly. A job that fails on several
    /// machines backs off instead.
    fn record_failure_on_machine(&mut self, name: &MachineId, id: &JobId, now: MonotonicMillis) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.failures.record(name);
        let works_elsewhere = !job.desired.finished.is_empty();
        let machines = job.failures.machines.len();
        if !works_elsewhere && machines >= 2 {
            let doublings = job.failures.consecutive.min(MAX_BACKOFF_DOUBLINGS);
            let wait_ms = FAILURE_BACKOFF_MS << doublings;
            job.placement_backoff_until = now.plus(wait_ms);
            tracing::info!(job = %id, machines, wait_ms, "job backing off: tasks fail on several machines");
        }
        let Some(m) = self.machines.get_mut(name) else {
            return;
        };
        m.failures.record(id, now);
        let distinct = m.failures.jobs.iter().collect::<BTreeSet<_>>().len();
        let should_quarantine = distinct >= 2 || (works_elsewhere && m.failures.jobs.len() >= 2);
        if should_quarantine && m.retirement.is_none() {
            m.retirement = Some(RetirementReason::Quarantine);
            tracing::info!(machine = %name, jobs = distinct, "machine quarantined: tasks fail");
        }
    }

    /// Counts a failed task of a DAG run. The run's definition may require a pause before the next
    /// attempt.
    fn record_dag_task_failure(&mut self, id: &JobId, task: TaskIndex, now: MonotonicMillis) {
        let Some(job) = self.jobs.get_mut(id).filter(|j| j.record.from_run) else {
            return;
        };
        *job.task_failures.entry(task).or_default() += 1;
        if job.record.retry_delay_ms > 0 {
            let resume_at = now.plus(job.record.retry_delay_ms);
            job.placement_backoff_until = job.placement_backoff_until.max(resume_at);
        }
    }

    /// Updates which images a machine has or fetches, from its newest heartbeat.
    fn update_images(&mut self, name: &MachineId, context: &Context<'_>) {
        let unreported = self.unreported_tasks(name);
        let Some(m) = self.machines.get_mut(name) else {
            return;
        };
        let local_gb = context
            .machine_types
            .get(&m.model)
            .map_or(f64::MAX, |t| t.local_gb);
        m.images.fetching.clear();
        for item in &m.reported_tasks {
            let Some(job) = self.jobs.get(&item.task.job) else {
                continue;
            };
            match item.state {
                TaskState::Running | TaskState::Checkpointing => {
                    let gb = job.spec().map_or(0.0, |s| s.pull_gb);
                    m.images.record_use(job.image_id, gb, local_gb);
                }
                TaskState::Pulling => {
                    m.images.fetching.insert(job.image_id);
                }
                TaskState::Exited => {}
            }
        }
        let starting = unreported.iter().filter_map(|(id, _, _)| self.jobs.get(id));
        let absent: Vec<u32> = starting
            .map(|j| j.image_id)
            .filter(|image| !m.images.has(*image))
            .collect();
        m.images.fetching.extend(absent);
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

    /// Returns the tasks that are started on a machine in the desired state but absent from its
    /// newest heartbeat.
    pub(super) fn unreported_tasks(&self, name: &MachineId) -> Vec<StartedTask> {
        let Some(machine) = self.machines.get(name) else {
            return Vec::new();
        };
        let is_reported = |(job, task, attempt): &StartedTask| {
            let mut reported = machine.reported_tasks.iter();
            reported.any(|t: &TaskStatus| {
                t.task.task == *task && t.attempt == *attempt && t.task.job == *job
            })
        };
        let mut tasks = self.jobs.tasks_on(name);
        tasks.retain(|task| !is_reported(task));
        tasks
    }
}
