//! Users: what they submit, ask and cancel, and what they make of the answers.

use super::histories::Question;
use super::*;

impl Simulation {
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
        // Some jobs need earlier ones, mostly the last: chains, and fans of several.
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
            by_run: false,
            job,
            spec,
            tasks,
            cpus,
            accepted: false,
            told_done: false,
            told_cancelled: None,
            answered_at: 0,
            wants_cancel: false,
            cancel_at,
            submit_at,
            history: Default::default(),
        }
    }

    /// A user with a job of one's own, beside those drawn.
    pub fn add_user(&mut self, submit_at: u64, spec: Value) {
        let job = format!("wk-{:06}", self.users.len() + 1);
        let mut whole = json!({"Ref": job, "Lote": "c", "Cuadrilla": "red", "Feitio": "batch",
            "Precedencia": "normal", "Tarefas": 1, "Cpus": 1.0, "Gpus": 0.0, "MemGb": 1.0,
            "Matriz": "img-0", "PullGb": 1.0, "Modelos": null, "Parcela": null, "Together": false,
            "Apart": false, "Avulsas": false, "PrevisaoS": 5.0, "MarcoS": 0.0, "GuardaS": 0.0,
            "PrazoS": null});
        for (field, value) in spec.as_object().into_iter().flatten() {
            whole[field] = value.clone();
        }
        self.users.push(User {
            dependencies: Vec::new(),
            job,
            tasks: whole["Tarefas"].as_u64().unwrap_or(1) as u32,
            cpus: whole["Cpus"].as_f64().unwrap_or(1.0),
            spec: whole,
            by_run: false,
            accepted: false,
            told_done: false,
            told_cancelled: None,
            answered_at: 0,
            wants_cancel: false,
            cancel_at: None,
            submit_at,
            history: Default::default(),
        });
        self.at(submit_at, Event::UserNext(self.users.len() - 1));
    }

    pub(crate) fn user_next(&mut self, u: usize) {
        let node = self.rng.random_range(0..NODES);
        let by_run = self.users[u].by_run;
        if !by_run
            && self.users[u]
                .dependencies
                .iter()
                .any(|n| !self.users[*n].accepted)
        {
            // Users submit the jobs of a pipeline one after another.
            self.after(500, Event::UserNext(u));
            return;
        }
        let user = &mut self.users[u];
        let mut spec = user.spec.clone();
        if self.safeguards.no_needs {
            spec["Aguarda"] = Value::Null;
        }
        if user.cancel_at.is_some_and(|at| at <= self.now) && user.accepted {
            user.wants_cancel = true;
        }
        let settled = user.told_done || user.told_cancelled.is_some();
        let question = if !user.accepted && !by_run {
            Question::Submit
        } else if user.wants_cancel && !settled {
            Question::Cancel
        } else {
            Question::Poll
        };
        self.question(node, u, question, &spec);
        if question == Question::Submit && self.injected.close_looks {
            self.look_around(u);
        }
        self.ask_oddly(u);
        // Odd questions are a tenth of a small world's, and no more of them come in a large one: each is a
        // read of the state service.
        let odd = (ODD_USERS / self.users.len() as f64).min(0.1);
        if !by_run && self.rng.random_bool(odd) {
            self.ask(
                node,
                "GET",
                "/api/jobs/wk-999999",
                Vec::new(),
                Asked::Stranger,
            );
            let mut dangling = spec.clone();
            dangling["Ref"] = json!("wk-777777");
            dangling["Aguarda"] = json!(["wk-888888"]);
            let body = dangling.to_string().into_bytes();
            self.ask(node, "POST", "/api/jobs", body, Asked::Dangling);
            // An accepted job may be submitted again at any time.
            if self.users[u].accepted {
                self.question(node, u, Question::Submit, &spec);
            }
        }
        self.after(2_000, Event::UserNext(u));
    }

    /// The answer of a controller to one of the numbered questions.
    pub(crate) fn answered(&mut self, by: (usize, u64), asked: Asked, status: u16, body: Vec<u8>) {
        let (status, body) = self.once_true(by.0, &asked, status, body);
        self.touched |= !matches!(asked, Asked::Worker(..) | Asked::Nobody);
        let value: Value = serde_json::from_slice(&body).unwrap_or(Value::Null);
        let word = value["Estado"].as_str().unwrap_or("").to_string();
        match asked {
            Asked::Worker(name, number) => match self.answer_is_held().or_else(|| self.link_ms()) {
                Some(ms) => self.after(ms, Event::Held(name, number, status, body)),
                None => self.worker_hears(&name, number, status, &body),
            },
            Asked::Nobody => {}
            Asked::Keep(k) => self.kept(k, status),
            Asked::Operator(o) => self.operator_told(o, status, value),
            Asked::Drained(o) => self.still_drained(o, status, value),
            Asked::RunBegin(r) => self.run_answered(r, true, false, status, &value),
            Asked::RunCancel(r) => self.run_answered(r, false, true, status, &value),
            Asked::RunShow(r) => self.run_answered(r, false, false, status, &value),
            Asked::Book(b) => self.booked(b, status, value),
            Asked::Booked(b) => self.still_booked(b, status, &value),
            Asked::Dangling => {
                self.dangling += u64::from(status == 422);
                if status == 200 || status == 201 {
                    self.broken
                        .push("accepted: a job that needs an unknown one".into());
                }
            }
            Asked::Stranger => {
                if status == 200 {
                    self.broken
                        .push("invented: a job nobody submitted is known".into());
                }
            }
            Asked::Odd(expected, field) => self.odd_answered(expected, field, status, &value),
            Asked::Submit(u) | Asked::Poll(u) | Asked::Cancel(u) => {
                let question = match asked {
                    Asked::Submit(_) => Question::Submit,
                    Asked::Cancel(_) => Question::Cancel,
                    _ => Question::Poll,
                };
                let now = self.now;
                if self.judge(by, u, question, status, &word) {
                    self.look_closely(u, question == Question::Submit);
                }
                // When a user was told that a job above this one is cancelled.
                let above = self.cancelled_above(u);
                let user = &mut self.users[u];
                let job = user.job.clone();
                if status != 200 && status != 201 {
                    return;
                }
                user.accepted = true;
                user.answered_at = now;
                let uncalled =
                    word == "aborted" && !user.wants_cancel && above.is_none() && !user.by_run;
                let orphaned = above.flatten().is_some_and(|at| now > at + CANCEL_MS)
                    && matches!(word.as_str(), "queued" | "running");
                if word == "done" {
                    user.told_done = true;
                }
                if word == "aborted" && user.told_cancelled.is_none() {
                    user.told_cancelled = Some(now);
                }
                let tasks = user.tasks;
                let all = self.finished.get(&job).map_or(0, |f| f.len() as u32);
                if orphaned {
                    self.broken.push(format!("orphaned: {job} is {word}"));
                }
                if uncalled {
                    self.broken.push(format!("went_back: {job} is now {word}"));
                }
                if word == "done" && all < tasks {
                    self.broken
                        .push(format!("not_done: {job} has {all} of {tasks} tasks"));
                }
            }
        }
    }

    /// Whether a user wants a job cancelled that this one needs, directly or through others, and
    /// since when the first of them has been told that it is.
    pub(crate) fn cancelled_above(&self, u: usize) -> Option<Option<u64>> {
        let mut found: Option<Option<u64>> = None;
        let mut queue = self.users[u].dependencies.clone();
        while let Some(need) = queue.pop() {
            let user = &self.users[need];
            if user.wants_cancel {
                let told = user.told_cancelled;
                let before = found.flatten();
                found = Some(before.map_or(told, |b| Some(told.map_or(b, |t| t.min(b)))));
            }
            queue.extend(&user.dependencies);
        }
        found
    }
}
