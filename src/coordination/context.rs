//! What an actor may use while it handles a message.

use super::api::JobApiRequest;
use super::cloud_client::CloudClient;
use super::config::Config;
use super::dag_runs::DagRunsRequest;
use super::dependencies::DependencyGraph;
use super::drains::DrainConstraints;
use super::leases::LeaseRequest;
use super::list_watch::ListWatchRequest;
use super::reservations::ReservationsRequest;
use super::shard::ShardRequest;
use crate::effects::Effects;
use crate::storage::kv_client::KvClient;
use crate::storage::record_cache::RecordCache;
use serde_json::Value;
use snowshelf_calendar::constraints::CalendarConstraints;
use snowshelf_model::ids::{FencingToken, JobId, MonotonicMillis, ShardId, WallClockMillis};
use snowshelf_model::protocol::cloud::MachineType;
use snowshelf_model::records::{JobRecord, StorageLimits};
use std::collections::{BTreeMap, BTreeSet};

/// A request to the key-value store: the actor that its response is for, and what that actor asked.
#[derive(Clone, Debug)]
pub enum KvRequest {
    /// Of the leases.
    Leases(LeaseRequest),
    /// Of the list and watch of records.
    ListWatch(ListWatchRequest),
    /// Of the shard's leader that holds this fencing token; a later leader ignores the response.
    Shard(ShardId, FencingToken, ShardRequest),
    /// Of the job API.
    JobApi(JobApiRequest),
    /// Reads the record of a job that jobs depend on, or that a heartbeat lists.
    JobLookup(JobId),
    /// Of the reservations.
    Reservations(ReservationsRequest),
    /// Of the runs of graphs.
    DagRuns(DagRunsRequest),
    /// A request on drains or budgets, or a step of the leader's, by its number.
    Drains(u64),
    /// Declares what this controller, or every controller, can read and do.
    FormatMigration {
        /// The key that is written.
        key: String,
        /// Its new value.
        value: Value,
    },
    /// Stores the machine types for all controllers.
    PublishMachineTypes(Vec<MachineType>),
}

/// What an actor may use while it handles a message.
pub struct Context<'a> {
    /// Collects what the controller sends, and tells the time.
    pub effects: &'a mut Effects,
    /// The client of the key-value store.
    pub kv: &'a mut KvClient<KvRequest>,
    /// The cloud client of the shards' leaders.
    pub cloud: &'a mut CloudClient,
    /// The cached records of the key-value store.
    pub records: &'a mut RecordCache,
    /// The settings.
    pub config: &'a Config,
    /// The machine types, by name; empty until they are known.
    pub types: &'a BTreeMap<String, MachineType>,
    /// What may be written to the key-value store now.
    pub storage_limits: &'a StorageLimits,
    /// Which jobs are ready, as of the last computation.
    pub dependency_graph: &'a DependencyGraph,
    /// What placement and scaling must respect of the reservations.
    pub calendar_constraints: &'a CalendarConstraints,
    /// What placement and scaling must respect of the drains.
    pub drains: &'a mut DrainConstraints,
    /// When this process started.
    pub started_at: MonotonicMillis,
    /// Jobs without a record when they were looked up one by one.
    pub absent_jobs: &'a BTreeSet<JobId>,
    /// The cancellation watermark: every cancellation that was confirmed to a user before then is known.
    pub watermark: Option<MonotonicMillis>,
    /// Jobs whose cancellation a peer has confirmed and the record cache may not have yet, and when it said so.
    pub peer_confirmed: &'a BTreeMap<JobId, MonotonicMillis>,
}

impl Context<'_> {
    /// The time of the input that is handled.
    #[must_use]
    pub fn now(&self) -> MonotonicMillis {
        self.effects.now
    }

    /// For how long a job has waited for capacity since its last dependency ended.
    #[must_use]
    pub fn waited_ms(&self, id: &JobId, record: &JobRecord) -> u64 {
        let since = self.dependency_graph.ready_since(id, record);
        self.effects.wall_ms.saturating_sub(since.0)
    }

    /// A job's record after a cancellation that is written now.
    #[must_use]
    pub fn cancelled(&self, record: &JobRecord) -> JobRecord {
        record.cancelled(
            WallClockMillis(self.effects.wall_ms),
            self.storage_limits.format,
        )
    }

    /// A job's value as it may be written now; `None` if it is too large.
    #[must_use]
    pub fn job_value(&self, record: &JobRecord) -> Option<Value> {
        let exists = |label: &str| self.types.contains_key(label);
        self.storage_limits.encode_job(record, exists)
    }
}
