//! Prints a digest of all outputs of the controllers for each of a set of seeded simulations. Versions of the
//! sources that behave alike print the same lines.
//!
//!     cargo run --release -p snowshelf-simulation --example behaviour_digest
//!
//! `--records FILE` also saves the values written to the key-value store, one JSON object per line.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::json;
use snowshelf_dag::graph::Graph;
use snowshelf_dag::run::Asked;
use snowshelf_drain::budget::Budget;
use snowshelf_simulation::fault_combinations::FAULTS_END_MS;
use snowshelf_simulation::faults::Fault;
use snowshelf_simulation::{
    DisabledSafeguards, NODES, Simulation, SimulationConditions, fault_combinations,
};
use std::collections::BTreeMap;
use std::io::Write;
use std::sync::Mutex;

/// End of most simulations, in simulated time.
const END_MS: u64 = 160_000;

/// Every kind of fault, each of which gets a simulation of its own. The first field is the name in the printed
/// line, which must stay the same so that outputs of different versions can be compared.
const FAULTS: [(&str, Fault, u64); 27] = [
    ("LateWrites(0.1)", Fault::LateWrites(0.1), 20_000),
    ("LateReports(0.3)", Fault::LateHeartbeats(0.3), 30_000),
    (
        "DeafMachines(0.3)",
        Fault::LostHeartbeatResponses(0.3),
        14_000,
    ),
    (
        "HeldAnswers(0.3)",
        Fault::DelayedHeartbeatResponses(0.3),
        20_000,
    ),
    ("DyingMachines(0.4)", Fault::MachineFailures(0.4), 2_000),
    ("QuickBoots", Fault::FastBoots, 30_000),
    ("SlowLinks(1200)", Fault::SlowWorkerLinks(1_200), 30_000),
    ("Refused(0)", Fault::KvRefusal(0), 14_000),
    ("Outage", Fault::KvOutage, 16_000),
    ("Slow(900)", Fault::SlowKv(900), 25_000),
    (r#"Cut("a")"#, Fault::ZoneIsolation("a"), 14_000),
    ("Apart(1)", Fault::KvAndPeerIsolation(1), 14_000),
    ("Mute(2)", Fault::PeerIsolation(2), 14_000),
    ("Deaf(0)", Fault::WorkerIsolation(0), 14_000),
    ("CloseLooks", Fault::RequestBursts, 40_000),
    ("CancelAtEnd(0.4)", Fault::CancelAtCompletion(0.4), 40_000),
    ("OddRequests", Fault::InvalidRequests, 40_000),
    ("Crash(1)", Fault::Crash(1), 1),
    ("CrashAll(400)", Fault::CrashAll(400), 1),
    ("AnswersLost(0.1)", Fault::LostKvResponses(0.1), 30_000),
    ("KeptReports(0.3)", Fault::ReplayedHeartbeats(0.3), 30_000),
    ("MuteMachines(0.3)", Fault::LostHeartbeats(0.3), 25_000),
    ("HungMachines(0.4)", Fault::HungMachines(0.4), 30_000),
    ("CancelNow(4, 20000)", Fault::MassCancellation(4, 20_000), 1),
    (r#"ZoneCut("b", 0)"#, Fault::ZonePartition("b", 0), 15_000),
    ("AllDown", Fault::AllControllersDown, 9_000),
    ("CancelNow(8, 0)", Fault::MassCancellation(8, 0), 1),
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
    .expect("the graph is valid");
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

fn with_conditions(seed: u64, conditions: SimulationConditions) -> Simulation {
    let mut simulation =
        Simulation::new(seed, conditions, DisabledSafeguards::default(), 14, 90_000);
    simulation.run(END_MS);
    simulation
}

fn with_calendar(seed: u64, conditions: SimulationConditions) -> Simulation {
    let conditions = SimulationConditions {
        calendar: true,
        short_estimates: true,
        ..conditions
    };
    let mut simulation =
        Simulation::new(seed, conditions, DisabledSafeguards::default(), 14, 90_000);
    simulation.draw_calendar_clients(12);
    simulation.run(END_MS);
    simulation
}

/// Runs a simulation of six random users, three runs of a graph, the last of which is cancelled at 50 s, and
/// a user that only stores a graph.
fn with_graphs(seed: u64, conditions: SimulationConditions) -> Simulation {
    let conditions = SimulationConditions {
        graphs: true,
        ..conditions
    };
    let mut simulation =
        Simulation::new(seed, conditions, DisabledSafeguards::default(), 6, 90_000);
    for n in 0..3 {
        let run = simulation.add_run(6_000 + 9_000 * n, &graph_run(&format!("r{n}")));
        if n == 2 {
            simulation.run_clients[run].cancel_at = Some(50_000);
        }
    }
    simulation.store_graph(9_000, &graph_run("kept"));
    simulation.run(END_MS);
    simulation
}

fn with_drains(seed: u64, conditions: SimulationConditions) -> Simulation {
    let conditions = SimulationConditions {
        drains: true,
        ..conditions
    };
    let limits = (96.0, 6);
    let mut simulation = Simulation::sized(
        seed,
        conditions,
        DisabledSafeguards::default(),
        0,
        150_000,
        limits,
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
    simulation.task_run_ms = 15_000;
    (0..NODES).for_each(|node| simulation.restart_controller(node));
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
    simulation.command_drain(70_000, "all", "pause");
    simulation.command_drain(80_000, "all", "resume");
    simulation.run(END_MS);
    simulation
}

fn with_everything(seed: u64) -> Simulation {
    let conditions = SimulationConditions {
        calendar: true,
        graphs: true,
        drains: true,
        rolling_update: true,
        ..SimulationConditions::FAULTY
    };
    let mut simulation =
        Simulation::new(seed, conditions, DisabledSafeguards::default(), 14, 90_000);
    simulation.draw_calendar_clients(6);
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
    fault_combinations::run_schedule(
        seed,
        DisabledSafeguards::default(),
        &vec![(at, for_ms, fault)],
    )
}

fn with_three_faults(seed: u64) -> Simulation {
    let mut rng = StdRng::seed_from_u64(seed);
    let schedule = (0..3).map(|_| {
        let (_, fault, for_ms) = FAULTS[rng.random_range(0..FAULTS.len())];
        (
            rng.random_range(15_000..FAULTS_END_MS - 45_000),
            for_ms.min(40_000),
            fault,
        )
    });
    let schedule: fault_combinations::FaultSchedule = schedule.collect();
    fault_combinations::run_schedule(seed, DisabledSafeguards::default(), &schedule)
}

type Run = Box<dyn Fn() -> Simulation + Send + Sync>;

fn runs() -> Vec<(String, Run)> {
    let mut runs: Vec<(String, Run)> = Vec::new();
    let mut add = |name: String, play: Run| runs.push((name, play));
    let roll = SimulationConditions {
        rolling_update: true,
        ..SimulationConditions::FAULTY
    };
    for seed in 1..=2 {
        add(
            format!("calm {seed}"),
            Box::new(move || with_conditions(seed, SimulationConditions::FAULT_FREE)),
        );
        add(
            format!("calendar {seed}"),
            Box::new(move || with_calendar(seed, SimulationConditions::FAULT_FREE)),
        );
        add(
            format!("calendar, storm {seed}"),
            Box::new(move || with_calendar(seed, SimulationConditions::FAULTY)),
        );
        add(
            format!("graphs {seed}"),
            Box::new(move || with_graphs(seed, SimulationConditions::FAULT_FREE)),
        );
        add(
            format!("graphs, storm {seed}"),
            Box::new(move || with_graphs(seed, SimulationConditions::FAULTY)),
        );
        add(
            format!("drains {seed}"),
            Box::new(move || with_drains(seed, SimulationConditions::FAULT_FREE)),
        );
        add(
            format!("drains, storm {seed}"),
            Box::new(move || with_drains(seed, SimulationConditions::FAULTY)),
        );
        add(
            format!("everything {seed}"),
            Box::new(move || with_everything(seed)),
        );
    }
    for seed in 1..=6 {
        add(
            format!("storm {seed}"),
            Box::new(move || with_conditions(seed, SimulationConditions::FAULTY)),
        );
        add(
            format!("roll {seed}"),
            Box::new(move || with_conditions(seed, roll)),
        );
        add(
            format!("three troubles {seed}"),
            Box::new(move || with_three_faults(seed)),
        );
    }
    for (n, (name, fault, for_ms)) in FAULTS.into_iter().enumerate() {
        add(
            name.to_string(),
            Box::new(move || with_fault(n as u64, fault, for_ms)),
        );
    }
    runs
}

/// Requests sent to every controller at the end of each simulation, so that the digest covers all responses of
/// the API.
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

/// Time to wait for the responses to these requests.
const RESPONSES_MS: u64 = 4_000;

/// The line to print for a simulation, and the records that it wrote.
fn digest_run(name: &str, run: &Run) -> (String, Vec<String>) {
    let mut simulation = run();
    for (method, path, body) in REQUESTS {
        (0..NODES).for_each(|node| simulation.send_ignored_request(node, method, path, body));
    }
    let until = simulation.now + RESPONSES_MS;
    simulation.run(until);
    let digest = &simulation.digest;
    let (outputs, value) = (digest.outputs(), digest.value());
    let violations = simulation.violations.len();
    (
        format!("{value:016x} {outputs:>7} outputs, {violations} broken: {name}"),
        simulation.kv_store.all_written_values(),
    )
}

fn main() -> std::io::Result<()> {
    let args: Vec<String> = std::env::args().collect();
    let records = args.iter().position(|a| a == "--records");
    let records = records.and_then(|at| args.get(at + 1));
    let runs = runs();
    let next = Mutex::new(0);
    let results: Mutex<BTreeMap<usize, (String, Vec<String>)>> = Mutex::default();
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
                    let result = digest_run(name, run);
                    results.lock().expect("no thread panics").insert(at, result);
                }
            });
        }
    });
    let results = results.into_inner().expect("no thread panics");
    for (line, _) in results.values() {
        println!("{line}");
    }
    if let Some(path) = records {
        let mut file = std::fs::File::create(path)?;
        for line in results.values().flat_map(|(_, records)| records) {
            writeln!(file, "{line}")?;
        }
    }
    Ok(())
}
