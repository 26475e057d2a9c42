//! Cancelled tasks while owners follow each other faster than a task is halted (`docs/fault-combinations.md`).

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::json;
use snowshelf_simulation::faults::Fault;
use snowshelf_simulation::{
    CANCEL_MS, DisabledSafeguards, NODES, Simulation, SimulationConditions,
};

/// When the controllers begin to end again and again; it lasts for longer than the time for cancelling.
const FROM_MS: u64 = 40_000;
const UNTIL_MS: u64 = FROM_MS + 2 * CANCEL_MS;

/// Jobs that run until they are stopped, three in four of them cancelled within the first seconds of the loop.
fn cancelled_in_a_loop(seed: u64) -> Simulation {
    let mut simulation = Simulation::new(
        seed,
        SimulationConditions::FAULT_FREE,
        DisabledSafeguards::default(),
        0,
        u64::MAX,
    );
    simulation.restart_delay_ms = Some(100);
    let mut rng = StdRng::seed_from_u64(seed ^ 0x6c6f_6f70);
    for n in 0..12 {
        let team = ["red", "blue"][n % 2];
        simulation.add_user(2_000, json!({"Tarefas": 3, "Cuadrilla": team}));
        let at = FROM_MS + rng.random_range(0..6_000u64);
        simulation.users[n].cancel_at = (n % 4 != 0).then_some(at - 2_000);
        let job = simulation.users[n].job.clone();
        simulation.endless_jobs.insert(job);
    }
    simulation
}

/// Plays on until after the loop; nothing may have broken, and all that was asked for is settled.
#[track_caller]
fn sound(mut simulation: Simulation, what: &str) {
    simulation.run(UNTIL_MS + 60_000);
    assert_eq!(simulation.violations, Vec::<String>::new(), "{what}");
    let told = simulation
        .users
        .iter()
        .filter(|u| u.cancel_reported_at.is_some());
    assert_eq!(told.count(), 9, "{what}");
}

/// Guards against owners each of which renews the lease of a cancelled task, with its first answer, and none of which
/// halts it: all controllers end every so often, while the state service is slowed.
#[test]
fn cancelled_tasks_end_though_no_owner_lives_for_long() {
    for (every_ms, slow_ms) in [
        (550, 0),
        (600, 30),
        (900, 0),
        (1_300, 40),
        (2_200, 120),
        (500, 160),
        (4_500, 60),
        (1_400, 200),
    ] {
        for seed in 0..3 {
            let mut simulation = cancelled_in_a_loop(seed);
            if slow_ms > 0 {
                simulation.inject(FROM_MS - 1_000, UNTIL_MS - FROM_MS, Fault::SlowKv(slow_ms));
            }
            let mut at = FROM_MS;
            while at < UNTIL_MS {
                simulation.inject(at, 0, Fault::CrashAll(50));
                at += every_ms;
            }
            sound(
                simulation,
                &format!("every {every_ms} ms, slowed by {slow_ms} ms, seed {seed}"),
            );
        }
    }
}

/// Guards against the same where only one controller ends each time, so that parts go from one to the next.
#[test]
fn cancelled_tasks_end_though_parts_go_from_one_owner_to_the_next() {
    for (every_ms, slow_ms) in [(700, 20), (1_900, 0), (3_100, 100)] {
        for seed in 0..4 {
            let mut simulation = cancelled_in_a_loop(seed);
            simulation.inject(FROM_MS, UNTIL_MS - FROM_MS, Fault::SlowKv(slow_ms));
            let (mut at, mut node) = (FROM_MS, seed as usize);
            while at < UNTIL_MS {
                simulation.inject(at, 0, Fault::Crash(node % NODES));
                node += 1;
                at += every_ms;
            }
            sound(
                simulation,
                &format!("every {every_ms} ms, slowed by {slow_ms} ms, seed {seed}"),
            );
        }
    }
}

/// Guards against one change of owners with machines that do not hear, or are not heard, from its first answer on.
#[test]
fn cancelled_tasks_end_on_machines_that_hear_one_answer_of_a_new_owner() {
    for seed in 0..6 {
        let mut simulation = cancelled_in_a_loop(seed);
        let node = seed as usize % NODES;
        simulation.inject(FROM_MS, 0, Fault::Crash(node));
        let after = FROM_MS + 1_500 + 900 * seed;
        simulation.inject(after, CANCEL_MS, Fault::LostHeartbeatResponses(0.7));
        simulation.inject(after + 9_000, 0, Fault::CrashAll(500));
        simulation.inject(after + 12_000, 8_000, Fault::ZoneIsolation("a"));
        sound(simulation, &format!("seed {seed}"));
    }
}

/// Guards against owners each of which counts anew for how long a machine has been silent: one that hangs for longer
/// than cancelled tasks may stay has to be returned, whoever owns its part by then.
#[test]
fn cancelled_tasks_end_on_machines_that_hang_while_owners_change() {
    for every_ms in [7_000, 9_000, 12_000] {
        for seed in 0..4 {
            let mut simulation = cancelled_in_a_loop(seed);
            simulation.inject(FROM_MS, 0, Fault::MassCancellation(12, CANCEL_MS + 20_000));
            let mut at = FROM_MS + 2_000 + 500 * seed;
            while at < FROM_MS + CANCEL_MS {
                simulation.inject(at, 0, Fault::CrashAll(100));
                at += every_ms;
            }
            simulation.run(UNTIL_MS + 60_000);
            let told = simulation
                .users
                .iter()
                .filter(|u| u.cancel_reported_at.is_some());
            let sound = (told.count(), &simulation.violations);
            assert_eq!(sound, (12, &Vec::new()), "every {every_ms} ms, seed {seed}");
        }
    }
}
