//! Plays seeded runs and prints a digest of all that the controllers send in each: every call, answer and message
//! between controllers, in order, with its time. Two versions of the sources that behave alike print the same lines.
//!
//!     cargo run --release -p snowshelf-world --example behaviour_digest
//!
//! With `--records FILE` the values that the state service holds are written to a file as well, one JSON object a
//! line, as samples of stored data.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::json;
use snowshelf_dag::graph::Graph;
use snowshelf_dag::run::Asked;
use snowshelf_drain::budget::Budget;
use snowshelf_world::meetings::OVER_MS;
use snowshelf_world::troubles::Trouble;
use snowshelf_world::{NODES, Sabotage, Weather, World, meetings};
use std::collections::BTreeMap;
use std::io::Write;
use std::sync::Mutex;

/// The end of most runs, in simulated time.
const END_MS: u64 = 160_000;

/// Every kind of trouble, each of which gets a run of its own.
const TROUBLES: [(Trouble, u64); 27] = [
    (Trouble::LateWrites(0.1), 20_000),
    (Trouble::LateReports(0.3), 30_000),
    (Trouble::DeafMachines(0.3), 14_000),
    (Trouble::HeldAnswers(0.3), 20_000),
    (Trouble::DyingMachines(0.4), 2_000),
    (Trouble::QuickBoots, 30_000),
    (Trouble::SlowLinks(1_200), 30_000),
    (Trouble::Refused(0), 14_000),
    (Trouble::Outage, 16_000),
    (Trouble::Slow(900), 25_000),
    (Trouble::Cut("a"), 14_000),
    (Trouble::Apart(1), 14_000),
    (Trouble::Mute(2), 14_000),
    (Trouble::Deaf(0), 14_000),
    (Trouble::CloseLooks, 40_000),
    (Trouble::CancelAtEnd(0.4), 40_000),
    (Trouble::OddRequests, 40_000),
    (Trouble::Crash(1), 1),
    (Trouble::CrashAll(400), 1),
    (Trouble::AnswersLost(0.1), 30_000),
    (Trouble::KeptReports(0.3), 30_000),
    (Trouble::MuteMachines(0.3), 25_000),
    (Trouble::HungMachines(0.4), 30_000),
    (Trouble::CancelNow(4, 20_000), 1),
    (Trouble::ZoneCut("b", 0), 15_000),
    (Trouble::AllDown, 9_000),
    (Trouble::CancelNow(8, 0), 1),
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

fn storm(seed: u64, weather: Weather) -> World {
    let mut world = World::new(seed, weather, Sabotage::default(), 14, 90_000);
    world.run(END_MS);
    world
}

fn with_calendar(seed: u64, weather: Weather) -> World {
    let weather = Weather {
        calendar: true,
        short_estimates: true,
        ..weather
    };
    let mut world = World::new(seed, weather, Sabotage::default(), 14, 90_000);
    world.draw_bookers(12);
    world.run(END_MS);
    world
}

fn with_graphs(seed: u64, weather: Weather) -> World {
    let weather = Weather {
        graphs: true,
        ..weather
    };
    let mut world = World::new(seed, weather, Sabotage::default(), 6, 90_000);
    for n in 0..3 {
        let run = world.add_run(6_000 + 9_000 * n, &graph_run(&format!("r{n}")));
        if n == 2 {
            world.runners[run].cancel_at = Some(50_000);
        }
    }
    world.keep_graph(9_000, &graph_run("kept"));
    world.run(END_MS);
    world
}

fn with_drains(seed: u64, weather: Weather) -> World {
    let weather = Weather {
        drains: true,
        ..weather
    };
    let size = (96.0, 6);
    let mut world = World::sized(seed, weather, Sabotage::default(), 0, 150_000, size);
    world.budget = Budget {
        cpus: 24.0,
        tasks: 12,
        stretch_s: 30.0,
        stretch_cpus: 60.0,
        stretch_tasks: 30,
        job_share: 0.5,
        replicas_up: 0.75,
    };
    world.run_ms = 15_000;
    (0..NODES).for_each(|node| world.again(node));
    for i in 0..36 {
        let team = ["red", "blue"][i as usize % 2];
        let spec = json!({"Cuadrilla": team, "Tarefas": 8, "Cpus": 2.0, "PrevisaoS": 15.0, "Avulsas": i % 3 == 0});
        world.add_user(2_000 + i * 4_000, spec);
    }
    let budget = world.budget;
    world.set_budget(20_000, "red", budget);
    world.add_drain(
        40_000,
        json!({"name": "all", "all": true, "then": "replace", "at_once": 6, "watch_s": 5.0, "patience_s": 3.0}),
    );
    world.tell_drain(70_000, "all", "pause");
    world.tell_drain(80_000, "all", "resume");
    world.run(END_MS);
    world
}

fn with_everything(seed: u64) -> World {
    let weather = Weather {
        calendar: true,
        graphs: true,
        drains: true,
        roll: true,
        ..Weather::STORM
    };
    let mut world = World::new(seed, weather, Sabotage::default(), 14, 90_000);
    world.draw_bookers(6);
    world.add_run(12_000, &graph_run("r"));
    world.add_drain(
        50_000,
        json!({"name": "zone", "zone": "a", "then": "replace", "at_once": 2}),
    );
    world.run(END_MS);
    world
}

fn with_trouble(seed: u64, trouble: Trouble, for_ms: u64) -> World {
    let mut rng = StdRng::seed_from_u64(seed);
    let at = rng.random_range(20_000..40_000u64);
    meetings::play(seed, Sabotage::default(), &vec![(at, for_ms, trouble)])
}

fn with_three_troubles(seed: u64) -> World {
    let mut rng = StdRng::seed_from_u64(seed);
    let meeting = (0..3).map(|_| {
        let (trouble, for_ms) = TROUBLES[rng.random_range(0..TROUBLES.len())];
        (
            rng.random_range(15_000..OVER_MS - 45_000),
            for_ms.min(40_000),
            trouble,
        )
    });
    let meeting: meetings::Meeting = meeting.collect();
    meetings::play(seed, Sabotage::default(), &meeting)
}

type Play = Box<dyn Fn() -> World + Send + Sync>;

fn runs() -> Vec<(String, Play)> {
    let mut runs: Vec<(String, Play)> = Vec::new();
    let mut add = |name: String, play: Play| runs.push((name, play));
    let roll = Weather {
        roll: true,
        ..Weather::STORM
    };
    for seed in 1..=2 {
        add(
            format!("calm {seed}"),
            Box::new(move || storm(seed, Weather::CALM)),
        );
        add(
            format!("calendar {seed}"),
            Box::new(move || with_calendar(seed, Weather::CALM)),
        );
        add(
            format!("calendar, storm {seed}"),
            Box::new(move || with_calendar(seed, Weather::STORM)),
        );
        add(
            format!("graphs {seed}"),
            Box::new(move || with_graphs(seed, Weather::CALM)),
        );
        add(
            format!("graphs, storm {seed}"),
            Box::new(move || with_graphs(seed, Weather::STORM)),
        );
        add(
            format!("drains {seed}"),
            Box::new(move || with_drains(seed, Weather::CALM)),
        );
        add(
            format!("drains, storm {seed}"),
            Box::new(move || with_drains(seed, Weather::STORM)),
        );
        add(
            format!("everything {seed}"),
            Box::new(move || with_everything(seed)),
        );
    }
    for seed in 1..=6 {
        add(
            format!("storm {seed}"),
            Box::new(move || storm(seed, Weather::STORM)),
        );
        add(format!("roll {seed}"), Box::new(move || storm(seed, roll)));
        add(
            format!("three troubles {seed}"),
            Box::new(move || with_three_troubles(seed)),
        );
    }
    for (n, (trouble, for_ms)) in TROUBLES.into_iter().enumerate() {
        add(
            format!("{trouble:?}"),
            Box::new(move || with_trouble(n as u64, trouble, for_ms)),
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
    let mut world = run();
    for (method, path, body) in REQUESTS {
        (0..NODES).for_each(|node| world.request(node, method, path, body));
    }
    let until = world.now + ANSWERS_MS;
    world.run(until);
    let digest = &world.digest;
    let (outputs, value) = (digest.outputs(), digest.value());
    let broken = world.broken.len();
    (
        format!("{value:016x} {outputs:>7} outputs, {broken} broken: {name}"),
        world.state.dump_all(),
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
