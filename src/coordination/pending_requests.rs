//! Requests that wait for an actor's decision, oldest first: a bounded queue with a deadline for each.

use super::context::Context;
use super::unavailable::Unavailable;
use crate::effects::Response;
use snowshelf_model::ids::{ConnectionId, MonotonicMillis};
use std::collections::VecDeque;

/// Requests that wait at most; more are refused at once.
const MAX_PENDING: usize = 200;
/// How long a request waits for the record cache to catch up or the key-value store to have room, in
/// milliseconds.
const DEADLINE_MS: u64 = 2_000;
/// Seconds after which a request that is refused at once should be repeated.
const RETRY_AFTER_S: u64 = 2;

/// A request that waits for a decision.
pub(super) struct PendingRequest<R> {
    /// Who waits for the response.
    pub(super) connection: ConnectionId,
    /// What is asked.
    pub(super) request: R,
    received_at: MonotonicMillis,
}

/// A queue of requests.
pub(super) struct PendingRequests<R>(VecDeque<PendingRequest<R>>);

impl<R> Default for PendingRequests<R> {
    fn default() -> PendingRequests<R> {
        PendingRequests(VecDeque::new())
    }
}

impl<R> PendingRequests<R> {
    /// Queues a request, unless there is a reason to refuse it now.
    pub(super) fn push(
        &mut self,
        connection: ConnectionId,
        request: R,
        refusal: Option<&str>,
        context: &mut Context<'_>,
    ) {
        let is_full = self.0.len() >= MAX_PENDING;
        if let Some(why) = refusal.or(is_full.then_some("too many requests")) {
            let refused = Response::later(503, why, RETRY_AFTER_S);
            context.effects.respond(connection, refused);
            return;
        }
        self.0.push_back(PendingRequest {
            connection,
            request,
            received_at: context.now(),
        });
    }

    /// Refuses all requests: the key-value store does not serve.
    pub(super) fn refuse_all(&mut self, context: &mut Context<'_>) {
        for pending in self.0.drain(..) {
            let unavailable = Unavailable::StoreDown.into();
            context.effects.respond(pending.connection, unavailable);
        }
    }

    /// Refuses the requests whose deadline has passed.
    pub(super) fn expire(&mut self, context: &mut Context<'_>) {
        let now = context.now();
        while let Some(pending) = self.0.front()
            && now.since(pending.received_at) > DEADLINE_MS
        {
            let unavailable = Unavailable::Contended.into();
            context.effects.respond(pending.connection, unavailable);
            self.0.pop_front();
        }
    }

    /// Whether no request waits.
    pub(super) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// The oldest request.
    pub(super) fn front(&self) -> Option<&PendingRequest<R>> {
        self.0.front()
    }

    /// Takes the oldest request.
    pub(super) fn pop(&mut self) -> Option<PendingRequest<R>> {
        self.0.pop_front()
    }

    /// Puts requests back that are to be decided again, in the order in which they were taken.
    pub(super) fn put_back(&mut self, requests: Vec<PendingRequest<R>>) {
        for pending in requests.into_iter().rev() {
            self.0.push_front(pending);
        }
    }
}
