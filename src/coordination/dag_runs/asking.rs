//! What users ask of graphs' runs, by method, path and body.

use crate::coordination::query::{param, split};
use serde_json::Value;
use snowshelf_dag::packing;
use snowshelf_dag::run::Asked;
use snowshelf_model::records::{RunId, is_valid_run_name};

#[derive(Debug)]
pub enum Ask {
    /// A run, and its packed text.
    Begin(RunId, Box<Asked>, String),
    Show(RunId, usize, usize),
    Cancel(RunId),
    /// What did not succeed in a run, as a run of another id.
    Rerun(RunId, String),
    /// A graph to be kept, and its packed text.
    Define(String, Box<Asked>, String),
    ShowGraph(String),
    /// Its schedule stands still, or goes on.
    Pause(String, bool),
}

#[derive(Debug)]
pub enum Read {
    Ask(Ask),
    Malformed(String),
    NoSuchPath,
    WrongMethod,
}

const STEPS: usize = 100;
const MOST_STEPS: usize = 500;

/// Reads a request; `None` if its path is none of the graphs'.
pub fn read(method: &str, path: &str, body: &[u8]) -> Option<Read> {
    let (path, query) = split(path);
    let rest = path.strip_prefix("/api/graphs/")?;
    let parts: Vec<&str> = rest.split('/').collect();
    Some(match (method, &parts[..]) {
        ("PUT", [graph]) => define(graph, body),
        ("GET", [graph]) if is_valid_run_name(graph) => {
            Read::Ask(Ask::ShowGraph(graph.to_string()))
        }
        ("POST", [graph, what @ ("pause" | "resume")]) if is_valid_run_name(graph) => {
            Read::Ask(Ask::Pause(graph.to_string(), *what == "pause"))
        }
        ("POST", [graph, "runs"]) => begin(graph, body),
        ("GET", [graph, "runs", run]) => match RunId::new(graph, run) {
            Some(id) => Read::Ask(Ask::Show(
                id,
                number(query, "after", 0),
                number(query, "limit", STEPS).min(MOST_STEPS),
            )),
            None => Read::NoSuchPath,
        },
        ("POST", [graph, "runs", run, "cancel"]) => match RunId::new(graph, run) {
            Some(id) => Read::Ask(Ask::Cancel(id)),
            None => Read::NoSuchPath,
        },
        ("POST", [graph, "runs", run, "rerun"]) => rerun(graph, run, body),
        (_, [_]) | (_, [_, "pause" | "resume"]) | (_, [_, "runs", _, "rerun"]) => Read::WrongMethod,
        (_, [_, "runs"] | [_, "runs", _] | [_, "runs", _, "cancel"]) => Read::WrongMethod,
        _ => Read::NoSuchPath,
    })
}

fn number(query: &str, name: &str, otherwise: usize) -> usize {
    let found = param(query, name).and_then(|v| v.parse().ok());
    found.unwrap_or(otherwise)
}

/// `{"packed": TEXT}`, or what is packed as it is.
fn asked(graph: &str, body: &[u8]) -> Result<Asked, String> {
    let value: Value = match serde_json::from_slice(body) {
        Ok(value) => value,
        Err(error) => return Err(format!("body: {error}")),
    };
    let asked = match value.get("packed").and_then(Value::as_str) {
        Some(text) => packing::unpack(text).map_err(|why| format!("packed: {why}")),
        None => serde_json::from_value(value).map_err(|e| e.to_string()),
    };
    let asked: Asked = asked?;
    match asked.graph.name == graph {
        true => Ok(asked),
        false => Err("graph.name: is another than the path's".to_string()),
    }
}

const NAMES: &str = "must be 1 to 64 letters, digits, '.', '_', ':', '+' or '-'";

fn begin(graph: &str, body: &[u8]) -> Read {
    let asked = match asked(graph, body) {
        Ok(asked) => asked,
        Err(why) => return Read::Malformed(why),
    };
    let Some(id) = RunId::new(graph, &asked.run) else {
        return Read::Malformed(format!("run: {NAMES}, and so must the graph's name"));
    };
    let text = packing::pack(&asked);
    Read::Ask(Ask::Begin(id, Box::new(asked), text))
}

fn rerun(graph: &str, run: &str, body: &[u8]) -> Read {
    let Some(id) = RunId::new(graph, run) else {
        return Read::NoSuchPath;
    };
    let value: Result<Value, _> = serde_json::from_slice(body);
    let next = value
        .ok()
        .and_then(|v| v.get("run")?.as_str().map(str::to_string));
    match next.filter(|next| is_valid_run_name(next) && next != run) {
        Some(next) => Read::Ask(Ask::Rerun(id, next)),
        None => Read::Malformed(format!("run: must name another run, and {NAMES}")),
    }
}

fn define(graph: &str, body: &[u8]) -> Read {
    match asked(graph, body) {
        Ok(_) if !is_valid_run_name(graph) => Read::Malformed(format!("graph.name: {NAMES}")),
        Ok(asked) => {
            let text = packing::pack(&asked);
            Read::Ask(Ask::Define(graph.to_string(), Box::new(asked), text))
        }
        Err(why) => Read::Malformed(why),
    }
}
