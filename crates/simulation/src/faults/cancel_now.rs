//! Many jobs that run are called off at once, and some of their machines hang at that moment.

use crate::{Asked, Event, NODES, Simulation};
use rand::RngExt;
use std::collections::BTreeSet;

/// All users ask, and all of these machines begin to hang, within this time.
const WITHIN_MS: u64 = 200;
/// Users ask again every two seconds, whether or not they have been answered.
const PATIENCE_MS: u64 = 2_000;
/// Most machines that hang.
const HANGING: usize = 8;

impl Simulation {
    pub(crate) fn cancel_now(&mut self, count: usize, hang_ms: u64) {
        let job = |task: &str| task.split('/').next().unwrap_or("").to_string();
        let tasks = self.workers.values().flat_map(|w| &w.tasks);
        let running = tasks.filter(|t| t.state == "running");
        let running: BTreeSet<String> = running.map(|t| job(&t.name)).collect();
        let open = |u: &usize| {
            let user = &self.users[*u];
            let told = user.told_done || user.told_cancelled.is_some();
            user.accepted && !user.by_run && !user.wants_cancel && !told
        };
        let mut users: Vec<usize> = (0..self.users.len()).filter(open).collect();
        users.retain(|u| running.contains(&self.users[*u].job));
        while users.len() > count {
            let spared = self.rng.random_range(0..users.len());
            users.swap_remove(spared);
        }
        let off: BTreeSet<String> = users.iter().map(|u| self.users[*u].job.clone()).collect();
        for u in users {
            let ms = self.rng.random_range(0..WITHIN_MS);
            self.after(ms, Event::CallOff(u));
        }
        let on = |w: &crate::Worker| w.tasks.iter().any(|t| off.contains(&job(&t.name)));
        let machines = self.workers.iter().filter(|(_, w)| hang_ms > 0 && on(w));
        let machines: Vec<String> = machines.map(|(n, _)| n.clone()).take(HANGING).collect();
        for name in machines {
            let ms = self.rng.random_range(0..WITHIN_MS);
            self.after(ms, Event::Hang(name, hang_ms));
        }
    }

    /// A user asks for the first time that a job be cancelled, as soon as an earlier question is answered: one that
    /// is asked before the answer "aborted" may be answered after it. It is repeated with the other questions.
    pub(crate) fn call_off(&mut self, u: usize) {
        let now = self.now;
        let user = &mut self.users[u];
        if !std::mem::replace(&mut user.wants_cancel, true) {
            user.cancel_at = Some(now);
        }
        let since = user.cancel_at.unwrap_or(now);
        let path = format!("/api/jobs/{}/cancel", user.job);
        let told = user.told_done || user.told_cancelled.is_some();
        if told || now > since + PATIENCE_MS {
            return;
        }
        let about = |asked: &Asked| match asked {
            Asked::Submit(v) | Asked::Poll(v) | Asked::Cancel(v) => *v == u,
            _ => false,
        };
        if self.asked.values().any(about) {
            self.after(10, Event::CallOff(u));
            return;
        }
        let node = self.rng.random_range(0..NODES);
        self.ask(node, "POST", &path, Vec::new(), Asked::Cancel(u));
    }
}
