//! Record formats of the version before job dependencies, which must not be changed. Until the switch of
//! formats that version must be able to read and rewrite all records without loss.

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
enum JobKind {
    Batch,
    Standing,
}

#[derive(Serialize, Deserialize)]
enum JobState {
    Open,
    Done,
    Cancelled,
}

#[derive(Serialize, Deserialize)]
struct Resources {
    cpus: f64,
    gpus: f64,
    mem: f64,
}

#[derive(Serialize, Deserialize)]
struct Spec {
    class: String,
    team: String,
    kind: JobKind,
    priority: Priority,
    tasks: u32,
    room: Resources,
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
    state: JobState,
    tasks: u32,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    parts: Vec<u32>,
    submitted: u64,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    spec: Option<Spec>,
}

type TaskRanges = Vec<(u32, u32, u32)>;

#[derive(Serialize, Deserialize)]
struct ShardAllocation {
    #[serde(default, rename = "w", skip_serializing_if = "Vec::is_empty")]
    waiting: TaskRanges,
    #[serde(default, rename = "s", skip_serializing_if = "BTreeMap::is_empty")]
    started: BTreeMap<String, TaskRanges>,
    #[serde(default, rename = "f", skip_serializing_if = "Vec::is_empty")]
    finished: TaskRanges,
}

#[derive(Serialize, Deserialize)]
struct LeaseHolder {
    owner: String,
    lease: u64,
}

#[derive(Serialize, Deserialize)]
struct QuotaGrant {
    cpus: f64,
    gpus: f64,
}

#[derive(Serialize, Deserialize)]
struct Quota {
    grants: BTreeMap<u32, QuotaGrant>,
}

fn rewrite<T: Serialize + for<'a> Deserialize<'a>>(value: &Value) -> Option<Value> {
    serde_json::to_value(T::deserialize(value).ok()?).ok()
}

/// Whether the previous version reads the record and would write the same value. Records under other keys are
/// never rewritten by it.
pub fn round_trips(key: &str, value: &Value) -> bool {
    let rewritten = match key.split('/').next().unwrap_or("") {
        "job" => rewrite::<Job>(value),
        "alloc" => rewrite::<ShardAllocation>(value),
        "part" | "leader" => rewrite::<LeaseHolder>(value),
        "quota" => rewrite::<Quota>(value),
        _ => return true,
    };
    rewritten.as_ref() == Some(value)
}
