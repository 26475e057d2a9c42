//! The decision table of reconciliation: what a heartbeat and the records together prove of a task.
//!
//! There is one cell for each pair of desired and observed state, under the evidence that comes with the
//! heartbeat. `docs/recovery.md` shows the table; a test compares it with [`reconcile`].

pub use crate::findings::{Finding, ReconciliationCounts};

use snowshelf_model::protocol::worker::{ExitReason, TaskState};
use snowshelf_model::records::AllocationChangeKind;

/// What the records, and the shard leader's pending changes to them, say of one attempt of a task on the
/// machine that sent the heartbeat.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub enum DesiredState {
    /// The task waits; no attempt of it is on any machine.
    Waiting,
    /// Its start here is being written to the record.
    Starting,
    /// Started here, durably.
    Here,
    /// Started here durably, and its end here is being written to the record.
    Ending,
    /// Started on another machine.
    Elsewhere,
    /// Started here, with another attempt than the one in question.
    OtherAttempt,
    /// Done.
    Finished,
    /// Started here, and the job is cancelled.
    Cancelled,
    /// The same, and its end here is being written to the record.
    CancelledEnding,
    /// No allocation of this shard contains the job: it has ended, moved to another shard, or never was.
    NotOurs,
}

/// All desired states, in the order of the table's rows.
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
    /// Whether the attempt is on this machine once all pending changes are written.
    #[must_use]
    pub fn is_planned_here(self) -> bool {
        matches!(
            self,
            DesiredState::Starting | DesiredState::Here | DesiredState::Cancelled
        )
    }

    /// Whether the attempt is on this machine by the record.
    #[must_use]
    pub fn is_durable_here(self) -> bool {
        use DesiredState::{Cancelled, CancelledEnding, Ending, Here};
        matches!(self, Here | Ending | Cancelled | CancelledEnding)
    }

    /// The same state if the job turns out to be cancelled.
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

/// What the machine's newest heartbeat says of the attempt.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ObservedState {
    /// The heartbeat does not list it.
    Absent,
    /// The heartbeat lists it in this state; for an exited task with the reason, if it says one.
    Listed(TaskState, Option<ExitReason>),
}

/// All observed states, each reason of an exit by itself.
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
    /// An earlier shard leader may still command the machine.
    Behind,
    /// The machine obeys this shard leader.
    Equal,
    /// A later shard leader commands the machine: this one is fenced.
    Ahead,
}

/// What comes with a heartbeat and decides how much it proves.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct HeartbeatEvidence {
    /// The fencing token that the heartbeat acknowledges.
    pub token: TokenState,
    /// A newer heartbeat of the machine has been received already.
    pub superseded: bool,
    /// The agent's incarnation is higher than before: all tasks of the earlier one are gone.
    pub new_incarnation: bool,
    /// An earlier shard leader started the machine's tasks, and this is the first heartbeat that
    /// acknowledges this one's fencing token.
    pub inherited: bool,
}

impl HeartbeatEvidence {
    /// An ordinary heartbeat of a machine that has acknowledged the fencing token before.
    pub const PLAIN: HeartbeatEvidence = HeartbeatEvidence {
        token: TokenState::Equal,
        superseded: false,
        new_incarnation: false,
        inherited: false,
    };
}

/// What is to become of the machine.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum MachineDisposition {
    /// It remains in service.
    Retained,
    /// The cloud has announced that it interrupts the machine.
    Interrupted {
        /// A task that makes checkpoints has to begin one now, or it is too late.
        checkpoint_due: bool,
    },
    /// It is being emptied, or this task is evicted from it.
    Evicting,
    /// Its release has been requested from the cloud.
    Releasing,
}

/// The traits of a task that decide how it ends.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct TaskTraits {
    /// It runs until its job is cancelled, so that an exit without error does not finish it.
    pub is_service: bool,
    /// It makes checkpoints.
    pub checkpoints: bool,
}

/// What the machine is commanded to do with the attempt.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub enum ReconcileAction {
    /// Start it.
    Run,
    /// Stop it at once.
    Kill,
    /// Stop it, with time for a checkpoint.
    Stop,
    /// Remove the entry of an ended attempt.
    Reap,
}

/// What the end of an attempt says of its job and its machine.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum OutcomeSignal {
    /// Nothing.
    Neutral,
    /// Both work.
    Success,
    /// One of them is faulty.
    Failure,
    /// The machine has less free capacity than the shard leader assumes.
    CapacityExceeded,
    /// The description of the job has not reached the machine.
    DescriptionMissing,
}

/// One cell of the table: what is concluded, written and commanded.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
#[must_use]
pub struct Reconciliation {
    /// What the states prove.
    pub finding: Finding,
    /// The change of the allocation to write.
    pub change: Option<AllocationChangeKind>,
    /// The command to the machine.
    pub action: Option<ReconcileAction>,
    /// What the attempt's end says of its job and its machine.
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

/// Compares the desired state of an attempt with the observed one.
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
    // Before the machine has acknowledged the fencing token an earlier shard leader's response might still
    // start or stop something. The token goes out with the response, and the next heartbeat acknowledges it.
    if evidence.superseded || evidence.token == TokenState::Behind {
        return Reconciliation::new(Finding::Inconclusive);
    }
    match observed {
        ObservedState::Absent => reconcile_absent(desired, evidence, machine),
        ObservedState::Listed(TaskState::Exited, reason) => reconcile_exited(desired, reason, task),
        ObservedState::Listed(state, _) => reconcile_alive(desired, state, machine, task),
    }
}

/// The attempt is not listed in a heartbeat that is newer than any response that could have carried its
/// command.
fn reconcile_absent(
    desired: DesiredState,
    evidence: HeartbeatEvidence,
    machine: MachineDisposition,
) -> Reconciliation {
    if !desired.is_planned_here() {
        return Reconciliation::new(Finding::Consistent);
    }
    if !desired.is_durable_here() {
        // Not commanded before its start is durable; that write may still fail.
        return Reconciliation::new(Finding::Consistent);
    }
    // What an earlier shard leader started is not commanded again: that leader may have known it to be lost
    // and have used its part of the team's quota for another start, the end not yet durable. Nor is what a
    // higher incarnation has killed.
    let lost = evidence.inherited || evidence.new_incarnation;
    if lost || desired.is_cancelled() || machine != MachineDisposition::Retained {
        return Reconciliation::new(Finding::Lost).with_change(AllocationChangeKind::Requeue);
    }
    Reconciliation::new(Finding::NotStarted).with_action(ReconcileAction::Run)
}

fn reconcile_exited(
    desired: DesiredState,
    reason: Option<ExitReason>,
    task: TaskTraits,
) -> Reconciliation {
    if !desired.is_planned_here() {
        // Its end must be durable before its entry is removed: a start repeated after that would run it
        // again.
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

/// The attempt is pulling its image, running or making a checkpoint.
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
