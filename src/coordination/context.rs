//! What an actor is lent while it handles a message.

use super::api::JobApiRequest;
use super::dag_runs::DagRunsRequest;
use super::dependencies::DependencyGraph;
use super::drains::Draining;
use super::leases::LeaseRequest;
use super::list_watch::ListWatchRequest;
use super::reservations::ReservationsRequest;
use super::shard::ShardRequest;
use crate::effects::{CallOutcome, Effects, Method, Target};
use crate::operator::OperatorSettings;
use crate::settings::Settings;
use crate::storage::kv_client::{KvClient, TokenBucket};
use crate::storage::record_cache::RecordCache;
use serde_json::Value;
use snowshelf_calendar::guard::Guard;
use snowshelf_model::ids::{
    CallId, FencingToken, JobId, MachineId, Member, MonotonicMillis, ShardId, WallClockMillis,
};
use snowshelf_model::protocol::cloud::{MachineType, release_body};
use snowshelf_model::records::{Capability, JobRecord, StorageLimits};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// A request to the key-value store: the actor that its response is for, and what that actor asked.
#[derive(Clone, Debug)]
pub enum KvRequest {
    Leases(LeaseRequest),
    ListWatch(ListWatchRequest),
    /// Of the shard's leader that holds this fencing token; a later leader ignores the response.
    Shard(ShardId, FencingToken, ShardRequest),
    JobApi(JobApiRequest),
    /// Reads the record of a job that jobs depend on, or that a heartbeat lists.
    JobLookup(JobId),
    Reservations(ReservationsRequest),
    DagRuns(DagRunsRequest),
    /// A request on drains or budgets, or a step of the leader's, by its number.
    Drains(u64),
    /// Declares what this controller, or every controller, can read and do.
    FormatMigration {
        key: String,
        value: Value,
    },
    /// Stores the machine types for all controllers.
    PublishMachineTypes(Vec<MachineType>),
}

/// What a controller may be elected to.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub enum Role {
    ShardLeader(ShardId),
    ClusterLeader,
}

/// Whom an answer of the cloud is for.
#[derive(Clone, Debug)]
pub enum CloudTag {
    Types,
    List,
    Rent(String),
    /// Machines returned by the owner of a part.
    ShardScaleIn(ShardId, FencingToken, Vec<MachineId>),
    LeaderScaleIn(Vec<MachineId>),
}

/// The client of the cloud: this controller's share of the common request rate.
pub struct CloudClient {
    bucket: TokenBucket,
    pending: HashMap<CallId, CloudTag>,
}

const CLOUD_CALL_MS: u64 = 4_000;

impl CloudClient {
    pub fn new(rps: f64) -> CloudClient {
        CloudClient {
            bucket: TokenBucket::with_burst(rps, 2.0 * rps),
            pending: HashMap::new(),
        }
    }
    pub fn may(&mut self, now: MonotonicMillis) -> bool {
        self.bucket.has_tokens(now, 1.0, 0.0)
    }
    pub fn call(
        &mut self,
        effects: &mut Effects,
        tag: CloudTag,
        method: Method,
        path: String,
        body: Vec<u8>,
    ) {
        self.bucket.consume(1.0);
        let id = effects.call(Target::Cloud, method, path, body, CLOUD_CALL_MS);
        self.pending.insert(id, tag);
    }
    pub fn release(&mut self, effects: &mut Effects, tag: CloudTag, machines: &[MachineId]) {
        let body = release_body(machines);
        self.call(effects, tag, Method::Post, "/hosts/release".into(), body);
    }
    pub fn done(&mut self, id: CallId, result: &CallOutcome) -> Option<CloudTag> {
        let tag = self.pending.remove(&id)?;
        if let CallOutcome::Response { status: 429, .. } = result {
            tracing::info!("cloud rate limit exceeded");
            self.bucket.consume(1.0);
        }
        Some(tag)
    }
}

/// Settings worked out once.
pub struct Config {
    pub settings: Settings,
    pub ops: OperatorSettings,
    pub me: Member,
    pub members: Vec<Member>,
    /// What this controller can do, as its operators have it.
    pub can: BTreeSet<Capability>,
    pub shard_count: u32,
}

impl Config {
    pub fn home(&self, shard_id: ShardId) -> &Member {
        // There are as many parts as members.
        &self.members[shard_id.0 as usize % self.members.len()]
    }
}

pub struct Context<'a> {
    pub effects: &'a mut Effects,
    pub kv: &'a mut KvClient<KvRequest>,
    pub cloud: &'a mut CloudClient,
    pub records: &'a mut RecordCache,
    pub config: &'a Config,
    pub types: &'a BTreeMap<String, MachineType>,
    pub storage_limits: &'a StorageLimits,
    pub dependency_graph: &'a DependencyGraph,
    pub guard: &'a Guard,
    pub drains: &'a mut Draining,
    /// When this process began.
    pub began: MonotonicMillis,
    /// Jobs that were read by themselves since, and were not there.
    pub absent: &'a BTreeSet<JobId>,
    /// Up to when it is known here what users were told.
    pub watermark: Option<MonotonicMillis>,
    /// Jobs that another controller has confirmed as cancelled, beside what the mirror knows.
    pub attested: &'a BTreeMap<JobId, MonotonicMillis>,
}

impl Context<'_> {
    pub fn now(&self) -> MonotonicMillis {
        self.effects.now
    }
    /// How long a job has waited for room, since nothing that it needs held it back any more.
    pub fn waited_ms(&self, id: &JobId, record: &JobRecord) -> u64 {
        let since = self.dependency_graph.since(id, record);
        self.effects.wall_ms.saturating_sub(since.0)
    }
    /// A job's record after a cancellation that is written now.
    pub fn cancelled(&self, record: &JobRecord) -> JobRecord {
        record.cancelled(
            WallClockMillis(self.effects.wall_ms),
            self.storage_limits.format,
        )
    }
    /// A job's value as it may be written now; `None` if it is too large.
    pub fn job_value(&self, record: &JobRecord) -> Option<Value> {
        let exists = |label: &str| self.types.contains_key(label);
        self.storage_limits.encode_job(record, exists)
    }
}
