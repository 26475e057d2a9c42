//! The rate-limited client of the cloud API. All controllers share one request rate; each client gets a fraction of it.

use crate::effects::{CallOutcome, Effects, Method, Target};
use crate::storage::kv_client::TokenBucket;
use snowshelf_model::ids::{CallId, FencingToken, MachineId, MonotonicMillis, ShardId};
use snowshelf_model::protocol::cloud::release_body;
use std::collections::HashMap;

const CALL_TIMEOUT_MS: u64 = 4_000;
/// Largest burst of calls, in seconds of the sustained rate.
const BURST_S: f64 = 2.0;
const HTTP_TOO_MANY_REQUESTS: u16 = 429;

/// A request to the cloud. It is kept until the response arrives and identifies the actor that sent it.
#[derive(Clone, Debug)]
pub enum CloudRequest {
    /// Lists the machine types that can be rented.
    ListMachineTypes,
    /// Lists one page of this cluster's machines.
    ListMachines,
    /// Rents machines; the name identifies the order.
    ScaleOut(String),
    /// Releases machines of a shard. Sent by the shard leader that holds this fencing token.
    ShardScaleIn(ShardId, FencingToken, Vec<MachineId>),
    /// Releases machines. Sent by the cluster leader.
    LeaderScaleIn(Vec<MachineId>),
}

/// A rate-limited client of the cloud API that matches responses with their requests.
pub struct CloudClient {
    bucket: TokenBucket,
    in_flight: HashMap<CallId, CloudRequest>,
}

impl CloudClient {
    /// Creates a client that sends up to `requests_per_s` requests a second on average.
    #[must_use]
    pub fn new(requests_per_s: f64) -> CloudClient {
        CloudClient {
            bucket: TokenBucket::with_burst(requests_per_s, BURST_S * requests_per_s),
            in_flight: HashMap::new(),
        }
    }

    /// Whether the rate limit allows a call now.
    #[must_use]
    pub fn may_call(&mut self, now: MonotonicMillis) -> bool {
        self.bucket.has_tokens(now, 1.0, 0.0)
    }

    /// Calls the cloud API. The caller has checked [`CloudClient::may_call`].
    pub fn call(
        &mut self,
        effects: &mut Effects,
        request: CloudRequest,
        method: Method,
        path: String,
        body: Vec<u8>,
    ) {
        self.bucket.consume(1.0);
        let id = effects.call(Target::Cloud, method, path, body, CALL_TIMEOUT_MS);
        self.in_flight.insert(id, request);
    }

    /// Releases machines to the cloud.
    pub fn release(
        &mut self,
        effects: &mut Effects,
        request: CloudRequest,
        machines: &[MachineId],
    ) {
        let body = release_body(machines);
        let path = "/hosts/release".to_string();
        self.call(effects, request, Method::Post, path, body);
    }

    /// Returns the request that a call's outcome belongs to; `None` if another client made the call.
    #[must_use]
    pub fn on_response(&mut self, id: CallId, outcome: &CallOutcome) -> Option<CloudRequest> {
        let request = self.in_flight.remove(&id)?;
        if let CallOutcome::Response {
            status: HTTP_TOO_MANY_REQUESTS,
            ..
        } = outcome
        {
            tracing::info!("cloud rate limit exceeded");
            self.bucket.consume(1.0);
        }
        Some(request)
    }
}
