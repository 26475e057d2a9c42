//! Drains: emptying machines in steps. Operators' requests are durable before they are answered. The leader
//! advances each drain step by step. Shard leaders read the records, cordon the machines of a step and evict
//! their tasks.

mod cordons;
mod decisions;
pub mod disruption;
mod leader;
mod requests;

pub use cordons::{Cordon, DrainConstraints};
pub use leader::EvictionStatus;
pub use requests::{DrainsRequest, parse_request};

use super::conditional_write::ConditionalWrite;
use super::context::{Context, KvRequest};
use super::pending_requests::{PendingRequest, PendingRequests};
use super::unavailable::Unavailable;
use crate::effects::Response;
use crate::storage::kv_client::{RequestPriority, SwapOutcome};
use decisions::decide;
use leader::LeaderProgress;
use snowshelf_calendar::entry::Name;
use snowshelf_model::ids::{ConnectionId, MonotonicMillis, Version};
use snowshelf_model::protocol::state::CompareAndSwap;
use snowshelf_model::records::{Capability, LEADER_KEY};
use std::collections::BTreeMap;

/// The time to the next attempt after a write conflict, in milliseconds.
const CONFLICT_BACKOFF_MS: u64 = 50;
/// The time to the next attempt after a step of the leader failed, in milliseconds.
const STEP_BACKOFF_MS: u64 = 500;
/// Timeout of a transaction that only compares versions, in milliseconds.
const CHECK_TIMEOUT_MS: u64 = 1_500;

/// A request with its response, which is sent once the write is durable.
struct DecidedRequest {
    pending: PendingRequest<DrainsRequest>,
    response: Response,
}

struct InFlightWrite {
    id: u64,
    write: ConditionalWrite,
    /// The request that it serves; absent for a step of the leader.
    request: Option<DecidedRequest>,
}

/// What a drain waits for, as operators read it.
#[derive(Clone, Default)]
pub struct WaitReason {
    /// The condition for its next step.
    pub waits_for: String,
    /// Why evictions from the machines of its step are delayed.
    pub blockers: Vec<String>,
}

/// Serves requests on drains, and advances the drains while this controller leads.
#[derive(Default)]
pub struct Drains {
    pending: PendingRequests<DrainsRequest>,
    in_flight: Option<InFlightWrite>,
    last_request_id: u64,
    retry_at: MonotonicMillis,
    leader: LeaderProgress,
    /// What each drain waits for: computed here if this controller leads, otherwise received from the leader.
    waits: BTreeMap<Name, WaitReason>,
}

impl Drains {
    /// Queues a request. The caller has checked that the key-value store is available.
    pub fn handle(
        &mut self,
        connection: ConnectionId,
        request: DrainsRequest,
        context: &mut Context<'_>,
    ) {
        let refusal = if !context.records.all_support(&Capability::drains()) {
            Some("not every controller takes drains yet")
        } else if !context.records.loaded {
            Some("not able to decide yet")
        } else {
            None
        };
        self.pending.push(connection, request, refusal, context);
    }

    /// Refuses all pending requests, as the key-value store is unavailable.
    pub fn refuse_all(&mut self, context: &mut Context<'_>) {
        self.pending.refuse_all(context);
    }

    /// Decides pending requests, oldest first, until one needs a write.
    pub fn tick(&mut self, context: &mut Context<'_>) {
        let now = context.now();
        self.pending.expire(context);
        if self.in_flight.is_some() || now < self.retry_at || !context.records.loaded {
            return;
        }
        while let Some(pending) = self.pending.pop() {
            let decision = decide(&pending.request, &self.waits, context);
            let response = decision.response;
            let Some(write) = decision.write else {
                context.effects.respond(pending.connection, response);
                continue;
            };
            let writes = usize::from(write.changes_record());
            if !context
                .kv
                .has_budget(now, RequestPriority::Admission, writes)
            {
                self.pending.put_back(vec![pending]);
                return;
            }
            let request = DecidedRequest { pending, response };
            self.send(write, Some(request), None, context);
            return;
        }
    }

    /// Sends a write. A step of the leader is also conditional on the version of the leader's record.
    fn send(
        &mut self,
        write: ConditionalWrite,
        request: Option<DecidedRequest>,
        leader_version: Option<Version>,
        context: &mut Context<'_>,
    ) {
        let mut swap = CompareAndSwap::default().compare(write.key.clone(), write.version);
        if let Some(version) = leader_version {
            swap = swap.compare(LEADER_KEY.to_string(), version);
        }
        swap.mutations.extend(write.mutation());
        self.last_request_id += 1;
        let id = self.last_request_id;
        let kv_request = KvRequest::Drains(id);
        if write.changes_record() {
            context
                .kv
                .compare_and_swap(context.effects, kv_request, &swap);
        } else {
            context
                .kv
                .check_versions(context.effects, kv_request, &swap, CHECK_TIMEOUT_MS);
        }
        self.in_flight = Some(InFlightWrite { id, write, request });
    }

    /// Handles the outcome of a write.
    pub fn on_outcome(&mut self, id: u64, outcome: SwapOutcome, context: &mut Context<'_>) {
        let Some(InFlightWrite { write, request, .. }) = self.in_flight.take_if(|w| w.id == id)
        else {
            return;
        };
        let now = context.now();
        match (outcome, request) {
            (SwapOutcome::Applied(revision), request) => {
                if write.changes_record() {
                    tracing::info!(
                        key = write.key,
                        requested = request.is_some(),
                        "drain or disruption budget changed"
                    );
                    context.records.apply(&write.key, write.value(), revision);
                }
                if let Some(DecidedRequest { pending, response }) = request {
                    context.effects.respond(pending.connection, response);
                }
            }
            (SwapOutcome::Conflict(_), request) => {
                // The watch delivers the conflicting change, and the request is decided again.
                self.retry_at = now.plus(CONFLICT_BACKOFF_MS);
                if let Some(DecidedRequest { pending, .. }) = request {
                    self.pending.put_back(vec![pending]);
                }
            }
            (_, Some(DecidedRequest { pending, .. })) => {
                let unavailable = Unavailable::StoreNotResponding.into();
                context.effects.respond(pending.connection, unavailable);
            }
            (_, None) => self.retry_at = now.plus(STEP_BACKOFF_MS),
        }
    }
}
