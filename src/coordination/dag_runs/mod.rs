//! DAG runs: accepts and stores them, and advances each as the leader of its shard.
//!
//! A run is durable before its request is answered. Its jobs are submitted like users' jobs; their records
//! mark them as submitted by a run. After a failover the next shard leader expands the same plan from the
//! same record, so no job is submitted twice or omitted. A run cancels only jobs that a run submitted.

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

/// Seconds after which to retry a request that at least one controller does not support yet.
const UNSUPPORTED_RETRY_AFTER_S: u64 = 2;

/// A request of [`DagRuns`] to the key-value store. Numbers identify the requests in flight.
#[derive(Clone, Debug)]
pub enum DagRunsRequest {
    /// Writes chunks of the definition of a run or a DAG, or the record that refers to them.
    WriteDefinition,
    /// Compares the cached version of a run's record with the stored one, for a status query.
    CheckStatus(u64),
    /// Writes a run's record.
    WriteRun(u64),
    /// Reads a job of an earlier run that this run repeats.
    ReadEarlierJob {
        /// The run that repeats the earlier one.
        run: RunId,
        /// The job of the earlier run.
        job: JobId,
    },
    /// Writes a DAG's record.
    WriteDag(u64),
    /// Deletes definitions or records of runs whose retention has expired.
    RemoveEnded {
        /// The keys of the records to delete.
        keys: Vec<String>,
    },
}

/// Serves requests for DAGs and their runs, and advances the runs of the shards that this controller leads.
#[derive(Default)]
pub struct DagRuns {
    /// Definitions of runs and DAGs that are not durable yet, oldest first.
    pending: VecDeque<PendingDefinition>,
    /// Expanded runs: those that this controller advances, and some whose status was queried recently.
    open_runs: BTreeMap<RunId, OpenRun>,
    /// Writes of runs' records in flight.
    writes: BTreeMap<u64, RunWrite>,
    /// Status queries in flight.
    status_queries: BTreeMap<u64, StatusQuery>,
    /// Runs that could not be expanded. Each is logged once and not tried again.
    unexpandable: BTreeSet<RunId>,
    last_request_id: u64,
    /// The run considered in the last tick; the round robin continues after it.
    last_advanced: Option<RunId>,
    schedules: Schedules,
    retention: Retention,
}

fn run_state_name(state: RunState, is_cancelling: bool) -> &'static str {
    match (state, is_cancelling) {
        (RunState::Open, true) => "cancelling",
        (RunState::Open, false) => "running",
        (RunState::Success, _) => "success",
        (RunState::Failed, _) => "failed",
        (RunState::Cancelled, _) => "cancelled",
    }
}

/// The body of a response that describes a run, without its steps.
fn run_body(id: &RunId, record: &RunRecord) -> Value {
    let state = run_state_name(record.state, record.cancel_requested);
    json!({"graph": id.dag, "run": id.run, "state": state, "jobs": record.jobs})
}

/// Counts the jobs in each state, by the serialized name of the state.
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
    /// Handles a request. The caller has checked that the key-value store is available.
    pub fn handle(
        &mut self,
        connection: ConnectionId,
        request: DagRequest,
        context: &mut Context<'_>,
    ) {
        if !context.records.all_support(&Capability::dags()) {
            let why = "not every controller takes graphs yet";
            let response = Response::retry_later(503, why, UNSUPPORTED_RETRY_AFTER_S);
            context.effects.respond(connection, response);
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

    /// Whether there are no runs or DAGs to advance, write or remove.
    #[must_use]
    pub fn is_idle(&self, records: &RecordCache) -> bool {
        let no_records =
            records.runs.is_empty() && records.graphs.is_empty() && records.plan_chunks.is_empty();
        no_records && self.pending.is_empty() && self.open_runs.is_empty()
    }

    /// Expands a run unless it is expanded already. Does nothing until its definition is cached.
    fn expand(&mut self, id: &RunId, record: &RunRecord, context: &Context<'_>) {
        if self.open_runs.contains_key(id) || self.unexpandable.contains(id) {
            return;
        }
        match OpenRun::expand(id, record, context) {
            Some(Ok(run)) => {
                self.open_runs.insert(id.clone(), run);
            }
            Some(Err(error)) => {
                tracing::error!(run = %id, %error, "DAG run expansion failed");
                self.unexpandable.insert(id.clone());
            }
            None => {}
        }
    }
}
