//! The decision table against a plain model: one task, one machine, two owners one after the other, and every
//! order in which reports, answers, writes, ends, expired leases and a takeover can fall. All
//! states are searched; nothing in the model knows of the table.

use snowshelf_model::protocol::worker::{ExitReason, TaskState};
use snowshelf_model::records::AllocationChangeKind;
use snowshelf_reconciliation::decision_table::{
    DESIRED_STATES, DesiredState, Finding, HeartbeatEvidence, MachineDisposition, OBSERVED_STATES,
    ObservedState, ReconcileAction, Reconciliation, TaskTraits, TokenState, reconcile,
};
use std::collections::{BTreeSet, HashSet, VecDeque};

type Square = fn(
    DesiredState,
    ObservedState,
    HeartbeatEvidence,
    MachineDisposition,
    TaskTraits,
) -> Reconciliation;

/// Attempts are 1 and 2: the place in a list is the attempt less one.
const ATTEMPTS: u8 = 2;
type Listed = [Option<(TaskState, Option<ExitReason>)>; ATTEMPTS as usize];

#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
enum Record {
    Waiting(u8),
    Here(u8),
    Elsewhere(u8),
    Finished,
}

#[derive(Clone, PartialEq, Eq, Hash, Debug)]
struct Report {
    incarnation: u8,
    fencing_token: u8,
    listed: Listed,
    /// A newer one has been taken in.
    old: bool,
}

#[derive(Clone, PartialEq, Eq, Hash, Debug)]
struct Answer {
    fencing_token: u8,
    orders: Vec<(ReconcileAction, u8)>,
}

/// What an owner has of the machine.
#[derive(Clone, PartialEq, Eq, Hash, Debug, Default)]
struct Picture {
    incarnation: Option<u8>,
    shown: bool,
    listed: Listed,
    inherited: bool,
    /// A report has been taken in and not answered.
    asked: bool,
}

#[derive(Clone, PartialEq, Eq, Hash, Debug)]
struct World {
    record: Record,
    view: Record,
    cancelled: bool,
    /// The share is over and gone.
    closed: bool,
    owner: u8,
    /// What the first owner had durably started here when the second took over: it may still say so.
    before: Option<u8>,
    picture: Picture,
    incarnation: u8,
    fencing_token: u8,
    listed: Listed,
    /// The report that the machine waits for an answer to, and one that it has given up.
    report: Option<Report>,
    late: Option<Report>,
    waits: bool,
    answer: Option<Answer>,
    /// The task has completed somewhere.
    completed: bool,
    leaving: bool,
}

const BEGIN: World = World {
    record: Record::Waiting(1),
    view: Record::Waiting(1),
    cancelled: false,
    closed: false,
    owner: 1,
    before: None,
    picture: Picture {
        incarnation: None,
        shown: false,
        listed: [None; 2],
        inherited: false,
        asked: false,
    },
    incarnation: 1,
    fencing_token: 0,
    listed: [None; 2],
    report: None,
    late: None,
    waits: false,
    answer: None,
    completed: false,
    leaving: false,
};

impl World {
    fn stored(&self, attempt: u8) -> DesiredState {
        let (viewed, durable) = (
            self.view == Record::Here(attempt),
            self.record == Record::Here(attempt),
        );
        match (viewed, durable, self.cancelled, self.view) {
            _ if self.closed => DesiredState::NotOurs,
            (true, false, _, _) => DesiredState::Starting,
            (true, true, false, _) => DesiredState::Here,
            (true, true, true, _) => DesiredState::Cancelled,
            (false, true, false, _) => DesiredState::Ending,
            (false, true, true, _) => DesiredState::CancelledEnding,
            (_, _, _, Record::Here(_)) => DesiredState::OtherAttempt,
            (_, _, _, Record::Waiting(_)) => DesiredState::Waiting,
            (_, _, _, Record::Finished) => DesiredState::Finished,
            (_, _, _, Record::Elsewhere(_)) => DesiredState::Elsewhere,
        }
    }

    fn machine(&self) -> MachineDisposition {
        match self.leaving {
            true => MachineDisposition::Evicting,
            false => MachineDisposition::Retained,
        }
    }

    /// Every cell that this picture needs, under `evidence`.
    fn cells(
        &self,
        evidence: HeartbeatEvidence,
        reconcile: Square,
        seen: &mut Seen,
    ) -> Vec<(u8, Reconciliation)> {
        let mut cells = Vec::new();
        for attempt in 1..=ATTEMPTS {
            let reported = match self.picture.listed[attempt as usize - 1] {
                Some((state, why)) => ObservedState::Listed(state, why),
                None if self.view == Record::Here(attempt) => ObservedState::Absent,
                None => continue,
            };
            let stored = self.stored(attempt);
            let place = |r: &ObservedState| *r == reported;
            seen.insert((stored, OBSERVED_STATES.iter().position(place).unwrap()));
            let task = TaskTraits::default();
            let cell = reconcile(stored, reported, evidence, self.machine(), task);
            cells.push((attempt, cell));
        }
        cells
    }

    fn take_in(&mut self, report: &Report, reconcile: Square, seen: &mut Seen) {
        if report.old {
            return;
        }
        let shown = report.fencing_token == self.owner;
        let evidence = HeartbeatEvidence {
            token: if shown {
                TokenState::Equal
            } else {
                TokenState::Behind
            },
            superseded: false,
            new_incarnation: self
                .picture
                .incarnation
                .is_some_and(|s| s < report.incarnation),
            inherited: shown && std::mem::take(&mut self.picture.inherited),
        };
        self.picture.incarnation = Some(report.incarnation);
        self.picture.shown = shown;
        self.picture.listed = report.listed;
        if let Some(late) = &mut self.late {
            late.old = true;
        }
        for (attempt, cell) in self.cells(evidence, reconcile, seen) {
            match cell.change {
                Some(AllocationChangeKind::Finish) => self.view = Record::Finished,
                Some(_) if self.view == Record::Here(attempt) => {
                    self.view = Record::Waiting(attempt + 1);
                }
                _ => {}
            }
        }
    }

    /// Every state that one event leads to.
    fn next(&self, reconcile: Square, seen: &mut Seen) -> Vec<World> {
        let mut next = Vec::new();
        let mut event = |change: &mut dyn FnMut(&mut World) -> bool| {
            let mut world = self.clone();
            if change(&mut world) {
                next.push(world);
            }
        };
        // The machine reports; gives the report up, which may still arrive; its lease ends.
        event(&mut |w| {
            let report = Report {
                incarnation: w.incarnation,
                fencing_token: w.fencing_token,
                listed: w.listed,
                old: false,
            };
            !std::mem::replace(&mut w.waits, true) && w.report.replace(report).is_none()
        });
        event(&mut |w| {
            // Whatever is answered to it goes to a connection that is closed.
            (w.answer, w.picture.asked) = (None, false);
            if let Some(report) = w.report.take() {
                w.late = Some(report);
            }
            std::mem::take(&mut w.waits)
        });
        event(&mut |w| {
            w.incarnation += 1;
            w.listed = [None; 2];
            w.incarnation <= 2
        });
        // Its tasks go on.
        for i in 0..ATTEMPTS as usize {
            let mut goes = |to: TaskState, why: Option<ExitReason>| {
                event(&mut |w| {
                    w.listed[i] = Some((to, why));
                    w.completed |= why == Some(ExitReason::Done);
                    true
                });
            };
            match self.listed[i] {
                Some((TaskState::Pulling, _)) => {
                    goes(TaskState::Running, None);
                    goes(TaskState::Exited, Some(ExitReason::Unknown));
                    goes(TaskState::Exited, Some(ExitReason::Full));
                }
                Some((TaskState::Running, _)) => {
                    goes(TaskState::Exited, Some(ExitReason::Done));
                    goes(TaskState::Exited, Some(ExitReason::Error));
                }
                Some((TaskState::Checkpointing, _)) => {
                    goes(TaskState::Exited, Some(ExitReason::Stopped))
                }
                _ => {}
            }
        }
        // Reports and answers arrive.
        event(&mut |w| {
            let Some(report) = w.report.take() else {
                return false;
            };
            w.take_in(&report, reconcile, seen);
            w.picture.asked = true;
            true
        });
        event(&mut |w| {
            let Some(report) = w.late.take() else {
                return false;
            };
            w.take_in(&report, reconcile, seen);
            true
        });
        event(&mut |w| {
            let asked = std::mem::take(&mut w.picture.asked) && w.waits && w.report.is_none();
            let mut orders = Vec::new();
            if w.picture.shown {
                let cells = w.cells(HeartbeatEvidence::PLAIN, reconcile, seen);
                orders.extend(cells.iter().filter_map(|(a, c)| Some((c.action?, *a))));
            }
            let fencing_token = w.owner;
            w.answer = Some(Answer {
                fencing_token,
                orders,
            });
            asked
        });
        // The first owner, which does not know that it is deposed, answers instead.
        event(&mut |w| {
            let order = w.before.map(|attempt| (ReconcileAction::Run, attempt));
            let orders = order.into_iter().collect();
            w.answer = Some(Answer {
                fencing_token: 1,
                orders,
            });
            w.owner == 2 && w.report.take().is_some()
        });
        event(&mut |w| {
            let Some(answer) = w.answer.take() else {
                return false;
            };
            w.waits = false;
            if answer.fencing_token >= w.fencing_token {
                w.fencing_token = answer.fencing_token;
                for (order, attempt) in answer.orders {
                    w.execute(order, attempt);
                }
            }
            true
        });
        // The owner starts the task, here or elsewhere; its picture becomes durable.
        if let Record::Waiting(attempt) = self.view
            && attempt <= ATTEMPTS
            && !self.cancelled
            && !self.closed
        {
            event(&mut |w| {
                w.view = Record::Here(attempt);
                w.picture.shown && !w.leaving
            });
            event(&mut |w| {
                w.view = Record::Elsewhere(attempt);
                true
            });
        }
        if let Record::Elsewhere(attempt) = self.record
            && self.view == self.record
        {
            event(&mut |w| {
                (w.view, w.completed) = (Record::Finished, true);
                true
            });
            event(&mut |w| {
                w.view = Record::Waiting(attempt + 1);
                true
            });
        }
        event(&mut |w| {
            w.record = w.view;
            *w != *self
        });
        event(&mut |w| {
            let idle = w.cancelled && matches!(w.record, Record::Waiting(_));
            let over = w.record == w.view && (idle || w.record == Record::Finished);
            !std::mem::replace(&mut w.closed, over) && over
        });
        // The user cancels: what is not durable is not started any more.
        event(&mut |w| {
            if let Record::Here(a) | Record::Elsewhere(a) = w.view
                && w.view != w.record
            {
                w.view = Record::Waiting(a);
            }
            !w.closed && !std::mem::replace(&mut w.cancelled, true)
        });
        event(&mut |w| !std::mem::replace(&mut w.leaving, true));
        // Another owner takes over, with what is durable.
        event(&mut |w| {
            let here = match w.record {
                Record::Here(attempt) => Some(attempt),
                _ => None,
            };
            w.before = here;
            w.view = w.record;
            w.picture = Picture {
                inherited: here.is_some(),
                ..Picture::default()
            };
            std::mem::replace(&mut w.owner, 2) == 1
        });
        next
    }

    fn execute(&mut self, order: ReconcileAction, attempt: u8) {
        let i = attempt as usize - 1;
        let other = self.listed[1 - i].is_some_and(|(state, _)| state != TaskState::Exited);
        self.listed[i] = match (order, self.listed[i]) {
            (ReconcileAction::Run, None) if other => {
                Some((TaskState::Exited, Some(ExitReason::InUse)))
            }
            (ReconcileAction::Run, None) => Some((TaskState::Pulling, None)),
            (ReconcileAction::Stop, Some((TaskState::Running, _))) => {
                Some((TaskState::Checkpointing, None))
            }
            (ReconcileAction::Kill | ReconcileAction::Stop, Some((state, _)))
                if state != TaskState::Exited =>
            {
                Some((TaskState::Exited, Some(ExitReason::Stopped)))
            }
            (ReconcileAction::Reap, Some((TaskState::Exited, _))) => None,
            (_, as_it_was) => as_it_was,
        };
    }

    /// Which promise is broken here, if any.
    fn broken(&self) -> Option<&'static str> {
        let on = |entry: &Option<(TaskState, Option<ExitReason>)>| {
            entry.is_some_and(|(s, _)| matches!(s, TaskState::Running | TaskState::Checkpointing))
        };
        let here = self.listed.iter().any(on);
        match self.record {
            Record::Elsewhere(_) if here => Some("ran_twice"),
            Record::Finished if !self.completed => Some("not_done"),
            Record::Finished if here => Some("ran again after its end was durable"),
            _ => None,
        }
    }
}

type Seen = BTreeSet<(DesiredState, usize)>;

/// Searches all states; the first broken promise, or which cells were needed.
fn search(reconcile: Square) -> Result<Seen, &'static str> {
    let mut seen = Seen::new();
    let mut known = HashSet::from([BEGIN]);
    let mut queue = VecDeque::from([BEGIN]);
    while let Some(world) = queue.pop_front() {
        if let Some(broken) = world.broken() {
            return Err(broken);
        }
        for next in world.next(reconcile, &mut seen) {
            if known.insert(next.clone()) {
                queue.push_back(next);
            }
        }
    }
    Ok(seen)
}

/// The columns of the table in the documents.
const COLUMNS: [(&str, usize); 9] = [
    ("absent", 0),
    ("fetching", 1),
    ("running", 2),
    ("saving", 3),
    ("done", 4),
    ("stopped", 5),
    ("error", 6),
    ("full, in use", 7),
    ("unknown", 9),
];

fn show(stored: DesiredState, reported: ObservedState, reached: bool) -> String {
    let cell = reconcile(
        stored,
        reported,
        HeartbeatEvidence::PLAIN,
        MachineDisposition::Retained,
        TaskTraits::default(),
    );
    let finding = match cell.finding {
        Finding::NotStarted => "not begun",
        Finding::Ended => "ended",
        Finding::Lost => "gone",
        Finding::Orphaned => "stray",
        Finding::LeftoverEntry => "remnant",
        Finding::Consistent | Finding::Inconclusive | Finding::Fenced => "agrees",
    };
    let write = match cell.change {
        Some(AllocationChangeKind::Finish) => ", write done",
        Some(_) => ", write waits",
        None => "",
    };
    let order = match cell.action {
        Some(ReconcileAction::Run) => ", run",
        Some(ReconcileAction::Kill) => ", kill",
        Some(ReconcileAction::Stop) => ", stop",
        Some(ReconcileAction::Reap) => ", reap",
        None => "",
    };
    let mark = if reached { "" } else { " *" };
    format!("{finding}{write}{order}{mark}")
}

/// Guards against a table in the documents that is not the one in force, and against a cell that somebody
/// reaches although it is said that nobody does.
#[test]
fn no_order_of_events_breaks_a_promise() {
    let seen = search(reconcile).unwrap();
    let heads = COLUMNS.map(|(name, _)| name).join(" | ");
    let mut table = format!("| stored | {heads} |\n|{}\n", " --- |".repeat(10));
    for stored in DESIRED_STATES {
        let cells =
            COLUMNS.map(|(_, i)| show(stored, OBSERVED_STATES[i], seen.contains(&(stored, i))));
        table += &format!("| {stored:?} | {} |\n", cells.join(" | "));
    }
    let page = include_str!("../../../docs/recovery.md");
    assert!(page.contains(&table), "docs/recovery.md lacks:\n{table}");
}

/// The search can fail: a table that takes the word of a report that has not shown the token, one that takes a failed
/// task for a done one.
#[test]
fn a_wrong_table_is_found_out() {
    let hasty: Square = |stored, reported, evidence, machine, task| {
        let token = evidence.token.max(TokenState::Equal);
        reconcile(
            stored,
            reported,
            HeartbeatEvidence { token, ..evidence },
            machine,
            task,
        )
    };
    assert_eq!(search(hasty), Err("ran_twice"));
    let kind: Square = |stored, reported, evidence, machine, task| {
        let cell = reconcile(stored, reported, evidence, machine, task);
        let change = cell.change.map(|_| AllocationChangeKind::Finish);
        Reconciliation { change, ..cell }
    };
    assert_eq!(search(kind), Err("not_done"));
}
