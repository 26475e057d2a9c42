//! The serialized form in which Airflow keeps its graphs: JSON of versions 1 to 3, as its schema tells.

use crate::graph::{Graph, Kind, Param, Schedule, Step, Sweep, Trigger};
use crate::problem::Problems;
use serde_json::{Map, Value};
use std::collections::{BTreeMap, HashMap};

/// Whether a value looks like this form.
pub fn is_serialized(value: &Value) -> bool {
    value.get("__version").is_some() && value.get("dag").is_some()
}

/// A value without the marks of its type: `{"__type": "timedelta", "__var": 300.0}` is 300.0.
fn bare(value: &Value, depth: u32) -> Value {
    if depth > 40 {
        return Value::Null;
    }
    match value {
        Value::Object(map) => match map.get("__var") {
            Some(inner) if map.contains_key("__type") => bare(inner, depth + 1),
            _ => Value::Object(
                map.iter()
                    .map(|(k, v)| (k.clone(), bare(v, depth + 1)))
                    .collect(),
            ),
        },
        Value::Array(list) => list.iter().map(|v| bare(v, depth + 1)).collect(),
        other => other.clone(),
    }
}

/// The first of some names that an object has.
fn field<'a>(map: &'a Map<String, Value>, names: &[&str]) -> Option<&'a Value> {
    names
        .iter()
        .find_map(|n| map.get(*n))
        .filter(|v| !v.is_null())
}

fn text(map: &Map<String, Value>, names: &[&str]) -> Option<String> {
    field(map, names)?.as_str().map(str::to_string)
}

/// A moment as a number of seconds since 1970, or as text.
fn moment(value: &Value) -> Option<String> {
    match value {
        Value::Number(n) => {
            let ms = (n.as_f64()? * 1000.0) as i64;
            Some(jiff::Timestamp::from_millisecond(ms).ok()?.to_string())
        }
        Value::String(text) => Some(text.clone()),
        _ => None,
    }
}

pub fn trigger(name: &str) -> Result<Trigger, String> {
    Ok(match name {
        "all_success" => Trigger::AllSuccess,
        "all_done" => Trigger::AllDone,
        "none_failed" => Trigger::NoneFailed,
        "one_failed" => Trigger::OneFailed,
        other => {
            return Err(format!("the trigger rule {other} cannot be kept"));
        }
    })
}

pub const TRIGGERS: &str = "write all_success, all_done, none_failed or one_failed";

/// Reads a graph from its serialized form.
pub fn read(value: &Value, problems: &mut Problems) -> Option<Graph> {
    let version = value.get("__version").and_then(Value::as_u64);
    if !version.is_some_and(|v| (1..=3).contains(&v)) {
        let version = value.get("__version").unwrap_or(&Value::Null);
        problems.instead(
            None,
            "__version",
            format!("version {version} is not known"),
            "use 1, 2 or 3",
        );
        return None;
    }
    let dag = bare(value.get("dag").unwrap_or(&Value::Null), 0);
    let Value::Object(dag) = dag else {
        problems.add(None, "dag", "is no object");
        return None;
    };
    let Some(name) = text(&dag, &["dag_id", "_dag_id"]) else {
        problems.add(None, "dag.dag_id", "is missing");
        return None;
    };
    let whole = |names: &[&str]| {
        field(&dag, names)
            .and_then(Value::as_u64)
            .map(|n| n.min(u64::from(u32::MAX)) as u32)
    };
    let mut graph = Graph {
        name,
        description: text(&dag, &["description", "_description"]).unwrap_or_default(),
        time_zone: text(&dag, &["timezone"]),
        start: field(&dag, &["start_date"]).and_then(moment),
        end: field(&dag, &["end_date"]).and_then(moment),
        catch_up: field(&dag, &["catchup"])
            .and_then(Value::as_bool)
            .unwrap_or(false),
        max_active_runs: whole(&["max_active_runs"]),
        max_active_tasks: whole(&["max_active_tasks", "_max_active_tasks", "_concurrency"]),
        ..Graph::default()
    };
    graph.schedule = schedule(&dag, problems);
    params(&dag, &mut graph, problems);
    let defaults = field(&dag, &["default_args"])
        .and_then(Value::as_object)
        .cloned()
        .unwrap_or_default();
    let Some(tasks) = field(&dag, &["tasks"]).and_then(Value::as_array) else {
        problems.add(None, "dag.tasks", "is missing");
        return None;
    };
    let mut below: HashMap<String, Vec<String>> = HashMap::new();
    for (i, task) in tasks.iter().enumerate() {
        let at = format!("dag.tasks[{i}]");
        let Some(task) = task.as_object() else {
            problems.add(None, &at, "is no object");
            continue;
        };
        if let Some(step) = step(task, &defaults, &at, problems) {
            for down in field(task, &["downstream_task_ids", "_downstream_task_ids"])
                .and_then(Value::as_array)
                .into_iter()
                .flatten()
            {
                if let Some(down) = down.as_str() {
                    below
                        .entry(down.to_string())
                        .or_default()
                        .push(step.id.clone());
                }
            }
            graph.steps.push(step);
        }
    }
    for step in &mut graph.steps {
        step.after = below.remove(&step.id).unwrap_or_default();
    }
    // What is left leads to steps that there are not.
    let mut left: Vec<(String, Vec<String>)> = below.into_iter().collect();
    left.sort();
    for (missing, above) in left {
        problems.add(
            None,
            &above.join(", "),
            format!("comes before {missing}, which there is not"),
        );
    }
    Some(graph)
}

fn schedule(dag: &Map<String, Value>, problems: &mut Problems) -> Option<Schedule> {
    let value = field(dag, &["schedule_interval", "timetable"])?;
    // A timetable is its class and what it was made from.
    let made = match value.as_object() {
        Some(map) => {
            let class = text(map, &["__type", "type"]).unwrap_or_default();
            let var = map.get("__var").or(map.get("var"));
            let var = var.and_then(Value::as_object).unwrap_or(map);
            if class.ends_with("NullTimetable") || class.ends_with("OnceTimetable") {
                return None;
            }
            field(var, &["expression", "delta", "__var"]).cloned()
        }
        None => Some(value.clone()),
    };
    match made {
        Some(Value::String(text)) if text == "@once" || text.is_empty() => None,
        Some(Value::String(text)) => Some(Schedule::Cron(text)),
        Some(Value::Number(n)) => n.as_f64().map(Schedule::EveryS),
        _ => {
            let what = "this timetable cannot be kept";
            problems.instead(
                None,
                "dag.timetable",
                what,
                "use a cron expression or an interval",
            );
            None
        }
    }
}

fn params(dag: &Map<String, Value>, graph: &mut Graph, problems: &mut Problems) {
    let Some(params) = field(dag, &["params"]) else {
        return;
    };
    // Newer versions keep a list of pairs.
    let pairs: Vec<(String, Value)> = match params {
        Value::Object(map) => map.iter().map(|(k, v)| (k.clone(), v.clone())).collect(),
        Value::Array(list) => list
            .iter()
            .filter_map(|p| Some((p.get(0)?.as_str()?.to_string(), p.get(1)?.clone())))
            .collect(),
        _ => {
            problems.add(None, "dag.params", "is neither an object nor a list");
            return;
        }
    };
    for (name, value) in pairs {
        let described = value
            .as_object()
            .filter(|m| m.contains_key("__class") || m.contains_key("schema"));
        let param = match described {
            None => Param {
                kind: Kind::Any,
                default: Some(value),
                minimum: None,
                maximum: None,
                one_of: None,
                description: String::new(),
            },
            Some(map) => {
                let schema = field(map, &["schema"])
                    .and_then(Value::as_object)
                    .cloned()
                    .unwrap_or_default();
                let kind = match schema.get("type").and_then(Value::as_str) {
                    Some("string") => Kind::Text,
                    Some("integer") => Kind::Integer,
                    Some("number") => Kind::Number,
                    Some("boolean") => Kind::Flag,
                    Some("array") => Kind::List,
                    _ => Kind::Any,
                };
                Param {
                    kind,
                    default: field(map, &["default", "value"]).cloned(),
                    minimum: schema.get("minimum").and_then(Value::as_f64),
                    maximum: schema.get("maximum").and_then(Value::as_f64),
                    one_of: schema.get("enum").and_then(Value::as_array).cloned(),
                    description: text(map, &["description"]).unwrap_or_default(),
                }
            }
        };
        graph.params.insert(name, param);
    }
}

fn step(
    task: &Map<String, Value>,
    defaults: &Map<String, Value>,
    at: &str,
    problems: &mut Problems,
) -> Option<Step> {
    let partial = field(task, &["partial_kwargs"]).and_then(Value::as_object);
    // A mapped task keeps what all its copies share apart; defaults come last.
    let find = |names: &[&str]| {
        field(task, names)
            .or_else(|| partial.and_then(|p| field(p, names)))
            .or_else(|| field(defaults, names))
    };
    let Some(id) = find(&["task_id"]).and_then(Value::as_str) else {
        problems.add(None, at, "has no task_id");
        return None;
    };
    let mut step = Step {
        id: id.to_string(),
        operator: find(&["_task_type", "task_type"])
            .and_then(Value::as_str)
            .unwrap_or("")
            .to_string(),
        queue: find(&["queue"])
            .and_then(Value::as_str)
            .filter(|q| *q != "default")
            .map(str::to_string),
        retries: find(&["retries"])
            .and_then(Value::as_u64)
            .map(|n| n.min(u64::from(u32::MAX)) as u32),
        retry_delay_s: find(&["retry_delay"]).and_then(Value::as_f64),
        timeout_s: find(&["execution_timeout"]).and_then(Value::as_f64),
        pool: find(&["pool"])
            .and_then(Value::as_str)
            .filter(|p| *p != "default_pool")
            .map(str::to_string),
        priority_weight: find(&["priority_weight"]).and_then(Value::as_i64),
        ..Step::default()
    };
    if let Some(rule) = find(&["trigger_rule"]).and_then(Value::as_str) {
        match trigger(rule) {
            Ok(rule) => step.trigger = rule,
            Err(why) => problems.instead(None, &step.id, why, TRIGGERS),
        }
    }
    if find(&["depends_on_past"]).and_then(Value::as_bool) == Some(true) {
        let what = "depends_on_past cannot be kept";
        problems.instead(
            None,
            &step.id,
            what,
            "set max_active_runs to 1 and leave it out",
        );
    }
    if let Some(config) = find(&["executor_config"]).and_then(Value::as_object) {
        match config
            .get("snowshelf")
            .map(|c| serde_json::from_value(c.clone()))
        {
            Some(Ok(job)) => step.job = job,
            Some(Err(error)) => problems.add(
                None,
                &step.id,
                format!("executor_config.snowshelf: {error}"),
            ),
            None if config.is_empty() => {}
            None => {
                let what = "its executor_config says nothing to snowshelf";
                problems.instead(
                    None,
                    &step.id,
                    what,
                    "put the job's fields under the key snowshelf",
                );
            }
        }
    }
    let templated = find(&["template_fields"])
        .and_then(Value::as_array)
        .cloned()
        .unwrap_or_default();
    for name in templated.iter().filter_map(Value::as_str) {
        if let Some(value) = find(&[name]) {
            step.args.insert(name.to_string(), value.clone());
        }
    }
    if find(&["_is_mapped"]).and_then(Value::as_bool) == Some(true) {
        step.sweep = mapped(task, &step.id, problems);
    }
    Some(step)
}

/// What a mapped task is expanded over.
fn mapped(task: &Map<String, Value>, id: &str, problems: &mut Problems) -> Option<Sweep> {
    let instead = "expand it over lists that are written down";
    let input = field(task, &["expand_input", "op_kwargs_expand_input"]).and_then(Value::as_object);
    let Some(input) = input else {
        problems.instead(None, id, "is mapped over nothing that is known", instead);
        return None;
    };
    let kind = text(input, &["type"]).unwrap_or_default();
    match (kind.as_str(), field(input, &["value"])) {
        ("dict-of-lists", Some(Value::Object(map))) => {
            let mut axes = BTreeMap::new();
            for (name, values) in map {
                match values.as_array() {
                    Some(values) => {
                        axes.insert(name.clone(), values.clone());
                    }
                    None => problems.instead(
                        None,
                        id,
                        format!("is mapped over what {name} becomes in a run"),
                        instead,
                    ),
                }
            }
            Some(Sweep::Product(axes))
        }
        ("list-of-dicts", Some(Value::Array(list))) => {
            let copies = list.iter().map(|copy| {
                let copy = copy.as_object()?;
                Some(copy.iter().map(|(k, v)| (k.clone(), v.clone())).collect())
            });
            let copies: Option<Vec<BTreeMap<String, Value>>> = copies.collect();
            if copies.is_none() {
                problems.instead(
                    None,
                    id,
                    "is mapped over what a step becomes in a run",
                    instead,
                );
            }
            copies.map(Sweep::List)
        }
        _ => {
            problems.instead(
                None,
                id,
                "is mapped over what a step becomes in a run",
                instead,
            );
            None
        }
    }
}
