//! Days on which troubles meet: what goes wrong when, around jobs of every kind.

use crate::faults::Fault;
use crate::{DisabledSafeguards, NODES, NetworkConditions, Simulation};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::json;

/// All troubles are over by then, and all users must have heard the end by the second moment.
pub const OVER_MS: u64 = 140_000;
pub const END_MS: u64 = 600_000;

/// What goes wrong when, and for how long.
pub type FaultSchedule = Vec<(u64, u64, Fault)>;

/// Jobs that run until they are stopped, which their users want cancelled at `cancel_at`.
pub fn endless_jobs(
    seed: u64,
    jobs: usize,
    cancel_at: impl Fn(usize) -> Option<u64>,
) -> Simulation {
    let mut simulation = Simulation::new(
        seed,
        NetworkConditions::CALM,
        DisabledSafeguards::default(),
        0,
        u64::MAX,
    );
    for n in 0..jobs {
        let team = ["red", "blue"][n % 2];
        simulation.add_user(2_000, json!({"Tarefas": 3, "Cuadrilla": team}));
        simulation.users[n].cancel_at = cancel_at(n);
        let job = simulation.users[n].job.clone();
        simulation.endless.insert(job);
    }
    simulation
}

pub fn running(simulation: &Simulation) -> usize {
    let tasks = simulation.workers.values().flat_map(|w| &w.tasks);
    tasks.filter(|t| t.state == "running").count()
}

/// Jobs of few and many tasks, short and long, some without end and cancelled, some that need others.
pub fn play(seed: u64, safeguards: DisabledSafeguards, schedule: &FaultSchedule) -> Simulation {
    let mut simulation = Simulation::new(seed, NetworkConditions::CALM, safeguards, 12, OVER_MS);
    simulation.run_ms = [3_000, 6_000, 9_000][seed as usize % 3];
    simulation.spread_ms = [0, 4_000, 15_000][(seed / 3) as usize % 3];
    let mut rng = StdRng::seed_from_u64(seed ^ 0x6a6f_6273);
    for _ in 0..4 {
        let n = simulation.users.len();
        let tasks = rng.random_range(1..4u32);
        let spec = json!({"Tarefas": tasks, "Avulsas": true});
        simulation.add_user(rng.random_range(2_000..20_000u64), spec);
        simulation.users[n].cancel_at = Some(rng.random_range(15_000..110_000u64));
        let job = simulation.users[n].job.clone();
        simulation.endless.insert(job);
    }
    for (at, for_ms, fault) in schedule {
        simulation.bring(*at, *for_ms, *fault);
    }
    simulation.run(END_MS);
    simulation
}

/// The meeting's moments shifted by seconds.
pub fn shifted(seed: u64, mut schedule: FaultSchedule) -> FaultSchedule {
    for (n, (at, _, _)) in schedule.iter_mut().enumerate() {
        *at += n as u64 * 700 * (seed / 3) + 130 * seed;
    }
    schedule
}

/// Holds every rule against a meeting, its moments shifted by seconds, and has every user hear the end.
#[track_caller]
pub fn holds(schedule: impl Fn(usize) -> FaultSchedule) {
    for seed in 0..9u64 {
        let schedule = shifted(seed, schedule(seed as usize % NODES));
        play(seed, DisabledSafeguards::default(), &schedule).assert_sound(seed);
    }
}

/// The same where all machines have tasks without end, all of which are called off when the troubles are over.
#[track_caller]
pub fn holds_without_end(schedule: impl Fn(usize) -> FaultSchedule) {
    for seed in 0..9u64 {
        let mut simulation = endless_jobs(seed, 12, |n| Some(OVER_MS + 300 * n as u64));
        for (at, for_ms, fault) in shifted(seed, schedule(seed as usize % NODES)) {
            simulation.bring(at, for_ms, fault);
        }
        simulation.run(OVER_MS + 60_000);
        simulation.assert_sound(seed);
    }
}
