//! A stand-in for a machine's worker, after its published protocol.

use super::cloud::Machine;
use super::{LEASE_MS, NODES};
use serde_json::{Value, json};
use std::collections::BTreeSet;

#[derive(Clone)]
pub struct WorkerTask {
    pub name: String,
    pub attempt: u64,
    pub state: &'static str,
    pub why: &'static str,
    pub until: u64,
    /// When its command was carried out.
    pub commanded: u64,
}

impl WorkerTask {
    /// On its machine: from the moment it has its image until it exits.
    pub fn is_on(task: &WorkerTask) -> bool {
        task.state == "running" || task.state == "saving"
    }
}

pub struct Worker {
    name: String,
    model: String,
    pub zone: String,
    pub spot: bool,
    pub node: usize,
    incarnation: u64,
    sequence: u64,
    fencing_token: u64,
    /// From then on a higher token is reported at once.
    token_news_at: u64,
    lease_from: u64,
    sent: u64,
    sent_incarnation: u64,
    number: u64,
    /// When the cloud takes the machine back, once that has been noticed.
    pub taken_at: Option<u64>,
    pub in_flight: Option<u64>,
    pub hung_until: u64,
    pub next_report: u64,
    pub sick: bool,
    pub no_leases: bool,
    /// How long a task runs, about.
    pub run_ms: u64,
    /// How much longer a job's second and third task run than the one before; the others like these.
    pub spread_ms: u64,
    /// Jobs whose tasks fail.
    pub bad: BTreeSet<String>,
    /// Jobs whose tasks do not end by themselves.
    pub endless: BTreeSet<String>,
    pub tasks: Vec<WorkerTask>,
    /// Running tasks that were stopped by command since it was last looked.
    pub halted: Vec<(String, u64)>,
}

impl Worker {
    pub fn new(name: &str, machine: &Machine, node: usize, now: u64) -> Worker {
        Worker {
            name: name.into(),
            model: machine.model.clone(),
            zone: machine.zone.clone(),
            spot: machine.spot,
            node,
            incarnation: 1,
            sequence: 0,
            fencing_token: 0,
            token_news_at: 0,
            lease_from: now,
            sent: 0,
            sent_incarnation: 1,
            number: 0,
            taken_at: None,
            in_flight: None,
            hung_until: 0,
            next_report: 0,
            sick: false,
            no_leases: false,
            run_ms: 3_000,
            spread_ms: 0,
            bad: BTreeSet::new(),
            endless: BTreeSet::new(),
            tasks: Vec::new(),
            halted: Vec::new(),
        }
    }

    /// How often its lease has run out.
    pub fn expired(&self) -> u64 {
        self.incarnation - 1
    }

    pub fn next_node(&mut self, to: Option<usize>) {
        self.node = to.unwrap_or((self.node + 1) % NODES);
    }

    /// Without an answered report for a lease, everything is killed and a new session begins; whether so.
    pub fn expire(&mut self, now: u64) -> bool {
        if now > self.lease_from + LEASE_MS && !self.no_leases {
            self.tasks.clear();
            self.incarnation += 1;
            self.sequence = 0;
            self.lease_from = now;
            return true;
        }
        false
    }

    pub fn begin_report(&mut self, now: u64) -> (u64, usize, Vec<u8>) {
        self.number += 1;
        self.sent = now;
        self.sent_incarnation = self.incarnation;
        self.in_flight = Some(self.number);
        let body = self.next_listing(now).to_string().into_bytes();
        (self.number, self.node, body)
    }

    /// A report, or the answer to a direct call.
    pub fn now_says(&mut self, now: u64) -> Vec<u8> {
        self.next_listing(now).to_string().into_bytes()
    }

    /// What it reports now, with the next counter.
    pub fn next_listing(&mut self, now: u64) -> Value {
        self.sequence += 1;
        let tasks: Vec<Value> = self
            .tasks
            .iter()
            .map(|t| {
                json!({"Tarefa": t.name, "Tentativa": t.attempt, "Estado": t.state,
                    "Motivo": (t.state == "exited").then_some(t.why)})
            })
            .collect();
        json!({"Prensa": self.name, "Address": super::direct::address(&self.name), "Modelo": self.model,
            "Parcela": self.zone, "Avulsas": self.spot, "Jornada": self.incarnation,
            "Contagem": self.sequence, "Selo": self.fencing_token, "AvisoS": self.taken_at.map(|at| at.saturating_sub(now) as f64 / 1000.0), "Tarefas": tasks})
    }

    /// Takes a 200 in; true if something changed.
    pub fn accept(&mut self, now: u64, body: &Value, no_tokens: bool) -> bool {
        let fencing_token = body["Selo"].as_u64().unwrap_or(0);
        self.expire(now);
        if self.sent_incarnation != self.incarnation
            || (fencing_token < self.fencing_token && !no_tokens)
        {
            return false;
        }
        self.lease_from = self.sent;
        self.obey(now, body)
    }

    /// Takes commands in that were sent straight here; the status.
    pub fn ordered(&mut self, now: u64, body: &Value) -> u16 {
        let (Some(fencing_token), Some(incarnation)) =
            (body["Selo"].as_u64(), body["Jornada"].as_u64())
        else {
            return 400;
        };
        if fencing_token < self.fencing_token || incarnation != self.incarnation {
            return 409;
        }
        self.obey(now, body);
        200
    }

    fn obey(&mut self, now: u64, body: &Value) -> bool {
        let fencing_token = body["Selo"].as_u64().unwrap_or(0);
        // A higher token is news at most once in half of a lease.
        let mut changed = fencing_token > self.fencing_token && now >= self.token_news_at;
        if changed {
            self.token_news_at = now + LEASE_MS / 2;
        }
        self.fencing_token = self.fencing_token.max(fencing_token);
        for order in body["Ordens"].as_array().into_iter().flatten() {
            let name = order["Tarefa"].as_str().unwrap_or("").to_string();
            let attempt = order["Tentativa"].as_u64().unwrap_or(0);
            let at = self
                .tasks
                .iter()
                .position(|t| t.name == name && t.attempt == attempt);
            match (order["Ordem"].as_str(), at) {
                (Some("run"), None) => {
                    let other = self
                        .tasks
                        .iter()
                        .any(|t| t.name == name && t.state != "exited");
                    let job = name.split('/').next().unwrap_or("");
                    let fails = self.sick || self.bad.contains(job);
                    let (state, why) = match (other, fails) {
                        (true, _) => ("exited", "in_use"),
                        (_, true) => ("exited", "error"),
                        _ => ("pulling", ""),
                    };
                    self.tasks.push(WorkerTask {
                        name,
                        attempt,
                        state,
                        why,
                        until: now + 800,
                        commanded: now,
                    });
                    changed = true;
                }
                (Some("halt"), Some(at)) if self.tasks[at].state != "exited" => {
                    if WorkerTask::is_on(&self.tasks[at]) {
                        self.halted.push((name, attempt));
                    }
                    self.tasks[at].state = "exited";
                    self.tasks[at].why = "stopped";
                    changed = true;
                }
                (Some("reap"), Some(at)) if self.tasks[at].state == "exited" => {
                    self.tasks.remove(at);
                    changed = true;
                }
                _ => {}
            }
        }
        changed
    }

    /// Lets tasks go on; whether something changed, and when something will.
    pub fn progress(&mut self, now: u64) -> (bool, Option<u64>) {
        let mut changed = false;
        let mut next = None;
        for task in &mut self.tasks {
            if task.state == "pulling" && task.until <= now {
                task.state = "running";
                let (job, number) = task.name.split_once('/').unwrap_or(("", "0"));
                let number: u64 = number.parse().unwrap_or(0);
                task.until = match self.endless.contains(job) {
                    true => u64::MAX,
                    false => {
                        now + self.run_ms
                            + 700 * (task.name.len() as u64 % 3)
                            + number % 3 * self.spread_ms
                    }
                };
                changed = true;
            } else if task.state == "running" && task.until <= now {
                task.state = "exited";
                task.why = "done";
                changed = true;
            }
            let ends = task.state != "exited" && task.until < u64::MAX;
            if ends && next.is_none_or(|n| task.until < n) {
                next = Some(task.until);
            }
        }
        (changed, next)
    }
}

impl Worker {
    pub fn describe(&self, name: &str) -> String {
        format!(
            "{name} zone={} spot={} node={} session={} token={} tasks={}",
            self.zone,
            self.spot,
            self.node,
            self.incarnation,
            self.fencing_token,
            self.tasks.len()
        )
    }
}
