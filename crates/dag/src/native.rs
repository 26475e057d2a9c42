//! The native form: YAML or JSON, with a schema.

use crate::graph::Graph;
use crate::problem::Problems;
use serde::de::DeserializeOwned;
use serde_json::Value;

/// Bytes of a file that are read at the most.
pub const MOST_BYTES: usize = 4 << 20;

/// The JSON Schema of a graph.
pub fn schema() -> serde_json::Value {
    serde_json::to_value(schemars::schema_for!(Graph)).unwrap_or_default()
}

/// Reads a value from YAML, of which JSON is a part; where it is no YAML, says on which line.
pub fn yaml<T: DeserializeOwned>(text: &str, problems: &mut Problems) -> Option<T> {
    if text.len() > MOST_BYTES {
        problems.add(None, "", format!("is larger than {MOST_BYTES} bytes"));
        return None;
    }
    let value: Value = match serde_norway::from_str(text) {
        Ok(value) => value,
        Err(error) => {
            let line = error.location().map(|l| l.line() as u32);
            problems.add(line, "", error.to_string());
            return None;
        }
    };
    let lines = step_lines(text);
    match serde_path_to_error::deserialize(value) {
        Ok(value) => Some(value),
        Err(error) => {
            let path = error.path().to_string();
            let step = path
                .strip_prefix("steps[")
                .and_then(|rest| rest.split(']').next());
            let step = step.and_then(|i| i.parse::<usize>().ok());
            let line = step.and_then(|i| Some(lines.get(i)?.0));
            problems.add(line, &path, error.inner().to_string());
            None
        }
    }
}

/// The lines on which ids stand, in their order: the reader does not tell where a step stands.
fn step_lines(text: &str) -> Vec<(u32, String)> {
    let lines = text.lines().enumerate().filter_map(|(i, line)| {
        let line = line.trim_start_matches([' ', '-', '{', '"', ',']);
        let id = line.strip_prefix("id")?.trim_start_matches(['"', ' ']);
        let id = id.strip_prefix(':')?.trim().trim_end_matches(',');
        Some((i as u32 + 1, id.trim_matches(['"', '\'']).to_string()))
    });
    lines.collect()
}

/// Reads a graph.
pub fn read(text: &str, problems: &mut Problems) -> Option<Graph> {
    let mut graph: Graph = yaml(text, problems)?;
    let mut lines = step_lines(text).into_iter();
    for step in &mut graph.steps {
        step.line = lines
            .by_ref()
            .find(|(_, id)| *id == step.id)
            .map(|(i, _)| i);
    }
    Some(graph)
}

/// A graph as YAML.
pub fn write(graph: &Graph) -> String {
    let value = serde_json::to_value(graph).unwrap_or_default();
    serde_norway::to_string(&value).unwrap_or_default()
}
