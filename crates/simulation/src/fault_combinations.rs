//! Simulations with overlapping faults, and a mix of jobs to run them on.

use crate::faults::Fault;
use crate::{DisabledSafeguards, NODES, Simulation, SimulationConditions};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::json;

/// End of all faults. By [`END_MS`] every user must have been told the end of the job.
pub const FAULTS_END_MS: u64 = 140_000;
/// End of the simulation.
pub const END_MS: u64 = 600_000;

/// Start, duration and kind of each fault.
pub type FaultSchedule = Vec<(u64, u64, Fault)>;

/// A simulation of jobs that run until they are stopped. Each user requests cancellation at `cancel_at`, if
/// set.
pub fn with_endless_jobs(
    seed: u64,
    jobs: usize,
    cancel_at: impl Fn(usize) -> Option<u64>,
) -> Simulation {
    let mut simulation = Simulation::new(
        seed,
        SimulationConditions::FAULT_FREE,
        DisabledSafeguards::default(),
        0,
        u64::MAX,
    );
    for n in 0..jobs {
        let team = ["red", "blue"][n % 2];
        simulation.add_user(2_000, json!({"Tarefas": 3, "Cuadrilla": team}));
        simulation.users[n].cancel_at = cancel_at(n);
        let job = simulation.users[n].job.clone();
        simulation.endless_jobs.insert(job);
    }
    simulation
}

/// Number of running tasks.
pub fn running_tasks(simulation: &Simulation) -> usize {
    let tasks = simulation.workers.values().flat_map(|w| &w.tasks);
    tasks.filter(|t| t.state == "running").count()
}

/// Runs a schedule of faults with a mix of jobs: few or many tasks, short or long, some with dependencies,
/// some that run until they are cancelled.
pub fn run_schedule(
    seed: u64,
    safeguards: DisabledSafeguards,
    schedule: &FaultSchedule,
) -> Simulation {
    let mut simulation = Simulation::new(
        seed,
        SimulationConditions::FAULT_FREE,
        safeguards,
        12,
        FAULTS_END_MS,
    );
    simulation.task_run_ms = [3_000, 6_000, 9_000][seed as usize % 3];
    simulation.task_spread_ms = [0, 4_000, 15_000][(seed / 3) as usize % 3];
    let mut rng = StdRng::seed_from_u64(seed ^ 0x6a6f_6273);
    for _ in 0..4 {
        let n = simulation.users.len();
        let tasks = rng.random_range(1..4u32);
        let spec = json!({"Tarefas": tasks, "Avulsas": true});
        simulation.add_user(rng.random_range(2_000..20_000u64), spec);
        simulation.users[n].cancel_at = Some(rng.random_range(15_000..110_000u64));
        let job = simulation.users[n].job.clone();
        simulation.endless_jobs.insert(job);
    }
    for (at, for_ms, fault) in schedule {
        simulation.inject(*at, *for_ms, *fault);
    }
    simulation.run(END_MS);
    simulation
}

/// Shifts the starts of the faults by an offset that depends on the seed.
pub fn shift_schedule(seed: u64, mut schedule: FaultSchedule) -> FaultSchedule {
    for (n, (at, _, _)) in schedule.iter_mut().enumerate() {
        *at += n as u64 * 700 * (seed / 3) + 130 * seed;
    }
    schedule
}

/// Asserts that all rules hold under shifted variants of a schedule, and that every user is told the end of
/// the job.
#[track_caller]
pub fn assert_rules_hold(schedule: impl Fn(usize) -> FaultSchedule) {
    for seed in 0..9u64 {
        let schedule = shift_schedule(seed, schedule(seed as usize % NODES));
        run_schedule(seed, DisabledSafeguards::default(), &schedule).assert_rules_held(seed);
    }
}

/// The same with tasks that run until they are stopped. All jobs are cancelled after the faults have ended.
#[track_caller]
pub fn assert_rules_hold_with_endless_jobs(schedule: impl Fn(usize) -> FaultSchedule) {
    for seed in 0..9u64 {
        let mut simulation = with_endless_jobs(seed, 12, |n| Some(FAULTS_END_MS + 300 * n as u64));
        for (at, for_ms, fault) in shift_schedule(seed, schedule(seed as usize % NODES)) {
            simulation.inject(at, for_ms, fault);
        }
        simulation.run(FAULTS_END_MS + 60_000);
        simulation.assert_rules_held(seed);
    }
}
