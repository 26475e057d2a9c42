//! One controller: routes inputs and answers to the actors that own the matter.

mod drains;
mod responses;
mod routes;
mod tick;
mod watermark;

use super::api::JobApi;
use super::autoscaler::Autoscaler;
use super::context::{CloudClient, Config, Context, KvRequest, Role};
use super::dag_runs::DagRuns;
use super::dependencies::DependencyGraph;
use super::drains::{Draining, Drains};
use super::format_migration::{FormatMigration, storage_limits};
use super::gossip::{Gossip, RoundRobinNames};
use super::leases::Leases;
use super::list_watch::ListWatch;
use super::reachability::Reachability;
use super::reservations::Reservations;
use super::shard::Shard;
use crate::effects::{ControllerEvent, Effect, Effects};
use crate::operator::OperatorSettings;
use crate::settings::Settings;
use crate::storage::kv_client::KvClient;
use crate::storage::record_cache::RecordCache;
use snowshelf_calendar::guard::Guard;
use snowshelf_connections::table::ConnectionStats;
use snowshelf_model::ids::{ConnectionId, JobId, Member, MonotonicMillis, ShardId};
use snowshelf_model::protocol::cloud::MachineType;
use snowshelf_model::protocol::worker::Heartbeat;
use snowshelf_model::records::{RecordFormat, StorageLimits};
use snowshelf_watermark::CancellationWatermark;
use snowshelf_watermark::confirmation_round::ConfirmationRounds;
use std::collections::{BTreeMap, BTreeSet};

/// How often the regular work is done.
pub const TICK_MS: u64 = 25;
/// Without service for so long, this controller says that the state service does not serve it.
const UNSERVED_MS: u64 = 1_500;
/// Share of the state service's budget that the controllers use together: of requests, which it
/// counts when they arrive, and of writes, which few messages carry.
const BUDGET: f64 = 0.92;
const WRITES_BUDGET: f64 = 0.97;
/// Share of the cloud's request rate for each owner; the leader uses the rest.
const OWNER_CLOUD: f64 = 0.12;

/// The share of the budget that is divided equally, for taking jobs and starting up; the rest goes with the parts,
/// whose owners write most of what is written: a controller left alone with all parts may use their budget too.
const EQUAL: f64 = 0.6;

/// One controller's share of the requests and writes a second, with so many of the parts. The shares of all make up
/// the whole, since no part has two owners.
pub fn own_rates(storage_limits: &StorageLimits, nodes: u32, shards: usize) -> (f64, f64) {
    let nodes = f64::from(nodes);
    let share = EQUAL / nodes + (1.0 - EQUAL) * shards as f64 / nodes;
    (
        BUDGET * storage_limits.rps * share,
        WRITES_BUDGET * storage_limits.write_rps * share,
    )
}

pub struct Controller {
    config: Config,
    effects: Effects,
    kv: KvClient<KvRequest>,
    cloud: CloudClient,
    records: RecordCache,
    types: BTreeMap<String, MachineType>,
    leases: Leases,
    list_watch: ListWatch,
    shards: BTreeMap<ShardId, Shard>,
    job_api: JobApi,
    reservations: Reservations,
    dag_runs: DagRuns,
    drains: Drains,
    /// What placement, renting and returning keep to of the drains, and of which changes of theirs.
    drain_state: Draining,
    draining_of: u64,
    draining_at: MonotonicMillis,
    /// What placement and renting keep to of the calendar.
    guard: Guard,
    autoscaler: Option<Autoscaler>,
    gossip: Gossip,
    heard_turns: RoundRobinNames,
    missing_turns: RoundRobinNames,
    reachability: Reachability,
    connections: ConnectionStats,
    /// Reports of workers that wait for this controller to own their part, or to read of their jobs, and when they
    /// came.
    at_door: Vec<(ConnectionId, Heartbeat, MonotonicMillis)>,
    /// Jobs that are being read by themselves because waiting reports list them, and when they were asked for; those
    /// that were not there.
    listed_asked: BTreeMap<JobId, MonotonicMillis>,
    listed_absent: BTreeSet<JobId>,
    hint_at: MonotonicMillis,
    pools_at: MonotonicMillis,
    started: MonotonicMillis,
    publishing: bool,
    format_migration: FormatMigration,
    storage_limits: StorageLimits,
    dependency_graph: DependencyGraph,
    /// The jobs' changes that the graph has seen, and when it was worked out.
    graph_of: u64,
    graph_at: MonotonicMillis,
    looked_up: MonotonicMillis,
    /// Up to when it is known what users were told, by the state service or by all others.
    watermark: CancellationWatermark,
    /// Set with the first input, which tells the time of day: lives differ by that.
    confirmation_rounds: ConfirmationRounds,
    /// Jobs that others have said to have confirmed as cancelled, and when they said so.
    attested: BTreeMap<JobId, MonotonicMillis>,
    /// Workers are not answered for want of knowledge.
    lets_go: bool,
}

impl Controller {
    pub fn new(settings: Settings, ops: OperatorSettings, now: MonotonicMillis) -> Controller {
        let storage_limits = storage_limits(RecordFormat::V1, false, &settings.deployment.state);
        let (rps, write_rps) = own_rates(&storage_limits, settings.deployment.nodes, 1);
        let kv = KvClient::new(rps, write_rps);
        let cloud = CloudClient::new(OWNER_CLOUD * settings.deployment.cloud.rps);
        let seed = settings
            .member
            .bytes()
            .fold(now.0, |a, b| a.wrapping_mul(31) + u64::from(b));
        let config = Config {
            me: Member::new(&settings.member),
            members: settings.members(),
            shard_count: settings.deployment.nodes,
            can: ops.can(),
            settings,
            ops,
        };
        let controller = Controller {
            config,
            effects: Effects::new(seed),
            kv,
            cloud,
            records: RecordCache::default(),
            types: BTreeMap::new(),
            leases: Leases::default(),
            list_watch: ListWatch::default(),
            shards: BTreeMap::new(),
            job_api: JobApi::begun(now),
            reservations: Reservations::default(),
            dag_runs: DagRuns::default(),
            drains: Drains::default(),
            drain_state: Draining::default(),
            draining_of: 0,
            draining_at: MonotonicMillis(0),
            guard: Guard::default(),
            autoscaler: None,
            gossip: Gossip::default(),
            heard_turns: RoundRobinNames::default(),
            missing_turns: RoundRobinNames::default(),
            reachability: Reachability::default(),
            connections: ConnectionStats::default(),
            at_door: Vec::new(),
            listed_asked: BTreeMap::new(),
            listed_absent: BTreeSet::new(),
            hint_at: MonotonicMillis(0),
            pools_at: MonotonicMillis(0),
            started: now,
            publishing: false,
            format_migration: FormatMigration::default(),
            storage_limits,
            dependency_graph: DependencyGraph::default(),
            graph_of: 0,
            graph_at: MonotonicMillis(0),
            looked_up: MonotonicMillis(0),
            watermark: CancellationWatermark::default(),
            confirmation_rounds: ConfirmationRounds::new(0),
            attested: BTreeMap::new(),
            lets_go: false,
        };
        controller.tell_of_room();
        controller
    }

    /// Handles one input at `now` and returns what is to be done about it.
    pub fn handle(
        &mut self,
        input: ControllerEvent,
        now: MonotonicMillis,
        wall_ms: u64,
    ) -> Vec<Effect> {
        self.effects.now = now;
        self.effects.wall_ms = wall_ms;
        if self.confirmation_rounds.incarnation() == 0 {
            self.confirmation_rounds = ConfirmationRounds::new(wall_ms.max(1));
        }
        match input {
            ControllerEvent::Request(conn, request) => self.request(conn, request),
            ControllerEvent::CallDone(id, result) => self.call_done(id, &result),
            ControllerEvent::PeerStatus(hint) => self.gossip.take(now, hint, &self.config),
            ControllerEvent::PeerMessage(proof) => self.proof(proof),
            ControllerEvent::ConnectionTable(stats) => self.connections = stats,
            ControllerEvent::Tick => self.tick(),
        }
        std::mem::take(&mut self.effects.outputs)
    }

    /// Runs `f` with one actor's environment.
    fn context(&mut self) -> Context<'_> {
        Context {
            effects: &mut self.effects,
            kv: &mut self.kv,
            cloud: &mut self.cloud,
            records: &mut self.records,
            config: &self.config,
            types: &self.types,
            storage_limits: &self.storage_limits,
            dependency_graph: &self.dependency_graph,
            guard: &self.guard,
            drains: &mut self.drain_state,
            began: self.started,
            absent: &self.listed_absent,
            watermark: self.watermark.at(),
            attested: &self.attested,
        }
    }

    fn state_silent_ms(&self) -> u64 {
        let last = self.kv.served.unwrap_or(self.started);
        self.effects.now.since(last)
    }

    fn outage(&self) -> bool {
        let unserved = self.gossip.unserved(self.effects.now, UNSERVED_MS);
        self.state_silent_ms() >= UNSERVED_MS && 2 * unserved > self.config.members.len()
    }

    fn with_job_api<T>(&mut self, f: impl FnOnce(&mut JobApi, &mut Context) -> T) -> T {
        let mut job_api = std::mem::take(&mut self.job_api);
        let result = f(&mut job_api, &mut self.context());
        self.job_api = job_api;
        result
    }

    fn with_reservations<T>(&mut self, f: impl FnOnce(&mut Reservations, &mut Context) -> T) -> T {
        let mut reservations = std::mem::take(&mut self.reservations);
        let result = f(&mut reservations, &mut self.context());
        self.reservations = reservations;
        result
    }

    fn with_drains<T>(&mut self, f: impl FnOnce(&mut Drains, &mut Context) -> T) -> T {
        let mut drains = std::mem::take(&mut self.drains);
        let result = f(&mut drains, &mut self.context());
        self.drains = drains;
        result
    }

    fn with_dag_runs<T>(&mut self, f: impl FnOnce(&mut DagRuns, &mut Context) -> T) -> T {
        let mut dag_runs = std::mem::take(&mut self.dag_runs);
        let result = f(&mut dag_runs, &mut self.context());
        self.dag_runs = dag_runs;
        result
    }

    fn with_shard(&mut self, shard_id: ShardId, f: impl FnOnce(&mut Shard, &mut Context)) {
        let Some(mut shard) = self.shards.remove(&shard_id) else {
            return;
        };
        f(&mut shard, &mut self.context());
        if shard.fenced {
            shard.redirect_deferred_requests(&mut self.context());
            if self.leases.fencing_token(shard_id) == Some(shard.fencing_token) {
                tracing::info!(shard = %shard_id, fencing_token = %shard.fencing_token, "shard released");
                let now = self.effects.now;
                self.leases.lose(Role::ShardLeader(shard_id), now);
            }
        } else {
            self.shards.insert(shard_id, shard);
        }
    }
}
