//! Reservations and windows in simulations of whole controllers.

use serde_json::json;
use snowshelf_simulation::{DisabledSafeguards, Simulation, SimulationConditions};

const FAULT_FREE: SimulationConditions = SimulationConditions {
    calendar: true,
    ..SimulationConditions::FAULT_FREE
};

const FAULTY: SimulationConditions = SimulationConditions {
    calendar: true,
    short_estimates: true,
    ..SimulationConditions::FAULTY
};

fn simulation(
    seed: u64,
    conditions: SimulationConditions,
    safeguards: DisabledSafeguards,
    jobs: usize,
) -> Simulation {
    if std::env::var("LOG_LEVEL").is_ok() {
        let _ = tracing_subscriber::fmt().without_time().try_init();
    }
    Simulation::new(seed, conditions, safeguards, jobs, 90_000)
}

/// Time at which the first task of the user's job ran, if one ran before `until`.
fn first_start(simulation: &mut Simulation, user: usize, until: u64) -> Option<u64> {
    let job = format!("{}/", simulation.users[user].job);
    let mut at = simulation.now;
    while at < until {
        at += 100;
        simulation.run(at);
        let on = |t: &snowshelf_simulation::workers::WorkerTask| {
            t.name.starts_with(&job) && t.state == "running"
        };
        if simulation.workers.values().any(|w| w.tasks.iter().any(on)) {
            return Some(at);
        }
    }
    None
}

/// Guards against tasks in a closed zone whose estimates are a tenth of their run time, so that some still run when
/// the zone closes. They must be stopped in time, the zone must stay empty, and must be used again afterwards.
#[test]
fn closed_zone_is_empty_although_estimates_are_too_short() {
    for seed in 1..=20 {
        let conditions = SimulationConditions {
            short_estimates: true,
            ..FAULT_FREE
        };
        let mut simulation = simulation(seed, conditions, DisabledSafeguards::default(), 14);
        simulation.zone_empty_after_ms = Some(0);
        simulation.add_window(5_000, "a", 25_000, 45_000);
        simulation.add_window(6_000, "b", 50_000, 60_000);
        simulation.run(200_000);
        simulation.assert_rules_held(seed);
        assert!(
            simulation
                .calendar_clients
                .iter()
                .all(snowshelf_simulation::calendar::CalendarClient::accepted),
            "seed {seed}"
        );
    }
}

/// Guards against a window that nobody enforces because it begins during shard failovers or an outage. No task may
/// start in the zone, and running tasks are stopped as soon as the shards have a leader.
#[test]
fn window_is_enforced_during_failovers_and_kv_outage() {
    for seed in 1..=24 {
        let conditions = SimulationConditions {
            short_estimates: true,
            ..FAULT_FREE
        };
        let mut simulation = simulation(seed, conditions, DisabledSafeguards::default(), 14);
        simulation.task_run_ms = 30_000;
        simulation.add_window(5_000, "a", 30_000, 60_000);
        match seed % 4 {
            0 => simulation.kv_outage_at(25_000, 40_000),
            1 => simulation.crash_at(28_000, (seed % 3) as usize),
            2 => (0..3).for_each(|node| simulation.crash_at(29_500, node)),
            _ => {
                simulation.crash_at(27_000, 0);
                simulation.kv_outage_at(29_000, 36_000);
            }
        }
        // The sum of a controller's lease, a shard takeover, a redirected heartbeat and its commands. In an outage
        // a crashed controller's shard is taken over only afterwards, and its workers' tasks end with their
        // leases.
        simulation.zone_empty_after_ms = Some(20_000);
        simulation.run(600_000);
        simulation.assert_rules_held(seed);
    }
}

/// A job whose estimate reaches into a window waits until the window has ended, although there is capacity. A short
/// job starts at once.
#[test]
fn job_whose_estimate_reaches_into_a_window_waits() {
    let mut simulation = simulation(3, FAULT_FREE, DisabledSafeguards::default(), 0);
    simulation.zone_empty_after_ms = Some(0);
    simulation.add_window(5_000, "a", 60_000, 80_000);
    simulation.add_user(15_000, json!({"Parcela": "a", "PrevisaoS": 100.0}));
    simulation.add_user(15_000, json!({"Parcela": "a", "PrevisaoS": 4.0}));
    simulation.add_user(15_000, json!({"Parcela": "b", "PrevisaoS": 100.0}));
    let short_start = first_start(&mut simulation, 1, 55_000);
    assert!(short_start.is_some_and(|at| at < 40_000), "{short_start:?}");
    let long_start = first_start(&mut simulation, 0, 150_000);
    assert!(long_start.is_some_and(|at| at > 80_000), "{long_start:?}");
    simulation.run(200_000);
    assert_eq!(simulation.violations, Vec::<String>::new());
    assert_eq!(simulation.settled_jobs(), 3);
}

/// Guards against two controllers that reserve the same capacity for two users, calendar entries
/// (reservations and windows) that are lost or changed by failovers, an outage or a rolling update, and task
/// starts in closed zones meanwhile. Every request for an entry must be accepted or refused by the end, and
/// more than 100 requests must have each outcome.
#[test]
fn accepted_entries_hold_under_faults() {
    let (mut accepted, mut refused) = (0, 0);
    for seed in 1..=60 {
        let conditions = SimulationConditions {
            rolling_update: seed % 3 == 0,
            ..FAULTY
        };
        let mut simulation = simulation(seed, conditions, DisabledSafeguards::default(), 8);
        simulation.draw_calendar_clients(14);
        simulation.run(280_000);
        simulation.assert_rules_held(seed);
        assert_eq!(
            simulation.overbooked_reservations(),
            Vec::<String>::new(),
            "seed {seed}"
        );
        let settled = simulation
            .calendar_clients
            .iter()
            .filter(|b| b.outcome.is_some())
            .count();
        assert_eq!(settled, simulation.calendar_clients.len(), "seed {seed}");
        accepted += simulation
            .calendar_clients
            .iter()
            .filter(|b| b.accepted())
            .count();
        refused += simulation
            .calendar_clients
            .iter()
            .filter(|b| !b.accepted())
            .count();
    }
    assert!(accepted > 100 && refused > 100, "{accepted} {refused}");
}

/// Shows that the check detects violations: without transaction conditions two controllers reserve the same
/// capacity.
#[test]
fn reservation_check_finds_overbooking_without_txn_conditions() {
    let safeguards = DisabledSafeguards {
        ignore_txn_conditions: true,
        ..DisabledSafeguards::default()
    };
    let found = (1..=40).any(|seed| {
        let mut simulation = simulation(seed, FAULT_FREE, safeguards, 0);
        for n in 0..12 {
            simulation.add_reservation(20_000 + n / 3, "red", 10.0, Some("a"), 60_000, 90_000);
        }
        simulation.run(40_000);
        !simulation.overbooked_reservations().is_empty()
    });
    assert!(found);
}

/// Tasks of the other team run ten times as long as estimated and still run when the reservation begins. Those
/// beyond their team's guarantee are stopped for a job within its own team's guarantee, but not for a job beyond it
/// that has no higher priority.
#[test]
fn overrunning_tasks_are_stopped_only_for_guaranteed_jobs() {
    let start_delay = |tasks: u32| {
        let mut simulation = simulation(9, FAULT_FREE, DisabledSafeguards::default(), 0);
        simulation.task_run_ms = 50_000;
        simulation.add_reservation(5_000, "red", 20.0, Some("a"), 60_000, 150_000);
        for n in 0..6 {
            let spec = json!({"Cuadrilla": "blue", "Tarefas": 4, "Cpus": 4.0, "PrevisaoS": 4.0,
                "Parcela": "a"});
            simulation.add_user(42_000 + 1_000 * n, spec);
        }
        simulation.add_user(
            61_000,
            json!({"Tarefas": tasks, "Cpus": 4.0, "Parcela": "a"}),
        );
        let user = simulation.users.len() - 1;
        simulation.run(61_000);
        let start = first_start(&mut simulation, user, 140_000).expect("the job starts");
        assert_eq!(simulation.violations, Vec::<String>::new());
        start - 61_000
    };
    let (guaranteed, beyond) = (start_delay(2), start_delay(3));
    assert!(guaranteed < 8_000, "{guaranteed} ms");
    assert!(beyond > 12_000, "{beyond} ms");
}

/// A backlog of long tasks of the other team fills all capacity. Reserved capacity is free when the reservation
/// begins. Without the reservation the same job waits until capacity becomes free.
#[test]
fn reserved_capacity_is_free_despite_a_backlog_of_another_team() {
    let start_delay = |reserve: bool| {
        let mut simulation = simulation(7, FAULT_FREE, DisabledSafeguards::default(), 0);
        if reserve {
            simulation.add_reservation(5_000, "red", 16.0, Some("a"), 60_000, 100_000);
        }
        for n in 0..60 {
            let spec = json!({"Cuadrilla": "blue", "Tarefas": 12, "Cpus": 2.0, "PrevisaoS": 4.0,
                "Parcela": "a"});
            simulation.add_user(6_000 + 1_000 * n, spec);
        }
        simulation.add_user(64_000, json!({"Tarefas": 8, "Cpus": 2.0, "Parcela": "a"}));
        let user = simulation.users.len() - 1;
        simulation.run(64_000);
        let start = first_start(&mut simulation, user, 120_000);
        assert_eq!(simulation.violations, Vec::<String>::new());
        start.map(|at| at - 64_000)
    };
    let (with, without) = (start_delay(true), start_delay(false));
    assert!(with.is_some_and(|ms| ms < 5_000), "{with:?} ms");
    assert!(without.is_none_or(|ms| ms > 20_000), "{without:?} ms");
}
