//! How a change of a stored record is applied to the cache.

use super::record_key::RecordKey;
use super::{FinishedJob, RecordCache, VersionedRecord};
use crate::storage::kv_client::GetOutcome;
use serde::Deserialize;
use serde_json::Value;
use snowshelf_calendar::entry::Name;
use snowshelf_model::ids::{JobId, ShardId, Team, Version};
use snowshelf_model::records::{FORMAT_V2, FormatRecord, JobRecord, RecordFormat, RunId};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Which part of the cache a change has affected.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum RecordChange {
    /// A job, or its list of dependencies.
    Job(JobId),
    /// A shard's allocation of a job.
    ShardAllocation(ShardId, JobId),
    /// The owner of a shard.
    ShardOwner(ShardId),
    /// A team's quota.
    Quota(Team),
    /// The leader.
    Leader,
    /// The machine types.
    Types,
    /// What one controller, or all of them, can read.
    RecordFormat,
    /// A reservation.
    Reservation(Name),
    /// A maintenance window.
    Window(Name),
    /// The version of the calendar.
    Calendar,
    /// A drain.
    Drain,
    /// A team's ledger of disruptions.
    Ledger,
    /// A run of a graph, or its plan.
    Run(RunId),
    /// A graph, or its definition.
    Graph,
}

/// A key's state as of a version; without a value the key is deleted.
#[derive(Clone, Copy)]
struct KeyState<'a> {
    key: &'a str,
    value: Option<&'a Value>,
    version: Version,
}

impl KeyState<'_> {
    /// The value, if there is a readable one.
    fn parse<T: for<'a> Deserialize<'a>>(self) -> Option<T> {
        match T::deserialize(self.value?) {
            Ok(parsed) => Some(parsed),
            Err(error) => {
                tracing::error!(key = self.key, %error, "stored record unreadable");
                None
            }
        }
    }

    fn parse_shared<T: for<'a> Deserialize<'a>>(self) -> Option<Rc<T>> {
        self.parse().map(Rc::new)
    }

    fn parse_versioned<T: for<'a> Deserialize<'a>>(self) -> Option<VersionedRecord<T>> {
        self.parse_shared().map(|value| VersionedRecord {
            version: self.version,
            value,
        })
    }
}

/// Inserts a value, or removes it where there is none.
fn set<K: Ord, V>(map: &mut BTreeMap<K, V>, key: K, value: Option<V>) {
    match value {
        Some(value) => map.insert(key, value),
        None => map.remove(&key),
    };
}

impl RecordCache {
    /// Applies one key's state (`None`: deleted) as of `version`, unless a newer one is known.
    pub fn apply(
        &mut self,
        key: &str,
        value: Option<&Value>,
        version: Version,
    ) -> Option<RecordChange> {
        if !self.guards.advance(key, version) {
            return None;
        }
        let state = KeyState {
            key,
            value,
            version,
        };
        let change = self.store(state);
        // Finished jobs are many; their keys need no guard, as they never change again. During a
        // startup read a page sent before the end may still bring the job as it was.
        if let Some(RecordChange::Job(job)) = &change
            && !self.startup_read
            && !self.jobs.contains_key(job)
        {
            self.guards.remove(key);
        }
        change
    }

    /// Applies a key that a startup read has listed. A finished job's guard is dropped even then, or
    /// the guards of all jobs that ever were would be in memory at once.
    pub fn apply_listed(
        &mut self,
        key: &str,
        value: &Value,
        version: Version,
    ) -> Option<RecordChange> {
        let change = self.apply(key, Some(value), version);
        if let Some(RecordChange::Job(job)) = &change
            && !self.jobs.contains_key(job)
        {
            self.guards.remove(key);
        }
        change
    }

    /// Applies that a list as of `revision` did not contain the key.
    pub fn apply_absence(&mut self, key: &str, revision: Version) -> Option<RecordChange> {
        // A key with a later guard has been created since.
        if self.guards.get(key).is_some_and(|seen| seen > revision) {
            return None;
        }
        self.guards.set(key, revision);
        self.store(KeyState {
            key,
            value: None,
            version: revision,
        })
    }

    /// Applies the outcome of reading a single key.
    pub fn apply_get(&mut self, key: &str, outcome: &GetOutcome) {
        match outcome {
            GetOutcome::Found(item) => self.apply(key, Some(&item.value), item.version),
            GetOutcome::NotFound(revision) => self.apply(key, None, *revision),
            GetOutcome::Failed => None,
        };
    }

    #[allow(
        clippy::too_many_lines,
        reason = "a table: one arm for each kind of record"
    )]
    fn store(&mut self, state: KeyState<'_>) -> Option<RecordChange> {
        Some(match state.key.parse().ok()? {
            RecordKey::Job(job) => self.store_job(job, state),
            RecordKey::DependencyChunk(job, chunk) => self.store_dependencies(job, chunk, state),
            RecordKey::Allocation(shard_id, job) => {
                let key = (shard_id, job.clone());
                set(&mut self.allocations, key, state.parse_versioned());
                RecordChange::ShardAllocation(shard_id, job)
            }
            RecordKey::ShardOwner(shard_id) => {
                set(&mut self.shard_owners, shard_id, state.parse_versioned());
                RecordChange::ShardOwner(shard_id)
            }
            RecordKey::Quota(team) => {
                set(&mut self.quotas, team.clone(), state.parse_versioned());
                RecordChange::Quota(team)
            }
            RecordKey::Member(member) => {
                set(&mut self.members, member, state.parse_versioned());
                RecordChange::RecordFormat
            }
            RecordKey::Reservation(name) => {
                set(
                    &mut self.reservations,
                    name.clone(),
                    state.parse_versioned(),
                );
                RecordChange::Reservation(name)
            }
            RecordKey::Window(name) => {
                set(&mut self.windows, name.clone(), state.parse_versioned());
                RecordChange::Window(name)
            }
            RecordKey::Drain(name) => {
                set(&mut self.drains, name, state.parse_versioned());
                self.drain_changes += 1;
                RecordChange::Drain
            }
            RecordKey::Ledger(team) => {
                set(&mut self.ledgers, team, state.parse_versioned());
                RecordChange::Ledger
            }
            RecordKey::Run(run) => {
                set(&mut self.runs, run.clone(), state.parse_versioned());
                RecordChange::Run(run)
            }
            RecordKey::PlanChunk(key) => {
                let run = key.owner.clone();
                set(&mut self.plan_chunks, key, state.parse_shared());
                RecordChange::Run(run)
            }
            RecordKey::Graph(name) => {
                set(&mut self.graphs, name, state.parse_versioned());
                RecordChange::Graph
            }
            RecordKey::DefinitionChunk(key) => {
                set(&mut self.definition_chunks, key, state.parse_shared());
                RecordChange::Graph
            }
            RecordKey::Calendar => {
                self.calendar_version = state.version;
                RecordChange::Calendar
            }
            RecordKey::Format => self.store_format(state),
            RecordKey::Leader => {
                self.leader = state.parse_versioned();
                RecordChange::Leader
            }
            RecordKey::MachineTypes => {
                self.machine_types = state.parse_versioned();
                RecordChange::Types
            }
        })
    }

    fn store_job(&mut self, job: JobId, state: KeyState<'_>) -> RecordChange {
        self.job_changes += 1;
        match state.parse::<JobRecord>() {
            // A startup read may bring the end of a job before the watch brings its beginning.
            Some(record) if !record.is_final() && self.finished.contains(&job) => {}
            Some(record) => {
                if record.is_final() {
                    self.dependencies
                        .retain(|(dependent, _), _| *dependent != job);
                    self.finished.insert(&job, FinishedJob::from(&record));
                }
                if record.is_final() && record.shards.is_empty() {
                    self.jobs.remove(&job);
                } else {
                    let record = VersionedRecord {
                        version: state.version,
                        value: Rc::new(record),
                    };
                    self.jobs.insert(job.clone(), record);
                }
            }
            None => {
                self.jobs.remove(&job);
            }
        }
        RecordChange::Job(job)
    }

    fn store_dependencies(&mut self, job: JobId, chunk: u32, state: KeyState<'_>) -> RecordChange {
        if !self.finished.contains(&job)
            && let Some(list) = state.parse_shared()
        {
            self.dependencies.insert((job.clone(), chunk), list);
            self.job_changes += 1;
        }
        RecordChange::Job(job)
    }

    fn store_format(&mut self, state: KeyState<'_>) -> RecordChange {
        // Never reset: an earlier version cannot read what has been written since.
        if let Some(record) = state.parse_versioned::<FormatRecord>() {
            if record.value.format >= FORMAT_V2 {
                self.format = RecordFormat::V2;
            }
            self.agreed_format = Some(record);
        }
        RecordChange::RecordFormat
    }
}
