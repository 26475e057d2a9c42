//! Users that send requests to all controllers within milliseconds after a job was accepted, has ended or was
//! confirmed as cancelled, and users that cancel a job as it ends.

use crate::response_history::JobRequest;
use crate::{Event, NODES, Simulation};
use rand::RngExt;

/// The requests of a burst are sent within this time.
const BURST_MS: u64 = 25;
/// Share of the users that cancel a job as soon as it is accepted.
const CANCEL_ON_ACCEPTANCE: f64 = 0.15;

impl Simulation {
    /// Sends a burst after the first response that reports a new state.
    pub(crate) fn burst_after_change(&mut self, u: usize, accepted: bool) {
        if !self.injected.request_bursts {
            return;
        }
        self.burst_requests(u);
        if accepted && !self.users[u].from_dag_run && self.rng.random_bool(CANCEL_ON_ACCEPTANCE) {
            self.cancel_within(u, BURST_MS);
        }
    }

    /// Polls a job at all controllers and submits it again.
    pub(crate) fn burst_requests(&mut self, u: usize) {
        for node in 0..NODES {
            for request in [JobRequest::Poll, JobRequest::Poll, JobRequest::Submit] {
                let ms = self.rng.random_range(0..BURST_MS);
                self.schedule_after(ms, Event::BurstRequest(u, node, request));
            }
        }
    }

    /// Cancels a job within this many milliseconds.
    fn cancel_within(&mut self, u: usize, within_ms: u64) {
        let node = self.rng.random_range(0..NODES);
        let ms = self.rng.random_range(0..within_ms);
        self.schedule_after(ms, Event::BurstRequest(u, node, JobRequest::Cancel));
    }

    /// Sends one request of a burst.
    pub(crate) fn burst_request(&mut self, u: usize, node: usize, request: JobRequest) {
        let user = &mut self.users[u];
        if user.from_dag_run && request != JobRequest::Poll {
            return;
        }
        if request == JobRequest::Cancel {
            user.cancel_requested = true;
        }
        let spec = user.spec.clone();
        self.send_job_request(node, u, request, &spec);
    }

    /// Handles the completion of a task. If it was the job's last one, the job may be cancelled: within the
    /// next second, when the machine reports it, or when the end of the job is written.
    pub(crate) fn task_completed(&mut self, machine: &str, job: &str) {
        let Some(u) = self.users.iter().position(|user| user.job == job) else {
            return;
        };
        let tasks = self.users[u].tasks as usize;
        if self.completed_tasks.get(job).map_or(0, |f| f.len()) < tasks {
            return;
        }
        let share = self.injected.cancel_at_completion;
        let cancel = share > 0.0 && self.rng.random_bool(share);
        if !cancel && !self.injected.request_bursts {
            return;
        }
        let trigger = match self.rng.random_range(0..3u32) {
            0 if cancel => return self.cancel_within(u, 900),
            1 => job,
            _ => machine,
        };
        let waiting = self
            .injected
            .completions
            .entry(trigger.to_string())
            .or_default();
        waiting.push((u, cancel));
    }

    /// Sends the requests that wait for a heartbeat of this machine or for the end of this job to be written.
    pub(crate) fn burst_at_completion(&mut self, trigger: &str) {
        for (u, cancel) in self
            .injected
            .completions
            .remove(trigger)
            .unwrap_or_default()
        {
            self.burst_requests(u);
            if cancel {
                self.cancel_within(u, 12);
            }
        }
    }

    /// Handles a transaction that a controller sends. It may contain the ends of jobs.
    pub(crate) fn completions_written(&mut self, body: &[u8]) {
        if self.injected.completions.is_empty() {
            return;
        }
        let text = String::from_utf8_lossy(body);
        let ended = |job: &&String| {
            text.contains("\"Done\"") && text.contains(&format!("\"Write\":\"job/{job}\""))
        };
        let ended: Vec<String> = self
            .injected
            .completions
            .keys()
            .filter(ended)
            .cloned()
            .collect();
        for job in ended {
            self.burst_at_completion(&job);
        }
    }
}
