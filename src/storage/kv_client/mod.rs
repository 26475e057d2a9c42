//! The client of the consensus-backed key-value store: rate limits, requests, and the interpretation of
//! responses as outcomes.

mod priority;
mod response;
mod token_bucket;

pub use priority::RequestPriority;
pub use response::{
    GetOutcome, KvResponse, RenewalOutcome, SwapOutcome, WatchOutcome, unexpected_response,
};
pub use token_bucket::TokenBucket;

use crate::effects::{CallOutcome, Effects, Method, Target};
use response::{RequestKind, interpret};
use snowshelf_model::ids::{CallId, LeaseId, MonotonicMillis, Version};
use snowshelf_model::protocol::state::CompareAndSwap;
use std::collections::HashMap;

/// Timeout of writes, lists and watches, in milliseconds. A watch adds the time for which the store may wait.
const REQUEST_TIMEOUT_MS: u64 = 2_500;
/// Timeout of a request for a new lease, in milliseconds.
const LEASE_GRANT_TIMEOUT_MS: u64 = 1_500;
/// Timeout of a lease renewal, in milliseconds.
const RENEWAL_TIMEOUT_MS: u64 = 1_000;

/// A request to the key-value store.
struct Request {
    kind: RequestKind,
    method: Method,
    path: String,
    body: Vec<u8>,
    timeout_ms: u64,
}

impl Request {
    fn get(kind: RequestKind, path: String, timeout_ms: u64) -> Request {
        Request {
            kind,
            method: Method::Get,
            path,
            body: Vec::new(),
            timeout_ms,
        }
    }
}

/// A client of the key-value store. A tag of type `T` accompanies each request and routes the response to the
/// actor that sent it.
pub struct KvClient<T> {
    requests: TokenBucket,
    writes: TokenBucket,
    /// Requests in flight.
    pending: HashMap<CallId, (T, RequestKind)>,
    /// When the store last responded with a status other than 503; `None` before that.
    pub last_served_at: Option<MonotonicMillis>,
    /// Whether a compare-and-swap has ever been rejected as too large or malformed.
    pub write_rejected: bool,
}

impl<T> KvClient<T> {
    /// Creates a client that sends at most `rps` requests and `write_rps` writes per second.
    #[must_use]
    pub fn new(rps: f64, write_rps: f64) -> KvClient<T> {
        KvClient {
            requests: TokenBucket::new(rps),
            writes: TokenBucket::new(write_rps),
            pending: HashMap::new(),
            last_served_at: None,
            write_rejected: false,
        }
    }

    /// Changes the limits of requests and writes per second.
    pub fn set_rates(&mut self, rps: f64, write_rps: f64) {
        self.requests.set_rate(rps);
        self.writes.set_rate(write_rps);
    }

    /// Limit of writes per second.
    #[must_use]
    pub fn write_rate(&self) -> f64 {
        self.writes.rate()
    }

    /// Whether the rate limits currently allow a request of this priority with `writes` writes.
    pub fn has_budget(
        &mut self,
        now: MonotonicMillis,
        priority: RequestPriority,
        writes: usize,
    ) -> bool {
        self.requests
            .has_tokens(now, 1.0, priority.request_reserve())
            && (writes == 0
                || self
                    .writes
                    .has_tokens(now, writes as f64, priority.write_reserve()))
    }

    /// Number of writes that one compare-and-swap of this priority may currently contain.
    pub fn write_budget(&mut self, now: MonotonicMillis, priority: RequestPriority) -> usize {
        if self
            .requests
            .has_tokens(now, 1.0, priority.request_reserve())
        {
            self.writes.available(now, priority.write_reserve())
        } else {
            0
        }
    }

    fn send(&mut self, effects: &mut Effects, tag: T, request: Request) {
        self.requests.consume(1.0);
        let id = effects.call(
            Target::KvStore,
            request.method,
            request.path,
            request.body,
            request.timeout_ms,
        );
        self.pending.insert(id, (tag, request.kind));
    }

    /// Sends a compare-and-swap. The caller must have checked [`KvClient::has_budget`].
    pub fn compare_and_swap(&mut self, effects: &mut Effects, tag: T, swap: &CompareAndSwap) {
        self.writes.consume(swap.mutations.len() as f64);
        self.check_versions(effects, tag, swap, REQUEST_TIMEOUT_MS);
    }

    /// Checks whether keys have the expected versions: a compare-and-swap without mutations.
    pub fn check_versions(
        &mut self,
        effects: &mut Effects,
        tag: T,
        swap: &CompareAndSwap,
        timeout_ms: u64,
    ) {
        let request = Request {
            kind: RequestKind::Swap,
            method: Method::Post,
            path: "/txn".to_string(),
            body: serde_json::to_vec(swap).unwrap_or_default(),
            timeout_ms,
        };
        self.send(effects, tag, request);
    }

    /// Reads one key.
    pub fn get(&mut self, effects: &mut Effects, tag: T, key: &str, timeout_ms: u64) {
        let request = Request::get(RequestKind::Get, format!("/kv/{key}"), timeout_ms);
        self.send(effects, tag, request);
    }

    /// Lists at most `limit` keys with the prefix `prefix` that sort after `after`, in ascending order.
    pub fn list(&mut self, effects: &mut Effects, tag: T, prefix: &str, after: &str, limit: u32) {
        let path = if after.is_empty() {
            format!("/kv?Starts={prefix}&Limit={limit}")
        } else {
            format!("/kv?Starts={prefix}&After={after}&Limit={limit}")
        };
        let request = Request::get(RequestKind::List, path, REQUEST_TIMEOUT_MS);
        self.send(effects, tag, request);
    }

    /// Reads the events of keys with the prefix `prefix` after the revision `after`. If there are none, the
    /// store waits up to `wait_ms` for one.
    pub fn watch(
        &mut self,
        effects: &mut Effects,
        tag: T,
        prefix: &str,
        after: Version,
        wait_ms: u64,
    ) {
        let path = format!("/changes?Starts={prefix}&After={after}&WaitMs={wait_ms}");
        let request = Request::get(RequestKind::Watch, path, wait_ms + REQUEST_TIMEOUT_MS);
        self.send(effects, tag, request);
    }

    /// Requests a new lease with a time to live of `ttl_ms`.
    pub fn grant_lease(&mut self, effects: &mut Effects, tag: T, ttl_ms: u64) {
        let request = Request {
            kind: RequestKind::LeaseGrant,
            method: Method::Post,
            path: "/leases".to_string(),
            body: format!("{{\"TtlMs\":{ttl_ms}}}").into_bytes(),
            timeout_ms: LEASE_GRANT_TIMEOUT_MS,
        };
        self.send(effects, tag, request);
    }

    /// Requests the renewal of a lease. The response says whether it was renewed, has expired, or the request
    /// failed.
    pub fn renew_lease(&mut self, effects: &mut Effects, tag: T, lease: LeaseId) {
        let request = Request {
            kind: RequestKind::Renewal,
            method: Method::Post,
            path: format!("/leases/{lease}/renew"),
            body: Vec::new(),
            timeout_ms: RENEWAL_TIMEOUT_MS,
        };
        self.send(effects, tag, request);
    }

    /// Interprets the outcome of a call. Returns the request's tag and response, or `None` if this client did
    /// not make the call.
    pub fn on_outcome(
        &mut self,
        now: MonotonicMillis,
        id: CallId,
        outcome: &CallOutcome,
    ) -> Option<(T, KvResponse)> {
        let (tag, kind) = self.pending.remove(&id)?;
        if let CallOutcome::Response { status, .. } = outcome
            && *status != 503
        {
            self.last_served_at = Some(now);
        }
        if let CallOutcome::Response { status: 429, .. } = outcome {
            tracing::info!("key-value store rate limit exceeded");
            self.requests.drain();
            if kind == RequestKind::Swap {
                self.writes.drain();
            }
        }
        let response = interpret(kind, outcome);
        if let KvResponse::Swap(SwapOutcome::Rejected) = response {
            self.write_rejected = true;
        }
        Some((tag, response))
    }
}
