//! Disruption budgets against a reference model: shards with views of different age charge, evict, restart and
//! lose tasks, and the tasks that are really unavailable never exceed the budget.

use proptest::prelude::*;
use snowshelf_drain::budget::{
    Amount, Budget, DisruptionState, EvictionRequest, Ledger, RecordView,
};
use snowshelf_model::ids::{JobId, MachineId, TaskIndex, Version, WallClockMillis};
use std::collections::BTreeMap;

const SHARDS: usize = 3;
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
enum TaskState {
    /// Running on a machine, durably.
    Running(usize),
    /// Evicted there, which is not durable yet.
    Evicted(usize),
    /// Waiting to run again, durably.
    Waiting,
}

struct Task {
    job: usize,
    /// The shard whose allocation holds the task.
    shard: usize,
    state: TaskState,
    /// Whether the task waits because it was evicted.
    evicted: bool,
}

/// The durable records at some revision.
#[derive(Clone, Default)]
struct Records {
    revision: u64,
    /// Started tasks by machine and job.
    started: BTreeMap<(usize, usize), Vec<TaskIndex>>,
    /// Number of waiting tasks by shard and job.
    waiting: BTreeMap<(usize, usize), u32>,
}

impl Records {
    fn has_started(&self, machine: usize, job: usize, first: TaskIndex) -> bool {
        let tasks = self.started.get(&(machine, job));
        tasks.is_some_and(|tasks| tasks.iter().any(|t| *t >= first))
    }
    fn unavailable(&self) -> Amount {
        let mut sum = Amount::default();
        for ((_, job), n) in &self.waiting {
            sum.add(*n, cpus(*job));
        }
        sum
    }
    fn job_unavailable(&self, job: usize) -> u32 {
        let ours = self.waiting.iter().filter(|((_, j), _)| *j == job);
        ours.map(|(_, n)| n).sum()
    }
    /// The view of a shard leader: its own allocations are up to date, those of other shards as old as `self`.
    fn with_newest_of_shard(&self, shard: usize, newest: &Records) -> Records {
        let mut mixed = self.clone();
        mixed.started.retain(|(m, _), _| m % SHARDS != shard);
        mixed.waiting.retain(|(s, _), _| *s != shard);
        let started = newest
            .started
            .iter()
            .filter(|((m, _), _)| m % SHARDS == shard);
        mixed
            .started
            .extend(started.map(|(at, tasks)| (*at, tasks.clone())));
        let waiting = newest.waiting.iter().filter(|((s, _), _)| *s == shard);
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
        match task.state {
            TaskState::Running(m) | TaskState::Evicted(m) => {
                let started = found.started.entry((m, task.job)).or_default();
                started.push(number);
            }
            TaskState::Waiting => {
                *found.waiting.entry((task.shard, task.job)).or_default() += 1;
            }
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
        .expect("a name made by job_id or machine")
}

#[derive(Clone, Debug)]
enum Action {
    /// The shard leader of a machine charges an eviction: which of the machines with tasks of the job, the job,
    /// the age of its view in revisions, the skew of its clock in milliseconds.
    Charge(usize, usize, usize, u64),
    /// The tasks of a charge are evicted.
    Evict(usize),
    /// All evictions become durable.
    Persist,
    /// All waiting tasks run again, on machines of their own.
    Restart,
    /// A task is lost by itself.
    Lose(usize),
    /// Time passes, in milliseconds.
    Wait(u64),
}

fn actions() -> impl Strategy<Value = Vec<Action>> {
    let charge = (
        0..32usize,
        0..JOBS,
        prop_oneof![Just(0usize), 0..12usize],
        0..2 * SKEW_MS,
    );
    let action = prop_oneof![
        10 => charge.prop_map(|(m, j, age, skew)| Action::Charge(m, j, age, skew)),
        8 => (0..32usize).prop_map(Action::Evict),
        3 => Just(Action::Persist),
        2 => Just(Action::Restart),
        1 => (0..24usize).prop_map(Action::Lose),
        2 => prop_oneof![0..500u64, 0..70_000u64].prop_map(Action::Wait),
    ];
    proptest::collection::vec(action, 1..300)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(1024))]

    /// Guards against evictions beyond the budget: two shard leaders charge the same ledger while each has an
    /// outdated view of the other's tasks, and their clocks differ.
    #[test]
    fn unavailable_tasks_stay_within_budget(actions in actions()) {
        let mut tasks: Vec<Task> = (0..JOBS as u32 * TASKS)
            .map(|i| Task { job: (i / TASKS) as usize, shard: i as usize % SHARDS, state: TaskState::Running(i as usize % SHARDS + SHARDS * (i as usize / SHARDS % 2)), evicted: false })
            .collect();
        let mut machines = 2 * SHARDS;
        let mut revisions = vec![records(1, &tasks)];
        let mut ledger = Ledger::default();
        let mut now = 1_000_000u64;
        let mut evictions: Vec<(u64, f64)> = Vec::new();
        for action in actions {
            let newest = revisions.last().expect("there is at least one").clone();
            match action {
                Action::Wait(ms) => now += ms,
                Action::Charge(which, job, age, skew) => {
                    // The ledger is up to date, as the write fails otherwise. So are the tasks on the shard's machines.
                    let started: Vec<(usize, Vec<TaskIndex>)> = newest
                        .started
                        .iter()
                        .filter(|((_, j), _)| *j == job)
                        .map(|((m, _), tasks)| (*m, tasks.clone()))
                        .collect();
                    if started.is_empty() {
                        continue;
                    }
                    let (at, started) = started[which % started.len()].clone();
                    let shard = at % SHARDS;
                    let old = &revisions[revisions.len().saturating_sub(1 + age)];
                    let view = old.with_newest_of_shard(shard, &newest);
                    let has_started = |m: &MachineId, j: &JobId, first| view.has_started(number(m.as_str()), number(j.as_str()), first);
                    let allocation_version = |m: &MachineId, _: &JobId| match number(m.as_str()) % SHARDS == shard {
                        true => Version(newest.revision),
                        false => Version(old.revision),
                    };
                    let records = RecordView {
                        revision: Version(old.revision),
                        has_started: &has_started,
                        allocation_version: &allocation_version,
                    };
                    let state = DisruptionState {
                        unavailable: view.unavailable(),
                        job_unavailable: view.job_unavailable(job),
                        job_tasks: TASKS,
                        job_up: TASKS,
                        is_service: false,
                    };
                    let request = EvictionRequest { machine: machine(at), job: job_id(job), tasks: started, allocation_version: Version(newest.revision), cpus_per_task: cpus(job), forced: false };
                    let wall = WallClockMillis(now + skew - SKEW_MS);
                    if let Ok(charged) = ledger.charge(&BUDGET, &request, &state, &records, wall, SKEW_MS) {
                        ledger = charged;
                    }
                }
                Action::Evict(which) => {
                    if ledger.charges.is_empty() {
                        continue;
                    }
                    let charge = &ledger.charges[which % ledger.charges.len()];
                    let (at, job) = (number(charge.machine.as_str()), number(charge.job.as_str()));
                    for (number, task) in (0..).map(TaskIndex).zip(&mut tasks) {
                        if task.job == job && task.state == TaskState::Running(at) && number >= charge.first_task {
                            task.state = TaskState::Evicted(at);
                            evictions.push((now, cpus(job)));
                        }
                    }
                }
                Action::Persist => {
                    for task in tasks.iter_mut().filter(|t| matches!(t.state, TaskState::Evicted(_))) {
                        (task.state, task.evicted) = (TaskState::Waiting, true);
                    }
                }
                Action::Restart => {
                    for task in tasks.iter_mut().filter(|t| t.state == TaskState::Waiting) {
                        (task.state, task.evicted) = (TaskState::Running(machines + task.shard), false);
                    }
                    machines += SHARDS;
                }
                Action::Lose(t) => {
                    let at = t % tasks.len();
                    if let TaskState::Running(_) = tasks[at].state {
                        (tasks[at].state, tasks[at].evicted) = (TaskState::Waiting, false);
                    }
                }
            }
            revisions.push(records(newest.revision + 1, &tasks));
            let mut unavailable = Amount::default();
            let mut jobs: BTreeMap<usize, u32> = BTreeMap::new();
            for task in &tasks {
                if matches!(task.state, TaskState::Evicted(_)) || (task.state == TaskState::Waiting && task.evicted) {
                    unavailable.add(1, cpus(task.job));
                    *jobs.entry(task.job).or_default() += 1;
                }
            }
            prop_assert!(unavailable.cpus <= BUDGET.cpus + 1e-6 && unavailable.tasks <= BUDGET.tasks, "{unavailable:?}");
            prop_assert!(jobs.values().all(|n| *n <= TASKS / 2), "{jobs:?}");
            let from = now.saturating_sub(60_000);
            let recent: f64 = evictions.iter().filter(|(t, _)| *t > from).map(|(_, c)| c).sum();
            prop_assert!(recent <= BUDGET.stretch_cpus + 1e-6, "{recent} CPUs evicted within stretch_s");
            let bytes = serde_json::to_string(&ledger).expect("a record").len();
            prop_assert!(bytes < 2_000, "{bytes} bytes");
        }
    }
}

/// Guards against a drain that never ends: a task that fits the budget by itself may be evicted whenever nothing
/// is unavailable and nothing was evicted recently, though the job's share rounds down to no task.
#[test]
fn charge_allows_one_task_that_fits_budget() {
    let has_started = |_: &MachineId, _: &JobId, _: TaskIndex| true;
    let records = RecordView {
        revision: Version(7),
        has_started: &has_started,
        allocation_version: &|_, _| Version(7),
    };
    let state = DisruptionState {
        job_tasks: 1,
        ..DisruptionState::default()
    };
    let request = |cpus_per_task: f64| EvictionRequest {
        machine: machine(0),
        job: job_id(0),
        tasks: vec![TaskIndex(0), TaskIndex(1), TaskIndex(2)],
        allocation_version: Version(7),
        cpus_per_task,
        forced: false,
    };
    let now = WallClockMillis(1_000_000);
    let empty = Ledger::default();
    let charged = empty.charge(&BUDGET, &request(12.0), &state, &records, now, 0);
    assert_eq!(charged.map(|l| l.charges[0].tasks), Ok(1));
    let too_large = empty.charge(&BUDGET, &request(12.1), &state, &records, now, 0);
    assert!(too_large.is_err());
}

/// Guards against a charge that is settled too early: a view from before its tasks were started does not show
/// them on their machine.
#[test]
fn charge_stays_open_in_view_older_than_its_tasks() {
    let has_started = |_: &MachineId, _: &JobId, _: TaskIndex| false;
    let records = |revision| RecordView {
        revision: Version(revision),
        has_started: &has_started,
        allocation_version: &|_, _| Version(0),
    };
    let state = DisruptionState {
        job_tasks: 4,
        ..DisruptionState::default()
    };
    let request = EvictionRequest {
        machine: machine(0),
        job: job_id(0),
        tasks: vec![TaskIndex(0), TaskIndex(1)],
        allocation_version: Version(9),
        cpus_per_task: 1.0,
        forced: false,
    };
    let now = WallClockMillis(1_000_000);
    let charged = Ledger::default().charge(&BUDGET, &request, &state, &records(5), now, 0);
    let charged = charged.expect("within the budget");
    assert_eq!(charged.open_charges(&records(8)).tasks, 2);
    assert_eq!(charged.open_charges(&records(9)).tasks, 0);
}
