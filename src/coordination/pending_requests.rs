//! Requests that wait for an actor's decision, oldest first: so many at the most, and each for a while only.

use super::context::Context;
use crate::effects::Response;
use snowshelf_model::ids::{ConnectionId, MonotonicMillis};
use std::collections::VecDeque;

/// Requests that wait at the most; more are sent away at once.
const MOST_WAITING: usize = 200;
/// How long a request waits for the picture to catch up or the state service to have room.
const PATIENCE_MS: u64 = 2_000;

pub struct Waiting<A> {
    pub conn: ConnectionId,
    pub ask: A,
    since: MonotonicMillis,
}

pub struct PendingRequests<A>(VecDeque<Waiting<A>>);

impl<A> Default for PendingRequests<A> {
    fn default() -> PendingRequests<A> {
        PendingRequests(VecDeque::new())
    }
}

impl<A> PendingRequests<A> {
    /// Takes a request, unless something speaks against that now.
    pub fn take(
        &mut self,
        conn: ConnectionId,
        ask: A,
        against: Option<&str>,
        context: &mut Context,
    ) {
        let many = self.0.len() >= MOST_WAITING;
        if let Some(why) = against.or(many.then_some("too many requests")) {
            context.effects.respond(conn, Response::later(503, why, 2));
            return;
        }
        let since = context.now();
        self.0.push_back(Waiting { conn, ask, since });
    }

    /// Sends everybody away: the state service does not serve.
    pub fn refuse_all(&mut self, context: &mut Context) {
        for waiting in self.0.drain(..) {
            let later = Response::later(503, "the state service is away", 2);
            context.effects.respond(waiting.conn, later);
        }
    }

    /// Sends those away who have waited for too long.
    pub fn give_up(&mut self, context: &mut Context) {
        let now = context.now();
        while let Some(waiting) = self.0.front()
            && now.since(waiting.since) > PATIENCE_MS
        {
            let later = Response::later(503, "could not be settled yet", 1);
            context.effects.respond(waiting.conn, later);
            self.0.pop_front();
        }
    }

    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    pub fn front(&self) -> Option<&Waiting<A>> {
        self.0.front()
    }

    pub fn pop(&mut self) -> Option<Waiting<A>> {
        self.0.pop_front()
    }

    /// Puts back what is to be decided anew, in the order in which it was taken.
    pub fn put_back(&mut self, waiting: Vec<Waiting<A>>) {
        for w in waiting.into_iter().rev() {
            self.0.push_front(w);
        }
    }
}
