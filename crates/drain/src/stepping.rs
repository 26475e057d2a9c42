//! Decides what a drain does next. The leader calls it for each drain in progress, with its view of the
//! machines. An outcome that changes something is the next record of the drain.

use crate::entry::{Drain, Late, MAX_STEP_MACHINES, Plan, Stage, State, Step, Then};
use snowshelf_model::ids::{MachineId, WallClockMillis};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// A machine as the leader observes it.
#[derive(Clone, Debug)]
pub struct ObservedMachine {
    /// The zone of the machine.
    pub zone: String,
    /// The machine type.
    pub model: String,
    /// Whether it is a spot instance.
    pub spot: bool,
    /// When it was rented.
    pub rented_at: WallClockMillis,
    /// Whether it runs and a shard leader receives its heartbeats.
    pub up: bool,
    /// CPUs of the machine.
    pub cpus: f64,
    /// CPUs of the tasks that the records place on it.
    pub busy_cpus: f64,
    /// Work that evicting these tasks would lose, in CPU seconds; an estimate.
    pub unsaved_cpu_s: f64,
}

/// What the leader observes of the cluster.
pub struct ClusterView<'a> {
    /// The current time.
    pub now: WallClockMillis,
    /// All machines that the cloud lists and that have not been released.
    pub machines: &'a BTreeMap<MachineId, ObservedMachine>,
    /// Machines that their shard leaders report as empty or have just released.
    pub empty: &'a BTreeSet<MachineId>,
    /// Machines on which the started tasks fail.
    pub failing: &'a BTreeSet<MachineId>,
    /// Machines in steps of other drains, or kept empty by them.
    pub claimed: &'a BTreeSet<MachineId>,
    /// Zones in which other drains have a step.
    pub claimed_zones: &'a BTreeSet<String>,
    /// Whether all shards have leaders, and all of these report.
    pub complete: bool,
    /// Number of machines that failed or were interrupted and are still missing.
    pub lost_machines: usize,
    /// Whether the cloud has recently refused a request for lack of capacity.
    pub capacity_refused: bool,
    /// The longest time by which the cloud's list lags, in milliseconds.
    pub list_lag_ms: u64,
    /// The time in which the slowest machine type starts up, in milliseconds.
    pub slowest_ready_ms: u64,
    /// The interval between heartbeats, in milliseconds.
    pub report_ms: u64,
}

/// What a drain waits for.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum WaitingFor {
    /// An operator's action.
    Operator,
    /// Replacements to start up.
    Replacements,
    /// The cloud to have capacity for replacements.
    CloudCapacity,
    /// Tasks to end, or the disruption budgets to allow their eviction.
    Tasks,
    /// The canary step to be watched for long enough.
    Canary,
    /// Shards without a leader, or leaders that do not report.
    ShardLeaders,
    /// Lost machines to be replaced.
    LostMachines,
    /// Another drain that has a step in another zone, or claims the machines.
    OtherDrains,
    /// Selected machines that are not up or not listed yet.
    Machines,
}

impl fmt::Display for WaitingFor {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            WaitingFor::Operator => "an operator's word",
            WaitingFor::Replacements => "what was rented instead to be up",
            WaitingFor::CloudCapacity => "the cloud to have machines to give instead",
            WaitingFor::Tasks => "tasks to end, or a budget to let them be stopped",
            WaitingFor::Canary => "the first step to prove itself",
            WaitingFor::ShardLeaders => "all parts to have owners that are heard",
            WaitingFor::LostMachines => "machines that are missed to be replaced",
            WaitingFor::OtherDrains => "the step of another drain",
            WaitingFor::Machines => "its machines to be up and listed",
        })
    }
}

/// What a drain does next.
#[derive(Clone, PartialEq, Debug)]
pub enum NextAction {
    /// Nothing, until the condition holds.
    Wait(WaitingFor),
    /// Replace the record of the drain by this one.
    Write(Box<Drain>),
}

/// Machines rented within this time after the start of a step count as its replacements, in milliseconds. The
/// leader scales out twice a second, and the cloud accepts a few requests per second.
const REPLACEMENT_WINDOW_MS: u64 = 10_000;
/// Machines of the next step join the current one once 1/n of its size is emptied.
const ROLLING_DIVISOR: usize = 4;
/// No step begins while more than 1/n of all machines are lost.
const LOST_DIVISOR: usize = 20;
/// A step goes on while up to 1/n of its replacements are not up.
const NOT_UP_DIVISOR: usize = 10;
/// As `NOT_UP_DIVISOR`, once the replacements are overdue.
const OVERDUE_DIVISOR: usize = 3;
/// A drain is halted if 1/n of the new machines are failing; until the canary step is proven, if any is.
const FAILING_DIVISOR: usize = 10;

impl Drain {
    /// Whether the drain selects a machine.
    fn selects(&self, name: &MachineId, m: &ObservedMachine) -> bool {
        let selector = &self.selector;
        let named = selector.machines.is_empty() || selector.machines.contains(name);
        named
            && selector.zone.as_ref().is_none_or(|z| *z == m.zone)
            && selector.model.as_ref().is_none_or(|t| *t == m.model)
            && selector.spot.is_none_or(|s| s == m.spot)
            && m.rented_at < selector.older_than
    }

    /// Selected machines that are not emptied yet, without those of the next step.
    fn remaining<'a>(
        &'a self,
        view: &'a ClusterView,
    ) -> impl Iterator<Item = (&'a MachineId, &'a ObservedMachine)> + 'a {
        let selected = view.machines.iter().filter(|(n, m)| self.selects(n, m));
        let in_next_step = |name: &MachineId| {
            let planned = self.next_step.iter().any(|s| s.machines.contains(name));
            planned && self.step.is_some()
        };
        selected.filter(move |(name, _)| !self.kept_machines.contains(name) && !in_next_step(name))
    }

    /// The number of machines in a step, with so many remaining.
    fn step_size(&self, remaining: usize) -> usize {
        let of_all =
            |s: f64| ((remaining + self.emptied_machines as usize) as f64 * s).floor() as usize;
        let size = match (self.options.at_once, self.options.share) {
            (Some(n), _) => n as usize,
            (None, Some(s)) => of_all(s).max(1),
            (None, None) => of_all(0.1).max(1),
        };
        let size = size.min(MAX_STEP_MACHINES as usize);
        match self.finished_steps {
            0 if self.options.canary > 0 => size.min(self.options.canary as usize),
            _ => size,
        }
    }

    /// Computes what remains of the drain.
    fn plan(&self, view: &ClusterView) -> Plan {
        let (mut machines, mut busy_cpus) = (0, 0.0);
        let mut machines_by_zone: BTreeMap<String, u32> = BTreeMap::new();
        for (_, m) in self.remaining(view) {
            machines += 1;
            busy_cpus += m.busy_cpus;
            *machines_by_zone.entry(m.zone.clone()).or_default() += 1;
        }
        let first = self.step_size(machines).min(machines);
        let after_canary = Drain {
            finished_steps: 1,
            ..self.clone()
        };
        let step_size = after_canary.step_size(machines).max(1);
        // The last step of a zone holds no machines of the next zone.
        let mut steps: usize = match self.options.any_zone {
            true => (machines - first).div_ceil(step_size),
            false => machines_by_zone
                .values()
                .map(|n| (*n as usize).div_ceil(step_size))
                .sum(),
        };
        let canary = self.finished_steps == 0 && self.options.canary > 0;
        steps += usize::from(canary && machines > first);
        let replacement_ms = match self.options.then {
            Then::Replace => 2 * view.slowest_ready_ms,
            Then::Keep | Then::Return => 0,
        };
        let step_ms =
            replacement_ms + self.options.patience_ms + 2 * view.report_ms + view.list_lag_ms;
        let watch_ms = if canary { self.options.watch_ms } else { 0 };
        Plan {
            machines: machines as u32,
            machines_by_zone,
            steps: steps as u32,
            busy_cpus,
            max_duration_ms: steps as u64 * step_ms + watch_ms,
        }
    }

    fn into_write(self) -> NextAction {
        NextAction::Write(Box::new(self))
    }

    /// Sets a state in which no step is in progress.
    fn end_steps(&self, state: State, reason: Option<String>) -> NextAction {
        Drain {
            state,
            reason,
            step: None,
            next_step: None,
            ..self.clone()
        }
        .into_write()
    }

    /// Halts the drain after a failed step, until an operator resumes it. The machines of the step are used
    /// again.
    fn halt(&self, reason: String) -> NextAction {
        self.end_steps(State::Halted, Some(reason))
    }
}

/// The first names of a list, for a message.
fn join_names<'a>(list: impl Iterator<Item = &'a MachineId>) -> String {
    let names: Vec<&str> = list.take(8).map(|n| n.as_str()).collect();
    names.join(", ")
}

/// Decides what a drain does next.
pub fn next_action(drain: &Drain, view: &ClusterView) -> NextAction {
    if drain.state.has_ended() {
        return NextAction::Wait(WaitingFor::Operator);
    }
    if drain.plan.is_none() {
        // The plan is published before the first step.
        let plan = Some(drain.plan(view));
        return Drain {
            plan,
            ..drain.clone()
        }
        .into_write();
    }
    if drain.state == State::Halted {
        return NextAction::Wait(WaitingFor::Operator);
    }
    let past_deadline = drain.options.by.is_some_and(|by| by <= view.now);
    match (&drain.step, drain.state) {
        (Some(step), _) => continue_step(drain, step, past_deadline, view),
        (None, State::Paused) => NextAction::Wait(WaitingFor::Operator),
        (None, _) => begin_step(drain, past_deadline, view),
    }
}

/// Advances or finishes the step in progress.
fn continue_step(
    drain: &Drain,
    step: &Step,
    past_deadline: bool,
    view: &ClusterView,
) -> NextAction {
    if past_deadline && step.stage != Stage::Forcing {
        return match drain.options.late {
            Late::GiveUp => {
                let left = join_names(step.machines.iter());
                drain.end_steps(
                    State::GivenUp,
                    Some(format!("not over in time; it was at {left}")),
                )
            }
            Late::Force => with_stage(drain, step, Stage::Forcing, view),
        };
    }
    if step.stage == Stage::AwaitingReplacements {
        return await_replacements(drain, step, view);
    }
    // A listed machine is still there unless its shard leader has just released it. Of machines that are kept,
    // the shard leaders report whether they are empty.
    let is_pending =
        |name: &&MachineId| view.machines.contains_key(*name) && !view.empty.contains(*name);
    let pending: Vec<MachineId> = step.machines.iter().filter(is_pending).cloned().collect();
    if !pending.is_empty() {
        return match roll_forward(drain, step, &pending, past_deadline, view) {
            Some(next) => next,
            None => prepare_next_step(drain, step, past_deadline, view),
        };
    }
    let mut next = drain.clone();
    next.step = next.next_step.take();
    next.finished_steps += 1;
    next.emptied_machines += step.machines.len() as u32;
    next.last_step_at = Some(view.now);
    if drain.options.then == Then::Keep {
        next.kept_machines.extend(step.machines.iter().cloned());
        next.kept_machines.sort();
    }
    next.plan = Some(next.plan(view));
    if next.step.is_some() {
        return next.into_write();
    }
    // If the next step may begin, one write both ends this step and begins that one.
    match (next.state, begin_step(&next, past_deadline, view)) {
        (State::Running, NextAction::Write(both)) => NextAction::Write(both),
        _ => next.into_write(),
    }
}

/// Moves machines of the next step into the current one, in place of those that are emptied. `None` unless
/// enough machines are emptied and the replacements for the next step are up.
fn roll_forward(
    drain: &Drain,
    step: &Step,
    pending: &[MachineId],
    past_deadline: bool,
    view: &ClusterView,
) -> Option<NextAction> {
    let next_step = drain
        .next_step
        .as_ref()
        .filter(|_| !past_deadline && step.stage == Stage::Emptying)?;
    let size = drain.step_size(drain.remaining(view).count());
    let vacant = size.saturating_sub(pending.len());
    if drain.state != State::Running || vacant * ROLLING_DIVISOR < size || vacant == 0 {
        return None;
    }
    if replacement_status(next_step, view) != ReplacementStatus::Ready {
        return None;
    }
    let (joining, later) = next_step
        .machines
        .split_at(vacant.min(next_step.machines.len()));
    let mut next = drain.clone();
    next.finished_steps += 1;
    next.emptied_machines += (step.machines.len() - pending.len()) as u32;
    next.last_step_at = Some(view.now);
    next.step = Some(Step {
        machines: pending.iter().chain(joining).cloned().collect(),
        stage: Stage::Emptying,
        since: view.now,
    });
    next.next_step = (!later.is_empty()).then(|| Step {
        machines: later.to_vec(),
        ..next_step.clone()
    });
    next.plan = Some(next.plan(view));
    Some(next.into_write())
}

/// Chooses the next step while the current one is emptied, so that its replacements start up meanwhile. Not
/// before the canary step has finished.
fn prepare_next_step(
    drain: &Drain,
    step: &Step,
    past_deadline: bool,
    view: &ClusterView,
) -> NextAction {
    let replaces = drain.options.then == Then::Replace && drain.state == State::Running;
    if past_deadline
        || !replaces
        || drain.next_step.is_some()
        || drain.finished_steps == 0 && drain.options.canary > 0
    {
        return NextAction::Wait(WaitingFor::Tasks);
    }
    let mut view = ClusterView { ..*view };
    let mut claimed = view.claimed.clone();
    claimed.extend(step.machines.iter().cloned());
    view.claimed = &claimed;
    match begin_step(drain, false, &view) {
        NextAction::Write(mut next) if next.state == State::Running => {
            next.next_step = next.step.take();
            next.step = Some(step.clone());
            NextAction::Write(next)
        }
        NextAction::Write(halted) if halted.state == State::Halted => NextAction::Write(halted),
        _ => NextAction::Wait(WaitingFor::Tasks),
    }
}

/// Moves the step in progress to another stage.
fn with_stage(drain: &Drain, step: &Step, stage: Stage, view: &ClusterView) -> NextAction {
    let step = Step {
        machines: step.machines.clone(),
        stage,
        since: view.now,
    };
    Drain {
        step: Some(step),
        ..drain.clone()
    }
    .into_write()
}

/// The replacements of a step.
#[derive(PartialEq)]
enum ReplacementStatus {
    /// Enough are up, or none are needed.
    Ready,
    Waiting(WaitingFor),
    /// Most did not start up in time; with the message for operators.
    Failed(String),
}

/// Begins to empty a step once its replacements are up; halts the drain if they fail to start.
fn await_replacements(drain: &Drain, step: &Step, view: &ClusterView) -> NextAction {
    match replacement_status(step, view) {
        ReplacementStatus::Ready => with_stage(drain, step, Stage::Emptying, view),
        ReplacementStatus::Waiting(waiting_for) => NextAction::Wait(waiting_for),
        ReplacementStatus::Failed(reason) => drain.halt(reason),
    }
}

/// Checks whether a step's replacements are up, or none are needed. Machines that were rented soon after the step
/// began count as replacements, as its machines do not count as capacity from then on.
fn replacement_status(step: &Step, view: &ClusterView) -> ReplacementStatus {
    let until = WallClockMillis(step.since.0 + REPLACEMENT_WINDOW_MS);
    let replacements = || {
        let machines = view.machines.iter();
        machines.filter(move |(_, m)| step.since <= m.rented_at && m.rented_at <= until)
    };
    let waited = view.now.0.saturating_sub(step.since.0);
    if waited < REPLACEMENT_WINDOW_MS + view.list_lag_ms {
        return ReplacementStatus::Waiting(WaitingFor::Replacements);
    }
    let step_machines = || step.machines.iter().filter_map(|n| view.machines.get(n));
    let leaving_cpus: f64 = step_machines().map(|m| m.cpus).sum();
    let up_cpus: f64 = replacements()
        .filter(|(_, m)| m.up)
        .map(|(_, m)| m.cpus)
        .sum();
    let all = replacements().count();
    let not_up: Vec<&MachineId> = replacements()
        .filter(|(_, m)| !m.up)
        .map(|(n, _)| n)
        .collect();
    // A few replacements that do not start up do not delay the step; once overdue, more may be missing.
    let overdue = waited > 3 * view.slowest_ready_ms / 2 + REPLACEMENT_WINDOW_MS;
    let divisor = if overdue {
        OVERDUE_DIVISOR
    } else {
        NOT_UP_DIVISOR
    };
    if up_cpus >= leaving_cpus || not_up.len() * divisor <= all {
        // Without replacements, none are needed or the cloud has none. In the second case the other machines must
        // have space for the step's tasks.
        let others = view
            .machines
            .iter()
            .filter(|(n, m)| m.up && !step.machines.contains(n));
        let free_cpus: f64 = others.map(|(_, m)| (m.cpus - m.busy_cpus).max(0.0)).sum();
        let busy_cpus: f64 = step_machines().map(|m| m.busy_cpus).sum();
        return match all == 0 && view.capacity_refused && free_cpus < busy_cpus {
            true => ReplacementStatus::Waiting(WaitingFor::CloudCapacity),
            false => ReplacementStatus::Ready,
        };
    }
    let timeout_ms = 3 * view.slowest_ready_ms + 20_000;
    if waited <= timeout_ms {
        return ReplacementStatus::Waiting(WaitingFor::Replacements);
    }
    if 2 * not_up.len() <= all {
        return ReplacementStatus::Ready;
    }
    let which = join_names(not_up.iter().copied());
    ReplacementStatus::Failed(format!(
        "of {all} machines rented for its step {} are not up after {} s: {which}",
        not_up.len(),
        waited / 1000,
    ))
}

/// Begins the next step, or ends the drain if no machines remain.
fn begin_step(drain: &Drain, past_deadline: bool, view: &ClusterView) -> NextAction {
    let remaining: Vec<(&MachineId, &ObservedMachine)> = drain.remaining(view).collect();
    if remaining.is_empty() {
        // The list may be older than the drain and lack machines that were rented just before it.
        let list_is_recent = view.now.0 > drain.requested_at.0 + 4 * view.list_lag_ms;
        return match list_is_recent {
            true => drain.end_steps(State::Done, None),
            false => NextAction::Wait(WaitingFor::Machines),
        };
    }
    if past_deadline && drain.options.late == Late::GiveUp {
        return drain.end_steps(State::GivenUp, Some("not over in time".to_string()));
    }
    let new_machines = || {
        let machines = view.machines.iter();
        machines.filter(|(_, m)| m.rented_at >= drain.watched_since)
    };
    let failing: Vec<&MachineId> = new_machines()
        .map(|(n, _)| n)
        .filter(|n| view.failing.contains(*n))
        .collect();
    let all = new_machines().count();
    let first = drain.finished_steps <= 1 && drain.options.canary > 0;
    if !failing.is_empty() && (first || failing.len() * FAILING_DIVISOR >= all) {
        let which = join_names(failing.iter().copied());
        return drain.halt(format!(
            "of {all} new machines {} fail what they start: {which}",
            failing.len()
        ));
    }
    if !view.complete {
        return NextAction::Wait(WaitingFor::ShardLeaders);
    }
    let now = view.now;
    let is_watched = |at: WallClockMillis| now.0 >= at.0 + drain.options.watch_ms;
    let canary = drain.finished_steps == 1 && drain.options.canary > 0;
    if !past_deadline && canary && !drain.last_step_at.is_none_or(is_watched) {
        return NextAction::Wait(WaitingFor::Canary);
    }
    if !past_deadline
        && view.lost_machines > 1
        && view.lost_machines * LOST_DIVISOR > view.machines.len()
    {
        return NextAction::Wait(WaitingFor::LostMachines);
    }
    let size = drain.step_size(remaining.len());
    let mut available: Vec<(&MachineId, &ObservedMachine)> = remaining
        .iter()
        .copied()
        .filter(|(name, m)| m.up && !view.claimed.contains(*name))
        .collect();
    if available.is_empty() {
        let claimed = remaining
            .iter()
            .any(|(name, _)| view.claimed.contains(*name));
        return NextAction::Wait(if claimed {
            WaitingFor::OtherDrains
        } else {
            WaitingFor::Machines
        });
    }
    if !drain.options.any_zone {
        // All drains together work in one zone at a time: the one with the fewest machines, of those that no
        // other drain excludes.
        let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
        for (_, m) in &available {
            *counts.entry(&m.zone).or_default() += 1;
        }
        let is_open = |zone: &&str| view.claimed_zones.iter().all(|z| z == *zone);
        let zone = counts.iter().filter(|(z, _)| is_open(z));
        let Some(zone) = zone.min_by_key(|(_, n)| **n).map(|(z, _)| z.to_string()) else {
            return NextAction::Wait(WaitingFor::OtherDrains);
        };
        available.retain(|(_, m)| m.zone == zone);
    }
    // Machines whose tasks lose the least work go first, idle ones among them; the oldest first at a tie.
    available.sort_by(|(a, m), (b, n)| m.unsaved_cpu_s.total_cmp(&n.unsaved_cpu_s).then(a.cmp(b)));
    available.truncate(size);
    let mut machines: Vec<MachineId> = available.into_iter().map(|(n, _)| n.clone()).collect();
    machines.sort();
    let stage = match drain.options.then {
        _ if past_deadline => Stage::Forcing,
        Then::Replace => Stage::AwaitingReplacements,
        Then::Keep | Then::Return => Stage::Emptying,
    };
    let mut next = drain.clone();
    next.plan = Some(drain.plan(view));
    next.step = Some(Step {
        machines,
        stage,
        since: now,
    });
    next.into_write()
}
