//! Calls to the cloud, and the workers on its machines.

use super::*;

impl Simulation {
    /// Response of the cloud to a controller's call.
    pub(crate) fn cloud_call(&mut self, method: Method, path: &str, body: &[u8]) -> (u16, Vec<u8>) {
        let value: Value = serde_json::from_slice(body).unwrap_or(Value::Null);
        match (method, path.split('?').next().unwrap_or("")) {
            (Method::Get, "/machine_types") => (200, cloud::machine_types()),
            (Method::Get, "/hosts") => (200, self.cloud.list(self.now, path)),
            (Method::Post, "/hosts") => {
                let (reply, new) = self.cloud.rent(self.now, &value);
                for name in new {
                    let ms = self.draw_boot_ms();
                    self.schedule_after(ms, Event::Boot(name));
                }
                reply
            }
            (Method::Post, "/hosts/release") => {
                for name in value["Prensas"].as_array().into_iter().flatten() {
                    let name = name.as_str().unwrap_or("").to_string();
                    self.rules_check_due = true;
                    self.cloud.release(self.now, &name);
                    if !self.safeguards.ignore_machine_returns {
                        let gone = self.workers.remove(&name);
                        self.expired_on_released += gone.map_or(0, |w| w.lease_expirations());
                    }
                }
                (200, b"{}".to_vec())
            }
            _ => (400, b"{}".to_vec()),
        }
    }

    /// Starts the worker of a machine that has booted.
    pub(crate) fn boot(&mut self, name: &str) {
        let Some(machine) = self.cloud.boot(self.now, name) else {
            return;
        };
        let first_node = self.rng.random_range(0..NODES);
        let mut worker = Worker::new(name, &machine, first_node, self.now);
        worker.task_run_ms = self.task_run_ms;
        worker.ignore_lease = self.safeguards.ignore_worker_leases;
        worker.task_spread_ms = self.task_spread_ms;
        worker.failing_jobs = self.failing_jobs.clone();
        worker.endless_jobs = self.endless_jobs.clone();
        self.workers.insert(name.to_string(), worker);
        self.schedule_after(1, Event::HeartbeatDue(name.to_string()));
        if self.conditions.machine_faults && self.now < self.faults_end_at {
            if self.rng.random_bool(0.3) {
                let ms = self.rng.random_range(1_000..20_000u64);
                let at = self.now + self.rng.random_range(3_000..40_000u64);
                self.schedule_at(at, Event::Hang(name.to_string(), ms));
            }
            let failing = self.rng.random_bool(0.1);
            if let Some(w) = self.workers.get_mut(name) {
                w.failing = failing;
            }
        }
    }

    /// Sends a worker's heartbeat unless one is in flight, the machine hangs or the next one is not due yet.
    pub(crate) fn heartbeat_due(&mut self, name: &str) {
        let now = self.now;
        let Some(w) = self.workers.get_mut(name) else {
            return;
        };
        if w.hung_until > now || w.in_flight.is_some() {
            return;
        }
        if now < w.next_heartbeat_at {
            let at = w.next_heartbeat_at;
            self.schedule_at(at, Event::HeartbeatDue(name.to_string()));
            return;
        }
        self.rules_check_due |= w.expire_lease(now);
        let (number, node, body) = w.begin_heartbeat(now);
        let zone = self.workers.get(name).map(|w| &w.zone);
        let blocked = self.injected.lost_heartbeats.contains(name)
            || zone.is_some_and(|zone| self.is_blocked(zone, node));
        self.capture_heartbeat(name, &body);
        if !blocked {
            self.delay_heartbeat_copy(node, &body);
        }
        let sent = blocked || {
            let lost = now < self.faults_end_at && self.rng.random_bool(self.conditions.lost_share);
            !lost && self.send_heartbeat(node, name, number, body)
        };
        self.burst_at_completion(name);
        if sent {
            self.schedule_after(4_000, Event::HeartbeatTimeout(name.to_string(), number));
        } else if let Some(w) = self.workers.get_mut(name) {
            w.in_flight = None;
            w.next_node(None);
            self.schedule_after(1_000, Event::HeartbeatDue(name.to_string()));
        }
    }

    /// Passes a heartbeat to a controller. Returns `false` if it does not arrive.
    pub(crate) fn heartbeat_arrives(
        &mut self,
        node: usize,
        name: String,
        number: u64,
        body: Vec<u8>,
    ) -> bool {
        self.send_request(
            node,
            "POST",
            "/checkin",
            body,
            PendingRequest::Heartbeat(name, number),
        )
    }

    /// Handles the response to one of a worker's heartbeats, unless the response is lost, the machine hangs
    /// or the heartbeat has timed out. After status 421 the worker turns to another controller if the
    /// response names one, and otherwise, and after any other error, to the next one.
    pub(crate) fn worker_receives_response(
        &mut self,
        name: &str,
        number: u64,
        status: u16,
        body: &[u8],
    ) {
        let now = self.now;
        let response_blocked = |w: &Worker| self.is_blocked(&w.zone, w.node);
        let lost = self.workers.get(name).is_some_and(response_blocked)
            || self.injected.lost_heartbeat_responses.contains(name)
            || (now < self.faults_end_at && self.rng.random_bool(self.conditions.lost_share));
        let ignore_fencing_tokens = self.safeguards.ignore_fencing_tokens;
        let Some(w) = self.workers.get_mut(name) else {
            return;
        };
        if w.in_flight != Some(number) || lost || w.hung_until > now {
            return;
        }
        w.in_flight = None;
        let mut next_heartbeat_ms = 1_000;
        let mut stopped_tasks = Vec::new();
        let mut started: Vec<String> = Vec::new();
        match status {
            200 => {
                let value: Value = serde_json::from_slice(body).unwrap_or(Value::Null);
                let before = w.tasks.len();
                let changed = w.apply_response(now, &value, ignore_fencing_tokens);
                self.rules_check_due = true;
                self.task_starts += (w.tasks.len().saturating_sub(before)) as u64;
                let started_tasks = w
                    .tasks
                    .iter()
                    .filter(|t| t.state == "pulling" && t.commanded_at == now);
                started = started_tasks.map(|t| t.name.clone()).collect();
                stopped_tasks = std::mem::take(&mut w.stopped_tasks);
                next_heartbeat_ms = if changed { 500 } else { HEARTBEAT_MS };
                w.next_heartbeat_at = now + if changed { 500 } else { 0 };
            }
            421 => {
                let value: Value = serde_json::from_slice(body).unwrap_or(Value::Null);
                let to = value["RespondeA"]
                    .as_str()
                    .and_then(|n| n[1..].parse().ok());
                if let Some(to) = to.filter(|to| *to != w.node) {
                    w.node = to;
                    next_heartbeat_ms = 100;
                } else {
                    w.next_node(None);
                }
            }
            _ => w.next_node(None),
        }
        self.schedule_after(next_heartbeat_ms, Event::HeartbeatDue(name.to_string()));
        self.record_disruptions(name, stopped_tasks);
        self.count_starts_after_cancel(&started);
        self.advance_worker(name);
    }

    /// Counts starts of tasks whose users were told that the job is cancelled.
    fn count_starts_after_cancel(&mut self, tasks: &[String]) {
        for task in tasks {
            let job = task.split('/').next().unwrap_or("");
            let user = self.users.iter().find(|u| u.job == job);
            if let Some(reported_at) = user.and_then(|u| u.cancel_reported_at) {
                self.starts_after_cancel += 1;
                self.latest_start_after_cancel_ms = self
                    .latest_start_after_cancel_ms
                    .max(self.now - reported_at);
            }
        }
    }

    /// Lets the tasks on a machine make progress, and records completed tasks.
    pub(crate) fn advance_worker(&mut self, name: &str) {
        let now = self.now;
        let Some(w) = self.workers.get_mut(name) else {
            return;
        };
        if w.hung_until > now {
            return;
        }
        self.rules_check_due |= w.expire_lease(now);
        let (changed, next) = w.progress(now);
        self.rules_check_due |= changed;
        let mut completed = Vec::new();
        for task in &w.tasks {
            if task.state == "exited" && task.reason == "done" {
                let (job, number) = task.name.split_once('/').unwrap_or(("", "0"));
                let finished = self.completed_tasks.entry(job.to_string()).or_default();
                if finished.insert(number.parse().unwrap_or(0)) {
                    completed.push(job.to_string());
                }
            }
        }
        for job in completed {
            self.task_completed(name, &job);
        }
        if changed {
            self.schedule_after(500, Event::HeartbeatDue(name.to_string()));
        }
        if let Some(at) = next {
            self.schedule_at(at, Event::AdvanceWorker(name.to_string()));
        }
    }
}
