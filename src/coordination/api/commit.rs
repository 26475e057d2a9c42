//! Commit of admitted submissions: several are written in one transaction.

use super::admission::PendingSubmission;
use super::dependency_chunks::ChunkedSubmission;
use super::feasibility::RejectionReason;
use super::partitioning::{ShardAssignment, partition};
use super::{JobApi, JobApiRequest, JobReadPurpose};
use crate::coordination::context::{Context, KvRequest};
use crate::coordination::placement::slowest_fetch_gb_per_s;
use crate::coordination::shard_capacity::ShardCapacity;
use crate::coordination::unavailable::Unavailable;
use crate::effects::Response;
use crate::storage::kv_client::{RequestPriority, SwapOutcome};
use serde_json::Value;
use snowshelf_model::ids::{JobId, ShardId, Version, WallClockMillis};
use snowshelf_model::protocol::state::{CompareAndSwap, Mutation};
use snowshelf_model::protocol::user;
use snowshelf_model::records::{JobRecord, JobState, ShardAllocation, allocation_key, job_key};
use std::collections::{BTreeMap, HashMap};

/// How long submissions are collected to share a transaction, in milliseconds.
const BATCH_DELAY_MS: u64 = 15;
/// How long the oldest submission may wait for its transaction before all waiting submissions are refused,
/// in milliseconds.
const COMMIT_DEADLINE_MS: u64 = 1_500;
/// Maximum transactions of submissions in flight.
const MAX_COMMITS_IN_FLIGHT: usize = 3;
/// Transaction size in bytes above which no more submissions are added.
const MAX_BATCH_BYTES: usize = 40 * 1024;
/// Overhead of a write in a transaction, in bytes, in addition to its key and value.
const WRITE_OVERHEAD_BYTES: usize = 40;
/// Timeout for reading a DAG run's job whose commit conflicted, in milliseconds.
const LOOKUP_TIMEOUT_MS: u64 = 1_500;

/// A record written by a transaction.
pub(super) struct RecordWrite {
    key: String,
    value: Value,
}

/// The submissions of one transaction and the records that it writes.
#[derive(Default)]
pub(super) struct CommitBatch {
    submissions: Vec<PendingSubmission>,
    writes: Vec<RecordWrite>,
}

/// Transactions of submissions in flight, by request number.
#[derive(Default)]
pub(super) struct Commits {
    in_flight: HashMap<u64, CommitBatch>,
}

impl Commits {
    /// Returns whether a transaction in flight contains this job.
    pub(super) fn contains(&self, job: &JobId) -> bool {
        let mut submissions = self.in_flight.values().flat_map(|b| &b.submissions);
        submissions.any(|s| s.job == *job)
    }
}

/// A transaction of submissions under construction.
struct BatchBuilder {
    batch: CommitBatch,
    swap: CompareAndSwap,
    bytes: usize,
    /// Capacity by shard after deducting the assignments in the batch.
    capacity: BTreeMap<ShardId, ShardCapacity>,
}

impl BatchBuilder {
    fn put(&mut self, key: String, value: Value) {
        self.bytes += value.to_string().len() + key.len() + WRITE_OVERHEAD_BYTES;
        self.swap.mutations.push(Mutation::put(key.clone(), &value));
        self.batch.writes.push(RecordWrite { key, value });
    }
}

impl JobApi {
    /// Refuses all submissions ready to commit because the key-value store is not responding.
    pub fn refuse_pending(&mut self, context: &mut Context<'_>) {
        for submission in self.admission.ready.drain(..) {
            for connection in submission.connections {
                let unavailable = Unavailable::StoreDown.into();
                context.effects.respond(connection, unavailable);
            }
        }
    }

    /// Commits waiting submissions, as many as one transaction allows.
    pub fn commit_pending(&mut self, context: &mut Context<'_>) {
        let now = context.now();
        let Some(oldest) = self.admission.ready.front().map(|s| s.queued_at) else {
            return;
        };
        if now.since(oldest) > COMMIT_DEADLINE_MS {
            self.refuse_pending(context);
            return;
        }
        if now.since(oldest) < BATCH_DELAY_MS
            || self.commits.in_flight.len() >= MAX_COMMITS_IN_FLIGHT
        {
            return;
        }
        let BatchBuilder { batch, swap, .. } = self.collect_batch(context);
        if batch.submissions.is_empty() {
            return;
        }
        let writes = swap.mutations.len();
        if !context
            .kv
            .has_budget(now, RequestPriority::Admission, writes)
        {
            for submission in batch.submissions.into_iter().rev() {
                self.admission.ready.push_front(submission);
            }
            return;
        }
        let id = self.next_request_id();
        self.commits.in_flight.insert(id, batch);
        let request = KvRequest::JobApi(JobApiRequest::Commit(id));
        context.kv.compare_and_swap(context.effects, request, &swap);
    }

    /// Moves submissions from the queue into a transaction.
    fn collect_batch(&mut self, context: &mut Context<'_>) -> BatchBuilder {
        let now = context.now();
        // A batch larger than the current budget would wait for the token bucket to refill, while smaller
        // writes keep consuming its tokens.
        let budget = context.kv.write_budget(now, RequestPriority::Admission);
        let max_writes = context.storage_limits.txn_ops.min(budget);
        let mut builder = BatchBuilder {
            batch: CommitBatch::default(),
            swap: CompareAndSwap::default(),
            bytes: 0,
            capacity: self.capacity.current(now),
        };
        while let Some(submission) = self.admission.ready.front() {
            let assignments = self.assign_shards(submission, &builder.capacity, context);
            let writes = builder.swap.mutations.len() + assignments.len() + 1;
            if writes > max_writes || builder.bytes > MAX_BATCH_BYTES {
                break;
            }
            let Some(submission) = self.admission.ready.pop_front() else {
                break;
            };
            self.add_to_batch(submission, assignments, &mut builder, context);
        }
        builder
    }

    /// Partitions a submission over shards. The whole job goes to a single shard if a transaction cannot hold
    /// the allocations of several.
    fn assign_shards(
        &self,
        submission: &PendingSubmission,
        capacity: &BTreeMap<ShardId, ShardCapacity>,
        context: &Context<'_>,
    ) -> Vec<ShardAssignment> {
        let spec = &submission.spec;
        let fetch_s = spec.pull_gb / slowest_fetch_gb_per_s(context.machine_types.values());
        let capacity = self.capacity.with_reserved(capacity, &spec.team);
        let shard_count = context.config.shard_count;
        let assignments = partition(&submission.job, spec, fetch_s, shard_count, &capacity);
        if assignments.len() + 1 > context.storage_limits.txn_ops {
            return vec![ShardAssignment::whole_job(assignments[0].shard, spec)];
        }
        assignments
    }

    /// Adds the records of one submission to the batch: the job and an allocation for each shard.
    fn add_to_batch(
        &mut self,
        submission: PendingSubmission,
        mut assignments: Vec<ShardAssignment>,
        builder: &mut BatchBuilder,
        context: &mut Context<'_>,
    ) {
        let record = initial_record(&submission, &assignments, context);
        if record.is_final() {
            assignments.clear();
        }
        let Some(value) = context.job_value(&record) else {
            self.handle_oversized(submission, &record, context);
            return;
        };
        builder.put(job_key(&submission.job), value);
        for ShardAssignment { shard, tasks } in assignments {
            if !record.has_dependencies() {
                let cpus = f64::from(tasks.len()) * submission.spec.resources.cpus;
                builder.capacity.entry(shard).or_default().assign(cpus);
                self.capacity.record_assignment(context.now(), shard, cpus);
            }
            let allocation = ShardAllocation {
                waiting: tasks,
                ..ShardAllocation::default()
            };
            // An allocation with a single task range always fits into a value.
            let value = context
                .storage_limits
                .encode_allocation(&allocation)
                .unwrap_or_default();
            builder.put(allocation_key(shard, &submission.job), value);
        }
        builder.swap =
            std::mem::take(&mut builder.swap).compare(job_key(&submission.job), Version::default());
        builder.batch.submissions.push(submission);
    }

    /// Handles a submission whose record is too large: starts writing its dependencies in chunks, or rejects
    /// it if it has none.
    fn handle_oversized(
        &mut self,
        submission: PendingSubmission,
        record: &JobRecord,
        context: &mut Context<'_>,
    ) {
        if record.dependencies.is_empty() {
            let purpose = JobReadPurpose::Reject(RejectionReason::RecordTooLarge);
            for connection in submission.connections {
                self.read_job(connection, &submission.job, purpose, context);
            }
            return;
        }
        let id = self.next_request_id();
        let chunks = context
            .storage_limits
            .dependency_chunks(&submission.dependencies);
        let chunked = ChunkedSubmission {
            submission,
            chunks,
            written: 0,
            in_flight: 0,
        };
        self.admission.chunked.insert(id, chunked);
    }

    /// Handles the outcome of a transaction of submissions.
    pub(super) fn on_committed(
        &mut self,
        id: u64,
        outcome: SwapOutcome,
        context: &mut Context<'_>,
    ) {
        let Some(CommitBatch {
            submissions,
            writes,
        }) = self.commits.in_flight.remove(&id)
        else {
            return;
        };
        match outcome {
            SwapOutcome::Applied(revision) => {
                for RecordWrite { key, value } in &writes {
                    context.records.apply(key, Some(value), revision);
                }
                for submission in submissions {
                    self.confirm_acceptance(submission, context);
                }
            }
            SwapOutcome::Conflict(keys) => {
                for submission in submissions {
                    let is_own_key = keys.contains(&job_key(&submission.job));
                    self.retry_after_conflict(submission, is_own_key, context);
                }
            }
            SwapOutcome::NotApplied
            | SwapOutcome::LeaseExpired
            | SwapOutcome::Rejected
            | SwapOutcome::Unknown => {
                // The transaction may have been applied; a repeated submission then finds the job.
                for connection in submissions.into_iter().flat_map(|s| s.connections) {
                    let unavailable = Unavailable::StoreNotResponding.into();
                    context.effects.respond(connection, unavailable);
                }
            }
        }
    }

    /// Responds to the users of a submission that has been committed.
    fn confirm_acceptance(&mut self, submission: PendingSubmission, context: &mut Context<'_>) {
        let PendingSubmission { job, spec, .. } = &submission;
        tracing::info!(job = %job, team = %spec.team, class = %spec.class, tasks = spec.tasks,
            dependencies = submission.dependencies.len(), "job accepted");
        let finished = context.records.finished_job(job);
        let state = finished.map_or(JobState::Open, |finished| finished.state);
        if state == JobState::Cancelled {
            self.confirmed_cancellations.record(job, context.now());
        }
        let body = user::job_state_body(job, user::job_state_label(state, 0));
        for connection in submission.connections {
            let created = Response::new(201, body.clone());
            context.effects.respond(connection, created);
        }
    }

    /// Handles a submission whose transaction conflicted: on the job's own key (`is_own_key`) or on that of
    /// another submission in the batch.
    fn retry_after_conflict(
        &mut self,
        submission: PendingSubmission,
        is_own_key: bool,
        context: &mut Context<'_>,
    ) {
        if is_own_key {
            if submission.from_dag_run {
                // The job was committed before, or another submission used its id.
                let request = KvRequest::JobLookup(submission.job.clone());
                let key = job_key(&submission.job);
                context
                    .kv
                    .get(context.effects, request, &key, LOOKUP_TIMEOUT_MS);
            }
            for connection in submission.connections {
                self.read_job(
                    connection,
                    &submission.job,
                    JobReadPurpose::Resubmit,
                    context,
                );
            }
        } else if let Some(pending) = self.admission.find_mut(&submission.job) {
            // The request was repeated while the transaction was in flight. Merging both prevents a
            // transaction that contains the job twice with different partitions.
            pending.connections.extend(submission.connections);
        } else {
            self.admission.ready.push_front(submission);
        }
    }
}

/// Returns the record with which a job is accepted. Completed dependencies are omitted. If a dependency is
/// cancelled, the job is accepted in the state cancelled.
fn initial_record(
    submission: &PendingSubmission,
    assignments: &[ShardAssignment],
    context: &Context<'_>,
) -> JobRecord {
    let state_of = |dependency: &JobId| {
        context
            .records
            .finished_job(dependency)
            .map(|finished| finished.state)
    };
    let is_cancelled = |dependency: &JobId| {
        state_of(dependency) == Some(JobState::Cancelled)
            || context.dependency_graph.unsatisfiable.contains(dependency)
    };
    let record = JobRecord {
        state: JobState::Open,
        tasks: submission.spec.tasks,
        shards: assignments.iter().map(|a| a.shard).collect(),
        submitted: WallClockMillis(context.effects.wall_ms),
        spec: Some(submission.spec.clone()),
        dependencies: Vec::new(),
        dependency_chunks: submission.chunk_count,
        ended: None,
        from_run: submission.from_dag_run,
        retry_delay_ms: submission.pause_ms,
    };
    if submission.dependencies.iter().any(is_cancelled) {
        let shards = Vec::new();
        return context.cancelled(&JobRecord { shards, ..record });
    }
    if submission.chunk_count > 0 {
        return record;
    }
    let dependencies = submission.dependencies.iter();
    JobRecord {
        dependencies: dependencies
            .filter(|dependency| state_of(dependency) != Some(JobState::Done))
            .cloned()
            .collect(),
        ..record
    }
}
