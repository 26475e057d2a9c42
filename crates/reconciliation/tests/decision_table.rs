//! Model checking of the decision table. The model has one task, one machine and two successive shard leaders,
//! and covers every order of heartbeats, responses, writes, task exits, expired leases and a takeover. All
//! reachable states are explored; the model itself does not depend on the table.

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

/// Attempts are numbered 1 and 2; attempt `n` has index `n - 1` in a list.
const ATTEMPTS: u8 = 2;
/// The machine's list of attempts; `None` for an attempt that it does not list.
type Listed = [Option<(TaskState, Option<ExitReason>)>; ATTEMPTS as usize];

/// The task in an allocation record, with the attempt.
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
    /// The shard leader has received a newer heartbeat.
    superseded: bool,
}

#[derive(Clone, PartialEq, Eq, Hash, Debug)]
struct Response {
    fencing_token: u8,
    commands: Vec<(ReconcileAction, u8)>,
}

/// What a shard leader knows of the machine.
#[derive(Clone, PartialEq, Eq, Hash, Debug, Default)]
struct MachineView {
    incarnation: Option<u8>,
    acknowledged: bool,
    listed: Listed,
    inherited: bool,
    /// A heartbeat has been received and not responded to.
    response_due: bool,
}

#[derive(Clone, PartialEq, Eq, Hash, Debug)]
struct Model {
    record: Record,
    /// The record with the shard leader's pending changes.
    view: Record,
    cancelled: bool,
    /// The allocation has been removed.
    allocation_removed: bool,
    /// 1 before the takeover and 2 after it; also the fencing token.
    shard_leader: u8,
    /// The attempt that was durably started on the machine at the takeover: the first shard leader may still
    /// command it.
    previous_start: Option<u8>,
    machine_view: MachineView,
    incarnation: u8,
    fencing_token: u8,
    listed: Listed,
    /// The heartbeat in flight to which the machine awaits a response, and one for which it has stopped waiting.
    heartbeat: Option<Heartbeat>,
    late_heartbeat: Option<Heartbeat>,
    awaits_response: bool,
    response: Option<Response>,
    /// The task has completed on some machine.
    completed: bool,
    /// The tasks on the machine are being evicted.
    evicting: bool,
}

const INITIAL: Model = Model {
    record: Record::Waiting(1),
    view: Record::Waiting(1),
    cancelled: false,
    allocation_removed: false,
    shard_leader: 1,
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
    evicting: false,
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
        match self.evicting {
            true => MachineDisposition::Evicting,
            false => MachineDisposition::Retained,
        }
    }

    /// The cells of the table for all attempts that the shard leader knows of, under `evidence`.
    fn cells(
        &self,
        evidence: HeartbeatEvidence,
        reconcile: ReconcileFn,
        seen: &mut Seen,
    ) -> Vec<(u8, Reconciliation)> {
        let mut cells = Vec::new();
        for attempt in 1..=ATTEMPTS {
            let observed = match self.machine_view.listed[attempt as usize - 1] {
                Some((state, reason)) => ObservedState::Listed(state, reason),
                None if self.view == Record::Here(attempt) => ObservedState::Absent,
                None => continue,
            };
            let desired = self.desired_state(attempt);
            let matches = |state: &ObservedState| *state == observed;
            seen.insert((desired, OBSERVED_STATES.iter().position(matches).unwrap()));
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
        if heartbeat.superseded {
            return;
        }
        let acknowledged = heartbeat.fencing_token == self.shard_leader;
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
                .is_some_and(|known| known < heartbeat.incarnation),
            inherited: acknowledged && std::mem::take(&mut self.machine_view.inherited),
        };
        self.machine_view.incarnation = Some(heartbeat.incarnation);
        self.machine_view.acknowledged = acknowledged;
        self.machine_view.listed = heartbeat.listed;
        if let Some(late) = &mut self.late_heartbeat {
            late.superseded = true;
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

    /// All states that a single event leads to.
    #[expect(clippy::too_many_lines, reason = "a sequential list of events")]
    fn next(&self, reconcile: ReconcileFn, seen: &mut Seen) -> Vec<Model> {
        let mut next = Vec::new();
        let mut event = |change: &mut dyn FnMut(&mut Model) -> bool| {
            let mut model = self.clone();
            if change(&mut model) {
                next.push(model);
            }
        };
        // The machine sends a heartbeat.
        event(&mut |model| {
            let heartbeat = Heartbeat {
                incarnation: model.incarnation,
                fencing_token: model.fencing_token,
                listed: model.listed,
                superseded: false,
            };
            !std::mem::replace(&mut model.awaits_response, true)
                && model.heartbeat.replace(heartbeat).is_none()
        });
        // The machine stops waiting for a response; the heartbeat may still arrive. Its connection is closed,
        // so that a response to it is lost.
        event(&mut |model| {
            (model.response, model.machine_view.response_due) = (None, false);
            if let Some(heartbeat) = model.heartbeat.take() {
                model.late_heartbeat = Some(heartbeat);
            }
            std::mem::take(&mut model.awaits_response)
        });
        // The machine's lease expires, which ends its tasks and its agent incarnation.
        event(&mut |model| {
            model.incarnation += 1;
            model.listed = [None; 2];
            model.incarnation <= 2
        });
        // The machine's tasks change their states.
        for i in 0..ATTEMPTS as usize {
            let mut transition = |to: TaskState, reason: Option<ExitReason>| {
                event(&mut |model| {
                    model.listed[i] = Some((to, reason));
                    model.completed |= reason == Some(ExitReason::Done);
                    true
                });
            };
            match self.listed[i] {
                Some((TaskState::Pulling, _)) => {
                    transition(TaskState::Running, None);
                    transition(TaskState::Exited, Some(ExitReason::Unknown));
                    transition(TaskState::Exited, Some(ExitReason::Full));
                }
                Some((TaskState::Running, _)) => {
                    transition(TaskState::Exited, Some(ExitReason::Done));
                    transition(TaskState::Exited, Some(ExitReason::Error));
                }
                Some((TaskState::Checkpointing, _)) => {
                    transition(TaskState::Exited, Some(ExitReason::Stopped));
                }
                _ => {}
            }
        }
        // A heartbeat arrives at the shard leader.
        event(&mut |model| {
            let Some(heartbeat) = model.heartbeat.take() else {
                return false;
            };
            model.receive_heartbeat(&heartbeat, reconcile, seen);
            model.machine_view.response_due = true;
            true
        });
        // A heartbeat arrives whose response the machine no longer awaits.
        event(&mut |model| {
            let Some(heartbeat) = model.late_heartbeat.take() else {
                return false;
            };
            model.receive_heartbeat(&heartbeat, reconcile, seen);
            true
        });
        // The shard leader responds to the heartbeat.
        event(&mut |model| {
            let response_awaited = std::mem::take(&mut model.machine_view.response_due)
                && model.awaits_response
                && model.heartbeat.is_none();
            let mut commands = Vec::new();
            if model.machine_view.acknowledged {
                let cells = model.cells(HeartbeatEvidence::PLAIN, reconcile, seen);
                commands.extend(
                    cells
                        .iter()
                        .filter_map(|(attempt, cell)| Some((cell.action?, *attempt))),
                );
            }
            let fencing_token = model.shard_leader;
            model.response = Some(Response {
                fencing_token,
                commands,
            });
            response_awaited
        });
        // The first shard leader responds instead, as it does not know yet that it is deposed.
        event(&mut |model| {
            let command = model
                .previous_start
                .map(|attempt| (ReconcileAction::Run, attempt));
            let commands = command.into_iter().collect();
            model.response = Some(Response {
                fencing_token: 1,
                commands,
            });
            model.shard_leader == 2 && model.heartbeat.take().is_some()
        });
        // The response arrives at the machine.
        event(&mut |model| {
            let Some(response) = model.response.take() else {
                return false;
            };
            model.awaits_response = false;
            if response.fencing_token >= model.fencing_token {
                model.fencing_token = response.fencing_token;
                for (command, attempt) in response.commands {
                    model.execute(command, attempt);
                }
            }
            true
        });
        // The shard leader starts the task, on this machine or on another one.
        if let Record::Waiting(attempt) = self.view
            && attempt <= ATTEMPTS
            && !self.cancelled
            && !self.allocation_removed
        {
            event(&mut |model| {
                model.view = Record::Here(attempt);
                model.machine_view.acknowledged && !model.evicting
            });
            event(&mut |model| {
                model.view = Record::Elsewhere(attempt);
                true
            });
        }
        // An attempt on another machine finishes, or ends and is requeued.
        if let Record::Elsewhere(attempt) = self.record
            && self.view == self.record
        {
            event(&mut |model| {
                (model.view, model.completed) = (Record::Finished, true);
                true
            });
            event(&mut |model| {
                model.view = Record::Waiting(attempt + 1);
                true
            });
        }
        // The pending changes become durable.
        event(&mut |model| {
            model.record = model.view;
            *model != *self
        });
        // The allocation is removed once the task has finished, or waits and is cancelled.
        event(&mut |model| {
            let idle = model.cancelled && matches!(model.record, Record::Waiting(_));
            let over = model.record == model.view && (idle || model.record == Record::Finished);
            !std::mem::replace(&mut model.allocation_removed, over) && over
        });
        // The user cancels the job: a start that is not durable is withdrawn.
        event(&mut |model| {
            if let Record::Here(attempt) | Record::Elsewhere(attempt) = model.view
                && model.view != model.record
            {
                model.view = Record::Waiting(attempt);
            }
            !model.allocation_removed && !std::mem::replace(&mut model.cancelled, true)
        });
        // Eviction of the machine begins.
        event(&mut |model| !std::mem::replace(&mut model.evicting, true));
        // The second shard leader takes over and reads the durable record.
        event(&mut |model| {
            let here = match model.record {
                Record::Here(attempt) => Some(attempt),
                _ => None,
            };
            model.previous_start = here;
            model.view = model.record;
            model.machine_view = MachineView {
                inherited: here.is_some(),
                ..MachineView::default()
            };
            std::mem::replace(&mut model.shard_leader, 2) == 1
        });
        next
    }

    /// Executes a command on the machine.
    fn execute(&mut self, command: ReconcileAction, attempt: u8) {
        let i = attempt as usize - 1;
        let other_alive = self.listed[1 - i].is_some_and(|(state, _)| state != TaskState::Exited);
        self.listed[i] = match (command, self.listed[i]) {
            (ReconcileAction::Run, None) if other_alive => {
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
            (_, unchanged) => unchanged,
        };
    }

    /// The invariant that this state violates, if any. The names are those of the simulation's rules.
    fn violated_invariant(&self) -> Option<&'static str> {
        let is_running = |entry: &Option<(TaskState, Option<ExitReason>)>| {
            entry.is_some_and(|(state, _)| {
                matches!(state, TaskState::Running | TaskState::Checkpointing)
            })
        };
        let running_here = self.listed.iter().any(is_running);
        match self.record {
            Record::Elsewhere(_) if running_here => Some("ran_twice"),
            Record::Finished if !self.completed => Some("not_done"),
            Record::Finished if running_here => Some("ran again after its end was durable"),
            _ => None,
        }
    }
}

/// Pairs of desired state and index of the observed state that were looked up.
type Seen = BTreeSet<(DesiredState, usize)>;

/// Explores all reachable states. Returns the cells that were looked up, or the first violated invariant.
fn explore(reconcile: ReconcileFn) -> Result<Seen, &'static str> {
    let mut seen = Seen::new();
    let mut known = HashSet::from([INITIAL]);
    let mut queue = VecDeque::from([INITIAL]);
    while let Some(model) = queue.pop_front() {
        if let Some(invariant) = model.violated_invariant() {
            return Err(invariant);
        }
        for next in model.next(reconcile, &mut seen) {
            if known.insert(next.clone()) {
                queue.push_back(next);
            }
        }
    }
    Ok(seen)
}

/// The columns of the table in `docs/recovery.md`, with the index of the observed state.
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

/// Formats a cell as `docs/recovery.md` shows it; an asterisk marks a cell that no explored state reaches.
fn format_cell(desired: DesiredState, observed: ObservedState, reached: bool) -> String {
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
    let command = match cell.action {
        Some(ReconcileAction::Run) => ", run",
        Some(ReconcileAction::Kill) => ", kill",
        Some(ReconcileAction::Stop) => ", stop",
        Some(ReconcileAction::Reap) => ", reap",
        None => "",
    };
    let mark = if reached { "" } else { " *" };
    format!("{finding}{write}{command}{mark}")
}

/// Guards against decisions that, in some order of events, run a task twice or record as finished a task that
/// has not completed. Also guards against a table in `docs/recovery.md` that differs from the code, in its
/// cells or in which of them are reachable.
#[test]
fn decision_table_upholds_invariants_in_every_order_of_events() {
    let seen = explore(reconcile).unwrap();
    let headings = COLUMNS.map(|(name, _)| name).join(" | ");
    let mut table = format!("| stored | {headings} |\n|{}\n", " --- |".repeat(10));
    for desired in DESIRED_STATES {
        let cells = COLUMNS
            .map(|(_, i)| format_cell(desired, OBSERVED_STATES[i], seen.contains(&(desired, i))));
        table += &format!("| {desired:?} | {} |\n", cells.join(" | "));
    }
    let page = include_str!("../../../docs/recovery.md");
    assert!(page.contains(&table), "docs/recovery.md lacks:\n{table}");
}

/// Guards against an exploration that cannot fail. One faulty table trusts a heartbeat that has not
/// acknowledged the fencing token, the other finishes a failed task.
#[test]
fn exploration_reports_the_violation_of_a_faulty_table() {
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
