//! Simulated worker of a machine with the published protocol.

use super::cloud::Machine;
use super::{LEASE_MS, NODES};
use serde_json::{Value, json};
use std::collections::BTreeSet;

/// A task on a worker.
#[derive(Clone)]
pub struct WorkerTask {
    /// Job id and task index, as `job/index`.
    pub name: String,
    /// Attempt of the task.
    pub attempt: u64,
    /// State as reported in heartbeats.
    pub state: &'static str,
    /// Why the task exited; empty before.
    pub reason: &'static str,
    /// When the current state ends.
    pub state_until: u64,
    /// When the command to start it was carried out.
    pub commanded_at: u64,
}

impl WorkerTask {
    /// Whether the task runs: from the time when its image is loaded until it exits.
    pub fn is_running(task: &WorkerTask) -> bool {
        task.state == "running" || task.state == "saving"
    }
}

/// The agent of one machine.
pub struct Worker {
    name: String,
    model: String,
    /// Zone of the machine.
    pub zone: String,
    /// Whether the machine is a spot instance.
    pub spot: bool,
    /// Index of the controller that gets the next heartbeat.
    pub node: usize,
    incarnation: u64,
    sequence: u64,
    fencing_token: u64,
    /// Earliest time for another immediate heartbeat because of a higher fencing token.
    token_heartbeat_due_at: u64,
    lease_start: u64,
    sent_at: u64,
    sent_incarnation: u64,
    heartbeat_number: u64,
    /// When the cloud interrupts the machine. `None` before the notice.
    pub interruption_at: Option<u64>,
    /// Number of the heartbeat without a response.
    pub in_flight: Option<u64>,
    /// The machine hangs until this time.
    pub hung_until: u64,
    /// Earliest time of the next heartbeat.
    pub next_heartbeat_at: u64,
    /// Whether every task fails on this machine.
    pub failing: bool,
    /// Whether tasks outlive the worker's lease.
    pub ignore_lease: bool,
    /// Approximate run time of a task.
    pub task_run_ms: u64,
    /// Additional run time per task index modulo 3.
    pub task_spread_ms: u64,
    /// Jobs whose tasks fail.
    pub failing_jobs: BTreeSet<String>,
    /// Jobs whose tasks run until they are stopped.
    pub endless_jobs: BTreeSet<String>,
    /// Tasks that were not reaped yet.
    pub tasks: Vec<WorkerTask>,
    /// Running tasks that were stopped by command since the last check.
    pub stopped_tasks: Vec<(String, u64)>,
}

impl Worker {
    /// The worker of a machine that has just booted. Its first heartbeat goes to `node`.
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
            token_heartbeat_due_at: 0,
            lease_start: now,
            sent_at: 0,
            sent_incarnation: 1,
            heartbeat_number: 0,
            interruption_at: None,
            in_flight: None,
            hung_until: 0,
            next_heartbeat_at: 0,
            failing: false,
            ignore_lease: false,
            task_run_ms: 3_000,
            task_spread_ms: 0,
            failing_jobs: BTreeSet::new(),
            endless_jobs: BTreeSet::new(),
            tasks: Vec::new(),
            stopped_tasks: Vec::new(),
        }
    }

    /// How often the lease has expired.
    pub fn lease_expirations(&self) -> u64 {
        self.incarnation - 1
    }

    /// Selects the controller for the next heartbeat; the one after the current if `None`.
    pub fn next_node(&mut self, to: Option<usize>) {
        self.node = to.unwrap_or((self.node + 1) % NODES);
    }

    /// If the lease has expired, kills all tasks and begins a new agent incarnation. Returns whether it did.
    pub fn expire_lease(&mut self, now: u64) -> bool {
        if now > self.lease_start + LEASE_MS && !self.ignore_lease {
            self.tasks.clear();
            self.incarnation += 1;
            self.sequence = 0;
            self.lease_start = now;
            return true;
        }
        false
    }

    /// Begins a heartbeat. Returns its number, its controller and its body.
    pub fn begin_heartbeat(&mut self, now: u64) -> (u64, usize, Vec<u8>) {
        self.heartbeat_number += 1;
        self.sent_at = now;
        self.sent_incarnation = self.incarnation;
        self.in_flight = Some(self.heartbeat_number);
        let body = self.next_heartbeat(now).to_string().into_bytes();
        (self.heartbeat_number, self.node, body)
    }

    /// The next heartbeat as the body of a request or of the response to a direct call.
    pub fn encode_heartbeat(&mut self, now: u64) -> Vec<u8> {
        self.next_heartbeat(now).to_string().into_bytes()
    }

    /// The next heartbeat, with an incremented sequence number.
    pub fn next_heartbeat(&mut self, now: u64) -> Value {
        self.sequence += 1;
        let tasks: Vec<Value> = self
            .tasks
            .iter()
            .map(|t| {
                json!({"Tarefa": t.name, "Tentativa": t.attempt, "Estado": t.state,
                    "Motivo": (t.state == "exited").then_some(t.reason)})
            })
            .collect();
        json!({"Prensa": self.name, "Address": super::direct_commands::worker_address(&self.name), "Modelo": self.model,
            "Parcela": self.zone, "Avulsas": self.spot, "Jornada": self.incarnation,
            "Contagem": self.sequence, "Selo": self.fencing_token, "AvisoS": self.interruption_at.map(|at| at.saturating_sub(now) as f64 / 1000.0), "Tarefas": tasks})
    }

    /// Applies a successful heartbeat response. Returns whether something changed.
    pub fn apply_response(&mut self, now: u64, body: &Value, ignore_fencing_tokens: bool) -> bool {
        let fencing_token = body["Selo"].as_u64().unwrap_or(0);
        self.expire_lease(now);
        if self.sent_incarnation != self.incarnation
            || (fencing_token < self.fencing_token && !ignore_fencing_tokens)
        {
            return false;
        }
        self.lease_start = self.sent_at;
        self.apply_commands(now, body)
    }

    /// Applies commands that a controller sent directly. Returns the status of the response.
    pub fn apply_direct_commands(&mut self, now: u64, body: &Value) -> u16 {
        let (Some(fencing_token), Some(incarnation)) =
            (body["Selo"].as_u64(), body["Jornada"].as_u64())
        else {
            return 400;
        };
        if fencing_token < self.fencing_token || incarnation != self.incarnation {
            return 409;
        }
        self.apply_commands(now, body);
        200
    }

    /// Applies the commands in a body. Returns whether something changed.
    fn apply_commands(&mut self, now: u64, body: &Value) -> bool {
        let fencing_token = body["Selo"].as_u64().unwrap_or(0);
        // A higher fencing token triggers an immediate heartbeat at most once per half lease.
        let mut changed = fencing_token > self.fencing_token && now >= self.token_heartbeat_due_at;
        if changed {
            self.token_heartbeat_due_at = now + LEASE_MS / 2;
        }
        self.fencing_token = self.fencing_token.max(fencing_token);
        for command in body["Ordens"].as_array().into_iter().flatten() {
            let name = command["Tarefa"].as_str().unwrap_or("").to_string();
            let attempt = command["Tentativa"].as_u64().unwrap_or(0);
            let at = self
                .tasks
                .iter()
                .position(|t| t.name == name && t.attempt == attempt);
            match (command["Ordem"].as_str(), at) {
                (Some("run"), None) => {
                    let already_present = self
                        .tasks
                        .iter()
                        .any(|t| t.name == name && t.state != "exited");
                    let job = name.split('/').next().unwrap_or("");
                    let fails = self.failing || self.failing_jobs.contains(job);
                    let (state, reason) = match (already_present, fails) {
                        (true, _) => ("exited", "in_use"),
                        (_, true) => ("exited", "error"),
                        _ => ("pulling", ""),
                    };
                    self.tasks.push(WorkerTask {
                        name,
                        attempt,
                        state,
                        reason,
                        state_until: now + 800,
                        commanded_at: now,
                    });
                    changed = true;
                }
                (Some("halt"), Some(at)) if self.tasks[at].state != "exited" => {
                    if WorkerTask::is_running(&self.tasks[at]) {
                        self.stopped_tasks.push((name, attempt));
                    }
                    self.tasks[at].state = "exited";
                    self.tasks[at].reason = "stopped";
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

    /// Advances the tasks. Returns whether something changed and when the next change is due.
    pub fn progress(&mut self, now: u64) -> (bool, Option<u64>) {
        let mut changed = false;
        let mut next = None;
        for task in &mut self.tasks {
            if task.state == "pulling" && task.state_until <= now {
                task.state = "running";
                let (job, number) = task.name.split_once('/').unwrap_or(("", "0"));
                let number: u64 = number.parse().unwrap_or(0);
                task.state_until = match self.endless_jobs.contains(job) {
                    true => u64::MAX,
                    false => {
                        now + self.task_run_ms
                            + 700 * (task.name.len() as u64 % 3)
                            + number % 3 * self.task_spread_ms
                    }
                };
                changed = true;
            } else if task.state == "running" && task.state_until <= now {
                task.state = "exited";
                task.reason = "done";
                changed = true;
            }
            let has_end = task.state != "exited" && task.state_until < u64::MAX;
            if has_end && next.is_none_or(|n| task.state_until < n) {
                next = Some(task.state_until);
            }
        }
        (changed, next)
    }
}

impl Worker {
    /// Describes the worker for a failing test's message.
    pub fn describe(&self, name: &str) -> String {
        format!(
            "{name} zone={} spot={} node={} incarnation={} token={} tasks={}",
            self.zone,
            self.spot,
            self.node,
            self.incarnation,
            self.fencing_token,
            self.tasks.len()
        )
    }
}
