//! A cache of the records in the key-value store, kept current by a startup read, the watch and the
//! controller's own writes.
//!
//! The cache may lag behind the store. Whoever decides by it makes the write conditional on the version
//! that was cached.

mod apply;
mod finished_jobs;
mod record_key;
mod startup;
mod version_guards;

pub use apply::RecordChange;
pub use finished_jobs::FinishedJob;
pub use record_key::{
    ChunkKey, RecordKey, TYPES_KEY, UnknownKey, drain_key, ledger_key, reservation_key, window_key,
};

use finished_jobs::FinishedJobs;
use snowshelf_calendar::entry::{Name, Reservation, Window};
use snowshelf_drain::budget::Ledger;
use snowshelf_drain::entry::Drain;
use snowshelf_model::ids::{JobId, Member, ShardId, Team, Version};
use snowshelf_model::protocol::cloud::MachineType;
use snowshelf_model::records::{
    Capability, FormatRecord, GraphRecord, JobRecord, LeaseHolder, QuotaRecord, RecordFormat,
    RunId, RunRecord, RunState, ShardAllocation,
};
use std::collections::BTreeMap;
use std::rc::Rc;
use version_guards::VersionGuards;

/// Guards of deleted keys are pruned once there are about this many.
const PRUNE_GUARDS_AT: usize = 500;

/// A record and the version of its key.
#[derive(Clone, Debug)]
pub struct VersionedRecord<T> {
    /// The version at which the record was written.
    pub version: Version,
    /// The record.
    pub value: Rc<T>,
}

/// How many of a job's tasks are where.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct TaskCounts {
    /// Tasks that are done.
    pub finished: u32,
    /// Tasks that have been started and not ended.
    pub running: u32,
}

/// The cached records.
#[derive(Default)]
pub struct RecordCache {
    /// Jobs that have not ended, or have allocations left.
    pub jobs: BTreeMap<JobId, VersionedRecord<JobRecord>>,
    /// The shards' allocations of jobs.
    pub allocations: BTreeMap<(ShardId, JobId), VersionedRecord<ShardAllocation>>,
    /// The owner of each shard.
    pub shard_owners: BTreeMap<ShardId, VersionedRecord<LeaseHolder>>,
    /// The teams' quotas.
    pub quotas: BTreeMap<Team, VersionedRecord<QuotaRecord>>,
    /// The leader.
    pub leader: Option<VersionedRecord<LeaseHolder>>,
    /// The machine types, as the leader last published them.
    pub machine_types: Option<VersionedRecord<Vec<MachineType>>>,
    /// Chunks of the dependencies of jobs that have not ended, where the job's own record cannot hold them.
    pub dependencies: BTreeMap<(JobId, u32), Rc<Vec<JobId>>>,
    /// The record format and capabilities that each controller has declared.
    pub members: BTreeMap<Member, VersionedRecord<FormatRecord>>,
    /// The record format and capabilities that all controllers have.
    pub agreed_format: Option<VersionedRecord<FormatRecord>>,
    /// The format in which records are to be written.
    pub format: RecordFormat,
    /// Reservations.
    pub reservations: BTreeMap<Name, VersionedRecord<Reservation>>,
    /// Maintenance windows.
    pub windows: BTreeMap<Name, VersionedRecord<Window>>,
    /// The version at which any reservation or window last changed.
    pub calendar_version: Version,
    /// Drains.
    pub drains: BTreeMap<Name, VersionedRecord<Drain>>,
    /// The teams' ledgers of disruptions.
    pub ledgers: BTreeMap<Team, VersionedRecord<Ledger>>,
    /// Runs of graphs.
    pub runs: BTreeMap<RunId, VersionedRecord<RunRecord>>,
    /// Chunks of the plans of open runs.
    pub plan_chunks: BTreeMap<ChunkKey<RunId>, Rc<String>>,
    /// Stored graphs.
    pub graphs: BTreeMap<String, VersionedRecord<GraphRecord>>,
    /// Chunks of the definitions of stored graphs.
    pub definition_chunks: BTreeMap<ChunkKey<String>, Rc<String>>,
    /// Counts the changes of jobs' records.
    pub job_changes: u64,
    /// Counts the changes of drains' records.
    pub drain_changes: u64,
    finished: FinishedJobs,
    guards: VersionGuards,
    /// The newest version of an allocation that was read by itself, ahead of the watch: other keys that
    /// were written together with it may not be cached yet.
    pub newest_single_read: Version,
    /// Every change up to this revision has been applied.
    pub revision: Version,
    /// Whether all shard owners have been read.
    pub shard_owners_read: bool,
    /// Whether everything but jobs has been read: allocations, quotas, the format, machine types.
    pub allocations_read: bool,
    /// Whether everything that is open has been read.
    pub loaded: bool,
    /// Whether a startup read is underway.
    startup_read: bool,
}

impl RecordCache {
    /// What is remembered of a job, if it has ended.
    #[must_use]
    pub fn finished_job(&self, job: &JobId) -> Option<FinishedJob> {
        self.finished.get(job)
    }

    /// Whether a job is cached, open or finished.
    #[must_use]
    pub fn contains_job(&self, job: &JobId) -> bool {
        self.finished.contains(job) || self.jobs.contains_key(job)
    }

    /// Whether all controllers have declared a capability. Once they have, it stays so.
    #[must_use]
    pub fn all_support(&self, capability: &Capability) -> bool {
        let agreed = self.agreed_format.as_ref();
        agreed.is_some_and(|record| record.value.can.contains(capability))
    }

    /// A job's dependencies; `None` if a chunk of the list is not cached.
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

    /// Whether any run of a graph is open, so that it must be known which jobs have ended.
    #[must_use]
    pub fn has_open_runs(&self) -> bool {
        let mut runs = self.runs.values();
        runs.any(|record| record.value.state == RunState::Open)
    }

    /// Drops the guards of deleted keys that the watch has passed, once there are many.
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

    /// A shard's allocations, ordered by job.
    pub fn shard_allocations(
        &self,
        shard_id: ShardId,
    ) -> impl Iterator<Item = (&JobId, &VersionedRecord<ShardAllocation>)> + '_ {
        self.allocations
            .range((shard_id, JobId::new(""))..)
            .take_while(move |((owner, _), _)| *owner == shard_id)
            .map(|((_, job), record)| (job, record))
    }

    /// Counts the finished and running tasks of a job of `tasks` tasks with allocations in `shards`.
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
