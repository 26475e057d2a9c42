//! The client of the cloud's API, which keeps to this controller's share of the common request rate.

use crate::effects::{CallOutcome, Effects, Method, Target};
use crate::storage::kv_client::TokenBucket;
use snowshelf_model::ids::{CallId, FencingToken, MachineId, MonotonicMillis, ShardId};
use snowshelf_model::protocol::cloud::release_body;
use std::collections::HashMap;

const CALL_TIMEOUT_MS: u64 = 4_000;
/// How many seconds' worth of calls may be made at once.
const BURST_S: f64 = 2.0;
const HTTP_TOO_MANY_REQUESTS: u16 = 429;

/// A request to the cloud, by which its response finds the actor that sent it.
#[derive(Clone, Debug)]
pub enum CloudRequest {
    /// Lists the machine types that there are.
    ListMachineTypes,
    /// Lists this cluster's machines, one page of them.
    ListMachines,
    /// Scales out: the order of this name.
    ScaleOut(String),
    /// Scales in machines of a shard, by the leader with this fencing token.
    ShardScaleIn(ShardId, FencingToken, Vec<MachineId>),
    /// Scales in machines by the cluster leader.
    LeaderScaleIn(Vec<MachineId>),
}

/// The client of the cloud's API.
pub struct CloudClient {
    bucket: TokenBucket,
    in_flight: HashMap<CallId, CloudRequest>,
}

impl CloudClient {
    /// A client for so many requests a second.
    #[must_use]
    pub fn new(requests_per_s: f64) -> CloudClient {
        CloudClient {
            bucket: TokenBucket::with_burst(requests_per_s, BURST_S * requests_per_s),
            in_flight: HashMap::new(),
        }
    }

    /// Whether the request rate allows one more call now.
    #[must_use]
    pub fn may_call(&mut self, now: MonotonicMillis) -> bool {
        self.bucket.has_tokens(now, 1.0, 0.0)
    }

    /// Calls the cloud. Whether the rate allows it has been checked before.
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

    /// Matches the outcome of a call with its request; `None`: another client's call.
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
