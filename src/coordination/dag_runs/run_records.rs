//! Writes records of runs: cancellations by users, and updates when a run advances.

use super::status::StatusQuery;
use super::{DagRuns, DagRunsRequest, run_body, run_state_name};
use crate::coordination::context::{Context, KvRequest};
use crate::coordination::unavailable::Unavailable;
use crate::effects::Response;
use crate::storage::kv_client::{RequestPriority, SwapOutcome};
use snowshelf_model::ids::{ConnectionId, Version};
use snowshelf_model::protocol::state::{CompareAndSwap, Mutation};
use snowshelf_model::records::{RunId, RunRecord, RunState, run_key};

/// A write of a run's record that is in flight.
pub(super) struct RunWrite {
    /// The connection to respond on, for a cancellation; `None` for an update as the run advances.
    pub(super) connection: Option<ConnectionId>,
    pub(super) run: RunId,
    pub(super) record: RunRecord,
}

impl DagRuns {
    /// Cancels a run at a user's request. Responds without a write if the run has ended or is being cancelled
    /// already.
    pub(super) fn cancel(
        &mut self,
        connection: ConnectionId,
        id: RunId,
        context: &mut Context<'_>,
    ) {
        let Some(v) = context.records.runs.get(&id).cloned() else {
            // The record may exist without being cached yet. The status check responds with 404 or a retry.
            let query = StatusQuery {
                connection,
                run: id,
                after: 0,
                limit: 0,
            };
            self.check_status(query, context);
            return;
        };
        if v.value.state != RunState::Open || v.value.cancel_requested {
            let body = run_body(&id, &v.value);
            let response = Response::json(200, &body);
            context.effects.respond(connection, response);
            return;
        }
        if !context
            .kv
            .has_budget(context.now(), RequestPriority::Admission, 1)
        {
            let unavailable = Unavailable::RateLimited.into();
            context.effects.respond(connection, unavailable);
            return;
        }
        let record = RunRecord {
            cancel_requested: true,
            ..(*v.value).clone()
        };
        let write = RunWrite {
            connection: Some(connection),
            run: id,
            record,
        };
        self.write_run(write, v.version, CompareAndSwap::default(), context);
    }

    /// Writes a run's record if it still has this version and the comparisons in `swap` hold.
    pub(super) fn write_run(
        &mut self,
        write: RunWrite,
        version: Version,
        swap: CompareAndSwap,
        context: &mut Context<'_>,
    ) {
        let key = run_key(&write.run);
        let swap = swap
            .compare(key.clone(), version)
            .mutate(Mutation::put(key, &write.record));
        let id = self.next_request_id();
        let request = KvRequest::DagRuns(DagRunsRequest::WriteRun(id));
        context.kv.compare_and_swap(context.effects, request, &swap);
        self.writes.insert(id, write);
    }

    /// Handles the outcome of a write of a run's record. If an update by an advance was not applied, the
    /// watch delivers the present record and the run is decided again.
    pub(super) fn on_run_written(
        &mut self,
        id: u64,
        outcome: &SwapOutcome,
        context: &mut Context<'_>,
    ) {
        let Some(RunWrite {
            connection,
            run,
            record,
        }) = self.writes.remove(&id)
        else {
            return;
        };
        let response = if let SwapOutcome::Applied(revision) = outcome {
            let value = serde_json::to_value(&record).unwrap_or_default();
            context
                .records
                .apply(&run_key(&run), Some(&value), *revision);
            if connection.is_some() {
                tracing::info!(run = %run, "DAG run cancellation stored");
            } else if record.state != RunState::Open {
                let state = run_state_name(record.state, false);
                tracing::info!(run = %run, state, "DAG run ended");
            }
            Response::json(200, &run_body(&run, &record))
        } else {
            Unavailable::Contended.into()
        };
        if let Some(connection) = connection {
            context.effects.respond(connection, response);
        }
    }
}
