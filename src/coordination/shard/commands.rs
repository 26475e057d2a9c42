//! The commands sent to a worker in the response to its heartbeat.

use super::Shard;
use super::heartbeats::redirect_worker;
use super::machine::Machine;
use super::reconciling::{AttemptOnMachine, desired_state, task_traits};
use crate::coordination::context::Context;
use crate::effects::Response;
use snowshelf_drain::eviction::{EvictionCause, eviction_cause};
use snowshelf_model::ids::{Attempt, ConnectionId, MachineId};
use snowshelf_model::protocol::worker::{Command, HeartbeatResponse, TaskRef};
use snowshelf_reconciliation::decision_table::{
    HeartbeatEvidence, MachineDisposition, ObservedState, ReconcileAction, reconcile,
};
use snowshelf_watermark::renewal::{LeaseRenewal, may_start};

/// Maximum number of commands in a response. It keeps the response under the 64 KiB that a worker
/// accepts.
const MAX_COMMANDS: usize = 400;

impl Shard {
    /// Responds to a heartbeat, which renews the worker's lease. The halts that the renewal depends
    /// on come first, so that truncation never drops them.
    pub(super) fn respond(
        &self,
        connection: ConnectionId,
        renewal: LeaseRenewal<(TaskRef, Attempt)>,
        commands: Vec<Command>,
        context: &mut Context<'_>,
    ) {
        let halts = renewal.into_halts();
        if halts.len() > MAX_COMMANDS {
            redirect_worker(connection, context);
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
        let response = HeartbeatResponse {
            fencing_token: self.fencing_token,
            commands: all,
        };
        let body = serde_json::to_vec(&response).unwrap_or_default();
        context
            .effects
            .respond(connection, Response::new(200, body));
    }

    /// Returns the commands for a machine, from its newest heartbeat and the desired state.
    pub(super) fn commands(&self, name: &MachineId, context: &Context<'_>) -> Vec<Command> {
        let Some(machine) = self.machines.get(name) else {
            return Vec::new();
        };
        if !machine.token_acknowledged {
            // An earlier leader might still command this machine: send only the fencing token.
            return Vec::new();
        }
        let mut commands = Vec::new();
        for item in &machine.reported_tasks {
            let attempt = AttemptOnMachine::new(name, &item.task, item.attempt);
            let observed = ObservedState::Listed(item.state, item.exit_reason);
            let disposition = self.disposition_of_reported(machine, attempt, context);
            commands.extend(self.command(attempt, observed, disposition, context));
        }
        // Unlike tasks that are present, absent tasks are not subject to eviction.
        let heartbeat_ms = context.config.settings.report_ms();
        let disposition = machine.disposition_of_unstarted(context.now(), heartbeat_ms);
        for (job, task, attempt) in self.unreported_tasks(name) {
            let task = TaskRef { job, task };
            let attempt = AttemptOnMachine::new(name, &task, attempt);
            commands.extend(self.command(attempt, ObservedState::Absent, disposition, context));
        }
        commands
    }

    fn disposition_of_reported(
        &self,
        machine: &Machine,
        attempt: AttemptOnMachine<'_>,
        context: &Context<'_>,
    ) -> MachineDisposition {
        let task = attempt.task;
        let grounds = self.eviction_grounds(attempt.machine, &task.job, task.task, context);
        match eviction_cause(grounds) {
            None | Some(EvictionCause::Cancelled | EvictionCause::Interruption) => {
                let heartbeat_ms = context.config.settings.report_ms();
                machine.disposition(context.now(), self.grace_s(task), heartbeat_ms)
            }
            Some(_) => MachineDisposition::Evicting,
        }
    }

    /// Returns how long a task may take to write a checkpoint when it is stopped, in seconds.
    fn grace_s(&self, task: &TaskRef) -> f64 {
        let spec = self.jobs.get(&task.job).and_then(|j| j.spec());
        spec.map_or(0.0, |s| s.checkpoint_duration_s)
    }

    fn command(
        &self,
        attempt: AttemptOnMachine<'_>,
        observed: ObservedState,
        disposition: MachineDisposition,
        context: &Context<'_>,
    ) -> Option<Command> {
        let job = self.jobs.get(&attempt.task.job);
        let mut desired = desired_state(job, attempt);
        // If another controller has confirmed the cancellation, the task is halted at once. The
        // change of the allocation is written only after the record cache shows the cancellation.
        if context.peer_confirmed.contains_key(&attempt.task.job) {
            desired = desired.if_cancelled();
        }
        let traits = task_traits(job.and_then(|j| j.spec()));
        let evidence = HeartbeatEvidence::PLAIN;
        let action = reconcile(desired, observed, evidence, disposition, traits).action?;
        // Prevents a task from starting long after a cancellation that this leader could not learn
        // of.
        if action == ReconcileAction::Run && !may_start(context.watermark, context.now()) {
            return None;
        }
        let (task, attempt_number) = (attempt.task.clone(), attempt.attempt);
        Some(match action {
            ReconcileAction::Run => Command::Run {
                task,
                attempt: attempt_number,
            },
            ReconcileAction::Reap => Command::Reap {
                task,
                attempt: attempt_number,
            },
            ReconcileAction::Kill => Command::Halt {
                task,
                attempt: attempt_number,
                grace_s: 0.0,
            },
            ReconcileAction::Stop => Command::Halt {
                grace_s: self.grace_s(&task),
                task,
                attempt: attempt_number,
            },
        })
    }
}
