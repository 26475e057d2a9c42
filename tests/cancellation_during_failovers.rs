//! Cancellations while shard leaders change faster than a task can be stopped (`docs/fault-combinations.md`).

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::json;
use snowshelf_simulation::faults::Fault;
use snowshelf_simulation::{
    CANCEL_MS, DisabledSafeguards, NODES, Simulation, SimulationConditions,
};

/// Start and end of the repeated crashes. They last for longer than `cancel_s`.
const CRASHES_FROM_MS: u64 = 40_000;
const CRASHES_UNTIL_MS: u64 = CRASHES_FROM_MS + 2 * CANCEL_MS;

/// A simulation of jobs that run until they are stopped. Three in four of them are cancelled around the first
/// seconds of the crashes.
fn with_cancelled_jobs(seed: u64) -> Simulation {
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
        let at = CRASHES_FROM_MS + rng.random_range(0..6_000u64);
        simulation.users[n].cancel_at = (n % 4 != 0).then_some(at - 2_000);
        let job = simulation.users[n].job.clone();
        simulation.endless_jobs.insert(job);
    }
    simulation
}

/// Runs until after the crashes, and asserts that no rule is broken and all requested cancellations are reported.
#[track_caller]
fn assert_cancellations_complete(mut simulation: Simulation, context: &str) {
    simulation.run(CRASHES_UNTIL_MS + 60_000);
    assert_eq!(simulation.violations, Vec::<String>::new(), "{context}");
    let cancel_reported = simulation
        .users
        .iter()
        .filter(|u| u.cancel_reported_at.is_some());
    assert_eq!(cancel_reported.count(), 9, "{context}");
}

/// Guards against shard leaders that each renew the lease of a cancelled task with their first response, while none
/// of them stops it. All controllers crash at a fixed interval while the key-value store is slow.
#[test]
fn cancelled_tasks_end_when_all_controllers_crash_repeatedly() {
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
            let mut simulation = with_cancelled_jobs(seed);
            if slow_ms > 0 {
                simulation.inject(
                    CRASHES_FROM_MS - 1_000,
                    CRASHES_UNTIL_MS - CRASHES_FROM_MS,
                    Fault::SlowKv(slow_ms),
                );
            }
            let mut at = CRASHES_FROM_MS;
            while at < CRASHES_UNTIL_MS {
                simulation.inject(at, 0, Fault::CrashAll(50));
                at += every_ms;
            }
            assert_cancellations_complete(
                simulation,
                &format!("every {every_ms} ms, slowed by {slow_ms} ms, seed {seed}"),
            );
        }
    }
}

/// Like the previous test, but one controller crashes at a time, so that shards move from one to the next.
#[test]
fn cancelled_tasks_end_when_shards_move_between_controllers_repeatedly() {
    for (every_ms, slow_ms) in [(700, 20), (1_900, 0), (3_100, 100)] {
        for seed in 0..4 {
            let mut simulation = with_cancelled_jobs(seed);
            simulation.inject(
                CRASHES_FROM_MS,
                CRASHES_UNTIL_MS - CRASHES_FROM_MS,
                Fault::SlowKv(slow_ms),
            );
            let (mut at, mut node) = (CRASHES_FROM_MS, seed as usize);
            while at < CRASHES_UNTIL_MS {
                simulation.inject(at, 0, Fault::Crash(node % NODES));
                node += 1;
                at += every_ms;
            }
            assert_cancellations_complete(
                simulation,
                &format!("every {every_ms} ms, slowed by {slow_ms} ms, seed {seed}"),
            );
        }
    }
}

/// Guards against a failover after which machines do not receive responses, or cannot send heartbeats, from the new
/// shard leader's first response on.
#[test]
fn cancelled_tasks_end_on_machines_isolated_after_first_response_of_new_leader() {
    for seed in 0..6 {
        let mut simulation = with_cancelled_jobs(seed);
        let node = seed as usize % NODES;
        simulation.inject(CRASHES_FROM_MS, 0, Fault::Crash(node));
        let after = CRASHES_FROM_MS + 1_500 + 900 * seed;
        simulation.inject(after, CANCEL_MS, Fault::LostHeartbeatResponses(0.7));
        simulation.inject(after + 9_000, 0, Fault::CrashAll(500));
        simulation.inject(after + 12_000, 8_000, Fault::ZoneIsolation("a"));
        assert_cancellations_complete(simulation, &format!("seed {seed}"));
    }
}

/// Guards against shard leaders that each restart the measurement of how long a machine has been silent. A machine
/// that hangs for longer than `cancel_s` must be returned, whichever controller leads its shard by then.
#[test]
fn cancelled_tasks_end_on_hung_machines_when_leaders_change() {
    for every_ms in [7_000, 9_000, 12_000] {
        for seed in 0..4 {
            let mut simulation = with_cancelled_jobs(seed);
            simulation.inject(
                CRASHES_FROM_MS,
                0,
                Fault::MassCancellation(12, CANCEL_MS + 20_000),
            );
            let mut at = CRASHES_FROM_MS + 2_000 + 500 * seed;
            while at < CRASHES_FROM_MS + CANCEL_MS {
                simulation.inject(at, 0, Fault::CrashAll(100));
                at += every_ms;
            }
            simulation.run(CRASHES_UNTIL_MS + 60_000);
            let cancel_reported = simulation
                .users
                .iter()
                .filter(|u| u.cancel_reported_at.is_some());
            let outcome = (cancel_reported.count(), &simulation.violations);
            assert_eq!(
                outcome,
                (12, &Vec::new()),
                "every {every_ms} ms, seed {seed}"
            );
        }
    }
}
