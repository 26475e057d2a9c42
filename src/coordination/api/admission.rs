//! Admission of submissions: parsing, validation and dependency lookups, until a job is ready to commit.

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

/// Maximum dependency records read for one submission. If more are missing, the client is asked to retry,
/// because the watch soon adds them to the record cache.
const MAX_DEPENDENCY_LOOKUPS: usize = 16;
/// Number of pending submissions at which jobs of DAG runs are no longer admitted, so that users'
/// submissions take precedence.
const MAX_PENDING_FOR_DAG_RUN_JOBS: usize = 4;
/// Typical number of keys written to accept a job: its record and one or two allocations.
const WRITES_PER_JOB: usize = 3;
/// Maximum backlog of ready submissions, in seconds at the controller's write rate.
const MAX_BACKLOG_S: f64 = 0.7;
/// Timeout for reading a dependency's record, in milliseconds.
const LOOKUP_TIMEOUT_MS: u64 = 1_500;

/// A submission whose job record is not yet written.
pub(super) struct PendingSubmission {
    /// Connections awaiting the response: several if the request was repeated, none for a job of a DAG run.
    pub(super) connections: Vec<ConnectionId>,
    pub(super) job: JobId,
    pub(super) spec: JobSpec,
    pub(super) dependencies: Vec<JobId>,
    /// Number of dependency chunk records written; 0 if the job's record holds the dependencies.
    pub(super) chunk_count: u32,
    pub(super) queued_at: MonotonicMillis,
    /// Whether a DAG run submitted the job.
    pub(super) from_dag_run: bool,
    pub(super) pause_ms: u64,
}

/// A submission whose dependencies are being read because the record cache lacks them.
struct DependencyLookup {
    submission: PendingSubmission,
    missing: BTreeSet<JobId>,
}

/// Submissions whose transaction has not been sent yet.
#[derive(Default)]
pub(super) struct AdmissionQueue {
    /// Submissions ready to commit, oldest first.
    pub(super) ready: VecDeque<PendingSubmission>,
    /// Submissions with dependency lookups in flight, by request number.
    lookups: HashMap<u64, DependencyLookup>,
    /// Submissions whose dependencies are being written in chunks, by request number.
    pub(super) chunked: BTreeMap<u64, ChunkedSubmission>,
}

impl AdmissionQueue {
    fn iter_mut(&mut self) -> impl Iterator<Item = &mut PendingSubmission> {
        let looked_up = self.lookups.values_mut().map(|l| &mut l.submission);
        let chunked = self.chunked.values_mut().map(|c| &mut c.submission);
        self.ready.iter_mut().chain(looked_up).chain(chunked)
    }

    /// Returns the pending submission of a job.
    pub(super) fn find_mut(&mut self, job: &JobId) -> Option<&mut PendingSubmission> {
        self.iter_mut().find(|s| s.job == *job)
    }

    fn len(&self) -> usize {
        self.ready.len() + self.lookups.len() + self.chunked.len()
    }
}

/// Why a submission is not admitted.
enum AdmissionError {
    /// The job can never run.
    Rejected(RejectionReason),
    /// The submission cannot be decided now; the client may retry.
    Unavailable(Unavailable),
}

impl From<RejectionReason> for AdmissionError {
    fn from(reason: RejectionReason) -> AdmissionError {
        AdmissionError::Rejected(reason)
    }
}

impl From<Unavailable> for AdmissionError {
    fn from(reason: Unavailable) -> AdmissionError {
        AdmissionError::Unavailable(reason)
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
            Err(AdmissionError::Rejected(reason)) => {
                // The job may have been accepted under earlier limits; only the key-value store can rule
                // that out.
                self.read_job(connection, job, JobReadPurpose::Reject(reason), context);
                return;
            }
            Err(AdmissionError::Unavailable(reason)) => {
                context.effects.respond(connection, reason.into());
                return;
            }
        }
        if let Some(pending) = self.admission.find_mut(job) {
            pending.connections.push(connection);
            return;
        }
        // Refuses the submission if the backlog could not be written within about a second.
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
            from_dag_run: false,
            pause_ms: 0,
        };
        if let Err(reason) = self.admit(pending, context) {
            context.effects.respond(connection, reason.into());
        }
    }

    /// Responds to a submission that cannot be parsed.
    fn reject_malformed(
        &mut self,
        connection: ConnectionId,
        body: &[u8],
        error: InvalidField,
        context: &mut Context<'_>,
    ) {
        tracing::info!(%error, "submission rejected: malformed");
        match user::submitted_job(body) {
            // The job may have been accepted before; only the key-value store can rule that out.
            Some(job) => {
                self.read_job(connection, &job, JobReadPurpose::Malformed(error), context);
            }
            None => {
                let rejected = Response::error(400, &error.to_string());
                context.effects.respond(connection, rejected);
            }
        }
    }

    /// Queues a submission for commit, after reading those dependencies that the record cache lacks.
    fn admit(
        &mut self,
        submission: PendingSubmission,
        context: &mut Context<'_>,
    ) -> Result<(), Unavailable> {
        let is_accepted =
            !submission.from_dag_run && context.records.jobs.contains_key(&submission.job);
        let missing: BTreeSet<JobId> = submission
            .dependencies
            .iter()
            .filter(|dependency| !is_accepted && !context.records.contains_job(dependency))
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
        // A job absent from the record cache may still exist: the watch may not have delivered a recently
        // accepted job, and a job that ended long ago may have been dropped from the cache.
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

    /// Submits a job of a DAG run if users' submissions leave enough budget; returns false otherwise. An
    /// accepted job appears in the record cache. The run repeats an attempt that fails.
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
            || self.admission.len() >= MAX_PENDING_FOR_DAG_RUN_JOBS
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
            from_dag_run: true,
            pause_ms,
        };
        self.admit(pending, context).is_ok()
    }

    /// Handles the outcome of reading a dependency of the submission `id`. Once all its missing dependencies
    /// are found, the submission is ready to commit if they pass the check. The first one that does not exist
    /// or cannot be read ends the submission: its job is rejected unless it was accepted before, or its
    /// clients are asked to retry. The caller has already added a record that was found to the record cache.
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
                check_dependencies(job, dependencies, context).map_err(AdmissionError::from)
            }
            GetOutcome::NotFound(_) => Err(RejectionReason::UnknownDependency.into()),
            GetOutcome::Failed => Err(Unavailable::StoreNotResponding.into()),
        };
        let Some(DependencyLookup { submission, .. }) = self.admission.lookups.remove(&id) else {
            return;
        };
        match result {
            Ok(()) => self.admission.ready.push_back(submission),
            Err(AdmissionError::Rejected(reason)) => {
                let purpose = JobReadPurpose::Reject(reason);
                for connection in submission.connections {
                    self.read_job(connection, &submission.job, purpose, context);
                }
            }
            Err(AdmissionError::Unavailable(reason)) => {
                for connection in submission.connections {
                    context.effects.respond(connection, reason.into());
                }
            }
        }
    }
}

/// Checks whether a submission can be decided now and whether its job can ever run. A job that is already
/// accepted passes regardless of the current limits, because the response reports its state.
fn check_admissible(submission: &Submission, context: &Context<'_>) -> Result<(), AdmissionError> {
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
        // Another controller may have cancelled a dependency some time ago without this one knowing.
        return Err(Unavailable::CancellationsUnknown.into());
    }
    Ok(())
}
