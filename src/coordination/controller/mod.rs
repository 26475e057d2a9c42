//! The controller: routes each event to the actor that handles it.
//!
//! Each actor owns its state and borrows the shared state as a [`Context`] while it handles a message. Actors never
//! access each other's state.

mod dependency_tracker;
mod drains;
mod environment;
mod heartbeats;
mod job_lookups;
mod machine_types;
mod peer_status;
mod readiness;
mod record_changes;
mod responses;
mod routes;
mod tick;
mod watermark;

use super::api::JobApi;
use super::autoscaler::Autoscaler;
use super::config::Config;
use super::context::Context;
use super::dag_runs::DagRuns;
use super::drains::Drains;
use super::format_migration::FormatMigration;
use super::gossip::Gossip;
use super::leases::{Leases, Role};
use super::list_watch::ListWatch;
use super::reachability::Reachability;
use super::reservations::Reservations;
use super::shard::Shard;
use crate::effects::{ControllerEvent, Effect};
use crate::operator::OperatorSettings;
use crate::settings::Settings;
use environment::{Environment, KV_OUTAGE_MS};
use heartbeats::ReceivedHeartbeat;
use peer_status::PeerStatusSender;
use snowshelf_connections::table::ConnectionStats;
use snowshelf_model::ids::{MonotonicMillis, ShardId};
use std::collections::BTreeMap;

/// The interval at which the controller expects [`ControllerEvent::Tick`].
pub const TICK_MS: u64 = 25;

/// A controller without I/O: a state machine that takes events and returns effects.
pub struct Controller {
    env: Environment,
    leases: Leases,
    list_watch: ListWatch,
    /// The shards that this controller leads.
    shards: BTreeMap<ShardId, Shard>,
    job_api: JobApi,
    reservations: Reservations,
    dag_runs: DagRuns,
    drains: Drains,
    /// `Some` while this controller leads the cluster.
    autoscaler: Option<Autoscaler>,
    gossip: Gossip,
    peer_status: PeerStatusSender,
    reachability: Reachability,
    format_migration: FormatMigration,
    connections: ConnectionStats,
    /// Heartbeats that wait until their shard is led here or the jobs that they list have been read.
    deferred_heartbeats: Vec<ReceivedHeartbeat>,
    /// When the pool sizes of the other shards were last passed to the shards led here.
    pool_sizes_shared_at: MonotonicMillis,
}

impl Controller {
    /// Creates a controller that starts at `now`.
    #[must_use]
    pub fn new(settings: Settings, ops: OperatorSettings, now: MonotonicMillis) -> Controller {
        let controller = Controller {
            env: Environment::new(Config::new(settings, ops), now),
            leases: Leases::default(),
            list_watch: ListWatch::default(),
            shards: BTreeMap::new(),
            job_api: JobApi::new(now),
            reservations: Reservations::default(),
            dag_runs: DagRuns::default(),
            drains: Drains::default(),
            autoscaler: None,
            gossip: Gossip::default(),
            peer_status: PeerStatusSender::default(),
            reachability: Reachability::default(),
            format_migration: FormatMigration::default(),
            connections: ConnectionStats::default(),
            deferred_heartbeats: Vec::new(),
            pool_sizes_shared_at: MonotonicMillis(0),
        };
        watermark::log_small_margin(&controller.env.config);
        controller
    }

    /// Handles an event and returns the resulting effects, in order. `wall_ms` is the wall clock time in milliseconds
    /// since the Unix epoch.
    #[must_use]
    pub fn handle(
        &mut self,
        event: ControllerEvent,
        now: MonotonicMillis,
        wall_ms: u64,
    ) -> Vec<Effect> {
        self.env.effects.now = now;
        self.env.effects.wall_ms = wall_ms;
        self.env.cancellations.begin_incarnation(wall_ms);
        match event {
            ControllerEvent::Request(conn, request) => self.on_request(conn, &request),
            ControllerEvent::CallDone(id, outcome) => self.on_call_done(id, &outcome),
            ControllerEvent::PeerStatus(status) => {
                self.gossip.record(now, status, &self.env.config);
            }
            ControllerEvent::PeerMessage(message) => self.on_peer_message(message),
            ControllerEvent::ConnectionStats(stats) => self.connections = stats,
            ControllerEvent::Tick => self.tick(),
        }
        std::mem::take(&mut self.env.effects.outputs)
    }

    /// Whether the key-value store is unavailable to this controller and, by their statuses, to more than half of all
    /// controllers.
    fn is_cluster_wide_kv_outage(&self) -> bool {
        let unserved = 1 + self.gossip.count_without_kv(self.env.now(), KV_OUTAGE_MS);
        !self.env.is_kv_available() && 2 * unserved > self.env.config.members.len()
    }

    /// Whether this controller should respond to workers. It does so with an expired lease only in a cluster-wide
    /// outage of the key-value store, in which no other controller can have been elected instead. Responses are safe
    /// in either case, since each needs an authorized lease renewal.
    fn may_respond_to_workers(&self) -> bool {
        self.leases.is_valid(self.env.now())
            || (self.leases.has_lease() && self.is_cluster_wide_kv_outage())
    }

    /// Runs `f` on a shard that this controller leads. Drops the shard if it turns out to be fenced.
    fn with_shard(&mut self, shard_id: ShardId, f: impl FnOnce(&mut Shard, &mut Context<'_>)) {
        let Some(shard) = self.shards.get_mut(&shard_id) else {
            return;
        };
        f(shard, &mut self.env.context());
        if !shard.fenced {
            return;
        }
        let fencing_token = shard.fencing_token;
        self.drop_shard(shard_id);
        if self.leases.fencing_token(shard_id) == Some(fencing_token) {
            tracing::info!(shard = %shard_id, fencing_token = %fencing_token, "fenced shard dropped");
            let role = Role::ShardLeader(shard_id);
            self.leases.drop_role(role, self.env.now());
        }
    }

    /// Runs `f` on each shard that this controller leads.
    fn for_each_shard(&mut self, mut f: impl FnMut(&mut Shard, &mut Context<'_>)) {
        let shards: Vec<ShardId> = self.shards.keys().copied().collect();
        for shard_id in shards {
            self.with_shard(shard_id, &mut f);
        }
    }

    /// Stops leading a shard and redirects the workers that wait for its responses.
    fn drop_shard(&mut self, shard_id: ShardId) {
        if let Some(mut shard) = self.shards.remove(&shard_id) {
            shard.redirect_deferred_requests(&mut self.env.context());
        }
    }
}
