//! What is wrong with a graph before anything of it starts: all of it at once.

use crate::graph::{Amount, Graph, JobFields, Kind, Param, Step};
use crate::mapping::Mapping;
use crate::problem::Problems;
use crate::schedule::timetable;
use jiff::Timestamp;
use jiff::tz::TimeZone;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Steps of a graph, and steps above one step, at the most.
pub const MOST_STEPS: usize = 20_000;
const MOST_RETRIES: u32 = 1_000;

/// Letters, digits, `.`, `_` and `-`, a letter, digit or `_` first.
pub fn is_name(text: &str) -> bool {
    (1..=200).contains(&text.len())
        && text
            .bytes()
            .all(|b| b.is_ascii_alphanumeric() || b"._-".contains(&b))
        && !text.starts_with(['.', '-'])
}

/// Checks a graph by itself and with the mapping that its jobs come from.
pub fn check(graph: &Graph, mapping: &Mapping, problems: &mut Problems) {
    if !is_name(&graph.name) {
        problems.add(None, "name", "must be letters, digits, '.', '_' or '-'");
    }
    if graph.steps.is_empty() {
        problems.add(None, "steps", "there is none");
    }
    if graph.steps.len() > MOST_STEPS {
        problems.add(None, "steps", format!("there are more than {MOST_STEPS}"));
        return;
    }
    when(graph, problems);
    for (name, param) in &graph.params {
        if let Some(default) = &param.default
            && let Err(why) = fits(param, default)
        {
            problems.add(
                None,
                &format!("params.{name}"),
                format!("its default {why}"),
            );
        }
    }
    let known = names(graph, problems);
    for step in &graph.steps {
        one(step, graph, mapping, &known, problems);
    }
    cycles(graph, &known, problems);
}

fn when(graph: &Graph, problems: &mut Problems) {
    if let Some(zone) = &graph.time_zone
        && TimeZone::get(zone).is_err()
    {
        problems.add(
            None,
            "time_zone",
            format!("{zone} is no zone of the time zone database"),
        );
    }
    let mut moments = Vec::new();
    for (field, text) in [("start", &graph.start), ("end", &graph.end)] {
        match text.as_deref().map(str::parse::<Timestamp>) {
            Some(Err(error)) => problems.add(None, field, error.to_string()),
            Some(Ok(at)) => moments.push(at),
            None => {}
        }
    }
    if let [start, end] = moments[..]
        && end < start
    {
        problems.add(None, "end", "lies before the start");
    }
    if let Some(schedule) = &graph.schedule
        && let Err(why) = timetable(schedule, graph.zone())
    {
        problems.add(None, "schedule", why);
    }
    for (field, n) in [
        ("max_active_runs", graph.max_active_runs),
        ("max_active_tasks", graph.max_active_tasks),
    ] {
        if n == Some(0) {
            problems.add(None, field, "must be at least 1");
        }
    }
}

/// The steps by name, each once.
fn names<'a>(graph: &'a Graph, problems: &mut Problems) -> HashMap<&'a str, usize> {
    let mut known: HashMap<&str, usize> = HashMap::new();
    for (i, step) in graph.steps.iter().enumerate() {
        if !is_name(&step.id) {
            let what = "a step's id must be letters, digits, '.', '_' or '-'";
            problems.add(step.line, &step.id, what);
        }
        if let Some(first) = known.get(step.id.as_str()) {
            let at = graph.steps[*first].line.map(|l| format!(" on line {l}"));
            let what = format!("this id was used before{}", at.unwrap_or_default());
            problems.add(step.line, &step.id, what);
        } else {
            known.insert(&step.id, i);
        }
    }
    known
}

fn one(
    step: &Step,
    graph: &Graph,
    mapping: &Mapping,
    known: &HashMap<&str, usize>,
    problems: &mut Problems,
) {
    let mut seen = BTreeSet::new();
    for above in &step.after {
        if !known.contains_key(above.as_str()) {
            problems.add(
                step.line,
                &step.id,
                format!("comes after {above}, which there is not"),
            );
        }
        if !seen.insert(above) {
            problems.add(step.line, &step.id, format!("names {above} twice"));
        }
    }
    if let Some(what) = step.sweep.as_ref().and_then(|s| s.problem()) {
        problems.add(step.line, &step.id, what);
    }
    let retries = step.retries.or(graph.defaults.retries);
    if retries.is_some_and(|n| n > MOST_RETRIES) {
        problems.add(
            step.line,
            &step.id,
            format!("retries must be at most {MOST_RETRIES}"),
        );
    }
    for (field, value) in [
        (
            "retry_delay_s",
            step.retry_delay_s.or(graph.defaults.retry_delay_s),
        ),
        ("timeout_s", step.timeout_s.or(graph.defaults.timeout_s)),
    ] {
        if value.is_some_and(|s| !s.is_finite() || s < 0.0) {
            problems.add(step.line, &step.id, format!("{field} must not be negative"));
        }
    }
    if let Some(pool) = &step.pool
        && !mapping.pools.is_empty()
        && !mapping.pools.contains_key(pool)
        && pool != "default_pool"
    {
        problems.add(
            step.line,
            &step.id,
            format!("the mapping has no pool {pool}"),
        );
    }
    lacking(step, &job_fields(step, graph, mapping), problems);
}

/// The fields of a step's job: the mapping's, the graph's defaults, its own.
pub fn job_fields(step: &Step, graph: &Graph, mapping: &Mapping) -> JobFields {
    mapping
        .fields(step)
        .under(&graph.defaults.job)
        .under(&step.job)
}

fn lacking(step: &Step, job: &JobFields, problems: &mut Problems) {
    let texts = [
        ("class", &job.class),
        ("team", &job.team),
        ("image", &job.image),
    ];
    let amounts = [
        ("cpus", &job.cpus),
        ("mem_gb", &job.mem_gb),
        ("pull_gb", &job.pull_gb),
    ];
    let missing = texts
        .iter()
        .filter(|(_, v)| v.is_none())
        .map(|(f, _)| *f)
        .chain(amounts.iter().filter(|(_, v)| v.is_none()).map(|(f, _)| *f));
    let missing: Vec<&str> = missing.collect();
    if !missing.is_empty() {
        let operator = match step.operator.as_str() {
            "" => String::new(),
            operator => format!(" for {operator}"),
        };
        let what = format!("its job has no {}", missing.join(", "));
        let instead = format!("name them in the mapping{operator} or in the step");
        problems.instead(step.line, &step.id, what, &instead);
    }
    let rest = [
        ("tasks", &job.tasks),
        ("gpus", &job.gpus),
        ("estimate_s", &job.estimate_s),
        ("checkpoint_s", &job.checkpoint_s),
        ("save_s", &job.save_s),
        ("deadline_s", &job.deadline_s),
    ];
    for (field, value) in amounts.into_iter().chain(rest) {
        if let Some(Amount::Number(n)) = value
            && (!n.is_finite() || *n < 0.0)
        {
            problems.add(step.line, &step.id, format!("{field} must not be negative"));
        }
    }
}

/// Whether a value may be a parameter's; why not otherwise.
pub fn fits(param: &Param, value: &Value) -> Result<(), String> {
    let kind = match param.kind {
        Kind::Text => value.is_string(),
        Kind::Integer => value.is_i64() || value.is_u64(),
        Kind::Number => value.is_number(),
        Kind::Flag => value.is_boolean(),
        Kind::List => value.is_array(),
        Kind::Any => true,
    };
    if !kind {
        let kind = format!("{:?}", param.kind).to_lowercase();
        return Err(format!("{value} is no {kind}"));
    }
    if let Some(n) = value.as_f64()
        && (param.minimum.is_some_and(|m| n < m) || param.maximum.is_some_and(|m| n > m))
    {
        let bound = |b: Option<f64>| b.map_or("any".to_string(), |b| b.to_string());
        let (min, max) = (bound(param.minimum), bound(param.maximum));
        return Err(format!("{value} is not from {min} to {max}"));
    }
    match &param.one_of {
        Some(list) if !list.contains(value) => {
            Err(format!("{value} is none of the values allowed"))
        }
        _ => Ok(()),
    }
}

/// The parameters of a run: what it names over the defaults; everything wrong with them.
pub fn params(
    graph: &Graph,
    given: &BTreeMap<String, Value>,
    problems: &mut Problems,
) -> BTreeMap<String, Value> {
    for name in given.keys().filter(|n| !graph.params.contains_key(*n)) {
        problems.add(
            None,
            &format!("params.{name}"),
            "the graph has no such parameter",
        );
    }
    let mut whole = BTreeMap::new();
    for (name, param) in &graph.params {
        let Some(value) = given.get(name).or(param.default.as_ref()) else {
            problems.add(
                None,
                &format!("params.{name}"),
                "must be named: it has no default",
            );
            continue;
        };
        if let Err(why) = fits(param, value) {
            problems.add(None, &format!("params.{name}"), why);
        }
        whole.insert(name.clone(), value.clone());
    }
    whole
}

/// Names a cycle step by step, one for each knot of steps that come after one another.
fn cycles(graph: &Graph, known: &HashMap<&str, usize>, problems: &mut Problems) {
    #[derive(Clone, Copy, PartialEq)]
    enum Mark {
        New,
        Open,
        Done,
    }
    let above: Vec<Vec<usize>> = graph
        .steps
        .iter()
        .map(|s| {
            s.after
                .iter()
                .filter_map(|a| known.get(a.as_str()).copied())
                .collect()
        })
        .collect();
    let mut marks = vec![Mark::New; graph.steps.len()];
    for start in 0..graph.steps.len() {
        if marks[start] != Mark::New {
            continue;
        }
        // The way down to the step looked at, and which of its steps above is next.
        let mut way: Vec<(usize, usize)> = vec![(start, 0)];
        marks[start] = Mark::Open;
        while let Some((at, next)) = way.last_mut() {
            let Some(to) = above[*at].get(*next).copied() else {
                marks[*at] = Mark::Done;
                way.pop();
                continue;
            };
            *next += 1;
            match marks[to] {
                Mark::New => {
                    marks[to] = Mark::Open;
                    way.push((to, 0));
                }
                Mark::Open => {
                    let from = way.iter().position(|(i, _)| *i == to).unwrap_or(0);
                    let mut names: Vec<&str> = way[from..]
                        .iter()
                        .rev()
                        .map(|(i, _)| graph.steps[*i].id.as_str())
                        .collect();
                    names.insert(0, &graph.steps[to].id);
                    let shown = match names.len() {
                        0..=12 => names.join(" -> "),
                        n => format!("{} -> ... ({} steps)", names[..12].join(" -> "), n - 1),
                    };
                    let step = &graph.steps[to];
                    problems.add(step.line, &step.id, format!("comes after itself: {shown}"));
                }
                Mark::Done => {}
            }
        }
    }
}
