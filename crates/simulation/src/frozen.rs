//! The record formats of the version that ran before pipelines, frozen: what is written before the
//! switch must be read by it, and written again by it, without loss. Never changed again.

use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeMap;

#[derive(Serialize, Deserialize)]
enum Priority {
    Idle,
    Normal,
    High,
    Prod,
}

#[derive(Serialize, Deserialize)]
enum Kind {
    Batch,
    Standing,
}

#[derive(Serialize, Deserialize)]
enum State {
    Open,
    Done,
    Cancelled,
}

#[derive(Serialize, Deserialize)]
struct Room {
    cpus: f64,
    gpus: f64,
    mem: f64,
}

#[derive(Serialize, Deserialize)]
struct Spec {
    class: String,
    team: String,
    kind: Kind,
    priority: Priority,
    tasks: u32,
    room: Room,
    image: String,
    pull_gb: f64,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    types: Option<Vec<String>>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    zone: Option<String>,
    #[serde(default)]
    together: bool,
    #[serde(default)]
    apart: bool,
    spot: bool,
    estimate_s: f64,
    #[serde(default)]
    checkpoint_s: f64,
    #[serde(default)]
    save_s: f64,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    deadline_s: Option<f64>,
}

#[derive(Serialize, Deserialize)]
struct Job {
    state: State,
    tasks: u32,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    parts: Vec<u32>,
    submitted: u64,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    spec: Option<Spec>,
}

type Spans = Vec<(u32, u32, u32)>;

#[derive(Serialize, Deserialize)]
struct Share {
    #[serde(default, rename = "w", skip_serializing_if = "Vec::is_empty")]
    waiting: Spans,
    #[serde(default, rename = "s", skip_serializing_if = "BTreeMap::is_empty")]
    started: BTreeMap<String, Spans>,
    #[serde(default, rename = "f", skip_serializing_if = "Vec::is_empty")]
    finished: Spans,
}

#[derive(Serialize, Deserialize)]
struct Owner {
    owner: String,
    lease: u64,
}

#[derive(Serialize, Deserialize)]
struct Grant {
    cpus: f64,
    gpus: f64,
}

#[derive(Serialize, Deserialize)]
struct Quota {
    grants: BTreeMap<u32, Grant>,
}

fn again<T: Serialize + for<'a> Deserialize<'a>>(value: &Value) -> Option<Value> {
    serde_json::to_value(T::deserialize(value).ok()?).ok()
}

/// Whether the earlier version reads this record and would write the same. Keys that it does not
/// know it leaves alone.
pub fn survives(key: &str, value: &Value) -> bool {
    let rewritten = match key.split('/').next().unwrap_or("") {
        "job" => again::<Job>(value),
        "alloc" => again::<Share>(value),
        "part" | "leader" => again::<Owner>(value),
        "quota" => again::<Quota>(value),
        _ => return true,
    };
    rewritten.as_ref() == Some(value)
}
