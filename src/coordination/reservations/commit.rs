//! Batches of decisions: requests are decided on a copy of the calendar and written in one transaction.

use super::decisions::{CalendarDecision, decide};
use super::requests::CalendarRequest;
use super::{Reservations, ReservationsRequest};
use crate::coordination::context::{Context, KvRequest};
use crate::coordination::pending_requests::PendingRequest;
use crate::coordination::unavailable::Unavailable;
use crate::storage::kv_client::{RequestPriority, SwapOutcome};
use crate::storage::record_cache::RecordChange;
use serde_json::{Value, json};
use snowshelf_model::ids::Version;
use snowshelf_model::protocol::state::{CompareAndSwap, Mutation};
use snowshelf_model::records::CALENDAR_KEY;
use std::collections::BTreeSet;

/// Delay before requests are decided again after a compare-and-swap conflict, in milliseconds.
const CONFLICT_BACKOFF_MS: u64 = 50;
/// Timeout of a transaction that only compares versions, in milliseconds.
const CHECK_TIMEOUT_MS: u64 = 1_500;

struct DecidedRequest {
    pending: PendingRequest<CalendarRequest>,
    decision: CalendarDecision,
}

/// Decisions whose transaction is in flight.
pub(super) struct DecisionBatch {
    id: u64,
    /// The version of the calendar key on which the decisions are conditional.
    calendar_version: Version,
    requests: Vec<DecidedRequest>,
}

impl Reservations {
    /// Decides pending requests in order on a copy of the calendar, and writes their changes in one
    /// transaction. One batch is in flight at a time.
    pub(super) fn decide_pending(&mut self, context: &mut Context<'_>) {
        let now = context.now();
        self.pending.expire(context);
        if self
            .conflicted_version
            .is_some_and(|version| version != context.records.calendar_version)
        {
            self.conflicted_version = None;
        }
        let must_wait =
            self.in_flight.is_some() || self.conflicted_version.is_some() || now < self.retry_at;
        if self.pending.is_empty() || must_wait || !self.is_built {
            return;
        }
        let (swap, requests) = self.collect_decisions(context);
        if requests.is_empty() {
            return;
        }
        let writes = swap.mutations.len();
        if !context
            .kv
            .has_budget(now, RequestPriority::Admission, writes)
        {
            let pending = requests.into_iter().map(|r| r.pending).collect();
            self.pending.put_back(pending);
            return;
        }
        self.last_request_id += 1;
        self.in_flight = Some(DecisionBatch {
            id: self.last_request_id,
            calendar_version: context.records.calendar_version,
            requests,
        });
        let request = KvRequest::Reservations(ReservationsRequest::Decide(self.last_request_id));
        if swap.mutations.is_empty() {
            context
                .kv
                .check_versions(context.effects, request, &swap, CHECK_TIMEOUT_MS);
        } else {
            context.kv.compare_and_swap(context.effects, request, &swap);
        }
    }

    /// Decides as many pending requests as fit into one transaction. Returns the transaction and the
    /// decisions.
    fn collect_decisions(
        &mut self,
        context: &mut Context<'_>,
    ) -> (CompareAndSwap, Vec<DecidedRequest>) {
        let max_writes = context
            .kv
            .write_budget(context.now(), RequestPriority::Admission)
            .min(context.storage_limits.txn_ops);
        let mut calendar = self.calendar.clone();
        let mut swap = CompareAndSwap::default()
            .compare(CALENDAR_KEY.to_string(), context.records.calendar_version);
        let mut keys = BTreeSet::new();
        let mut requests = Vec::new();
        while let Some(first) = self.pending.front() {
            let decision = decide(&first.request, &mut calendar, context);
            if let Some(write) = &decision.write {
                // One write is for the calendar key and one for each entry. A transaction must not write a
                // key twice, so a second change of an entry waits for the next batch.
                if keys.len() + 2 > max_writes || !keys.insert(write.key.clone()) {
                    break;
                }
                swap = write.add_to(swap);
            }
            let pending = self.pending.pop();
            requests.extend(pending.map(|pending| DecidedRequest { pending, decision }));
        }
        if !keys.is_empty() {
            let value = json!({"revision": context.records.revision});
            swap = swap.mutate(Mutation::put(CALENDAR_KEY.to_string(), &value));
        }
        (swap, requests)
    }

    /// Handles the outcome of a batch's transaction: responds if it was applied, puts the requests back after
    /// a conflict, and otherwise responds that the store is unavailable. Returns the record changes that the
    /// transaction made.
    pub(super) fn on_decided(
        &mut self,
        id: u64,
        outcome: SwapOutcome,
        context: &mut Context<'_>,
    ) -> Vec<RecordChange> {
        let Some(batch) = self.in_flight.take_if(|batch| batch.id == id) else {
            return Vec::new();
        };
        match outcome {
            SwapOutcome::Applied(revision) => return respond(batch.requests, revision, context),
            SwapOutcome::Conflict(keys) => {
                // The requests are decided again after a delay. If the calendar key has changed, they also
                // wait until the watch has delivered that change.
                if keys.iter().any(|key| key == CALENDAR_KEY) {
                    self.conflicted_version = Some(batch.calendar_version);
                }
                self.retry_at = context.now().plus(CONFLICT_BACKOFF_MS);
                let pending = batch.requests.into_iter().map(|r| r.pending).collect();
                self.pending.put_back(pending);
            }
            SwapOutcome::LeaseExpired
            | SwapOutcome::Rejected
            | SwapOutcome::NotApplied
            | SwapOutcome::Unknown => {
                for DecidedRequest { pending, .. } in batch.requests {
                    let unavailable = Unavailable::StoreNotResponding.into();
                    context.effects.respond(pending.connection, unavailable);
                }
            }
        }
        Vec::new()
    }
}

/// Responds to requests whose decisions are durable. Returns the record changes that they made.
fn respond(
    requests: Vec<DecidedRequest>,
    revision: Version,
    context: &mut Context<'_>,
) -> Vec<RecordChange> {
    let mut changes = Vec::new();
    let mut calendar_changed = false;
    for DecidedRequest { pending, decision } in requests {
        if let Some(write) = &decision.write {
            calendar_changed = true;
            let status = decision.response.status;
            tracing::info!(key = write.key, status, "calendar changed");
            for name in &decision.displaced {
                tracing::info!(reservation = %name, window = write.key,
                    "maintenance window forced over reservation");
            }
            changes.extend(context.records.apply(&write.key, write.value(), revision));
        }
        context
            .effects
            .respond(pending.connection, decision.response);
    }
    if calendar_changed {
        let value = Value::Null;
        changes.extend(context.records.apply(CALENDAR_KEY, Some(&value), revision));
    }
    changes
}
