//! The client of the state service: budgets, and answers turned into what they prove.

use crate::effects::{CallOutcome, Effects, Method, Target};
use snowshelf_model::ids::{CallId, LeaseId, MonotonicMillis, Version};
use snowshelf_model::protocol::state::{
    CompareAndSwap, KeyNotFound, KeyValue, LeaseResponse, RangePage, SwapApplied, SwapConflict,
    WatchEvents,
};
use std::collections::HashMap;

/// What a request is for. Lower ranks keep clear of the room that higher ones may need.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum RequestPriority {
    Leases,
    Accept,
    Ends,
    Starts,
    /// What is as well written later.
    Spare,
    Reads,
}

impl RequestPriority {
    /// The share of a second's budget that must stay free when a request of this class goes out.
    fn reserve(self) -> f64 {
        match self {
            RequestPriority::Leases => 0.0,
            RequestPriority::Accept => 0.1,
            RequestPriority::Ends => 0.15,
            RequestPriority::Starts => 0.25,
            RequestPriority::Reads | RequestPriority::Spare => 0.3,
        }
    }

    /// The same for writes, which are fewer: clear of what accepting a job takes, or a stream of
    /// small writes keeps it waiting.
    fn reserve_of_writes(self) -> f64 {
        match self {
            RequestPriority::Ends => 0.4,
            RequestPriority::Starts => 0.5,
            // Only from a bucket that nobody else draws on.
            RequestPriority::Spare => 0.8,
            RequestPriority::Leases | RequestPriority::Accept | RequestPriority::Reads => {
                self.reserve()
            }
        }
    }
}

/// A token bucket that holds a second's worth.
pub struct TokenBucket {
    rate: f64,
    most: f64,
    level: f64,
    at: MonotonicMillis,
}

impl TokenBucket {
    pub fn new(rate: f64) -> TokenBucket {
        TokenBucket::with_burst(rate, rate)
    }
    pub fn with_burst(rate: f64, most: f64) -> TokenBucket {
        let most = most.max(1.0);
        TokenBucket {
            rate,
            most,
            level: most,
            at: MonotonicMillis(0),
        }
    }
    pub fn set_rate(&mut self, rate: f64) {
        (self.rate, self.most) = (rate, rate.max(1.0));
        self.level = self.level.min(self.most);
    }
    fn refill(&mut self, now: MonotonicMillis) {
        let gained = now.since(self.at) as f64 / 1000.0 * self.rate;
        self.level = (self.level + gained).min(self.most);
        self.at = now;
    }
    pub fn has(&mut self, now: MonotonicMillis, amount: f64, reserve: f64) -> bool {
        self.refill(now);
        // A request that alone passes what is left over the reserve goes when the bucket is full.
        self.level >= (amount + reserve * self.rate).min(self.most)
    }
    /// How much may go now beside the reserve; never nothing when the bucket is full.
    pub fn room(&mut self, now: MonotonicMillis, reserve: f64) -> usize {
        self.refill(now);
        let room = (self.level - reserve * self.rate).max(0.0) as usize;
        if self.level >= self.most {
            // The smallest change that closes a share takes two writes.
            room.max(2)
        } else {
            room
        }
    }
    pub fn take(&mut self, amount: f64) {
        self.level -= amount;
    }
}

#[derive(Debug)]
pub enum SwapOutcome {
    Done(Version),
    /// Nothing was changed; these keys had other versions.
    Conflict(Vec<String>),
    NoLease,
    /// Not carried out, and never will be as it is: too large, or malformed.
    Refused,
    /// Certainly not carried out.
    NotDone,
    /// May have been carried out, or may still be.
    Unknown,
}

#[derive(Debug)]
pub enum GetOutcome {
    Found(KeyValue),
    NotFound(Version),
    Failed,
}

#[derive(Debug)]
pub enum KvResponse {
    Swap(SwapOutcome),
    Get(GetOutcome),
    RangePage(Option<RangePage>),
    /// `Err(true)`: too old, read everything again.
    WatchEvents(Result<WatchEvents, bool>),
    Lease(Option<LeaseId>),
    /// `Some(false)`: the lease is gone.
    Renewed(Option<bool>),
}

/// Logs a response that does not belong to the request it came for.
pub fn unexpected_response(request: &impl std::fmt::Debug) {
    tracing::error!(?request, "response of unexpected kind");
}

#[derive(Clone, Copy)]
enum Kind {
    Swap,
    Get,
    RangePage,
    WatchEvents,
    Lease,
    Renew,
}

pub struct KvClient<T> {
    requests: TokenBucket,
    writes: TokenBucket,
    pending: HashMap<CallId, (T, Kind)>,
    /// When the service last answered anything but 503.
    pub served: Option<MonotonicMillis>,
    /// A transaction was refused as it is.
    pub refused: bool,
}

const CALL_MS: u64 = 2_500;

impl<T> KvClient<T> {
    pub fn new(rps: f64, write_rps: f64) -> KvClient<T> {
        KvClient {
            requests: TokenBucket::new(rps),
            writes: TokenBucket::new(write_rps),
            pending: HashMap::new(),
            served: None,
            refused: false,
        }
    }

    /// Keeps to other rates from now on.
    pub fn set_rates(&mut self, rps: f64, write_rps: f64) {
        self.requests.set_rate(rps);
        self.writes.set_rate(write_rps);
    }

    /// Writes a second that this client may make.
    pub fn write_rate(&self) -> f64 {
        self.writes.rate
    }

    pub fn may(&mut self, now: MonotonicMillis, class: RequestPriority, writes: usize) -> bool {
        self.requests.has(now, 1.0, class.reserve())
            && (writes == 0
                || self
                    .writes
                    .has(now, writes as f64, class.reserve_of_writes()))
    }

    /// How many writes one transaction of this class may make now.
    pub fn room(&mut self, now: MonotonicMillis, class: RequestPriority) -> usize {
        if self.requests.has(now, 1.0, class.reserve()) {
            self.writes.room(now, class.reserve_of_writes())
        } else {
            0
        }
    }

    #[allow(clippy::too_many_arguments)]
    fn send(
        &mut self,
        effects: &mut Effects,
        tag: T,
        kind: Kind,
        method: Method,
        path: String,
        body: Vec<u8>,
        timeout_ms: u64,
    ) {
        self.requests.take(1.0);
        let id = effects.call(Target::KvStore, method, path, body, timeout_ms);
        self.pending.insert(id, (tag, kind));
    }

    /// Sends a transaction; the caller has asked `may` before.
    pub fn compare_and_swap(&mut self, effects: &mut Effects, tag: T, swap: &CompareAndSwap) {
        self.writes.take(swap.mutations.len() as f64);
        self.check_versions(effects, tag, swap, CALL_MS);
    }

    /// Asks whether keys still have the versions known here: a transaction without changes.
    pub fn check_versions(
        &mut self,
        effects: &mut Effects,
        tag: T,
        swap: &CompareAndSwap,
        timeout_ms: u64,
    ) {
        let body = serde_json::to_vec(swap).unwrap_or_default();
        let path = "/txn".to_string();
        self.send(
            effects,
            tag,
            Kind::Swap,
            Method::Post,
            path,
            body,
            timeout_ms,
        );
    }

    pub fn get(&mut self, effects: &mut Effects, tag: T, key: &str, timeout_ms: u64) {
        let path = format!("/kv/{key}");
        self.send(
            effects,
            tag,
            Kind::Get,
            Method::Get,
            path,
            Vec::new(),
            timeout_ms,
        );
    }

    /// Reads keys that start with `starts`, after `after`, `limit` of them at the most.
    pub fn page(&mut self, effects: &mut Effects, tag: T, starts: &str, after: &str, limit: u32) {
        let path = if after.is_empty() {
            format!("/kv?Starts={starts}&Limit={limit}")
        } else {
            format!("/kv?Starts={starts}&After={after}&Limit={limit}")
        };
        self.send(
            effects,
            tag,
            Kind::RangePage,
            Method::Get,
            path,
            Vec::new(),
            CALL_MS,
        );
    }

    /// Reads the changes of keys that start with `starts` since `after`, and waits for one if there
    /// are none.
    pub fn changes(
        &mut self,
        effects: &mut Effects,
        tag: T,
        starts: &str,
        after: Version,
        wait_ms: u64,
    ) {
        let path = format!("/changes?Starts={starts}&After={after}&WaitMs={wait_ms}");
        let timeout = wait_ms + CALL_MS;
        self.send(
            effects,
            tag,
            Kind::WatchEvents,
            Method::Get,
            path,
            Vec::new(),
            timeout,
        );
    }

    pub fn lease(&mut self, effects: &mut Effects, tag: T, ttl_ms: u64) {
        let body = format!("{{\"TtlMs\":{ttl_ms}}}").into_bytes();
        self.send(
            effects,
            tag,
            Kind::Lease,
            Method::Post,
            "/leases".into(),
            body,
            1_500,
        );
    }

    pub fn renew(&mut self, effects: &mut Effects, tag: T, lease: LeaseId) {
        let path = format!("/leases/{lease}/renew");
        self.send(
            effects,
            tag,
            Kind::Renew,
            Method::Post,
            path,
            Vec::new(),
            1_000,
        );
    }

    /// Takes an answer in; `None` if the call is not this actor's.
    pub fn done(
        &mut self,
        now: MonotonicMillis,
        id: CallId,
        result: &CallOutcome,
    ) -> Option<(T, KvResponse)> {
        let (tag, kind) = self.pending.remove(&id)?;
        if let CallOutcome::Response { status, .. } = result
            && *status != 503
        {
            self.served = Some(now);
        }
        if let CallOutcome::Response { status: 429, .. } = result {
            tracing::info!("key-value store rate limit exceeded");
            self.requests.level = self.requests.level.min(0.0);
            if let Kind::Swap = kind {
                self.writes.level = self.writes.level.min(0.0);
            }
        }
        let reply = interpret(kind, result);
        if let KvResponse::Swap(SwapOutcome::Refused) = reply {
            self.refused = true;
        }
        Some((tag, reply))
    }
}

fn json<'a, T: serde::Deserialize<'a>>(body: &'a [u8]) -> Option<T> {
    match serde_json::from_slice(body) {
        Ok(value) => Some(value),
        Err(error) => {
            tracing::error!(%error, "key-value store response unreadable");
            None
        }
    }
}

fn interpret(kind: Kind, result: &CallOutcome) -> KvResponse {
    let (status, body): (u16, &[u8]) = match result {
        CallOutcome::Response { status, body } => (*status, body),
        CallOutcome::NotSent => (503, b""),
        CallOutcome::Unanswered => (0, b""),
    };
    match kind {
        Kind::Swap => KvResponse::Swap(match status {
            200 => match json::<SwapApplied>(body) {
                Some(ok) => SwapOutcome::Done(ok.revision),
                None => SwapOutcome::Unknown,
            },
            409 => match json::<SwapConflict>(body) {
                Some(f) => SwapOutcome::Conflict(f.failed),
                None => SwapOutcome::NotDone,
            },
            400 => {
                let why = String::from_utf8_lossy(body);
                tracing::info!(body = %why, "compare-and-swap rejected");
                if why.contains("lease") {
                    SwapOutcome::NoLease
                } else {
                    SwapOutcome::Refused
                }
            }
            429 | 503 => SwapOutcome::NotDone,
            // Anything unforeseen proves nothing.
            _ => SwapOutcome::Unknown,
        }),
        Kind::Get => KvResponse::Get(match status {
            200 => json::<KeyValue>(body).map_or(GetOutcome::Failed, GetOutcome::Found),
            404 => json::<KeyNotFound>(body)
                .map_or(GetOutcome::Failed, |m| GetOutcome::NotFound(m.revision)),
            _ => GetOutcome::Failed,
        }),
        Kind::RangePage => KvResponse::RangePage(if status == 200 { json(body) } else { None }),
        Kind::WatchEvents => KvResponse::WatchEvents(match status {
            200 => json(body).ok_or(false),
            410 => Err(true),
            _ => Err(false),
        }),
        Kind::Lease => KvResponse::Lease(if status == 200 {
            json::<LeaseResponse>(body).map(|l| l.lease)
        } else {
            None
        }),
        Kind::Renew => KvResponse::Renewed(match status {
            200 => Some(true),
            404 => Some(false),
            _ => None,
        }),
    }
}
