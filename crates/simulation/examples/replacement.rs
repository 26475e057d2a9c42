//! How long it takes to replace a whole fleet in simulated time, what is stopped for it, and what it writes:
//! in steps, one machine at a time, and all at once.
//!
//!     cargo run --release -p snowshelf-world --example replacement -- POOL [SEED]
//!
//! Teams may use what fills POOL machines of each of four pools, and the cloud has twice as many. Long at large
//! sizes: no test.

use serde_json::{Value, json};
use snowshelf_drain::budget::Budget;
use snowshelf_simulation::{DisabledSafeguards, NODES, NetworkConditions, Simulation};

fn simulation(seed: u64, pool: usize, budget: Budget) -> Simulation {
    let conditions = NetworkConditions {
        drains: true,
        ..NetworkConditions::CALM
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
    simulation.cloud.page = 500;
    simulation.run_ms = 20_000;
    (0..NODES).for_each(|node| simulation.again(node));
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
    let boundless = Budget {
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
        "way; machines; over after s; tasks stopped; most CPUs away; jobs done after s (mean); writes"
    );
    let ways = [
        ("no drain", None, budget),
        ("in steps of a tenth", Some(steps), budget),
        ("one at a time", Some(single), budget),
        ("all at once, no budget", Some(all), boundless),
    ];
    for (way, body, budget) in ways {
        let mut simulation = simulation(seed, pool, budget);
        let drain = body.map(|body| simulation.add_drain(60_000, body));
        simulation.run(60_000);
        let machines = simulation.workers.len();
        let writes = simulation.state.revision;
        let mut ends = vec![None; simulation.users.len()];
        let mut over = None;
        for at in (60_000..1_000_000).step_by(1_000) {
            simulation.run(at);
            let done = drain.is_some_and(|d| simulation.operators[d].state() == "done");
            if done && over.is_none() {
                over = Some((at - 60_000) / 1_000);
            }
            for (end, user) in ends.iter_mut().zip(&simulation.users) {
                if user.told_done && end.is_none() {
                    *end = Some(at.saturating_sub(user.submit_at));
                }
            }
        }
        let done: Vec<u64> = ends.iter().flatten().copied().collect();
        let mean = done.iter().sum::<u64>() as f64 / done.len().max(1) as f64 / 1_000.0;
        println!(
            "{way}; {machines}; {over:?}; {}; {}; {mean:.1} ({} of {}); {}; {:?}",
            simulation.disrupted.stops(),
            simulation.disrupted.most_away,
            done.len(),
            ends.len(),
            simulation.state.revision - writes,
            simulation.broken
        );
    }
}
