//! The decision table against a plain model: one task, one machine, two owners one after the other, and every
//! order in which heartbeats, responses, writes, ends, expired leases and a takeover can fall. All
//! states are searched; nothing in the model knows of the table.

use snowshelf_model::protocol::worker::{ExitReason, TaskState};
use snowshelf_model::records::AllocationChangeKind;
use snowshelf_reconciliation::decision_table::{
    DESIRED_STATES, DesiredState, Finding, HeartbeatEvidence, MachineDisposition, OBSERVED_STATES,
    ObservedState, ReconcileAction, Reconciliation, TaskTraits, TokenState, reconcile,
};
use std::collections::{BTreeSet, HashSet, VecDeque};

type ReconcileFn = fn(
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
struct Heartbeat {
    incarnation: u8,
    fencing_token: u8,
    listed: Listed,
    /// A newer one has been taken in.
    old: bool,
}

#[derive(Clone, PartialEq, Eq, Hash, Debug)]
struct Response {
    fencing_token: u8,
    orders: Vec<(ReconcileAction, u8)>,
}

/// What a shard leader knows of the machine.
#[derive(Clone, PartialEq, Eq, Hash, Debug, Default)]
struct MachineView {
    incarnation: Option<u8>,
    acknowledged: bool,
    listed: Listed,
    inherited: bool,
    /// A heartbeat has been taken in and not responded to.
    response_due: bool,
}

#[derive(Clone, PartialEq, Eq, Hash, Debug)]
struct Model {
    record: Record,
    view: Record,
    cancelled: bool,
    /// The allocation has been removed.
    allocation_removed: bool,
    owner: u8,
    /// What the first shard leader had durably started here when the second took over: it may still say so.
    previous_start: Option<u8>,
    machine_view: MachineView,
    incarnation: u8,
    fencing_token: u8,
    listed: Listed,
    /// The heartbeat that the machine waits for an response to, and one that it has given up.
    heartbeat: Option<Heartbeat>,
    late_heartbeat: Option<Heartbeat>,
    awaits_response: bool,
    response: Option<Response>,
    /// The task has completed somewhere.
    completed: bool,
    leaving: bool,
}

const INITIAL: Model = Model {
    record: Record::Waiting(1),
    view: Record::Waiting(1),
    cancelled: false,
    allocation_removed: false,
    owner: 1,
    previous_start: None,
    machine_view: MachineView {
        incarnation: None,
        acknowledged: false,
        listed: [None; 2],
        inherited: false,
        response_due: false,
    },
    incarnation: 1,
    fencing_token: 0,
    listed: [None; 2],
    heartbeat: None,
    late_heartbeat: None,
    awaits_response: false,
    response: None,
    completed: false,
    leaving: false,
};

impl Model {
    fn desired_state(&self, attempt: u8) -> DesiredState {
        let (viewed, durable) = (
            self.view == Record::Here(attempt),
            self.record == Record::Here(attempt),
        );
        match (viewed, durable, self.cancelled, self.view) {
            _ if self.allocation_removed => DesiredState::NotOurs,
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
        reconcile: ReconcileFn,
        seen: &mut Seen,
    ) -> Vec<(u8, Reconciliation)> {
        let mut cells = Vec::new();
        for attempt in 1..=ATTEMPTS {
            let observed = match self.machine_view.listed[attempt as usize - 1] {
                Some((state, why)) => ObservedState::Listed(state, why),
                None if self.view == Record::Here(attempt) => ObservedState::Absent,
                None => continue,
            };
            let desired = self.desired_state(attempt);
            let place = |r: &ObservedState| *r == observed;
            seen.insert((desired, OBSERVED_STATES.iter().position(place).unwrap()));
            let task = TaskTraits::default();
            let cell = reconcile(desired, observed, evidence, self.machine(), task);
            cells.push((attempt, cell));
        }
        cells
    }

    fn receive_heartbeat(
        &mut self,
        heartbeat: &Heartbeat,
        reconcile: ReconcileFn,
        seen: &mut Seen,
    ) {
        if heartbeat.old {
            return;
        }
        let acknowledged = heartbeat.fencing_token == self.owner;
        let evidence = HeartbeatEvidence {
            token: if acknowledged {
                TokenState::Equal
            } else {
                TokenState::Behind
            },
            superseded: false,
            new_incarnation: self
                .machine_view
                .incarnation
                .is_some_and(|s| s < heartbeat.incarnation),
            inherited: acknowledged && std::mem::take(&mut self.machine_view.inherited),
        };
        self.machine_view.incarnation = Some(heartbeat.incarnation);
        self.machine_view.acknowledged = acknowledged;
        self.machine_view.listed = heartbeat.listed;
        if let Some(late) = &mut self.late_heartbeat {
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
    #[expect(
        clippy::too_many_lines,
        reason = "a list of events, one after the other"
    )]
    fn next(&self, reconcile: ReconcileFn, seen: &mut Seen) -> Vec<Model> {
        let mut next = Vec::new();
        let mut event = |change: &mut dyn FnMut(&mut Model) -> bool| {
            let mut model = self.clone();
            if change(&mut model) {
                next.push(model);
            }
        };
        // The machine heartbeats; gives the heartbeat up, which may still arrive; its lease ends.
        event(&mut |w| {
            let heartbeat = Heartbeat {
                incarnation: w.incarnation,
                fencing_token: w.fencing_token,
                listed: w.listed,
                old: false,
            };
            !std::mem::replace(&mut w.awaits_response, true)
                && w.heartbeat.replace(heartbeat).is_none()
        });
        event(&mut |w| {
            // Whatever is responded to to it goes to a connection that is closed.
            (w.response, w.machine_view.response_due) = (None, false);
            if let Some(heartbeat) = w.heartbeat.take() {
                w.late_heartbeat = Some(heartbeat);
            }
            std::mem::take(&mut w.awaits_response)
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
                    goes(TaskState::Exited, Some(ExitReason::Stopped));
                }
                _ => {}
            }
        }
        // Reports and responses arrive.
        event(&mut |w| {
            let Some(heartbeat) = w.heartbeat.take() else {
                return false;
            };
            w.receive_heartbeat(&heartbeat, reconcile, seen);
            w.machine_view.response_due = true;
            true
        });
        event(&mut |w| {
            let Some(heartbeat) = w.late_heartbeat.take() else {
                return false;
            };
            w.receive_heartbeat(&heartbeat, reconcile, seen);
            true
        });
        event(&mut |w| {
            let asked = std::mem::take(&mut w.machine_view.response_due)
                && w.awaits_response
                && w.heartbeat.is_none();
            let mut orders = Vec::new();
            if w.machine_view.acknowledged {
                let cells = w.cells(HeartbeatEvidence::PLAIN, reconcile, seen);
                orders.extend(cells.iter().filter_map(|(a, c)| Some((c.action?, *a))));
            }
            let fencing_token = w.owner;
            w.response = Some(Response {
                fencing_token,
                orders,
            });
            asked
        });
        // The first shard leader, which does not know that it is deposed, responses instead.
        event(&mut |w| {
            let order = w
                .previous_start
                .map(|attempt| (ReconcileAction::Run, attempt));
            let orders = order.into_iter().collect();
            w.response = Some(Response {
                fencing_token: 1,
                orders,
            });
            w.owner == 2 && w.heartbeat.take().is_some()
        });
        event(&mut |w| {
            let Some(response) = w.response.take() else {
                return false;
            };
            w.awaits_response = false;
            if response.fencing_token >= w.fencing_token {
                w.fencing_token = response.fencing_token;
                for (order, attempt) in response.orders {
                    w.execute(order, attempt);
                }
            }
            true
        });
        // The owner starts the task, here or elsewhere; its picture becomes durable.
        if let Record::Waiting(attempt) = self.view
            && attempt <= ATTEMPTS
            && !self.cancelled
            && !self.allocation_removed
        {
            event(&mut |w| {
                w.view = Record::Here(attempt);
                w.machine_view.acknowledged && !w.leaving
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
            !std::mem::replace(&mut w.allocation_removed, over) && over
        });
        // The user cancels: what is not durable is not started any more.
        event(&mut |w| {
            if let Record::Here(a) | Record::Elsewhere(a) = w.view
                && w.view != w.record
            {
                w.view = Record::Waiting(a);
            }
            !w.allocation_removed && !std::mem::replace(&mut w.cancelled, true)
        });
        event(&mut |w| !std::mem::replace(&mut w.leaving, true));
        // Another owner takes over, with what is durable.
        event(&mut |w| {
            let here = match w.record {
                Record::Here(attempt) => Some(attempt),
                _ => None,
            };
            w.previous_start = here;
            w.view = w.record;
            w.machine_view = MachineView {
                inherited: here.is_some(),
                ..MachineView::default()
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
    fn broken_rule(&self) -> Option<&'static str> {
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
fn explore(reconcile: ReconcileFn) -> Result<Seen, &'static str> {
    let mut seen = Seen::new();
    let mut known = HashSet::from([INITIAL]);
    let mut queue = VecDeque::from([INITIAL]);
    while let Some(model) = queue.pop_front() {
        if let Some(broken_rule) = model.broken_rule() {
            return Err(broken_rule);
        }
        for next in model.next(reconcile, &mut seen) {
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

fn show(desired: DesiredState, observed: ObservedState, reached: bool) -> String {
    let cell = reconcile(
        desired,
        observed,
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
fn no_order_of_events_breaks_a_rule() {
    let seen = explore(reconcile).unwrap();
    let heads = COLUMNS.map(|(name, _)| name).join(" | ");
    let mut table = format!("| stored | {heads} |\n|{}\n", " --- |".repeat(10));
    for desired in DESIRED_STATES {
        let cells =
            COLUMNS.map(|(_, i)| show(desired, OBSERVED_STATES[i], seen.contains(&(desired, i))));
        table += &format!("| {desired:?} | {} |\n", cells.join(" | "));
    }
    let page = include_str!("../../../docs/recovery.md");
    assert!(page.contains(&table), "docs/recovery.md lacks:\n{table}");
}

/// The exploration can fail: with a table that trusts a heartbeat which has not acknowledged the fencing token, and with one
/// that finishes a failed task.
#[test]
fn a_wrong_table_breaks_a_rule() {
    let ignores_token: ReconcileFn = |desired, observed, evidence, machine, task| {
        let token = evidence.token.max(TokenState::Equal);
        reconcile(
            desired,
            observed,
            HeartbeatEvidence { token, ..evidence },
            machine,
            task,
        )
    };
    assert_eq!(explore(ignores_token), Err("ran_twice"));
    let finishes_failed: ReconcileFn = |desired, observed, evidence, machine, task| {
        let cell = reconcile(desired, observed, evidence, machine, task);
        let change = cell.change.map(|_| AllocationChangeKind::Finish);
        Reconciliation { change, ..cell }
    };
    assert_eq!(explore(finishes_failed), Err("not_done"));
}
