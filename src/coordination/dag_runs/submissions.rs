//! Stores runs and definitions of DAGs: writes the chunks, then the record that refers to them, and answers
//! the request once that record is durable.

use super::open_run::unpack_run;
use super::requests::PackedDefinition;
use super::{DagRuns, DagRunsRequest, run_body};
use crate::coordination::api::{RejectionReason, check_feasible};
use crate::coordination::context::{Context, KvRequest};
use crate::coordination::unavailable::Unavailable;
use crate::effects::Response;
use crate::storage::kv_client::{RequestPriority, SwapOutcome};
use serde::Serialize;
use serde_json::{Value, json};
use snowshelf_dag::packing;
use snowshelf_dag::plan::{Plan, expand};
use snowshelf_dag::run::Asked;
use snowshelf_model::ids::{ConnectionId, MonotonicMillis, Version, WallClockMillis};
use snowshelf_model::protocol::state::{CompareAndSwap, Mutation};
use snowshelf_model::records::{RunId, RunRecord, RunState, plan_key, run_key};
use std::collections::BTreeMap;

/// Number of pending submissions from which further runs of users are rejected.
const MAX_PENDING: usize = 16;
/// How long a submission may wait for its next write, in milliseconds.
const DEADLINE_MS: u64 = 4_000;
/// Bytes of a value reserved for the encoding of the chunk.
const SPARE_BYTES: usize = 64;
/// Seconds after which to submit a run again that exceeded a limit.
const LIMIT_RETRY_AFTER_S: u64 = 5;
/// Seconds after which to repeat a submission that was not written in time.
const DEADLINE_RETRY_AFTER_S: u64 = 2;

/// A chunk of a packed definition, small enough for one value of the key-value store.
pub(super) struct Chunk {
    key: String,
    text: String,
}

/// A definition of a run or a DAG that is being written.
pub(super) struct PendingDefinition {
    /// The connection to respond on; `None` for a run started by a schedule.
    pub(super) connection: Option<ConnectionId>,
    /// The key of the record that refers to the chunks.
    record_key: String,
    /// The expected version of the record; 0 if it must not exist.
    version: Version,
    record: Value,
    /// The body of the response, sent once the record is durable.
    pub(super) body: Value,
    chunks: Vec<Chunk>,
    /// Number of chunks that are durable.
    written: usize,
    /// Number of writes in the transaction in flight; 0 if there is none.
    in_flight: usize,
    last_progress_at: MonotonicMillis,
}

impl PendingDefinition {
    /// A definition without a connection to respond on and with an empty response body.
    pub(super) fn new(
        record_key: String,
        version: Version,
        record: &impl Serialize,
        chunks: Vec<Chunk>,
        context: &Context<'_>,
    ) -> PendingDefinition {
        PendingDefinition {
            connection: None,
            record_key,
            version,
            record: serde_json::to_value(record).unwrap_or_default(),
            body: Value::Null,
            chunks,
            written: 0,
            in_flight: 0,
            last_progress_at: context.effects.now,
        }
    }

    /// A new, open run with `jobs` jobs; `text` is its packed definition.
    pub(super) fn new_run(
        id: &RunId,
        jobs: usize,
        text: &str,
        context: &Context<'_>,
    ) -> PendingDefinition {
        let hash = packing::hash(text);
        let chunks = split_into_chunks(text, |i| plan_key(id, &hash, i), context);
        let record = RunRecord {
            state: RunState::Open,
            accepted_at: WallClockMillis(context.effects.wall_ms),
            jobs: jobs as u32,
            hash,
            chunks: chunks.len() as u32,
            cancel_requested: false,
            failed: Default::default(),
            jobs_by_state: BTreeMap::new(),
            ended: None,
        };
        PendingDefinition {
            body: run_body(id, &record),
            ..PendingDefinition::new(run_key(id), Version(0), &record, chunks, context)
        }
    }
}

/// Splits a packed definition into chunks that fit into values; `chunk_key` returns the key of each.
pub(super) fn split_into_chunks(
    text: &str,
    chunk_key: impl Fn(u32) -> String,
    context: &Context<'_>,
) -> Vec<Chunk> {
    let value_bytes = context.storage_limits.value_bytes;
    let texts = packing::pieces(text, value_bytes.saturating_sub(SPARE_BYTES));
    let keys = (0..).map(chunk_key);
    keys.zip(texts)
        .map(|(key, text)| Chunk { key, text })
        .collect()
}

/// Why a DAG cannot have another run now. Its `Display` is the text sent to the user.
#[derive(Clone, Copy, PartialEq, Eq, Debug, thiserror::Error)]
pub(super) enum RunLimit {
    /// The DAG has `max_active_runs` open runs.
    #[error("the graph has as many active runs as it may")]
    Dag,
    /// The deployment has the most open runs that it allows, or this controller the most pending submissions.
    #[error("too many runs")]
    Deployment,
}

/// Checks whether the limits of open runs allow another run of a DAG.
///
/// # Errors
/// Returns the limit that is reached.
pub(super) fn check_run_limits(
    dag: &str,
    max_active_runs: Option<u32>,
    context: &Context<'_>,
) -> Result<(), RunLimit> {
    let runs = context.records.runs.iter();
    let open = runs.filter(|(_, v)| v.value.state == RunState::Open);
    let open_of_dag = open.clone().filter(|(id, _)| id.dag == dag).count();
    if max_active_runs.is_some_and(|limit| open_of_dag >= limit as usize) {
        Err(RunLimit::Dag)
    } else if open.count() >= context.config.ops.graphs.most_runs {
        Err(RunLimit::Deployment)
    } else {
        Ok(())
    }
}

/// Why a definition is rejected.
pub(super) enum PlanRejection {
    /// Its expansion failed; holds the problems as sent to the user.
    Invalid(Value),
    /// It has more jobs than this limit.
    TooManyJobs(usize),
    /// The job of a step can never be placed.
    Infeasible {
        /// The id of the step.
        step: String,
        /// Why its job cannot be placed.
        reason: RejectionReason,
    },
}

impl PlanRejection {
    /// The body of the response to the user.
    pub(super) fn body(&self) -> Value {
        match self {
            PlanRejection::Invalid(problems) => {
                json!({"error": "the graph cannot run", "problems": problems})
            }
            PlanRejection::TooManyJobs(limit) => {
                json!({"error": format!("the run has more than {limit} jobs")})
            }
            PlanRejection::Infeasible { step, reason } => {
                json!({"error": format!("{step}: {reason}")})
            }
        }
    }
}

/// Expands a definition into the plan of its jobs.
///
/// # Errors
/// Returns why the definition is rejected.
pub(super) fn plan_run(definition: &Asked, context: &Context<'_>) -> Result<Plan, PlanRejection> {
    let facts = definition.facts();
    let plan = expand(&definition.graph, &definition.mapping, &facts, "graph")
        .map_err(|problems| PlanRejection::Invalid(json!(problems)))?;
    let max_jobs = context.config.ops.graphs.most_jobs;
    if plan.jobs.len() > max_jobs {
        return Err(PlanRejection::TooManyJobs(max_jobs));
    }
    for job in &plan.jobs {
        if let Err(reason) = check_feasible(&job.submission.spec, context) {
            let step = job.step.to_string();
            return Err(PlanRejection::Infeasible { step, reason });
        }
    }
    Ok(plan)
}

impl DagRuns {
    /// Starts a run. If a run of that id exists, responds with it: a retry is recognized by the id alone,
    /// since its definition may be serialized differently.
    pub(super) fn start_run(
        &mut self,
        connection: ConnectionId,
        id: &RunId,
        PackedDefinition { definition, text }: &PackedDefinition,
        context: &mut Context<'_>,
    ) {
        if let Some(v) = context.records.runs.get(id) {
            let body = run_body(id, &v.value);
            let response = Response::json(200, &body);
            context.effects.respond(connection, response);
            return;
        }
        let mut limits = check_run_limits(&id.dag, definition.graph.max_active_runs, context);
        if self.pending.len() >= MAX_PENDING {
            limits = limits.and(Err(RunLimit::Deployment));
        }
        if let Err(limit) = limits {
            let response = Response::retry_later(503, &limit.to_string(), LIMIT_RETRY_AFTER_S);
            context.effects.respond(connection, response);
            return;
        }
        match plan_run(definition, context) {
            Ok(plan) => {
                let pending = PendingDefinition::new_run(id, plan.jobs.len(), text, context);
                self.pending.push_back(PendingDefinition {
                    connection: Some(connection),
                    ..pending
                });
            }
            Err(rejection) => {
                let response = Response::json(422, &rejection.body());
                context.effects.respond(connection, response);
            }
        }
    }

    /// Repeats a run that has ended, without the jobs that succeeded in it or in the runs that it repeats.
    pub(super) fn rerun(
        &mut self,
        connection: ConnectionId,
        id: &RunId,
        new_run: String,
        context: &mut Context<'_>,
    ) {
        let reject = |context: &mut Context<'_>, status: u16, why: &str| {
            let response = Response::error(status, why);
            context.effects.respond(connection, response);
        };
        let Some(record) = context.records.runs.get(id).map(|v| v.value.clone()) else {
            reject(context, 404, "no such run");
            return;
        };
        if record.state == RunState::Open {
            reject(context, 409, "the run has not ended");
            return;
        }
        let Some(Ok(mut definition)) = unpack_run(id, &record, context) else {
            let why = "what the run was asked for is not kept any more";
            reject(context, 409, why);
            return;
        };
        let old_run = std::mem::replace(&mut definition.run, new_run);
        definition.after.push(old_run);
        if let Some(id) = RunId::new(&id.dag, &definition.run) {
            let packed = PackedDefinition {
                text: packing::pack(&definition),
                definition: Box::new(definition),
            };
            self.start_run(connection, &id, &packed, context);
        }
    }

    /// Drops the oldest submission and sends the response to its client, if any.
    fn reject_oldest(&mut self, response: Response, context: &mut Context<'_>) {
        if let Some(dropped) = self.pending.pop_front()
            && let Some(connection) = dropped.connection
        {
            context.effects.respond(connection, response);
        }
    }

    /// Writes the next chunks of the oldest submission, or its record once all chunks are durable. Drops
    /// submissions that have waited too long for a write.
    pub(super) fn write_pending(&mut self, context: &mut Context<'_>) {
        let now = context.now();
        while let Some(first) = self.pending.front()
            && first.in_flight == 0
            && now.since(first.last_progress_at) > DEADLINE_MS
        {
            let why = "could not be written yet";
            self.reject_oldest(
                Response::retry_later(503, why, DEADLINE_RETRY_AFTER_S),
                context,
            );
        }
        let Some(first) = self.pending.front_mut().filter(|p| p.in_flight == 0) else {
            return;
        };
        let mut swap = CompareAndSwap::default().compare(first.record_key.clone(), first.version);
        let max_writes = context
            .kv
            .write_budget(now, RequestPriority::Admission)
            .min(context.storage_limits.txn_ops);
        for chunk in first.chunks.iter().skip(first.written).take(max_writes) {
            swap = swap.mutate(Mutation::put(chunk.key.clone(), &chunk.text));
        }
        if first.written == first.chunks.len() {
            swap = swap.mutate(Mutation::put(first.record_key.clone(), &first.record));
        }
        let writes = swap.mutations.len();
        if writes == 0
            || !context
                .kv
                .has_budget(now, RequestPriority::Admission, writes)
        {
            return;
        }
        first.in_flight = writes;
        let request = KvRequest::DagRuns(DagRunsRequest::WriteDefinition);
        context.kv.compare_and_swap(context.effects, request, &swap);
    }

    /// Handles the outcome of a write of chunks, or of the record that refers to them.
    pub(super) fn on_definition_written(
        &mut self,
        outcome: &SwapOutcome,
        context: &mut Context<'_>,
    ) {
        let Some(first) = self.pending.front_mut() else {
            return;
        };
        let written = std::mem::take(&mut first.in_flight);
        match outcome {
            SwapOutcome::Applied(_) if first.written < first.chunks.len() => {
                first.written += written;
                first.last_progress_at = context.effects.now;
            }
            SwapOutcome::Applied(revision) => {
                let Some(done) = self.pending.pop_front() else {
                    return;
                };
                context
                    .records
                    .apply(&done.record_key, Some(&done.record), *revision);
                tracing::info!(key = done.record_key, "definition of DAG or DAG run stored");
                let status = if done.version == Version(0) { 201 } else { 200 };
                if let Some(connection) = done.connection {
                    let response = Response::json(status, &done.body);
                    context.effects.respond(connection, response);
                }
            }
            // If the write was applied, a retry finds the record; otherwise it writes the same chunks again.
            _ => self.reject_oldest(Unavailable::StoreNotResponding.into(), context),
        }
    }

    /// Rejects all pending submissions because the key-value store is unavailable.
    pub fn refuse_all(&mut self, context: &mut Context<'_>) {
        while !self.pending.is_empty() {
            self.reject_oldest(Unavailable::StoreDown.into(), context);
        }
    }

    /// Whether a record with this key is being written.
    pub(super) fn is_pending(&self, key: &str) -> bool {
        self.pending.iter().any(|p| p.record_key == key)
    }
}
