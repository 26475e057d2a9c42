//! DAG runs: accepted, stored, and advanced by the leader of the shard that a run belongs to.
//!
//! A run is durable before its request is answered. Its jobs are submitted like users' jobs, and their
//! records say that a run has submitted them. After a failover the next leader expands the same plan from
//! the same record and goes on, so that nothing is submitted twice or forgotten. A run cancels only jobs
//! that a run has submitted.

mod advance;
mod open_run;
mod requests;
mod retention;
mod run_records;
mod schedules;
mod status;
mod submissions;

pub use requests::{DagRequest, InvalidDagBody, PackedDefinition, parse_request};

use super::context::Context;
use super::unavailable::Unavailable;
use crate::effects::Response;
use crate::storage::kv_client::{GetOutcome, KvResponse, unexpected_response};
use crate::storage::record_cache::RecordCache;
use open_run::OpenRun;
use retention::Retention;
use run_records::RunWrite;
use schedules::Schedules;
use serde_json::{Value, json};
use snowshelf_dag::run::Stand;
use snowshelf_model::ids::{ConnectionId, JobId};
use snowshelf_model::records::{Capability, RunId, RunRecord, RunState};
use status::StatusQuery;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use submissions::PendingDefinition;

/// Seconds after which a request should be repeated that some controller cannot serve yet.
const UNSUPPORTED_RETRY_AFTER_S: u64 = 2;

/// A request of DAG runs to the key-value store; numbers identify requests in flight.
#[derive(Clone, Debug)]
pub enum DagRunsRequest {
    /// Writes chunks of a run's or a DAG's definition, or the record that makes them count.
    WriteDefinition,
    /// Compares versions to answer a status query.
    CheckStatus(u64),
    /// Writes a run's record.
    WriteRun(u64),
    /// Reads a job of an earlier run with the same plan.
    ReadEarlierJob {
        /// The run that depends on the outcome.
        run: RunId,
        /// The job of the earlier run.
        job: JobId,
    },
    /// Writes a DAG's record.
    WriteDag(u64),
    /// Deletes keys of runs that have ended.
    RemoveEnded {
        /// The keys.
        keys: Vec<String>,
    },
}

/// The actor that serves requests on DAGs and advances their runs.
#[derive(Default)]
pub struct DagRuns {
    /// Runs and DAGs that are not durable yet, oldest first.
    pending: VecDeque<PendingDefinition>,
    /// Runs that are expanded here: those that are advanced, and some that were polled.
    open_runs: BTreeMap<RunId, OpenRun>,
    /// Writes of runs' records in flight.
    writes: BTreeMap<u64, RunWrite>,
    /// Status queries in flight.
    status_queries: BTreeMap<u64, StatusQuery>,
    /// Runs that cannot be expanded here, which are logged once.
    broken: BTreeSet<RunId>,
    last_request_id: u64,
    /// The run that was last advanced.
    last_advanced: Option<RunId>,
    schedules: Schedules,
    retention: Retention,
}

fn state_name(state: RunState, is_cancelling: bool) -> &'static str {
    match (state, is_cancelling) {
        (RunState::Open, true) => "cancelling",
        (RunState::Open, false) => "running",
        (RunState::Success, _) => "success",
        (RunState::Failed, _) => "failed",
        (RunState::Cancelled, _) => "cancelled",
    }
}

/// A run as users read it, without its steps.
fn run_body(id: &RunId, record: &RunRecord) -> Value {
    let state = state_name(record.state, record.cancel_requested);
    json!({"graph": id.dag, "run": id.run, "state": state, "jobs": record.jobs})
}

/// How many jobs are in each state, by its name.
fn count_states(states: &[Stand]) -> BTreeMap<String, u32> {
    let mut counts: BTreeMap<String, u32> = BTreeMap::new();
    for state in states {
        let name = serde_json::to_value(state).ok();
        let name = name.and_then(|v| v.as_str().map(str::to_string));
        *counts.entry(name.unwrap_or_default()).or_default() += 1;
    }
    counts
}

impl DagRuns {
    /// Handles a request. That the key-value store serves has been checked before.
    pub fn handle(
        &mut self,
        connection: ConnectionId,
        request: DagRequest,
        context: &mut Context<'_>,
    ) {
        if !context.records.all_support(&Capability::dags()) {
            let why = "not every controller takes graphs yet";
            let later = Response::later(503, why, UNSUPPORTED_RETRY_AFTER_S);
            context.effects.respond(connection, later);
            return;
        }
        if !context.records.loaded || context.machine_types.is_empty() {
            let unavailable = Unavailable::NotReady.into();
            context.effects.respond(connection, unavailable);
            return;
        }
        match request {
            DagRequest::StartRun(id, definition) => {
                self.start_run(connection, &id, &definition, context);
            }
            DagRequest::ShowRun { run, after, limit } => {
                let query = StatusQuery {
                    connection,
                    run,
                    after,
                    limit,
                };
                self.check_status(query, context);
            }
            DagRequest::CancelRun(id) => self.cancel(connection, id, context),
            DagRequest::Rerun(id, new_run) => self.rerun(connection, &id, new_run, context),
            DagRequest::Define(name, definition) => {
                self.define(connection, &name, &definition, context);
            }
            DagRequest::ShowDag(name) => self.show_dag(connection, &name, context),
            DagRequest::SetPaused(name, paused) => {
                self.set_paused(connection, &name, paused, context);
            }
        }
    }

    fn next_request_id(&mut self) -> u64 {
        self.last_request_id += 1;
        self.last_request_id
    }

    /// Handles a response of the key-value store.
    pub fn on_response(
        &mut self,
        request: DagRunsRequest,
        response: KvResponse,
        context: &mut Context<'_>,
    ) {
        match (request, response) {
            (DagRunsRequest::WriteDefinition, KvResponse::Swap(outcome)) => {
                self.on_definition_written(&outcome, context);
            }
            (DagRunsRequest::CheckStatus(id), KvResponse::Swap(outcome)) => {
                self.on_status_checked(id, &outcome, context);
            }
            (DagRunsRequest::WriteRun(id), KvResponse::Swap(outcome)) => {
                self.on_run_written(id, &outcome, context);
            }
            (DagRunsRequest::WriteDag(id), KvResponse::Swap(outcome)) => {
                self.on_dag_written(id, &outcome, context);
            }
            (DagRunsRequest::ReadEarlierJob { run, job }, KvResponse::Get(outcome)) => {
                if let GetOutcome::Found(item) = &outcome {
                    let value = Some(&item.value);
                    context.records.apply(&item.key, value, item.version);
                }
                let is_absent = matches!(outcome, GetOutcome::NotFound(_));
                self.on_earlier_job_read(&run, &job, is_absent);
            }
            (DagRunsRequest::RemoveEnded { keys }, KvResponse::Swap(outcome)) => {
                self.on_removed(&keys, &outcome, context);
            }
            (request, _) => unexpected_response(&request),
        }
    }

    /// Whether there is nothing to advance, to write, or to remove.
    #[must_use]
    pub fn is_idle(&self, records: &RecordCache) -> bool {
        let no_records =
            records.runs.is_empty() && records.graphs.is_empty() && records.plan_chunks.is_empty();
        no_records && self.pending.is_empty() && self.open_runs.is_empty()
    }

    /// Expands a run, if it is not expanded yet and its definition is cached.
    fn expand(&mut self, id: &RunId, record: &RunRecord, context: &Context<'_>) {
        if self.open_runs.contains_key(id) || self.broken.contains(id) {
            return;
        }
        match OpenRun::expand(id, record, context) {
            Some(Ok(run)) => {
                self.open_runs.insert(id.clone(), run);
            }
            Some(Err(error)) => {
                tracing::error!(run = %id, %error, "DAG run expansion failed");
                self.broken.insert(id.clone());
            }
            None => {}
        }
    }
}
