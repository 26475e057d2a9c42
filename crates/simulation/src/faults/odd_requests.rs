//! What nobody should send: jobs that can never run or lack a field, repeats of accepted ones that differ from them,
//! cancellations of jobs that are done, reports that cannot be.

use crate::histories::Question;
use crate::{Asked, Event, NODES, Simulation};
use rand::RngExt;
use serde_json::{Value, json};

/// Fields that every submission must have.
pub const NEEDED: [&str; 17] = [
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

/// What makes a job one that can never run.
pub fn never_runs() -> Vec<Value> {
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

/// Fields of which one is missing or cannot be, and its name.
pub fn malformed() -> Vec<(&'static str, Value)> {
    let lacking = NEEDED.iter().map(|field| (*field, Value::Null));
    lacking
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

fn with(spec: &Value, fields: &Value) -> Value {
    let mut spec = spec.clone();
    for (field, value) in fields.as_object().into_iter().flatten() {
        spec[field] = value.clone();
    }
    spec
}

impl Simulation {
    /// A user who has just asked something sensible asks what is odd.
    pub(crate) fn ask_oddly(&mut self, u: usize) {
        let user = &self.users[u];
        if !self.injected.odd_requests || user.by_run {
            return;
        }
        let (spec, accepted) = (user.spec.clone(), user.accepted);
        let settled = user.told_done || user.told_cancelled.is_some();
        let node = self.rng.random_range(0..NODES);
        if accepted && !settled {
            let (never, mut fields) = (never_runs(), json!({}));
            if self.rng.random_bool(0.7) {
                fields = never[self.rng.random_range(0..never.len())].clone();
            }
            self.question(node, u, Question::Submit, &with(&spec, &fields));
        } else if settled {
            self.question(node, u, Question::Cancel, &spec);
        }
        self.submit_odd(&spec);
    }

    /// Has a user submit a job again with these fields.
    pub fn repeat(&mut self, u: usize, node: usize, fields: &Value) {
        let spec = with(&self.users[u].spec, fields);
        self.question(node, u, Question::Submit, &spec);
    }

    /// Submits a job that must be refused, to all controllers, and asks all about it.
    fn submit_odd(&mut self, spec: &Value) {
        self.injected.odd_jobs += 1;
        let job = format!("odd-{:06}", self.injected.odd_jobs);
        let mut odd = with(spec, &json!({"Ref": job, "Aguarda": null}));
        let (never, malformed) = (never_runs(), malformed());
        let which = self.rng.random_range(0..never.len() + malformed.len());
        let (status, field) = match never.get(which) {
            Some(fields) => {
                odd = with(&odd, fields);
                (422, "")
            }
            None => {
                let (field, value) = &malformed[which - never.len()];
                odd[*field] = value.clone();
                (400, *field)
            }
        };
        if self.safeguards.no_needs {
            odd["Aguarda"] = Value::Null;
        }
        for node in 0..NODES {
            let body = odd.to_string().into_bytes();
            let asked = Asked::Odd(status, field);
            self.ask(node, "POST", "/api/jobs", body, asked);
            let path = format!("/api/jobs/{job}");
            self.ask(node, "GET", &path, Vec::new(), Asked::Stranger);
            self.ask(
                node,
                "POST",
                &format!("{path}/cancel"),
                Vec::new(),
                Asked::Stranger,
            );
        }
    }

    /// What must be refused has been answered: with the status and the reason, or not yet.
    pub(crate) fn odd_answered(&mut self, expected: u16, field: &str, status: u16, body: &Value) {
        let why = body["error"].as_str().unwrap_or("");
        let later = matches!(status, 429 | 503);
        let refused = status == expected && !why.is_empty() && why.contains(field);
        self.odd_refused += u64::from(refused);
        if !later && !refused {
            self.broken.push(format!(
                "not refused: {expected} {field} is answered {status} {body}"
            ));
        }
    }

    /// Has a machine that runs something send a report that cannot be, with these fields, between two of its own.
    pub fn impossible_report(&mut self, at: u64, node: usize, fields: Value) {
        self.at(at, Event::OddReport(node, fields));
    }

    pub(crate) fn send_odd_report(&mut self, node: usize, fields: &Value) {
        let now = self.now;
        let busy = self.workers.values_mut().find(|w| !w.tasks.is_empty());
        let Some(report) = busy.map(|w| w.next_listing(now)) else {
            return;
        };
        let mut odd = with(&report, fields);
        for (field, value) in fields["task"].as_object().into_iter().flatten() {
            odd["Tarefas"][0][field] = value.clone();
        }
        let asked = Asked::Odd(400, "");
        self.ask(
            node,
            "POST",
            "/checkin",
            odd.to_string().into_bytes(),
            asked,
        );
    }
}
