//! Answers status queries from the record cache, after checking that it has the stored version of the run.

use super::{DagRuns, DagRunsRequest, count_states, run_body};
use crate::coordination::context::{Context, KvRequest};
use crate::coordination::unavailable::Unavailable;
use crate::effects::Response;
use crate::storage::kv_client::{RequestPriority, SwapOutcome};
use serde_json::{Value, json};
use snowshelf_dag::plan::PlannedJob;
use snowshelf_dag::run::Stand;
use snowshelf_model::ids::ConnectionId;
use snowshelf_model::protocol::state::CompareAndSwap;
use snowshelf_model::records::{RunId, RunState, run_key};

/// Timeout of the version check, in milliseconds.
const CHECK_TIMEOUT_MS: u64 = 1_500;
/// The error sent if the record cache is stale, or the version check failed.
const CACHE_STALE: &str = "the picture is behind, or the state service did not answer";
/// Seconds after which to repeat a status query that failed with that error.
const RETRY_AFTER_S: u64 = 1;

/// A user's query for the state of a run and a page of its steps.
pub(super) struct StatusQuery {
    pub(super) connection: ConnectionId,
    pub(super) run: RunId,
    /// Number of steps before the page.
    pub(super) after: usize,
    /// Most steps on the page.
    pub(super) limit: usize,
}

impl DagRuns {
    /// Starts a status query by comparing the cached version of the run's record with the stored one.
    pub(super) fn check_status(&mut self, query: StatusQuery, context: &mut Context<'_>) {
        if !context
            .kv
            .has_budget(context.now(), RequestPriority::Reads, 0)
        {
            let unavailable = Unavailable::RateLimited.into();
            context.effects.respond(query.connection, unavailable);
            return;
        }
        let cached = context.records.runs.get(&query.run).map(|v| v.version);
        let comparison =
            CompareAndSwap::default().compare(run_key(&query.run), cached.unwrap_or_default());
        let id = self.next_request_id();
        let request = KvRequest::DagRuns(DagRunsRequest::CheckStatus(id));
        context
            .kv
            .check_versions(context.effects, request, &comparison, CHECK_TIMEOUT_MS);
        self.status_queries.insert(id, query);
    }

    /// Handles the outcome of the version check and responds to the query.
    pub(super) fn on_status_checked(
        &mut self,
        id: u64,
        outcome: &SwapOutcome,
        context: &mut Context<'_>,
    ) {
        let Some(query) = self.status_queries.remove(&id) else {
            return;
        };
        let response = match outcome {
            SwapOutcome::Applied(_) => self.status(&query, context),
            _ => Response::retry_later(503, CACHE_STALE, RETRY_AFTER_S),
        };
        context.effects.respond(query.connection, response);
    }

    /// The response to a query: the state of the run, and its steps as long as its definition is retained.
    fn status(&mut self, query: &StatusQuery, context: &Context<'_>) -> Response {
        let StatusQuery {
            run, after, limit, ..
        } = query;
        let Some(record) = context.records.runs.get(run).map(|v| v.value.clone()) else {
            return Response::error(404, "no such run");
        };
        let mut body = run_body(run, &record);
        if record.state != RunState::Open {
            body["counts"] = json!(record.jobs_by_state);
        }
        self.expand(run, &record, context);
        if let Some(open_run) = self.open_runs.get_mut(run) {
            let decision = open_run.decide(&record, 0, context);
            if record.state == RunState::Open {
                body["counts"] = json!(count_states(&decision.stands));
            }
            let jobs = &open_run.plan.jobs;
            let steps = jobs.iter().zip(&decision.stands).enumerate();
            let page = steps.skip(*after).take(*limit);
            let page: Vec<Value> = page
                .map(|(index, (job, state))| step_body(index, job, *state))
                .collect();
            body["steps"] = json!(page);
            body["more"] = json!(after + limit < jobs.len());
        }
        Response::json(200, &body)
    }
}

fn step_body(index: usize, job: &PlannedJob, state: Stand) -> Value {
    let mut body =
        json!({"at": index, "step": job.step, "job": job.submission.job, "stand": state});
    if let Some(copy) = job.copy {
        body["copy"] = json!(copy);
        body["sweep"] = json!(job.sweep);
    }
    body
}
