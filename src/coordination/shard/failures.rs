//! Failures of tasks as their job and their machine remember them, and the trials that end this memory.
//!
//! After failures, a job or a machine is given one task at a time: a trial. A trial that completes, or that runs for a
//! while, shows that the job or the machine works; a trial that fails delays the next one. Tasks that were started
//! before do not count, because a replica of a service never completes.

use super::Shard;
use super::job_table::JobTable;
use super::machine::Machine;
use crate::coordination::context::Context;
use snowshelf_model::ids::{Attempt, JobId, MachineId, MonotonicMillis, TaskIndex};
use snowshelf_model::protocol::worker::{TaskState, TaskStatus};
use std::collections::BTreeSet;

/// After this many consecutive failures without a completed task, a job's tasks are tried one at a
/// time.
const FAILURES_BEFORE_TRIALS: u32 = 2;
/// A trial that has run for this long counts as a success, in milliseconds.
const STABLE_RUN_MS: u64 = 10_000;
/// Delay before a job is tried again on a machine on which its tasks failed, in milliseconds;
/// doubles with each further failure there.
const RETRY_DELAY_MS: u64 = 5_000;
/// Maximum number of times that the delay doubles.
const MAX_RETRY_DOUBLINGS: u32 = 3;

/// A task that was started to see whether it works.
#[derive(Clone, Debug)]
pub(super) struct Trial {
    pub job: JobId,
    pub task: TaskIndex,
    pub attempt: Attempt,
    pub machine: MachineId,
    /// When its machine first reported it as running.
    running_since: Option<MonotonicMillis>,
}

impl Trial {
    /// Creates the trial of a task that has just been started.
    pub(super) fn new(
        job: &JobId,
        task: TaskIndex,
        attempt: Attempt,
        machine: &MachineId,
    ) -> Trial {
        Trial {
            job: job.clone(),
            task,
            attempt,
            machine: machine.clone(),
            running_since: None,
        }
    }

    /// Whether the task is still started on its machine in the desired state.
    fn is_pending(&self, jobs: &JobTable) -> bool {
        let job = jobs.get(&self.job);
        let started = job.and_then(|j| j.desired.started_on(&self.machine, self.task));
        started == Some(self.attempt)
    }

    /// Takes in a heartbeat of the trial's machine. Returns whether the task has run long enough to count as a
    /// success.
    fn observe(&mut self, reported: &[TaskStatus], now: MonotonicMillis) -> bool {
        let is_running = reported.iter().any(|status| {
            status.state == TaskState::Running
                && status.attempt == self.attempt
                && status.task.task == self.task
                && status.task.job == self.job
        });
        if !is_running {
            return false;
        }
        let since = *self.running_since.get_or_insert(now);
        now.since(since) >= STABLE_RUN_MS
    }
}

/// Failures of a job's tasks, as known to this leader.
#[derive(Default)]
pub(super) struct JobFailures {
    /// Machines on which a task of the job has failed.
    pub machines: BTreeSet<MachineId>,
    /// Failures since a task last completed or a trial succeeded.
    pub consecutive: u32,
    trial: Option<Trial>,
}

impl JobFailures {
    /// Counts a failure on a machine.
    pub(super) fn record(&mut self, machine: &MachineId) {
        self.consecutive += 1;
        self.machines.insert(machine.clone());
    }

    /// Records that a task of the job works.
    pub(super) fn record_success(&mut self) {
        self.consecutive = 0;
        self.trial = None;
    }

    /// Whether the job's tasks are tried one at a time.
    pub(super) fn requires_trial(&self) -> bool {
        self.consecutive >= FAILURES_BEFORE_TRIALS
    }
}

/// Failures of tasks on a machine since a task last completed there or a trial succeeded.
#[derive(Default)]
pub(super) struct MachineFailures {
    /// Jobs whose tasks have failed, one entry per failure.
    pub jobs: Vec<JobId>,
    /// The jobs whose tasks have failed here are not tried again before this time.
    pub retry_at: MonotonicMillis,
    trial: Option<Trial>,
}

impl MachineFailures {
    /// Whether the machine is given one task at a time.
    pub(super) fn requires_trial(&self) -> bool {
        !self.jobs.is_empty()
    }

    /// Counts a failure of a job's task.
    pub(super) fn record(&mut self, job: &JobId, now: MonotonicMillis) {
        let doublings = (self.jobs.len() as u32).min(MAX_RETRY_DOUBLINGS);
        self.jobs.push(job.clone());
        self.retry_at = now.plus(RETRY_DELAY_MS << doublings);
    }

    /// Records that tasks work here.
    pub(super) fn clear(&mut self) {
        *self = MachineFailures::default();
    }

    /// Returns the trial that has not ended, if any.
    pub(super) fn pending_trial(&self, jobs: &JobTable) -> Option<&Trial> {
        self.trial.as_ref().filter(|trial| trial.is_pending(jobs))
    }
}

impl Shard {
    /// Whether a job's tasks are tried one at a time and one of them is being tried.
    pub(super) fn awaits_trial(&self, job: &JobId) -> bool {
        let failures = self.jobs.get(job).map(|j| &j.failures);
        failures.is_some_and(|f| {
            f.requires_trial() && f.trial.as_ref().is_some_and(|t| t.is_pending(&self.jobs))
        })
    }

    /// Remembers a task that has just been started as the trial of its job and of its machine, where they require
    /// one.
    pub(super) fn begin_trial(&mut self, trial: Trial) {
        if let Some(job) = self.jobs.get_mut(&trial.job)
            && job.failures.requires_trial()
        {
            job.failures.trial = Some(trial.clone());
        }
        if let Some(machine) = self.machines.get_mut(&trial.machine)
            && machine.failures.requires_trial()
        {
            machine.failures.trial = Some(trial);
        }
    }

    /// Ends the trials that have run on a machine for long enough, according to its newest heartbeat.
    pub(super) fn observe_trials(&mut self, name: &MachineId, context: &Context<'_>) {
        let now = context.now();
        let Some(machine) = self.machines.get_mut(name) else {
            return;
        };
        let Machine {
            failures,
            reported_tasks,
            ..
        } = machine;
        let trial = failures.trial.as_mut();
        if trial.is_some_and(|t| t.observe(reported_tasks, now)) {
            tracing::info!(machine = %name, failures = failures.jobs.len(), "machine runs tasks again");
            failures.clear();
            self.placement.dirty = true;
        }
        let on_machine = self.jobs.on_machine(name);
        let tried = on_machine.filter(|(_, job)| job.failures.trial.is_some());
        let tried: Vec<JobId> = tried.map(|(id, _)| id.clone()).collect();
        for id in tried {
            let Some(job) = self.jobs.get_mut(&id) else {
                continue;
            };
            let trial = job.failures.trial.as_mut();
            if trial.is_some_and(|t| t.machine == *name && t.observe(reported_tasks, now)) {
                tracing::info!(job = %id, machine = %name, failures = job.failures.consecutive, "job runs again after failures");
                job.failures.record_success();
                self.placement.dirty = true;
            }
        }
    }
}
