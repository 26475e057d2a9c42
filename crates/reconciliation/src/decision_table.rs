//! What a worker's report and the records prove together, task by task: the decision table.
//!
//! One cell for each pair of what is stored and what is reported, under the evidence that comes with
//! the report. `docs/recovery.md` shows the table; a test holds it against this function.

use serde::Serialize;
use snowshelf_model::protocol::worker::{ExitReason, TaskState};
use snowshelf_model::records::AllocationChangeKind;

/// What the records, and the owner's steps on their way into them, say of one attempt of a task and
/// the machine that reports.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub enum DesiredState {
    /// The task waits; no attempt of it is on any machine.
    Waiting,
    /// Its start here is on its way into the record.
    Starting,
    /// Started here, durably.
    Here,
    /// Started here durably, and its end here is on its way into the record.
    Ending,
    /// Started on another machine.
    Elsewhere,
    /// Started here, with another attempt than the one in question.
    OtherAttempt,
    /// Done.
    Finished,
    /// Started here, and the job is cancelled.
    Cancelled,
    /// The same, and its end here is on its way into the record.
    CancelledEnding,
    /// No share of this part holds the job: it has ended, moved to another part, or never was.
    NotOurs,
}

pub const STORED: [DesiredState; 10] = [
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
    /// Whether the owner's picture has the attempt on this machine.
    pub fn viewed_here(self) -> bool {
        matches!(
            self,
            DesiredState::Starting | DesiredState::Here | DesiredState::Cancelled
        )
    }
    /// Whether the record has it there.
    pub fn durable_here(self) -> bool {
        use DesiredState::*;
        matches!(self, Here | Ending | Cancelled | CancelledEnding)
    }
    /// The same if the job turns out to be cancelled.
    pub fn if_cancelled(self) -> DesiredState {
        match self {
            DesiredState::Here => DesiredState::Cancelled,
            DesiredState::Ending => DesiredState::CancelledEnding,
            other => other,
        }
    }
    fn cancelled(self) -> bool {
        matches!(
            self,
            DesiredState::Cancelled | DesiredState::CancelledEnding
        )
    }
}

/// What the machine's newest report says of that attempt.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ObservedState {
    Absent,
    Listed(TaskState, Option<ExitReason>),
}

/// Every state that a report may tell, the reasons of an exit each by itself.
pub const REPORTED: [ObservedState; 11] = {
    use ObservedState::*;
    [
        Absent,
        Listed(TaskState::Pulling, None),
        Listed(TaskState::Running, None),
        Listed(TaskState::Saving, None),
        Listed(TaskState::Exited, Some(ExitReason::Done)),
        Listed(TaskState::Exited, Some(ExitReason::Stopped)),
        Listed(TaskState::Exited, Some(ExitReason::Error)),
        Listed(TaskState::Exited, Some(ExitReason::Full)),
        Listed(TaskState::Exited, Some(ExitReason::InUse)),
        Listed(TaskState::Exited, Some(ExitReason::Unknown)),
        Listed(TaskState::Exited, None),
    ]
};

/// The token that a report shows, against the reading owner's.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum TokenState {
    /// An earlier owner may still command the machine.
    Behind,
    Equal,
    /// A later owner commands it: this one is deposed.
    Ahead,
}

/// What comes with a report and decides how much it proves.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct HeartbeatEvidence {
    pub shown: TokenState,
    /// Not the machine's newest: late, or sent once more.
    pub late: bool,
    /// A higher session than before, so that everything of the earlier one is gone.
    pub new_incarnation: bool,
    /// The machine's started tasks are an earlier owner's, and this is the first report that shows
    /// this owner's token.
    pub inherited: bool,
}

impl HeartbeatEvidence {
    /// An ordinary report to an owner that has long been known to the machine.
    pub const PLAIN: HeartbeatEvidence = HeartbeatEvidence {
        shown: TokenState::Equal,
        late: false,
        new_incarnation: false,
        inherited: false,
    };
}

/// What is to become of the machine.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum MachineDisposition {
    Stays,
    /// The cloud takes it soon; `late`: now is when a task that saves has to begin.
    Noticed {
        late: bool,
    },
    /// It is emptied, or this task has to make room there.
    Drained,
    /// Its return has been asked for.
    Returning,
}

/// What the task can do when it is stopped.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct TaskTraits {
    /// Runs until its job is cancelled, so that being done is no end of it.
    pub standing: bool,
    pub saves: bool,
}

/// What a pair proves.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub enum Finding {
    /// The report is too old, or somebody else may still act: it proves nothing.
    Nothing,
    /// This owner is one no more.
    Deposed,
    /// As it should be, or on its way there.
    Agrees,
    /// Its command has not reached the machine.
    NotBegun,
    /// It is not on this machine, and nobody can start it there any more.
    Gone,
    /// It has ended there.
    Ended,
    /// It is there and should not be.
    Stray,
    /// What is left of it there is only its entry.
    Remnant,
}

/// How often each finding was made, attempt by attempt and report by report.
#[derive(Clone, Default, PartialEq, Eq, Debug, Serialize)]
pub struct ReconciliationCounts {
    pub agree: u64,
    pub not_begun: u64,
    pub gone: u64,
    pub ended: u64,
    pub stray: u64,
    pub remnant: u64,
}

impl ReconciliationCounts {
    pub fn count(&mut self, finding: Finding) {
        let count = match finding {
            Finding::Nothing | Finding::Deposed => return,
            Finding::Agrees => &mut self.agree,
            Finding::NotBegun => &mut self.not_begun,
            Finding::Gone => &mut self.gone,
            Finding::Ended => &mut self.ended,
            Finding::Stray => &mut self.stray,
            Finding::Remnant => &mut self.remnant,
        };
        *count += 1;
    }
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub enum ReconcileAction {
    Run,
    /// At once.
    Kill,
    /// With the time that it needs to save.
    Stop,
    Reap,
}

/// What a task's end says of its job and its machine.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum OutcomeSignal {
    Nothing,
    /// Machine and job are sound.
    Works,
    /// One of them is not.
    Fails,
    /// The machine has less room than it seems.
    Full,
    /// The job's description has not reached the machine.
    NoDescription,
}

/// One cell of the table: what is concluded, written and ordered.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Reconciliation {
    pub finding: Finding,
    pub write: Option<AllocationChangeKind>,
    pub order: Option<ReconcileAction>,
    pub tells: OutcomeSignal,
}

impl Reconciliation {
    const fn of(finding: Finding) -> Reconciliation {
        Reconciliation {
            finding,
            write: None,
            order: None,
            tells: OutcomeSignal::Nothing,
        }
    }
    fn writes(self, step: AllocationChangeKind) -> Reconciliation {
        Reconciliation {
            write: Some(step),
            ..self
        }
    }
    fn orders(self, order: ReconcileAction) -> Reconciliation {
        Reconciliation {
            order: Some(order),
            ..self
        }
    }
}

/// Squares what is stored with what is reported.
pub fn reconcile(
    stored: DesiredState,
    reported: ObservedState,
    evidence: HeartbeatEvidence,
    machine: MachineDisposition,
    task: TaskTraits,
) -> Reconciliation {
    if evidence.shown == TokenState::Ahead {
        return Reconciliation::of(Finding::Deposed);
    }
    // Before the token is shown an earlier owner's answer might still start or stop something. It
    // goes out with the answer, and the machine reports anew.
    if evidence.late || evidence.shown == TokenState::Behind {
        return Reconciliation::of(Finding::Nothing);
    }
    match reported {
        ObservedState::Absent => absent(stored, evidence, machine),
        ObservedState::Listed(TaskState::Exited, why) => exited(stored, why, task),
        ObservedState::Listed(state, _) => alive(stored, state, machine, task),
    }
}

/// Not listed in a report that is newer than any answer which could have carried its command.
fn absent(
    stored: DesiredState,
    evidence: HeartbeatEvidence,
    machine: MachineDisposition,
) -> Reconciliation {
    if !stored.viewed_here() {
        return Reconciliation::of(Finding::Agrees);
    }
    if !stored.durable_here() {
        // Not commanded before its start is durable; that write may still fail.
        return Reconciliation::of(Finding::Agrees);
    }
    // What an earlier owner started is not commanded again: that owner may have known it to be gone and
    // have used its share of the team's limit for another start, the end not yet durable. Nor is what a
    // higher session has killed.
    let over = evidence.inherited || evidence.new_incarnation;
    if over || stored.cancelled() || machine != MachineDisposition::Stays {
        return Reconciliation::of(Finding::Gone).writes(AllocationChangeKind::Requeue);
    }
    Reconciliation::of(Finding::NotBegun).orders(ReconcileAction::Run)
}

fn exited(stored: DesiredState, why: Option<ExitReason>, task: TaskTraits) -> Reconciliation {
    if !stored.viewed_here() {
        // Its end must be durable before its entry goes: a start repeated after that runs it again.
        return match stored.durable_here() {
            true => Reconciliation::of(Finding::Agrees),
            false => Reconciliation::of(Finding::Remnant).orders(ReconcileAction::Reap),
        };
    }
    let (tells, step) = match why {
        Some(ExitReason::Done) if task.standing => {
            (OutcomeSignal::Works, AllocationChangeKind::Requeue)
        }
        Some(ExitReason::Done) => (OutcomeSignal::Works, AllocationChangeKind::Finish),
        Some(ExitReason::Error) => (OutcomeSignal::Fails, AllocationChangeKind::Requeue),
        Some(ExitReason::Full | ExitReason::InUse) => {
            (OutcomeSignal::Full, AllocationChangeKind::Requeue)
        }
        Some(ExitReason::Unknown) => (OutcomeSignal::NoDescription, AllocationChangeKind::Requeue),
        Some(ExitReason::Stopped) | None => (OutcomeSignal::Nothing, AllocationChangeKind::Requeue),
    };
    Reconciliation {
        tells,
        ..Reconciliation::of(Finding::Ended).writes(step)
    }
}

/// Fetching its image, running or saving.
fn alive(
    stored: DesiredState,
    state: TaskState,
    machine: MachineDisposition,
    task: TaskTraits,
) -> Reconciliation {
    if !stored.viewed_here() && !stored.durable_here() {
        return Reconciliation::of(Finding::Stray).orders(ReconcileAction::Kill);
    }
    if stored.cancelled() {
        return Reconciliation::of(Finding::Stray).orders(ReconcileAction::Kill);
    }
    let cell = Reconciliation::of(Finding::Agrees);
    if state == TaskState::Saving {
        return cell;
    }
    match machine {
        MachineDisposition::Noticed { late }
            if state == TaskState::Pulling || (task.saves && late) =>
        {
            cell.orders(ReconcileAction::Stop)
        }
        MachineDisposition::Drained => cell.orders(ReconcileAction::Stop),
        MachineDisposition::Stays
        | MachineDisposition::Noticed { .. }
        | MachineDisposition::Returning => cell,
    }
}
