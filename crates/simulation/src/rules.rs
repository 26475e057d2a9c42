//! The rules, as PROTOCOL states them, held against what runs.

use super::*;

impl Simulation {
    pub(crate) fn check(&mut self) {
        self.check_windows();
        for u in self.by_name.len()..self.users.len() {
            self.by_name.insert(self.users[u].job.clone(), u);
        }
        let mut on: BTreeMap<&str, &str> = BTreeMap::new();
        let mut used: BTreeMap<&str, f64> = BTreeMap::new();
        let mut zones: BTreeMap<&str, BTreeMap<&str, u32>> = BTreeMap::new();
        let mut broken = Vec::new();
        for (name, w) in &self.workers {
            for task in w.tasks.iter().filter(|t| WorkerTask::is_on(t)) {
                if let Some(other) = on.insert(&task.name, name) {
                    broken.push(format!("ran_twice: {} on {other} and {name}", task.name));
                }
                let (job, _) = task.name.split_once('/').unwrap_or(("", ""));
                let Some(user) = self.by_name.get(job).map(|u| &self.users[*u]) else {
                    broken.push(format!("{} belongs to no job", task.name));
                    continue;
                };
                for need in &user.dependencies {
                    let need = &self.users[*need];
                    let done = self.finished.get(&need.job).map_or(0, BTreeSet::len);
                    if done < need.tasks as usize {
                        broken.push(format!("too_early: {} before {}", task.name, need.job));
                    }
                }
                let team = user.spec["Cuadrilla"].as_str().unwrap_or("");
                *used.entry(team).or_default() += user.cpus;
                let zone = user.spec["Parcela"].as_str();
                if zone.is_some_and(|z| z != w.zone)
                    || (w.spot && user.spec["Avulsas"] == json!(false))
                {
                    broken.push(format!("wrong_place: {} on {name}", task.name));
                }
                *zones
                    .entry(&user.job)
                    .or_default()
                    .entry(&w.zone)
                    .or_default() += 1;
                if let Some(told) = user.told_cancelled
                    && self.now > told + CANCEL_MS
                {
                    broken.push(format!("ran_cancelled: {}", task.name));
                }
            }
        }
        for user in self.users.iter().filter(|u| u.accepted && !u.by_run) {
            let since = user.answered_at.max(self.quiet_at);
            if self.now > since.saturating_add(FORGOTTEN_MS) {
                broken.push(format!("forgotten: nothing is answered about {}", user.job));
            }
        }
        for (team, cpus) in used {
            if cpus > self.team_limit + 1e-6 {
                broken.push(format!("quota: {team} uses {cpus}"));
            }
        }
        for (job, by_zone) in zones {
            let Some(user) = self.by_name.get(job).map(|u| &self.users[*u]) else {
                continue;
            };
            let most = by_zone.values().max().copied().unwrap_or(0);
            if user.spec["Together"] == json!(true) && by_zone.len() > 1 {
                broken.push(format!("wrong_place: {job} is not together"));
            }
            if user.spec["Apart"] == json!(true) && most > user.tasks.div_ceil(2) {
                broken.push(format!("wrong_place: {job} is not apart"));
            }
        }
        let on: BTreeSet<String> = match self.disrupted.any_away() {
            true => on.keys().map(|t| t.to_string()).collect(),
            false => BTreeSet::new(),
        };
        self.check_budgets(&on, &mut broken);
        for lossy in &self.state.lossy {
            broken.push(format!("lost by the version before: {lossy}"));
        }
        for large in &self.state.oversized {
            broken.push(format!("too large for the state service: {large}"));
        }
        self.broken.extend(broken);
        self.check_waits();
    }

    /// Jobs whose users have heard the end.
    pub fn settled(&self) -> usize {
        self.users
            .iter()
            .filter(|u| u.told_done || u.told_cancelled.is_some())
            .count()
    }

    /// Leases of workers that ran out.
    pub fn expired(&self) -> u64 {
        self.expired + self.workers.values().map(Worker::expired).sum::<u64>()
    }

    /// Fails unless every rule has held and every user was told of an end.
    #[track_caller]
    pub fn assert_sound(&self, seed: u64) {
        assert_eq!(self.broken, Vec::<String>::new(), "seed {seed}");
        let all = self.settled() == self.users.len();
        assert!(all, "seed {seed}: {:#?}", self.unsettled());
    }

    /// What is known of the jobs that have not ended, for a failing test's message.
    pub fn unsettled(&self) -> Vec<String> {
        let mut lines: Vec<String> = self
            .users
            .iter()
            .filter(|u| !u.told_done && u.told_cancelled.is_none())
            .map(|u| format!("{} accepted={} {}", u.job, u.accepted, u.spec))
            .collect();
        lines.extend(self.state.dump());
        lines.extend(self.workers.iter().map(|(n, w)| w.describe(n)));
        lines
    }
}
