//! A run that is open, as this controller pictures it.

use crate::coordination::context::Context;
use crate::storage::record_cache::ChunkKey;
use snowshelf_dag::packing;
use snowshelf_dag::plan::{Plan, expand, job_id};
use snowshelf_dag::run::{Asked, Decision, Seen, decide};
use snowshelf_model::ids::{JobId, MonotonicMillis};
use snowshelf_model::protocol::user::Submission;
use snowshelf_model::records::{JobState, RunId, RunRecord};
use std::collections::{BTreeMap, BTreeSet};

pub(super) struct Live {
    pub plan: Plan,
    pub active: Option<usize>,
    /// What was last seen of each job; ends stay, whatever the picture forgets.
    seen: Vec<Seen>,
    /// Ids of each job in earlier runs, and whether it succeeded in one of them; the latter is known once
    /// all of the former have been looked up.
    earlier: Vec<Vec<JobId>>,
    inherited: Vec<bool>,
    /// Since when a job with a timeout has run.
    running: BTreeMap<usize, MonotonicMillis>,
    pub looked_at: MonotonicMillis,
    /// When it was last driven on, and as of which changes of jobs. Guards against a run that stands
    /// still because somebody asks about it all the time.
    pub driven_at: MonotonicMillis,
    pub driven_of: u64,
}

/// What a run was asked for, once all its pieces are there.
pub(super) fn asked_of(
    id: &RunId,
    record: &RunRecord,
    context: &Context,
) -> Option<Result<Asked, String>> {
    packing::unpack_pieces(record.pieces, |piece| {
        let key = ChunkKey {
            owner: id.clone(),
            hash: record.hash.clone(),
            chunk: piece,
        };
        context
            .records
            .plan_chunks
            .get(&key)
            .map(|text| text.as_str())
    })
}

impl Live {
    /// From its pieces, once all are there; an error if they are none that can be expanded.
    pub fn build(
        id: &RunId,
        record: &RunRecord,
        context: &Context,
    ) -> Option<Result<Live, String>> {
        let asked = match asked_of(id, record, context)? {
            Ok(asked) => asked,
            Err(why) => return Some(Err(why)),
        };
        let plan = expand(&asked.graph, &asked.mapping, &asked.facts(), "run");
        Some(match plan {
            Ok(plan) => Ok(Live {
                earlier: plan
                    .jobs
                    .iter()
                    .map(|j| {
                        let runs = asked.after.iter();
                        runs.map(|run| job_id(&id.graph, run, &j.step, j.copy))
                            .collect()
                    })
                    .collect(),
                inherited: vec![false; plan.jobs.len()],
                seen: vec![Seen::Not; plan.jobs.len()],
                active: asked.graph.max_active_tasks.map(|n| n as usize),
                plan,
                running: BTreeMap::new(),
                looked_at: MonotonicMillis(0),
                driven_at: MonotonicMillis(0),
                driven_of: 0,
            }),
            Err(problems) => Err(problems
                .iter()
                .map(|p| p.to_string())
                .collect::<Vec<_>>()
                .join("; ")),
        })
    }

    /// Looks up what became of jobs in earlier runs; the ids of some that must be read first, if any.
    pub fn inherit(&mut self, most: usize, context: &Context) -> Vec<JobId> {
        let mut unknown = Vec::new();
        for (i, ids) in self.earlier.iter_mut().enumerate() {
            ids.retain(|id| match context.records.finished_job(id) {
                Some(end) => {
                    self.inherited[i] |= end.run && end.state == JobState::Done;
                    false
                }
                // Open, or not known here.
                None => !self.inherited[i],
            });
            if self.inherited[i] {
                ids.clear();
                self.seen[i] = Seen::Done;
            } else if unknown.len() < most {
                unknown.extend(ids.first().cloned());
            }
        }
        unknown
    }

    /// That a job was never submitted in an earlier run.
    pub fn never(&mut self, id: &JobId) {
        for ids in &mut self.earlier {
            ids.retain(|other| other != id);
        }
    }

    /// Whether all earlier runs have been looked up.
    pub fn inherits(&self) -> bool {
        self.earlier.iter().all(Vec::is_empty)
    }

    /// A job as it is submitted: without the needs that an earlier run has met.
    pub fn submission(&self, i: usize) -> Submission {
        let job = &self.plan.jobs[i];
        let mut submission = job.submission.clone();
        let met = |id: &JobId| {
            let mut above = job.after.iter();
            above.any(|a| self.inherited[*a] && self.plan.jobs[*a].submission.job == *id)
        };
        submission.dependencies.retain(|id| !met(id));
        submission
    }

    /// Looks at all jobs anew, and decides.
    pub fn look(&mut self, record: &RunRecord, most: usize, context: &Context) -> Decision {
        self.looked_at = context.effects.now;
        for (seen, job) in self.seen.iter_mut().zip(&self.plan.jobs) {
            if matches!(*seen, Seen::Done | Seen::Aborted | Seen::Foreign) {
                continue;
            }
            let id = &job.submission.job;
            let state = match (
                context.records.finished_job(id),
                context.records.jobs.get(id),
            ) {
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
    pub fn failing(&mut self, errors: &BTreeMap<JobId, u32>, context: &Context) -> Vec<u32> {
        let mut failing = Vec::new();
        for (i, job) in self.plan.jobs.iter().enumerate() {
            if self.seen[i] != Seen::Open {
                self.running.remove(&i);
                continue;
            }
            let id = &job.submission.job;
            let often = errors.get(id).is_some_and(|n| *n > job.retries);
            let long = job.timeout_s.is_some_and(|timeout_s| {
                let record = context.records.jobs.get(id).map(|v| &v.value);
                let counts = record.map(|r| context.records.task_counts(id, &r.shards, r.tasks));
                if counts.is_none_or(|counts| counts.running == 0) {
                    self.running.remove(&i);
                    return false;
                }
                let since = *self.running.entry(i).or_insert(context.effects.now);
                context.effects.now.since(since) as f64 > timeout_s * 1000.0
            });
            if often || long {
                failing.push(i as u32);
            }
        }
        failing
    }
}
