//! A submission until it waits to be written: what is wrong with it, known of it, needed by it.

use super::job_status::{UNKNOWN_DEPENDENCIES, knows_confirmed};
use super::{Accept, JobApi, JobApiRequest, JobReadPurpose};
use crate::coordination::context::{Context, KvRequest};
use crate::effects::Response;
use crate::storage::kv_client::{GetOutcome, RequestPriority};
use snowshelf_model::ids::{ConnectionId, JobId};
use snowshelf_model::protocol::user::{self, Submission};
use snowshelf_model::records::{Grant, JobKind, JobSpec, RecordFormat, job_key};
use std::collections::BTreeSet;

/// Most jobs that a submission may need and that are looked up for it; the change feed brings the
/// others soon.
const LOOKED_UP: usize = 16;
/// Submissions that may wait beside one of a run.
const OWN_WAITING: usize = 4;
/// Keys that accepting a job mostly writes: its own and one or two shares.
const WRITES_A_JOB: usize = 3;

impl JobApi {
    pub fn submit(&mut self, conn: ConnectionId, body: &[u8], context: &mut Context) {
        let Submission {
            job,
            spec,
            dependencies,
        } = match user::parse_submission(body) {
            Ok(parsed) => parsed,
            Err(error) => {
                tracing::info!(%error, "submission rejected: malformed");
                match user::submitted_job(body) {
                    // Guards against forgetting a job that was accepted: only the state service knows that it was not.
                    Some(job) => self.read(conn, &job, JobReadPurpose::Malformed(error), context),
                    None => {
                        let refused = Response::error(400, &error.to_string());
                        context.effects.respond(conn, refused);
                    }
                }
                return;
            }
        };
        if let Some(end) = context.records.finished_job(&job) {
            self.tell_final(conn, &job, end, JobReadPurpose::Resubmit, context);
            return;
        }
        if context.types.is_empty() || !context.records.allocations_read {
            let later = Response::later(503, "not able to decide yet", 2);
            context.effects.respond(conn, later);
            return;
        }
        // A job already accepted is answered by its state, whatever the limits are now.
        let known = context.records.jobs.contains_key(&job);
        if !known
            && let Some(why) = never_runs(&spec, context)
                .or_else(|| unsatisfiable_dependency(&job, &dependencies, context))
        {
            // Guards against forgetting a job that was accepted under other limits: only the state
            // service knows that it was not.
            self.read(conn, &job, JobReadPurpose::Refuse(why), context);
            return;
        }
        if !known && !dependencies.is_empty() && context.storage_limits.format == RecordFormat::V1 {
            let later = Response::later(503, "not every controller takes needs yet", 2);
            context.effects.respond(conn, later);
            return;
        }
        if !known && !dependencies.is_empty() && !knows_confirmed(context) {
            // What it needs may have been cancelled long ago.
            let later = Response::later(503, UNKNOWN_DEPENDENCIES, 1);
            context.effects.respond(conn, later);
            return;
        }
        if let Some(same) = self.waiting().find(|a| a.job == job) {
            same.conns.push(conn);
            return;
        }
        // More than can be written within about a second is refused at once.
        let waiting = self.queue.len() * WRITES_A_JOB;
        let per_second = context.kv.write_rate();
        if waiting as f64 > 0.7 * per_second {
            let later = Response::later(503, "too many submissions", 2);
            context.effects.respond(conn, later);
            return;
        }
        let accept = Accept {
            conns: vec![conn],
            job,
            spec,
            dependencies,
            pieces: 0,
            since: context.now(),
            run: false,
            pause_ms: 0,
        };
        if let Err(later) = self.take(accept, known, context) {
            context.effects.respond(conn, later);
        }
    }

    /// Everything taken in and not yet sent to be written.
    pub(super) fn waiting(&mut self) -> impl Iterator<Item = &mut Accept> {
        let checked = self.checking.values_mut().map(|(a, _)| a);
        let divided = self.dividing.values_mut().map(|d| &mut d.accept);
        self.queue.iter_mut().chain(checked).chain(divided)
    }

    /// Takes a submission in: at once, or when the jobs that it needs have been looked up.
    fn take(&mut self, accept: Accept, known: bool, context: &mut Context) -> Result<(), Response> {
        let unknown: BTreeSet<JobId> = accept
            .dependencies
            .iter()
            .filter(|n| !known && !context.records.contains_job(n))
            .cloned()
            .collect();
        if unknown.is_empty() {
            self.queue.push_back(accept);
            return Ok(());
        }
        if unknown.len() > LOOKED_UP
            || !context
                .kv
                .has_budget(context.now(), RequestPriority::Admission, 0)
        {
            let why = "jobs that it needs are not known here yet";
            return Err(Response::later(503, why, 1));
        }
        // The mirror's silence proves nothing: a job accepted a moment ago has not come yet, and
        // one that ended long ago may have been dropped.
        self.next += 1;
        for dependency in &unknown {
            let tag = KvRequest::JobApi(JobApiRequest::ReadDependency {
                submission: self.next,
                job: dependency.clone(),
            });
            context
                .kv
                .get(context.effects, tag, &job_key(dependency), 1_500);
        }
        self.checking.insert(self.next, (accept, unknown));
        Ok(())
    }

    /// Takes a job of a graph's run, with room that users' submissions leave; false if not now. Once
    /// it is accepted the mirror has it; a try that fails is made again by the run.
    pub fn submit_own(
        &mut self,
        submission: &Submission,
        pause_ms: u64,
        context: &mut Context,
    ) -> bool {
        let job = &submission.job;
        let waits = self.waiting().any(|a| a.job == *job);
        let mut sent = self.batches.values().flat_map(|b| &b.accepts);
        if waits
            || sent.any(|a| a.job == *job)
            || self.waiting().count() >= OWN_WAITING
            || !context
                .kv
                .has_budget(context.now(), RequestPriority::TaskStarts, WRITES_A_JOB)
        {
            return false;
        }
        let accept = Accept {
            conns: Vec::new(),
            job: job.clone(),
            spec: submission.spec.clone(),
            dependencies: submission.dependencies.clone(),
            pieces: 0,
            since: context.now(),
            run: true,
            pause_ms,
        };
        self.take(accept, false, context).is_ok()
    }

    /// The answer about a job that the submission `id` needs; the mirror has it by now.
    pub fn needed(
        &mut self,
        id: u64,
        dependency: &JobId,
        result: &GetOutcome,
        context: &mut Context,
    ) {
        let Some((accept, unknown)) = self.checking.get_mut(&id) else {
            return;
        };
        unknown.remove(dependency);
        let why = match result {
            GetOutcome::Found(_) => {
                if !unknown.is_empty() {
                    return;
                }
                unsatisfiable_dependency(&accept.job, &accept.dependencies, context)
            }
            GetOutcome::NotFound(_) => Some("it needs a job that was never accepted"),
            GetOutcome::Failed => None,
        };
        let Some((accept, _)) = self.checking.remove(&id) else {
            return;
        };
        match (result, why) {
            (_, Some(why)) => {
                for conn in accept.conns {
                    self.read(conn, &accept.job, JobReadPurpose::Refuse(why), context);
                }
            }
            (GetOutcome::Failed, None) => {
                for conn in accept.conns {
                    let later = Response::later(503, "the state service did not answer", 1);
                    context.effects.respond(conn, later);
                }
            }
            (_, None) => self.queue.push_back(accept),
        }
    }
}

/// Why a job can never run here, if so.
pub fn never_runs(spec: &JobSpec, context: &Context) -> Option<&'static str> {
    let Some(team) = context
        .config
        .settings
        .deployment
        .teams
        .iter()
        .find(|t| t.name == spec.team.as_str())
    else {
        return Some("unknown team");
    };
    let fits = context.types.values().any(|t| {
        spec.types.as_ref().is_none_or(|l| l.contains(&t.label))
            && spec.zone.as_ref().is_none_or(|z| t.zones.contains(z))
            && spec.resources.fits_in(t.room())
    });
    if !fits {
        return Some("a task fits no allowed machine type");
    }
    let count = match spec.kind {
        JobKind::Batch => 1,
        JobKind::Service => spec.tasks,
    };
    let limit = Grant {
        cpus: team.cpus_max,
        gpus: team.gpus_max,
    };
    if !limit.covers(Grant::from(spec.resources.times(f64::from(count)))) {
        return Some("the job needs more than the team's limit");
    }
    if spec.gang && spec.spread && spec.tasks > 1 {
        return Some("the job must be both together and apart");
    }
    None
}

/// Why a submission's needs can never be met, if so, as far as the jobs are known here.
fn unsatisfiable_dependency(
    job: &JobId,
    dependencies: &[JobId],
    context: &Context,
) -> Option<&'static str> {
    let standing = |dependency: &JobId| {
        let record = context.records.jobs.get(dependency).map(|v| &v.value);
        let spec = record.and_then(|r| r.spec.as_ref());
        spec.is_some_and(|s| s.kind == JobKind::Service)
    };
    if dependencies.contains(job) {
        Some("it needs itself")
    } else if dependencies.iter().any(standing) {
        Some("it needs a service, which is never done")
    } else {
        None
    }
}
