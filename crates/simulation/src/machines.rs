//! The cloud and the workers on its machines.

use super::*;

impl Simulation {
    pub(crate) fn cloud_call(&mut self, method: Method, path: &str, body: &[u8]) -> (u16, Vec<u8>) {
        let value: Value = serde_json::from_slice(body).unwrap_or(Value::Null);
        match (method, path.split('?').next().unwrap_or("")) {
            (Method::Get, "/machine_types") => (200, cloud::types()),
            (Method::Get, "/hosts") => (200, self.cloud.list(self.now, path)),
            (Method::Post, "/hosts") => {
                let (reply, new) = self.cloud.rent(self.now, &value);
                for name in new {
                    let ms = self.boot_ms();
                    self.after(ms, Event::Boot(name));
                }
                reply
            }
            (Method::Post, "/hosts/release") => {
                for name in value["Prensas"].as_array().into_iter().flatten() {
                    let name = name.as_str().unwrap_or("").to_string();
                    self.touched = true;
                    self.cloud.release(self.now, &name);
                    if !self.safeguards.false_returns {
                        let gone = self.workers.remove(&name);
                        self.expired += gone.map_or(0, |w| w.expired());
                    }
                }
                (200, b"{}".to_vec())
            }
            _ => (400, b"{}".to_vec()),
        }
    }

    pub(crate) fn boot(&mut self, name: &str) {
        let Some(machine) = self.cloud.boot(self.now, name) else {
            return;
        };
        let start = self.rng.random_range(0..NODES);
        let mut worker = Worker::new(name, &machine, start, self.now);
        worker.run_ms = self.run_ms;
        worker.no_leases = self.safeguards.no_leases;
        worker.spread_ms = self.spread_ms;
        worker.bad = self.bad_jobs.clone();
        worker.endless = self.endless.clone();
        self.workers.insert(name.to_string(), worker);
        self.after(1, Event::Heartbeat(name.to_string()));
        if self.conditions.machine_faults && self.now < self.quiet_at {
            if self.rng.random_bool(0.3) {
                let ms = self.rng.random_range(1_000..20_000u64);
                let at = self.now + self.rng.random_range(3_000..40_000u64);
                self.at(at, Event::Hang(name.to_string(), ms));
            }
            let sick = self.rng.random_bool(0.1);
            if let Some(w) = self.workers.get_mut(name) {
                w.sick = sick;
            }
        }
    }

    pub(crate) fn report(&mut self, name: &str) {
        let now = self.now;
        let Some(w) = self.workers.get_mut(name) else {
            return;
        };
        if w.hung_until > now || w.in_flight.is_some() {
            return;
        }
        if now < w.next_report {
            let at = w.next_report;
            self.at(at, Event::Heartbeat(name.to_string()));
            return;
        }
        self.touched |= w.expire(now);
        let (number, node, body) = w.begin_report(now);
        let zone = self.workers.get(name).map(|w| &w.zone);
        let unheard = self.injected.mute_machines.contains(name)
            || zone.is_some_and(|zone| self.is_between(zone, node));
        self.keep_report(name, &body);
        if !unheard {
            self.copy_report(node, &body);
        }
        let sent = unheard || {
            let lost = now < self.quiet_at && self.rng.random_bool(self.conditions.lost);
            !lost && self.send_report(node, name, number, body)
        };
        self.end_met(name);
        if sent {
            self.after(4_000, Event::ReportTimeout(name.to_string(), number));
        } else if let Some(w) = self.workers.get_mut(name) {
            w.in_flight = None;
            w.next_node(None);
            self.after(1_000, Event::Heartbeat(name.to_string()));
        }
    }

    pub(crate) fn report_arrives(
        &mut self,
        node: usize,
        name: String,
        number: u64,
        body: Vec<u8>,
    ) -> bool {
        self.ask(node, "POST", "/checkin", body, Asked::Worker(name, number))
    }

    pub(crate) fn worker_hears(&mut self, name: &str, number: u64, status: u16, body: &[u8]) {
        let now = self.now;
        let deaf = |w: &Worker| self.is_between(&w.zone, w.node);
        let lost = self.workers.get(name).is_some_and(deaf)
            || self.injected.deaf_machines.contains(name)
            || (now < self.quiet_at && self.rng.random_bool(self.conditions.lost));
        let no_tokens = self.safeguards.no_tokens;
        let Some(w) = self.workers.get_mut(name) else {
            return;
        };
        if w.in_flight != Some(number) || lost || w.hung_until > now {
            return;
        }
        w.in_flight = None;
        let mut next = 1_000;
        let mut halted = Vec::new();
        let mut begun_now: Vec<String> = Vec::new();
        match status {
            200 => {
                let value: Value = serde_json::from_slice(body).unwrap_or(Value::Null);
                let before = w.tasks.len();
                let changed = w.accept(now, &value, no_tokens);
                self.touched = true;
                self.starts += (w.tasks.len().saturating_sub(before)) as u64;
                let begun = w
                    .tasks
                    .iter()
                    .filter(|t| t.state == "pulling" && t.commanded == now);
                begun_now = begun.map(|t| t.name.clone()).collect();
                halted = std::mem::take(&mut w.halted);
                next = if changed { 500 } else { REPORT_MS };
                w.next_report = now + if changed { 500 } else { 0 };
            }
            421 => {
                let value: Value = serde_json::from_slice(body).unwrap_or(Value::Null);
                let to = value["RespondeA"]
                    .as_str()
                    .and_then(|n| n[1..].parse().ok());
                if let Some(to) = to.filter(|to| *to != w.node) {
                    w.node = to;
                    next = 100;
                } else {
                    w.next_node(None);
                }
            }
            _ => w.next_node(None),
        }
        self.after(next, Event::Heartbeat(name.to_string()));
        self.note_halted(name, halted);
        self.note_begun(&begun_now);
        self.worker_wakes(name);
    }

    /// Counts starts of tasks whose users have been told that they are cancelled.
    fn note_begun(&mut self, tasks: &[String]) {
        for task in tasks {
            let job = task.split('/').next().unwrap_or("");
            let told = self.users.iter().find(|u| u.job == job);
            if let Some(told) = told.and_then(|u| u.told_cancelled) {
                self.starts_after_cancel += 1;
                self.latest_start = self.latest_start.max(self.now - told);
            }
        }
    }

    pub(crate) fn worker_wakes(&mut self, name: &str) {
        let now = self.now;
        let Some(w) = self.workers.get_mut(name) else {
            return;
        };
        if w.hung_until > now {
            return;
        }
        self.touched |= w.expire(now);
        let (changed, next) = w.progress(now);
        self.touched |= changed;
        let mut completed = Vec::new();
        for task in &w.tasks {
            if task.state == "exited" && task.why == "done" {
                let (job, number) = task.name.split_once('/').unwrap_or(("", "0"));
                let finished = self.finished.entry(job.to_string()).or_default();
                if finished.insert(number.parse().unwrap_or(0)) {
                    completed.push(job.to_string());
                }
            }
        }
        for job in completed {
            self.task_completed(name, &job);
        }
        if changed {
            self.after(500, Event::Heartbeat(name.to_string()));
        }
        if let Some(at) = next {
            self.at(at, Event::WorkerWakes(name.to_string()));
        }
    }
}
