//! Operators that drain machines and set budgets. No disruption budget may be exceeded at any time, judged by
//! the tasks that actually run.

use super::{Event, NODES, PendingRequest, Simulation};
use rand::RngExt;
use serde_json::{Value, json};
use snowshelf_drain::budget::Budget;
use snowshelf_model::records::ShardAllocation;
use std::collections::{BTreeMap, BTreeSet};

/// One request of an operator.
pub struct Operator {
    method: &'static str,
    path: String,
    body: Value,
    /// Name of the drain to read once it was accepted.
    drain: Option<String>,
    /// Status and body of the final response.
    pub outcome: Option<(u16, Value)>,
    /// Last response about the drain.
    pub last_response: Value,
}

impl Operator {
    /// Whether the request creates a drain.
    pub fn is_drain(&self) -> bool {
        self.drain.is_some()
    }
    /// Last reported state of the drain, or an empty string.
    pub fn state(&self) -> &str {
        self.last_response["state"].as_str().unwrap_or("")
    }
}

/// Tasks that were stopped on purpose.
#[derive(Default)]
pub struct Disruptions {
    /// Time, team and CPUs of each stop, in order.
    stops: Vec<(u64, String, f64)>,
    /// Stopped tasks that do not run again yet: team, job, CPUs.
    disrupted: BTreeMap<String, (String, String, f64)>,
    /// Budgets set by operators and the time from which stops count against them. Tasks that were charged
    /// before may still be stopped for a while.
    budgets_set: BTreeMap<String, (u64, Budget)>,
    /// Most CPUs of one team that were stopped and not running again at the same time.
    pub most_disrupted_cpus: f64,
}

impl Disruptions {
    /// Whether a stopped task does not run again yet.
    pub fn any_disrupted(&self) -> bool {
        !self.disrupted.is_empty()
    }
    /// Number of stops.
    pub fn stops(&self) -> usize {
        self.stops.len()
    }
    /// Number of a team's stops after `at`.
    pub fn stops_since(&self, at: u64, team: &str) -> usize {
        let later = self.stops.iter().filter(|(t, _, _)| *t > at);
        later.filter(|(_, of, _)| of == team).count()
    }
}

impl Simulation {
    /// Adds a request for a drain. Returns the index of the operator.
    pub fn add_drain(&mut self, at: u64, body: Value) -> usize {
        let name = body["name"].as_str().unwrap_or("").to_string();
        self.add_operator(at, "POST", "/api/drains".into(), body, Some(name))
    }

    /// Adds a command for a drain, such as `pause`. Returns the index of the operator.
    pub fn command_drain(&mut self, at: u64, name: &str, command: &str) -> usize {
        let path = format!("/api/drains/{name}/{command}");
        self.add_operator(at, "POST", path, Value::Null, None)
    }

    /// Adds a request that sets a team's budget. Returns the index of the operator.
    pub fn set_budget(&mut self, at: u64, team: &str, budget: Budget) -> usize {
        let path = format!("/api/budgets/{team}");
        self.add_operator(at, "PUT", path, json!({"budget": budget}), None)
    }

    fn add_operator(
        &mut self,
        at: u64,
        method: &'static str,
        path: String,
        body: Value,
        drain: Option<String>,
    ) -> usize {
        self.operators.push(Operator {
            method,
            path,
            body,
            drain,
            outcome: None,
            last_response: Value::Null,
        });
        self.schedule_at(at, Event::OperatorStep(self.operators.len() - 1));
        self.operators.len() - 1
    }

    /// Sends the request, or reads the drain once it was accepted.
    pub(super) fn operator_step(&mut self, o: usize) {
        let node = self.rng.random_range(0..NODES);
        let operator = &self.operators[o];
        let (method, path) = (operator.method, operator.path.clone());
        match (&operator.outcome, &operator.drain) {
            (None, _) => {
                let body = operator.body.to_string().into_bytes();
                self.send_request(
                    node,
                    method,
                    &path,
                    body,
                    PendingRequest::OperatorRequest(o),
                );
            }
            (Some((200 | 201, _)), Some(drain)) => {
                let path = format!("/api/drains/{drain}");
                self.send_request(node, "GET", &path, Vec::new(), PendingRequest::ReadDrain(o));
            }
            _ => return,
        }
        self.schedule_after(2_000, Event::OperatorStep(o));
    }

    /// Handles the response to an operator's request.
    pub(super) fn operator_response(&mut self, o: usize, status: u16, body: Value) {
        let now = self.now;
        let operator = &mut self.operators[o];
        if operator.outcome.is_some() || !matches!(status, 200 | 201 | 400 | 404 | 409 | 422) {
            return;
        }
        // The path does not exist until the feature is enabled.
        if status == 404 && body["error"] == "no such path" {
            return;
        }
        operator.outcome = Some((status, body.clone()));
        operator.last_response = body;
        let team = operator.path.strip_prefix("/api/budgets/");
        if let Some(team) = team.filter(|_| status == 200)
            && let Ok(budget) = serde_json::from_value(operator.body["budget"].clone())
        {
            self.disruptions
                .budgets_set
                .insert(team.to_string(), (now, budget));
        }
    }

    /// An accepted drain must never be lost.
    /// Handles a response about an accepted drain.
    pub(super) fn drain_status_response(&mut self, o: usize, status: u16, body: Value) {
        let disabled = body["error"] == "no such path";
        if status == 404 && !disabled {
            let lost = format!("drain lost: {}", self.operators[o].path);
            self.violations.push(lost);
        } else if status == 200 {
            self.operators[o].last_response = body;
        }
    }

    /// Records running tasks that a machine was told to stop. A stop counts as a disruption if the user still
    /// wants the job and the records place the task on this machine.
    pub(super) fn record_disruptions(&mut self, machine: &str, stopped_tasks: Vec<(String, u64)>) {
        let worker = self.workers.get(machine);
        if worker.is_some_and(|w| w.interruption_at.is_some()) {
            // The cloud interrupts the machine, so the tasks would be lost anyway.
            return;
        }
        let zone = worker.map(|w| w.zone.clone());
        if !self.conditions.drains || zone.is_none_or(|zone| self.is_closing(&zone)) {
            // Stopped for a window or a reservation, which are not subject to budgets.
            return;
        }
        for (task, attempt) in stopped_tasks {
            let (job, number) = task.split_once('/').unwrap_or(("", "0"));
            let Some(u) = self.user_of_job.get(job).copied() else {
                continue;
            };
            if self.users[u].cancel_requested || self.dependency_cancel(u).is_some() {
                continue;
            }
            let number = snowshelf_model::ids::TaskIndex(number.parse().unwrap_or(0));
            let name = snowshelf_model::ids::MachineId::new(machine);
            let shard_id = snowshelf_model::ids::shard_of(machine, NODES as u32);
            let allocation = self.kv_store.value(&format!("alloc/{shard_id}/{job}"));
            let allocation =
                allocation.and_then(|v| serde_json::from_value::<ShardAllocation>(v).ok());
            let recorded = allocation.and_then(|a| a.started_on(&name, number));
            if recorded.is_none_or(|a| u64::from(a.0) != attempt) {
                continue;
            }
            let user = &self.users[u];
            let team = user.spec["Cuadrilla"].as_str().unwrap_or("").to_string();
            let stop = (self.now, team.clone(), user.cpus);
            self.disruptions.stops.push(stop);
            let disrupted = (team, job.to_string(), user.cpus);
            self.disruptions.disrupted.insert(task, disrupted);
        }
    }

    /// Checks the tasks stopped on purpose against the budgets: at once, within a stretch of time, and per
    /// job.
    pub(super) fn check_budgets(
        &mut self,
        running: &BTreeSet<String>,
        violations: &mut Vec<String>,
    ) {
        if self.disruptions.stops.is_empty() {
            return;
        }
        let now = self.now;
        let Disruptions {
            stops,
            disrupted,
            budgets_set,
            most_disrupted_cpus,
        } = &mut self.disruptions;
        let (users, user_of_job) = (&self.users, &self.user_of_job);
        let completed = &self.completed_tasks;
        disrupted.retain(|task, (_, job, _)| {
            let number = task.split_once('/').and_then(|(_, n)| n.parse().ok());
            let done = completed.get(job.as_str()).zip(number);
            let done = done.is_some_and(|(f, n)| f.contains(&n));
            let user = user_of_job.get(job.as_str()).map(|u| &users[*u]);
            !running.contains(task) && !done && user.is_some_and(|u| !u.cancel_requested)
        });
        let mut sums: BTreeMap<&str, (f64, u32)> = BTreeMap::new();
        let mut jobs: BTreeMap<&str, u32> = BTreeMap::new();
        for (team, job, cpus) in disrupted.values() {
            let sum = sums.entry(team).or_default();
            sum.0 += cpus;
            sum.1 += 1;
            *jobs.entry(job).or_default() += 1;
        }
        for (team, (cpus, tasks)) in sums {
            *most_disrupted_cpus = most_disrupted_cpus.max(cpus);
            // A budget that was set during the simulation counts only for stops after it.
            let Some(budget) = (match budgets_set.get(team) {
                Some((at, b)) if stops.iter().all(|(t, of, _)| of != team || t > at) => Some(b),
                Some(_) => None,
                None => Some(&self.budget),
            }) else {
                continue;
            };
            if cpus > budget.cpus + 1e-6 || tasks > budget.tasks {
                violations.push(format!(
                    "budget: {team} has {cpus} CPUs, {tasks} tasks away"
                ));
            }
            let from = now.saturating_sub((budget.stretch_s * 1000.0) as u64);
            let recent = stops.iter().filter(|(t, of, _)| of == team && *t > from);
            let sum: f64 = recent.map(|(_, _, cpus)| cpus).sum();
            if sum > budget.stretch_cpus + 1e-6 {
                violations.push(format!("budget: {team} lost {sum} CPUs in a stretch"));
            }
        }
        for (job, n) in jobs {
            let tasks = user_of_job.get(job).map_or(0, |u| users[*u].tasks);
            let allowed = ((self.budget.job_share * f64::from(tasks)) as u32).max(1);
            if n > allowed {
                violations.push(format!("budget: {n} of {tasks} tasks of {job} are away"));
            }
        }
    }
}

impl Simulation {
    /// Lets the cloud announce the interruption of a machine at `at` and carry it out `lead_ms` later.
    pub fn interrupt_machine_at(&mut self, at: u64, name: &str, lead_ms: u64) {
        self.schedule_at(
            at,
            Event::InterruptionNotice(name.to_string(), at + lead_ms),
        );
    }

    /// Lets a machine fail with all its tasks.
    pub fn fail_machine_at(&mut self, at: u64, name: &str) {
        self.schedule_at(at, Event::MachineFails(name.to_string()));
    }
}
