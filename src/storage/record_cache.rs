//! A picture of the state service, fed by reads, the controller's own writes and the change feed.
//!
//! The picture may lag. Whoever decides by it makes the write conditional on the version seen.

use super::kv_client::GetOutcome;
use serde::Deserialize;
use serde_json::Value;
use snowshelf_calendar::entry::{Name, Reservation, Window};
use snowshelf_drain::budget::Ledger;
use snowshelf_drain::entry::Drain;
use snowshelf_model::ids::{JobId, Member, ShardId, Team, Version, WallClockMillis};
use snowshelf_model::protocol::cloud::MachineType;
use snowshelf_model::records::{
    CALENDAR_KEY, Capability, FORMAT_KEY, FORMAT_V2, FormatRecord, GraphRecord, JobRecord,
    JobState, LEADER_KEY, LeaseHolder, QuotaRecord, RecordFormat, RunId, RunRecord, RunState,
    ShardAllocation, allocation_key, definition_key, graph_key, job_key, member_key, plan_key,
    quota_key, run_key, shard_key, sound,
};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::rc::Rc;

pub fn reservation_key(name: &Name) -> String {
    format!("res/{name}")
}
pub fn window_key(name: &Name) -> String {
    format!("win/{name}")
}

pub fn drain_key(name: &Name) -> String {
    format!("drain/{name}")
}
pub fn ledger_key(team: &Team) -> String {
    format!("disrupt/{team}")
}

pub const TYPES_KEY: &str = "types";

/// Final states are small; beyond this many the state service is asked again.
const FINALS_KEPT: usize = 20_000;

/// Guards of deleted keys are let gather up to about this many.
const TIDY_AT: usize = 500;

#[derive(Clone, Debug)]
pub struct Versioned<T> {
    pub version: Version,
    pub value: Rc<T>,
}

#[derive(Clone, PartialEq, Eq, Debug)]
pub enum RecordChange {
    Job(JobId),
    ShardAllocation(ShardId, JobId),
    ShardOwner(ShardId),
    Quota(Team),
    Leader,
    Types,
    RecordFormat,
    Reservation(Name),
    Window(Name),
    Calendar,
    Drain,
    Ledger,
    Run(RunId),
    Graph,
}

/// What is remembered of a job that has ended.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Final {
    pub state: JobState,
    pub tasks: u32,
    /// When it was done, if its record says so.
    pub ended: Option<WallClockMillis>,
    /// Whether a graph's run has submitted it.
    pub run: bool,
}

impl Final {
    /// What is remembered of a record that has ended.
    pub fn of(record: &JobRecord) -> Final {
        Final {
            state: record.state,
            tasks: record.tasks,
            ended: record.ended,
            run: record.run,
        }
    }
}

#[derive(Default)]
pub struct RecordCache {
    pub jobs: BTreeMap<JobId, Versioned<JobRecord>>,
    pub allocations: BTreeMap<(ShardId, JobId), Versioned<ShardAllocation>>,
    pub shard_owners: BTreeMap<ShardId, Versioned<LeaseHolder>>,
    pub quotas: BTreeMap<Team, Versioned<QuotaRecord>>,
    pub leader: Option<Versioned<LeaseHolder>>,
    pub types: Option<Versioned<Vec<MachineType>>>,
    /// Lists of needed jobs that have values of their own, of jobs that have not ended.
    pub dependencies: BTreeMap<(JobId, u32), Rc<Vec<JobId>>>,
    /// What each controller has said that it can read and do, and what all of them have.
    pub members: BTreeMap<Member, Versioned<FormatRecord>>,
    pub agreed: Option<Versioned<FormatRecord>>,
    /// How records are to be written, as far as it is settled.
    pub format: RecordFormat,
    /// What is reserved and closed ahead, and the version at which any of it last changed.
    pub reservations: BTreeMap<Name, Versioned<Reservation>>,
    pub windows: BTreeMap<Name, Versioned<Window>>,
    pub calendar: Version,
    /// Drains, and what of the teams' work was taken away on purpose.
    pub drains: BTreeMap<Name, Versioned<Drain>>,
    pub ledgers: BTreeMap<Team, Versioned<Ledger>>,
    /// Runs of graphs, and pieces of what they were asked for, by hash, while they are open.
    pub runs: BTreeMap<RunId, Versioned<RunRecord>>,
    pub plans: BTreeMap<(RunId, String, u32), Rc<String>>,
    /// Graphs that are kept, and pieces of what they are.
    pub graphs: BTreeMap<String, Versioned<GraphRecord>>,
    pub definitions: BTreeMap<(String, String, u32), Rc<String>>,
    /// Counts the changes of jobs' records, and of drains'.
    pub job_changes: u64,
    pub drain_changes: u64,
    finals: HashMap<JobId, Final>,
    finals_order: VecDeque<JobId>,
    /// Versions at which keys were last seen to change; guards against older news.
    versions: HashMap<String, Version>,
    /// The newest version of a share that was read by itself, ahead of the feed: what was written together with
    /// it may not be known yet.
    pub read_ahead: Version,
    /// Everything up to here has been seen.
    pub revision: Version,
    /// Whether it has been read who owns which part.
    pub shard_owners_read: bool,
    /// Whether all but jobs has been read: shares, grants, the format, machine types.
    pub allocations_read: bool,
    /// Whether all that is open has been read.
    pub loaded: bool,
    /// Whether a reading is underway.
    reading: bool,
}

fn read<T: for<'a> Deserialize<'a>>(key: &str, value: &Value) -> Option<T> {
    match T::deserialize(value) {
        Ok(parsed) => Some(parsed),
        Err(error) => {
            tracing::error!(key, %error, "stored record unreadable");
            None
        }
    }
}

impl RecordCache {
    pub fn final_of(&self, job: &JobId) -> Option<Final> {
        self.finals.get(job).copied()
    }

    /// Whether all controllers have said, for good, that they can do this.
    pub fn all_can(&self, what: &Capability) -> bool {
        let agreed = self.agreed.as_ref();
        agreed.is_some_and(|v| v.value.can.contains(what))
    }

    /// What a job needs; `None` if a part of the list is not known here.
    pub fn dependencies_of<'a>(
        &'a self,
        job: &JobId,
        record: &'a JobRecord,
    ) -> Option<Vec<&'a JobId>> {
        let mut dependencies: Vec<&JobId> = record.dependencies.iter().collect();
        for piece in 0..record.dependency_chunks {
            dependencies.extend(self.dependencies.get(&(job.clone(), piece))?.iter());
        }
        Some(dependencies)
    }

    pub fn knows_job(&self, job: &JobId) -> bool {
        self.finals.contains_key(job) || self.jobs.contains_key(job)
    }

    fn remember_final(&mut self, job: &JobId, record: &JobRecord) {
        if !record.is_final() {
            return;
        }
        self.dependencies.retain(|(of, _), _| of != job);
        let end = Final::of(record);
        if self.finals.insert(job.clone(), end).is_none() {
            self.finals_order.push_back(job.clone());
            if self.finals_order.len() > FINALS_KEPT
                && let Some(old) = self.finals_order.pop_front()
            {
                self.finals.remove(&old);
            }
        }
    }

    /// Takes in one key's state (`None`: deleted) as of `version`; older news change nothing.
    pub fn apply(
        &mut self,
        key: &str,
        value: Option<&Value>,
        version: Version,
    ) -> Option<RecordChange> {
        match self.versions.get(key) {
            Some(seen) if *seen >= version => return None,
            _ => {}
        }
        self.versions.insert(key.to_string(), version);
        let changed = self.put(key, value, version);
        // Final records are many; their keys need no guard, as they never change again. While a
        // reading goes on, a page sent before the end may still bring the job as it was.
        if let Some(RecordChange::Job(job)) = &changed
            && !self.reading
            && !self.jobs.contains_key(job)
        {
            self.versions.remove(key);
        }
        changed
    }

    fn put(&mut self, key: &str, value: Option<&Value>, version: Version) -> Option<RecordChange> {
        fn set<K: Ord, T: for<'a> Deserialize<'a>>(
            map: &mut BTreeMap<K, Versioned<T>>,
            id: K,
            key: &str,
            value: Option<&Value>,
            version: Version,
        ) {
            match value.and_then(|v| read::<T>(key, v)) {
                Some(parsed) => {
                    let value = Rc::new(parsed);
                    map.insert(id, Versioned { version, value });
                }
                None => {
                    map.remove(&id);
                }
            }
        }
        fn set_piece<K: Ord>(
            map: &mut BTreeMap<K, Rc<String>>,
            id: K,
            key: &str,
            value: Option<&Value>,
        ) {
            match value.and_then(|v| read(key, v)) {
                Some(text) => map.insert(id, Rc::new(text)),
                None => map.remove(&id),
            };
        }
        if let Some(rest) = key.strip_prefix("job/") {
            let job = JobId::new(rest);
            self.job_changes += 1;
            match value.and_then(|v| read::<JobRecord>(key, v)) {
                // A reading may bring the end of a job before the feed brings its beginning.
                Some(record) if !record.is_final() && self.finals.contains_key(&job) => {}
                Some(record) => {
                    self.remember_final(&job, &record);
                    if record.is_final() && record.shards.is_empty() {
                        self.jobs.remove(&job);
                    } else {
                        let value = Rc::new(record);
                        self.jobs.insert(job.clone(), Versioned { version, value });
                    }
                }
                None => {
                    self.jobs.remove(&job);
                }
            }
            return Some(RecordChange::Job(job));
        }
        if let Some((job, piece)) = key.strip_prefix("needs/").and_then(|k| k.split_once('/')) {
            let job = JobId::new(job);
            if let Ok(piece) = piece.parse()
                && !self.finals.contains_key(&job)
                && let Some(list) = value.and_then(|v| read(key, v))
            {
                self.dependencies
                    .insert((job.clone(), piece), Rc::new(list));
                self.job_changes += 1;
            }
            return Some(RecordChange::Job(job));
        }
        if let Some((shard_id, job)) = parse_allocation_key(key) {
            set(
                &mut self.allocations,
                (shard_id, job.clone()),
                key,
                value,
                version,
            );
            return Some(RecordChange::ShardAllocation(shard_id, job));
        }
        if let Some(shard_id) = key.strip_prefix("part/").and_then(|p| p.parse().ok()) {
            set(
                &mut self.shard_owners,
                ShardId(shard_id),
                key,
                value,
                version,
            );
            return Some(RecordChange::ShardOwner(ShardId(shard_id)));
        }
        if let Some(team) = key.strip_prefix("quota/") {
            set(&mut self.quotas, Team::new(team), key, value, version);
            return Some(RecordChange::Quota(Team::new(team)));
        }
        if let Some(member) = key.strip_prefix("member/") {
            set(&mut self.members, Member::new(member), key, value, version);
            return Some(RecordChange::RecordFormat);
        }
        if let Some(name) = key.strip_prefix("res/").and_then(Name::parse) {
            set(&mut self.reservations, name.clone(), key, value, version);
            return Some(RecordChange::Reservation(name));
        }
        if let Some(name) = key.strip_prefix("win/").and_then(Name::parse) {
            set(&mut self.windows, name.clone(), key, value, version);
            return Some(RecordChange::Window(name));
        }
        if let Some(name) = key.strip_prefix("drain/").and_then(Name::parse) {
            set(&mut self.drains, name, key, value, version);
            self.drain_changes += 1;
            return Some(RecordChange::Drain);
        }
        if let Some(team) = key.strip_prefix("disrupt/") {
            set(&mut self.ledgers, Team::new(team), key, value, version);
            return Some(RecordChange::Ledger);
        }
        if let Some(run) = key.strip_prefix("run/").and_then(RunId::parse) {
            set(&mut self.runs, run.clone(), key, value, version);
            return Some(RecordChange::Run(run));
        }
        if let Some((run, hash, piece)) = split_plan(key) {
            let id = (run.clone(), hash, piece);
            set_piece(&mut self.plans, id, key, value);
            return Some(RecordChange::Run(run));
        }
        if let Some(name) = key.strip_prefix("graph/").filter(|n| sound(n)) {
            set(&mut self.graphs, name.to_string(), key, value, version);
            return Some(RecordChange::Graph);
        }
        if let Some(id) = split_definition(key) {
            set_piece(&mut self.definitions, id, key, value);
            return Some(RecordChange::Graph);
        }
        if key == CALENDAR_KEY {
            self.calendar = version;
            return Some(RecordChange::Calendar);
        }
        if key == FORMAT_KEY {
            // For good: what was written since cannot be read by an earlier version.
            if let Some(record) = value.and_then(|v| read::<FormatRecord>(key, v)) {
                if record.format >= FORMAT_V2 {
                    self.format = RecordFormat::V2;
                }
                let value = Rc::new(record);
                self.agreed = Some(Versioned { version, value });
            }
            return Some(RecordChange::RecordFormat);
        }
        if key == LEADER_KEY {
            self.leader = value.and_then(|v| read(key, v)).map(|p| Versioned {
                version,
                value: Rc::new(p),
            });
            return Some(RecordChange::Leader);
        }
        if key == TYPES_KEY {
            self.types = value.and_then(|v| read(key, v)).map(|p| Versioned {
                version,
                value: Rc::new(p),
            });
            return Some(RecordChange::Types);
        }
        None
    }

    /// Takes in the outcome of reading a single key.
    pub fn apply_outcome(&mut self, key: &str, outcome: &GetOutcome) {
        match outcome {
            GetOutcome::Found(item) => self.apply(key, Some(&item.value), item.version),
            GetOutcome::NotFound(revision) => self.apply(key, None, *revision),
            GetOutcome::Failed => None,
        };
    }

    /// Begins a full reading.
    pub fn begin_reading(&mut self) {
        self.reading = true;
    }

    /// The keys, in order, of what is known and may have been deleted since it was seen: as many as
    /// are open, however many have ended.
    pub fn open_keys(&self) -> Vec<String> {
        let mut known: Vec<String> = Vec::new();
        known.extend(self.jobs.keys().map(job_key));
        known.extend(self.allocations.keys().map(|(p, j)| allocation_key(*p, j)));
        known.extend(self.shard_owners.keys().map(|p| shard_key(*p)));
        known.extend(self.quotas.keys().map(quota_key));
        known.extend(self.members.keys().map(member_key));
        known.extend(self.graphs.keys().map(|n| graph_key(n)));
        let definitions = self.definitions.keys();
        known.extend(definitions.map(|(g, h, n)| definition_key(g, h, *n)));
        known.extend(self.runs.keys().map(run_key));
        known.extend(self.plans.keys().map(|(r, h, n)| plan_key(r, h, *n)));
        known.extend(self.reservations.keys().map(reservation_key));
        known.extend(self.windows.keys().map(window_key));
        known.extend(self.drains.keys().map(drain_key));
        known.extend(self.ledgers.keys().map(ledger_key));
        known.extend(self.leader.iter().map(|_| LEADER_KEY.to_string()));
        known.sort_unstable();
        known
    }

    /// Takes in a key found by a full reading. A job that has ended needs no guard beyond that, or
    /// the guards of all that ever were would be held at once.
    pub fn apply_read(
        &mut self,
        key: &str,
        value: &Value,
        version: Version,
    ) -> Option<RecordChange> {
        let changed = self.apply(key, Some(value), version);
        if let Some(RecordChange::Job(job)) = &changed
            && !self.jobs.contains_key(job)
        {
            self.versions.remove(key);
        }
        changed
    }

    /// Takes in that a full reading as of `revision` passed a key's place and did not find it.
    pub fn absent(&mut self, key: &str, revision: Version) -> Option<RecordChange> {
        match self.versions.get(key) {
            // Made anew since.
            Some(seen) if *seen > revision => None,
            _ => {
                self.versions.insert(key.to_string(), revision);
                self.put(key, None, revision)
            }
        }
    }

    /// Jobs that must be known before parts are served: those of which there are shares, and those
    /// that these need, as far as they are not known.
    pub fn wanted(&self) -> BTreeSet<JobId> {
        let mut wanted: BTreeSet<JobId> = self
            .allocations
            .keys()
            .map(|(_, job)| job.clone())
            .collect();
        for (job, v) in &self.jobs {
            wanted.extend(
                self.dependencies_of(job, &v.value)
                    .into_iter()
                    .flatten()
                    .cloned(),
            );
        }
        wanted.retain(|job| !self.knows_job(job));
        wanted
    }

    /// The version at which a key was last seen to change, or to go; of what is long gone the feed has told.
    pub fn version_of(&self, key: &str) -> Version {
        self.versions.get(key).copied().unwrap_or_default()
    }

    /// Whether a graph's run is open, so that it must be known which jobs have ended.
    pub fn has_open_runs(&self) -> bool {
        let mut runs = self.runs.values();
        runs.any(|v| v.value.state == RunState::Open)
    }

    /// All that is open up to `revision` has been seen, by a reading or by the change feed, which was
    /// followed meanwhile.
    pub fn open_read(&mut self, revision: Version) {
        self.loaded = true;
        if self.revision < revision {
            self.revision = revision;
        }
    }

    /// Ends a reading.
    pub fn end_reading(&mut self) {
        self.reading = false;
    }

    /// Forgets guards of deleted keys that the feed has passed.
    pub fn tidy(&mut self) {
        let revision = self.revision;
        if self.versions.len() < 2 * (self.jobs.len() + self.allocations.len()) + TIDY_AT {
            return;
        }
        let (jobs, allocations) = (&self.jobs, &self.allocations);
        self.versions.retain(|key, version| {
            *version > revision
                || match parse_allocation_key(key) {
                    Some(id) => allocations.contains_key(&id),
                    None => match key.strip_prefix("job/") {
                        Some(job) => jobs.contains_key(&JobId::new(job)),
                        None => true,
                    },
                }
        });
    }

    pub fn shard_allocations(
        &self,
        shard_id: ShardId,
    ) -> impl Iterator<Item = (&JobId, &Versioned<ShardAllocation>)> + '_ {
        self.allocations
            .range((shard_id, JobId::new(""))..)
            .take_while(move |((p, _), _)| *p == shard_id)
            .map(|((_, job), v)| (job, v))
    }

    /// Tasks finished and possibly running, for display.
    pub fn counts(&self, job: &JobId, shards: &[ShardId], tasks: u32) -> (u32, u32) {
        let mut open = 0;
        let mut running = 0;
        for shard_id in shards {
            if let Some(v) = self.allocations.get(&(*shard_id, job.clone())) {
                let started = v.value.started_count();
                running += started;
                open += started + v.value.waiting.len();
            }
        }
        (tasks.saturating_sub(open), running)
    }
}

/// `def/<graph>/<hash>/<piece>`.
fn split_definition(key: &str) -> Option<(String, String, u32)> {
    let (name, hash, piece) = split_piece(key.strip_prefix("def/")?)?;
    Some((name.to_string(), hash, piece))
}

/// `plan/<graph>/<run>/<hash>/<piece>`.
fn split_plan(key: &str) -> Option<(RunId, String, u32)> {
    let (run, hash, piece) = split_piece(key.strip_prefix("plan/")?)?;
    Some((RunId::parse(run)?, hash, piece))
}

/// `<whose>/<hash>/<piece>`.
fn split_piece(key: &str) -> Option<(&str, String, u32)> {
    let (rest, piece) = key.rsplit_once('/')?;
    let (whose, hash) = rest.rsplit_once('/')?;
    Some((whose, hash.to_string(), piece.parse().ok()?))
}

fn parse_allocation_key(key: &str) -> Option<(ShardId, JobId)> {
    let (shard_id, job) = key.strip_prefix("alloc/")?.split_once('/')?;
    Some((ShardId(shard_id.parse().ok()?), JobId::new(job)))
}
