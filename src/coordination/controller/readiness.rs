//! The health check `/ready`, by which the load balancer decides whether it sends requests to this controller.

use super::Controller;
use crate::coordination::shard::ShardProgress;
use crate::effects::Response;
use serde_json::json;
use snowshelf_model::ids::ConnectionId;

/// A controller that the key-value store has not served for so long is not ready.
const NOT_READY_UNSERVED_MS: u64 = 3_000;
const NOT_READY_RETRY_S: u64 = 1;

impl Controller {
    pub(super) fn respond_ready(&mut self, conn: ConnectionId) {
        let can_decide = self.env.records.allocations_read && self.env.machine_types.are_known();
        // In an outage for all controllers, leaving the load balancer would only delay the return.
        let is_served = self.env.unserved_ms() < NOT_READY_UNSERVED_MS || self.is_store_outage();
        let response = if can_decide && is_served {
            self.ready_response()
        } else {
            let reads = self.list_watch.stage_label().unwrap_or("nothing");
            let why = format!("not ready, reads {reads}");
            Response::later(503, &why, NOT_READY_RETRY_S)
        };
        self.env.effects.respond(conn, response);
    }

    fn ready_response(&self) -> Response {
        let shards: Vec<ShardProgress> = self
            .shards
            .values()
            .map(super::super::shard::Shard::progress)
            .collect();
        Response::json(
            200,
            &json!({
                "reads": self.list_watch.stage_label(),
                "deaf": self.reachability.unreachable_by_workers(),
                "doors": &self.connections,
                "parts": shards,
            }),
        )
    }
}
