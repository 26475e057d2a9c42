//! Graphs read, checked, filled in and expanded.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed};
use serde_json::{Value, json};
use snowshelf_dag::graph::{Graph, Schedule, Step, Sweep, Trigger};
use snowshelf_dag::mapping::Mapping;
use snowshelf_dag::plan::{Plan, expand, job_id};
use snowshelf_dag::problem::Problems;
use snowshelf_dag::run::{End, Seen, Stand, decide};
use snowshelf_dag::schedule::{run_of, timetable};
use snowshelf_dag::template::RunFacts;
use snowshelf_dag::{native, serialized, show};
use snowshelf_model::protocol::user::{parse_submission, submission_body};
use std::collections::{BTreeMap, BTreeSet, HashMap};

const HARVEST: &str = r#"
name: harvest
time_zone: Europe/Lisbon
schedule: {cron: "30 1 * * *"}
params:
  block: {kind: text, default: north}
  crates: {kind: integer, default: 3, minimum: 1, maximum: 500}
defaults:
  retries: 2
  job: {team: campo, cpus: 2, mem_gb: 4}
steps:
  - id: tally
    job: {class: picker-tally, image: "tally-{{ params.block }}", pull_gb: 2, tasks: "{{ params.crates }}"}
    args: {day: "{{ ds }}", before: "{{ macros.ds_add(ds, -1) }}"}
  - id: weigh
    after: [tally]
    job: {class: bin-weigh, image: weigh, pull_gb: 1.5, priority: high}
    sweep: {product: {scale: [a, b], shift: [1, 2, 3]}}
    args: {what: "{{ sweep.scale }}{{ sweep.shift }} {{ task.task_id }} {{ run_id }}"}
  - id: sheet
    after: [weigh, tally]
    trigger: all_done
    job: {class: intake, image: sheet, pull_gb: 1}
  - id: mail
    after: [sheet]
    job: {class: intake, image: mail, pull_gb: 0.1}
"#;

fn graph(text: &str) -> Graph {
    let mut problems = Problems::of("g.yaml");
    let graph = native::read(text, &mut problems);
    assert!(problems.is_empty(), "{:?}", problems.into_list());
    graph.unwrap()
}

fn facts(params: Value) -> RunFacts {
    RunFacts {
        graph: "harvest".to_string(),
        run: "2027-09-01".to_string(),
        from: "2027-08-31T23:30:00Z".parse().unwrap(),
        until: "2027-09-01T23:30:00Z".parse().unwrap(),
        zone: "Europe/Lisbon".to_string(),
        params: serde_json::from_value(params).unwrap(),
    }
}

fn planned(graph: &Graph, params: Value) -> Result<Plan, Vec<String>> {
    let plan = expand(graph, &Mapping::default(), &facts(params), "g.yaml");
    plan.map_err(|list| list.iter().map(|p| p.to_string()).collect())
}

#[test]
fn a_run_becomes_jobs_that_need_one_another() {
    let plan = planned(&graph(HARVEST), json!({"block": "south"})).unwrap();
    let of = |step: &str| -> Vec<usize> {
        (0..plan.jobs.len())
            .filter(|i| plan.jobs[*i].step == step)
            .collect()
    };
    assert_eq!(
        (of("tally").len(), of("weigh").len(), plan.jobs.len()),
        (1, 6, 9)
    );
    let tally = &plan.jobs[of("tally")[0]];
    assert_eq!(tally.submission.spec.image, "tally-south");
    assert_eq!((tally.submission.spec.tasks, tally.retries), (3, 2));
    // The local date of the interval's beginning, and macros on it.
    assert_eq!(
        (&tally.args["day"], &tally.args["before"]),
        (&json!("2027-09-01"), &json!("2027-08-31"))
    );
    for i in of("weigh") {
        let weigh = &plan.jobs[i];
        assert_eq!(
            weigh.submission.dependencies,
            std::slice::from_ref(&tally.submission.job)
        );
        assert_eq!(weigh.wave, 0);
    }
    let last = &plan.jobs[of("weigh")[5]];
    assert_eq!(last.args["what"], json!("b3 weigh 2027-09-01"));
    assert_eq!(
        last.sweep,
        BTreeMap::from([("scale".into(), json!("b")), ("shift".into(), json!(3))])
    );
    // What must wait however its steps above end is decided by the run, and what follows it too.
    let (sheet, mail) = (&plan.jobs[of("sheet")[0]], &plan.jobs[of("mail")[0]]);
    assert_eq!(
        (
            sheet.wave,
            sheet.after.len(),
            sheet.submission.dependencies.len()
        ),
        (1, 7, 0)
    );
    assert_eq!(
        (mail.wave, &mail.submission.dependencies[..]),
        (1, &[sheet.submission.job.clone()][..])
    );
    for job in &plan.jobs {
        // What is shown to users reads as the submission that it is.
        let body = submission_body(&job.submission).to_string();
        assert_eq!(parse_submission(body.as_bytes()).unwrap(), job.submission);
    }
    let manifest: Vec<Value> = plan.manifest().collect();
    assert_eq!(manifest[1]["sweep"], json!({"scale": "a", "shift": 1}));
    assert_eq!(manifest[1]["job"], plan.jobs[1].submission.job.as_str());
}

/// Everything that is wrong is said at once, where it stands, and nothing is planned.
#[test]
fn every_problem_of_a_file_is_told_at_once() {
    let text = r#"
name: harvest
time_zone: Europe/Atlantis
max_active_runs: 0
schedule: {cron: "1 2 3"}
start: yesterday
params:
  n: {kind: integer, default: ten}
defaults: {job: {class: c, team: t, cpus: 1, mem_gb: 1, image: i, pull_gb: 1}}
steps:
  - id: a
    after: [c, nowhere]
  - id: b
    after: [a, a]
  - id: c
    after: [b]
  - id: a
  - id: "no spaces"
  - id: d
    job: {cpus: -1}
    retries: 5000
    timeout_s: -2
    sweep: {zip: {x: [1, 2], y: [1]}}
  - id: e
    sweep: {list: []}
"#;
    let problems = planned(&graph(text), json!({"m": 1})).unwrap_err();
    for (line, words) in [
        ("", "time_zone: Europe/Atlantis"),
        ("", "max_active_runs: must be at least 1"),
        ("", "schedule: \"1 2 3\": "),
        ("", "start: "),
        ("", "params.n: its default \"ten\" is no integer"),
        ("", "params.m: the graph has no such parameter"),
        (":11", "a: comes after nowhere, which there is not"),
        (":13", "b: names a twice"),
        (":17", "a: this id was used before on line 11"),
        (":18", "no spaces: a step's id must be"),
        (":19", "d: cpus must not be negative"),
        (":19", "d: retries must be at most"),
        (":19", "d: timeout_s must not be negative"),
        (
            ":19",
            "d: zipped lists must be equally long: x has 2, y has 1",
        ),
        (":24", "e: a sweep has no copies"),
        ("", "comes after itself: a -> b -> c -> a"),
    ] {
        let found = problems
            .iter()
            .any(|p| p.starts_with(&format!("g.yaml{line}")) && p.contains(words));
        assert!(found, "{line} {words}: {problems:#?}");
    }
}

#[test]
fn a_step_without_what_a_job_needs_is_named() {
    let bare = graph(
        "{name: g, steps: [{id: a, operator: BashOperator}, {id: b, operator: SqlOperator}]}",
    );
    let problems = planned(&bare, json!({})).unwrap_err();
    assert_eq!(problems.len(), 2);
    assert!(
        problems[0].contains("its job has no class, team, image, cpus, mem_gb, pull_gb"),
        "{problems:?}"
    );
    assert!(
        problems[0].contains("in the mapping for BashOperator"),
        "{problems:?}"
    );
    let mapping = r#"
defaults: {team: t, cpus: 1, mem_gb: 1, pull_gb: 1, class: any}
rules:
  - {operator: "Bash*", job: {image: bash}}
  - {operator: BashOperator, queue: big, job: {cpus: 16}}
"#;
    let mapping = Mapping::read(mapping, &mut Problems::of("m.yaml")).unwrap();
    let plan = |text: &str| expand(&graph(text), &mapping, &facts(json!({})), "g.yaml");
    let plan = plan("{name: g, steps: [{id: a, operator: BashOperator}, {id: b, operator: BashOperator, queue: big}]}").unwrap();
    let cpus: Vec<f64> = plan
        .jobs
        .iter()
        .map(|j| j.submission.spec.resources.cpus)
        .collect();
    assert_eq!(cpus, [1.0, 16.0]);
    assert_eq!(plan.jobs[1].submission.spec.image, "bash");
}

/// Guards against a template that never ends, or becomes gigabytes, or quietly leaves out a name that
/// there is not: the whole run is refused, and soon.
#[test]
fn templates_are_strict_and_bounded() {
    let plan = |field: &str, template: &str| {
        let mut g = graph(HARVEST);
        match field {
            "image" => g.steps[0].job.image = Some(template.to_string()),
            "tasks" => {
                g.steps[0].job.tasks = Some(snowshelf_dag::graph::Amount::Template(template.into()))
            }
            _ => {
                g.steps[0]
                    .args
                    .insert("x".into(), json!({"deep": [template]}));
            }
        }
        planned(&g, json!({})).unwrap_err().join("\n")
    };
    let endless = "{% for a in range(9999) %}{% for b in range(9999) %}{% for c in range(9999) %}{% endfor %}{% endfor %}{% endfor %}";
    let large = "{% set s = 'xxxxxxxxxxxxxxxx' %}{% for a in range(20) %}{% set s = s ~ s %}{% endfor %}{{ 'x' * 1000000000 }}";
    let began = std::time::Instant::now();
    for (field, template, words) in [
        ("image", "{{ nothing }}", "undefined"),
        ("image", "{{ params.nothing }}", "undefined"),
        ("image", "{{ ds", "syntax error"),
        ("args", "{{ dag_run.conf.nothing }}", "undefined"),
        ("tasks", "{{ params.block }}", "is no number"),
        ("tasks", "{{ 2.5 }}", "no whole number"),
        ("tasks", "0", "no whole number"),
        ("args", endless, "tally"),
        ("args", large, "tally"),
    ] {
        let told = plan(field, template);
        assert!(
            told.contains(words) && told.contains("tally"),
            "{template}: {told}"
        );
    }
    assert!(began.elapsed().as_secs() < 20, "{:?}", began.elapsed());
}

/// Guards against many templates that each take as long as one may: together they are bounded too.
#[test]
fn the_templates_of_a_run_are_bounded_together() {
    let mut g = graph(HARVEST);
    let copies = (0..50_000)
        .map(|i| BTreeMap::from([("x".to_string(), json!(i))]))
        .collect();
    g.steps[1].sweep = Some(Sweep::List(copies));
    g.steps[1].args = BTreeMap::from([(
        "x".into(),
        json!("{% for a in range(900) %}{% for b in range(900) %}{% endfor %}{% endfor %}"),
    )]);
    let began = std::time::Instant::now();
    let problems = planned(&g, json!({})).unwrap_err();
    assert!(
        problems
            .iter()
            .any(|p| p.contains("take too long together")),
        "{}",
        problems.len()
    );
    assert!(began.elapsed().as_secs() < 20, "{:?}", began.elapsed());
}

/// A value that makes one copy of thousands invalid refuses all of them before anything starts.
#[test]
fn a_sweep_of_thousands_stands_or_falls_as_a_whole() {
    let sweep = |bad: Option<usize>| {
        let scales: Vec<Value> = (0..5_000)
            .map(|i| match bad {
                Some(n) if n == i => json!("many"),
                _ => json!(i % 7 + 1),
            })
            .collect();
        let mut g = graph(HARVEST);
        g.steps[1].sweep = Some(Sweep::Product(BTreeMap::from([(
            "scale".to_string(),
            scales,
        )])));
        g.steps[1].args.clear();
        g.steps[1].job.cpus = Some(snowshelf_dag::graph::Amount::Template(
            "{{ sweep.scale }}".into(),
        ));
        planned(&g, json!({}))
    };
    let plan = sweep(None).unwrap();
    assert_eq!(plan.jobs.len(), 5_003);
    let ids: BTreeSet<&str> = plan
        .jobs
        .iter()
        .map(|j| j.submission.job.as_str())
        .collect();
    assert_eq!(ids.len(), 5_003);
    let problems = sweep(Some(4_321)).unwrap_err();
    assert_eq!(problems.len(), 1);
    assert!(
        problems[0].contains("weigh[4321]: cpus: \"many\" is no number"),
        "{problems:?}"
    );
    // Two such sweeps one after the other would need 25 million ways.
    let mut g = graph(HARVEST);
    let big = Sweep::List(
        (0..5_000)
            .map(|i| BTreeMap::from([("x".to_string(), json!(i))]))
            .collect(),
    );
    g.steps[1].sweep = Some(big.clone());
    g.steps[1].args.clear();
    g.steps[3].after = vec!["weigh".to_string()];
    g.steps[3].sweep = Some(big);
    let problems = planned(&g, json!({})).unwrap_err();
    assert!(
        problems
            .iter()
            .any(|p| p.contains("put a step between two sweeps")),
        "{problems:?}"
    );
}

#[test]
fn a_runs_parameters_are_checked() {
    let g = graph(HARVEST);
    for (params, words) in [
        (
            json!({"crates": 0}),
            "params.crates: 0 is not from 1 to 500",
        ),
        (json!({"crates": 1.5}), "params.crates: 1.5 is no integer"),
        (json!({"block": 3}), "params.block: 3 is no text"),
        (
            json!({"blok": "x"}),
            "params.blok: the graph has no such parameter",
        ),
    ] {
        let problems = planned(&g, params).unwrap_err();
        assert!(
            problems.len() == 1 && problems[0].contains(words),
            "{problems:?}"
        );
    }
}

#[test]
fn jobs_have_the_same_ids_whoever_works_them_out() {
    let id = job_id("g", "r", "s", None);
    assert_eq!(id, job_id("g", "r", "s", None));
    assert!(
        snowshelf_model::protocol::user::is_job_id(id.as_str()),
        "{id}"
    );
    // Parts that run together differ still.
    for (g, r, s, c) in [
        ("gr", "", "s", None),
        ("g", "rs", "", None),
        ("g", "r", "s", Some(0)),
        ("g", "r", "s", Some(1)),
    ] {
        assert_ne!(job_id(g, r, s, c), id);
    }
}

fn serialized_graph() -> Value {
    json!({"__version": 2, "dag": {
    "dag_id": "settle", "timezone": "America/Costa_Rica", "catchup": false, "max_active_runs": 1,
    "start_date": 1_790_000_000.0, "_max_active_tasks": 16,
    "timetable": {"__type": "airflow.timetables.interval.CronDataIntervalTimetable",
        "__var": {"expression": "0 4 * * *", "timezone": "America/Costa_Rica"}},
    "default_args": {"__type": "dict", "__var": {"retries": 3,
        "retry_delay": {"__type": "timedelta", "__var": 300.0}}},
    "params": [["day", {"__class": "airflow.models.param.Param", "default": "today",
        "schema": {"type": "string"}}]],
    "tasks": [
        {"__type": "operator", "__var": {"task_id": "read", "_task_type": "BashOperator",
            "downstream_task_ids": ["group.settle"], "bash_command": "read {{ ds }}",
            "template_fields": ["bash_command", "env"], "pool": "cards", "queue": "default"}},
        {"__type": "operator", "__var": {"task_id": "group.settle", "_task_type": "PythonOperator",
            "_is_mapped": true, "downstream_task_ids": ["tell"], "retries": 1,
            "expand_input": {"type": "dict-of-lists",
                "value": {"__type": "dict", "__var": {"op_args": [[1], [2]]}}},
            "execution_timeout": {"__type": "timedelta", "__var": 60.0}}},
        {"__type": "operator", "__var": {"task_id": "tell", "_task_type": "EmptyOperator",
            "trigger_rule": "all_done", "downstream_task_ids": [],
            "executor_config": {"__type": "dict", "__var": {"snowshelf": {"cpus": 8.0}}}}}
    ]}})
}

#[test]
fn the_serialized_form_is_read() {
    let value = serialized_graph();
    assert!(serialized::is_serialized(&value));
    let mut problems = Problems::of("d.json");
    let g = serialized::read(&value, &mut problems).unwrap();
    assert!(problems.is_empty(), "{:?}", problems.into_list());
    assert_eq!(g.name, "settle");
    assert_eq!(
        serde_json::to_value(&g.schedule).unwrap(),
        json!({"cron": "0 4 * * *"})
    );
    assert!(g.start.as_deref().unwrap().starts_with("2026-09-2"));
    let ids: Vec<&str> = g.steps.iter().map(|s| s.id.as_str()).collect();
    assert_eq!(ids, ["read", "group.settle", "tell"]);
    let [read, settle, tell] = &g.steps[..] else {
        panic!()
    };
    assert_eq!(
        (
            read.retries,
            read.retry_delay_s,
            read.pool.as_deref(),
            &read.queue
        ),
        (Some(3), Some(300.0), Some("cards"), &None)
    );
    assert_eq!(read.args["bash_command"], json!("read {{ ds }}"));
    assert_eq!(
        (&settle.after, settle.retries, settle.timeout_s),
        (&vec!["read".to_string()], Some(1), Some(60.0))
    );
    assert_eq!(settle.sweep.as_ref().unwrap().count(), Some(2));
    assert_eq!(
        (tell.trigger, &tell.after[..]),
        (Trigger::AllDone, &["group.settle".to_string()][..])
    );
    assert_eq!(
        serde_json::to_value(&tell.job).unwrap(),
        json!({"cpus": 8.0})
    );
}

/// Guards against a weight that decides on something else: a negative one set the number of a step's tasks
/// over what the mapping says.
#[test]
fn a_weight_says_nothing_of_a_steps_job() {
    for weight in [-5, 0, 5] {
        let mut value = serialized_graph();
        value["dag"]["tasks"][0]["__var"]["priority_weight"] = json!(weight);
        let g = serialized::read(&value, &mut Problems::of("d.json")).unwrap();
        assert_eq!(g.steps[0].priority_weight, Some(weight));
        assert_eq!(serde_json::to_value(&g.steps[0].job).unwrap(), json!({}));
    }
}

#[test]
fn what_of_the_serialized_form_cannot_be_kept_is_refused() {
    let with = |change: &dyn Fn(&mut Value)| {
        let mut value = serialized_graph();
        change(&mut value);
        let mut problems = Problems::of("d.json");
        serialized::read(&value, &mut problems);
        let list: Vec<String> = problems.into_list().iter().map(|p| p.to_string()).collect();
        list.join("\n")
    };
    let task = |i: usize, field: &'static str, to: Value| {
        with(&move |v: &mut Value| v["dag"]["tasks"][i]["__var"][field] = to.clone())
    };
    for (told, words) in [
        (
            with(&|v| v["__version"] = json!(9)),
            "version 9 is not known; use 1, 2 or 3",
        ),
        (
            with(&|v| v["dag"]["timetable"] = json!({"__type": "own.Timetable", "__var": {}})),
            "timetable cannot be kept",
        ),
        (
            task(0, "trigger_rule", json!("always")),
            "read: the trigger rule always cannot be kept; write all_success",
        ),
        (
            task(0, "depends_on_past", json!(true)),
            "read: depends_on_past",
        ),
        (
            task(0, "downstream_task_ids", json!(["gone"])),
            "read: comes before gone, which there is not",
        ),
        (
            task(
                1,
                "expand_input",
                json!({"type": "dict-of-lists", "value": {"x": {"__type": "xcomref"}}}),
            ),
            "group.settle: is mapped over what x becomes in a run",
        ),
        (
            task(2, "executor_config", json!({"pod_override": 1})),
            "tell: its executor_config says nothing to snowshelf",
        ),
        (
            task(2, "executor_config", json!({"snowshelf": {"cpu": 1}})),
            "tell: executor_config.snowshelf: unknown field `cpu`",
        ),
        (
            task(2, "task_id", json!(null)),
            "dag.tasks[2]: has no task_id",
        ),
    ] {
        assert!(told.contains(words), "{words}: {told}");
    }
}

#[test]
fn a_graph_is_shown_to_people() {
    let g = graph(HARVEST);
    let tree = show::tree(&g);
    assert_eq!(
        tree,
        "harvest\n`- tally\n   `- weigh x6\n      `- sheet (AllDone)  (also after tally)\n         `- mail\n"
    );
    assert!(show::dot(&g).contains("\"weigh\" -> \"sheet\";"));
    let svg = show::svg(&g);
    assert_eq!(svg.matches("<path").count(), 4);
    assert!(svg.contains(">weigh x6<") && svg.ends_with("</svg>\n"));
}

/// A world of jobs that ends them as it is told, and cancels with each what needs it.
fn played(
    plan: &Plan,
    fails: &BTreeSet<usize>,
    order: &[usize],
    stop_at: Option<usize>,
) -> (Vec<Stand>, End, usize) {
    let mut seen = vec![Seen::Not; plan.jobs.len()];
    let mut failed = BTreeSet::new();
    let mut cancelled = false;
    for round in 0..10_000 {
        cancelled |= stop_at == Some(round);
        let decision = decide(plan, &seen, &failed, cancelled, None, 3);
        if let Some(end) = decision.end {
            return (decision.stands, end, round);
        }
        for i in decision.submit {
            assert_eq!(seen[i], Seen::Not);
            // What it needs was submitted before.
            let dependencies = &plan.jobs[i].submission.dependencies;
            let aborted = dependencies.iter().any(|n| {
                let at = plan
                    .jobs
                    .iter()
                    .position(|j| j.submission.job == *n)
                    .unwrap();
                assert_ne!(seen[at], Seen::Not);
                seen[at] == Seen::Aborted
            });
            seen[i] = if aborted { Seen::Aborted } else { Seen::Open };
        }
        for i in decision.cancel {
            seen[i] = Seen::Aborted;
        }
        // Some job that may run ends, or fails for good.
        let ready = |i: &usize| {
            seen[*i] == Seen::Open
                && plan.jobs[*i].submission.dependencies.iter().all(|n| {
                    let at = plan
                        .jobs
                        .iter()
                        .position(|j| j.submission.job == *n)
                        .unwrap();
                    seen[at] == Seen::Done
                })
        };
        let open: Vec<usize> = (0..seen.len()).filter(ready).collect();
        if let Some(i) = open.get(order[round % order.len()] % open.len().max(1)) {
            if fails.contains(i) {
                failed.insert(*i);
            } else {
                seen[*i] = Seen::Done;
            }
        }
        // Cancellations go down.
        for (i, job) in plan.jobs.iter().enumerate() {
            let above = job.submission.dependencies.iter().any(|n| {
                let at = plan
                    .jobs
                    .iter()
                    .position(|j| j.submission.job == *n)
                    .unwrap();
                seen[at] == Seen::Aborted
            });
            if above && seen[i] == Seen::Open {
                seen[i] = Seen::Aborted;
            }
        }
    }
    panic!("the run never ends");
}

/// A step that fails for good while those below it wait: they never run, what must run however it ends
/// does, and the run has failed only if its last steps have.
#[test]
fn a_failed_step_stops_what_is_below_it() {
    let plan = planned(&graph(HARVEST), json!({})).unwrap();
    let at = |step: &str, copy| {
        plan.jobs
            .iter()
            .position(|j| j.step == step && j.copy == copy)
            .unwrap()
    };
    let (stands, end, _) = played(&plan, &BTreeSet::from([at("weigh", Some(3))]), &[0], None);
    assert_eq!(stands[at("weigh", Some(3))], Stand::Failed);
    assert_eq!(
        (stands[at("weigh", Some(4))], stands[at("sheet", None)], end),
        (Stand::Success, Stand::Success, End::Success)
    );
    let (stands, end, _) = played(&plan, &BTreeSet::from([at("tally", None)]), &[0], None);
    assert!((0..6).all(|c| stands[at("weigh", Some(c))] == Stand::UpstreamFailed));
    assert_eq!(
        (stands[at("mail", None)], end),
        (Stand::Success, End::Success)
    );
    let (stands, end, _) = played(&plan, &BTreeSet::from([at("sheet", None)]), &[0], None);
    assert_eq!(
        (stands[at("mail", None)], end),
        (Stand::UpstreamFailed, End::Failed)
    );
    // Somebody else's job of the same name is no step of the run, and is left alone.
    let mut seen = vec![Seen::Not; plan.jobs.len()];
    seen[0] = Seen::Foreign;
    let decision = decide(&plan, &seen, &BTreeSet::new(), true, None, 9);
    assert!(decision.cancel.is_empty() && decision.stands[0] == Stand::Failed);
}

fn at(text: &str) -> jiff::Timestamp {
    text.parse().unwrap()
}

/// The two nights of a clock change have one run each; presets, weekdays and plain intervals come as they
/// are written.
#[test]
fn schedules_have_each_interval_once() {
    let due =
        |schedule: Schedule, zone: &str, start: &str, since: &str, now: &str| -> Vec<String> {
            let timetable = timetable(&schedule, zone).unwrap();
            let found = timetable.due(at(start), at(since), at(now));
            assert!(found.windows(2).all(|w| w[0].1 == w[1].0));
            found.iter().map(|(from, _)| from.to_string()).collect()
        };
    let cron = |text: &str| Schedule::Cron(text.to_string());
    let nightly = due(
        cron("30 1 * * *"),
        "Europe/Lisbon",
        "2026-10-23T12:00:00Z",
        "2026-10-23T12:00:00Z",
        "2026-10-28T00:00:00Z",
    );
    // 01:30 comes twice on the 25th, and counts once.
    assert_eq!(
        nightly,
        [
            "2026-10-24T00:30:00Z",
            "2026-10-25T00:30:00Z",
            "2026-10-26T01:30:00Z"
        ]
    );
    let spring = due(
        cron("30 1 * * *"),
        "Europe/Lisbon",
        "2027-03-26T12:00:00Z",
        "2027-03-26T12:00:00Z",
        "2027-03-31T00:00:00Z",
    );
    assert_eq!(spring.len(), 3, "{spring:?}");
    let weekdays = due(
        cron("0 22 * * 1-5"),
        "America/Costa_Rica",
        "2026-12-03T00:00:00Z",
        "2026-12-03T00:00:00Z",
        "2026-12-09T00:00:00Z",
    );
    assert_eq!(
        weekdays,
        [
            "2026-12-03T04:00:00Z",
            "2026-12-04T04:00:00Z",
            "2026-12-05T04:00:00Z"
        ]
    );
    let daily = due(
        cron("@daily"),
        "UTC",
        "2027-01-01T00:00:00Z",
        "2027-01-02T00:00:00Z",
        "2027-01-04T00:00:00Z",
    );
    assert_eq!(daily, ["2027-01-02T00:00:00Z", "2027-01-03T00:00:00Z"]);
    let every = due(
        Schedule::EveryS(5400.0),
        "UTC",
        "2027-01-01T00:10:00Z",
        "2027-01-01T01:00:00Z",
        "2027-01-01T04:40:00Z",
    );
    assert_eq!(every, ["2027-01-01T01:40:00Z", "2027-01-01T03:10:00Z"]);
    assert_eq!(
        run_of(at("2027-01-01T01:40:00Z")),
        "scheduled-20270101T014000Z"
    );
    for wrong in ["1 2 3", "61 * * * *", "x", "", "@never"] {
        assert!(timetable(&cron(wrong), "UTC").is_err(), "{wrong}");
    }
}

fn fixed(cases: u32) -> Config {
    Config {
        cases,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..Config::default()
    }
}

fn drawn(edges: &[(usize, usize)], n: usize, triggers: &[u8]) -> Graph {
    let steps = (0..n).map(|i| {
        let after: BTreeSet<String> = edges
            .iter()
            .filter(|(_, b)| b % n == i)
            .map(|(a, _)| format!("s{}", a % n))
            .collect();
        Step {
            id: format!("s{i}"),
            after: after.into_iter().collect(),
            trigger: if triggers[i] == 0 {
                Trigger::AllDone
            } else {
                Trigger::AllSuccess
            },
            ..Step::default()
        }
    });
    Graph {
        name: "g".into(),
        steps: steps.collect(),
        ..graph(HARVEST)
    }
}

proptest! {
    #![proptest_config(fixed(300))]

    /// Whatever the edges: either a cycle is named that is one, or every job comes after all that it
    /// needs, and its needs are just the steps above it.
    #[test]
    fn a_drawn_graph_is_ordered_or_its_cycle_named(
        n in 1..12usize,
        edges in prop::collection::vec((0..12usize, 0..12usize), 0..24),
        triggers in prop::collection::vec(0..5u8, 12),
    ) {
        let mut g = drawn(&edges, n, &triggers);
        g.defaults.job = serde_json::from_value(json!({"class": "c", "team": "t", "cpus": 1, "mem_gb": 1,
            "image": "i", "pull_gb": 1})).unwrap();
        match planned(&g, json!({})) {
            Ok(plan) => {
                let place: HashMap<&str, usize> = plan.jobs.iter().enumerate().map(|(i, j)| (j.step.as_str(), i)).collect();
                prop_assert_eq!(place.len(), n);
                for (i, job) in plan.jobs.iter().enumerate() {
                    let step = g.step(&job.step).unwrap();
                    let above: BTreeSet<usize> = step.after.iter().map(|a| place[a.as_str()]).collect();
                    prop_assert!(above.iter().all(|a| *a < i));
                    prop_assert_eq!(above, job.after.iter().copied().collect::<BTreeSet<_>>());
                    for need in &job.submission.dependencies {
                        prop_assert!(job.after.iter().any(|a| plan.jobs[*a].submission.job == *need));
                    }
                    let wave = job.after.iter().map(|a| plan.jobs[*a].wave).max().unwrap_or(0);
                    let decided = step.trigger != Trigger::AllSuccess && !step.after.is_empty();
                    prop_assert_eq!(job.wave, wave + u32::from(decided));
                    prop_assert_eq!(job.submission.dependencies.is_empty(), decided || step.after.is_empty());
                }
            }
            Err(problems) => {
                let named: Vec<&String> = problems.iter().filter(|p| p.contains("comes after itself: ")).collect();
                prop_assert!(!named.is_empty(), "{:?}", problems);
                for problem in named {
                    let cycle = problem.rsplit(": ").next().unwrap();
                    let names: Vec<&str> = cycle.split(" -> ").collect();
                    prop_assert_eq!(names.first(), names.last());
                    for pair in names.windows(2) {
                        prop_assert!(g.step(pair[1]).unwrap().after.iter().any(|a| a == pair[0]), "{}", problem);
                    }
                }
            }
        }
    }

    /// Whatever fails, in whatever order, and whenever the run is cancelled: it ends, every step has one
    /// end, and that is what its trigger rule says of those above it.
    #[test]
    fn a_run_ends_as_its_trigger_rules_say(
        n in 1..9usize,
        edges in prop::collection::vec((0..8usize, 0..8usize), 0..14),
        triggers in prop::collection::vec(0..8usize, 9),
        fails in prop::collection::btree_set(0..9usize, 0..4),
        order in prop::collection::vec(0..9usize, 1..6),
        stop_at in prop::option::weighted(0.2, 0..12usize),
    ) {
        // Edges go forward only, so that there is no cycle.
        let edges: Vec<(usize, usize)> = edges.into_iter().map(|(a, b)| (a % n, b % n)).filter(|(a, b)| a < b).collect();
        let mut g = drawn(&edges, n, &[1; 12]);
        for (i, step) in g.steps.iter_mut().enumerate() {
            step.trigger = [Trigger::AllDone, Trigger::NoneFailed, Trigger::OneFailed].get(triggers[i]).copied().unwrap_or_default();
        }
        g.defaults.job = serde_json::from_value(json!({"class": "c", "team": "t", "cpus": 1, "mem_gb": 1,
            "image": "i", "pull_gb": 1})).unwrap();
        let plan = planned(&g, json!({})).unwrap();
        let (stands, end, rounds) = played(&plan, &fails, &order, stop_at);
        if stop_at.is_some_and(|at| at <= rounds) {
            prop_assert_eq!(end, End::Cancelled);
            return Ok(());
        }
        for (i, job) in plan.jobs.iter().enumerate() {
            let above: Vec<Stand> = job.after.iter().map(|a| stands[*a]).collect();
            let lost = above.iter().any(|s| matches!(s, Stand::Failed | Stand::UpstreamFailed));
            let skipped = above.contains(&Stand::Skipped);
            let runs = match job.trigger {
                Trigger::AllSuccess => !lost && !skipped,
                Trigger::AllDone => true,
                Trigger::NoneFailed => !lost,
                Trigger::OneFailed => lost,
            };
            let own = if fails.contains(&i) { Stand::Failed } else { Stand::Success };
            if runs {
                prop_assert_eq!(stands[i], own, "{}", i);
            } else {
                prop_assert!(matches!(stands[i], Stand::UpstreamFailed | Stand::Skipped), "{} {:?}", i, stands[i]);
            }
        }
        let leaf_lost = (0..n).any(|i| !plan.jobs.iter().any(|j| j.after.contains(&i)) && matches!(stands[i], Stand::Failed | Stand::UpstreamFailed));
        prop_assert_eq!(end, if leaf_lost { End::Failed } else { End::Success });
    }

    /// However often, and whenever, somebody looks: every interval comes once and none is left out.
    #[test]
    fn intervals_are_found_once_however_they_are_looked_for(
        minute in 0..60u32, hour in 0..24u32, weekly: bool, looks in prop::collection::vec(1..200u64, 1..30), every in prop::option::of(60..90_000u32),
    ) {
        let schedule = match every {
            Some(s) => Schedule::EveryS(f64::from(s)),
            None if weekly => Schedule::Cron(format!("{minute} {hour} * * 0,3")),
            None => Schedule::Cron(format!("{minute} {hour} * * *")),
        };
        let timetable = timetable(&schedule, "Europe/Lisbon").unwrap();
        let start = at("2027-03-20T07:13:00Z");
        let mut now = start;
        let mut since = start;
        let mut found = Vec::new();
        for hours in looks {
            now = now.checked_add(jiff::SignedDuration::from_mins(hours as i64 * 17)).unwrap();
            let due = timetable.due(start, since, now);
            since = due.last().map_or(since, |(_, until)| *until);
            found.extend(due);
        }
        // What is left over after a thousand is found the next time.
        loop {
            let due = timetable.due(start, since, now);
            let Some((_, until)) = due.last() else { break };
            since = *until;
            found.extend(due);
        }
        let mut whole = Vec::new();
        let mut since = start;
        loop {
            let due = timetable.due(start, since, now);
            let Some((_, until)) = due.last() else { break };
            since = *until;
            whole.extend(due);
        }
        prop_assert_eq!(found, whole);
    }

    #[test]
    fn no_text_ends_the_process(text in "\\PC{0,200}", cut in 0..1200usize, put in "[\\[\\]{}:,\"a-z0-9 -]{0,12}") {
        let mut problems = Problems::of("f");
        let _ = native::read(&text, &mut problems);
        let mut whole = HARVEST.to_string();
        let at = cut.min(whole.len());
        whole.insert_str(at, &put);
        if let Some(g) = native::read(&whole, &mut problems) {
            let _ = planned(&g, json!({}));
            let _ = (show::tree(&g), show::svg(&g));
        }
        if let Ok(value) = serde_json::from_str::<Value>(&text) {
            let _ = serialized::read(&value, &mut problems);
        }
    }
}
