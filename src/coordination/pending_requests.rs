//! Requests that wait for an actor's decision, oldest first. The queue is bounded, and so is the time in it.

use super::context::Context;
use crate::effects::Response;
use snowshelf_model::ids::{ConnectionId, MonotonicMillis};
use std::collections::VecDeque;

/// The capacity of the queue.
const MAX_PENDING: usize = 200;
/// How long a request waits for the record cache to catch up or the key-value store's budget to allow the write.
const MAX_WAIT_MS: u64 = 2_000;
/// After how long a client may retry when it was not admitted.
const REJECTED_RETRY_S: u64 = 2;
/// After how long a client may retry when its request was not decided in time.
const EXPIRED_RETRY_S: u64 = 1;

/// A request that waits for a decision.
pub(super) struct PendingRequest<R> {
    /// The connection on which the client waits for the response.
    pub(super) conn: ConnectionId,
    /// What the client asks.
    pub(super) request: R,
    received_at: MonotonicMillis,
}

/// A bounded queue of requests, oldest first.
pub(super) struct PendingRequests<R>(VecDeque<PendingRequest<R>>);

impl<R> Default for PendingRequests<R> {
    fn default() -> PendingRequests<R> {
        PendingRequests(VecDeque::new())
    }
}

impl<R> PendingRequests<R> {
    /// Queues a request, or rejects it: for the reason given, or because the queue is full.
    pub(super) fn admit(
        &mut self,
        conn: ConnectionId,
        request: R,
        rejection: Option<&str>,
        context: &mut Context,
    ) {
        let is_full = self.0.len() >= MAX_PENDING;
        if let Some(why) = rejection.or(is_full.then_some("too many requests")) {
            let response = Response::later(503, why, REJECTED_RETRY_S);
            context.effects.respond(conn, response);
            return;
        }
        self.0.push_back(PendingRequest {
            conn,
            request,
            received_at: context.now(),
        });
    }

    /// Rejects all requests: the key-value store does not serve this controller.
    pub(super) fn reject_all(&mut self, context: &mut Context) {
        for pending in self.0.drain(..) {
            let response = Response::kv_store_unavailable();
            context.effects.respond(pending.conn, response);
        }
    }

    /// Rejects the requests that have waited for too long.
    pub(super) fn expire(&mut self, context: &mut Context) {
        let now = context.now();
        while let Some(pending) = self.0.front()
            && now.since(pending.received_at) > MAX_WAIT_MS
        {
            let response = Response::later(503, "could not be settled yet", EXPIRED_RETRY_S);
            context.effects.respond(pending.conn, response);
            self.0.pop_front();
        }
    }

    /// Whether no request waits.
    #[must_use]
    pub(super) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// The oldest request.
    #[must_use]
    pub(super) fn front(&self) -> Option<&PendingRequest<R>> {
        self.0.front()
    }

    /// Takes the oldest request out.
    pub(super) fn pop(&mut self) -> Option<PendingRequest<R>> {
        self.0.pop_front()
    }

    /// Puts requests that must be decided anew back at the front, in the order in which they were taken out.
    pub(super) fn requeue(&mut self, requests: Vec<PendingRequest<R>>) {
        for pending in requests.into_iter().rev() {
            self.0.push_front(pending);
        }
    }
}
