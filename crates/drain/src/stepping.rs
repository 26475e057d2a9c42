//! What a drain does next: the leader asks for each drain that stands, by what it sees of the machines.
//! Every answer that changes something is the drain's next record.

use crate::entry::{Drain, Late, MOST_AT_ONCE, Plan, Stage, State, Step, Then};
use snowshelf_model::ids::{MachineId, WallClockMillis};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// A machine as the leader sees it.
#[derive(Clone, Debug)]
pub struct Seen {
    pub zone: String,
    pub model: String,
    pub spot: bool,
    pub rented: WallClockMillis,
    /// It is up, and some owner hears of it.
    pub up: bool,
    pub cpus: f64,
    /// CPUs of tasks that the records have there.
    pub busy: f64,
    /// CPU seconds that stopping these loses, as far as is known.
    pub loses: f64,
}

/// What the leader sees.
pub struct View<'a> {
    pub now: WallClockMillis,
    /// All that the cloud lists and that are not returned.
    pub machines: &'a BTreeMap<MachineId, Seen>,
    /// Those that their owners say are empty, or have been returned a moment ago.
    pub empty: &'a BTreeSet<MachineId>,
    /// Those that failed what they started.
    pub sick: &'a BTreeSet<MachineId>,
    /// Those in other drains' steps, or kept by them.
    pub taken: &'a BTreeSet<MachineId>,
    /// Zones in which other drains have a step.
    pub zones: &'a BTreeSet<String>,
    /// All parts have owners, and all controllers are heard.
    pub whole: bool,
    /// Machines that are missed: they died or were taken.
    pub missed: usize,
    /// The cloud had no more of something lately.
    pub refused: bool,
    /// How late the list may be, and how long the slowest type takes to be up.
    pub lag_ms: u64,
    pub ready_ms: u64,
    pub report_ms: u64,
}

/// What a drain waits for.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Waits {
    /// An operator's word.
    Word,
    /// What was rented in its place to come up.
    Replacement,
    /// The cloud to have something to give in its place.
    Capacity,
    /// Tasks to end, or the teams' budgets to let them be stopped.
    Tasks,
    /// The first step to prove itself.
    Watching,
    /// Parts without an owner, or controllers that are not heard.
    Owners,
    /// Too many machines are missed.
    Losses,
    /// Another drain has a step in another zone, or holds the machines.
    Others,
    /// Machines that are not up yet, or not listed.
    Machines,
}

impl fmt::Display for Waits {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Waits::Word => "an operator's word",
            Waits::Replacement => "what was rented instead to be up",
            Waits::Capacity => "the cloud to have machines to give instead",
            Waits::Tasks => "tasks to end, or a budget to let them be stopped",
            Waits::Watching => "the first step to prove itself",
            Waits::Owners => "all parts to have owners that are heard",
            Waits::Losses => "machines that are missed to be replaced",
            Waits::Others => "the step of another drain",
            Waits::Machines => "its machines to be up and listed",
        })
    }
}

/// What comes next.
#[derive(Clone, PartialEq, Debug)]
pub enum Next {
    Wait(Waits),
    Write(Box<Drain>),
}

/// What is rented within so long after a step's beginning is rented for it: the leader plans twice a second,
/// and the cloud takes a few requests a second.
const PLANNED_MS: u64 = 10_000;
/// The next step's machines follow once one in so many of those that are emptied at a time is gone.
const ROLL: usize = 4;
/// Of the machines, one in so many may be missed while a step begins.
const MISSED: usize = 20;
/// Of the machines rented for a step, one in so many may come up late.
const STRAY: usize = 10;
/// The same once they should long be up.
const LATE_STRAY: usize = 3;
/// Of the new machines, one in so many may turn out sick.
const SICK: usize = 10;

impl Drain {
    /// Whether a machine is one of those that it concerns.
    fn concerns(&self, name: &MachineId, m: &Seen) -> bool {
        let which = &self.which;
        let named = which.machines.is_empty() || which.machines.contains(name);
        named
            && which.zone.as_ref().is_none_or(|z| *z == m.zone)
            && which.model.as_ref().is_none_or(|t| *t == m.model)
            && which.spot.is_none_or(|s| s == m.spot)
            && m.rented < which.older_than
    }

    fn left<'a>(&'a self, view: &'a View) -> impl Iterator<Item = (&'a MachineId, &'a Seen)> + 'a {
        let ours = view.machines.iter().filter(|(n, m)| self.concerns(n, m));
        let stepped = |name: &MachineId| {
            let ahead = self.ahead.iter().any(|s| s.machines.contains(name));
            ahead && self.step.is_some()
        };
        ours.filter(move |(name, _)| !self.kept.contains(name) && !stepped(name))
    }

    /// Machines of a step.
    fn size(&self, left: usize) -> usize {
        let share = |s: f64| ((left + self.gone as usize) as f64 * s).floor() as usize;
        let most = match (self.how.at_once, self.how.share) {
            (Some(n), _) => n as usize,
            (None, Some(s)) => share(s).max(1),
            (None, None) => share(0.1).max(1),
        };
        let most = most.min(MOST_AT_ONCE as usize);
        match self.steps {
            0 if self.how.canary > 0 => most.min(self.how.canary as usize),
            _ => most,
        }
    }

    fn plan(&self, view: &View) -> Plan {
        let (mut machines, mut busy) = (0, 0.0);
        let mut zones: BTreeMap<String, u32> = BTreeMap::new();
        for (_, m) in self.left(view) {
            machines += 1;
            busy += m.busy;
            *zones.entry(m.zone.clone()).or_default() += 1;
        }
        let first = self.size(machines).min(machines);
        let begun = Drain {
            steps: 1,
            ..self.clone()
        };
        let each = begun.size(machines).max(1);
        // Each zone ends with a step of its own.
        let mut steps: usize = match self.how.any_zone {
            true => (machines - first).div_ceil(each),
            false => zones.values().map(|n| (*n as usize).div_ceil(each)).sum(),
        };
        let canary = self.steps == 0 && self.how.canary > 0;
        steps += usize::from(canary && machines > first);
        let brings = match self.how.then {
            Then::Replace => 2 * view.ready_ms,
            Then::Keep | Then::Return => 0,
        };
        let step_ms = brings + self.how.patience_ms + 2 * view.report_ms + view.lag_ms;
        let watch_ms = if canary { self.how.watch_ms } else { 0 };
        Plan {
            machines: machines as u32,
            zones,
            steps: steps as u32,
            busy,
            takes_ms: steps as u64 * step_ms + watch_ms,
        }
    }

    fn written(self) -> Next {
        Next::Write(Box::new(self))
    }

    fn ends(&self, state: State, why: Option<String>) -> Next {
        Drain {
            state,
            why,
            step: None,
            ahead: None,
            ..self.clone()
        }
        .written()
    }

    /// A step that went wrong goes no further without an operator's word; its machines serve again.
    fn halts(&self, why: String) -> Next {
        self.ends(State::Halted, Some(why))
    }
}

fn names<'a>(list: impl Iterator<Item = &'a MachineId>) -> String {
    let names: Vec<&str> = list.take(8).map(|n| n.as_str()).collect();
    names.join(", ")
}

/// What a drain does next.
pub fn next(drain: &Drain, view: &View) -> Next {
    if drain.state.ended() {
        return Next::Wait(Waits::Word);
    }
    if drain.plan.is_none() {
        // What it comes to is told before anything is done.
        let plan = Some(drain.plan(view));
        return Drain {
            plan,
            ..drain.clone()
        }
        .written();
    }
    if drain.state == State::Halted {
        return Next::Wait(Waits::Word);
    }
    let late = drain.how.by.is_some_and(|by| by <= view.now);
    match (&drain.step, drain.state) {
        (Some(step), _) => go_on(drain, step, late, view),
        (None, State::Paused) => Next::Wait(Waits::Word),
        (None, _) => begin(drain, late, view),
    }
}

/// What becomes of the step that is underway.
fn go_on(drain: &Drain, step: &Step, late: bool, view: &View) -> Next {
    if late && step.stage != Stage::Forcing {
        return match drain.how.late {
            Late::GiveUp => {
                let left = names(step.machines.iter());
                drain.ends(
                    State::GivenUp,
                    Some(format!("not over in time; it was at {left}")),
                )
            }
            Late::Force => at(drain, step, Stage::Forcing, view),
        };
    }
    if step.stage == Stage::Bringing {
        return bring(drain, step, view);
    }
    // Listed machines are there, unless their owner has just returned them; of those that are kept the owners
    // say whether they are empty.
    let still =
        |name: &&MachineId| view.machines.contains_key(*name) && !view.empty.contains(*name);
    let left: Vec<MachineId> = step.machines.iter().filter(still).cloned().collect();
    if !left.is_empty() {
        return match roll(drain, step, &left, late, view) {
            Some(next) => next,
            None => ahead(drain, step, late, view),
        };
    }
    let mut next = drain.clone();
    next.step = next.ahead.take();
    next.steps += 1;
    next.gone += step.machines.len() as u32;
    next.stepped = Some(view.now);
    if drain.how.then == Then::Keep {
        next.kept.extend(step.machines.iter().cloned());
        next.kept.sort();
    }
    next.plan = Some(next.plan(view));
    if next.step.is_some() {
        return next.written();
    }
    // The next step is written with the end of this one, if it may begin.
    match (next.state, begin(&next, late, view)) {
        (State::Running, Next::Write(both)) => Next::Write(both),
        _ => next.written(),
    }
}

/// Machines of the next step take the place of those that are gone, where a good part of them is and what
/// replaces these has come up.
fn roll(drain: &Drain, step: &Step, left: &[MachineId], late: bool, view: &View) -> Option<Next> {
    let ahead = drain
        .ahead
        .as_ref()
        .filter(|_| !late && step.stage == Stage::Emptying)?;
    let size = drain.size(drain.left(view).count());
    let room = size.saturating_sub(left.len());
    if drain.state != State::Running || room * ROLL < size || room == 0 {
        return None;
    }
    if brought(ahead, view) != Brought::Ready {
        return None;
    }
    let (now, later) = ahead.machines.split_at(room.min(ahead.machines.len()));
    let mut next = drain.clone();
    next.steps += 1;
    next.gone += (step.machines.len() - left.len()) as u32;
    next.stepped = Some(view.now);
    next.step = Some(Step {
        machines: left.iter().chain(now).cloned().collect(),
        stage: Stage::Emptying,
        since: view.now,
    });
    next.ahead = (!later.is_empty()).then(|| Step {
        machines: later.to_vec(),
        ..ahead.clone()
    });
    next.plan = Some(next.plan(view));
    Some(next.written())
}

/// While a step is emptied what takes the place of the next one comes up, once the first has proved itself.
fn ahead(drain: &Drain, step: &Step, late: bool, view: &View) -> Next {
    let replaces = drain.how.then == Then::Replace && drain.state == State::Running;
    if late || !replaces || drain.ahead.is_some() || drain.steps == 0 && drain.how.canary > 0 {
        return Next::Wait(Waits::Tasks);
    }
    let mut view = View { ..*view };
    let mut taken = view.taken.clone();
    taken.extend(step.machines.iter().cloned());
    view.taken = &taken;
    match begin(drain, false, &view) {
        Next::Write(mut next) if next.state == State::Running => {
            next.ahead = next.step.take();
            next.step = Some(step.clone());
            Next::Write(next)
        }
        Next::Write(halts) if halts.state == State::Halted => Next::Write(halts),
        _ => Next::Wait(Waits::Tasks),
    }
}

fn at(drain: &Drain, step: &Step, stage: Stage, view: &View) -> Next {
    let step = Step {
        machines: step.machines.clone(),
        stage,
        since: view.now,
    };
    Drain {
        step: Some(step),
        ..drain.clone()
    }
    .written()
}

#[derive(PartialEq)]
enum Brought {
    Ready,
    Waits(Waits),
    Astray(String),
}

/// What a step's replacements have come to.
fn bring(drain: &Drain, step: &Step, view: &View) -> Next {
    match brought(step, view) {
        Brought::Ready => at(drain, step, Stage::Emptying, view),
        Brought::Waits(waits) => Next::Wait(waits),
        Brought::Astray(why) => drain.halts(why),
    }
}

/// Whether what takes a step's place has come up, or nothing is needed in its place: what was rented soon after
/// it began counts for it, as its machines are no capacity any more from then on.
fn brought(step: &Step, view: &View) -> Brought {
    let until = WallClockMillis(step.since.0 + PLANNED_MS);
    let new = || {
        let machines = view.machines.iter();
        machines.filter(move |(_, m)| step.since <= m.rented && m.rented <= until)
    };
    let waited = view.now.0.saturating_sub(step.since.0);
    if waited < PLANNED_MS + view.lag_ms {
        return Brought::Waits(Waits::Replacement);
    }
    let ours = || step.machines.iter().filter_map(|n| view.machines.get(n));
    let leaves: f64 = ours().map(|m| m.cpus).sum();
    let came: f64 = new().filter(|(_, m)| m.up).map(|(_, m)| m.cpus).sum();
    let all = new().count();
    let coming: Vec<&MachineId> = new().filter(|(_, m)| !m.up).map(|(n, _)| n).collect();
    // A few that stay away do not keep the rest waiting, and more of them do not once they are late.
    let late = waited > 3 * view.ready_ms / 2 + PLANNED_MS;
    let stray = if late { LATE_STRAY } else { STRAY };
    if came >= leaves || coming.len() * stray <= all {
        // Nothing new: nothing is needed, or nothing is to be had. Then what is there must hold the work.
        let elsewhere = view
            .machines
            .iter()
            .filter(|(n, m)| m.up && !step.machines.contains(n));
        let free: f64 = elsewhere.map(|(_, m)| (m.cpus - m.busy).max(0.0)).sum();
        let busy: f64 = ours().map(|m| m.busy).sum();
        return match all == 0 && view.refused && free < busy {
            true => Brought::Waits(Waits::Capacity),
            false => Brought::Ready,
        };
    }
    let patience = 3 * view.ready_ms + 20_000;
    if waited <= patience {
        return Brought::Waits(Waits::Replacement);
    }
    if 2 * coming.len() <= all {
        return Brought::Ready;
    }
    let which = names(coming.iter().copied());
    Brought::Astray(format!(
        "of {all} machines rented for its step {} are not up after {} s: {which}",
        coming.len(),
        waited / 1000,
    ))
}

/// The next step, or the end.
fn begin(drain: &Drain, late: bool, view: &View) -> Next {
    let left: Vec<(&MachineId, &Seen)> = drain.left(view).collect();
    if left.is_empty() {
        // A list may be older than the drain, and lack what was rented a moment before it.
        let seen = view.now.0 > drain.asked.0 + 4 * view.lag_ms;
        return match seen {
            true => drain.ends(State::Done, None),
            false => Next::Wait(Waits::Machines),
        };
    }
    if late && drain.how.late == Late::GiveUp {
        return drain.ends(State::GivenUp, Some("not over in time".to_string()));
    }
    let new = || {
        let machines = view.machines.iter();
        machines.filter(|(_, m)| m.rented >= drain.watched)
    };
    let sick: Vec<&MachineId> = new()
        .map(|(n, _)| n)
        .filter(|n| view.sick.contains(*n))
        .collect();
    let all = new().count();
    let first = drain.steps <= 1 && drain.how.canary > 0;
    if !sick.is_empty() && (first || sick.len() * SICK >= all) {
        let which = names(sick.iter().copied());
        return drain.halts(format!(
            "of {all} new machines {} fail what they start: {which}",
            sick.len()
        ));
    }
    if !view.whole {
        return Next::Wait(Waits::Owners);
    }
    let now = view.now;
    let proved = |at: WallClockMillis| now.0 >= at.0 + drain.how.watch_ms;
    let canary = drain.steps == 1 && drain.how.canary > 0;
    if !late && canary && !drain.stepped.is_none_or(proved) {
        return Next::Wait(Waits::Watching);
    }
    if !late && view.missed > 1 && view.missed * MISSED > view.machines.len() {
        return Next::Wait(Waits::Losses);
    }
    let size = drain.size(left.len());
    let mut free: Vec<(&MachineId, &Seen)> = left
        .iter()
        .copied()
        .filter(|(name, m)| m.up && !view.taken.contains(*name))
        .collect();
    if free.is_empty() {
        let held = left.iter().any(|(name, _)| view.taken.contains(*name));
        return Next::Wait(if held { Waits::Others } else { Waits::Machines });
    }
    if !drain.how.any_zone {
        // One zone at a time, over all drains: of those open to it the one with fewest left.
        let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
        for (_, m) in &free {
            *counts.entry(&m.zone).or_default() += 1;
        }
        let open = |zone: &&str| view.zones.iter().all(|z| z == *zone);
        let zone = counts.iter().filter(|(z, _)| open(z));
        let Some(zone) = zone.min_by_key(|(_, n)| **n).map(|(z, _)| z.to_string()) else {
            return Next::Wait(Waits::Others);
        };
        free.retain(|(_, m)| m.zone == zone);
    }
    // What loses least goes first: idle ones, then by what stopping costs, then the oldest.
    free.sort_by(|(a, m), (b, n)| m.loses.total_cmp(&n.loses).then(a.cmp(b)));
    free.truncate(size);
    let mut machines: Vec<MachineId> = free.into_iter().map(|(n, _)| n.clone()).collect();
    machines.sort();
    let stage = match drain.how.then {
        _ if late => Stage::Forcing,
        Then::Replace => Stage::Bringing,
        Then::Keep | Then::Return => Stage::Emptying,
    };
    let mut next = drain.clone();
    next.plan = Some(drain.plan(view));
    next.step = Some(Step {
        machines,
        stage,
        since: now,
    });
    next.written()
}
