//! DAG files as they are written, each with the graph that it is, and what cannot be read.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed};
use snowshelf_dag::graph::{Graph, Trigger};
use snowshelf_dag_python::{MOST_BYTES, read};
use std::fmt::Write;

const CORPUS: [(&str, &str, &str); 4] = [
    (
        "classic",
        include_str!("corpus/classic.py"),
        include_str!("corpus/classic.txt"),
    ),
    (
        "context",
        include_str!("corpus/context.py"),
        include_str!("corpus/context.txt"),
    ),
    (
        "taskflow",
        include_str!("corpus/taskflow.py"),
        include_str!("corpus/taskflow.txt"),
    ),
    (
        "helpers",
        include_str!("corpus/helpers.py"),
        include_str!("corpus/helpers.txt"),
    ),
];

/// One line for a graph and one for each step, with all that they say.
fn told(graph: &Graph) -> String {
    let json = |v: &dyn erased::Json| v.json();
    let mut out = graph.name.clone();
    if let Some(schedule) = &graph.schedule {
        let _ = write!(out, " schedule={}", json(schedule));
    }
    if let Some(start) = &graph.start {
        let _ = write!(out, " start={start}");
    }
    let _ = write!(out, " catch_up={}", graph.catch_up);
    if let Some(n) = graph.max_active_runs {
        let _ = write!(out, " runs={n}");
    }
    if !graph.params.is_empty() {
        let params = graph
            .params
            .iter()
            .map(|(n, p)| format!("{n}={}", json(&p.default)));
        let _ = write!(out, " params={}", params.collect::<Vec<_>>().join(","));
    }
    out.push('\n');
    for step in &graph.steps {
        let _ = write!(
            out,
            "{} {} after={}",
            step.id,
            step.operator,
            step.after.join(",")
        );
        for (name, value) in [
            ("retries", step.retries.map(|n| n.to_string())),
            ("delay", step.retry_delay_s.map(|s| s.to_string())),
            ("timeout", step.timeout_s.map(|s| s.to_string())),
            ("pool", step.pool.clone()),
            ("queue", step.queue.clone()),
            ("weight", step.priority_weight.map(|n| n.to_string())),
            (
                "trigger",
                (step.trigger != Trigger::AllSuccess).then(|| format!("{:?}", step.trigger)),
            ),
            ("args", (!step.args.is_empty()).then(|| json(&step.args))),
            (
                "job",
                (step.job != Default::default()).then(|| json(&step.job)),
            ),
            ("sweep", step.sweep.as_ref().map(|s| json(s))),
        ] {
            if let Some(value) = value {
                let _ = write!(out, " {name}={value}");
            }
        }
        out.push('\n');
    }
    out
}

mod erased {
    /// Anything that JSON can be made from.
    pub trait Json {
        fn json(&self) -> String;
    }
    impl<T: serde::Serialize> Json for T {
        fn json(&self) -> String {
            serde_json::to_string(self).unwrap()
        }
    }
}

#[test]
fn files_are_the_graphs_that_they_are() {
    for (name, text, expected) in CORPUS {
        let graphs = read(text, name).unwrap_or_else(|e| panic!("{name}: {e:#?}"));
        let found: String = graphs.iter().map(told).collect();
        assert_eq!(found, expected, "{name}");
    }
}

/// What would be known only by running the file is refused with its line and what to write instead.
#[test]
fn what_cannot_be_read_is_told_with_its_line() {
    let head = "from airflow import DAG\nfrom airflow.decorators import task, dag\nfrom airflow.operators.bash import BashOperator\nfrom airflow.models import Variable\nimport os, datetime, requests\nwith DAG('d', schedule=None) as d:\n";
    for (body, words) in [
        (
            "    x = Variable.get('x')",
            "airflow.models.Variable.get: it is known only in a run; use a param",
        ),
        (
            "    x = os.environ['X']",
            "this part of something imported is not known",
        ),
        (
            "    x = requests.get('http://x').json()",
            "what requests.get gives is not known",
        ),
        (
            "    x = datetime.datetime.now()",
            "what datetime.datetime.now gives is not known",
        ),
        (
            "    BashOperator(task_id=name, bash_command='x')",
            "name is not known here",
        ),
        (
            "    BashOperator(bash_command='x')",
            "a step's task_id is no text",
        ),
        (
            "    BashOperator(task_id='x', bash_command='x', sla=3)",
            "sla cannot be kept",
        ),
        (
            "    BashOperator(task_id='x', bash_command='x', trigger_rule='one_success')",
            "the trigger rule one_success cannot be kept; write all_success",
        ),
        (
            "    BashOperator(task_id='x', bash_command='x', on_failure_callback=print)",
            "on_failure_callback is never called",
        ),
        (
            "    BashOperator(task_id='x', bash_command='x', executor_config={'pod': 1})",
            "executor_config says nothing to snowshelf",
        ),
        ("    while True: pass", "a while loop is not read"),
        (
            "    try:\n        pass\n    except ValueError:\n        pass",
            "try is not read",
        ),
        ("    for i in range(10**9): pass", "this range is too long"),
        (
            "    @task.branch\n    def pick(): pass",
            "@task.branch decides in a run what follows",
        ),
        (
            "    @task\n    def a(): pass\n    @task\n    def b(x): pass\n    b.expand(x=a())",
            "a step is expanded over what another gives in a run",
        ),
        (
            "    @task\n    def a(): pass\n    if a(): pass",
            "what this condition is, a step, is known only in a run",
        ),
        (
            "    @task\n    def a(): pass\n    f'{a()}'",
            "a step in an f-string is known only in a run",
        ),
        ("    1 >> 2", "a number is no step"),
        ("    x = lambda: 1\n    x()", "a lambda gives is not known"),
        ("    def f(): return f()\n    f()", "this nests too deeply"),
        (
            "    x = 'a' * 3",
            "this operator between a text and a number",
        ),
        ("    x = ((1)", "is no Python"),
    ] {
        let problems = read(&format!("{head}{body}\n"), "d.py").unwrap_err();
        let all: Vec<String> = problems.iter().map(|p| p.to_string()).collect();
        let found = all
            .iter()
            .any(|p| p.contains(words) && p.starts_with("d.py:"));
        assert!(found, "{body}: {all:#?}");
        assert!(
            problems.iter().all(|p| p.line.is_some_and(|l| l >= 7)),
            "{body}: {all:#?}"
        );
    }
    let outside = "from airflow.operators.bash import BashOperator\nBashOperator(task_id='x', bash_command='x')\n";
    let problems = read(outside, "d.py").unwrap_err();
    assert!(
        problems[0]
            .to_string()
            .contains("d.py:2: a step stands outside of any DAG")
    );
    assert!(
        read("x = 1\n", "d.py").unwrap_err()[0]
            .what
            .contains("has no DAG")
    );
}

/// Guards against names taken from a caller instead of from where a function was defined.
#[test]
fn names_belong_to_where_a_function_was_defined() {
    let text = "from airflow import DAG\nfrom airflow.operators.bash import BashOperator\nx = 'outer'\n\
        def f():\n    BashOperator(task_id=x, bash_command='f')\ndef g():\n    x = 'inner'\n    f()\n\
        def h():\n    def inside(): pass\n    return inside\nwith DAG('d') as d:\n    g()\n";
    let graphs = read(text, "d.py").unwrap();
    assert_eq!(graphs[0].steps[0].id, "outer");
    let problems = read(&format!("{text}    k = h()\n    k()\n"), "d.py").unwrap_err();
    assert!(
        problems[0].what.contains("inside outlives the call"),
        "{problems:?}"
    );
}

/// Everything wrong with a file is told at once.
#[test]
fn every_problem_is_told() {
    let text = "from airflow import DAG\nwith DAG('d') as d:\n    a = x\n    b = y\n    for z in a: pass\n";
    let problems = read(text, "d.py").unwrap_err();
    let lines: Vec<u32> = problems.iter().filter_map(|p| p.line).collect();
    assert_eq!(lines, [3, 4, 5]);
}

/// Guards against a file that ends the process or never ends: nested as deep as it is long, loops
/// in loops, lists that contain themselves.
#[test]
fn deep_and_endless_files_are_refused() {
    let began = std::time::Instant::now();
    let deep = |a: &str, b: &str| format!("{}1{}\n", a.repeat(30_000), b.repeat(30_000));
    for text in [
        deep("(", ")"),
        deep("[", "]"),
        deep("-", ""),
        deep("not ", ""),
        deep("x(", ")"),
        format!("x = 1{}\n", " + 1".repeat(30_000)),
        format!("x{}\n", ".a".repeat(30_000)),
        format!("x = {}1\n", "lambda: ".repeat(10_000)),
        (0..90)
            .map(|i| format!("{}if 1:\n", " ".repeat(i)))
            .collect::<String>()
            + &" ".repeat(90)
            + "x = y\n",
        "for a in range(9999):\n for b in range(9999):\n  for c in range(9999): pass\n".to_string(),
        "a = []\na.append(a)\nb = []\nb.append(b)\nx = a == b\na >> b\n".to_string(),
        "x = 'a'\nfor i in range(60): x = x + x\n".to_string(),
        "x = [1]\nfor i in range(60): x = x + x\n".to_string(),
        "x".repeat(MOST_BYTES + 1),
    ] {
        assert!(read(&text, "f").is_err(), "{}", &text[..text.len().min(60)]);
    }
    assert!(began.elapsed().as_secs() < 60, "{:?}", began.elapsed());
}

proptest! {
    #![proptest_config(Config {
        cases: 400,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(17),
        failure_persistence: None,
        ..Config::default()
    })]

    /// Files cut, mixed and sown with pieces of one another are read or refused, nothing else.
    #[test]
    fn no_file_ends_the_process(
        which in 0..4usize, other in 0..4usize, from in 0..2_000usize, cut in 0..2_000usize, long in 0..300usize,
        sown in "(\\(|\\)|\\[|\\]|>>|=|:|,|\n|    |for |def |with |@task\n|f\"|\\{|\\}|\"|\\*\\*|lambda |[a-z]{1,3}|[0-9]){0,8}",
    ) {
        let (text, more) = (CORPUS[which].1, CORPUS[other].1);
        let at = |text: &str, i: usize| (0..=i.min(text.len())).rev().find(|i| text.is_char_boundary(*i)).unwrap_or(0);
        let (a, b) = (at(text, cut), at(more, from));
        let c = at(more, b + long).max(b);
        let mixed = format!("{}{sown}{}{}", &text[..a], &more[b..c], &text[at(text, cut + long).max(a)..]);
        let _ = read(&mixed, "f");
    }

    #[test]
    fn no_text_ends_the_process(text in "\\PC{0,120}") {
        let _ = read(&text, "f");
    }
}
