//! Operators who drain machines and set budgets, and what must hold: no budget is passed at any moment,
//! by what really runs.

use super::{Asked, Event, NODES, Simulation};
use rand::RngExt;
use serde_json::{Value, json};
use snowshelf_drain::budget::Budget;
use snowshelf_model::records::ShardAllocation;
use std::collections::{BTreeMap, BTreeSet};

pub struct Operator {
    method: &'static str,
    path: String,
    body: Value,
    /// The drain to ask about, once it has been taken.
    drain: Option<String>,
    /// Status and body of the answer that settled it.
    pub told: Option<(u16, Value)>,
    /// What was last told of the drain.
    pub shown: Value,
}

impl Operator {
    pub fn is_drain(&self) -> bool {
        self.drain.is_some()
    }
    pub fn state(&self) -> &str {
        self.shown["state"].as_str().unwrap_or("")
    }
}

/// Tasks that were stopped on purpose.
#[derive(Default)]
pub struct Disrupted {
    /// When, whose and how many CPUs, in order.
    stops: Vec<(u64, String, f64)>,
    /// Tasks that do not run again yet: team, job, CPUs.
    away: BTreeMap<String, (String, String, f64)>,
    /// Budgets that operators have set, and from when on stops are held against them: what was charged before
    /// may be commanded for a while.
    set: BTreeMap<String, (u64, Budget)>,
    pub most_away: f64,
}

impl Disrupted {
    pub fn any_away(&self) -> bool {
        !self.away.is_empty()
    }
    pub fn stops(&self) -> usize {
        self.stops.len()
    }
    pub fn stops_since(&self, at: u64, team: &str) -> usize {
        let later = self.stops.iter().filter(|(t, _, _)| *t > at);
        later.filter(|(_, of, _)| of == team).count()
    }
}

impl Simulation {
    pub fn add_drain(&mut self, at: u64, body: Value) -> usize {
        let name = body["name"].as_str().unwrap_or("").to_string();
        self.operator(at, "POST", "/api/drains".into(), body, Some(name))
    }

    pub fn tell_drain(&mut self, at: u64, name: &str, word: &str) -> usize {
        let path = format!("/api/drains/{name}/{word}");
        self.operator(at, "POST", path, Value::Null, None)
    }

    pub fn set_budget(&mut self, at: u64, team: &str, budget: Budget) -> usize {
        let path = format!("/api/budgets/{team}");
        self.operator(at, "PUT", path, json!({"budget": budget}), None)
    }

    fn operator(
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
            told: None,
            shown: Value::Null,
        });
        self.at(at, Event::OperatorNext(self.operators.len() - 1));
        self.operators.len() - 1
    }

    pub(super) fn operator_next(&mut self, o: usize) {
        let node = self.rng.random_range(0..NODES);
        let operator = &self.operators[o];
        let (method, path) = (operator.method, operator.path.clone());
        match (&operator.told, &operator.drain) {
            (None, _) => {
                let body = operator.body.to_string().into_bytes();
                self.ask(node, method, &path, body, Asked::Operator(o));
            }
            (Some((200 | 201, _)), Some(drain)) => {
                let path = format!("/api/drains/{drain}");
                self.ask(node, "GET", &path, Vec::new(), Asked::Drained(o));
            }
            _ => return,
        }
        self.after(2_000, Event::OperatorNext(o));
    }

    pub(super) fn operator_told(&mut self, o: usize, status: u16, body: Value) {
        let now = self.now;
        let operator = &mut self.operators[o];
        if operator.told.is_some() || !matches!(status, 200 | 201 | 400 | 404 | 409 | 422) {
            return;
        }
        // Where the feature is not on yet the path does not exist.
        if status == 404 && body["error"] == "no such path" {
            return;
        }
        operator.told = Some((status, body.clone()));
        operator.shown = body;
        let team = operator.path.strip_prefix("/api/budgets/");
        if let Some(team) = team.filter(|_| status == 200)
            && let Ok(budget) = serde_json::from_value(operator.body["budget"].clone())
        {
            self.disrupted.set.insert(team.to_string(), (now, budget));
        }
    }

    /// What was taken is there for good.
    pub(super) fn still_drained(&mut self, o: usize, status: u16, body: Value) {
        let unknown = body["error"] == "no such path";
        if status == 404 && !unknown {
            let lost = format!("drain lost: {}", self.operators[o].path);
            self.broken.push(lost);
        } else if status == 200 {
            self.operators[o].shown = body;
        }
    }

    /// Running tasks that a machine was just told to stop: those that their users still want and that the
    /// records have there were stopped on purpose.
    pub(super) fn note_halted(&mut self, machine: &str, halted: Vec<(String, u64)>) {
        let worker = self.workers.get(machine);
        if worker.is_some_and(|w| w.taken_at.is_some()) {
            // The cloud takes it: what was stopped there would be lost.
            return;
        }
        let zone = worker.map(|w| w.zone.clone());
        if !self.conditions.drains || zone.is_none_or(|zone| self.closes(&zone)) {
            // For a window or a reservation, which do not wait for budgets.
            return;
        }
        for (task, attempt) in halted {
            let (job, number) = task.split_once('/').unwrap_or(("", "0"));
            let Some(u) = self.by_name.get(job).copied() else {
                continue;
            };
            if self.users[u].wants_cancel || self.cancelled_above(u).is_some() {
                continue;
            }
            let number = snowshelf_model::ids::TaskIndex(number.parse().unwrap_or(0));
            let name = snowshelf_model::ids::MachineId::new(machine);
            let shard_id = snowshelf_model::ids::shard_of(machine, NODES as u32);
            let share = self.state.value(&format!("alloc/{shard_id}/{job}"));
            let share = share.and_then(|v| serde_json::from_value::<ShardAllocation>(v).ok());
            let recorded = share.and_then(|a| a.started_on(&name, number));
            if recorded.is_none_or(|a| u64::from(a.0) != attempt) {
                continue;
            }
            let user = &self.users[u];
            let team = user.spec["Cuadrilla"].as_str().unwrap_or("").to_string();
            let stop = (self.now, team.clone(), user.cpus);
            self.disrupted.stops.push(stop);
            let away = (team, job.to_string(), user.cpus);
            self.disrupted.away.insert(task, away);
        }
    }

    /// No team has more away on purpose, at once, lately or of one job, than its budget says.
    pub(super) fn check_budgets(&mut self, on: &BTreeSet<String>, broken: &mut Vec<String>) {
        if self.disrupted.stops.is_empty() {
            return;
        }
        let now = self.now;
        let Disrupted {
            stops,
            away,
            set,
            most_away,
        } = &mut self.disrupted;
        let (users, by_name) = (&self.users, &self.by_name);
        let finished = &self.finished;
        away.retain(|task, (_, job, _)| {
            let number = task.split_once('/').and_then(|(_, n)| n.parse().ok());
            let done = finished.get(job.as_str()).zip(number);
            let done = done.is_some_and(|(f, n)| f.contains(&n));
            let user = by_name.get(job.as_str()).map(|u| &users[*u]);
            !on.contains(task) && !done && user.is_some_and(|u| !u.wants_cancel)
        });
        let mut sums: BTreeMap<&str, (f64, u32)> = BTreeMap::new();
        let mut jobs: BTreeMap<&str, u32> = BTreeMap::new();
        for (team, job, cpus) in away.values() {
            let sum = sums.entry(team).or_default();
            sum.0 += cpus;
            sum.1 += 1;
            *jobs.entry(job).or_default() += 1;
        }
        for (team, (cpus, tasks)) in sums {
            *most_away = most_away.max(cpus);
            // A budget that was lowered meanwhile holds for what was stopped after it.
            let Some(budget) = (match set.get(team) {
                Some((at, b)) if stops.iter().all(|(t, of, _)| of != team || t > at) => Some(b),
                Some(_) => None,
                None => Some(&self.budget),
            }) else {
                continue;
            };
            if cpus > budget.cpus + 1e-6 || tasks > budget.tasks {
                broken.push(format!(
                    "budget: {team} has {cpus} CPUs, {tasks} tasks away"
                ));
            }
            let from = now.saturating_sub((budget.stretch_s * 1000.0) as u64);
            let lately = stops.iter().filter(|(t, of, _)| of == team && *t > from);
            let sum: f64 = lately.map(|(_, _, cpus)| cpus).sum();
            if sum > budget.stretch_cpus + 1e-6 {
                broken.push(format!("budget: {team} lost {sum} CPUs in a stretch"));
            }
        }
        for (job, n) in jobs {
            let tasks = by_name.get(job).map_or(0, |u| users[*u].tasks);
            let most = ((self.budget.job_share * f64::from(tasks)) as u32).max(1);
            if n > most {
                broken.push(format!("budget: {n} of {tasks} tasks of {job} are away"));
            }
        }
    }
}

impl Simulation {
    /// Lets the cloud take a machine back, `lead_ms` after it has said so.
    pub fn notice_at(&mut self, at: u64, name: &str, lead_ms: u64) {
        self.at(at, Event::Notice(name.to_string(), at + lead_ms));
    }

    /// Lets a machine stop with all that is on it.
    pub fn die_at(&mut self, at: u64, name: &str) {
        self.at(at, Event::Die(name.to_string()));
    }
}
