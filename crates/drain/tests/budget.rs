//! The ledger against a plain model: parts with pictures of different age charge, stop, restart and lose tasks,
//! and no budget is ever passed by what is really away.

use proptest::prelude::*;
use snowshelf_drain::budget::{Amount, Ask, Budget, Facts, Ledger, Picture};
use snowshelf_model::ids::{JobId, MachineId, TaskIndex, Version, WallClockMillis};
use std::collections::BTreeMap;

const PARTS: usize = 3;
const JOBS: usize = 3;
const TASKS: u32 = 8;
const SKEW_MS: u64 = 500;

const BUDGET: Budget = Budget {
    cpus: 12.0,
    tasks: 5,
    stretch_s: 60.0,
    stretch_cpus: 30.0,
    stretch_tasks: 14,
    job_share: 0.5,
    replicas_up: 0.5,
};

#[derive(Clone, Copy, PartialEq, Debug)]
enum At {
    /// Running on a machine, durably.
    Runs(usize),
    /// Stopped there, which is not durable yet.
    Stopped(usize),
    Waits,
}

struct Task {
    job: usize,
    /// The part whose share holds it.
    part: usize,
    at: At,
    /// It waits since it was stopped on purpose.
    on_purpose: bool,
}

/// What is durable, as a picture of some age has it: tasks by machine and job, and those that wait.
#[derive(Clone, Default)]
struct Records {
    revision: u64,
    started: BTreeMap<(usize, usize), Vec<TaskIndex>>,
    /// By part and job.
    waiting: BTreeMap<(usize, usize), u32>,
}

impl Records {
    fn there(&self, machine: usize, job: usize, from: TaskIndex) -> bool {
        let tasks = self.started.get(&(machine, job));
        tasks.is_some_and(|tasks| tasks.iter().any(|t| *t >= from))
    }
    fn away(&self) -> Amount {
        let mut sum = Amount::default();
        for ((_, job), n) in &self.waiting {
            sum.add(*n, cpus(*job));
        }
        sum
    }
    fn job_away(&self, job: usize) -> u32 {
        let ours = self.waiting.iter().filter(|((_, j), _)| *j == job);
        ours.map(|(_, n)| n).sum()
    }
    /// What the owner of a part knows: its own share as it is, the others as old as this.
    fn but_newest_of(&self, part: usize, newest: &Records) -> Records {
        let mut mixed = self.clone();
        mixed.started.retain(|(m, _), _| m % PARTS != part);
        mixed.waiting.retain(|(p, _), _| *p != part);
        let started = newest
            .started
            .iter()
            .filter(|((m, _), _)| m % PARTS == part);
        mixed
            .started
            .extend(started.map(|(at, tasks)| (*at, tasks.clone())));
        let waiting = newest.waiting.iter().filter(|((p, _), _)| *p == part);
        mixed.waiting.extend(waiting.map(|(at, n)| (*at, *n)));
        mixed
    }
}

fn records(revision: u64, tasks: &[Task]) -> Records {
    let mut found = Records {
        revision,
        ..Records::default()
    };
    for (number, task) in (0..).map(TaskIndex).zip(tasks) {
        match task.at {
            At::Runs(m) | At::Stopped(m) => {
                let there = found.started.entry((m, task.job)).or_default();
                there.push(number);
            }
            At::Waits => *found.waiting.entry((task.part, task.job)).or_default() += 1,
        }
    }
    found
}

fn cpus(job: usize) -> f64 {
    [1.0, 2.0, 4.0][job]
}
fn job_id(job: usize) -> JobId {
    JobId::new(&format!("wk-{job}"))
}
fn machine(machine: usize) -> MachineId {
    MachineId::new(&format!("n-{machine}"))
}
fn number(name: &str) -> usize {
    let digits = name.split_once('-').map(|(_, n)| n);
    digits
        .and_then(|n| n.parse().ok())
        .expect("a name of this test's")
}

#[derive(Clone, Debug)]
enum Act {
    /// The owner of one of the machines with tasks asks, by a picture so many states old and a clock that is off.
    Charge(usize, usize, usize, u64),
    /// Charged tasks of a machine are really stopped; all that were stopped are durably so; all that wait run
    /// again, on a machine of their own.
    Stop(usize),
    Write,
    Again,
    /// A task is lost by itself.
    Lose(usize),
    Wait(u64),
}

fn acts() -> impl Strategy<Value = Vec<Act>> {
    let charge = (
        0..32usize,
        0..JOBS,
        prop_oneof![Just(0usize), 0..12usize],
        0..2 * SKEW_MS,
    );
    let act = prop_oneof![
        10 => charge.prop_map(|(m, j, old, skew)| Act::Charge(m, j, old, skew)),
        8 => (0..32usize).prop_map(Act::Stop),
        3 => Just(Act::Write),
        2 => Just(Act::Again),
        1 => (0..24usize).prop_map(Act::Lose),
        2 => prop_oneof![0..500u64, 0..70_000u64].prop_map(Act::Wait),
    ];
    proptest::collection::vec(act, 1..300)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(1024))]

    #[test]
    fn no_budget_is_ever_passed(acts in acts()) {
        let mut tasks: Vec<Task> = (0..JOBS as u32 * TASKS)
            .map(|i| Task { job: (i / TASKS) as usize, part: i as usize % PARTS, at: At::Runs(i as usize % PARTS + PARTS * (i as usize / PARTS % 2)), on_purpose: false })
            .collect();
        let mut machines = 2 * PARTS;
        let mut pictures = vec![records(1, &tasks)];
        let mut ledger = Ledger::default();
        let mut now = 1_000_000u64;
        let mut stops: Vec<(u64, f64)> = Vec::new();
        for act in acts {
            let newest = pictures.last().expect("there is one").clone();
            match act {
                Act::Wait(ms) => now += ms,
                Act::Charge(which, job, old, skew) => {
                    // The ledger itself is the newest, or the write fails; what is on its own machine an owner knows.
                    let there: Vec<(usize, Vec<TaskIndex>)> = newest
                        .started
                        .iter()
                        .filter(|((_, j), _)| *j == job)
                        .map(|((m, _), tasks)| (*m, tasks.clone()))
                        .collect();
                    if there.is_empty() {
                        continue;
                    }
                    let (at, there) = there[which % there.len()].clone();
                    let part = at % PARTS;
                    let old = &pictures[pictures.len().saturating_sub(1 + old)];
                    let seen = old.but_newest_of(part, &newest);
                    let look = |m: &MachineId, j: &JobId, from| seen.there(number(m.as_str()), number(j.as_str()), from);
                    let version = |m: &MachineId, _: &JobId| match number(m.as_str()) % PARTS == part {
                        true => Version(newest.revision),
                        false => Version(old.revision),
                    };
                    let picture = Picture {
                        seen: Version(old.revision),
                        there: &look,
                        version: &version,
                    };
                    let facts = Facts {
                        away: seen.away(),
                        job_away: seen.job_away(job),
                        job_tasks: TASKS,
                        job_up: TASKS,
                        standing: false,
                    };
                    let ask = Ask { machine: machine(at), job: job_id(job), there, version: Version(newest.revision), cpus: cpus(job), force: false };
                    let wall = WallClockMillis(now + skew - SKEW_MS);
                    if let Ok(charged) = ledger.charge(&BUDGET, &ask, &facts, &picture, wall, SKEW_MS) {
                        ledger = charged;
                    }
                }
                Act::Stop(which) => {
                    if ledger.charges.is_empty() {
                        continue;
                    }
                    let charge = &ledger.charges[which % ledger.charges.len()];
                    let (at, job) = (number(charge.machine.as_str()), number(charge.job.as_str()));
                    for (number, task) in (0..).map(TaskIndex).zip(&mut tasks) {
                        if task.job == job && task.at == At::Runs(at) && number >= charge.from {
                            task.at = At::Stopped(at);
                            stops.push((now, cpus(job)));
                        }
                    }
                }
                Act::Write => {
                    for task in tasks.iter_mut().filter(|t| matches!(t.at, At::Stopped(_))) {
                        (task.at, task.on_purpose) = (At::Waits, true);
                    }
                }
                Act::Again => {
                    for task in tasks.iter_mut().filter(|t| t.at == At::Waits) {
                        (task.at, task.on_purpose) = (At::Runs(machines + task.part), false);
                    }
                    machines += PARTS;
                }
                Act::Lose(t) => {
                    let at = t % tasks.len();
                    if let At::Runs(_) = tasks[at].at {
                        (tasks[at].at, tasks[at].on_purpose) = (At::Waits, false);
                    }
                }
            }
            pictures.push(records(newest.revision + 1, &tasks));
            let mut away = Amount::default();
            let mut jobs: BTreeMap<usize, u32> = BTreeMap::new();
            for task in &tasks {
                if matches!(task.at, At::Stopped(_)) || (task.at == At::Waits && task.on_purpose) {
                    away.add(1, cpus(task.job));
                    *jobs.entry(task.job).or_default() += 1;
                }
            }
            prop_assert!(away.cpus <= BUDGET.cpus + 1e-6 && away.tasks <= BUDGET.tasks, "{away:?}");
            prop_assert!(jobs.values().all(|n| *n <= TASKS / 2), "{jobs:?}");
            let from = now.saturating_sub(60_000);
            let lately: f64 = stops.iter().filter(|(t, _)| *t > from).map(|(_, c)| c).sum();
            prop_assert!(lately <= BUDGET.stretch_cpus + 1e-6, "{lately} in a stretch");
            let bytes = serde_json::to_string(&ledger).expect("a record").len();
            prop_assert!(bytes < 2_000, "{bytes} bytes");
        }
    }
}

/// Whatever was asked for, it goes on: with nothing away and nothing stopped lately a task may always be
/// stopped that fits the budget by itself.
#[test]
fn a_budget_lets_something_pass() {
    let look = |_: &MachineId, _: &JobId, _: TaskIndex| true;
    let picture = Picture {
        seen: Version(7),
        there: &look,
        version: &|_, _| Version(7),
    };
    let facts = Facts {
        job_tasks: 1,
        ..Facts::default()
    };
    let ask = |cpus: f64| Ask {
        machine: machine(0),
        job: job_id(0),
        there: vec![TaskIndex(0), TaskIndex(1), TaskIndex(2)],
        version: Version(7),
        cpus,
        force: false,
    };
    let now = WallClockMillis(1_000_000);
    let fresh = Ledger::default();
    let charged = fresh.charge(&BUDGET, &ask(12.0), &facts, &picture, now, 0);
    assert_eq!(charged.map(|l| l.charges[0].tasks), Ok(1));
    let too_large = fresh.charge(&BUDGET, &ask(12.1), &facts, &picture, now, 0);
    assert!(too_large.is_err());
}

/// Guards against a charge that somebody with an older picture takes to be over: its tasks were started after
/// that, so that the picture has nothing of them on their machine.
#[test]
fn a_charge_stays_open_to_a_picture_from_before_its_tasks() {
    let look = |_: &MachineId, _: &JobId, _: TaskIndex| false;
    let picture = |seen| Picture {
        seen: Version(seen),
        there: &look,
        version: &|_, _| Version(0),
    };
    let facts = Facts {
        job_tasks: 4,
        ..Facts::default()
    };
    let ask = Ask {
        machine: machine(0),
        job: job_id(0),
        there: vec![TaskIndex(0), TaskIndex(1)],
        version: Version(9),
        cpus: 1.0,
        force: false,
    };
    let now = WallClockMillis(1_000_000);
    let charged = Ledger::default().charge(&BUDGET, &ask, &facts, &picture(5), now, 0);
    let charged = charged.expect("within the budget");
    assert_eq!(charged.open(&picture(8)).tasks, 2);
    assert_eq!(charged.open(&picture(9)).tasks, 0);
}
