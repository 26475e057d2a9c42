//! One controller: routes each event to the actor that owns the matter.
//!
//! Each actor owns its own state. The one that handles a message borrows what all have in common as a [`Context`]: an
//! actor never reaches into another one.

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
use environment::{Environment, UNSERVED_MS};
use heartbeats::ReceivedHeartbeat;
use peer_status::PeerStatusSender;
use snowshelf_connections::table::ConnectionStats;
use snowshelf_model::ids::{MonotonicMillis, ShardId};
use std::collections::BTreeMap;

/// How often the controller expects [`ControllerEvent::Tick`].
pub const TICK_MS: u64 = 25;

/// One controller, without its I/O: a function of events that returns effects.
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
    /// Present while this controller leads the cluster.
    autoscaler: Option<Autoscaler>,
    gossip: Gossip,
    peer_status: PeerStatusSender,
    reachability: Reachability,
    format_migration: FormatMigration,
    connections: ConnectionStats,
    /// Heartbeats that wait until their shard is led here, or until the jobs that they list are read.
    deferred_heartbeats: Vec<ReceivedHeartbeat>,
    /// When the sizes of the others' pools were last shared with the shards.
    pool_sizes_shared_at: MonotonicMillis,
}

impl Controller {
    /// A controller that has just started.
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

    /// Handles one event and returns what must be done about it, in order. `wall_ms` is the wall clock's time in
    /// milliseconds since 1970.
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

    /// Whether the key-value store serves hardly any controller, as far as they say.
    fn is_store_outage(&self) -> bool {
        let unserved = 1 + self.gossip.count_unserved(self.env.now(), UNSERVED_MS);
        !self.env.is_served() && 2 * unserved > self.env.config.members.len()
    }

    /// Whether responding to workers is of use: where the key-value store serves hardly any controller, none can have
    /// been elected in place of this one. That a response is safe follows from the renewal that each of them needs.
    fn may_respond_to_workers(&self) -> bool {
        self.leases.is_valid(self.env.now()) || (self.leases.has_lease() && self.is_store_outage())
    }

    /// Runs `f` on a shard that this controller leads. A shard that finds itself fenced is dropped.
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
            tracing::info!(shard = %shard_id, fencing_token = %fencing_token, "shard released");
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

    /// Stops leading a shard, and redirects the workers that wait for its responses.
    fn drop_shard(&mut self, shard_id: ShardId) {
        if let Some(mut shard) = self.shards.remove(&shard_id) {
            shard.redirect_deferred_requests(&mut self.env.context());
        }
    }
}
