//! Users who look closely: at all controllers within milliseconds, again and again, right after a job was accepted, ended
//! or confirmed as cancelled; and users who call a job off as it ends.

use crate::histories::Question;
use crate::{Event, NODES, Simulation};
use rand::RngExt;

/// Within so long after what happened.
const WITHIN_MS: u64 = 25;
/// Share of the users who call a job off as soon as it is accepted.
const AT_ONCE: f64 = 0.15;

impl Simulation {
    /// Something was said of a job that no answer had said before.
    pub(crate) fn look_closely(&mut self, u: usize, accepted: bool) {
        if !self.injected.close_looks {
            return;
        }
        self.look_around(u);
        if accepted && !self.users[u].by_run && self.rng.random_bool(AT_ONCE) {
            self.call_off_within(u, WITHIN_MS);
        }
    }

    /// Asks all controllers about a job, and submits it again.
    pub(crate) fn look_around(&mut self, u: usize) {
        for node in 0..NODES {
            for question in [Question::Poll, Question::Poll, Question::Submit] {
                let ms = self.rng.random_range(0..WITHIN_MS);
                self.after(ms, Event::Look(u, node, question));
            }
        }
    }

    /// Calls a job off, within so many milliseconds.
    fn call_off_within(&mut self, u: usize, within_ms: u64) {
        let node = self.rng.random_range(0..NODES);
        let ms = self.rng.random_range(0..within_ms);
        self.after(ms, Event::Look(u, node, Question::Cancel));
    }

    pub(crate) fn looks(&mut self, u: usize, node: usize, question: Question) {
        let user = &mut self.users[u];
        if user.by_run && question != Question::Poll {
            return;
        }
        if question == Question::Cancel {
            user.wants_cancel = true;
        }
        let spec = user.spec.clone();
        self.question(node, u, question, &spec);
    }

    /// A task has completed on a machine: its job, if that was the last, is called off in the second that follows, as
    /// the machine says so, or as the end is written.
    pub(crate) fn task_completed(&mut self, machine: &str, job: &str) {
        let Some(u) = self.users.iter().position(|user| user.job == job) else {
            return;
        };
        let all = self.users[u].tasks as usize;
        if self.finished.get(job).map_or(0, |f| f.len()) < all {
            return;
        }
        let share = self.injected.cancel_at_end;
        let off = share > 0.0 && self.rng.random_bool(share);
        if !off && !self.injected.close_looks {
            return;
        }
        let moment = match self.rng.random_range(0..3u32) {
            0 if off => return self.call_off_within(u, 900),
            1 => job,
            _ => machine,
        };
        let met = self.injected.ends.entry(moment.to_string()).or_default();
        met.push((u, off));
    }

    /// A machine has reported, or a job's end is being written: it is asked about and called off just now.
    pub(crate) fn end_met(&mut self, moment: &str) {
        for (u, off) in self.injected.ends.remove(moment).unwrap_or_default() {
            self.look_around(u);
            if off {
                self.call_off_within(u, 12);
            }
        }
    }

    /// A controller has sent a transaction.
    pub(crate) fn ends_written(&mut self, body: &[u8]) {
        if self.injected.ends.is_empty() {
            return;
        }
        let text = String::from_utf8_lossy(body);
        let ended = |job: &&String| {
            text.contains("\"Done\"") && text.contains(&format!("\"Write\":\"job/{job}\""))
        };
        let ended: Vec<String> = self.injected.ends.keys().filter(ended).cloned().collect();
        for job in ended {
            self.end_met(&job);
        }
    }
}
