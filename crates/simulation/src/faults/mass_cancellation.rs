//! Many running jobs are cancelled at once while some of their machines hang.

use crate::{Event, NODES, PendingRequest, Simulation};
use rand::RngExt;
use std::collections::BTreeSet;

/// All cancellations and hangs begin within this time.
const WITHIN_MS: u64 = 200;
/// Users repeat their requests every two seconds, with or without a response.
const REPEAT_MS: u64 = 2_000;
/// Most machines that hang.
const MAX_HUNG_MACHINES: usize = 8;

impl Simulation {
    /// Cancels up to `count` running jobs and lets machines that run them hang.
    pub(crate) fn cancel_running_jobs(&mut self, count: usize, hang_ms: u64) {
        let job = |task: &str| task.split('/').next().unwrap_or("").to_string();
        let tasks = self.workers.values().flat_map(|w| &w.tasks);
        let running = tasks.filter(|t| t.state == "running");
        let running: BTreeSet<String> = running.map(|t| job(&t.name)).collect();
        let open = |u: &usize| {
            let user = &self.users[*u];
            let ended = user.completion_reported || user.cancel_reported_at.is_some();
            user.accepted && !user.from_dag_run && !user.cancel_requested && !ended
        };
        let mut users: Vec<usize> = (0..self.users.len()).filter(open).collect();
        users.retain(|u| running.contains(&self.users[*u].job));
        while users.len() > count {
            let excluded = self.rng.random_range(0..users.len());
            users.swap_remove(excluded);
        }
        let cancelled: BTreeSet<String> =
            users.iter().map(|u| self.users[*u].job.clone()).collect();
        for u in users {
            let ms = self.rng.random_range(0..WITHIN_MS);
            self.schedule_after(ms, Event::CancelJob(u));
        }
        let runs_cancelled =
            |w: &crate::Worker| w.tasks.iter().any(|t| cancelled.contains(&job(&t.name)));
        let machines = self
            .workers
            .iter()
            .filter(|(_, w)| hang_ms > 0 && runs_cancelled(w));
        let machines: Vec<String> = machines
            .map(|(n, _)| n.clone())
            .take(MAX_HUNG_MACHINES)
            .collect();
        for name in machines {
            let ms = self.rng.random_range(0..WITHIN_MS);
            self.schedule_after(ms, Event::Hang(name, hang_ms));
        }
    }

    /// Sends the first cancellation of a job once no other request about it is pending. A request sent before
    /// the response "aborted" may be responded to after it. Later cancellations are sent with the user's
    /// periodic requests.
    pub(crate) fn cancel_job(&mut self, u: usize) {
        let now = self.now;
        let user = &mut self.users[u];
        if !std::mem::replace(&mut user.cancel_requested, true) {
            user.cancel_at = Some(now);
        }
        let since = user.cancel_at.unwrap_or(now);
        let path = format!("/api/jobs/{}/cancel", user.job);
        let ended = user.completion_reported || user.cancel_reported_at.is_some();
        if ended || now > since + REPEAT_MS {
            return;
        }
        let is_about_job = |pending: &PendingRequest| match pending {
            PendingRequest::Submit(v) | PendingRequest::Poll(v) | PendingRequest::Cancel(v) => {
                *v == u
            }
            _ => false,
        };
        if self.pending.values().any(is_about_job) {
            self.schedule_after(10, Event::CancelJob(u));
            return;
        }
        let node = self.rng.random_range(0..NODES);
        self.send_request(node, "POST", &path, Vec::new(), PendingRequest::Cancel(u));
    }
}
