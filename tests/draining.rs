//! Drains in the stand-in world, with whole controllers: no budget is passed at any event, whatever fails,
//! and what is asked for comes about.

use serde_json::json;
use snowshelf_drain::budget::Budget;
use snowshelf_simulation::{DisabledSafeguards, NODES, Simulation, SimulationConditions};
use std::collections::BTreeSet;

const CALM: SimulationConditions = SimulationConditions {
    drains: true,
    ..SimulationConditions::FAULT_FREE
};

/// By how much the cloud's list lags, as the controllers' settings in the world say.
const LIST_LAG_MS: u64 = 3_000;

const STORM: SimulationConditions = SimulationConditions {
    drains: true,
    ..SimulationConditions::FAULTY
};

const TIGHT: Budget = Budget {
    cpus: 24.0,
    tasks: 12,
    stretch_s: 30.0,
    stretch_cpus: 60.0,
    stretch_tasks: 30,
    job_share: 0.5,
    replicas_up: 0.75,
};

/// A world with so many machines of each of its four pools at the most, a team's limit to match, and
/// jobs that come all the time and take `run_ms`.
fn busy(seed: u64, conditions: SimulationConditions, pool: usize, run_ms: u64) -> Simulation {
    if std::env::var("LOG_LEVEL").is_ok() {
        let _ = tracing_subscriber::fmt().without_time().try_init();
    }
    let limit = 16.0 * pool as f64;
    let mut simulation = Simulation::sized(
        seed,
        conditions,
        DisabledSafeguards::default(),
        0,
        150_000,
        (limit, pool),
    );
    simulation.budget = TIGHT;
    simulation.cloud.page_size = 500;
    simulation.task_run_ms = run_ms;
    (0..NODES).for_each(|node| simulation.restart_controller(node));
    for i in 0..(6 * pool as u64) {
        let team = if i % 2 == 0 { "red" } else { "blue" };
        let spec = json!({"Cuadrilla": team, "Tarefas": 8, "Cpus": 2.0, "PrevisaoS": run_ms as f64 / 1000.0,
            "Avulsas": i % 3 == 0});
        simulation.add_user(2_000 + i * 150_000 / (6 * pool as u64), spec);
    }
    simulation
}

fn replace_all() -> serde_json::Value {
    json!({"name": "all", "all": true, "then": "replace", "at_once": 6, "watch_s": 5.0, "patience_s": 3.0})
}

/// Names of the machines that were up when a drain was asked for and still are.
fn old(simulation: &Simulation, before: u64) -> Vec<String> {
    let machines = simulation.cloud.machines.iter();
    let old = machines.filter(|(_, m)| m.rented_at < before);
    old.map(|(name, _)| name.clone()).collect()
}

/// Plays a replacement of all machines asked for at 40 s, with whatever `fault` adds to it; when it was over.
fn replaced(
    seed: u64,
    conditions: SimulationConditions,
    fault: impl FnOnce(&mut Simulation),
) -> (Simulation, Option<u64>) {
    let mut simulation = busy(seed, conditions, 6, 15_000);
    let drain = simulation.add_drain(40_000, replace_all());
    fault(&mut simulation);
    simulation.run(40_000);
    let mut over = None;
    while simulation.now < 500_000 && over.is_none() && simulation.violations.is_empty() {
        let until = simulation.now + 1_000;
        simulation.run(until);
        simulation.now = simulation.now.max(until);
        over = (simulation.operators[drain].state() == "done").then_some(simulation.now);
    }
    simulation.run(600_000);
    (simulation, over)
}

#[track_caller]
fn assert_replaced(seed: u64, simulation: &Simulation, over: Option<u64>) {
    simulation.assert_rules_held(seed);
    let drain = &simulation.operators[0];
    assert!(
        over.is_some(),
        "seed {seed}: {:?} {}",
        drain.outcome,
        drain.last_response
    );
    // What was rented a moment before the drain was asked for may be listed as younger.
    assert_eq!(old(simulation, 37_000), Vec::<String>::new(), "seed {seed}");
}

#[test]
fn a_whole_fleet_is_replaced_within_the_budgets() {
    for seed in 1..=4 {
        let mut simulation = busy(seed, CALM, 10, 20_000);
        let drain = simulation.add_drain(40_000, replace_all());
        simulation.run(40_000);
        let mut old_ones: BTreeSet<String> = old(&simulation, 40_000).into_iter().collect();
        assert!(old_ones.len() >= 20, "{old_ones:?}");
        // A machine's age is taken with the list's lag, so that one rented within it afterwards may count as older.
        simulation.run(40_000 + LIST_LAG_MS);
        old_ones.extend(old(&simulation, 40_000 + LIST_LAG_MS));
        let before = old_ones.len();
        simulation.run(400_000);
        assert_replaced(seed, &simulation, Some(0));
        assert_eq!(simulation.operators[drain].state(), "done");
        // None is emptied twice, though the list shows it for a while after it is gone.
        let emptied = simulation.operators[drain].last_response["emptied"].as_u64();
        assert!(
            emptied.is_some_and(|n| n <= before as u64),
            "{emptied:?} of {before}"
        );
        // Tasks ran longer than they were waited for, and the budget was used and not passed.
        let (stops, away) = (
            simulation.disruptions.stops(),
            simulation.disruptions.most_disrupted_cpus,
        );
        assert!(stops >= 20 && away >= TIGHT.cpus / 2.0, "{stops} {away}");
    }
}

/// Guards against budgets that are passed, steps begun twice and drains that stand still after takeovers,
/// outages, lost and late answers, hanging and sick machines.
#[test]
fn budgets_hold_in_storms_and_drains_come_to_an_end() {
    for seed in 1..=24 {
        let (simulation, over) = replaced(seed, STORM, |simulation| {
            if seed % 3 == 0 {
                simulation.crash_loop_at(50_000, 80_000, 1_500);
            }
            if seed % 3 == 2 {
                // An owner that still believes to own its part, and the leader among them.
                for i in 0..3 {
                    let from = 48_000 + 20_000 * i + 700 * seed;
                    simulation.isolate_controller_at(from, from + 9_000, ((seed + i) % 3) as usize);
                }
            }
            if seed % 3 == 1 {
                simulation.isolate_zone_at(55_000, 65_000 + 1_000 * seed, "a");
            }
        });
        // New machines are sick in storms: a drain may have halted for that, with its evidence.
        let halted = simulation.operators[0].state() == "halted";
        assert!(
            over.is_some() || halted,
            "seed {seed}: {}",
            simulation.operators[0].last_response
        );
        simulation.assert_rules_held(seed);
    }
}

/// Guards against a step, a charge or a stop that is done twice or lost because its controller ended just
/// after it had written, its answer lost.
#[test]
fn a_kill_after_any_write_changes_nothing() {
    for writes in 0..36 {
        let seed = 100 + writes;
        let mut simulation = busy(seed, CALM, 4, 12_000);
        simulation.add_drain(40_000, replace_all());
        simulation.run(41_000 + 700 * (writes % 12));
        simulation.crash_after_writes = Some(writes);
        simulation.run(500_000);
        let done = simulation.operators[0].state() == "done";
        assert_replaced(seed, &simulation, done.then_some(0));
    }
}

#[test]
fn a_replacement_goes_on_after_all_controllers_were_down() {
    for seed in 1..=8 {
        let (simulation, over) = replaced(seed, CALM, |simulation| {
            for node in 0..NODES {
                simulation.crash_at(52_000 + 900 * seed, node);
                simulation.crash_at(75_000 + 900 * seed + 300 * node as u64, node);
            }
            simulation.kv_outage_at(90_000, 98_000);
        });
        assert_replaced(seed, &simulation, over);
    }
}

/// Guards against stops that go on as if nothing had happened while machines die by themselves.
#[test]
fn what_fails_by_itself_counts_first() {
    for seed in 1..=6 {
        let (simulation, over) = replaced(seed, CALM, |simulation| {
            for i in 0..12 {
                simulation.fail_machine_at(60_000 + 100 * i, &format!("n-{:06}", 1 + 2 * i));
            }
        });
        assert_replaced(seed, &simulation, over);
    }
}

/// Guards against steps that go on as if nothing had happened while the cloud takes half of their machines, and
/// against a task that is stopped for a drain on a machine which is taken anyway.
#[test]
fn notices_come_in_the_middle_of_a_step() {
    for seed in 1..=4 {
        let (simulation, over) = replaced(seed, CALM, |simulation| {
            for i in 0..14 {
                let at = 56_000 + 1_500 * i;
                simulation.interrupt_machine_at(at, &format!("n-{:06}", 1 + 2 * i), 6_000);
            }
        });
        assert_replaced(seed, &simulation, over);
    }
}

/// A budget of nothing is in force from its write on: what was charged before is still commanded, nothing
/// else; once it is raised again the drain goes on.
#[test]
fn a_budget_lowered_to_nothing_stops_the_stops() {
    let nothing = Budget {
        cpus: 0.0,
        tasks: 0,
        ..TIGHT
    };
    let (mut held, mut later) = (0, 0);
    for seed in 1..=6 {
        let mut simulation = busy(seed, CALM, 6, 40_000);
        let drain = simulation.add_drain(40_000, replace_all());
        simulation.run(58_000);
        let lowered = simulation.set_budget(58_000, "red", nothing);
        simulation.run(75_000);
        assert!(
            matches!(simulation.operators[lowered].outcome, Some((200, _))),
            "seed {seed}"
        );
        let mut told = false;
        for at in (75_000..110_000).step_by(1_000) {
            simulation.run(at);
            let shown = simulation.operators[drain].last_response.to_string();
            told |= shown.contains("red: as much of its work is away as may be");
        }
        // Whichever controller is asked says what holds it back.
        assert_eq!(
            simulation.disruptions.stops_since(75_000, "red"),
            0,
            "seed {seed}"
        );
        held += usize::from(told);
        simulation.set_budget(110_000, "red", TIGHT);
        simulation.run(600_000);
        later += simulation.disruptions.stops_since(110_000, "red");
        let done = simulation.operators[drain].state() == "done";
        assert_replaced(seed, &simulation, done.then_some(0));
    }
    assert!(held >= 1 && later > 0, "{held} {later}");
}

/// Machines kept empty are neither used nor handed back, and serve again after a cancel; a cancel between a
/// stop and its end leaves nothing closed.
#[test]
fn what_is_kept_empty_stays_so_until_it_is_undone() {
    for seed in 1..=4 {
        let mut simulation = busy(seed, CALM, 6, 10_000);
        simulation.run(40_000);
        let names: Vec<String> = simulation.workers.keys().take(5).cloned().collect();
        let keep = json!({"name": "repair", "machines": names, "then": "keep", "at_once": 3, "watch_s": 0.0,
            "patience_s": 2.0});
        let drain = simulation.add_drain(40_000, keep);
        simulation.run(110_000);
        assert_eq!(
            simulation.operators[drain].state(),
            "done",
            "{}",
            simulation.operators[drain].last_response
        );
        for at in (110_000..125_000).step_by(500) {
            simulation.run(at);
            let here = names.iter().map(|n| simulation.workers.get(n));
            assert!(
                here.into_iter()
                    .all(|w| w.is_some_and(|w| w.tasks.is_empty()))
            );
        }
        let cancel = simulation.command_drain(125_000, "repair", "cancel");
        simulation.run(150_000);
        assert!(matches!(
            simulation.operators[cancel].outcome,
            Some((200, _))
        ));
        let used = names.iter().filter(|n| {
            simulation
                .workers
                .get(*n)
                .is_some_and(|w| !w.tasks.is_empty())
        });
        assert!(used.count() > 0);
        simulation.run(500_000);
        simulation.assert_rules_held(seed);
    }
}

/// A task without an end is waited for as the drain says: given up at its time, or stopped beyond a budget
/// of nothing, which is counted.
#[test]
fn at_the_end_it_is_given_up_or_forced() {
    for (late, state) in [("give_up", "given_up"), ("force", "done")] {
        let mut simulation = busy(3, CALM, 4, 200_000);
        simulation.budget.cpus = 0.0;
        (0..NODES).for_each(|node| simulation.restart_controller(node));
        let by = snowshelf_calendar::entry::format_time(snowshelf_model::ids::WallClockMillis(
            snowshelf_simulation::calendar::WALL_CLOCK_START_MS + 90_000,
        ));
        let mut body = replace_all();
        body["by"] = json!(by);
        body["late"] = json!(late);
        let drain = simulation.add_drain(40_000, body);
        simulation.run(89_000);
        assert_eq!(simulation.disruptions.stops(), 0);
        // From here on the checker would count the breach that was asked for.
        simulation.budget = Budget {
            cpus: 1e6,
            tasks: 1_000_000,
            stretch_cpus: 1e6,
            job_share: 1.0,
            ..TIGHT
        };
        simulation.run(500_000);
        assert_eq!(
            simulation.operators[drain].state(),
            state,
            "{}",
            simulation.operators[drain].last_response
        );
        let breach = simulation
            .kv_store
            .value("disrupt/red")
            .map_or(0.0, |v| v["x"].as_f64().unwrap_or(0.0));
        assert_eq!(breach > 0.0, late == "force", "{breach}");
        assert_eq!(simulation.violations, Vec::<String>::new());
    }
}

/// Guards against a service of which fewer replicas run than must stay up, while every machine goes.
#[test]
fn a_service_keeps_its_floor() {
    for seed in 1..=4 {
        let mut simulation = busy(seed, CALM, 4, 10_000);
        let spec = json!({"Feitio": "standing", "Tarefas": 8, "Cpus": 2.0, "PrevisaoS": 0.0, "Avulsas": true});
        simulation.add_user(1_000, spec);
        let service = simulation.users.len() - 1;
        simulation
            .endless_jobs
            .insert(simulation.users[service].job.clone());
        let job = format!("{}/", simulation.users[service].job);
        let drain = simulation.add_drain(40_000, replace_all());
        let mut fewest = 8;
        for at in (30_000..300_000).step_by(250) {
            simulation.run(at);
            let tasks = simulation.workers.values().flat_map(|w| &w.tasks);
            let up = tasks.filter(|t| t.name.starts_with(&job) && t.state == "running");
            fewest = fewest.min(up.count());
        }
        assert_eq!(simulation.violations, Vec::<String>::new(), "seed {seed}");
        assert_eq!(
            simulation.operators[drain].state(),
            "done",
            "{}",
            simulation.operators[drain].last_response
        );
        assert!(fewest == 6, "seed {seed}: {fewest}");
    }
}

/// The check can fail: it is held against half of what the controllers keep to.
#[test]
fn the_check_finds_a_budget_that_is_passed() {
    let mut simulation = busy(1, CALM, 6, 20_000);
    simulation.add_drain(40_000, replace_all());
    simulation.run(40_000);
    simulation.budget.cpus = TIGHT.cpus / 2.0;
    simulation.run(200_000);
    let found = simulation
        .violations
        .iter()
        .any(|b| b.starts_with("budget: "));
    assert!(found, "{:?}", simulation.violations);
}

/// Fifty drains at once, by zone, by kind, by name and of all, some paused, resumed or cancelled on the way, while
/// windows close the same zones.
#[test]
fn many_drains_and_windows_go_together() {
    for seed in 1..=6 {
        let conditions = SimulationConditions {
            calendar: true,
            ..CALM
        };
        let mut simulation = busy(seed, conditions, 6, 12_000);
        simulation.add_window(20_000, "a", 90_000, 110_000);
        simulation.add_window(21_000, "b", 130_000, 140_000);
        simulation.run(35_000);
        let names: Vec<String> = simulation.workers.keys().cloned().collect();
        for i in 0..50u64 {
            let named = &names[(i as usize * 7 + seed as usize) % names.len()];
            let body = match i % 5 {
                0 => json!({"zone": if i % 2 == 0 { "a" } else { "b" }, "then": "replace"}),
                1 => json!({"spot": i % 2 == 0, "then": "return"}),
                2 => json!({"machines": [named], "then": "return"}),
                3 => json!({"type": "s", "then": "replace", "any_zone": true}),
                _ => json!({"all": true, "then": "replace"}),
            };
            let mut body = body;
            let name = format!("d{i}");
            body["name"] = json!(name);
            body["at_once"] = json!(1 + i % 4);
            body["watch_s"] = json!(2.0);
            body["patience_s"] = json!(2.0 + (i % 3) as f64);
            let at = 40_000 + 900 * i;
            simulation.add_drain(at, body);
            match i % 7 {
                0 => {
                    simulation.command_drain(at + 9_000, &name, "pause");
                    simulation.command_drain(at + 25_000, &name, "resume");
                }
                1 => {
                    simulation.command_drain(at + 12_000, &name, "cancel");
                }
                _ => {}
            }
        }
        simulation.crash_at(80_000, (seed % 3) as usize);
        simulation.run(700_000);
        simulation.assert_rules_held(seed);
        let drains = simulation.operators.iter().filter(|o| o.is_drain());
        let open: Vec<&str> = drains
            .map(snowshelf_simulation::drains::Operator::state)
            .filter(|s| !matches!(*s, "done" | "cancelled"))
            .collect();
        assert!(open.is_empty(), "seed {seed}: {open:?}");
    }
}

/// Two hundred machines, two controllers that end again and again, a zone that is cut off.
#[test]
fn two_hundred_machines_are_replaced_while_controllers_end() {
    let mut simulation = busy(7, CALM, 50, 20_000);
    simulation.budget = Budget {
        cpus: 120.0,
        tasks: 60,
        stretch_cpus: 300.0,
        stretch_tasks: 150,
        ..TIGHT
    };
    (0..NODES).for_each(|node| simulation.restart_controller(node));
    let mut body = replace_all();
    body["at_once"] = json!(30);
    body["any_zone"] = json!(true);
    let drain = simulation.add_drain(40_000, body);
    for i in 0..6 {
        simulation.crash_at(50_000 + 9_000 * i, (i % 2) as usize);
    }
    simulation.isolate_zone_at(70_000, 79_000, "b");
    simulation.run(40_000);
    let before = old(&simulation, 40_000).len();
    simulation.run(400_000);
    simulation.assert_rules_held(7);
    assert!(before >= 120, "{before}");
    assert_eq!(
        simulation.operators[drain].state(),
        "done",
        "{}",
        simulation.operators[drain].last_response
    );
    assert_eq!(old(&simulation, 37_000), Vec::<String>::new());
}
