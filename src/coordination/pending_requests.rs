//! A bounded FIFO queue of user requests that wait for an actor's decision, with a deadline for each request.

use super::context::Context;
use super::unavailable::Unavailable;
use crate::effects::Response;
use snowshelf_model::ids::{ConnectionId, MonotonicMillis};
use std::collections::VecDeque;

/// Capacity of the queue. Further requests are refused immediately.
const MAX_PENDING: usize = 200;
/// How long a request may wait for the record cache to catch up or for the rate limits of the key-value store, in
/// milliseconds.
const DEADLINE_MS: u64 = 2_000;
/// Seconds after which a client should repeat a request that was refused immediately.
const RETRY_AFTER_S: u64 = 2;

/// A queued request.
pub(super) struct PendingRequest<R> {
    /// The connection on which the client waits for the response.
    pub(super) connection: ConnectionId,
    /// The parsed request.
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
    /// Queues a request. If there is a `refusal` or the queue is full, responds with status 503 instead.
    pub(super) fn push(
        &mut self,
        connection: ConnectionId,
        request: R,
        refusal: Option<&str>,
        context: &mut Context<'_>,
    ) {
        let is_full = self.0.len() >= MAX_PENDING;
        if let Some(reason) = refusal.or(is_full.then_some("too many requests")) {
            let refused = Response::retry_later(503, reason, RETRY_AFTER_S);
            context.effects.respond(connection, refused);
            return;
        }
        self.0.push_back(PendingRequest {
            connection,
            request,
            received_at: context.now(),
        });
    }

    /// Refuses all queued requests because the key-value store is unavailable.
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

    /// Whether no request is queued.
    pub(super) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// The oldest request.
    pub(super) fn front(&self) -> Option<&PendingRequest<R>> {
        self.0.front()
    }

    /// Removes and returns the oldest request.
    pub(super) fn pop(&mut self) -> Option<PendingRequest<R>> {
        self.0.pop_front()
    }

    /// Puts requests back at the front of the queue, in the order in which they were removed, to be decided again.
    pub(super) fn put_back(&mut self, requests: Vec<PendingRequest<R>>) {
        for pending in requests.into_iter().rev() {
            self.0.push_front(pending);
        }
    }
}
