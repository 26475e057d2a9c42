//! A submission until it waits to be written: what is wrong with it, known of it, needed by it.

use super::reading::{UNKNOWN_NEEDS, knows_confirmed};
use super::{Accept, Gateway};
use crate::bookkeeping::store::{Class, GetResult};
use crate::coordination::env::{Env, ReadFor, Tag};
use crate::outbox::Response;
use snowshelf_model::ids::{ConnId, JobId};
use snowshelf_model::protocol::user::{self, Submission};
use snowshelf_model::records::{Format, Grant, JobSpec, Kind, job_key};
use std::collections::BTreeSet;

/// Most jobs that a submission may need and that are looked up for it; the change feed brings the
/// others soon.
const LOOKED_UP: usize = 16;
/// Submissions that may wait beside one of a run.
const OWN_WAITING: usize = 4;
/// Keys that accepting a job mostly writes: its own and one or two shares.
const WRITES_A_JOB: usize = 3;

impl Gateway {
    pub fn submit(&mut self, conn: ConnId, body: &[u8], env: &mut Env) {
        let Submission { job, spec, needs } = match user::parse_submission(body) {
            Ok(parsed) => parsed,
            Err(error) => {
                tracing::info!(%error, "submission is malformed");
                match user::named(body) {
                    // Guards against forgetting a job that was accepted: only the state service knows that it was not.
                    Some(job) => self.read(conn, &job, ReadFor::Malformed(error), env),
                    None => {
                        let refused = Response::error(400, &error.to_string());
                        env.out.respond(conn, refused);
                    }
                }
                return;
            }
        };
        if let Some(end) = env.mirror.final_of(&job) {
            self.tell_final(conn, &job, end, ReadFor::Resubmit, env);
            return;
        }
        if env.types.is_empty() || !env.mirror.shares_read {
            let later = Response::later(503, "not able to decide yet", 2);
            env.out.respond(conn, later);
            return;
        }
        // A job already accepted is answered by its state, whatever the limits are now.
        let known = env.mirror.jobs.contains_key(&job);
        if !known
            && let Some(why) = never_runs(&spec, env).or_else(|| needs_badly(&job, &needs, env))
        {
            // Guards against forgetting a job that was accepted under other limits: only the state
            // service knows that it was not.
            self.read(conn, &job, ReadFor::Refuse(why), env);
            return;
        }
        if !known && !needs.is_empty() && env.terms.format == Format::Narrow {
            let later = Response::later(503, "not every controller takes needs yet", 2);
            env.out.respond(conn, later);
            return;
        }
        if !known && !needs.is_empty() && !knows_confirmed(env) {
            // What it needs may have been cancelled long ago.
            let later = Response::later(503, UNKNOWN_NEEDS, 1);
            env.out.respond(conn, later);
            return;
        }
        if let Some(same) = self.waiting().find(|a| a.job == job) {
            same.conns.push(conn);
            return;
        }
        // More than can be written within about a second is refused at once.
        let waiting = self.queue.len() * WRITES_A_JOB;
        let per_second = env.store.write_rate();
        if waiting as f64 > 0.7 * per_second {
            let later = Response::later(503, "too many submissions", 2);
            env.out.respond(conn, later);
            return;
        }
        let accept = Accept {
            conns: vec![conn],
            job,
            spec,
            needs,
            pieces: 0,
            since: env.now(),
            run: false,
            pause_ms: 0,
        };
        if let Err(later) = self.take(accept, known, env) {
            env.out.respond(conn, later);
        }
    }

    /// Everything taken in and not yet sent to be written.
    pub(super) fn waiting(&mut self) -> impl Iterator<Item = &mut Accept> {
        let checked = self.checking.values_mut().map(|(a, _)| a);
        let divided = self.dividing.values_mut().map(|d| &mut d.accept);
        self.queue.iter_mut().chain(checked).chain(divided)
    }

    /// Takes a submission in: at once, or when the jobs that it needs have been looked up.
    fn take(&mut self, accept: Accept, known: bool, env: &mut Env) -> Result<(), Response> {
        let unknown: BTreeSet<JobId> = accept
            .needs
            .iter()
            .filter(|n| !known && !env.mirror.knows_job(n))
            .cloned()
            .collect();
        if unknown.is_empty() {
            self.queue.push_back(accept);
            return Ok(());
        }
        if unknown.len() > LOOKED_UP || !env.store.may(env.now(), Class::Accept, 0) {
            let why = "jobs that it needs are not known here yet";
            return Err(Response::later(503, why, 1));
        }
        // The mirror's silence proves nothing: a job accepted a moment ago has not come yet, and
        // one that ended long ago may have been dropped.
        self.next += 1;
        for need in &unknown {
            let tag = Tag::Needed(Some(self.next), need.clone());
            env.store.get(env.out, tag, &job_key(need), 1_500);
        }
        self.checking.insert(self.next, (accept, unknown));
        Ok(())
    }

    /// Takes a job of a graph's run, with room that users' submissions leave; false if not now. Once
    /// it is accepted the mirror has it; a try that fails is made again by the run.
    pub fn submit_own(&mut self, submission: &Submission, pause_ms: u64, env: &mut Env) -> bool {
        let job = &submission.job;
        let waits = self.waiting().any(|a| a.job == *job);
        let mut sent = self.batches.values().flat_map(|b| &b.accepts);
        if waits
            || sent.any(|a| a.job == *job)
            || self.waiting().count() >= OWN_WAITING
            || !env.store.may(env.now(), Class::Starts, WRITES_A_JOB)
        {
            return false;
        }
        let accept = Accept {
            conns: Vec::new(),
            job: job.clone(),
            spec: submission.spec.clone(),
            needs: submission.needs.clone(),
            pieces: 0,
            since: env.now(),
            run: true,
            pause_ms,
        };
        self.take(accept, false, env).is_ok()
    }

    /// The answer about a job that the submission `id` needs; the mirror has it by now.
    pub fn needed(&mut self, id: u64, need: &JobId, result: &GetResult, env: &mut Env) {
        let Some((accept, unknown)) = self.checking.get_mut(&id) else {
            return;
        };
        unknown.remove(need);
        let why = match result {
            GetResult::Found(_) => {
                if !unknown.is_empty() {
                    return;
                }
                needs_badly(&accept.job, &accept.needs, env)
            }
            GetResult::Missing(_) => Some("it needs a job that was never accepted"),
            GetResult::Failed => None,
        };
        let Some((accept, _)) = self.checking.remove(&id) else {
            return;
        };
        match (result, why) {
            (_, Some(why)) => {
                for conn in accept.conns {
                    self.read(conn, &accept.job, ReadFor::Refuse(why), env);
                }
            }
            (GetResult::Failed, None) => {
                for conn in accept.conns {
                    let later = Response::later(503, "the state service did not answer", 1);
                    env.out.respond(conn, later);
                }
            }
            (_, None) => self.queue.push_back(accept),
        }
    }
}

/// Why a job can never run here, if so.
pub fn never_runs(spec: &JobSpec, env: &Env) -> Option<&'static str> {
    let Some(team) = env
        .cfg
        .settings
        .deployment
        .teams
        .iter()
        .find(|t| t.name == spec.team.as_str())
    else {
        return Some("unknown team");
    };
    let fits = env.types.values().any(|t| {
        spec.types.as_ref().is_none_or(|l| l.contains(&t.label))
            && spec.zone.as_ref().is_none_or(|z| t.zones.contains(z))
            && spec.room.fits_in(t.room())
    });
    if !fits {
        return Some("a task fits no allowed machine type");
    }
    let count = match spec.kind {
        Kind::Batch => 1,
        Kind::Standing => spec.tasks,
    };
    let limit = Grant {
        cpus: team.cpus_max,
        gpus: team.gpus_max,
    };
    if !limit.covers(Grant::of(spec.room.times(f64::from(count)))) {
        return Some("the job needs more than the team's limit");
    }
    if spec.together && spec.apart && spec.tasks > 1 {
        return Some("the job must be both together and apart");
    }
    None
}

/// Why a submission's needs can never be met, if so, as far as the jobs are known here.
fn needs_badly(job: &JobId, needs: &[JobId], env: &Env) -> Option<&'static str> {
    let standing = |need: &JobId| {
        let record = env.mirror.jobs.get(need).map(|v| &v.value);
        let spec = record.and_then(|r| r.spec.as_ref());
        spec.is_some_and(|s| s.kind == Kind::Standing)
    };
    if needs.contains(job) {
        Some("it needs itself")
    } else if needs.iter().any(standing) {
        Some("it needs a service, which is never done")
    } else {
        None
    }
}
