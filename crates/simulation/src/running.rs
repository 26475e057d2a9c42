//! Users who begin runs of graphs, and what must hold for them.

use super::{Asked, Event, NODES, Simulation, User};
use rand::RngExt;
use serde_json::{Value, json};
use snowshelf_dag::packing;
use snowshelf_dag::plan::{Plan, expand};
use snowshelf_dag::run::Asked as RunAsked;

pub struct Runner {
    path: String,
    /// Where it is begun, if it runs again what an earlier one left.
    begin: Option<String>,
    body: Value,
    pub plan: Plan,
    /// Where its jobs stand among the users.
    pub first: usize,
    pub accepted: bool,
    pub cancel_at: Option<u64>,
    pub cancelled: bool,
    /// The last state told, and when it came to an end.
    pub state: String,
    pub ended_at: Option<u64>,
    pub counts: Value,
}

impl Runner {
    pub fn ended(&self) -> bool {
        self.ended_at.is_some()
    }
}

/// A graph that somebody keeps, until it is taken.
pub struct Keeper {
    path: String,
    body: Value,
    pub taken: bool,
}

impl Simulation {
    pub fn keep_graph(&mut self, at: u64, asked: &RunAsked) {
        self.keepers.push(Keeper {
            path: format!("/api/graphs/{}", asked.graph.name),
            body: json!({"packed": packing::pack(asked)}),
            taken: false,
        });
        self.at(at, Event::KeepNext(self.keepers.len() - 1));
    }

    pub(super) fn keep_next(&mut self, k: usize) {
        let node = self.rng.random_range(0..NODES);
        let keeper = &self.keepers[k];
        if keeper.taken {
            return;
        }
        let (path, body) = (keeper.path.clone(), keeper.body.to_string().into_bytes());
        self.ask(node, "PUT", &path, body, Asked::Keep(k));
        self.after(1_500, Event::KeepNext(k));
    }

    pub(super) fn kept(&mut self, k: usize, status: u16) {
        self.keepers[k].taken |= matches!(status, 200 | 201);
    }

    /// The jobs of a run that a schedule may begin: known to the checks, asked for by nobody.
    pub fn expect_run(&mut self, asked: &RunAsked) {
        let plan =
            expand(&asked.graph, &asked.mapping, &asked.facts(), "g").expect("a sound graph");
        self.run_users(&plan);
    }

    /// A user who begins a run; each of its jobs counts as a user's that nobody submits.
    pub fn add_run(&mut self, at: u64, asked: &RunAsked) -> usize {
        let plan =
            expand(&asked.graph, &asked.mapping, &asked.facts(), "g").expect("a sound graph");
        let first = self.run_users(&plan);
        for user in first..self.users.len() {
            self.at(at + 1_000, Event::UserNext(user));
        }
        self.runners.push(Runner {
            path: format!("/api/graphs/{}/runs", asked.graph.name),
            begin: None,
            body: json!({"run": asked.run, "packed": packing::pack(asked)}),
            plan,
            first,
            accepted: false,
            cancel_at: None,
            cancelled: false,
            state: String::new(),
            ended_at: None,
            counts: Value::Null,
        });
        self.at(at, Event::RunNext(self.runners.len() - 1));
        self.runners.len() - 1
    }

    /// A plan's jobs as users who submit nothing; where the first of them stands.
    fn run_users(&mut self, plan: &Plan) -> usize {
        let first = self.users.len();
        for job in &plan.jobs {
            let spec = snowshelf_model::protocol::user::submission_body(&job.submission);
            let dependencies = job.submission.dependencies.iter().map(|n| {
                let at = plan.jobs.iter().position(|j| j.submission.job == *n);
                first + at.expect("a job of the plan")
            });
            let user = User {
                dependencies: dependencies.collect(),
                job: job.submission.job.as_str().to_string(),
                tasks: job.submission.spec.tasks,
                cpus: job.submission.spec.resources.cpus,
                spec,
                by_run: true,
                accepted: false,
                told_done: false,
                told_cancelled: None,
                answered_at: 0,
                wants_cancel: false,
                cancel_at: None,
                submit_at: 0,
                history: Default::default(),
            };
            self.users.push(user);
        }
        first
    }

    /// A user who has what did not succeed in a run run again. Needs that the run has met are none of
    /// its jobs'.
    pub fn rerun(&mut self, at: u64, run: usize, again: &RunAsked) -> usize {
        let next = self.add_run(at, again);
        let path = format!(
            "{}/{}/rerun",
            self.runners[run].path,
            self.runners[run].body["run"].as_str().unwrap_or("")
        );
        self.runners[next].begin = Some(path);
        self.runners[next].body = json!({"run": again.run});
        let (first, before) = (self.runners[next].first, self.runners[run].first);
        for i in 0..self.runners[next].plan.jobs.len() {
            // What it needs was done by the earlier run, or will be by this one.
            let met = |need: &usize| {
                let user = &self.users[before + need - first];
                let done = self.finished.get(&user.job).map_or(0, |f| f.len());
                done == user.tasks as usize
            };
            let dependencies: Vec<usize> = self.users[first + i]
                .dependencies
                .iter()
                .copied()
                .filter(|n| !met(n))
                .collect();
            self.users[first + i].dependencies = dependencies;
        }
        next
    }

    pub(super) fn run_next(&mut self, r: usize) {
        let node = self.rng.random_range(0..NODES);
        let runner = &self.runners[r];
        let run = runner.body["run"].as_str().unwrap_or("");
        let path = format!("{}/{run}", runner.path);
        if !runner.accepted {
            let path = runner.begin.clone().unwrap_or(runner.path.clone());
            let body = runner.body.to_string().into_bytes();
            self.ask(node, "POST", &path, body, Asked::RunBegin(r));
        } else if runner.cancel_at.is_some_and(|at| at <= self.now) && !runner.cancelled {
            let path = format!("{path}/cancel");
            self.ask(node, "POST", &path, Vec::new(), Asked::RunCancel(r));
        } else {
            self.ask(node, "GET", &path, Vec::new(), Asked::RunShow(r));
        }
        self.after(1_500, Event::RunNext(r));
    }

    pub(super) fn run_answered(
        &mut self,
        r: usize,
        begin: bool,
        cancel: bool,
        status: u16,
        body: &Value,
    ) {
        let now = self.now;
        let runner = &mut self.runners[r];
        let unknown = body["error"] == "no such path";
        if runner.accepted && status == 404 && !unknown {
            self.broken
                .push(format!("run lost: {} is {status} {body}", runner.path));
            return;
        }
        if !matches!(status, 200 | 201) {
            if begin && matches!(status, 400 | 422) {
                self.broken.push(format!("run refused: {body}"));
            }
            return;
        }
        runner.accepted = true;
        runner.cancelled |= cancel;
        let state = body["state"].as_str().unwrap_or("").to_string();
        let ended = matches!(state.as_str(), "success" | "failed" | "cancelled");
        if runner.ended() && state != runner.state {
            self.broken.push(format!(
                "run went back: {} was {} and is {state}",
                runner.path, runner.state
            ));
            return;
        }
        if ended && runner.ended_at.is_none() {
            runner.ended_at = Some(now);
            runner.counts = body["counts"].clone();
        }
        runner.state = state;
    }
}
