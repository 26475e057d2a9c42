//! Detects starvation: once all faults have ended, no job may wait while a suitable machine has capacity and
//! its team is below its limit.
//!
//! Closed zones and machines are not modelled. Simulations with a calendar or drains are skipped, and so are
//! those with jobs that fail on every machine, since such jobs wait between attempts.

use super::*;
use std::collections::VecDeque;

/// A job breaks the rule when it could have been started for longer than this.
const MAX_STARTABLE_MS: u64 = 90_000;
const SAMPLE_INTERVAL_MS: u64 = 1_000;
/// Capacity counts as free if it was free in this many consecutive samples. Between two tasks some capacity is
/// always free for a moment.
const SAMPLES: usize = 5;
/// CPUs and memory in GB of the cloud's only machine type.
const MACHINE_CAPACITY: [f64; 2] = [8.0, 32.0];

/// Samples of free capacity, and the jobs that could have been started.
#[derive(Default)]
pub(crate) struct StarvationTracker {
    last_sample_at: u64,
    /// Free CPUs and memory in GB of each machine, in the last samples.
    free: BTreeMap<String, VecDeque<[f64; 2]>>,
    /// CPUs in use by each team, in the last samples.
    used: BTreeMap<String, VecDeque<f64>>,
    /// Since when each waiting job could have been started, by user index.
    startable_since: BTreeMap<usize, u64>,
    /// Longest time for which a job could have been started and was not, in milliseconds.
    longest_ms: u64,
}

/// Appends a sample and drops the oldest one beyond [`SAMPLES`].
fn push_sample<T>(last: &mut VecDeque<T>, value: T) {
    last.push_back(value);
    if last.len() > SAMPLES {
        last.pop_front();
    }
}

impl Simulation {
    /// CPUs of a team's tasks, from the command to start them until they exit.
    pub fn team_cpus_in_use(&self, team: &str) -> f64 {
        let tasks = self.workers.values().flat_map(|w| &w.tasks);
        let open = tasks.filter(|t| t.state != "exited");
        let users = open.filter_map(|t| self.user_of(t));
        let theirs = users.filter(|u| u.spec["Cuadrilla"] == team);
        theirs.map(|u| u.cpus).sum()
    }

    fn user_of(&self, task: &WorkerTask) -> Option<&User> {
        let job = task.name.split('/').next()?;
        self.user_of_job.get(job).map(|u| &self.users[*u])
    }

    /// Longest time, in milliseconds, for which a job could have been started and was not.
    pub fn longest_wait_ms(&self) -> u64 {
        self.starvation.longest_ms
    }

    /// Takes a sample and checks the rule, at most once per [`SAMPLE_INTERVAL_MS`].
    pub(crate) fn check_starvation(&mut self) {
        let is_modelled =
            !self.conditions.calendar && !self.conditions.drains && self.failing_jobs.is_empty();
        if !is_modelled
            || self.now
                < self.faults_end_at.max(
                    self.starvation
                        .last_sample_at
                        .saturating_add(SAMPLE_INTERVAL_MS),
                )
        {
            return;
        }
        let mut tracker = std::mem::take(&mut self.starvation);
        tracker.last_sample_at = self.now;
        self.sample_capacity(&mut tracker);
        let on_machines = self.tasks_on_machines();
        let mut violations = Vec::new();
        for (u, user) in self.users.iter().enumerate() {
            if !self.could_start(u, &on_machines, &tracker) {
                tracker.startable_since.remove(&u);
                continue;
            }
            let since = *tracker.startable_since.entry(u).or_insert(self.now);
            tracker.longest_ms = tracker.longest_ms.max(self.now - since);
            if self.now > since + MAX_STARTABLE_MS {
                violations.push(format!("left_waiting: {} since {since}", user.job));
            }
        }
        self.starvation = tracker;
        self.violations.extend(violations);
    }

    /// Records the free capacity of each machine and the CPUs in use by each team. A machine that hangs, that
    /// has an interruption notice or on which every task fails counts as having no free capacity.
    fn sample_capacity(&self, tracker: &mut StarvationTracker) {
        tracker
            .free
            .retain(|name, _| self.workers.contains_key(name));
        for (name, w) in &self.workers {
            let users = w.tasks.iter().filter(|t| t.state != "exited");
            let users = users.filter_map(|t| self.user_of(t));
            let free = users.fold(MACHINE_CAPACITY, |[cpus, gb], u| {
                [cpus - u.cpus, gb - u.spec["MemGb"].as_f64().unwrap_or(0.0)]
            });
            let usable = !w.failing && w.interruption_at.is_none() && w.hung_until <= self.now;
            let free = if usable { free } else { [0.0; 2] };
            push_sample(tracker.free.entry(name.clone()).or_default(), free);
        }
        for team in ["red", "blue"] {
            let used = self.team_cpus_in_use(team);
            push_sample(tracker.used.entry(team.into()).or_default(), used);
        }
    }

    /// Number of tasks on machines by job.
    fn tasks_on_machines(&self) -> BTreeMap<&str, u32> {
        let mut on_machines = BTreeMap::new();
        let tasks = self.workers.values().flat_map(|w| &w.tasks);
        for task in tasks.filter(|t| t.state != "exited") {
            let job = task.name.split('/').next().unwrap_or("");
            *on_machines.entry(job).or_default() += 1;
        }
        on_machines
    }

    /// Whether a task of the job is waiting although a machine has capacity for it and the team is below its
    /// limit.
    fn could_start(
        &self,
        u: usize,
        on_machines: &BTreeMap<&str, u32>,
        tracker: &StarvationTracker,
    ) -> bool {
        let user = &self.users[u];
        let (job, spec) = (user.job.as_str(), &user.spec);
        let done = |job: &str| self.completed_tasks.get(job).map_or(0, BTreeSet::len) as u32;
        let started = on_machines.get(job).copied().unwrap_or(0);
        let is_done = |n: &usize| done(&self.users[*n].job) == self.users[*n].tasks;
        let open = user.accepted && !user.from_dag_run && !user.completion_reported;
        // Once a task of a job with `Together` or `Apart` has started, the remaining tasks are bound to its
        // shard and machines. Such a job is only checked while none of its tasks is on a machine.
        let bound = spec["Together"] == json!(true) || spec["Apart"] == json!(true);
        let cancelled = user.cancel_requested || user.cancel_at.is_some_and(|at| at <= self.now);
        if !open
            || cancelled
            || done(job) + started >= user.tasks
            || (bound && started > 0)
            || !user.dependencies.iter().all(is_done)
            || self.dependency_cancel(u).is_some()
        {
            return false;
        }
        let team = spec["Cuadrilla"].as_str().unwrap_or("");
        let used = tracker.used.get(team).into_iter().flatten();
        let used = used.fold(0.0, |highest: f64, used| highest.max(*used));
        let required = [user.cpus, spec["MemGb"].as_f64().unwrap_or(0.0)];
        let has_capacity = |name: &String| {
            tracker.free.get(name).is_some_and(|free| {
                let fits = |free: &[f64; 2]| required[0] <= free[0] && required[1] <= free[1];
                free.len() == SAMPLES && free.iter().all(fits)
            })
        };
        used + user.cpus <= self.team_limit + 1e-6
            && self.workers.iter().any(|(name, w)| {
                let zone = spec["Parcela"].as_str().is_none_or(|z| z == w.zone);
                let billing = !w.spot || spec["Avulsas"] == json!(true);
                zone && billing && has_capacity(name)
            })
    }
}
