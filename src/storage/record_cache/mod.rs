//! A cache of the records in the key-value store, kept current by a startup read, the watch and the
//! controller's own writes.
//!
//! The cache may lag behind the store. Writes that depend on cached records must therefore be conditional on
//! the cached versions.

mod apply;
mod finished_jobs;
mod record_key;
mod startup;
mod version_guards;

pub use apply::RecordChange;
pub use finished_jobs::FinishedJob;
pub use record_key::{
    ChunkKey, MACHINE_TYPES_KEY, RecordKey, UnknownKey, drain_key, ledger_key, reservation_key,
    window_key,
};

use finished_jobs::FinishedJobs;
use snowshelf_calendar::entry::{Name, Reservation, Window};
use snowshelf_drain::budget::Ledger;
use snowshelf_drain::entry::Drain;
use snowshelf_model::ids::{JobId, Member, ShardId, Team, Version};
use snowshelf_model::protocol::cloud::MachineType;
use snowshelf_model::records::{
    Capability, DagRecord, FormatRecord, JobRecord, LeaseHolder, QuotaRecord, RecordFormat, RunId,
    RunRecord, RunState, ShardAllocation,
};
use std::collections::BTreeMap;
use std::rc::Rc;
use version_guards::VersionGuards;

/// Number of guards, beyond twice the number of live jobs and allocations, from which those of deleted keys are
/// pruned.
const PRUNE_GUARDS_AT: usize = 500;

/// A record with its version.
#[derive(Clone, Debug)]
pub struct VersionedRecord<T> {
    /// The version at which the record was written.
    pub version: Version,
    /// The record itself, shared with its users.
    pub value: Rc<T>,
}

/// Numbers of a job's tasks by state.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct TaskCounts {
    /// Tasks that have finished.
    pub finished: u32,
    /// Tasks that have been started and have not ended.
    pub running: u32,
}

/// The cache of all records that this controller needs.
#[derive(Default)]
pub struct RecordCache {
    /// Jobs that have not ended or still have allocations.
    pub jobs: BTreeMap<JobId, VersionedRecord<JobRecord>>,
    /// The shards' allocations of jobs.
    pub allocations: BTreeMap<(ShardId, JobId), VersionedRecord<ShardAllocation>>,
    /// The holder of each shard's leader role; a shard without a cached record is absent.
    pub shard_leaders: BTreeMap<ShardId, VersionedRecord<LeaseHolder>>,
    /// Each team's quota.
    pub quotas: BTreeMap<Team, VersionedRecord<QuotaRecord>>,
    /// The leader; `None` if no controller holds the role or its record is not cached.
    pub leader: Option<VersionedRecord<LeaseHolder>>,
    /// The machine types, as the leader last published them.
    pub machine_types: Option<VersionedRecord<Vec<MachineType>>>,
    /// Chunks of lists of dependencies that do not fit into their jobs' records, of jobs that have not ended.
    pub dependencies: BTreeMap<(JobId, u32), Rc<Vec<JobId>>>,
    /// The record format and capabilities that each controller has declared.
    pub members: BTreeMap<Member, VersionedRecord<FormatRecord>>,
    /// The record format and capabilities that all controllers have.
    pub agreed_format: Option<VersionedRecord<FormatRecord>>,
    /// The format in which records are to be written.
    pub format: RecordFormat,
    /// Reservations by name.
    pub reservations: BTreeMap<Name, VersionedRecord<Reservation>>,
    /// Maintenance windows by name.
    pub windows: BTreeMap<Name, VersionedRecord<Window>>,
    /// The version at which a reservation or maintenance window last changed.
    pub calendar_version: Version,
    /// Drains by name.
    pub drains: BTreeMap<Name, VersionedRecord<Drain>>,
    /// Each team's ledger of disruptions.
    pub ledgers: BTreeMap<Team, VersionedRecord<Ledger>>,
    /// Runs of graphs.
    pub runs: BTreeMap<RunId, VersionedRecord<RunRecord>>,
    /// Chunks of the plans of open runs.
    pub plan_chunks: BTreeMap<ChunkKey<RunId>, Rc<String>>,
    /// Stored graphs by name.
    pub graphs: BTreeMap<String, VersionedRecord<DagRecord>>,
    /// Chunks of the definitions of stored graphs.
    pub definition_chunks: BTreeMap<ChunkKey<String>, Rc<String>>,
    /// Number of changes of jobs' records and dependencies so far.
    pub job_changes: u64,
    /// Number of changes of drains' records so far.
    pub drain_changes: u64,
    finished: FinishedJobs,
    guards: VersionGuards,
    /// The newest version of an allocation that was read individually, possibly ahead of the watch. Other keys
    /// of the same write may not be cached yet.
    pub newest_single_read: Version,
    /// The revision up to which every change has been applied.
    pub revision: Version,
    /// Whether the leaders of all shards have been read.
    pub shard_leaders_read: bool,
    /// Whether all records but those of jobs have been read, such as allocations, quotas and machine types.
    pub allocations_read: bool,
    /// Whether the startup read has read all records but those of finished jobs.
    pub loaded: bool,
    /// Whether a startup read is in progress.
    startup_read: bool,
}

impl RecordCache {
    /// A job that has ended; `None` if it has not, or is no longer retained.
    #[must_use]
    pub fn finished_job(&self, job: &JobId) -> Option<FinishedJob> {
        self.finished.get(job)
    }

    /// Whether an open or finished job is cached.
    #[must_use]
    pub fn contains_job(&self, job: &JobId) -> bool {
        self.finished.contains(job) || self.jobs.contains_key(job)
    }

    /// Whether all controllers have declared a capability. This is never revoked.
    #[must_use]
    pub fn all_support(&self, capability: &Capability) -> bool {
        let agreed = self.agreed_format.as_ref();
        agreed.is_some_and(|record| record.value.capabilities.contains(capability))
    }

    /// A job's dependencies; `None` if a chunk of their list is not cached.
    #[must_use]
    pub fn dependencies_of<'a>(
        &'a self,
        job: &JobId,
        record: &'a JobRecord,
    ) -> Option<Vec<&'a JobId>> {
        let mut dependencies: Vec<&JobId> = record.dependencies.iter().collect();
        for chunk in 0..record.dependency_chunks {
            dependencies.extend(self.dependencies.get(&(job.clone(), chunk))?.iter());
        }
        Some(dependencies)
    }

    /// The version at which a key was last seen to change or to be deleted; 0 if its guard has been
    /// pruned.
    #[must_use]
    pub fn version_of(&self, key: &str) -> Version {
        self.guards.get(key).unwrap_or_default()
    }

    /// Whether any run of a graph is open. If so, it must be known which jobs have ended.
    #[must_use]
    pub fn has_open_runs(&self) -> bool {
        let mut runs = self.runs.values();
        runs.any(|record| record.value.state == RunState::Open)
    }

    /// Removes the guards of deleted keys up to the cache's revision, once there are many guards.
    pub fn prune_version_guards(&mut self) {
        let live = self.jobs.len() + self.allocations.len();
        if self.guards.len() < 2 * live + PRUNE_GUARDS_AT {
            return;
        }
        let (jobs, allocations) = (&self.jobs, &self.allocations);
        self.guards.prune(self.revision, |key| match key.parse() {
            Ok(RecordKey::Allocation(shard_id, job)) => allocations.contains_key(&(shard_id, job)),
            Ok(RecordKey::Job(job)) => jobs.contains_key(&job),
            Ok(_) | Err(UnknownKey) => true,
        });
    }

    /// A shard's allocations in the order of job ids.
    pub fn shard_allocations(
        &self,
        shard_id: ShardId,
    ) -> impl Iterator<Item = (&JobId, &VersionedRecord<ShardAllocation>)> + '_ {
        self.allocations
            .range((shard_id, JobId::new(""))..)
            .take_while(move |((id, _), _)| *id == shard_id)
            .map(|((_, job), record)| (job, record))
    }

    /// Counts the finished and running tasks of a job that has `tasks` tasks and allocations in `shards`.
    #[must_use]
    pub fn task_counts(&self, job: &JobId, shards: &[ShardId], tasks: u32) -> TaskCounts {
        let mut open = 0;
        let mut running = 0;
        for shard_id in shards {
            if let Some(allocation) = self.allocations.get(&(*shard_id, job.clone())) {
                let started = allocation.value.started_count();
                running += started;
                open += started + allocation.value.waiting.len();
            }
        }
        TaskCounts {
            finished: tasks.saturating_sub(open),
            running,
        }
    }
}
