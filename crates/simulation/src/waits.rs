//! Waits without a reason: once all troubles are over, no job is left waiting while a machine that fits has room and
//! its team is under its limit.
//!
//! What the calendar or a drain keeps closed is not pictured here: days with either are not looked at, nor are
//! days on which jobs fail wherever they start, since those wait between their tries.

use super::*;
use std::collections::VecDeque;

/// A job that could start all that time, and does not, is left waiting.
const LEFT_MS: u64 = 90_000;
const LOOK_MS: u64 = 1_000;
/// Room counts that was there in so many looks in a row: between two tasks there always is some.
const LASTING: usize = 5;
/// CPUs and memory of the cloud's only type of machine.
const MACHINE: [f64; 2] = [8.0, 32.0];

#[derive(Default)]
pub(crate) struct Waits {
    looked: u64,
    /// What was free on each machine, and what each team used, in the last looks.
    free: BTreeMap<String, VecDeque<[f64; 2]>>,
    used: BTreeMap<String, VecDeque<f64>>,
    /// Since when jobs could have started.
    since: BTreeMap<usize, u64>,
    /// The longest that any could.
    longest: u64,
}

fn keep<T>(last: &mut VecDeque<T>, value: T) {
    last.push_back(value);
    if last.len() > LASTING {
        last.pop_front();
    }
}

impl Simulation {
    /// CPUs that a team's tasks take, from their command on.
    pub fn used_by(&self, team: &str) -> f64 {
        let tasks = self.workers.values().flat_map(|w| &w.tasks);
        let open = tasks.filter(|t| t.state != "exited");
        let users = open.filter_map(|t| self.user_of(t));
        let theirs = users.filter(|u| u.spec["Cuadrilla"] == team);
        theirs.map(|u| u.cpus).sum()
    }

    fn user_of(&self, task: &WorkerTask) -> Option<&User> {
        let job = task.name.split('/').next()?;
        self.by_name.get(job).map(|u| &self.users[*u])
    }

    /// For how long at the most a job could have started and did not.
    pub fn longest_left(&self) -> u64 {
        self.waits.longest
    }

    pub(crate) fn check_waits(&mut self) {
        let pictured =
            !self.conditions.calendar && !self.conditions.drains && self.bad_jobs.is_empty();
        if !pictured || self.now < self.quiet_at.max(self.waits.looked.saturating_add(LOOK_MS)) {
            return;
        }
        let mut waits = std::mem::take(&mut self.waits);
        waits.looked = self.now;
        self.look_at_room(&mut waits);
        let there = self.there();
        let mut broken = Vec::new();
        for (u, user) in self.users.iter().enumerate() {
            if !self.could_start(u, &there, &waits) {
                waits.since.remove(&u);
                continue;
            }
            let since = *waits.since.entry(u).or_insert(self.now);
            waits.longest = waits.longest.max(self.now - since);
            if self.now > since + LEFT_MS {
                broken.push(format!("left_waiting: {} since {since}", user.job));
            }
        }
        self.waits = waits;
        self.broken.extend(broken);
    }

    fn look_at_room(&self, waits: &mut Waits) {
        waits.free.retain(|name, _| self.workers.contains_key(name));
        for (name, w) in &self.workers {
            let users = w.tasks.iter().filter(|t| t.state != "exited");
            let users = users.filter_map(|t| self.user_of(t));
            let free = users.fold(MACHINE, |[cpus, gb], u| {
                [cpus - u.cpus, gb - u.spec["MemGb"].as_f64().unwrap_or(0.0)]
            });
            let usable = !w.sick && w.taken_at.is_none() && w.hung_until <= self.now;
            let free = if usable { free } else { [0.0; 2] };
            keep(waits.free.entry(name.clone()).or_default(), free);
        }
        for team in ["red", "blue"] {
            let used = self.used_by(team);
            keep(waits.used.entry(team.into()).or_default(), used);
        }
    }

    /// How many tasks of each job are on machines.
    fn there(&self) -> BTreeMap<&str, u32> {
        let mut there = BTreeMap::new();
        let tasks = self.workers.values().flat_map(|w| &w.tasks);
        for task in tasks.filter(|t| t.state != "exited") {
            let job = task.name.split('/').next().unwrap_or("");
            *there.entry(job).or_default() += 1;
        }
        there
    }

    /// Whether a task of a job waits that a machine with room could have begun, its team being under its limit.
    fn could_start(&self, u: usize, there: &BTreeMap<&str, u32>, waits: &Waits) -> bool {
        let user = &self.users[u];
        let (job, spec) = (user.job.as_str(), &user.spec);
        let done = |job: &str| self.finished.get(job).map_or(0, BTreeSet::len) as u32;
        let begun = there.get(job).copied().unwrap_or(0);
        let needed = |n: &usize| done(&self.users[*n].job) == self.users[*n].tasks;
        let open = user.accepted && !user.by_run && !user.told_done;
        // What has begun of a job with `Together` or `Apart` keeps the rest with the part that holds it and its machines:
        // such a job is left waiting while none of it is on a machine.
        let bound = spec["Together"] == json!(true) || spec["Apart"] == json!(true);
        let called_off = user.wants_cancel || user.cancel_at.is_some_and(|at| at <= self.now);
        if !open
            || called_off
            || done(job) + begun >= user.tasks
            || (bound && begun > 0)
            || !user.dependencies.iter().all(needed)
            || self.cancelled_above(u).is_some()
        {
            return false;
        }
        let team = spec["Cuadrilla"].as_str().unwrap_or("");
        let used = waits.used.get(team).into_iter().flatten();
        let used = used.fold(0.0, |most: f64, used| most.max(*used));
        let dependencies = [user.cpus, spec["MemGb"].as_f64().unwrap_or(0.0)];
        let lasting = |name: &String| {
            waits.free.get(name).is_some_and(|free| {
                let fits =
                    |free: &[f64; 2]| dependencies[0] <= free[0] && dependencies[1] <= free[1];
                free.len() == LASTING && free.iter().all(fits)
            })
        };
        used + user.cpus <= self.team_limit + 1e-6
            && self.workers.iter().any(|(name, w)| {
                let zone = spec["Parcela"].as_str().is_none_or(|z| z == w.zone);
                let kind = !w.spot || spec["Avulsas"] == json!(true);
                zone && kind && lasting(name)
            })
    }
}
