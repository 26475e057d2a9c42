//! The shared state that an actor borrows while it handles a message.

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

/// A request to the key-value store, tagged with the actor that the response is routed to.
#[derive(Clone, Debug)]
pub enum KvRequest {
    /// A request of the leases.
    Leases(LeaseRequest),
    /// A request of the list-and-watch.
    ListWatch(ListWatchRequest),
    /// A request of the shard leader with this fencing token. A later leader of the shard ignores the response.
    Shard(ShardId, FencingToken, ShardRequest),
    /// A request of the job API.
    JobApi(JobApiRequest),
    /// Reads the record of one job, because another job depends on it or a heartbeat lists it.
    JobLookup(JobId),
    /// A request of the reservations.
    Reservations(ReservationsRequest),
    /// A request of the DAG runs.
    DagRuns(DagRunsRequest),
    /// A write of the drains actor, identified by its sequence number: a user's request or the leader's next step.
    Drains(u64),
    /// Declares the record format and capabilities of this controller, or those agreed on by all controllers.
    FormatMigration {
        /// The key written.
        key: String,
        /// Its new value.
        value: Value,
    },
    /// Publishes the machine types to all controllers.
    PublishMachineTypes(Vec<MachineType>),
}

/// The shared state that an actor borrows while it handles a message.
pub struct Context<'a> {
    /// Collects the effects of handling the message, and holds the current time.
    pub effects: &'a mut Effects,
    /// The client of the key-value store.
    pub kv: &'a mut KvClient<KvRequest>,
    /// The cloud client of the shard leaders.
    pub cloud: &'a mut CloudClient,
    /// The record cache.
    pub records: &'a mut RecordCache,
    /// This controller's configuration.
    pub config: &'a Config,
    /// The machine types by name; empty until they have been read.
    pub machine_types: &'a BTreeMap<String, MachineType>,
    /// The record format and the limits of the key-value store that are in force.
    pub storage_limits: &'a StorageLimits,
    /// The dependency graph, as of its last build.
    pub dependency_graph: &'a DependencyGraph,
    /// The reservations that placement and scaling must respect.
    pub calendar_constraints: &'a CalendarConstraints,
    /// The cordons and other drain state that placement and scaling must respect.
    pub drains: &'a mut DrainConstraints,
    /// When this process started.
    pub started_at: MonotonicMillis,
    /// Jobs for which a single lookup found no record.
    pub absent_jobs: &'a BTreeSet<JobId>,
    /// The cancellation watermark: every cancellation confirmed to a user before this time is known. `None` until the
    /// records have been read.
    pub watermark: Option<MonotonicMillis>,
    /// Jobs whose cancellation a peer has confirmed but the record cache may not show yet, with the time of the peer's
    /// answer.
    pub peer_confirmed: &'a BTreeMap<JobId, MonotonicMillis>,
}

impl Context<'_> {
    /// The time of the event being handled.
    #[must_use]
    pub fn now(&self) -> MonotonicMillis {
        self.effects.now
    }

    /// How long a job has waited for capacity since its submission or the end of its last dependency, in milliseconds.
    #[must_use]
    pub fn waited_ms(&self, id: &JobId, record: &JobRecord) -> u64 {
        let since = self.dependency_graph.ready_since(id, record);
        self.effects.wall_ms.saturating_sub(since.0)
    }

    /// The job's record after a cancellation at the current time.
    #[must_use]
    pub fn cancelled(&self, record: &JobRecord) -> JobRecord {
        record.cancelled(
            WallClockMillis(self.effects.wall_ms),
            self.storage_limits.format,
        )
    }

    /// Encodes a job's record in the format in force; `None` if it exceeds the size limit.
    #[must_use]
    pub fn job_value(&self, record: &JobRecord) -> Option<Value> {
        let exists = |label: &str| self.machine_types.contains_key(label);
        self.storage_limits.encode_job(record, exists)
    }
}
