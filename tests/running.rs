//! Runs of graphs in the stand-in world, with whole controllers.

use serde_json::json;
use snowshelf_dag::graph::{Graph, Schedule};
use snowshelf_dag::run::Asked;
use snowshelf_dag::schedule::run_of;
use snowshelf_simulation::calendar::WALL_CLOCK_START_MS;
use snowshelf_simulation::{
    DisabledSafeguards, MAX_CLOCK_SKEW_MS, Simulation, SimulationConditions,
};
use std::collections::BTreeMap;

const CALM: SimulationConditions = SimulationConditions {
    graphs: true,
    ..SimulationConditions::FAULT_FREE
};

const STORM: SimulationConditions = SimulationConditions {
    graphs: true,
    ..SimulationConditions::FAULTY
};

fn simulation(seed: u64, conditions: SimulationConditions, jobs: usize) -> Simulation {
    if std::env::var("LOG_LEVEL").is_ok() {
        let _ = tracing_subscriber::fmt().without_time().try_init();
    }
    Simulation::new(
        seed,
        conditions,
        DisabledSafeguards::default(),
        jobs,
        90_000,
    )
}

fn harvest(run: &str) -> Asked {
    let graph: Graph = serde_json::from_value(json!({
        "name": "harvest",
        "defaults": {"retries": 1, "job": {"class": "c", "team": "red", "cpus": 1.0, "mem_gb": 1.0,
            "image": "img-0", "pull_gb": 1.0, "estimate_s": 5.0}},
        "steps": [
            {"id": "tally", "job": {"tasks": 3.0}},
            {"id": "weigh", "after": ["tally"], "sweep": {"product": {"scale": [1, 2, 3, 4]}}},
            {"id": "rest", "after": ["tally"], "job": {"team": "blue"}},
            {"id": "sheet", "after": ["weigh"], "job": {"tasks": 2.0}},
            {"id": "tell", "after": ["weigh", "rest"], "trigger": "all_done"},
            {"id": "alarm", "after": ["weigh"], "trigger": "one_failed"},
            {"id": "last", "after": ["sheet", "tell"], "trigger": "none_failed"}
        ]
    }))
    .unwrap();
    Asked {
        run: run.to_string(),
        graph,
        mapping: Default::default(),
        params: BTreeMap::new(),
        from: "2027-09-01T00:00:00Z".parse().unwrap(),
        until: "2027-09-02T00:00:00Z".parse().unwrap(),
        after: Vec::new(),
    }
}

fn job_of(simulation: &Simulation, run: usize, step: &str, copy: Option<usize>) -> String {
    let plan = &simulation.run_clients[run].plan;
    let job = plan
        .jobs
        .iter()
        .find(|j| j.step == step && j.copy == copy)
        .unwrap();
    job.submission.job.as_str().to_string()
}

fn done(simulation: &Simulation, job: &str) -> bool {
    simulation
        .users
        .iter()
        .any(|u| u.job == job && u.completion_reported)
}

#[test]
fn a_run_goes_through_and_its_steps_keep_their_order() {
    let mut simulation = simulation(1, CALM, 4);
    let run = simulation.add_run(8_000, &harvest("r1"));
    simulation.run(120_000);
    assert_eq!(simulation.violations, Vec::<String>::new());
    let runner = &simulation.run_clients[run];
    assert_eq!(
        runner.state,
        "success",
        "{:?}",
        simulation.describe_unsettled()
    );
    assert_eq!(runner.counts, json!({"success": 9, "skipped": 1}));
    assert!(!done(&simulation, &job_of(&simulation, run, "alarm", None)));
    assert!(done(&simulation, &job_of(&simulation, run, "last", None)));
}

/// A step that fails wherever it starts fails for good after its retries; what waits below it never
/// runs, what runs however it ends does, and nothing else is cancelled.
#[test]
fn a_failed_step_stops_what_waits_below_it() {
    let mut simulation = simulation(2, CALM, 4);
    let run = simulation.add_run(8_000, &harvest("r1"));
    let bad = job_of(&simulation, run, "weigh", Some(2));
    simulation.failing_jobs.insert(bad.clone());
    simulation.run(200_000);
    assert_eq!(simulation.violations, Vec::<String>::new());
    let runner = &simulation.run_clients[run];
    assert_eq!(
        runner.state,
        "failed",
        "{:?}",
        simulation.describe_unsettled()
    );
    assert_eq!(
        runner.counts,
        json!({"failed": 1, "success": 7, "upstream_failed": 2})
    );
    let cancelled: Vec<&str> = simulation
        .users
        .iter()
        .filter(|u| u.cancel_reported_at.is_some())
        .map(|u| u.job.as_str())
        .collect();
    let sheet = job_of(&simulation, run, "sheet", None);
    assert!(
        cancelled.iter().all(|j| *j == bad
            || *j == sheet
            || simulation
                .users
                .iter()
                .any(|u| u.job == *j && u.cancel_requested)),
        "{cancelled:?}"
    );
    assert!(
        done(&simulation, &job_of(&simulation, run, "alarm", None))
            && done(&simulation, &job_of(&simulation, run, "tell", None))
    );
}

/// A controller is killed after each single write of a run, from its first piece to its end: whoever takes
/// over goes on, and nothing is doubled or left out.
#[test]
fn a_run_survives_a_kill_after_any_write() {
    let mut after = 0;
    loop {
        let mut simulation = simulation(11, CALM, 0);
        let run = simulation.add_run(8_000, &harvest("r1"));
        simulation.run(7_900);
        simulation.crash_after_writes = Some(after);
        simulation.run(200_000);
        assert_eq!(simulation.violations, Vec::<String>::new(), "after {after}");
        let runner = &simulation.run_clients[run];
        assert_eq!(
            runner.state,
            "success",
            "after {after}: {:?}",
            simulation.describe_unsettled()
        );
        assert_eq!(
            runner.counts,
            json!({"success": 9, "skipped": 1}),
            "after {after}"
        );
        if simulation.crash_after_writes.is_some() {
            // There were not so many writes.
            break;
        }
        after += 1;
    }
    assert!(after > 30, "{after}");
}

/// What failed is run again, and what it held up, and nothing that had succeeded; in storms too.
#[test]
fn only_what_did_not_succeed_is_run_again() {
    for (seed, conditions) in [
        (2, CALM),
        (3, STORM),
        (4, STORM),
        (5, STORM),
        (6, STORM),
        (7, STORM),
        (8, STORM),
    ] {
        let mut simulation = simulation(seed, conditions, 2);
        let run = simulation.add_run(8_000, &harvest("r1"));
        let bad = job_of(&simulation, run, "weigh", Some(2));
        simulation.failing_jobs.insert(bad);
        while !simulation.run_clients[run].ended() && simulation.now < 300_000 {
            let until = simulation.now + 1_000;
            simulation.run(until);
        }
        assert!(simulation.run_clients[run].ended(), "seed {seed}");
        let succeeded: Vec<(String, Option<usize>)> = simulation.run_clients[run]
            .plan
            .jobs
            .iter()
            .filter(|j| {
                simulation
                    .completed_tasks
                    .get(j.submission.job.as_str())
                    .is_some_and(|f| f.len() == j.submission.spec.tasks as usize)
            })
            .map(|j| (j.step.clone(), j.copy))
            .collect();
        let again = Asked {
            after: vec!["r1".to_string()],
            ..harvest("r2")
        };
        let next = simulation.rerun(simulation.now, run, &again);
        simulation.run(600_000);
        assert_eq!(simulation.violations, Vec::<String>::new(), "seed {seed}");
        assert_eq!(
            simulation.run_clients[next].state, "success",
            "seed {seed}: {}",
            simulation.run_clients[next].counts
        );
        for (step, copy) in &succeeded {
            let job = job_of(&simulation, next, step, *copy);
            assert!(
                !simulation.completed_tasks.contains_key(&job),
                "seed {seed}: {step} {copy:?} ran again"
            );
        }
        assert!(
            done(&simulation, &job_of(&simulation, next, "weigh", Some(2))),
            "seed {seed}"
        );
        assert!(
            done(&simulation, &job_of(&simulation, next, "sheet", None)),
            "seed {seed}"
        );
    }
}

/// A step that is to wait before it is tried again does.
#[test]
fn a_failed_step_waits_before_it_is_tried_again() {
    let ended = |pause_s: f64| {
        let mut simulation = simulation(3, CALM, 0);
        let mut asked = harvest("r1");
        asked.graph.steps.truncate(1);
        asked.graph.steps[0].job.tasks = None;
        asked.graph.defaults.retries = Some(2);
        asked.graph.defaults.retry_delay_s = Some(pause_s);
        let run = simulation.add_run(8_000, &asked);
        let bad = job_of(&simulation, run, "tally", None);
        simulation.failing_jobs.insert(bad);
        simulation.run(300_000);
        assert_eq!(simulation.violations, Vec::<String>::new());
        assert_eq!(simulation.run_clients[run].state, "failed");
        simulation.run_clients[run].ended_at.unwrap()
    };
    let (at_once, later) = (ended(0.0), ended(60.0));
    // Without a pause it waits for another machine than that on which it failed, some 30 s each time.
    assert!(
        later > at_once + 40_000 && later < at_once + 110_000,
        "{at_once} {later}"
    );
}

/// The same work as a graph and as jobs of a user's own: the same results, and about the same times. Machines
/// boot as luck has it, so that single days say little: 27 to 38 s either way.
#[test]
#[expect(clippy::too_many_lines, reason = "one scenario from start to end")]
fn a_graph_does_as_native_jobs_do() {
    let ends = |native: bool, seed: u64| -> (bool, u64) {
        let mut simulation = simulation(seed, CALM, 0);
        let mut asked = harvest("r1");
        asked
            .graph
            .steps
            .retain(|s| s.trigger == Default::default());
        if native {
            let plan =
                snowshelf_dag::plan::expand(&asked.graph, &asked.mapping, &asked.facts(), "g")
                    .unwrap();
            for job in &plan.jobs {
                simulation.add_user(
                    8_000,
                    snowshelf_model::protocol::user::submission_body(&job.submission),
                );
                let dependencies = job.after.clone();
                let user = simulation.users.last_mut().unwrap();
                user.dependencies = dependencies;
                user.job = job.submission.job.as_str().to_string();
            }
        } else {
            simulation.add_run(8_000, &asked);
        }
        let mut at = 8_000;
        while at < 120_000 {
            at += 100;
            simulation.run(at);
            let all = simulation.users.iter().all(|u| {
                simulation
                    .completed_tasks
                    .get(&u.job)
                    .is_some_and(|f| f.len() == u.tasks as usize)
            });
            if all {
                break;
            }
        }
        assert_eq!(simulation.violations, Vec::<String>::new());
        (
            simulation
                .users
                .iter()
                .all(|u| simulation.completed_tasks.contains_key(&u.job)),
            at,
        )
    };
    const DAYS: u64 = 12;
    let mean = |native: bool| {
        let (all, sum) = (1..=DAYS)
            .map(|seed| ends(native, seed))
            .fold((true, 0), |(all, sum), (ended, at)| {
                (all && ended, sum + at)
            });
        assert!(all);
        sum / DAYS
    };
    let (a, b) = (mean(false), mean(true));
    // Users submit a pipeline level by level, each when they have heard of the one before.
    assert!(
        a < b + 2_000 && b < a + 8_000,
        "{a} ms as a graph, {b} ms natively"
    );
}

/// Guards against runs that are lost, doubled, or that stand still because their controller is gone, in the
/// midst of being written, expanded, failed or cancelled.
#[test]
fn runs_end_in_storms() {
    let mut ended: BTreeMap<String, u32> = BTreeMap::new();
    for seed in 1..=40 {
        let conditions = SimulationConditions {
            rolling_update: seed % 4 == 0,
            ..STORM
        };
        let mut simulation = simulation(seed, conditions, 6);
        for n in 0..3 {
            let run = simulation.add_run(4_000 + 9_000 * n, &harvest(&format!("r{n}")));
            if n == 1 {
                simulation.run_clients[run].cancel_at = Some(15_000 + 1_000 * (seed % 20));
            }
            if n == 2 && seed % 2 == 0 {
                let bad = job_of(&simulation, run, "weigh", Some(1));
                simulation.failing_jobs.insert(bad);
            }
        }
        // A step that fails everywhere is tried by each part that claims its job, after pauses of up to half a
        // minute and on a machine rented anew: seed 30 needs over 400 s.
        simulation.run(600_000);
        assert_eq!(simulation.violations, Vec::<String>::new(), "seed {seed}");
        for runner in &simulation.run_clients {
            assert!(
                runner.ended(),
                "seed {seed}: {} {:#?}",
                runner.state,
                simulation.describe_unsettled()
            );
            *ended.entry(runner.state.clone()).or_default() += 1;
        }
        let own = simulation.users.iter().filter(|u| !u.from_dag_run);
        assert!(
            own.into_iter()
                .all(|u| u.completion_reported || u.cancel_reported_at.is_some()),
            "seed {seed}"
        );
        // A cancelled run leaves nothing behind.
        for runner in simulation
            .run_clients
            .iter()
            .filter(|r| r.state == "cancelled")
        {
            for job in &runner.plan.jobs {
                let name = format!("{}/", job.submission.job);
                let left = simulation.workers.values().flat_map(|w| &w.tasks);
                assert!(
                    left.filter(|t| t.state != "exited")
                        .all(|t| !t.name.starts_with(&name)),
                    "seed {seed}"
                );
            }
        }
    }
    for state in ["success", "failed", "cancelled"] {
        assert!(ended.get(state).is_some_and(|n| *n >= 5), "{ended:?}");
    }
}

/// Guards against a run larger than what the state service takes at once: its limits shrink to 768 bytes
/// a value and 4 changes a transaction before the run is begun.
#[test]
fn a_large_run_goes_in_pieces() {
    let conditions = SimulationConditions {
        rolling_update: true,
        ..CALM
    };
    let mut simulation = simulation(6, conditions, 0);
    let mut asked = harvest("large");
    let step = asked.graph.steps[0].clone();
    asked.graph.steps = (0..240)
        .map(|i| snowshelf_dag::graph::Step {
            id: format!("step-{i}"),
            after: (i >= 12)
                .then(|| format!("step-{}", i - 12))
                .into_iter()
                .collect(),
            job: serde_json::from_value(json!({"tasks": 1.0, "cpus": 0.5})).unwrap(),
            args: BTreeMap::from([(
                "note".to_string(),
                json!(format!("{:x}", i64::from(i) * 7919 * 104_729)),
            )]),
            ..step.clone()
        })
        .collect();
    simulation.task_run_ms = 500;
    let run = simulation.add_run(90_000, &asked);
    simulation.run(600_000);
    assert_eq!(simulation.violations, Vec::<String>::new());
    assert_eq!(
        simulation.run_clients[run].state, "success",
        "{:?}",
        simulation.run_clients[run].counts
    );
    assert_eq!(simulation.run_clients[run].counts, json!({"success": 240}));
}

/// Guards against intervals that are left out, or run twice, by takeovers, outages, a roll, or clocks that
/// differ: each has one run, which begins when it is over by every clock, in the storms and after them.
#[test]
#[expect(clippy::too_many_lines, reason = "one scenario from start to end")]
fn every_interval_has_one_run() {
    for seed in 1..=24 {
        let conditions = SimulationConditions {
            rolling_update: seed % 4 == 0,
            ..STORM
        };
        let mut simulation = simulation(seed, conditions, 2);
        let mut asked = harvest("kept");
        asked.graph.name = "clock".to_string();
        asked.graph.steps.truncate(1);
        asked.graph.catch_up = seed % 3 != 0;
        asked.graph.schedule = Some(Schedule::EveryS(7.0));
        let began = (WALL_CLOCK_START_MS / 1000) as i64;
        let start = jiff::Timestamp::from_second(began + 4).unwrap();
        asked.graph.start = Some(start.to_string());
        // The runs' jobs are nobody's in this world.
        for n in 0..40 {
            let from = start
                .checked_add(jiff::SignedDuration::from_secs(7 * n))
                .unwrap();
            let run = Asked {
                run: run_of(from),
                from,
                until: from
                    .checked_add(jiff::SignedDuration::from_secs(7))
                    .unwrap(),
                ..asked.clone()
            };
            simulation.expect_run(&run);
        }
        simulation.store_graph(5_000, &asked);
        simulation.run(200_000);
        assert_eq!(simulation.violations, Vec::<String>::new(), "seed {seed}");
        let dump = simulation.kv_store.dump();
        let runs: BTreeMap<String, u64> = dump
            .iter()
            .filter_map(|line| {
                let (key, value) = line.strip_prefix("run/clock/")?.split_once(' ')?;
                let value: serde_json::Value = serde_json::from_str(value).ok()?;
                Some((key.split('@').next()?.to_string(), value["at"].as_u64()?))
            })
            .collect();
        let due: Vec<(String, u64)> = (0..)
            .map(|n| 4_000 + 7_000 * n)
            .take_while(|from| from + 7_000 + 2_000 < 200_000)
            .map(|from| {
                (
                    run_of(
                        jiff::Timestamp::from_millisecond((WALL_CLOCK_START_MS + from) as i64)
                            .unwrap(),
                    ),
                    from + 7_000,
                )
            })
            .collect();
        for (run, at) in &runs {
            let over = due
                .iter()
                .find(|(r, _)| r == run)
                .map(|(_, over)| WALL_CLOCK_START_MS + over);
            // The clock that told it may be fast by as much as clocks may differ.
            assert!(
                over.is_none_or(|over| *at >= over + MAX_CLOCK_SKEW_MS),
                "seed {seed}: {run} at {at}"
            );
        }
        let missing = due
            .iter()
            .filter(|(run, _)| !runs.contains_key(run))
            .count();
        let told: u64 = dump
            .iter()
            .filter_map(|line| line.strip_prefix("graph/clock@")?.split_once(' '))
            .filter_map(|(_, value)| {
                serde_json::from_str::<serde_json::Value>(value).ok()?["missed"].as_u64()
            })
            .sum();
        if asked.graph.catch_up {
            assert_eq!((missing, told), (0, 0), "seed {seed}: {runs:?}");
        } else {
            // Those before it was kept are not missed; all others are there or told.
            let before = due
                .iter()
                .filter(|(run, _)| runs.keys().next().is_some_and(|first| run < first))
                .count() as u64;
            assert!(
                missing as u64 - before.min(missing as u64) <= told && told <= missing as u64,
                "seed {seed}: {missing} missing, {told} told"
            );
            assert!(runs.len() > 15, "seed {seed}: {}", runs.len());
        }
    }
}

/// A user's own job that happens to have the name of a run's is never taken for the run's, nor cancelled
/// with it.
#[test]
fn a_users_own_job_is_never_the_runs() {
    let mut simulation = simulation(4, CALM, 0);
    simulation.task_run_ms = 20_000;
    let asked = harvest("r1");
    let plan =
        snowshelf_dag::plan::expand(&asked.graph, &asked.mapping, &asked.facts(), "g").unwrap();
    let theirs = plan.jobs[0].submission.job.as_str().to_string();
    simulation.add_user(
        3_000,
        json!({"Ref": theirs, "Tarefas": 2, "Cuadrilla": "blue"}),
    );
    simulation.users[0].job = theirs.clone();
    let run = simulation.add_run(15_000, &asked);
    // Who asks for the run's job of that name is told of the user's.
    simulation.users[1].tasks = 2;
    simulation.run_clients[run].cancel_at = Some(20_000);
    simulation.run(30_000);
    simulation.run(150_000);
    assert!(
        done(&simulation, &theirs),
        "{:?} {:?}",
        simulation.violations,
        simulation.describe_unsettled()
    );
    assert!(
        simulation.violations.iter().all(|b| !b.contains(&theirs)),
        "{:?}",
        simulation.violations
    );
    assert!(
        matches!(
            simulation.run_clients[run].state.as_str(),
            "cancelled" | "failed"
        ),
        "{}",
        simulation.run_clients[run].state
    );
}
