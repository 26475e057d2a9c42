//! Invalid requests: jobs that can unrunnable run or lack a field, resubmissions with other fields, cancellations
//! of jobs that are done, and inconsistent heartbeats.

use crate::response_history::JobRequest;
use crate::{Event, NODES, PendingRequest, Simulation};
use rand::RngExt;
use serde_json::{Value, json};

/// Fields that every submission must have.
pub const REQUIRED_FIELDS: [&str; 17] = [
    "Ref",
    "Lote",
    "Cuadrilla",
    "Feitio",
    "Precedencia",
    "Tarefas",
    "Cpus",
    "Gpus",
    "MemGb",
    "Matriz",
    "PullGb",
    "Together",
    "Apart",
    "Avulsas",
    "PrevisaoS",
    "MarcoS",
    "GuardaS",
];

/// Fields that make a job impossible to run.
pub fn unrunnable_specs() -> Vec<Value> {
    vec![
        json!({"Cuadrilla": "green"}),
        json!({"Cpus": 1_000_000.0}),
        json!({"Gpus": 64.0}),
        json!({"Modelos": ["none"]}),
        json!({"Modelos": []}),
        json!({"Parcela": "z"}),
        json!({"Feitio": "standing", "Tarefas": 1_000}),
        json!({"Together": true, "Apart": true, "Tarefas": 2, "Parcela": null}),
        json!({"Aguarda": ["wk-888888"]}),
    ]
}

/// Names of fields and values that make a submission malformed. `null` stands for a missing field.
pub fn malformed_fields() -> Vec<(&'static str, Value)> {
    let missing = REQUIRED_FIELDS.iter().map(|field| (*field, Value::Null));
    missing
        .chain([
            ("Ref", json!("Wk-1")),
            ("Feitio", json!("odd")),
            ("Precedencia", json!(1)),
            ("Tarefas", json!(0)),
            ("Tarefas", json!(1.5)),
            ("Tarefas", json!(100_001)),
            ("Cpus", json!(-1.0)),
            ("MemGb", json!("much")),
            ("Together", json!("yes")),
            ("Modelos", json!(7)),
            ("Parcela", json!(7)),
            ("PrazoS", json!(-1.0)),
            ("Aguarda", json!(["?"])),
        ])
        .collect()
}

/// Copies a body and replaces some of its fields.
fn with_fields(spec: &Value, fields: &Value) -> Value {
    let mut spec = spec.clone();
    for (field, value) in fields.as_object().into_iter().flatten() {
        spec[field] = value.clone();
    }
    spec
}

impl Simulation {
    /// Sends invalid requests after a valid one of the same user.
    pub(crate) fn send_invalid_requests(&mut self, u: usize) {
        let user = &self.users[u];
        if !self.injected.invalid_requests || user.from_dag_run {
            return;
        }
        let (spec, accepted) = (user.spec.clone(), user.accepted);
        let settled = user.completion_reported || user.cancel_reported_at.is_some();
        let node = self.rng.random_range(0..NODES);
        if accepted && !settled {
            let (unrunnable, mut fields) = (unrunnable_specs(), json!({}));
            if self.rng.random_bool(0.7) {
                fields = unrunnable[self.rng.random_range(0..unrunnable.len())].clone();
            }
            self.send_job_request(node, u, JobRequest::Submit, &with_fields(&spec, &fields));
        } else if settled {
            self.send_job_request(node, u, JobRequest::Cancel, &spec);
        }
        self.submit_invalid(&spec);
    }

    /// Submits a user's job again with changed fields.
    pub fn resubmit(&mut self, u: usize, node: usize, fields: &Value) {
        let spec = with_fields(&self.users[u].spec, fields);
        self.send_job_request(node, u, JobRequest::Submit, &spec);
    }

    /// Submits an invalid job to all controllers, and polls and cancels it there.
    fn submit_invalid(&mut self, spec: &Value) {
        self.injected.invalid_jobs += 1;
        let job = format!("odd-{:06}", self.injected.invalid_jobs);
        let mut invalid = with_fields(spec, &json!({"Ref": job, "Aguarda": null}));
        let (unrunnable, malformed) = (unrunnable_specs(), malformed_fields());
        let which = self.rng.random_range(0..unrunnable.len() + malformed.len());
        let (status, field) = match unrunnable.get(which) {
            Some(fields) => {
                invalid = with_fields(&invalid, fields);
                (422, "")
            }
            None => {
                let (field, value) = &malformed[which - unrunnable.len()];
                invalid[*field] = value.clone();
                (400, *field)
            }
        };
        if self.safeguards.drop_dependencies {
            invalid["Aguarda"] = Value::Null;
        }
        for node in 0..NODES {
            let body = invalid.to_string().into_bytes();
            let pending = PendingRequest::Invalid(status, field);
            self.send_request(node, "POST", "/api/jobs", body, pending);
            let path = format!("/api/jobs/{job}");
            self.send_request(node, "GET", &path, Vec::new(), PendingRequest::UnknownJob);
            self.send_request(
                node,
                "POST",
                &format!("{path}/cancel"),
                Vec::new(),
                PendingRequest::UnknownJob,
            );
        }
    }

    /// Checks the response to an invalid request. It must have the expected status and name the field, unless
    /// the request was refused temporarily.
    pub(crate) fn check_invalid_response(
        &mut self,
        expected: u16,
        field: &str,
        status: u16,
        body: &Value,
    ) {
        let reason = body["error"].as_str().unwrap_or("");
        let temporary = matches!(status, 429 | 503);
        let refused = status == expected && !reason.is_empty() && reason.contains(field);
        self.refused_invalid_requests += u64::from(refused);
        if !temporary && !refused {
            self.violations.push(format!(
                "not refused: {expected} {field} is answered {status} {body}"
            ));
        }
    }

    /// Schedules a heartbeat with these invalid fields, sent between two regular heartbeats of a machine with
    /// tasks.
    pub fn send_invalid_heartbeat_at(&mut self, at: u64, node: usize, fields: Value) {
        self.schedule_at(at, Event::InvalidHeartbeat(node, fields));
    }

    /// Sends an invalid heartbeat. The fields under `task` replace those of the first task.
    pub(crate) fn send_invalid_heartbeat(&mut self, node: usize, fields: &Value) {
        let now = self.now;
        let busy = self.workers.values_mut().find(|w| !w.tasks.is_empty());
        let Some(heartbeat) = busy.map(|w| w.next_heartbeat(now)) else {
            return;
        };
        let mut invalid = with_fields(&heartbeat, fields);
        for (field, value) in fields["task"].as_object().into_iter().flatten() {
            invalid["Tarefas"][0][field] = value.clone();
        }
        let pending = PendingRequest::Invalid(400, "");
        self.send_request(
            node,
            "POST",
            "/checkin",
            invalid.to_string().into_bytes(),
            pending,
        );
    }
}
