//! Admission of submissions: from a request until the job waits to be committed.

use super::dependency_chunks::ChunkedSubmission;
use super::feasibility::{RejectionReason, check_dependencies, check_feasible};
use super::job_status::cancellations_known;
use super::{JobApi, JobApiRequest, JobReadPurpose};
use crate::coordination::context::{Context, KvRequest};
use crate::coordination::unavailable::Unavailable;
use crate::effects::Response;
use crate::storage::kv_client::{GetOutcome, RequestPriority};
use snowshelf_model::ids::{ConnectionId, JobId, MonotonicMillis};
use snowshelf_model::protocol::user::{self, InvalidField, Submission};
use snowshelf_model::records::{JobSpec, RecordFormat, job_key};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

/// Most dependencies that are looked up for one submission; the watch brings the others soon.
const MAX_DEPENDENCY_LOOKUPS: usize = 16;
/// Pending submissions beside which one of a DAG run is still taken.
const MAX_PENDING_BESIDE_RUN: usize = 4;
/// Keys that accepting a job mostly writes: its own and one or two allocations.
const WRITES_PER_JOB: usize = 3;
/// Seconds' worth of writes that pending submissions may make up.
const MAX_BACKLOG_S: f64 = 0.7;
/// Timeout of the read of a dependency's record, in milliseconds.
const LOOKUP_TIMEOUT_MS: u64 = 1_500;

/// A submission that is not durable yet.
pub(super) struct PendingSubmission {
    /// Who waits for the response: several users if the request was repeated, nobody for a DAG run's job.
    pub(super) connections: Vec<ConnectionId>,
    pub(super) job: JobId,
    pub(super) spec: JobSpec,
    pub(super) dependencies: Vec<JobId>,
    /// In how many records of their own its dependencies have been written.
    pub(super) chunk_count: u32,
    pub(super) queued_at: MonotonicMillis,
    /// Whether a DAG run submits it.
    pub(super) from_run: bool,
    pub(super) pause_ms: u64,
}

/// A submission some of whose dependencies are being read, since the record cache lacks them.
struct DependencyLookup {
    submission: PendingSubmission,
    missing: BTreeSet<JobId>,
}

/// Submissions that are admitted or about to be, before their transaction is sent.
#[derive(Default)]
pub(super) struct AdmissionQueue {
    /// Those that only wait to be committed, oldest first.
    pub(super) ready: VecDeque<PendingSubmission>,
    /// Those whose dependencies are being looked up, by request number.
    lookups: HashMap<u64, DependencyLookup>,
    /// Those whose dependencies are being written in chunks, by request number.
    pub(super) chunked: BTreeMap<u64, ChunkedSubmission>,
}

impl AdmissionQueue {
    fn iter_mut(&mut self) -> impl Iterator<Item = &mut PendingSubmission> {
        let looked_up = self.lookups.values_mut().map(|l| &mut l.submission);
        let chunked = self.chunked.values_mut().map(|c| &mut c.submission);
        self.ready.iter_mut().chain(looked_up).chain(chunked)
    }

    /// The pending submission of a job.
    pub(super) fn find_mut(&mut self, job: &JobId) -> Option<&mut PendingSubmission> {
        self.iter_mut().find(|s| s.job == *job)
    }

    fn len(&self) -> usize {
        self.ready.len() + self.lookups.len() + self.chunked.len()
    }
}

/// Why a submission is not admitted now.
enum NotAdmitted {
    /// It can never run.
    Rejected(RejectionReason),
    /// It cannot be decided on now.
    Unavailable(Unavailable),
}

impl From<RejectionReason> for NotAdmitted {
    fn from(reason: RejectionReason) -> NotAdmitted {
        NotAdmitted::Rejected(reason)
    }
}

impl From<Unavailable> for NotAdmitted {
    fn from(reason: Unavailable) -> NotAdmitted {
        NotAdmitted::Unavailable(reason)
    }
}

impl JobApi {
    /// Handles a user's submission.
    pub fn submit(&mut self, connection: ConnectionId, body: &[u8], context: &mut Context<'_>) {
        let submission = match user::parse_submission(body) {
            Ok(submission) => submission,
            Err(error) => {
                self.reject_malformed(connection, body, error, context);
                return;
            }
        };
        let job = &submission.job;
        if let Some(end) = context.records.finished_job(job) {
            self.respond_final(connection, job, end, JobReadPurpose::Resubmit, context);
            return;
        }
        match check_admissible(&submission, context) {
            Ok(()) => {}
            Err(NotAdmitted::Rejected(reason)) => {
                // Guards against forgetting a job that was accepted under other limits: only the key-value
                // store knows that it was not.
                self.read_job(connection, job, JobReadPurpose::Reject(reason), context);
                return;
            }
            Err(NotAdmitted::Unavailable(reason)) => {
                context.effects.respond(connection, reason.into());
                return;
            }
        }
        if let Some(same) = self.admission.find_mut(job) {
            same.connections.push(connection);
            return;
        }
        // More than can be written within about a second is refused at once.
        let backlog = self.admission.ready.len() * WRITES_PER_JOB;
        if backlog as f64 > MAX_BACKLOG_S * context.kv.write_rate() {
            let unavailable = Unavailable::TooManySubmissions.into();
            context.effects.respond(connection, unavailable);
            return;
        }
        let pending = PendingSubmission {
            connections: vec![connection],
            job: submission.job,
            spec: submission.spec,
            dependencies: submission.dependencies,
            chunk_count: 0,
            queued_at: context.now(),
            from_run: false,
            pause_ms: 0,
        };
        if let Err(reason) = self.admit(pending, context) {
            context.effects.respond(connection, reason.into());
        }
    }

    /// Answers a submission that cannot be parsed.
    fn reject_malformed(
        &mut self,
        connection: ConnectionId,
        body: &[u8],
        error: InvalidField,
        context: &mut Context<'_>,
    ) {
        tracing::info!(%error, "submission rejected: malformed");
        match user::submitted_job(body) {
            // Guards against forgetting a job that was accepted: only the key-value store knows that it
            // was not.
            Some(job) => {
                self.read_job(connection, &job, JobReadPurpose::Malformed(error), context);
            }
            None => {
                let rejected = Response::error(400, &error.to_string());
                context.effects.respond(connection, rejected);
            }
        }
    }

    /// Queues a submission, at once or when its dependencies have been looked up.
    fn admit(
        &mut self,
        submission: PendingSubmission,
        context: &mut Context<'_>,
    ) -> Result<(), Unavailable> {
        let is_cached = !submission.from_run && context.records.jobs.contains_key(&submission.job);
        let missing: BTreeSet<JobId> = submission
            .dependencies
            .iter()
            .filter(|dependency| !is_cached && !context.records.contains_job(dependency))
            .cloned()
            .collect();
        if missing.is_empty() {
            self.admission.ready.push_back(submission);
            return Ok(());
        }
        if missing.len() > MAX_DEPENDENCY_LOOKUPS
            || !context
                .kv
                .has_budget(context.now(), RequestPriority::Admission, 0)
        {
            return Err(Unavailable::DependenciesNotCached);
        }
        // That the record cache lacks a job proves nothing: one accepted a moment ago has not come yet,
        // and one that ended long ago may have been dropped.
        let id = self.next_request_id();
        for dependency in &missing {
            let request = KvRequest::JobApi(JobApiRequest::ReadDependency {
                submission: id,
                job: dependency.clone(),
            });
            let key = job_key(dependency);
            context
                .kv
                .get(context.effects, request, &key, LOOKUP_TIMEOUT_MS);
        }
        let lookup = DependencyLookup {
            submission,
            missing,
        };
        self.admission.lookups.insert(id, lookup);
        Ok(())
    }

    /// Submits a job of a DAG run, if users' submissions leave room; false if not now. Once it is
    /// accepted the record cache has it; an attempt that fails is repeated by the run.
    #[must_use]
    pub fn submit_for_run(
        &mut self,
        submission: &Submission,
        pause_ms: u64,
        context: &mut Context<'_>,
    ) -> bool {
        let job = &submission.job;
        if self.admission.find_mut(job).is_some()
            || self.commits.contains(job)
            || self.admission.len() >= MAX_PENDING_BESIDE_RUN
            || !context
                .kv
                .has_budget(context.now(), RequestPriority::TaskStarts, WRITES_PER_JOB)
        {
            return false;
        }
        let pending = PendingSubmission {
            connections: Vec::new(),
            job: job.clone(),
            spec: submission.spec.clone(),
            dependencies: submission.dependencies.clone(),
            chunk_count: 0,
            queued_at: context.now(),
            from_run: true,
            pause_ms,
        };
        self.admit(pending, context).is_ok()
    }

    /// Handles the read of a dependency of the submission `id`; the record cache has it by now.
    pub(super) fn on_dependency_read(
        &mut self,
        id: u64,
        dependency: &JobId,
        outcome: &GetOutcome,
        context: &mut Context<'_>,
    ) {
        let Some(lookup) = self.admission.lookups.get_mut(&id) else {
            return;
        };
        lookup.missing.remove(dependency);
        let result = match outcome {
            GetOutcome::Found(_) if !lookup.missing.is_empty() => return,
            GetOutcome::Found(_) => {
                let PendingSubmission {
                    job, dependencies, ..
                } = &lookup.submission;
                check_dependencies(job, dependencies, context).map_err(NotAdmitted::from)
            }
            GetOutcome::NotFound(_) => Err(RejectionReason::UnknownDependency.into()),
            GetOutcome::Failed => Err(Unavailable::StoreNotResponding.into()),
        };
        let Some(DependencyLookup { submission, .. }) = self.admission.lookups.remove(&id) else {
            return;
        };
        match result {
            Ok(()) => self.admission.ready.push_back(submission),
            Err(NotAdmitted::Rejected(reason)) => {
                let purpose = JobReadPurpose::Reject(reason);
                for connection in submission.connections {
                    self.read_job(connection, &submission.job, purpose, context);
                }
            }
            Err(NotAdmitted::Unavailable(reason)) => {
                for connection in submission.connections {
                    context.effects.respond(connection, reason.into());
                }
            }
        }
    }
}

/// Checks whether a submission can be decided on now, and whether its job can ever run. A job that is
/// accepted already is answered by its state, whatever the limits are now.
fn check_admissible(submission: &Submission, context: &Context<'_>) -> Result<(), NotAdmitted> {
    let Submission {
        job,
        spec,
        dependencies,
    } = submission;
    if context.machine_types.is_empty() || !context.records.allocations_read {
        return Err(Unavailable::NotReady.into());
    }
    if context.records.jobs.contains_key(job) {
        return Ok(());
    }
    check_feasible(spec, context)?;
    check_dependencies(job, dependencies, context)?;
    if dependencies.is_empty() {
        return Ok(());
    }
    if context.storage_limits.format == RecordFormat::V1 {
        return Err(Unavailable::DependenciesUnsupported.into());
    }
    if !cancellations_known(context) {
        // A dependency may have been cancelled long ago.
        return Err(Unavailable::CancellationsUnknown.into());
    }
    Ok(())
}
