//! State shared by the actors of a controller. All other state is owned by a single actor.

use super::dependency_tracker::DependencyTracker;
use super::drains::DrainTracker;
use super::job_lookups::JobLookups;
use super::machine_types::MachineTypes;
use super::watermark::CancellationTracker;
use crate::coordination::cloud_client::CloudClient;
use crate::coordination::config::Config;
use crate::coordination::context::{Context, KvRequest};
use crate::coordination::storage_budget::{RequestRates, storage_limits};
use crate::effects::Effects;
use crate::storage::kv_client::KvClient;
use crate::storage::record_cache::RecordCache;
use snowshelf_calendar::constraints::CalendarConstraints;
use snowshelf_model::ids::MonotonicMillis;
use snowshelf_model::records::{RecordFormat, StorageLimits};

/// The key-value store counts as unavailable to this controller after this time without serving it.
pub(super) const KV_OUTAGE_MS: u64 = 1_500;
/// Fraction of the cloud's request rate that each controller's shard leaders use; the cluster leader uses the rest.
pub(super) const SHARD_LEADER_CLOUD_FRACTION: f64 = 0.12;

/// State shared by the actors of a controller. An actor borrows it as a [`Context`] while it handles a message.
pub(super) struct Environment {
    pub(super) effects: Effects,
    pub(super) kv: KvClient<KvRequest>,
    /// The cloud client of the shard leaders.
    pub(super) cloud: CloudClient,
    pub(super) records: RecordCache,
    pub(super) config: Config,
    pub(super) machine_types: MachineTypes,
    pub(super) storage_limits: StorageLimits,
    pub(super) dependencies: DependencyTracker,
    /// The reservations that placement and scaling must respect.
    pub(super) calendar_constraints: CalendarConstraints,
    pub(super) drains: DrainTracker,
    pub(super) job_lookups: JobLookups,
    pub(super) cancellations: CancellationTracker,
    pub(super) started_at: MonotonicMillis,
}

impl Environment {
    pub(super) fn new(config: Config, now: MonotonicMillis) -> Environment {
        let deployment = &config.settings.deployment;
        let storage_limits = storage_limits(RecordFormat::V1, false, &deployment.state);
        let rates = RequestRates::of_controller(&storage_limits, config.shard_count, 1);
        let cloud_rps = SHARD_LEADER_CLOUD_FRACTION * deployment.cloud.rps;
        let name = config.settings.member.bytes();
        let seed = name.fold(now.0, |a, b| a.wrapping_mul(31) + u64::from(b));
        Environment {
            effects: Effects::new(seed),
            kv: KvClient::new(rates.requests_per_s, rates.writes_per_s),
            cloud: CloudClient::new(cloud_rps),
            records: RecordCache::default(),
            config,
            machine_types: MachineTypes::default(),
            storage_limits,
            dependencies: DependencyTracker::default(),
            calendar_constraints: CalendarConstraints::default(),
            drains: DrainTracker::default(),
            job_lookups: JobLookups::default(),
            cancellations: CancellationTracker::default(),
            started_at: now,
        }
    }

    /// Borrows the shared state for an actor that handles a message.
    pub(super) fn context(&mut self) -> Context<'_> {
        Context {
            effects: &mut self.effects,
            kv: &mut self.kv,
            cloud: &mut self.cloud,
            records: &mut self.records,
            config: &self.config,
            machine_types: self.machine_types.by_name(),
            storage_limits: &self.storage_limits,
            dependency_graph: self.dependencies.graph(),
            calendar_constraints: &self.calendar_constraints,
            drains: self.drains.constraints_mut(),
            started_at: self.started_at,
            absent_jobs: self.job_lookups.absent(),
            watermark: self.cancellations.watermark().at(),
            peer_confirmed: self.cancellations.peer_confirmed(),
        }
    }

    pub(super) fn now(&self) -> MonotonicMillis {
        self.effects.now
    }

    /// Milliseconds since the key-value store last served this controller.
    pub(super) fn kv_outage_ms(&self) -> u64 {
        let last_served = self.kv.last_served_at.unwrap_or(self.started_at);
        self.now().since(last_served)
    }

    /// Whether the key-value store has served this controller recently.
    pub(super) fn is_kv_available(&self) -> bool {
        self.kv_outage_ms() < KV_OUTAGE_MS
    }
}
