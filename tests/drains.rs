//! Drains in simulations of whole controllers. No disruption budget may be exceeded at any event, whatever fault
//! occurs, and each drain must reach its goal.

use serde_json::json;
use snowshelf_drain::budget::Budget;
use snowshelf_simulation::{DisabledSafeguards, NODES, Simulation, SimulationConditions};
use std::collections::BTreeSet;

const FAULT_FREE: SimulationConditions = SimulationConditions {
    drains: true,
    ..SimulationConditions::FAULT_FREE
};

/// Lag of the cloud's machine list, as in the controllers' settings (`list_lag_s`).
const LIST_LAG_MS: u64 = 3_000;

const FAULTY: SimulationConditions = SimulationConditions {
    drains: true,
    ..SimulationConditions::FAULTY
};

const SMALL_BUDGET: Budget = Budget {
    cpus: 24.0,
    tasks: 12,
    stretch_s: 30.0,
    stretch_cpus: 60.0,
    stretch_tasks: 30,
    job_share: 0.5,
    replicas_up: 0.75,
};

/// A simulation with up to `pool` machines in each of its four pools, a matching team limit, and a steady stream of
/// jobs with tasks of `run_ms`.
fn busy_simulation(
    seed: u64,
    conditions: SimulationConditions,
    pool: usize,
    run_ms: u64,
) -> Simulation {
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
    simulation.budget = SMALL_BUDGET;
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

/// Names of the machines that were rented before this time and still exist.
fn machines_rented_before(simulation: &Simulation, before: u64) -> Vec<String> {
    let machines = simulation.cloud.machines.iter();
    let rented_before = machines.filter(|(_, m)| m.rented_at < before);
    rented_before.map(|(name, _)| name.clone()).collect()
}

/// Runs a replacement of all machines that is requested at 40 s, with the faults that `fault` adds. Returns the
/// simulation and the time at which the drain was done.
fn replace_all_machines(
    seed: u64,
    conditions: SimulationConditions,
    fault: impl FnOnce(&mut Simulation),
) -> (Simulation, Option<u64>) {
    let mut simulation = busy_simulation(seed, conditions, 6, 15_000);
    let drain = simulation.add_drain(40_000, replace_all());
    fault(&mut simulation);
    simulation.run(40_000);
    let mut completed_at = None;
    while simulation.now < 500_000 && completed_at.is_none() && simulation.violations.is_empty() {
        let until = simulation.now + 1_000;
        simulation.run(until);
        simulation.now = simulation.now.max(until);
        completed_at = (simulation.operators[drain].state() == "done").then_some(simulation.now);
    }
    simulation.run(600_000);
    (simulation, completed_at)
}

#[track_caller]
fn assert_replaced(seed: u64, simulation: &Simulation, completed_at: Option<u64>) {
    simulation.assert_rules_held(seed);
    let drain = &simulation.operators[0];
    assert!(
        completed_at.is_some(),
        "seed {seed}: {:?} {}",
        drain.outcome,
        drain.last_response
    );
    // A machine rented just before the drain was requested may be listed as younger.
    assert_eq!(
        machines_rented_before(simulation, 37_000),
        Vec::<String>::new(),
        "seed {seed}"
    );
}

#[test]
fn whole_fleet_is_replaced_within_the_disruption_budget() {
    for seed in 1..=4 {
        let mut simulation = busy_simulation(seed, FAULT_FREE, 10, 20_000);
        let drain = simulation.add_drain(40_000, replace_all());
        simulation.run(40_000);
        let mut old_machines: BTreeSet<String> = machines_rented_before(&simulation, 40_000)
            .into_iter()
            .collect();
        assert!(old_machines.len() >= 20, "{old_machines:?}");
        // A machine's age is judged by the lagging list, so a machine rented within the lag afterwards may count
        // as older.
        simulation.run(40_000 + LIST_LAG_MS);
        old_machines.extend(machines_rented_before(&simulation, 40_000 + LIST_LAG_MS));
        let before = old_machines.len();
        simulation.run(400_000);
        assert_replaced(seed, &simulation, Some(0));
        assert_eq!(simulation.operators[drain].state(), "done");
        // No machine is emptied twice, although the list contains it for a while after its return.
        let emptied = simulation.operators[drain].last_response["emptied"].as_u64();
        assert!(
            emptied.is_some_and(|n| n <= before as u64),
            "{emptied:?} of {before}"
        );
        // Tasks ran longer than the drain's patience. The budget was used and not exceeded.
        let (stops, disrupted_cpus) = (
            simulation.disruptions.stops(),
            simulation.disruptions.most_disrupted_cpus,
        );
        assert!(
            stops >= 20 && disrupted_cpus >= SMALL_BUDGET.cpus / 2.0,
            "{stops} {disrupted_cpus}"
        );
    }
}

/// Guards against exceeded budgets, steps that begin twice and stuck drains after failovers, outages, lost and late
/// responses, hung machines and machines that fail every task.
#[test]
fn budgets_hold_and_drains_end_under_faults() {
    for seed in 1..=24 {
        let (simulation, completed_at) = replace_all_machines(seed, FAULTY, |simulation| {
            if seed % 3 == 0 {
                simulation.crash_loop_at(50_000, 80_000, 1_500);
            }
            if seed % 3 == 2 {
                // Isolated controllers that still consider themselves shard leaders, the cluster leader among
                // them.
                for i in 0..3 {
                    let from = 48_000 + 20_000 * i + 700 * seed;
                    simulation.isolate_controller_at(from, from + 9_000, ((seed + i) % 3) as usize);
                }
            }
            if seed % 3 == 1 {
                simulation.isolate_zone_at(55_000, 65_000 + 1_000 * seed, "a");
            }
        });
        // Under faults new machines may fail every task. A drain may halt for that reason and reports the
        // evidence.
        let halted = simulation.operators[0].state() == "halted";
        assert!(
            completed_at.is_some() || halted,
            "seed {seed}: {}",
            simulation.operators[0].last_response
        );
        simulation.assert_rules_held(seed);
    }
}

/// Guards against a step, a budget charge or an eviction that is repeated or lost because its controller crashed
/// after the write and before the response.
#[test]
fn drain_survives_controller_crash_after_any_write() {
    for writes in 0..36 {
        let seed = 100 + writes;
        let mut simulation = busy_simulation(seed, FAULT_FREE, 4, 12_000);
        simulation.add_drain(40_000, replace_all());
        simulation.run(41_000 + 700 * (writes % 12));
        simulation.crash_after_writes = Some(writes);
        simulation.run(500_000);
        let done = simulation.operators[0].state() == "done";
        assert_replaced(seed, &simulation, done.then_some(0));
    }
}

#[test]
fn replacement_resumes_after_all_controllers_were_down() {
    for seed in 1..=8 {
        let (simulation, completed_at) = replace_all_machines(seed, FAULT_FREE, |simulation| {
            for node in 0..NODES {
                simulation.crash_at(52_000 + 900 * seed, node);
                simulation.crash_at(75_000 + 900 * seed + 300 * node as u64, node);
            }
            simulation.kv_outage_at(90_000, 98_000);
        });
        assert_replaced(seed, &simulation, completed_at);
    }
}

/// Guards against evictions that continue unchanged while machines fail.
#[test]
fn machine_failures_count_against_the_budget_before_evictions() {
    for seed in 1..=6 {
        let (simulation, completed_at) = replace_all_machines(seed, FAULT_FREE, |simulation| {
            for i in 0..12 {
                simulation.fail_machine_at(60_000 + 100 * i, &format!("n-{:06}", 1 + 2 * i));
            }
        });
        assert_replaced(seed, &simulation, completed_at);
    }
}

/// Guards against steps that continue unchanged while the cloud interrupts half of their machines, and against
/// evicting a task for a drain on a machine that is interrupted anyway.
#[test]
fn replacement_completes_when_spot_interruptions_hit_a_step() {
    for seed in 1..=4 {
        let (simulation, completed_at) = replace_all_machines(seed, FAULT_FREE, |simulation| {
            for i in 0..14 {
                let at = 56_000 + 1_500 * i;
                simulation.interrupt_machine_at(at, &format!("n-{:06}", 1 + 2 * i), 6_000);
            }
        });
        assert_replaced(seed, &simulation, completed_at);
    }
}

/// Guards against evictions beyond a budget that was lowered to zero. Evictions charged before that write are still
/// commanded, but no others. Once the budget is raised again, the drain continues.
#[test]
fn zero_budget_stops_evictions_until_it_is_raised() {
    let zero_budget = Budget {
        cpus: 0.0,
        tasks: 0,
        ..SMALL_BUDGET
    };
    let (mut runs_with_reason, mut later_evictions) = (0, 0);
    for seed in 1..=6 {
        let mut simulation = busy_simulation(seed, FAULT_FREE, 6, 40_000);
        let drain = simulation.add_drain(40_000, replace_all());
        simulation.run(58_000);
        let lowered = simulation.set_budget(58_000, "red", zero_budget);
        simulation.run(75_000);
        assert!(
            matches!(simulation.operators[lowered].outcome, Some((200, _))),
            "seed {seed}"
        );
        let mut reason_reported = false;
        for at in (75_000..110_000).step_by(1_000) {
            simulation.run(at);
            let response = simulation.operators[drain].last_response.to_string();
            reason_reported |= response.contains("red: as much of its work is away as may be");
        }
        // Every controller reports what the drain waits for.
        assert_eq!(
            simulation.disruptions.stops_since(75_000, "red"),
            0,
            "seed {seed}"
        );
        runs_with_reason += usize::from(reason_reported);
        simulation.set_budget(110_000, "red", SMALL_BUDGET);
        simulation.run(600_000);
        later_evictions += simulation.disruptions.stops_since(110_000, "red");
        let done = simulation.operators[drain].state() == "done";
        assert_replaced(seed, &simulation, done.then_some(0));
    }
    assert!(
        runs_with_reason >= 1 && later_evictions > 0,
        "{runs_with_reason} {later_evictions}"
    );
}

/// Machines that a drain keeps empty are neither used nor returned, and are used again after the drain is
/// cancelled. A cancellation between an eviction and its end must not leave a machine cordoned.
#[test]
fn kept_machines_stay_empty_until_the_drain_is_cancelled() {
    for seed in 1..=4 {
        let mut simulation = busy_simulation(seed, FAULT_FREE, 6, 10_000);
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

/// At its deadline a drain that waits for an endless task either gives up or evicts the task beyond a budget of
/// zero. The excess is recorded.
#[test]
fn drain_deadline_gives_up_or_forces_evictions() {
    for (late, state) in [("give_up", "given_up"), ("force", "done")] {
        let mut simulation = busy_simulation(3, FAULT_FREE, 4, 200_000);
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
        // From here on the budget check would report the intended excess.
        simulation.budget = Budget {
            cpus: 1e6,
            tasks: 1_000_000,
            stretch_cpus: 1e6,
            job_share: 1.0,
            ..SMALL_BUDGET
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

/// Guards against a service with fewer running replicas than its minimum while all machines are replaced.
#[test]
fn service_keeps_its_minimum_replicas_during_replacement() {
    for seed in 1..=4 {
        let mut simulation = busy_simulation(seed, FAULT_FREE, 4, 10_000);
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

/// Shows that the check detects violations: it is given half of the budget that the controllers use.
#[test]
fn budget_check_finds_an_exceeded_budget() {
    let mut simulation = busy_simulation(1, FAULT_FREE, 6, 20_000);
    simulation.add_drain(40_000, replace_all());
    simulation.run(40_000);
    simulation.budget.cpus = SMALL_BUDGET.cpus / 2.0;
    simulation.run(200_000);
    let found = simulation
        .violations
        .iter()
        .any(|b| b.starts_with("budget: "));
    assert!(found, "{:?}", simulation.violations);
}

/// Fifty concurrent drains by zone, spot, type and name and of all machines. Some are paused, resumed or cancelled,
/// while windows close the same zones.
#[test]
fn fifty_concurrent_drains_end_while_windows_close_zones() {
    for seed in 1..=6 {
        let conditions = SimulationConditions {
            calendar: true,
            ..FAULT_FREE
        };
        let mut simulation = busy_simulation(seed, conditions, 6, 12_000);
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

/// Replaces two hundred machines while two controllers crash repeatedly and a zone is isolated.
#[test]
fn two_hundred_machines_are_replaced_despite_controller_crashes() {
    let mut simulation = busy_simulation(7, FAULT_FREE, 50, 20_000);
    simulation.budget = Budget {
        cpus: 120.0,
        tasks: 60,
        stretch_cpus: 300.0,
        stretch_tasks: 150,
        ..SMALL_BUDGET
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
    let before = machines_rented_before(&simulation, 40_000).len();
    simulation.run(400_000);
    simulation.assert_rules_held(7);
    assert!(before >= 120, "{before}");
    assert_eq!(
        simulation.operators[drain].state(),
        "done",
        "{}",
        simulation.operators[drain].last_response
    );
    assert_eq!(
        machines_rented_before(&simulation, 37_000),
        Vec::<String>::new()
    );
}
