//! Users that begin DAG runs and store graphs, and the rules that must hold for them.

use super::{Event, NODES, PendingRequest, Simulation, User};
use rand::RngExt;
use serde_json::{Value, json};
use snowshelf_dag::packing;
use snowshelf_dag::plan::{Plan, expand};
use snowshelf_dag::run::Asked as RunAsked;

/// A user that begins a DAG run, may cancel it and reads it periodically.
pub struct RunClient {
    path: String,
    /// Path of the request that begins the run, if it is the rerun of an earlier one.
    begin_path: Option<String>,
    body: Value,
    /// The jobs of the run.
    pub plan: Plan,
    /// Index of the first of its jobs' users.
    pub first: usize,
    /// Whether the run was accepted.
    pub accepted: bool,
    /// When to request cancellation.
    pub cancel_at: Option<u64>,
    /// Whether cancellation was confirmed.
    pub cancelled: bool,
    /// Last reported state.
    pub state: String,
    /// When a final state was first reported.
    pub ended_at: Option<u64>,
    /// Numbers of steps by state, as reported with the final state.
    pub counts: Value,
}

impl RunClient {
    /// Whether a final state was reported.
    pub fn ended(&self) -> bool {
        self.ended_at.is_some()
    }
}

/// A user that stores a graph. The request is repeated until it is accepted.
pub struct GraphClient {
    path: String,
    body: Value,
    /// Whether the graph was accepted.
    pub accepted: bool,
}

impl Simulation {
    /// Adds a user that stores a graph from `at` on.
    pub fn store_graph(&mut self, at: u64, asked: &RunAsked) {
        self.graph_clients.push(GraphClient {
            path: format!("/api/graphs/{}", asked.graph.name),
            body: json!({"packed": packing::pack(asked)}),
            accepted: false,
        });
        self.schedule_at(at, Event::GraphClientStep(self.graph_clients.len() - 1));
    }

    /// Sends the request to store the graph until it is accepted.
    pub(super) fn graph_client_step(&mut self, k: usize) {
        let node = self.rng.random_range(0..NODES);
        let client = &self.graph_clients[k];
        if client.accepted {
            return;
        }
        let (path, body) = (client.path.clone(), client.body.to_string().into_bytes());
        self.send_request(node, "PUT", &path, body, PendingRequest::StoreGraph(k));
        self.schedule_after(1_500, Event::GraphClientStep(k));
    }

    /// Handles the response to a request to store a graph.
    pub(super) fn graph_response(&mut self, k: usize, status: u16) {
        self.graph_clients[k].accepted |= matches!(status, 200 | 201);
    }

    /// Adds the jobs of a run that a schedule may begin. They are checked, but no user requests the run.
    pub fn expect_run(&mut self, asked: &RunAsked) {
        let plan =
            expand(&asked.graph, &asked.mapping, &asked.facts(), "g").expect("the graph is valid");
        self.add_run_users(&plan);
    }

    /// Adds a user that begins a run. Each job of the run gets a user that polls it without submitting it.
    /// Returns the index of the run client.
    pub fn add_run(&mut self, at: u64, asked: &RunAsked) -> usize {
        let plan =
            expand(&asked.graph, &asked.mapping, &asked.facts(), "g").expect("the graph is valid");
        let first = self.add_run_users(&plan);
        for user in first..self.users.len() {
            self.schedule_at(at + 1_000, Event::UserStep(user));
        }
        self.run_clients.push(RunClient {
            path: format!("/api/graphs/{}/runs", asked.graph.name),
            begin_path: None,
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
        self.schedule_at(at, Event::RunClientStep(self.run_clients.len() - 1));
        self.run_clients.len() - 1
    }

    /// Adds users for the jobs of a plan, which submit nothing. Returns the index of the first one.
    fn add_run_users(&mut self, plan: &Plan) -> usize {
        let first = self.users.len();
        for job in &plan.jobs {
            let spec = snowshelf_model::protocol::user::submission_body(&job.submission);
            let dependencies = job.submission.dependencies.iter().map(|n| {
                let at = plan.jobs.iter().position(|j| j.submission.job == *n);
                first + at.expect("the dependency is a job of the plan")
            });
            let user = User {
                dependencies: dependencies.collect(),
                job: job.submission.job.as_str().to_string(),
                tasks: job.submission.spec.tasks,
                cpus: job.submission.spec.resources.cpus,
                spec,
                from_dag_run: true,
                accepted: false,
                completion_reported: false,
                cancel_reported_at: None,
                last_response_at: 0,
                cancel_requested: false,
                cancel_at: None,
                submit_at: 0,
                history: Default::default(),
            };
            self.users.push(user);
        }
        first
    }

    /// Adds a user that reruns the unsuccessful part of a run. Dependencies that the earlier run has met are
    /// removed from the new jobs. Returns the index of the run client.
    pub fn rerun(&mut self, at: u64, run: usize, again: &RunAsked) -> usize {
        let next = self.add_run(at, again);
        let path = format!(
            "{}/{}/rerun",
            self.run_clients[run].path,
            self.run_clients[run].body["run"].as_str().unwrap_or("")
        );
        self.run_clients[next].begin_path = Some(path);
        self.run_clients[next].body = json!({"run": again.run});
        let (first, earlier_first) = (self.run_clients[next].first, self.run_clients[run].first);
        for i in 0..self.run_clients[next].plan.jobs.len() {
            // The earlier run has met the dependency, or this run will.
            let met = |dependency: &usize| {
                let user = &self.users[earlier_first + dependency - first];
                let done = self.completed_tasks.get(&user.job).map_or(0, |f| f.len());
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

    /// Begins, cancels or reads the run.
    pub(super) fn run_client_step(&mut self, r: usize) {
        let node = self.rng.random_range(0..NODES);
        let client = &self.run_clients[r];
        let run = client.body["run"].as_str().unwrap_or("");
        let path = format!("{}/{run}", client.path);
        if !client.accepted {
            let path = client.begin_path.clone().unwrap_or(client.path.clone());
            let body = client.body.to_string().into_bytes();
            self.send_request(node, "POST", &path, body, PendingRequest::BeginRun(r));
        } else if client.cancel_at.is_some_and(|at| at <= self.now) && !client.cancelled {
            let path = format!("{path}/cancel");
            self.send_request(
                node,
                "POST",
                &path,
                Vec::new(),
                PendingRequest::CancelRun(r),
            );
        } else {
            self.send_request(node, "GET", &path, Vec::new(), PendingRequest::ReadRun(r));
        }
        self.schedule_after(1_500, Event::RunClientStep(r));
    }

    /// Handles a response about a run. A final state must not change.
    pub(super) fn run_response(
        &mut self,
        r: usize,
        begin: bool,
        cancel: bool,
        status: u16,
        body: &Value,
    ) {
        let now = self.now;
        let client = &mut self.run_clients[r];
        let disabled = body["error"] == "no such path";
        if client.accepted && status == 404 && !disabled {
            self.violations
                .push(format!("run lost: {} is {status} {body}", client.path));
            return;
        }
        if !matches!(status, 200 | 201) {
            if begin && matches!(status, 400 | 422) {
                self.violations.push(format!("run refused: {body}"));
            }
            return;
        }
        client.accepted = true;
        client.cancelled |= cancel;
        let state = body["state"].as_str().unwrap_or("").to_string();
        let ended = matches!(state.as_str(), "success" | "failed" | "cancelled");
        if client.ended() && state != client.state {
            self.violations.push(format!(
                "run went back: {} was {} and is {state}",
                client.path, client.state
            ));
            return;
        }
        if ended && client.ended_at.is_none() {
            client.ended_at = Some(now);
            client.counts = body["counts"].clone();
        }
        client.state = state;
    }
}
