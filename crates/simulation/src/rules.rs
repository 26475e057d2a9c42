//! Rules of the protocol, checked against the tasks that actually run.

use super::*;

impl Simulation {
    /// Checks all rules and records violations.
    pub(crate) fn check_rules(&mut self) {
        self.check_windows();
        for u in self.user_of_job.len()..self.users.len() {
            self.user_of_job.insert(self.users[u].job.clone(), u);
        }
        let mut running: BTreeMap<&str, &str> = BTreeMap::new();
        let mut used: BTreeMap<&str, f64> = BTreeMap::new();
        let mut zones: BTreeMap<&str, BTreeMap<&str, u32>> = BTreeMap::new();
        let mut violations = Vec::new();
        for (name, w) in &self.workers {
            for task in w.tasks.iter().filter(|t| WorkerTask::is_running(t)) {
                if let Some(other) = running.insert(&task.name, name) {
                    violations.push(format!("ran_twice: {} on {other} and {name}", task.name));
                }
                let (job, _) = task.name.split_once('/').unwrap_or(("", ""));
                let Some(user) = self.user_of_job.get(job).map(|u| &self.users[*u]) else {
                    violations.push(format!("{} belongs to no job", task.name));
                    continue;
                };
                for dependency in &user.dependencies {
                    let dependency = &self.users[*dependency];
                    let done = self
                        .completed_tasks
                        .get(&dependency.job)
                        .map_or(0, BTreeSet::len);
                    if done < dependency.tasks as usize {
                        violations.push(format!(
                            "too_early: {} before {}",
                            task.name, dependency.job
                        ));
                    }
                }
                let team = user.spec["Cuadrilla"].as_str().unwrap_or("");
                *used.entry(team).or_default() += user.cpus;
                let zone = user.spec["Parcela"].as_str();
                if zone.is_some_and(|z| z != w.zone)
                    || (w.spot && user.spec["Avulsas"] == json!(false))
                {
                    violations.push(format!("wrong_place: {} on {name}", task.name));
                }
                *zones
                    .entry(&user.job)
                    .or_default()
                    .entry(&w.zone)
                    .or_default() += 1;
                if let Some(reported_at) = user.cancel_reported_at
                    && self.now > reported_at + CANCEL_MS
                {
                    violations.push(format!("ran_cancelled: {}", task.name));
                }
            }
        }
        for user in self.users.iter().filter(|u| u.accepted && !u.from_dag_run) {
            let since = user.last_response_at.max(self.faults_end_at);
            if self.now > since.saturating_add(MAX_UNANSWERED_MS) {
                violations.push(format!("forgotten: nothing is answered about {}", user.job));
            }
        }
        for (team, cpus) in used {
            if cpus > self.team_limit + 1e-6 {
                violations.push(format!("quota: {team} uses {cpus}"));
            }
        }
        for (job, by_zone) in zones {
            let Some(user) = self.user_of_job.get(job).map(|u| &self.users[*u]) else {
                continue;
            };
            let most = by_zone.values().max().copied().unwrap_or(0);
            if user.spec["Together"] == json!(true) && by_zone.len() > 1 {
                violations.push(format!("wrong_place: {job} is not together"));
            }
            if user.spec["Apart"] == json!(true) && most > user.tasks.div_ceil(2) {
                violations.push(format!("wrong_place: {job} is not apart"));
            }
        }
        let running: BTreeSet<String> = match self.disruptions.any_disrupted() {
            true => running.keys().map(|t| t.to_string()).collect(),
            false => BTreeSet::new(),
        };
        self.check_budgets(&running, &mut violations);
        for write in &self.kv_store.lossy_writes {
            violations.push(format!("lost by the version before: {write}"));
        }
        for txn in &self.kv_store.oversized_txns {
            violations.push(format!("too large for the state service: {txn}"));
        }
        self.violations.extend(violations);
        self.check_starvation();
    }

    /// Number of jobs whose users were told that they are done or cancelled.
    pub fn settled_jobs(&self) -> usize {
        self.users
            .iter()
            .filter(|u| u.completion_reported || u.cancel_reported_at.is_some())
            .count()
    }

    /// Number of worker leases that have expired.
    pub fn lease_expirations(&self) -> u64 {
        self.expired_on_released
            + self
                .workers
                .values()
                .map(Worker::lease_expirations)
                .sum::<u64>()
    }

    /// Asserts that every rule was kept and that every user was told the end of the job.
    #[track_caller]
    pub fn assert_rules_held(&self, seed: u64) {
        assert_eq!(self.violations, Vec::<String>::new(), "seed {seed}");
        let all_settled = self.settled_jobs() == self.users.len();
        assert!(all_settled, "seed {seed}: {:#?}", self.describe_unsettled());
    }

    /// Describes the jobs that have not ended, the key-value store and the workers, for a failing test's
    /// message.
    pub fn describe_unsettled(&self) -> Vec<String> {
        let mut lines: Vec<String> = self
            .users
            .iter()
            .filter(|u| !u.completion_reported && u.cancel_reported_at.is_none())
            .map(|u| format!("{} accepted={} {}", u.job, u.accepted, u.spec))
            .collect();
        lines.extend(self.kv_store.dump());
        lines.extend(self.workers.iter().map(|(n, w)| w.describe(n)));
        lines
    }
}
