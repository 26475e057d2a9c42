//! The decision table of reconciliation: what a heartbeat and the records together prove about an attempt of
//! a task.
//!
//! The table has one cell for each pair of desired and observed state. The evidence that comes with the
//! heartbeat decides whether a cell applies. `docs/recovery.md` contains the table; a test compares it with
//! [`reconcile`].

pub use crate::findings::{Finding, ReconciliationCounts};

use snowshelf_model::protocol::worker::{ExitReason, TaskState};
use snowshelf_model::records::AllocationChangeKind;

/// The state of one attempt of a task on the machine that sent the heartbeat, according to the records and
/// the shard leader's pending changes to them.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub enum DesiredState {
    /// The task is waiting: no attempt of it is assigned to a machine.
    Waiting,
    /// The start on this machine is being written to the record.
    Starting,
    /// Started on this machine; the start is durable.
    Here,
    /// Started on this machine durably; its end is being written to the record.
    Ending,
    /// Started on another machine.
    Elsewhere,
    /// Another attempt of the task is started on this machine.
    OtherAttempt,
    /// The task has finished.
    Finished,
    /// Started on this machine durably; the job is cancelled.
    Cancelled,
    /// Like [`DesiredState::Cancelled`], and its end is being written to the record.
    CancelledEnding,
    /// The shard has no allocation of the job: the job has ended, has moved to another shard, or never
    /// existed.
    NotOurs,
}

/// All desired states, in the order of the table's rows in `docs/recovery.md`.
pub const DESIRED_STATES: [DesiredState; 10] = [
    DesiredState::Waiting,
    DesiredState::Starting,
    DesiredState::Here,
    DesiredState::Ending,
    DesiredState::Elsewhere,
    DesiredState::OtherAttempt,
    DesiredState::Finished,
    DesiredState::Cancelled,
    DesiredState::CancelledEnding,
    DesiredState::NotOurs,
];

impl DesiredState {
    /// Whether the attempt is assigned to this machine once all pending changes are written.
    #[must_use]
    pub fn is_planned_here(self) -> bool {
        matches!(
            self,
            DesiredState::Starting | DesiredState::Here | DesiredState::Cancelled
        )
    }

    /// Whether the attempt is assigned to this machine in the stored record.
    #[must_use]
    pub fn is_durable_here(self) -> bool {
        use DesiredState::{Cancelled, CancelledEnding, Ending, Here};
        matches!(self, Here | Ending | Cancelled | CancelledEnding)
    }

    /// The state that corresponds to this one when the job is cancelled.
    #[must_use]
    pub fn if_cancelled(self) -> DesiredState {
        match self {
            DesiredState::Here => DesiredState::Cancelled,
            DesiredState::Ending => DesiredState::CancelledEnding,
            other => other,
        }
    }

    fn is_cancelled(self) -> bool {
        matches!(
            self,
            DesiredState::Cancelled | DesiredState::CancelledEnding
        )
    }
}

/// The state of the attempt in the machine's newest heartbeat.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ObservedState {
    /// The heartbeat does not list the attempt.
    Absent,
    /// The heartbeat lists the attempt in this state. The reason is that of an exited task; `None` if the
    /// worker gave none.
    Listed(TaskState, Option<ExitReason>),
}

/// All observed states, with one entry for each exit reason.
pub const OBSERVED_STATES: [ObservedState; 11] = {
    use ObservedState::{Absent, Listed};
    [
        Absent,
        Listed(TaskState::Pulling, None),
        Listed(TaskState::Running, None),
        Listed(TaskState::Checkpointing, None),
        Listed(TaskState::Exited, Some(ExitReason::Done)),
        Listed(TaskState::Exited, Some(ExitReason::Stopped)),
        Listed(TaskState::Exited, Some(ExitReason::Error)),
        Listed(TaskState::Exited, Some(ExitReason::Full)),
        Listed(TaskState::Exited, Some(ExitReason::InUse)),
        Listed(TaskState::Exited, Some(ExitReason::Unknown)),
        Listed(TaskState::Exited, None),
    ]
};

/// The fencing token that a heartbeat acknowledges, compared with the shard leader's own.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum TokenState {
    /// Lower: an earlier shard leader may still command the machine.
    Behind,
    /// Equal: the machine accepts this shard leader's commands.
    Equal,
    /// Higher: a later shard leader commands the machine, and this one is fenced.
    Ahead,
}

/// The circumstances of a heartbeat that decide how much it proves.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct HeartbeatEvidence {
    /// How the acknowledged fencing token compares with the shard leader's own.
    pub token: TokenState,
    /// A newer heartbeat of the machine has already been received.
    pub superseded: bool,
    /// The agent incarnation is higher than in the heartbeat before: the tasks of the earlier incarnation
    /// no longer exist.
    pub new_incarnation: bool,
    /// An earlier shard leader started the machine's tasks, and this heartbeat is the first to acknowledge
    /// the present shard leader's fencing token.
    pub inherited: bool,
}

impl HeartbeatEvidence {
    /// A heartbeat of a machine that has acknowledged the fencing token before, without special
    /// circumstances.
    pub const PLAIN: HeartbeatEvidence = HeartbeatEvidence {
        token: TokenState::Equal,
        superseded: false,
        new_incarnation: false,
        inherited: false,
    };
}

/// What the scheduler and the cloud intend to do with the machine.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum MachineDisposition {
    /// The machine remains in service.
    Retained,
    /// The cloud has announced the interruption of the machine.
    Interrupted {
        /// Whether a task with checkpoints must begin one now to complete it before the interruption.
        checkpoint_due: bool,
    },
    /// The machine is being drained, or this task is being evicted from it.
    Evicting,
    /// The release of the machine has been requested from the cloud.
    Releasing,
}

/// The properties of a task that decide how it ends.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct TaskTraits {
    /// The task runs until its job is cancelled: an exit without error does not finish it.
    pub is_service: bool,
    /// The task makes checkpoints.
    pub checkpoints: bool,
}

/// A command to the machine for one attempt.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub enum ReconcileAction {
    /// Start the attempt.
    Run,
    /// Stop the attempt without a grace period.
    Kill,
    /// Stop the attempt, with a grace period for a checkpoint.
    Stop,
    /// Remove an exited attempt from the machine's list.
    Reap,
}

/// What the end of an attempt indicates about its job and its machine.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum OutcomeSignal {
    /// Neither success nor failure.
    Neutral,
    /// Job and machine work.
    Success,
    /// The job or the machine is faulty.
    Failure,
    /// The machine has less free capacity than the shard leader assumes.
    CapacityExceeded,
    /// The machine has not received the description of the job.
    DescriptionMissing,
}

/// One cell of the decision table: the finding, the change to write and the command to send.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
#[must_use]
pub struct Reconciliation {
    /// What the desired and the observed state prove.
    pub finding: Finding,
    /// The change to write to the allocation.
    pub change: Option<AllocationChangeKind>,
    /// The command to send to the machine.
    pub action: Option<ReconcileAction>,
    /// What the end of the attempt indicates about its job and its machine.
    pub signal: OutcomeSignal,
}

impl Reconciliation {
    const fn new(finding: Finding) -> Reconciliation {
        Reconciliation {
            finding,
            change: None,
            action: None,
            signal: OutcomeSignal::Neutral,
        }
    }

    fn with_change(self, change: AllocationChangeKind) -> Reconciliation {
        Reconciliation {
            change: Some(change),
            ..self
        }
    }

    fn with_action(self, action: ReconcileAction) -> Reconciliation {
        Reconciliation {
            action: Some(action),
            ..self
        }
    }
}

/// Looks up the decision for an attempt from its desired and observed state, the evidence of the heartbeat,
/// the disposition of its machine and the traits of its task.
pub fn reconcile(
    desired: DesiredState,
    observed: ObservedState,
    evidence: HeartbeatEvidence,
    machine: MachineDisposition,
    task: TaskTraits,
) -> Reconciliation {
    if evidence.token == TokenState::Ahead {
        return Reconciliation::new(Finding::Fenced);
    }
    // Until the machine has acknowledged the fencing token, a response of an earlier shard leader can still
    // start or stop tasks. The response to this heartbeat carries the token; the next one acknowledges it.
    if evidence.superseded || evidence.token == TokenState::Behind {
        return Reconciliation::new(Finding::Inconclusive);
    }
    match observed {
        ObservedState::Absent => reconcile_absent(desired, evidence, machine),
        ObservedState::Listed(TaskState::Exited, reason) => reconcile_exited(desired, reason, task),
        ObservedState::Listed(state, _) => reconcile_alive(desired, state, machine, task),
    }
}

/// Decides for an attempt that is not listed. The heartbeat is newer than every response that can have
/// carried the command to start it.
fn reconcile_absent(
    desired: DesiredState,
    evidence: HeartbeatEvidence,
    machine: MachineDisposition,
) -> Reconciliation {
    if !desired.is_planned_here() {
        return Reconciliation::new(Finding::Consistent);
    }
    if !desired.is_durable_here() {
        // The start is commanded only once it is durable, since the write may still fail.
        return Reconciliation::new(Finding::Consistent);
    }
    // An attempt that an earlier shard leader started is not commanded again. That leader may have found it
    // lost and, before this end was durable, granted its share of the team's quota to another start.
    // An attempt that ended with an earlier agent incarnation is not commanded again either.
    let lost = evidence.inherited || evidence.new_incarnation;
    if lost || desired.is_cancelled() || machine != MachineDisposition::Retained {
        return Reconciliation::new(Finding::Lost).with_change(AllocationChangeKind::Requeue);
    }
    Reconciliation::new(Finding::NotStarted).with_action(ReconcileAction::Run)
}

/// Decides for an attempt that is listed as exited.
fn reconcile_exited(
    desired: DesiredState,
    reason: Option<ExitReason>,
    task: TaskTraits,
) -> Reconciliation {
    if !desired.is_planned_here() {
        // The end must be durable before the entry is removed: without the entry, a repeated start command
        // would run the attempt again.
        return if desired.is_durable_here() {
            Reconciliation::new(Finding::Consistent)
        } else {
            Reconciliation::new(Finding::LeftoverEntry).with_action(ReconcileAction::Reap)
        };
    }
    let (signal, change) = match reason {
        Some(ExitReason::Done) if task.is_service => {
            (OutcomeSignal::Success, AllocationChangeKind::Requeue)
        }
        Some(ExitReason::Done) => (OutcomeSignal::Success, AllocationChangeKind::Finish),
        Some(ExitReason::Error) => (OutcomeSignal::Failure, AllocationChangeKind::Requeue),
        Some(ExitReason::Full | ExitReason::InUse) => (
            OutcomeSignal::CapacityExceeded,
            AllocationChangeKind::Requeue,
        ),
        Some(ExitReason::Unknown) => (
            OutcomeSignal::DescriptionMissing,
            AllocationChangeKind::Requeue,
        ),
        Some(ExitReason::Stopped) | None => (OutcomeSignal::Neutral, AllocationChangeKind::Requeue),
    };
    Reconciliation {
        signal,
        ..Reconciliation::new(Finding::Ended).with_change(change)
    }
}

/// Decides for an attempt that is pulling its image, running or making a checkpoint. It is killed if its job
/// is cancelled or the attempt is not assigned to this machine. It is stopped with a grace period if it is
/// evicted, or if its machine is interrupted and it still pulls its image or must begin its checkpoint now.
/// One that makes a checkpoint has already been told to stop.
fn reconcile_alive(
    desired: DesiredState,
    state: TaskState,
    machine: MachineDisposition,
    task: TaskTraits,
) -> Reconciliation {
    if !desired.is_planned_here() && !desired.is_durable_here() {
        return Reconciliation::new(Finding::Orphaned).with_action(ReconcileAction::Kill);
    }
    if desired.is_cancelled() {
        return Reconciliation::new(Finding::Orphaned).with_action(ReconcileAction::Kill);
    }
    let consistent = Reconciliation::new(Finding::Consistent);
    if state == TaskState::Checkpointing {
        return consistent;
    }
    match machine {
        MachineDisposition::Interrupted { checkpoint_due }
            if state == TaskState::Pulling || (task.checkpoints && checkpoint_due) =>
        {
            consistent.with_action(ReconcileAction::Stop)
        }
        MachineDisposition::Evicting => consistent.with_action(ReconcileAction::Stop),
        MachineDisposition::Retained
        | MachineDisposition::Interrupted { .. }
        | MachineDisposition::Releasing => consistent,
    }
}
