//! What a worker's report and the records prove together, task by task: the decision table.
//!
//! One cell for each pair of what is stored and what is reported, under the evidence that comes with
//! the report. `docs/recovery.md` shows the table; a test holds it against this function.

use serde::Serialize;
use snowshelf_model::protocol::worker::{TaskState, Why};
use snowshelf_model::records::StepKind;

/// What the records, and the owner's steps on their way into them, say of one attempt of a task and
/// the machine that reports.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub enum Stored {
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

pub const STORED: [Stored; 10] = [
    Stored::Waiting,
    Stored::Starting,
    Stored::Here,
    Stored::Ending,
    Stored::Elsewhere,
    Stored::OtherAttempt,
    Stored::Finished,
    Stored::Cancelled,
    Stored::CancelledEnding,
    Stored::NotOurs,
];

impl Stored {
    /// Whether the owner's picture has the attempt on this machine.
    pub fn viewed_here(self) -> bool {
        matches!(self, Stored::Starting | Stored::Here | Stored::Cancelled)
    }
    /// Whether the record has it there.
    pub fn durable_here(self) -> bool {
        use Stored::*;
        matches!(self, Here | Ending | Cancelled | CancelledEnding)
    }
    /// The same if the job turns out to be cancelled.
    pub fn if_cancelled(self) -> Stored {
        match self {
            Stored::Here => Stored::Cancelled,
            Stored::Ending => Stored::CancelledEnding,
            other => other,
        }
    }
    fn cancelled(self) -> bool {
        matches!(self, Stored::Cancelled | Stored::CancelledEnding)
    }
}

/// What the machine's newest report says of that attempt.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Reported {
    Absent,
    Listed(TaskState, Option<Why>),
}

/// Every state that a report may tell, the reasons of an exit each by itself.
pub const REPORTED: [Reported; 11] = {
    use Reported::*;
    [
        Absent,
        Listed(TaskState::Pulling, None),
        Listed(TaskState::Running, None),
        Listed(TaskState::Saving, None),
        Listed(TaskState::Exited, Some(Why::Done)),
        Listed(TaskState::Exited, Some(Why::Stopped)),
        Listed(TaskState::Exited, Some(Why::Error)),
        Listed(TaskState::Exited, Some(Why::Full)),
        Listed(TaskState::Exited, Some(Why::InUse)),
        Listed(TaskState::Exited, Some(Why::Unknown)),
        Listed(TaskState::Exited, None),
    ]
};

/// The token that a report shows, against the reading owner's.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum Shown {
    /// An earlier owner may still command the machine.
    Behind,
    Equal,
    /// A later owner commands it: this one is deposed.
    Ahead,
}

/// What comes with a report and decides how much it proves.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Evidence {
    pub shown: Shown,
    /// Not the machine's newest: late, or sent once more.
    pub late: bool,
    /// A higher session than before, so that everything of the earlier one is gone.
    pub new_session: bool,
    /// The machine's started tasks are an earlier owner's, and this is the first report that shows
    /// this owner's token.
    pub inherited: bool,
}

impl Evidence {
    /// An ordinary report to an owner that has long been known to the machine.
    pub const PLAIN: Evidence = Evidence {
        shown: Shown::Equal,
        late: false,
        new_session: false,
        inherited: false,
    };
}

/// What is to become of the machine.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Leaving {
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
pub struct Nature {
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
pub struct Squared {
    pub agree: u64,
    pub not_begun: u64,
    pub gone: u64,
    pub ended: u64,
    pub stray: u64,
    pub remnant: u64,
}

impl Squared {
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
pub enum Order {
    Run,
    /// At once.
    Kill,
    /// With the time that it needs to save.
    Stop,
    Reap,
}

/// What a task's end says of its job and its machine.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Tells {
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
pub struct Cell {
    pub finding: Finding,
    pub write: Option<StepKind>,
    pub order: Option<Order>,
    pub tells: Tells,
}

impl Cell {
    const fn of(finding: Finding) -> Cell {
        Cell {
            finding,
            write: None,
            order: None,
            tells: Tells::Nothing,
        }
    }
    fn writes(self, step: StepKind) -> Cell {
        Cell {
            write: Some(step),
            ..self
        }
    }
    fn orders(self, order: Order) -> Cell {
        Cell {
            order: Some(order),
            ..self
        }
    }
}

/// Squares what is stored with what is reported.
pub fn square(
    stored: Stored,
    reported: Reported,
    evidence: Evidence,
    machine: Leaving,
    task: Nature,
) -> Cell {
    if evidence.shown == Shown::Ahead {
        return Cell::of(Finding::Deposed);
    }
    // Before the token is shown an earlier owner's answer might still start or stop something. It
    // goes out with the answer, and the machine reports anew.
    if evidence.late || evidence.shown == Shown::Behind {
        return Cell::of(Finding::Nothing);
    }
    match reported {
        Reported::Absent => absent(stored, evidence, machine),
        Reported::Listed(TaskState::Exited, why) => exited(stored, why, task),
        Reported::Listed(state, _) => alive(stored, state, machine, task),
    }
}

/// Not listed in a report that is newer than any answer which could have carried its command.
fn absent(stored: Stored, evidence: Evidence, machine: Leaving) -> Cell {
    if !stored.viewed_here() {
        return Cell::of(Finding::Agrees);
    }
    if !stored.durable_here() {
        // Not commanded before its start is durable; that write may still fail.
        return Cell::of(Finding::Agrees);
    }
    // What an earlier owner started is not commanded again: that owner may have known it to be gone and
    // have used its share of the team's limit for another start, the end not yet durable. Nor is what a
    // higher session has killed.
    let over = evidence.inherited || evidence.new_session;
    if over || stored.cancelled() || machine != Leaving::Stays {
        return Cell::of(Finding::Gone).writes(StepKind::Requeue);
    }
    Cell::of(Finding::NotBegun).orders(Order::Run)
}

fn exited(stored: Stored, why: Option<Why>, task: Nature) -> Cell {
    if !stored.viewed_here() {
        // Its end must be durable before its entry goes: a start repeated after that runs it again.
        return match stored.durable_here() {
            true => Cell::of(Finding::Agrees),
            false => Cell::of(Finding::Remnant).orders(Order::Reap),
        };
    }
    let (tells, step) = match why {
        Some(Why::Done) if task.standing => (Tells::Works, StepKind::Requeue),
        Some(Why::Done) => (Tells::Works, StepKind::Finish),
        Some(Why::Error) => (Tells::Fails, StepKind::Requeue),
        Some(Why::Full | Why::InUse) => (Tells::Full, StepKind::Requeue),
        Some(Why::Unknown) => (Tells::NoDescription, StepKind::Requeue),
        Some(Why::Stopped) | None => (Tells::Nothing, StepKind::Requeue),
    };
    Cell {
        tells,
        ..Cell::of(Finding::Ended).writes(step)
    }
}

/// Fetching its image, running or saving.
fn alive(stored: Stored, state: TaskState, machine: Leaving, task: Nature) -> Cell {
    if !stored.viewed_here() && !stored.durable_here() {
        return Cell::of(Finding::Stray).orders(Order::Kill);
    }
    if stored.cancelled() {
        return Cell::of(Finding::Stray).orders(Order::Kill);
    }
    let cell = Cell::of(Finding::Agrees);
    if state == TaskState::Saving {
        return cell;
    }
    match machine {
        Leaving::Noticed { late } if state == TaskState::Pulling || (task.saves && late) => {
            cell.orders(Order::Stop)
        }
        Leaving::Drained => cell.orders(Order::Stop),
        Leaving::Stays | Leaving::Noticed { .. } | Leaving::Returning => cell,
    }
}
