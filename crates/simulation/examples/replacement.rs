//! Measures the replacement of a whole fleet in simulated time: its duration, the tasks stopped for it and its
//! writes. Compares a drain in steps, one machine at a time and all at once.
//!
//!     cargo run --release -p snowshelf-simulation --example replacement -- POOL [SEED]
//!
//! The team limits correspond to POOL machines in each of four pools; the cloud has twice as many. Large pools
//! take too long for a test.

use serde_json::{Value, json};
use snowshelf_drain::budget::Budget;
use snowshelf_simulation::{DisabledSafeguards, NODES, Simulation, SimulationConditions};

fn simulation(seed: u64, pool: usize, budget: Budget) -> Simulation {
    let conditions = SimulationConditions {
        drains: true,
        ..SimulationConditions::FAULT_FREE
    };
    let limit = 16.0 * pool as f64;
    let mut simulation = Simulation::sized(
        seed,
        conditions,
        DisabledSafeguards::default(),
        0,
        700_000,
        (limit, 2 * pool),
    );
    simulation.budget = budget;
    simulation.cloud.page_size = 500;
    simulation.task_run_ms = 20_000;
    (0..NODES).for_each(|node| simulation.restart_controller(node));
    let jobs = 25 * pool as u64;
    for i in 0..jobs {
        let team = if i % 2 == 0 { "red" } else { "blue" };
        let spec = json!({"Cuadrilla": team, "Tarefas": 16, "Cpus": 2.0, "PrevisaoS": 20.0, "Avulsas": i % 3 == 0});
        simulation.add_user(2_000 + i * 600_000 / jobs, spec);
    }
    simulation
}

fn main() {
    let mut args = std::env::args()
        .skip(1)
        .filter_map(|a| a.parse::<u64>().ok());
    let pool = args.next().unwrap_or(10) as usize;
    let seed = args.next().unwrap_or(1);
    let scale = pool as f64;
    let budget = Budget {
        cpus: 4.0 * scale,
        tasks: 2 * pool as u32,
        stretch_s: 60.0,
        stretch_cpus: 16.0 * scale,
        stretch_tasks: 8 * pool as u32,
        job_share: 0.5,
        replicas_up: 0.9,
    };
    let unlimited = Budget {
        cpus: 1e9,
        tasks: u32::MAX,
        stretch_cpus: 1e9,
        stretch_tasks: u32::MAX,
        job_share: 1.0,
        ..budget
    };
    let steps = json!({"name": "d", "all": true, "then": "replace", "share": 0.1, "any_zone": true,
        "watch_s": 5.0, "patience_s": 30.0});
    let mut single = steps.clone();
    single["share"] = Value::Null;
    single["at_once"] = json!(1);
    let mut all = steps.clone();
    all["share"] = json!(1.0);
    all["canary"] = json!(0);
    all["then"] = json!("return");
    all["patience_s"] = json!(0.0);
    println!(
        "method; machines; duration in s; stopped tasks; most CPUs stopped at once; mean job duration in s (done of all); writes; violations"
    );
    let methods = [
        ("no drain", None, budget),
        ("in steps of a tenth", Some(steps), budget),
        ("one at a time", Some(single), budget),
        ("all at once, no budget", Some(all), unlimited),
    ];
    for (method, body, budget) in methods {
        let mut simulation = simulation(seed, pool, budget);
        let drain = body.map(|body| simulation.add_drain(60_000, body));
        simulation.run(60_000);
        let machines = simulation.workers.len();
        let writes = simulation.kv_store.revision;
        let mut ends = vec![None; simulation.users.len()];
        let mut duration_s = None;
        for at in (60_000..1_000_000).step_by(1_000) {
            simulation.run(at);
            let done = drain.is_some_and(|d| simulation.operators[d].state() == "done");
            if done && duration_s.is_none() {
                duration_s = Some((at - 60_000) / 1_000);
            }
            for (end, user) in ends.iter_mut().zip(&simulation.users) {
                if user.completion_reported && end.is_none() {
                    *end = Some(at.saturating_sub(user.submit_at));
                }
            }
        }
        let done: Vec<u64> = ends.iter().flatten().copied().collect();
        let mean = done.iter().sum::<u64>() as f64 / done.len().max(1) as f64 / 1_000.0;
        println!(
            "{method}; {machines}; {duration_s:?}; {}; {}; {mean:.1} ({} of {}); {}; {:?}",
            simulation.disruptions.stops(),
            simulation.disruptions.most_disrupted_cpus,
            done.len(),
            ends.len(),
            simulation.kv_store.revision - writes,
            simulation.violations
        );
    }
}
