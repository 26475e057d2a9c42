//! Applies changes of stored records to the cache.

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

/// The part of the cache that a change has affected.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum RecordChange {
    /// A job or its list of dependencies.
    Job(JobId),
    /// A shard's allocation of a job.
    ShardAllocation(ShardId, JobId),
    /// The leader of a shard.
    ShardLeader(ShardId),
    /// A team's quota.
    Quota(Team),
    /// The leader.
    Leader,
    /// The machine types.
    MachineTypes,
    /// The record format and capabilities of one controller or of all.
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
    /// A run of a graph or its plan.
    Run(RunId),
    /// A graph or its definition.
    Graph,
}

/// The state of a key as of a version. A key without a value is deleted.
#[derive(Clone, Copy)]
struct KeyState<'a> {
    key: &'a str,
    value: Option<&'a Value>,
    version: Version,
}

impl KeyState<'_> {
    /// Deserializes the value; `None` if the key is deleted or its value is unreadable.
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

/// Inserts a value, or removes the key if `value` is `None`.
fn insert_or_remove<K: Ord, V>(map: &mut BTreeMap<K, V>, key: K, value: Option<V>) {
    match value {
        Some(value) => map.insert(key, value),
        None => map.remove(&key),
    };
}

impl RecordCache {
    /// Applies the state of one key as of `version`, unless that version or a later one has been applied. A
    /// deleted key has no value. Returns the affected part of the cache.
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
        // The many finished jobs need no guards, as their records never change again. During a startup read
        // the guard stays: a page created before the end of a job may still contain its earlier state.
        // `apply_listed` removes it for the jobs that the read itself finds finished.
        if let Some(RecordChange::Job(job)) = &change
            && !self.startup_read
            && !self.jobs.contains_key(job)
        {
            self.guards.remove(key);
        }
        change
    }

    /// Applies a key that a startup read has found, in a page or among the recent changes. Unlike
    /// [`RecordCache::apply`], removes the guard of a finished job even during the read; otherwise the guards
    /// of all jobs ever submitted would be in memory at once.
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

    /// Applies the absence of a key from a list as of `revision`.
    pub fn apply_absence(&mut self, key: &str, revision: Version) -> Option<RecordChange> {
        // A key with a later guard has changed since.
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

    #[allow(clippy::too_many_lines, reason = "one arm for each kind of record")]
    fn store(&mut self, state: KeyState<'_>) -> Option<RecordChange> {
        Some(match state.key.parse().ok()? {
            RecordKey::Job(job) => self.store_job(job, state),
            RecordKey::DependencyChunk(job, chunk) => self.store_dependencies(job, chunk, state),
            RecordKey::Allocation(shard_id, job) => {
                let key = (shard_id, job.clone());
                insert_or_remove(&mut self.allocations, key, state.parse_versioned());
                RecordChange::ShardAllocation(shard_id, job)
            }
            RecordKey::ShardLeader(shard_id) => {
                insert_or_remove(&mut self.shard_leaders, shard_id, state.parse_versioned());
                RecordChange::ShardLeader(shard_id)
            }
            RecordKey::Quota(team) => {
                insert_or_remove(&mut self.quotas, team.clone(), state.parse_versioned());
                RecordChange::Quota(team)
            }
            RecordKey::Member(member) => {
                insert_or_remove(&mut self.members, member, state.parse_versioned());
                RecordChange::RecordFormat
            }
            RecordKey::Reservation(name) => {
                insert_or_remove(
                    &mut self.reservations,
                    name.clone(),
                    state.parse_versioned(),
                );
                RecordChange::Reservation(name)
            }
            RecordKey::Window(name) => {
                insert_or_remove(&mut self.windows, name.clone(), state.parse_versioned());
                RecordChange::Window(name)
            }
            RecordKey::Drain(name) => {
                insert_or_remove(&mut self.drains, name, state.parse_versioned());
                self.drain_changes += 1;
                RecordChange::Drain
            }
            RecordKey::Ledger(team) => {
                insert_or_remove(&mut self.ledgers, team, state.parse_versioned());
                RecordChange::Ledger
            }
            RecordKey::Run(run) => {
                insert_or_remove(&mut self.runs, run.clone(), state.parse_versioned());
                RecordChange::Run(run)
            }
            RecordKey::PlanChunk(key) => {
                let run = key.owner.clone();
                insert_or_remove(&mut self.plan_chunks, key, state.parse_shared());
                RecordChange::Run(run)
            }
            RecordKey::Graph(name) => {
                insert_or_remove(&mut self.graphs, name, state.parse_versioned());
                RecordChange::Graph
            }
            RecordKey::DefinitionChunk(key) => {
                insert_or_remove(&mut self.definition_chunks, key, state.parse_shared());
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
                RecordChange::MachineTypes
            }
        })
    }

    fn store_job(&mut self, job: JobId, state: KeyState<'_>) -> RecordChange {
        self.job_changes += 1;
        match state.parse::<JobRecord>() {
            // A startup read may list the end of a job before the watch delivers an earlier state.
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
        // Never reset: a controller of an earlier version cannot read what has been written since.
        if let Some(record) = state.parse_versioned::<FormatRecord>() {
            if record.value.format >= FORMAT_V2 {
                self.format = RecordFormat::V2;
            }
            self.agreed_format = Some(record);
        }
        RecordChange::RecordFormat
    }
}
