//! Plays seeded runs and prints a digest of all that the controllers send in each: every call, answer and message
//! between controllers, in order, with its time. Two versions of the sources that behave alike print the same lines.
//!
//!     cargo run --release -p snowshelf-simulation --example behaviour_digest
//!
//! With `--records FILE` the values that the state service holds are written to a file as well, one JSON object a
//! line, as samples of stored data.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::json;
use snowshelf_dag::graph::Graph;
use snowshelf_dag::run::Asked;
use snowshelf_drain::budget::Budget;
use snowshelf_simulation::fault_combinations::OVER_MS;
use snowshelf_simulation::faults::Fault;
use snowshelf_simulation::{
    DisabledSafeguards, NODES, NetworkConditions, Simulation, fault_combinations,
};
use std::collections::BTreeMap;
use std::io::Write;
use std::sync::Mutex;

/// The end of most runs, in simulated time.
const END_MS: u64 = 160_000;

/// Every kind of trouble, each of which gets a run of its own.
const FAULTS: [(Fault, u64); 27] = [
    (Fault::LateWrites(0.1), 20_000),
    (Fault::LateReports(0.3), 30_000),
    (Fault::DeafMachines(0.3), 14_000),
    (Fault::HeldAnswers(0.3), 20_000),
    (Fault::DyingMachines(0.4), 2_000),
    (Fault::QuickBoots, 30_000),
    (Fault::SlowLinks(1_200), 30_000),
    (Fault::Refused(0), 14_000),
    (Fault::Outage, 16_000),
    (Fault::Slow(900), 25_000),
    (Fault::Cut("a"), 14_000),
    (Fault::Apart(1), 14_000),
    (Fault::Mute(2), 14_000),
    (Fault::Deaf(0), 14_000),
    (Fault::CloseLooks, 40_000),
    (Fault::CancelAtEnd(0.4), 40_000),
    (Fault::OddRequests, 40_000),
    (Fault::Crash(1), 1),
    (Fault::CrashAll(400), 1),
    (Fault::AnswersLost(0.1), 30_000),
    (Fault::KeptReports(0.3), 30_000),
    (Fault::MuteMachines(0.3), 25_000),
    (Fault::HungMachines(0.4), 30_000),
    (Fault::CancelNow(4, 20_000), 1),
    (Fault::ZoneCut("b", 0), 15_000),
    (Fault::AllDown, 9_000),
    (Fault::CancelNow(8, 0), 1),
];

fn graph_run(run: &str) -> Asked {
    let graph: Graph = serde_json::from_value(json!({
        "name": "harvest",
        "defaults": {"retries": 1, "job": {"class": "c", "team": "red", "cpus": 1.0, "mem_gb": 1.0,
            "image": "img-0", "pull_gb": 1.0, "estimate_s": 5.0}},
        "steps": [
            {"id": "tally", "job": {"tasks": 3.0}},
            {"id": "weigh", "after": ["tally"], "sweep": {"product": {"scale": [1, 2, 3, 4]}}},
            {"id": "sheet", "after": ["weigh"], "job": {"tasks": 2.0}},
            {"id": "alarm", "after": ["weigh"], "trigger": "one_failed"},
        ]
    }))
    .expect("the graph is sound");
    Asked {
        run: run.to_string(),
        graph,
        mapping: Default::default(),
        params: BTreeMap::new(),
        from: "2027-09-01T00:00:00Z".parse().expect("a time"),
        until: "2027-09-02T00:00:00Z".parse().expect("a time"),
        after: Vec::new(),
    }
}

fn storm(seed: u64, conditions: NetworkConditions) -> Simulation {
    let mut simulation =
        Simulation::new(seed, conditions, DisabledSafeguards::default(), 14, 90_000);
    simulation.run(END_MS);
    simulation
}

fn with_calendar(seed: u64, conditions: NetworkConditions) -> Simulation {
    let conditions = NetworkConditions {
        calendar: true,
        short_estimates: true,
        ..conditions
    };
    let mut simulation =
        Simulation::new(seed, conditions, DisabledSafeguards::default(), 14, 90_000);
    simulation.draw_bookers(12);
    simulation.run(END_MS);
    simulation
}

fn with_graphs(seed: u64, conditions: NetworkConditions) -> Simulation {
    let conditions = NetworkConditions {
        graphs: true,
        ..conditions
    };
    let mut simulation =
        Simulation::new(seed, conditions, DisabledSafeguards::default(), 6, 90_000);
    for n in 0..3 {
        let run = simulation.add_run(6_000 + 9_000 * n, &graph_run(&format!("r{n}")));
        if n == 2 {
            simulation.runners[run].cancel_at = Some(50_000);
        }
    }
    simulation.keep_graph(9_000, &graph_run("kept"));
    simulation.run(END_MS);
    simulation
}

fn with_drains(seed: u64, conditions: NetworkConditions) -> Simulation {
    let conditions = NetworkConditions {
        drains: true,
        ..conditions
    };
    let size = (96.0, 6);
    let mut simulation = Simulation::sized(
        seed,
        conditions,
        DisabledSafeguards::default(),
        0,
        150_000,
        size,
    );
    simulation.budget = Budget {
        cpus: 24.0,
        tasks: 12,
        stretch_s: 30.0,
        stretch_cpus: 60.0,
        stretch_tasks: 30,
        job_share: 0.5,
        replicas_up: 0.75,
    };
    simulation.run_ms = 15_000;
    (0..NODES).for_each(|node| simulation.again(node));
    for i in 0..36 {
        let team = ["red", "blue"][i as usize % 2];
        let spec = json!({"Cuadrilla": team, "Tarefas": 8, "Cpus": 2.0, "PrevisaoS": 15.0, "Avulsas": i % 3 == 0});
        simulation.add_user(2_000 + i * 4_000, spec);
    }
    let budget = simulation.budget;
    simulation.set_budget(20_000, "red", budget);
    simulation.add_drain(
        40_000,
        json!({"name": "all", "all": true, "then": "replace", "at_once": 6, "watch_s": 5.0, "patience_s": 3.0}),
    );
    simulation.tell_drain(70_000, "all", "pause");
    simulation.tell_drain(80_000, "all", "resume");
    simulation.run(END_MS);
    simulation
}

fn with_everything(seed: u64) -> Simulation {
    let conditions = NetworkConditions {
        calendar: true,
        graphs: true,
        drains: true,
        roll: true,
        ..NetworkConditions::STORM
    };
    let mut simulation =
        Simulation::new(seed, conditions, DisabledSafeguards::default(), 14, 90_000);
    simulation.draw_bookers(6);
    simulation.add_run(12_000, &graph_run("r"));
    simulation.add_drain(
        50_000,
        json!({"name": "zone", "zone": "a", "then": "replace", "at_once": 2}),
    );
    simulation.run(END_MS);
    simulation
}

fn with_fault(seed: u64, fault: Fault, for_ms: u64) -> Simulation {
    let mut rng = StdRng::seed_from_u64(seed);
    let at = rng.random_range(20_000..40_000u64);
    fault_combinations::play(
        seed,
        DisabledSafeguards::default(),
        &vec![(at, for_ms, fault)],
    )
}

fn with_three_faults(seed: u64) -> Simulation {
    let mut rng = StdRng::seed_from_u64(seed);
    let schedule = (0..3).map(|_| {
        let (fault, for_ms) = FAULTS[rng.random_range(0..FAULTS.len())];
        (
            rng.random_range(15_000..OVER_MS - 45_000),
            for_ms.min(40_000),
            fault,
        )
    });
    let schedule: fault_combinations::FaultSchedule = schedule.collect();
    fault_combinations::play(seed, DisabledSafeguards::default(), &schedule)
}

type Play = Box<dyn Fn() -> Simulation + Send + Sync>;

fn runs() -> Vec<(String, Play)> {
    let mut runs: Vec<(String, Play)> = Vec::new();
    let mut add = |name: String, play: Play| runs.push((name, play));
    let roll = NetworkConditions {
        roll: true,
        ..NetworkConditions::STORM
    };
    for seed in 1..=2 {
        add(
            format!("calm {seed}"),
            Box::new(move || storm(seed, NetworkConditions::CALM)),
        );
        add(
            format!("calendar {seed}"),
            Box::new(move || with_calendar(seed, NetworkConditions::CALM)),
        );
        add(
            format!("calendar, storm {seed}"),
            Box::new(move || with_calendar(seed, NetworkConditions::STORM)),
        );
        add(
            format!("graphs {seed}"),
            Box::new(move || with_graphs(seed, NetworkConditions::CALM)),
        );
        add(
            format!("graphs, storm {seed}"),
            Box::new(move || with_graphs(seed, NetworkConditions::STORM)),
        );
        add(
            format!("drains {seed}"),
            Box::new(move || with_drains(seed, NetworkConditions::CALM)),
        );
        add(
            format!("drains, storm {seed}"),
            Box::new(move || with_drains(seed, NetworkConditions::STORM)),
        );
        add(
            format!("everything {seed}"),
            Box::new(move || with_everything(seed)),
        );
    }
    for seed in 1..=6 {
        add(
            format!("storm {seed}"),
            Box::new(move || storm(seed, NetworkConditions::STORM)),
        );
        add(format!("roll {seed}"), Box::new(move || storm(seed, roll)));
        add(
            format!("three troubles {seed}"),
            Box::new(move || with_three_faults(seed)),
        );
    }
    for (n, (fault, for_ms)) in FAULTS.into_iter().enumerate() {
        add(
            format!("{fault:?}"),
            Box::new(move || with_fault(n as u64, fault, for_ms)),
        );
    }
    runs
}

/// Requests sent to every controller at the end of each run, so that all bodies of the API count in the digest.
const REQUESTS: [(&str, &str, &str); 27] = [
    ("GET", "/ready", ""),
    ("POST", "/ready", ""),
    ("POST", "/checkin", "{}"),
    ("POST", "/api/jobs", "{\"Ref\":\"wk-000001\"}"),
    ("GET", "/api/jobs/wk-000001", ""),
    ("GET", "/api/jobs/wk-000002", ""),
    ("PUT", "/api/jobs/wk-000001", ""),
    ("GET", "/api/jobs/wk-999999", ""),
    ("POST", "/api/jobs/wk-000001/cancel", ""),
    ("GET", "/api/nothing", ""),
    ("GET", "/api/reservations", ""),
    ("GET", "/api/reservations/r0", ""),
    ("POST", "/api/reservations", "{\"name\":\"x\"}"),
    ("GET", "/api/windows", ""),
    ("GET", "/api/windows/w1", ""),
    (
        "POST",
        "/api/windows/check",
        "{\"name\":\"x\",\"zone\":\"a\"}",
    ),
    ("GET", "/api/drains", ""),
    ("GET", "/api/drains/all", ""),
    ("GET", "/api/drains/zone", ""),
    ("POST", "/api/drains", "{\"name\":\"x\"}"),
    ("GET", "/api/budgets/red", ""),
    ("PUT", "/api/budgets/red", "{}"),
    ("GET", "/api/graphs/harvest", ""),
    ("GET", "/api/graphs/harvest/runs/r0", ""),
    ("GET", "/api/graphs/harvest/runs/r2?limit=2", ""),
    ("POST", "/api/graphs/harvest/runs", "{\"run\":\"x\"}"),
    ("PUT", "/api/graphs/harvest", "{}"),
];

/// How long the answers to these requests are waited for.
const ANSWERS_MS: u64 = 4_000;

/// A line for a run, and the records that it left.
fn play(name: &str, run: &Play) -> (String, Vec<String>) {
    let mut simulation = run();
    for (method, path, body) in REQUESTS {
        (0..NODES).for_each(|node| simulation.request(node, method, path, body));
    }
    let until = simulation.now + ANSWERS_MS;
    simulation.run(until);
    let digest = &simulation.digest;
    let (outputs, value) = (digest.outputs(), digest.value());
    let broken = simulation.broken.len();
    (
        format!("{value:016x} {outputs:>7} outputs, {broken} broken: {name}"),
        simulation.state.dump_all(),
    )
}

fn main() -> std::io::Result<()> {
    let args: Vec<String> = std::env::args().collect();
    let records = args.iter().position(|a| a == "--records");
    let records = records.and_then(|at| args.get(at + 1));
    let runs = runs();
    let next = Mutex::new(0);
    let played: Mutex<BTreeMap<usize, (String, Vec<String>)>> = Mutex::default();
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    std::thread::scope(|scope| {
        for _ in 0..threads.min(4) {
            scope.spawn(|| {
                loop {
                    let at = {
                        let mut next = next.lock().expect("no thread panics");
                        *next += 1;
                        *next - 1
                    };
                    let Some((name, run)) = runs.get(at) else {
                        return;
                    };
                    let line = play(name, run);
                    played.lock().expect("no thread panics").insert(at, line);
                }
            });
        }
    });
    let played = played.into_inner().expect("no thread panics");
    for (line, _) in played.values() {
        println!("{line}");
    }
    if let Some(path) = records {
        let mut file = std::fs::File::create(path)?;
        for line in played.values().flat_map(|(_, records)| records) {
            writeln!(file, "{line}")?;
        }
    }
    Ok(())
}
