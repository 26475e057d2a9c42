//! How a run, or the definition of a DAG, becomes durable: its chunks first, then the record that makes them
//! count, and only then is the request answered.

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

/// Submissions that wait to be written at most.
const MAX_PENDING: usize = 16;
/// How long a submission may wait for its next write, in milliseconds.
const DEADLINE_MS: u64 = 4_000;
/// Bytes of a value that are left for its encoding.
const SPARE_BYTES: usize = 64;
/// Seconds after which a run that exceeds a limit should be submitted again.
const LIMIT_RETRY_AFTER_S: u64 = 5;
/// Seconds after which a submission that was not written in time should be repeated.
const DEADLINE_RETRY_AFTER_S: u64 = 2;

/// A chunk of a packed definition.
pub(super) struct Chunk {
    key: String,
    text: String,
}

/// A run or a DAG that is being written.
pub(super) struct PendingDefinition {
    /// Who waits for the response; nobody for a run that a schedule starts.
    pub(super) connection: Option<ConnectionId>,
    /// The key of the record that makes the chunks count.
    key: String,
    /// The version of the record that is replaced.
    version: Version,
    record: Value,
    /// The body of the response once it is durable.
    pub(super) body: Value,
    chunks: Vec<Chunk>,
    /// Chunks that are durable.
    written: usize,
    /// Writes in the transaction in flight.
    in_flight: usize,
    last_progress_at: MonotonicMillis,
}

impl PendingDefinition {
    /// A definition for which nobody waits yet; `chunk_key` is the key of each chunk.
    pub(super) fn new(
        key: String,
        version: Version,
        record: &impl Serialize,
        chunks: Vec<Chunk>,
        context: &Context<'_>,
    ) -> PendingDefinition {
        PendingDefinition {
            connection: None,
            key,
            version,
            record: serde_json::to_value(record).unwrap_or_default(),
            body: Value::Null,
            chunks,
            written: 0,
            in_flight: 0,
            last_progress_at: context.effects.now,
        }
    }

    /// A run as it starts.
    pub(super) fn of_run(
        id: &RunId,
        jobs: usize,
        text: &str,
        context: &Context<'_>,
    ) -> PendingDefinition {
        let hash = packing::hash(text);
        let chunks = chunks(text, |i| plan_key(id, &hash, i), context);
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

/// A text in chunks that are small enough to be values.
pub(super) fn chunks(
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

/// Why a DAG cannot have another run now; its `Display` is the text that the user reads.
#[derive(Clone, Copy, PartialEq, Eq, Debug, thiserror::Error)]
pub(super) enum RunLimit {
    /// The DAG's own limit of active runs.
    #[error("the graph has as many active runs as it may")]
    OfDag,
    /// The deployment's limit of runs.
    #[error("too many runs")]
    OfDeployment,
}

/// Checks the limits of runs that have not ended.
///
/// # Errors
/// The limit that is reached.
pub(super) fn check_run_limits(
    dag: &str,
    max_active_runs: Option<u32>,
    context: &Context<'_>,
) -> Result<(), RunLimit> {
    let runs = context.records.runs.iter();
    let open = runs.filter(|(_, v)| v.value.state == RunState::Open);
    let of_dag = open.clone().filter(|(id, _)| id.dag == dag).count();
    if max_active_runs.is_some_and(|limit| of_dag >= limit as usize) {
        Err(RunLimit::OfDag)
    } else if open.count() >= context.config.ops.graphs.most_runs {
        Err(RunLimit::OfDeployment)
    } else {
        Ok(())
    }
}

/// Why a definition cannot run.
pub(super) enum PlanRejection {
    /// Its expansion has problems, as they are sent to the user.
    Invalid(Value),
    /// It has more jobs than a run may have.
    TooManyJobs(usize),
    /// The job of a step can never run.
    Infeasible {
        /// The step.
        step: String,
        /// Why its job cannot run.
        reason: RejectionReason,
    },
}

impl PlanRejection {
    /// The body of the response.
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

/// Expands a definition to the plan of its jobs.
///
/// # Errors
/// Why it cannot run here.
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
    /// Starts a run, unless there is one of its name: a repeated request is recognized by that, since its
    /// text may be written otherwise.
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
            limits = limits.and(Err(RunLimit::OfDeployment));
        }
        if let Err(limit) = limits {
            let later = Response::later(503, &limit.to_string(), LIMIT_RETRY_AFTER_S);
            context.effects.respond(connection, later);
            return;
        }
        match plan_run(definition, context) {
            Ok(plan) => {
                let pending = PendingDefinition::of_run(id, plan.jobs.len(), text, context);
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

    /// Starts a run of what did not succeed in a run that has ended.
    pub(super) fn rerun(
        &mut self,
        connection: ConnectionId,
        id: &RunId,
        new_run: String,
        context: &mut Context<'_>,
    ) {
        let refuse = |context: &mut Context<'_>, status: u16, why: &str| {
            let response = Response::error(status, why);
            context.effects.respond(connection, response);
        };
        let Some(record) = context.records.runs.get(id).map(|v| v.value.clone()) else {
            refuse(context, 404, "no such run");
            return;
        };
        if record.state == RunState::Open {
            refuse(context, 409, "the run has not ended");
            return;
        }
        let Some(Ok(mut definition)) = unpack_run(id, &record, context) else {
            let why = "what the run was asked for is not kept any more";
            refuse(context, 409, why);
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

    /// Gives the oldest submission up.
    fn drop_first(&mut self, response: Response, context: &mut Context<'_>) {
        if let Some(dropped) = self.pending.pop_front()
            && let Some(connection) = dropped.connection
        {
            context.effects.respond(connection, response);
        }
    }

    /// Writes the chunks of the oldest submission, and then its record.
    pub(super) fn write_pending(&mut self, context: &mut Context<'_>) {
        let now = context.now();
        while let Some(first) = self.pending.front()
            && first.in_flight == 0
            && now.since(first.last_progress_at) > DEADLINE_MS
        {
            let why = "could not be written yet";
            self.drop_first(Response::later(503, why, DEADLINE_RETRY_AFTER_S), context);
        }
        let Some(first) = self.pending.front_mut().filter(|p| p.in_flight == 0) else {
            return;
        };
        let mut swap = CompareAndSwap::default().compare(first.key.clone(), first.version);
        let max_writes = context
            .kv
            .write_budget(now, RequestPriority::Admission)
            .min(context.storage_limits.txn_ops);
        for chunk in first.chunks.iter().skip(first.written).take(max_writes) {
            swap = swap.mutate(Mutation::put(chunk.key.clone(), &chunk.text));
        }
        if first.written == first.chunks.len() {
            swap = swap.mutate(Mutation::put(first.key.clone(), &first.record));
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

    /// Handles the outcome of a write of chunks or of the record that makes them count.
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
                    .apply(&done.key, Some(&done.record), *revision);
                tracing::info!(key = done.key, "DAG run or graph accepted");
                let status = if done.version == Version(0) { 201 } else { 200 };
                if let Some(connection) = done.connection {
                    let response = Response::json(status, &done.body);
                    context.effects.respond(connection, response);
                }
            }
            // A retry finds it, or writes the same chunks again.
            _ => self.drop_first(Unavailable::StoreNotResponding.into(), context),
        }
    }

    /// Refuses all submissions: the key-value store does not serve.
    pub fn refuse_all(&mut self, context: &mut Context<'_>) {
        while !self.pending.is_empty() {
            self.drop_first(Unavailable::StoreDown.into(), context);
        }
    }

    /// Whether a record with this key is being written.
    pub(super) fn is_pending(&self, key: &str) -> bool {
        self.pending.iter().any(|p| p.key == key)
    }
}
