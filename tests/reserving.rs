//! Reservations and windows in the stand-in world, with whole controllers.

use serde_json::json;
use snowshelf_simulation::{DisabledSafeguards, Simulation, SimulationConditions};

const CALM: SimulationConditions = SimulationConditions {
    calendar: true,
    ..SimulationConditions::FAULT_FREE
};

const STORM: SimulationConditions = SimulationConditions {
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

/// When the first task of a user's job was on a machine, if it was.
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

/// Estimates are a tenth of what the tasks take, so that some are still there when a zone closes: they
/// are stopped in time, the zone is empty throughout, and fills again afterwards.
#[test]
fn a_closed_zone_is_empty_whatever_the_estimates_say() {
    for seed in 1..=20 {
        let conditions = SimulationConditions {
            short_estimates: true,
            ..CALM
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

/// Guards against a window that nobody keeps because its moment falls into a takeover of parts, or into
/// an outage: nothing starts, and what is there is stopped as soon as somebody is in charge.
#[test]
fn a_window_opens_during_takeovers_and_an_outage() {
    for seed in 1..=24 {
        let conditions = SimulationConditions {
            short_estimates: true,
            ..CALM
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
        // A lease of a controller, a takeover, a redirected report and its commands; in an outage the
        // dead one's part is taken only after it, and its workers' tasks end with their lease.
        simulation.zone_empty_after_ms = Some(20_000);
        simulation.run(600_000);
        simulation.assert_rules_held(seed);
    }
}

/// A job that by its estimate would run into a window waits until it is over, though there is room; a
/// short one does not wait.
#[test]
fn a_long_job_does_not_start_before_a_window() {
    let mut simulation = simulation(3, CALM, DisabledSafeguards::default(), 0);
    simulation.zone_empty_after_ms = Some(0);
    simulation.add_window(5_000, "a", 60_000, 80_000);
    simulation.add_user(15_000, json!({"Parcela": "a", "PrevisaoS": 100.0}));
    simulation.add_user(15_000, json!({"Parcela": "a", "PrevisaoS": 4.0}));
    simulation.add_user(15_000, json!({"Parcela": "b", "PrevisaoS": 100.0}));
    let short = first_start(&mut simulation, 1, 55_000);
    assert!(short.is_some_and(|at| at < 40_000), "{short:?}");
    let long = first_start(&mut simulation, 0, 150_000);
    assert!(long.is_some_and(|at| at > 80_000), "{long:?}");
    simulation.run(200_000);
    assert_eq!(simulation.violations, Vec::<String>::new());
    assert_eq!(simulation.settled_jobs(), 3);
}

/// Guards against two controllers that give the last room to two users, against entries that are lost
/// or changed by takeovers, an outage or a roll, and against starts in closed zones meanwhile.
#[test]
fn what_is_accepted_holds_in_storms() {
    let (mut accepted, mut refused) = (0, 0);
    for seed in 1..=60 {
        let conditions = SimulationConditions {
            rolling_update: seed % 3 == 0,
            ..STORM
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

/// The check can fail: without conditions two controllers give the same room away.
#[test]
fn without_conditions_too_much_is_reserved() {
    let safeguards = DisabledSafeguards {
        ignore_txn_conditions: true,
        ..DisabledSafeguards::default()
    };
    let found = (1..=40).any(|seed| {
        let mut simulation = simulation(seed, CALM, safeguards, 0);
        for n in 0..12 {
            simulation.add_reservation(20_000 + n / 3, "red", 10.0, Some("a"), 60_000, 90_000);
        }
        simulation.run(40_000);
        !simulation.overbooked_reservations().is_empty()
    });
    assert!(found);
}

/// Tasks of the other team run ten times as long as their owner thinks and are still there when the
/// reservation opens. Those beyond their team's guarantee are stopped for a job within its own; for
/// one beyond it, and of no higher priority, they are not.
#[test]
fn overrunning_tasks_yield_only_to_a_guarantee() {
    let wait = |tasks: u32| {
        let mut simulation = simulation(9, CALM, DisabledSafeguards::default(), 0);
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
    let (guaranteed, beyond) = (wait(2), wait(3));
    assert!(guaranteed < 8_000, "{guaranteed} ms");
    assert!(beyond > 12_000, "{beyond} ms");
}

/// A flood of the other team's long tasks fills all that there is. What is reserved is free when its
/// time comes; without the reservation the same job waits until room falls free.
#[test]
fn reserved_room_is_there_under_a_flood() {
    let wait = |reserve: bool| {
        let mut simulation = simulation(7, CALM, DisabledSafeguards::default(), 0);
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
    let (with, without) = (wait(true), wait(false));
    assert!(with.is_some_and(|ms| ms < 5_000), "{with:?} ms");
    assert!(without.is_none_or(|ms| ms > 20_000), "{without:?} ms");
}
