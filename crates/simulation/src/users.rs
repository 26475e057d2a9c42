//! Users submit jobs, poll and cancel them, and check the responses.

use super::response_history::JobRequest;
use super::*;

impl Simulation {
    /// Draws a user with a random job.
    pub(crate) fn draw_user(&mut self, u: usize) -> User {
        let tasks = self.rng.random_range(1..12u32);
        let cpus = f64::from(self.rng.random_range(1..4u32));
        let team = if self.rng.random_bool(0.5) {
            "red"
        } else {
            "blue"
        };
        let zone = match self.rng.random_range(0..5u32) {
            0 => Some("a"),
            1 => Some("b"),
            _ => None,
        };
        let bound = self.rng.random_range(0..6u32);
        let job = format!("wk-{:06}", u + 1);
        let mut spec = json!({"Ref": job, "Lote": "c", "Cuadrilla": team, "Feitio": "batch",
            "Precedencia": "normal", "Tarefas": tasks, "Cpus": cpus, "Gpus": 0.0, "MemGb": 1.0,
            "Matriz": format!("img-{}", u % 3), "PullGb": 1.0, "Modelos": null, "Parcela": zone,
            "Together": bound == 0, "Apart": bound == 1 && zone.is_none(),
            "Avulsas": self.rng.random_bool(0.5),
            "PrevisaoS": if self.conditions.short_estimates { 0.5 } else { 5.0 }, "MarcoS": 0.0, "GuardaS": 0.0,
            "PrazoS": null});
        // Half of the jobs depend on earlier ones, mostly on the last one, so that chains and fan-ins arise.
        let mut dependencies: Vec<usize> = Vec::new();
        if u > 0 && self.rng.random_bool(0.5) {
            dependencies.push(u - 1);
            if self.rng.random_bool(0.3) {
                dependencies.push(self.rng.random_range(0..u));
            }
        }
        let submit_at = self.rng.random_range(2_000..40_000u64);
        let cancel_at = self
            .rng
            .random_bool(0.2)
            .then(|| submit_at + self.rng.random_range(500..40_000u64));
        if !dependencies.is_empty() {
            let names: Vec<String> = dependencies
                .iter()
                .map(|n| format!("wk-{:06}", n + 1))
                .collect();
            spec["Aguarda"] = json!(names);
        }
        User {
            dependencies,
            from_dag_run: false,
            job,
            spec,
            tasks,
            cpus,
            accepted: false,
            completion_reported: false,
            cancel_reported_at: None,
            last_response_at: 0,
            cancel_requested: false,
            cancel_at,
            submit_at,
            history: Default::default(),
        }
    }

    /// Adds a user with a job whose default fields are overridden request_id `spec`.
    pub fn add_user(&mut self, submit_at: u64, spec: Value) {
        let job = format!("wk-{:06}", self.users.len() + 1);
        let mut body = json!({"Ref": job, "Lote": "c", "Cuadrilla": "red", "Feitio": "batch",
            "Precedencia": "normal", "Tarefas": 1, "Cpus": 1.0, "Gpus": 0.0, "MemGb": 1.0,
            "Matriz": "img-0", "PullGb": 1.0, "Modelos": null, "Parcela": null, "Together": false,
            "Apart": false, "Avulsas": false, "PrevisaoS": 5.0, "MarcoS": 0.0, "GuardaS": 0.0,
            "PrazoS": null});
        for (field, value) in spec.as_object().into_iter().flatten() {
            body[field] = value.clone();
        }
        self.users.push(User {
            dependencies: Vec::new(),
            job,
            tasks: body["Tarefas"].as_u64().unwrap_or(1) as u32,
            cpus: body["Cpus"].as_f64().unwrap_or(1.0),
            spec: body,
            from_dag_run: false,
            accepted: false,
            completion_reported: false,
            cancel_reported_at: None,
            last_response_at: 0,
            cancel_requested: false,
            cancel_at: None,
            submit_at,
            history: Default::default(),
        });
        self.schedule_at(submit_at, Event::UserStep(self.users.len() - 1));
    }

    /// Sends the next request about a job: submits it, cancels it or polls it.
    pub(crate) fn user_step(&mut self, u: usize) {
        let node = self.rng.random_range(0..NODES);
        let from_dag_run = self.users[u].from_dag_run;
        if !from_dag_run
            && self.users[u]
                .dependencies
                .iter()
                .any(|n| !self.users[*n].accepted)
        {
            // Users submit a job only after the jobs that it depends on were accepted.
            self.schedule_after(500, Event::UserStep(u));
            return;
        }
        let user = &mut self.users[u];
        let mut spec = user.spec.clone();
        if self.safeguards.drop_dependencies {
            spec["Aguarda"] = Value::Null;
        }
        if user.cancel_at.is_some_and(|at| at <= self.now) && user.accepted {
            user.cancel_requested = true;
        }
        let settled = user.completion_reported || user.cancel_reported_at.is_some();
        let request = if !user.accepted && !from_dag_run {
            JobRequest::Submit
        } else if user.cancel_requested && !settled {
            JobRequest::Cancel
        } else {
            JobRequest::Poll
        };
        self.send_job_request(node, u, request, &spec);
        if request == JobRequest::Submit && self.injected.request_bursts {
            self.burst_requests(u);
        }
        self.send_invalid_requests(u);
        // At most a tenth of the steps send invalid requests. Their number per round does not grow with the
        // number of users, since each of them reads the key-value store.
        let share = (INVALID_REQUEST_USERS / self.users.len() as f64).min(0.1);
        if !from_dag_run && self.rng.random_bool(share) {
            self.send_request(
                node,
                "GET",
                "/api/jobs/wk-999999",
                Vec::new(),
                PendingRequest::UnknownJob,
            );
            let mut invalid = spec.clone();
            invalid["Ref"] = json!("wk-777777");
            invalid["Aguarda"] = json!(["wk-888888"]);
            let body = invalid.to_string().into_bytes();
            self.send_request(
                node,
                "POST",
                "/api/jobs",
                body,
                PendingRequest::UnknownDependency,
            );
            // An accepted job may be submitted again at any time.
            if self.users[u].accepted {
                self.send_job_request(node, u, JobRequest::Submit, &spec);
            }
        }
        self.schedule_after(2_000, Event::UserStep(u));
    }

    /// Handles the response of controller `request_id.0` to connection `request_id.1`.
    pub(crate) fn handle_response(
        &mut self,
        request_id: (usize, u64),
        pending: PendingRequest,
        status: u16,
        body: Vec<u8>,
    ) {
        let (status, body) = self.maybe_stale_response(request_id.0, &pending, status, body);
        self.rules_check_due |= !matches!(
            pending,
            PendingRequest::Heartbeat(..) | PendingRequest::Ignored
        );
        let value: Value = serde_json::from_slice(&body).unwrap_or(Value::Null);
        let state = value["Estado"].as_str().unwrap_or("").to_string();
        match pending {
            PendingRequest::Heartbeat(name, number) => match self
                .heartbeat_response_delay_ms()
                .or_else(|| self.worker_link_delay_ms())
            {
                Some(ms) => self.schedule_after(
                    ms,
                    Event::HeartbeatResponseArrives(name, number, status, body),
                ),
                None => self.worker_receives_response(&name, number, status, &body),
            },
            PendingRequest::Ignored => {}
            PendingRequest::StoreGraph(k) => self.graph_response(k, status),
            PendingRequest::OperatorRequest(o) => self.operator_response(o, status, value),
            PendingRequest::ReadDrain(o) => self.drain_status_response(o, status, value),
            PendingRequest::BeginRun(r) => self.run_response(r, true, false, status, &value),
            PendingRequest::CancelRun(r) => self.run_response(r, false, true, status, &value),
            PendingRequest::ReadRun(r) => self.run_response(r, false, false, status, &value),
            PendingRequest::CreateEntry(b) => self.calendar_entry_response(b, status, value),
            PendingRequest::ReadEntry(b) => self.check_calendar_entry(b, status, &value),
            PendingRequest::UnknownDependency => {
                self.refused_unknown_dependencies += u64::from(status == 422);
                if status == 200 || status == 201 {
                    self.violations
                        .push("accepted: a job that needs an unknown one".into());
                }
            }
            PendingRequest::UnknownJob => {
                if status == 200 {
                    self.violations
                        .push("invented: a job nobody submitted is known".into());
                }
            }
            PendingRequest::Invalid(expected, field) => {
                self.check_invalid_response(expected, field, status, &value)
            }
            PendingRequest::Submit(u) | PendingRequest::Poll(u) | PendingRequest::Cancel(u) => {
                let request = match pending {
                    PendingRequest::Submit(_) => JobRequest::Submit,
                    PendingRequest::Cancel(_) => JobRequest::Cancel,
                    _ => JobRequest::Poll,
                };
                let now = self.now;
                if self.record_response(request_id, u, request, status, &state) {
                    self.burst_after_change(u, request == JobRequest::Submit);
                }
                // When the first user of a cancelled dependency was told about it.
                let dependency_cancelled = self.dependency_cancel(u);
                let user = &mut self.users[u];
                let job = user.job.clone();
                if status != 200 && status != 201 {
                    return;
                }
                user.accepted = true;
                user.last_response_at = now;
                let spontaneous_abort = state == "aborted"
                    && !user.cancel_requested
                    && dependency_cancelled.is_none()
                    && !user.from_dag_run;
                let orphaned = dependency_cancelled
                    .flatten()
                    .is_some_and(|at| now > at + CANCEL_MS)
                    && matches!(state.as_str(), "queued" | "running");
                if state == "done" {
                    user.completion_reported = true;
                }
                if state == "aborted" && user.cancel_reported_at.is_none() {
                    user.cancel_reported_at = Some(now);
                }
                let tasks = user.tasks;
                let completed = self.completed_tasks.get(&job).map_or(0, |f| f.len() as u32);
                if orphaned {
                    self.violations.push(format!("orphaned: {job} is {state}"));
                }
                if spontaneous_abort {
                    self.violations
                        .push(format!("went_back: {job} is now {state}"));
                }
                if state == "done" && completed < tasks {
                    self.violations
                        .push(format!("not_done: {job} has {completed} of {tasks} tasks"));
                }
            }
        }
    }

    /// `None` if no cancellation of a direct or transitive dependency was requested. Otherwise contains the
    /// time at which the first user of such a dependency was told that it is cancelled, or `None` if no user
    /// has been told yet.
    pub(crate) fn dependency_cancel(&self, u: usize) -> Option<Option<u64>> {
        let mut found: Option<Option<u64>> = None;
        let mut queue = self.users[u].dependencies.clone();
        while let Some(dependency) = queue.pop() {
            let user = &self.users[dependency];
            if user.cancel_requested {
                let reported = user.cancel_reported_at;
                let earliest = found.flatten();
                found = Some(earliest.map_or(reported, |b| Some(reported.map_or(b, |t| t.min(b)))));
            }
            queue.extend(&user.dependencies);
        }
        found
    }
}
