//! Calls in a DAG file: graphs, operators, tasks, groups, and the few plain functions that are known.

use crate::building::{Read, Reader};
use crate::expressions::{listed, shown};
use crate::functions::Given;
use crate::value::{Args, Partial, Value};
use rustpython_parser::ast;
use rustpython_parser::text_size::TextRange;
use snowshelf_dag::graph::{Graph, Kind, Param, Schedule, Step, Sweep};
use snowshelf_dag::serialized::{TRIGGERS, trigger};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Arguments that mean nothing to a run, and are left out.
const IDLE_DAG: [&str; 14] = [
    "tags",
    "doc_md",
    "owner_links",
    "default_view",
    "orientation",
    "access_control",
    "is_paused_upon_creation",
    "dag_display_name",
    "auto_register",
    "fail_fast",
    "fail_stop",
    "dagrun_timeout",
    "owner",
    "max_consecutive_failed_dag_runs",
];
const IDLE_STEP: [&str; 22] = [
    "owner",
    "email",
    "email_on_failure",
    "email_on_retry",
    "doc",
    "doc_md",
    "doc_json",
    "doc_yaml",
    "doc_rst",
    "task_display_name",
    "start_date",
    "end_date",
    "weight_rule",
    "do_xcom_push",
    "multiple_outputs",
    "map_index_template",
    "show_return_value_in_log",
    "ui_color",
    "pool_slots",
    "run_as_user",
    "provide_context",
    "resources",
];
const IN_A_RUN: &str = "it is known only in a run";

impl Reader {
    pub fn call(&mut self, call: &ast::ExprCall) -> Read<Value> {
        let at = call.range;
        let called = self.expr(&call.func)?;
        let given = self.given(call)?;
        match called {
            Value::Import(path) => self.call_import(at, &path, given),
            Value::Function(function) => self.call_function(at, &function, given),
            Value::Method(value, name) => self.call_method(at, *value, &name, given),
            Value::Partial(partial) => self.make_task(at, &partial, given),
            other => self.refuse(
                at,
                format!("{} is not called", other.kind()),
                "call an operator or a task",
            ),
        }
    }

    fn call_import(&mut self, at: TextRange, path: &str, mut given: Given) -> Read<Value> {
        let last = path.rsplit('.').next().unwrap_or(path);
        match last {
            "DAG" => Ok(Value::Dag(self.make_dag(at, given)?)),
            "TaskGroup" => self.make_group(at, given),
            "timedelta" | "duration" => self.span(at, given),
            "Param" => {
                if let Some(default) = given.places.first() {
                    given.names.push(("default".to_string(), default.clone()));
                }
                Ok(Value::Param(Rc::new(given.names)))
            }
            "datetime" => self.moment(at, given),
            "Label" => Ok(Value::Label),
            "chain" => {
                for pair in given.places.windows(2) {
                    let (above, below) = (listed(&pair[0]), listed(&pair[1]));
                    match (above, below) {
                        // Two lists of one length go side by side.
                        (Some(above), Some(below)) if above.len() == below.len() => {
                            for (a, b) in above.into_iter().zip(below) {
                                self.follow(at, a, b)?;
                            }
                        }
                        (Some(above), Some(below)) => {
                            let what =
                                format!("chain joins lists of {} and {}", above.len(), below.len());
                            return self.refuse(
                                at,
                                what,
                                "use lists of one length, or cross_downstream",
                            );
                        }
                        _ => {
                            self.follow(at, pair[0].clone(), pair[1].clone())?;
                        }
                    }
                }
                Ok(Value::None)
            }
            "cross_downstream" => match &given.places[..] {
                [above, below] => self
                    .follow(at, above.clone(), below.clone())
                    .map(|_| Value::None),
                _ => self.refuse(at, "cross_downstream takes two lists", "name two"),
            },
            _ if path.starts_with("builtins.") => self.builtin(at, last, given),
            _ if last.ends_with("Operator") || last.ends_with("Sensor") => {
                if last.contains("Branch") || last == "ShortCircuitOperator" {
                    let what = format!("{last} decides in a run what follows");
                    return self.refuse(at, what, "use a trigger rule, or two graphs");
                }
                let partial = Partial {
                    operator: last.to_string(),
                    task: None,
                    args: Vec::new(),
                };
                self.make_task(at, &partial, given)
            }
            _ if path.ends_with("Operator.partial") || path.ends_with("Sensor.partial") => {
                let operator = path
                    .trim_end_matches(".partial")
                    .rsplit('.')
                    .next()
                    .unwrap_or("");
                Ok(Value::Partial(Rc::new(Partial {
                    operator: operator.to_string(),
                    task: None,
                    args: given.names,
                })))
            }
            "get" if path.contains("Variable") => {
                self.refuse(at, format!("{path}: {IN_A_RUN}"), "use a param of the DAG")
            }
            _ => self.refuse(
                at,
                format!("what {path} gives is not known without running it"),
                "write the value down",
            ),
        }
    }

    fn call_method(
        &mut self,
        at: TextRange,
        value: Value,
        name: &str,
        given: Given,
    ) -> Read<Value> {
        match (&value, name, &given.places[..]) {
            (Value::Steps(..) | Value::Group(..), "set_downstream", [below, ..]) => {
                self.follow(at, value, below.clone()).map(|_| Value::None)
            }
            (Value::Steps(..) | Value::Group(..), "set_upstream", [above, ..]) => {
                self.follow(at, above.clone(), value).map(|_| Value::None)
            }
            (Value::Function(f), "override" | "partial", _)
                if matches!(f.role, crate::value::Role::Task(..)) =>
            {
                let crate::value::Role::Task(operator, args) = &f.role else {
                    return Ok(Value::None);
                };
                let mut args = args.clone();
                merge(&mut args, given.names);
                Ok(Value::Partial(Rc::new(Partial {
                    operator: operator.clone(),
                    task: Some(f.name.clone()),
                    args,
                })))
            }
            (Value::Function(f), "expand" | "expand_kwargs", _)
                if matches!(f.role, crate::value::Role::Task(..)) =>
            {
                let crate::value::Role::Task(operator, args) = &f.role else {
                    return Ok(Value::None);
                };
                let partial = Partial {
                    operator: operator.clone(),
                    task: Some(f.name.clone()),
                    args: args.clone(),
                };
                self.expand(at, &partial, name == "expand_kwargs", given)
            }
            (Value::Partial(p), "partial" | "override", _) => {
                let mut partial = (**p).clone();
                merge(&mut partial.args, given.names);
                Ok(Value::Partial(Rc::new(partial)))
            }
            (Value::Partial(p), "expand", _) => self.expand(at, &p.clone(), false, given),
            (Value::Partial(p), "expand_kwargs", _) => self.expand(at, &p.clone(), true, given),
            (Value::List(list), "append", [more]) => {
                list.borrow_mut().push(more.clone());
                Ok(Value::None)
            }
            (Value::List(list), "extend", [more]) => match listed(more) {
                Some(more) => {
                    list.borrow_mut().extend(more);
                    Ok(Value::None)
                }
                None => self.refuse(
                    at,
                    format!("a list is not extended by {}", more.kind()),
                    "use a list",
                ),
            },
            (Value::Dict(pairs), "items", []) => {
                let pairs = pairs.borrow();
                Ok(Value::list(
                    pairs
                        .iter()
                        .map(|(k, v)| Value::list(vec![k.clone(), v.clone()]))
                        .collect(),
                ))
            }
            (Value::Dict(pairs), "keys", []) => Ok(Value::list(
                pairs.borrow().iter().map(|(k, _)| k.clone()).collect(),
            )),
            (Value::Dict(pairs), "values", []) => Ok(Value::list(
                pairs.borrow().iter().map(|(_, v)| v.clone()).collect(),
            )),
            (Value::Dict(pairs), "get", [key, rest @ ..]) => {
                let pairs = pairs.borrow();
                let found = pairs
                    .iter()
                    .find(|(k, _)| k.same(key) == Some(true))
                    .map(|(_, v)| v.clone());
                Ok(found.or(rest.first().cloned()).unwrap_or(Value::None))
            }
            (Value::Text(text), "upper", []) => Ok(Value::Text(text.to_uppercase())),
            (Value::Text(text), "lower", []) => Ok(Value::Text(text.to_lowercase())),
            (Value::Text(text), "strip", []) => Ok(Value::Text(text.trim().to_string())),
            (Value::Text(text), "replace", [Value::Text(a), Value::Text(b)])
                if text.len() * (b.len() + 1) < 100_000 =>
            {
                Ok(Value::Text(text.replace(a.as_str(), b)))
            }
            (Value::Text(text), "split", [Value::Text(by)]) if !by.is_empty() => Ok(Value::list(
                text.split(by.as_str())
                    .map(|p| Value::Text(p.to_string()))
                    .collect(),
            )),
            (Value::Text(by), "join", [list]) => {
                let parts = listed(list).unwrap_or_default();
                let parts: Option<Vec<String>> =
                    parts.iter().map(|v| v.text().map(str::to_string)).collect();
                match parts {
                    Some(parts)
                        if parts.iter().map(String::len).sum::<usize>()
                            + parts.len() * by.len()
                            < 100_000 =>
                    {
                        Ok(Value::Text(parts.join(by)))
                    }
                    _ => self.refuse(at, "these are not joined", "write the text down"),
                }
            }
            _ => self.refuse(
                at,
                format!("{name} of {} is not read", value.kind()),
                "write the steps down plainly",
            ),
        }
    }

    fn builtin(&mut self, at: TextRange, name: &str, given: Given) -> Read<Value> {
        let lists: Option<Vec<Vec<Value>>> = given.places.iter().map(listed).collect();
        let found = match (name, &given.places[..], lists) {
            ("range", places, _) => {
                let numbers: Option<Vec<i64>> = places
                    .iter()
                    .map(|v| match v {
                        Value::Int(n) => Some(*n),
                        _ => None,
                    })
                    .collect();
                let (from, to, step) = match numbers.as_deref() {
                    Some([to]) => (0, *to, 1),
                    Some([from, to]) => (*from, *to, 1),
                    Some([from, to, step]) if *step != 0 => (*from, *to, *step),
                    _ => {
                        return self.refuse(
                            at,
                            "this range is known only in a run",
                            "write the numbers down",
                        );
                    }
                };
                let mut list = Vec::new();
                let mut n = from;
                while (step > 0 && n < to) || (step < 0 && n > to) {
                    if list.len() >= 100_000 {
                        return self.refuse(at, "this range is too long", "use a sweep");
                    }
                    list.push(Value::Int(n));
                    n = n.saturating_add(step);
                }
                Some(Value::list(list))
            }
            ("len", [Value::Text(text)], _) => Some(Value::Int(text.chars().count() as i64)),
            ("len", [_], Some(lists)) => Some(Value::Int(lists[0].len() as i64)),
            ("str", [value], _) => shown(value).map(Value::Text),
            ("int", [Value::Text(text)], _) => text.trim().parse().ok().map(Value::Int),
            ("int", [value], _) => value.number().map(|n| Value::Int(n as i64)),
            ("float", [Value::Text(text)], _) => text.trim().parse().ok().map(Value::Float),
            ("float", [value], _) => value.number().map(Value::Float),
            ("list" | "tuple" | "set", [], _) => Some(Value::list(Vec::new())),
            ("list" | "tuple" | "set", [_], Some(lists)) => Some(Value::list(lists[0].clone())),
            ("reversed", [_], Some(lists)) => {
                Some(Value::list(lists[0].iter().rev().cloned().collect()))
            }
            ("dict", [], _) => Some(Value::dict(
                given
                    .names
                    .iter()
                    .map(|(n, v)| (Value::Text(n.clone()), v.clone()))
                    .collect(),
            )),
            ("enumerate", [_], Some(lists)) => {
                let pairs = lists[0]
                    .iter()
                    .enumerate()
                    .map(|(i, v)| Value::list(vec![Value::Int(i as i64), v.clone()]));
                Some(Value::list(pairs.collect()))
            }
            ("zip", _, Some(lists)) => {
                let long = lists.iter().map(Vec::len).min().unwrap_or(0);
                let rows =
                    (0..long).map(|i| Value::list(lists.iter().map(|l| l[i].clone()).collect()));
                Some(Value::list(rows.collect()))
            }
            ("sorted", [_], Some(lists)) => {
                let mut list = lists[0].clone();
                let texts = list.iter().all(|v| v.text().is_some());
                let numbers = list.iter().all(|v| v.number().is_some());
                match (texts, numbers, given.names.is_empty()) {
                    (true, _, true) => list.sort_by(|a, b| a.text().cmp(&b.text())),
                    (_, true, true) => list.sort_by(|a, b| {
                        a.number()
                            .unwrap_or(0.0)
                            .total_cmp(&b.number().unwrap_or(0.0))
                    }),
                    _ => {
                        return self.refuse(at, "these are not sorted", "write them down in order");
                    }
                }
                Some(Value::list(list))
            }
            ("print", _, _) => Some(Value::None),
            _ => None,
        };
        match found {
            Some(value) => Ok(value),
            None => self.refuse(
                at,
                format!("{name} of this is not read"),
                "write the value down",
            ),
        }
    }

    fn span(&mut self, at: TextRange, given: Given) -> Read<Value> {
        let mut seconds = 0.0;
        if let Some(days) = given.places.first().and_then(Value::number) {
            seconds += days * 86_400.0;
        }
        for (name, value) in &given.names {
            let unit = match name.as_str() {
                "weeks" => 604_800.0,
                "days" => 86_400.0,
                "hours" => 3_600.0,
                "minutes" => 60.0,
                "seconds" => 1.0,
                "milliseconds" => 0.001,
                _ => {
                    return self.refuse(
                        at,
                        format!("{name} of a span is not read"),
                        "use days, hours, minutes or seconds",
                    );
                }
            };
            let Some(n) = value.number() else {
                return self.refuse(at, format!("{name} is no number"), "write the number down");
            };
            seconds += n * unit;
        }
        Ok(Value::Span(seconds))
    }

    fn moment(&mut self, at: TextRange, mut given: Given) -> Read<Value> {
        let zone = given.take("tz").or_else(|| given.take("tzinfo"));
        let numbers: Option<Vec<f64>> = given.places.iter().map(Value::number).collect();
        let numbers = numbers.filter(|n| (3..=6).contains(&n.len()) && given.names.is_empty());
        let Some(n) = numbers else {
            return self.refuse(
                at,
                "this moment is not read",
                "write year, month, day, hour, minute, second",
            );
        };
        let part = |i: usize| n.get(i).copied().unwrap_or(0.0) as i64;
        let text = format!(
            "{:04}-{:02}-{:02}T{:02}:{:02}:{:02}",
            part(0),
            part(1),
            part(2),
            part(3),
            part(4),
            part(5)
        );
        let zone = match &zone {
            Some(Value::Text(zone)) => zone.clone(),
            _ => "UTC".to_string(),
        };
        let zoned = text
            .parse::<jiff::civil::DateTime>()
            .and_then(|at| at.in_tz(&zone));
        match zoned {
            Ok(zoned) => Ok(Value::Moment(zoned.timestamp().to_string())),
            Err(error) => self.refuse(at, error.to_string(), "write a date that there is"),
        }
    }

    pub fn make_dag(&mut self, at: TextRange, mut given: Given) -> Read<usize> {
        let id = given.take("dag_id").or(given.places.first().cloned());
        let Some(name) = id.as_ref().and_then(Value::text).map(str::to_string) else {
            return self.refuse(
                at,
                "a DAG's dag_id is no text that is known",
                "write it down",
            );
        };
        let mut graph = Graph {
            name,
            ..Graph::default()
        };
        let mut defaults: Args = Vec::new();
        let mut refused = None;
        for (field, value) in given.names {
            if let Err(error) = self.dag_field(at, &mut graph, &mut defaults, &field, value) {
                refused = Some(error);
            }
        }
        let start = defaults.iter().find(|(n, _)| n == "start_date");
        if let (None, Some((_, Value::Moment(at)))) = (&graph.start, start) {
            graph.start = Some(at.clone());
        }
        match refused {
            Some(error) => Err(error),
            None => Ok(self.new_dag(graph, defaults)),
        }
    }

    fn dag_field(
        &mut self,
        at: TextRange,
        graph: &mut Graph,
        defaults: &mut Args,
        field: &str,
        value: Value,
    ) -> Read<()> {
        let whole = |value: &Value| match value {
            Value::Int(n) => u32::try_from(*n).ok(),
            _ => None,
        };
        match (field, &value) {
            ("description", Value::Text(text)) => graph.description = text.clone(),
            ("schedule" | "schedule_interval" | "timetable", value) => match value {
                Value::None => {}
                Value::Text(text) if text == "@once" => {}
                Value::Text(text) => graph.schedule = Some(Schedule::Cron(text.clone())),
                Value::Span(s) => graph.schedule = Some(Schedule::EveryS(*s)),
                other => {
                    let what = format!("a schedule by {} cannot be kept", other.kind());
                    return self.refuse(at, what, "use a cron expression or a timedelta");
                }
            },
            ("start_date", Value::Moment(moment)) => graph.start = Some(moment.clone()),
            ("end_date", Value::Moment(moment)) => graph.end = Some(moment.clone()),
            ("end_date", Value::None) => {}
            ("catchup", Value::Bool(b)) => graph.catch_up = *b,
            ("max_active_runs", value) if whole(value).is_some() => {
                graph.max_active_runs = whole(value)
            }
            ("max_active_tasks" | "concurrency", value) if whole(value).is_some() => {
                graph.max_active_tasks = whole(value)
            }
            ("default_args", Value::Dict(pairs)) => {
                for (key, value) in pairs.borrow().iter() {
                    if let Some(key) = key.text() {
                        defaults.push((key.to_string(), value.clone()));
                    }
                }
            }
            ("params", Value::Dict(pairs)) => {
                for (key, value) in pairs.borrow().iter() {
                    let param = self.param(at, value)?;
                    graph
                        .params
                        .insert(key.text().unwrap_or("").to_string(), param);
                }
            }
            (field, Value::None | Value::Bool(false))
                if field.starts_with("render") || field.ends_with("callback") => {}
            (field, _) if IDLE_DAG.contains(&field) => {}
            (field, value) => {
                let what = format!("{field} of a DAG is not read as {}", value.kind());
                return self.refuse(at, what, "leave it out, or write its value down");
            }
        }
        Ok(())
    }

    fn param(&mut self, at: TextRange, value: &Value) -> Read<Param> {
        let mut param = Param {
            kind: Kind::Any,
            default: None,
            minimum: None,
            maximum: None,
            one_of: None,
            description: String::new(),
        };
        let Value::Param(args) = value else {
            param.default = value.json(0);
            return match param.default {
                Some(_) => Ok(param),
                None => self.refuse(
                    at,
                    format!("a param's default is {}", value.kind()),
                    "write the value down",
                ),
            };
        };
        for (name, value) in args.iter() {
            let json = value.json(0);
            match (name.as_str(), value) {
                ("default", _) => param.default = json,
                ("type", Value::Text(kind)) => {
                    param.kind = match kind.as_str() {
                        "string" => Kind::Text,
                        "integer" => Kind::Integer,
                        "number" => Kind::Number,
                        "boolean" => Kind::Flag,
                        "array" => Kind::List,
                        _ => Kind::Any,
                    };
                }
                ("minimum", value) => param.minimum = value.number(),
                ("maximum", value) => param.maximum = value.number(),
                ("enum", _) => param.one_of = json.and_then(|j| j.as_array().cloned()),
                ("description", Value::Text(text)) => param.description = text.clone(),
                ("title" | "examples" | "section" | "type", _) => {}
                (name, _) => {
                    return self.refuse(
                        at,
                        format!("{name} of a Param is not read"),
                        "use type, enum, minimum or maximum",
                    );
                }
            }
        }
        Ok(param)
    }

    pub fn make_group(&mut self, at: TextRange, mut given: Given) -> Read<Value> {
        let id = given.take("group_id").or(given.places.first().cloned());
        let Some(id) = id.as_ref().and_then(Value::text).map(str::to_string) else {
            return self.refuse(
                at,
                "a group's group_id is no text that is known",
                "write it down",
            );
        };
        let Some(place) = self.places.last().cloned() else {
            return self.refuse(at, "a group stands outside of any DAG", "put it into one");
        };
        if given.names.iter().any(|(n, _)| {
            ![
                "tooltip",
                "ui_color",
                "ui_fgcolor",
                "prefix_group_id",
                "dag",
            ]
            .contains(&n.as_str())
        }) {
            return self.refuse(
                at,
                "a group's arguments beyond its name are not read",
                "write them to its steps",
            );
        }
        let prefix = match place.prefix.as_str() {
            "" => id,
            above => format!("{above}.{id}"),
        };
        Ok(Value::Group(place.dag, prefix))
    }

    /// Makes a step of an operator or a task.
    pub fn make_task(&mut self, at: TextRange, partial: &Partial, given: Given) -> Read<Value> {
        let above = self.inputs(&given);
        let mut args = partial.args.clone();
        let mut own: Args = Vec::new();
        // What a task's function is called with is not the step's but its work's.
        match &partial.task {
            Some(_) => {
                own = given.names;
                own.extend(
                    given
                        .places
                        .into_iter()
                        .enumerate()
                        .map(|(i, v)| (format!("arg{i}"), v)),
                );
            }
            None => merge(&mut args, given.names),
        }
        let made = self.step(at, partial, args, own, None)?;
        for steps in above {
            self.follow(at, steps, made.clone())?;
        }
        Ok(made)
    }

    fn expand(
        &mut self,
        at: TextRange,
        partial: &Partial,
        rows: bool,
        given: Given,
    ) -> Read<Value> {
        const LISTS: &str = "expand over lists that are written down";
        if !self.inputs(&given).is_empty() {
            return self.refuse(
                at,
                "a step is expanded over what another gives in a run",
                LISTS,
            );
        }
        let sweep = if rows {
            let copies = given
                .places
                .first()
                .and_then(|v| v.json(0))
                .and_then(|j| serde_json::from_value(j).ok());
            copies.map(Sweep::List)
        } else {
            let axes = given.names.iter().map(|(name, value)| {
                let values = match value.json(0)? {
                    serde_json::Value::Array(values) => values,
                    serde_json::Value::Object(map) => map
                        .into_iter()
                        .map(|(k, v)| serde_json::json!([k, v]))
                        .collect(),
                    _ => return None,
                };
                Some((name.clone(), values))
            });
            axes.collect::<Option<BTreeMap<_, _>>>().map(Sweep::Product)
        };
        let Some(sweep) = sweep else {
            return self.refuse(at, "what a step is expanded over is not known", LISTS);
        };
        self.step(at, partial, partial.args.clone(), Vec::new(), Some(sweep))
    }

    fn step(
        &mut self,
        at: TextRange,
        partial: &Partial,
        mut args: Args,
        own: Args,
        sweep: Option<Sweep>,
    ) -> Read<Value> {
        let mut take = |name: &str| {
            let i = args.iter().position(|(n, _)| n == name)?;
            Some(args.remove(i).1)
        };
        let dag = match take("dag") {
            Some(Value::Dag(dag)) => Some(dag),
            _ => self.places.last().map(|p| p.dag),
        };
        let group = match take("task_group") {
            Some(Value::Group(_, prefix)) => Some(prefix),
            _ => self.places.last().map(|p| p.prefix.clone()),
        };
        let id = take("task_id");
        let Some(dag) = dag else {
            return self.refuse(
                at,
                "a step stands outside of any DAG",
                "put it into one, or name dag=",
            );
        };
        let id = match (&id, &partial.task) {
            (Some(Value::Text(id)), _) => id.clone(),
            (None, Some(task)) => task.clone(),
            _ => {
                return self.refuse(
                    at,
                    "a step's task_id is no text that is known",
                    "write it down",
                );
            }
        };
        let id = match group.as_deref() {
            None | Some("") => id,
            Some(group) => format!("{group}.{id}"),
        };
        for (name, value) in self.dags[dag].defaults.clone() {
            if !args.iter().any(|(n, _)| *n == name) && (STEP_FIELDS.contains(&name.as_str())) {
                args.push((name, value));
            }
        }
        let mut step = Step {
            id,
            operator: partial.operator.clone(),
            sweep,
            ..Step::default()
        };
        let mut refused = None;
        let mut above = Vec::new();
        for (name, value) in args.into_iter().chain(own) {
            if let Value::Steps(..) | Value::Group(..) = value {
                above.push(value);
            } else if let Err(error) = self.step_field(at, &mut step, &name, &value) {
                refused = Some(error);
            }
        }
        if let Some(error) = refused {
            return Err(error);
        }
        let made = self.add_step(at, dag, step, partial.task.is_some())?;
        for steps in above {
            self.follow(at, steps, made.clone())?;
        }
        Ok(made)
    }

    fn step_field(
        &mut self,
        at: TextRange,
        step: &mut Step,
        name: &str,
        value: &Value,
    ) -> Read<()> {
        match (name, value) {
            ("retries", Value::Int(n)) if u32::try_from(*n).is_ok() => {
                step.retries = u32::try_from(*n).ok()
            }
            ("retry_delay", Value::Span(s)) => step.retry_delay_s = Some(*s),
            ("retry_delay", value) if value.number().is_some() => {
                step.retry_delay_s = value.number()
            }
            ("execution_timeout", Value::Span(s)) => step.timeout_s = Some(*s),
            ("execution_timeout" | "pool" | "queue" | "executor_config", Value::None) => {}
            ("trigger_rule", value) => {
                let rule = match value {
                    Value::Text(text) => text.clone(),
                    Value::Import(path) => path.rsplit('.').next().unwrap_or("").to_lowercase(),
                    other => other.kind().to_string(),
                };
                match trigger(&rule) {
                    Ok(rule) => step.trigger = rule,
                    Err(why) => return self.refuse(at, why, TRIGGERS),
                }
            }
            ("pool", Value::Text(pool)) => step.pool = Some(pool.clone()),
            ("queue", Value::Text(queue)) => step.queue = Some(queue.clone()),
            ("priority_weight", Value::Int(n)) => step.priority_weight = Some(*n),
            ("executor_config", value @ Value::Dict(_)) => {
                let config = value.json(0).and_then(|j| j.get("snowshelf").cloned());
                match config.map(serde_json::from_value) {
                    Some(Ok(job)) => step.job = job,
                    Some(Err(error)) => {
                        return self.refuse(
                            at,
                            format!("executor_config: {error}"),
                            "see the schema of a job",
                        );
                    }
                    None => {
                        return self.refuse(
                            at,
                            "executor_config says nothing to snowshelf",
                            "put the job's fields under the key snowshelf",
                        );
                    }
                }
            }
            (
                "depends_on_past" | "wait_for_downstream" | "retry_exponential_backoff",
                Value::Bool(false),
            ) => {}
            (
                "depends_on_past" | "wait_for_downstream" | "retry_exponential_backoff" | "sla",
                _,
            ) => {
                return self.refuse(
                    at,
                    format!("{name} cannot be kept"),
                    "leave it out; max_active_runs=1 keeps runs in order",
                );
            }
            (name, Value::None) if name.ends_with("callback") => {}
            (name, _) if name.ends_with("callback") => {
                return self.refuse(
                    at,
                    format!("{name} is never called"),
                    "put a step with a trigger rule behind it",
                );
            }
            (name, _) if IDLE_STEP.contains(&name) => {}
            (name, value) => match value.json(0) {
                Some(json) => {
                    step.args.insert(name.to_string(), json);
                }
                None if matches!(value, Value::List(_) | Value::Dict(_))
                    && !self
                        .inputs(&Given {
                            places: vec![value.clone()],
                            names: Vec::new(),
                        })
                        .is_empty() =>
                {
                    for steps in self.inputs(&Given {
                        places: vec![value.clone()],
                        names: Vec::new(),
                    }) {
                        // Known only in a run, and given by a step that comes before.
                        if let Value::Steps(_, ids) = &steps {
                            step.args
                                .insert(name.to_string(), serde_json::json!({"from": ids}));
                        }
                    }
                }
                None => {
                    let what = format!("{name} is {}: {IN_A_RUN}", value.kind());
                    return self.refuse(at, what, "write the value down");
                }
            },
        }
        Ok(())
    }
}

/// Fields of steps that a DAG's default arguments are kept for.
const STEP_FIELDS: [&str; 16] = [
    "retries",
    "retry_delay",
    "execution_timeout",
    "trigger_rule",
    "pool",
    "queue",
    "priority_weight",
    "executor_config",
    "depends_on_past",
    "wait_for_downstream",
    "retry_exponential_backoff",
    "sla",
    "on_failure_callback",
    "on_success_callback",
    "on_retry_callback",
    "on_execute_callback",
];

/// Adds arguments, each over one of its name.
fn merge(args: &mut Args, more: Args) {
    for (name, value) in more {
        args.retain(|(n, _)| *n != name);
        args.push((name, value));
    }
}
