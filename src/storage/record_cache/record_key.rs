//! The keys of stored records: parsing and formatting.

use snowshelf_calendar::entry::Name;
use snowshelf_model::ids::{JobId, Member, ShardId, Team};
use snowshelf_model::records::{
    CALENDAR_KEY, FORMAT_KEY, LEADER_KEY, RunId, allocation_key, dag_key, definition_key,
    dependency_chunk_key, is_valid_run_name, job_key, member_key, plan_key, quota_key, run_key,
    shard_key,
};
use std::fmt;
use std::str::FromStr;

/// The key of the machine types, as the leader last published them.
pub const MACHINE_TYPES_KEY: &str = "types";

/// The key of a reservation.
#[must_use]
pub fn reservation_key(name: &Name) -> String {
    format!("res/{name}")
}

/// The key of a maintenance window.
#[must_use]
pub fn window_key(name: &Name) -> String {
    format!("win/{name}")
}

/// The key of a drain.
#[must_use]
pub fn drain_key(name: &Name) -> String {
    format!("drain/{name}")
}

/// The key of a team's ledger of disruptions.
#[must_use]
pub fn ledger_key(team: &Team) -> String {
    format!("disrupt/{team}")
}

/// Identifies one chunk of a text that is too long for a single value.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub struct ChunkKey<Owner> {
    /// The run or graph that the text belongs to.
    pub owner: Owner,
    /// The hash of the entire text.
    pub hash: String,
    /// The chunk's number, from 0.
    pub chunk: u32,
}

impl<'a> ChunkKey<&'a str> {
    /// Parses `<owner>/<hash>/<chunk>`.
    fn parse(text: &'a str) -> Option<ChunkKey<&'a str>> {
        let (rest, chunk) = text.rsplit_once('/')?;
        let (owner, hash) = rest.rsplit_once('/')?;
        Some(ChunkKey {
            owner,
            hash: hash.to_string(),
            chunk: chunk.parse().ok()?,
        })
    }

    fn with_owner<Owner>(self, owner: Owner) -> ChunkKey<Owner> {
        ChunkKey {
            owner,
            hash: self.hash,
            chunk: self.chunk,
        }
    }
}

/// The key of a stored record.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum RecordKey {
    /// `job/<job>`
    Job(JobId),
    /// `needs/<job>/<chunk>`: a chunk of a job's list of dependencies.
    DependencyChunk(JobId, u32),
    /// `alloc/<shard>/<job>`: a shard's allocation of a job.
    Allocation(ShardId, JobId),
    /// `part/<shard>`: the leader of a shard.
    ShardLeader(ShardId),
    /// `quota/<team>`
    Quota(Team),
    /// `member/<member>`: the record format and capabilities of a controller.
    Member(Member),
    /// `res/<name>`: a reservation.
    Reservation(Name),
    /// `win/<name>`: a maintenance window.
    Window(Name),
    /// `drain/<name>`
    Drain(Name),
    /// `disrupt/<team>`: a team's ledger of disruptions.
    Ledger(Team),
    /// `run/<graph>/<run>`
    Run(RunId),
    /// `plan/<graph>/<run>/<hash>/<chunk>`: a chunk of a run's plan.
    PlanChunk(ChunkKey<RunId>),
    /// `graph/<name>`
    Graph(String),
    /// `def/<graph>/<hash>/<chunk>`: a chunk of a graph's definition.
    DefinitionChunk(ChunkKey<String>),
    /// `calendar`: changed together with every reservation and window.
    Calendar,
    /// `format`: the record format and capabilities that all controllers have.
    Format,
    /// `leader`
    Leader,
    /// `types`: the machine types.
    MachineTypes,
}

/// The error for a key that matches no kind of record.
#[derive(Clone, Copy, PartialEq, Eq, Debug, thiserror::Error)]
#[error("unknown record key")]
pub struct UnknownKey;

impl FromStr for RecordKey {
    type Err = UnknownKey;

    fn from_str(key: &str) -> Result<RecordKey, UnknownKey> {
        match key {
            CALENDAR_KEY => return Ok(RecordKey::Calendar),
            FORMAT_KEY => return Ok(RecordKey::Format),
            LEADER_KEY => return Ok(RecordKey::Leader),
            MACHINE_TYPES_KEY => return Ok(RecordKey::MachineTypes),
            _ => {}
        }
        let (prefix, rest) = key.split_once('/').ok_or(UnknownKey)?;
        let parsed = match prefix {
            "job" => Some(RecordKey::Job(JobId::new(rest))),
            "needs" => parse_numbered(rest.split_once('/'))
                .map(|(job, chunk)| RecordKey::DependencyChunk(JobId::new(job), chunk)),
            "alloc" => parse_numbered(rest.split_once('/').map(|(shard, job)| (job, shard)))
                .map(|(job, shard)| RecordKey::Allocation(ShardId(shard), JobId::new(job))),
            "part" => rest
                .parse()
                .ok()
                .map(|n| RecordKey::ShardLeader(ShardId(n))),
            "quota" => Some(RecordKey::Quota(Team::new(rest))),
            "member" => Some(RecordKey::Member(Member::new(rest))),
            "res" => Name::parse(rest).map(RecordKey::Reservation),
            "win" => Name::parse(rest).map(RecordKey::Window),
            "drain" => Name::parse(rest).map(RecordKey::Drain),
            "disrupt" => Some(RecordKey::Ledger(Team::new(rest))),
            "run" => RunId::parse(rest).map(RecordKey::Run),
            "plan" => ChunkKey::parse(rest).and_then(|key| {
                let run = RunId::parse(key.owner)?;
                Some(RecordKey::PlanChunk(key.with_owner(run)))
            }),
            "graph" => is_valid_run_name(rest).then(|| RecordKey::Graph(rest.to_string())),
            "def" => ChunkKey::parse(rest).map(|key| {
                let graph = key.owner.to_string();
                RecordKey::DefinitionChunk(key.with_owner(graph))
            }),
            _ => None,
        };
        parsed.ok_or(UnknownKey)
    }
}

/// Parses the second element of a pair as a number.
fn parse_numbered<'a>(pair: Option<(&'a str, &str)>) -> Option<(&'a str, u32)> {
    let (name, number) = pair?;
    Some((name, number.parse().ok()?))
}

impl fmt::Display for RecordKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let key = match self {
            RecordKey::Job(job) => job_key(job),
            RecordKey::DependencyChunk(job, chunk) => dependency_chunk_key(job, *chunk),
            RecordKey::Allocation(shard_id, job) => allocation_key(*shard_id, job),
            RecordKey::ShardLeader(shard_id) => shard_key(*shard_id),
            RecordKey::Quota(team) => quota_key(team),
            RecordKey::Member(member) => member_key(member),
            RecordKey::Reservation(name) => reservation_key(name),
            RecordKey::Window(name) => window_key(name),
            RecordKey::Drain(name) => drain_key(name),
            RecordKey::Ledger(team) => ledger_key(team),
            RecordKey::Run(run) => run_key(run),
            RecordKey::PlanChunk(key) => plan_key(&key.owner, &key.hash, key.chunk),
            RecordKey::Graph(name) => dag_key(name),
            RecordKey::DefinitionChunk(key) => definition_key(&key.owner, &key.hash, key.chunk),
            RecordKey::Calendar => CALENDAR_KEY.to_string(),
            RecordKey::Format => FORMAT_KEY.to_string(),
            RecordKey::Leader => LEADER_KEY.to_string(),
            RecordKey::MachineTypes => MACHINE_TYPES_KEY.to_string(),
        };
        f.write_str(&key)
    }
}
