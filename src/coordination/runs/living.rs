//! A run that is open, as this controller pictures it.

use crate::coordination::env::Env;
use snowshelf_dag::packing;
use snowshelf_dag::plan::{Plan, expand};
use snowshelf_dag::run::{Decision, Seen, decide};
use snowshelf_model::ids::{JobId, Millis};
use snowshelf_model::records::{JobState, RunId, RunRecord};
use std::collections::{BTreeMap, BTreeSet};

pub(super) struct Live {
    pub plan: Plan,
    pub active: Option<usize>,
    /// What was last seen of each job; ends stay, whatever the picture forgets.
    seen: Vec<Seen>,
    /// Since when a job with a timeout has run.
    running: BTreeMap<usize, Millis>,
    pub looked_at: Millis,
    /// When it was last driven on, and as of which changes of jobs. Guards against a run that stands
    /// still because somebody asks about it all the time.
    pub driven_at: Millis,
    pub driven_of: u64,
}

impl Live {
    /// From its pieces, once all are there; an error if they are none that can be expanded.
    pub fn build(id: &RunId, record: &RunRecord, env: &Env) -> Option<Result<Live, String>> {
        let mut text = String::new();
        for piece in 0..record.pieces {
            let key = (id.clone(), record.hash.clone(), piece);
            text.push_str(env.mirror.plans.get(&key)?);
        }
        let asked = match packing::unpack(&text) {
            Ok(asked) => asked,
            Err(why) => return Some(Err(why)),
        };
        let plan = expand(&asked.graph, &asked.mapping, &asked.facts(), "run");
        Some(match plan {
            Ok(plan) => Ok(Live {
                seen: vec![Seen::Not; plan.jobs.len()],
                active: asked.graph.max_active_tasks.map(|n| n as usize),
                plan,
                running: BTreeMap::new(),
                looked_at: Millis(0),
                driven_at: Millis(0),
                driven_of: 0,
            }),
            Err(problems) => Err(problems
                .iter()
                .map(|p| p.to_string())
                .collect::<Vec<_>>()
                .join("; ")),
        })
    }

    /// Looks at all jobs anew, and decides.
    pub fn look(&mut self, record: &RunRecord, most: usize, env: &Env) -> Decision {
        self.looked_at = env.out.now;
        for (seen, job) in self.seen.iter_mut().zip(&self.plan.jobs) {
            if matches!(*seen, Seen::Done | Seen::Aborted | Seen::Foreign) {
                continue;
            }
            let id = &job.submission.job;
            let state = match (env.mirror.final_of(id), env.mirror.jobs.get(id)) {
                (Some(end), _) => Some((end.state, end.run)),
                (None, Some(v)) => Some((v.value.state, v.value.run)),
                (None, None) => None,
            };
            *seen = match state {
                None => *seen,
                Some((_, false)) => Seen::Foreign,
                Some((JobState::Open, true)) => Seen::Open,
                Some((JobState::Done, true)) => Seen::Done,
                Some((JobState::Cancelled, true)) => Seen::Aborted,
            };
        }
        let failed: BTreeSet<usize> = record.failed.iter().map(|(t, _)| t.0 as usize).collect();
        decide(
            &self.plan,
            &self.seen,
            &failed,
            record.cancel,
            self.active,
            most,
        )
    }

    /// Open jobs that have failed for good: too often, or for too long. `errors` is how often the worst
    /// task of a job has failed.
    pub fn failing(&mut self, errors: &BTreeMap<JobId, u32>, env: &Env) -> Vec<u32> {
        let mut failing = Vec::new();
        for (i, job) in self.plan.jobs.iter().enumerate() {
            if self.seen[i] != Seen::Open {
                self.running.remove(&i);
                continue;
            }
            let id = &job.submission.job;
            let often = errors.get(id).is_some_and(|n| *n > job.retries);
            let long = job.timeout_s.is_some_and(|timeout_s| {
                let record = env.mirror.jobs.get(id).map(|v| &v.value);
                let counts = record.map(|r| env.mirror.counts(id, &r.parts, r.tasks));
                if counts.is_none_or(|(_, running)| running == 0) {
                    self.running.remove(&i);
                    return false;
                }
                let since = *self.running.entry(i).or_insert(env.out.now);
                env.out.now.since(since) as f64 > timeout_s * 1000.0
            });
            if often || long {
                failing.push(i as u32);
            }
        }
        failing
    }
}
