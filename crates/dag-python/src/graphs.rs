//! Graphs, their parameters and groups: what `DAG`, `Param` and `TaskGroup` make of their arguments.

use crate::building::{Read, Reader};
use crate::functions::Given;
use crate::value::{Args, Value};
use rustpython_parser::text_size::TextRange;
use snowshelf_dag::graph::{Graph, Kind, Param, Schedule};

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

impl Reader {
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
}
