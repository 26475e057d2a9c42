//! Parses requests for DAGs and their runs from method, path and body.

use crate::coordination::query::{param, split};
use crate::coordination::request_error::RequestError;
use serde_json::Value;
use snowshelf_dag::packing;
use snowshelf_dag::run::Asked;
use snowshelf_model::records::{RunId, is_valid_run_name};

/// A definition of a DAG or of a single run, parsed and packed.
#[derive(Debug)]
pub struct PackedDefinition {
    /// The parsed definition.
    pub definition: Box<Asked>,
    /// The definition in packed form, as it is stored.
    pub text: String,
}

/// A request for DAGs or their runs. A DAG is identified by its name.
#[derive(Debug)]
pub enum DagRequest {
    /// Starts a run with its own definition.
    StartRun(RunId, PackedDefinition),
    /// Shows the state of a run and a page of its steps.
    ShowRun {
        /// The id of the run.
        run: RunId,
        /// Number of steps before the page.
        after: usize,
        /// Most steps on the page.
        limit: usize,
    },
    /// Cancels the open jobs of a run and ends it.
    CancelRun(RunId),
    /// Repeats the jobs of a run that did not succeed, in a new run. The string is the name of the new run.
    Rerun(RunId, String),
    /// Stores a DAG, replacing any DAG of that name.
    Define(String, PackedDefinition),
    /// Shows the state of a DAG's schedule.
    ShowDag(String),
    /// Pauses (true) or resumes (false) a DAG's schedule.
    SetPaused(String, bool),
}

/// The rule for names of DAGs and runs, as sent to the user.
const NAME_RULE: &str = "must be 1 to 64 letters, digits, '.', '_', ':', '+' or '-'";

/// Why the body of a request is invalid. Its `Display` is the text sent to the user.
#[derive(Debug, thiserror::Error)]
pub enum InvalidDagBody {
    /// The body is not JSON.
    #[error("body: {0}")]
    NotJson(#[source] serde_json::Error),
    /// The packed definition cannot be unpacked.
    #[error("packed: {0}")]
    Packed(String),
    /// The definition has an invalid or missing field.
    #[error("{0}")]
    Definition(#[source] serde_json::Error),
    /// The definition's name differs from the name in the path.
    #[error("graph.name: is another than the path's")]
    NameMismatch,
    /// The name of the DAG is malformed.
    #[error("graph.name: {}", NAME_RULE)]
    DagName,
    /// The name of the run is malformed.
    #[error("run: {}, and so must the graph's name", NAME_RULE)]
    RunName,
    /// The new name of a repeated run is missing, malformed, or the name of the run to repeat.
    #[error("run: must name another run, and {}", NAME_RULE)]
    RerunName,
}

/// Steps of a run in one response if the request has no limit.
const DEFAULT_STEPS: usize = 100;
/// Most steps of a run in one response.
const MAX_STEPS: usize = 500;

/// Parses a request; `None` if the path does not belong to DAGs.
pub fn parse_request(
    method: &str,
    path: &str,
    body: &[u8],
) -> Option<Result<DagRequest, RequestError>> {
    let (path, query) = split(path);
    let rest = path.strip_prefix("/api/graphs/")?;
    let segments: Vec<&str> = rest.split('/').collect();
    Some(parse_segments(method, &segments, query, body))
}

fn parse_segments(
    method: &str,
    segments: &[&str],
    query: &str,
    body: &[u8],
) -> Result<DagRequest, RequestError> {
    let run_id = |dag: &str, run: &str| RunId::new(dag, run).ok_or(RequestError::NoSuchPath);
    match (method, segments) {
        ("PUT", [dag]) => parse_define(dag, body),
        ("GET", [dag]) if is_valid_run_name(dag) => Ok(DagRequest::ShowDag((*dag).to_string())),
        ("POST", [dag, action @ ("pause" | "resume")]) if is_valid_run_name(dag) => Ok(
            DagRequest::SetPaused((*dag).to_string(), *action == "pause"),
        ),
        ("POST", [dag, "runs"]) => parse_start(dag, body),
        ("GET", [dag, "runs", run]) => Ok(DagRequest::ShowRun {
            run: run_id(dag, run)?,
            after: number_param(query, "after", 0),
            limit: number_param(query, "limit", DEFAULT_STEPS).min(MAX_STEPS),
        }),
        ("POST", [dag, "runs", run, "cancel"]) => Ok(DagRequest::CancelRun(run_id(dag, run)?)),
        ("POST", [dag, "runs", run, "rerun"]) => parse_rerun(run_id(dag, run)?, body),
        (
            _,
            [_]
            | [_, "pause" | "resume" | "runs"]
            | [_, "runs", _, "rerun" | "cancel"]
            | [_, "runs", _],
        ) => Err(RequestError::WrongMethod),
        _ => Err(RequestError::NoSuchPath),
    }
}

fn number_param(query: &str, name: &str, default: usize) -> usize {
    let value = param(query, name).and_then(|v| v.parse().ok());
    value.unwrap_or(default)
}

/// Parses a definition, either packed as `{"packed": TEXT}` or as plain JSON.
fn parse_definition(dag: &str, body: &[u8]) -> Result<Asked, InvalidDagBody> {
    let value: Value = serde_json::from_slice(body).map_err(InvalidDagBody::NotJson)?;
    let definition: Asked = match value.get("packed").and_then(Value::as_str) {
        Some(text) => packing::unpack(text).map_err(InvalidDagBody::Packed)?,
        None => serde_json::from_value(value).map_err(InvalidDagBody::Definition)?,
    };
    if definition.graph.name == dag {
        Ok(definition)
    } else {
        Err(InvalidDagBody::NameMismatch)
    }
}

fn pack_definition(definition: Asked) -> PackedDefinition {
    let text = packing::pack(&definition);
    PackedDefinition {
        definition: Box::new(definition),
        text,
    }
}

fn parse_start(dag: &str, body: &[u8]) -> Result<DagRequest, RequestError> {
    let definition = parse_definition(dag, body)?;
    let id = RunId::new(dag, &definition.run).ok_or(InvalidDagBody::RunName)?;
    Ok(DagRequest::StartRun(id, pack_definition(definition)))
}

fn parse_rerun(id: RunId, body: &[u8]) -> Result<DagRequest, RequestError> {
    let value: Option<Value> = serde_json::from_slice(body).ok();
    let new_run = value.and_then(|v| v.get("run")?.as_str().map(str::to_string));
    let new_run = new_run.filter(|new_run| is_valid_run_name(new_run) && *new_run != id.run);
    let new_run = new_run.ok_or(InvalidDagBody::RerunName)?;
    Ok(DagRequest::Rerun(id, new_run))
}

fn parse_define(dag: &str, body: &[u8]) -> Result<DagRequest, RequestError> {
    let definition = parse_definition(dag, body)?;
    if !is_valid_run_name(dag) {
        return Err(InvalidDagBody::DagName.into());
    }
    Ok(DagRequest::Define(
        dag.to_string(),
        pack_definition(definition),
    ))
}
