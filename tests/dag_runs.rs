//! DAG runs in simulations of whole controllers.

use serde_json::json;
use snowshelf_dag::graph::{Graph, Schedule};
use snowshelf_dag::run::Asked;
use snowshelf_dag::schedule::run_of;
use snowshelf_simulation::calendar::WALL_CLOCK_START_MS;
use snowshelf_simulation::{
    DisabledSafeguards, MAX_CLOCK_SKEW_MS, Simulation, SimulationConditions,
};
use std::collections::BTreeMap;

const FAULT_FREE: SimulationConditions = SimulationConditions {
    graphs: true,
    ..SimulationConditions::FAULT_FREE
};

const FAULTY: SimulationConditions = SimulationConditions {
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

fn sample_run(run: &str) -> Asked {
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

fn is_reported_done(simulation: &Simulation, job: &str) -> bool {
    simulation
        .users
        .iter()
        .any(|u| u.job == job && u.completion_reported)
}

#[test]
fn run_succeeds_and_skips_step_whose_trigger_is_not_met() {
    let mut simulation = simulation(1, FAULT_FREE, 4);
    let run = simulation.add_run(8_000, &sample_run("r1"));
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
    assert!(!is_reported_done(
        &simulation,
        &job_of(&simulation, run, "alarm", None)
    ));
    assert!(is_reported_done(
        &simulation,
        &job_of(&simulation, run, "last", None)
    ));
}

/// A step that fails on every machine fails permanently after its retries. Steps that require its success never
/// run, steps that run regardless of the outcome do, and nothing else is cancelled.
#[test]
fn failed_step_prevents_only_steps_that_depend_on_its_success() {
    let mut simulation = simulation(2, FAULT_FREE, 4);
    let run = simulation.add_run(8_000, &sample_run("r1"));
    let failing_job = job_of(&simulation, run, "weigh", Some(2));
    simulation.failing_jobs.insert(failing_job.clone());
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
        cancelled.iter().all(|j| *j == failing_job
            || *j == sheet
            || simulation
                .users
                .iter()
                .any(|u| u.job == *j && u.cancel_requested)),
        "{cancelled:?}"
    );
    assert!(
        is_reported_done(&simulation, &job_of(&simulation, run, "alarm", None))
            && is_reported_done(&simulation, &job_of(&simulation, run, "tell", None))
    );
}

/// Guards against steps that are duplicated or omitted after a failover. A controller crashes after each single
/// write of a run, from its first record to its end.
#[test]
fn run_survives_controller_crash_after_any_write() {
    let mut after = 0;
    loop {
        let mut simulation = simulation(11, FAULT_FREE, 0);
        let run = simulation.add_run(8_000, &sample_run("r1"));
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
            // The run has fewer writes.
            break;
        }
        after += 1;
    }
    assert!(after > 30, "{after}");
}

/// A rerun repeats the failed steps and those that depend on them, and no step that has succeeded, also under
/// faults.
#[test]
fn rerun_repeats_only_steps_that_did_not_succeed() {
    for (seed, conditions) in [
        (2, FAULT_FREE),
        (3, FAULTY),
        (4, FAULTY),
        (5, FAULTY),
        (6, FAULTY),
        (7, FAULTY),
        (8, FAULTY),
    ] {
        let mut simulation = simulation(seed, conditions, 2);
        let run = simulation.add_run(8_000, &sample_run("r1"));
        let failing_job = job_of(&simulation, run, "weigh", Some(2));
        simulation.failing_jobs.insert(failing_job);
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
            ..sample_run("r2")
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
            is_reported_done(&simulation, &job_of(&simulation, next, "weigh", Some(2))),
            "seed {seed}"
        );
        assert!(
            is_reported_done(&simulation, &job_of(&simulation, next, "sheet", None)),
            "seed {seed}"
        );
    }
}

#[test]
fn failed_step_waits_for_its_retry_delay() {
    let end_of_run = |delay_s: f64| {
        let mut simulation = simulation(3, FAULT_FREE, 0);
        let mut request = sample_run("r1");
        request.graph.steps.truncate(1);
        request.graph.steps[0].job.tasks = None;
        request.graph.defaults.retries = Some(2);
        request.graph.defaults.retry_delay_s = Some(delay_s);
        let run = simulation.add_run(8_000, &request);
        let failing_job = job_of(&simulation, run, "tally", None);
        simulation.failing_jobs.insert(failing_job);
        simulation.run(300_000);
        assert_eq!(simulation.violations, Vec::<String>::new());
        assert_eq!(simulation.run_clients[run].state, "failed");
        simulation.run_clients[run].ended_at.unwrap()
    };
    let (without_delay, with_delay) = (end_of_run(0.0), end_of_run(60.0));
    // Without a delay the step still waits for a machine other than the one on which it failed, about 30 s
    // before each retry.
    assert!(
        with_delay > without_delay + 40_000 && with_delay < without_delay + 110_000,
        "{without_delay} {with_delay}"
    );
}

/// The same work as a graph and as jobs that a user submits has the same results and takes about as long. Boot
/// times are random, and single runs take 27 to 38 s either way, so the means of several runs are compared.
#[test]
#[expect(clippy::too_many_lines, reason = "one scenario from start to end")]
fn graph_takes_about_as_long_as_native_jobs() {
    let ends = |native: bool, seed: u64| -> (bool, u64) {
        let mut simulation = simulation(seed, FAULT_FREE, 0);
        let mut request = sample_run("r1");
        request
            .graph
            .steps
            .retain(|s| s.trigger == Default::default());
        if native {
            let plan = snowshelf_dag::plan::expand(
                &request.graph,
                &request.mapping,
                &request.facts(),
                "g",
            )
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
            simulation.add_run(8_000, &request);
        }
        let mut at = 8_000;
        while at < 120_000 {
            at += 100;
            simulation.run(at);
            let all_completed = simulation.users.iter().all(|u| {
                simulation
                    .completed_tasks
                    .get(&u.job)
                    .is_some_and(|f| f.len() == u.tasks as usize)
            });
            if all_completed {
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
    const RUNS: u64 = 12;
    let mean = |native: bool| {
        let (all_completed, sum) = (1..=RUNS)
            .map(|seed| ends(native, seed))
            .fold((true, 0), |(all_completed, sum), (ended, at)| {
                (all_completed && ended, sum + at)
            });
        assert!(all_completed);
        sum / RUNS
    };
    let (a, b) = (mean(false), mean(true));
    // Users submit a pipeline level by level, each level after the response about the previous one.
    assert!(
        a < b + 2_000 && b < a + 8_000,
        "{a} ms as a graph, {b} ms natively"
    );
}

/// Guards against runs that are lost, duplicated or stuck because their controller crashed while it wrote,
/// expanded, failed or cancelled them.
#[test]
fn runs_end_under_faults() {
    let mut ended: BTreeMap<String, u32> = BTreeMap::new();
    for seed in 1..=40 {
        let conditions = SimulationConditions {
            rolling_update: seed % 4 == 0,
            ..FAULTY
        };
        let mut simulation = simulation(seed, conditions, 6);
        for n in 0..3 {
            let run = simulation.add_run(4_000 + 9_000 * n, &sample_run(&format!("r{n}")));
            if n == 1 {
                simulation.run_clients[run].cancel_at = Some(15_000 + 1_000 * (seed % 20));
            }
            if n == 2 && seed % 2 == 0 {
                let failing_job = job_of(&simulation, run, "weigh", Some(1));
                simulation.failing_jobs.insert(failing_job);
            }
        }
        // A step that fails on every machine is retried by each shard that claims its job, after delays of up to
        // half a minute and on a newly rented machine. This can take more than 400 s.
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
        // A cancelled run leaves no tasks running.
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

/// Guards against a run that exceeds the limits of the key-value store. They are reduced to 768 bytes per value and
/// 4 changes per transaction before the run begins.
#[test]
fn large_run_is_written_in_several_records() {
    let conditions = SimulationConditions {
        rolling_update: true,
        ..FAULT_FREE
    };
    let mut simulation = simulation(6, conditions, 0);
    let mut request = sample_run("large");
    let step = request.graph.steps[0].clone();
    request.graph.steps = (0..240)
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
    let run = simulation.add_run(90_000, &request);
    simulation.run(600_000);
    assert_eq!(simulation.violations, Vec::<String>::new());
    assert_eq!(
        simulation.run_clients[run].state, "success",
        "{:?}",
        simulation.run_clients[run].counts
    );
    assert_eq!(simulation.run_clients[run].counts, json!({"success": 240}));
}

/// Guards against schedule intervals that are omitted or run twice because of failovers, outages, a rolling update
/// or clock skew. Each interval has one run, which begins when the interval has ended by every clock, during the
/// faults and afterwards.
#[test]
#[expect(clippy::too_many_lines, reason = "one scenario from start to end")]
fn every_schedule_interval_has_one_run() {
    for seed in 1..=24 {
        let conditions = SimulationConditions {
            rolling_update: seed % 4 == 0,
            ..FAULTY
        };
        let mut simulation = simulation(seed, conditions, 2);
        let mut request = sample_run("kept");
        request.graph.name = "clock".to_string();
        request.graph.steps.truncate(1);
        request.graph.catch_up = seed % 3 != 0;
        request.graph.schedule = Some(Schedule::EveryS(7.0));
        let simulation_start_s = (WALL_CLOCK_START_MS / 1000) as i64;
        let start = jiff::Timestamp::from_second(simulation_start_s + 4).unwrap();
        request.graph.start = Some(start.to_string());
        // The scheduled runs have no client in the simulation, so their jobs are registered as expected.
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
                ..request.clone()
            };
            simulation.expect_run(&run);
        }
        simulation.store_graph(5_000, &request);
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
            let interval_end = due
                .iter()
                .find(|(r, _)| r == run)
                .map(|(_, interval_end)| WALL_CLOCK_START_MS + interval_end);
            // The clock of the controller that began the run may be fast by up to the maximum skew.
            assert!(
                interval_end.is_none_or(|interval_end| *at >= interval_end + MAX_CLOCK_SKEW_MS),
                "seed {seed}: {run} at {at}"
            );
        }
        let missing = due
            .iter()
            .filter(|(run, _)| !runs.contains_key(run))
            .count();
        let reported_missed: u64 = dump
            .iter()
            .filter_map(|line| line.strip_prefix("graph/clock@")?.split_once(' '))
            .filter_map(|(_, value)| {
                serde_json::from_str::<serde_json::Value>(value).ok()?["missed"].as_u64()
            })
            .sum();
        if request.graph.catch_up {
            assert_eq!((missing, reported_missed), (0, 0), "seed {seed}: {runs:?}");
        } else {
            // Intervals before the graph was stored are not missed. All others have a run or are reported as
            // missed.
            let before = due
                .iter()
                .filter(|(run, _)| runs.keys().next().is_some_and(|first| run < first))
                .count() as u64;
            assert!(
                missing as u64 - before.min(missing as u64) <= reported_missed
                    && reported_missed <= missing as u64,
                "seed {seed}: {missing} missing, {reported_missed} reported"
            );
            assert!(runs.len() > 15, "seed {seed}: {}", runs.len());
        }
    }
}

/// Guards against treating a user's job as a job of a run because it has the same id, or cancelling it with the
/// run.
#[test]
fn user_job_with_the_id_of_a_run_job_is_not_part_of_the_run() {
    let mut simulation = simulation(4, FAULT_FREE, 0);
    simulation.task_run_ms = 20_000;
    let request = sample_run("r1");
    let plan = snowshelf_dag::plan::expand(&request.graph, &request.mapping, &request.facts(), "g")
        .unwrap();
    let user_job = plan.jobs[0].submission.job.as_str().to_string();
    simulation.add_user(
        3_000,
        json!({"Ref": user_job, "Tarefas": 2, "Cuadrilla": "blue"}),
    );
    simulation.users[0].job = user_job.clone();
    let run = simulation.add_run(15_000, &request);
    // Polls for the run's job with this id return the user's job.
    simulation.users[1].tasks = 2;
    simulation.run_clients[run].cancel_at = Some(20_000);
    simulation.run(30_000);
    simulation.run(150_000);
    assert!(
        is_reported_done(&simulation, &user_job),
        "{:?} {:?}",
        simulation.violations,
        simulation.describe_unsettled()
    );
    assert!(
        simulation.violations.iter().all(|b| !b.contains(&user_job)),
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
