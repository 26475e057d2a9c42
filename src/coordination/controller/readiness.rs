//! The readiness check `/ready`, by which the load balancer decides whether to send requests to this controller.

use super::Controller;
use crate::coordination::shard::ShardProgress;
use crate::effects::Response;
use serde_json::json;
use snowshelf_model::ids::ConnectionId;

/// A controller is not ready after this time without being served by the key-value store.
const NOT_READY_KV_OUTAGE_MS: u64 = 3_000;
const NOT_READY_RETRY_S: u64 = 1;

impl Controller {
    pub(super) fn respond_ready(&mut self, conn: ConnectionId) {
        let can_decide = self.env.records.allocations_read && self.env.machine_types.are_known();
        // In a cluster-wide outage, leaving the load balancer would only delay the recovery.
        let passes_kv_check =
            self.env.kv_outage_ms() < NOT_READY_KV_OUTAGE_MS || self.is_cluster_wide_kv_outage();
        let response = if can_decide && passes_kv_check {
            self.ready_response()
        } else {
            let reads = self.list_watch.stage_label().unwrap_or("nothing");
            let reason = format!("not ready, reads {reads}");
            Response::retry_later(503, &reason, NOT_READY_RETRY_S)
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
