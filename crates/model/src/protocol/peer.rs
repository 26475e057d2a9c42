//! Messages between controllers (prost, length-delimited). No rule depends on hints; attestations are proof, and
//! are messages of their own.

/// Most bytes of one message; whoever gets a longer one ends the connection.
pub const MAX_FRAME: usize = 64 * 1024;

/// A message that is no hint. Its fields have numbers that hints never use: a controller of an earlier version
/// reads it as a hint of nobody, and does not answer.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct PeerMessage {
    #[prost(message, optional, tag = "101")]
    pub request: Option<ConfirmationRequest>,
    #[prost(message, optional, tag = "102")]
    pub attestation: Option<Confirmation>,
}

/// Asks which jobs were confirmed as cancelled to users lately.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ConfirmationRequest {
    /// Who asks, in which life, and for which time.
    #[prost(string, tag = "1")]
    pub member: String,
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    #[prost(uint64, tag = "3")]
    pub sequence: u64,
    /// How far back.
    #[prost(uint64, tag = "4")]
    pub window_ms: u64,
}

/// Says which those are.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Confirmation {
    /// Who says it, and in which life.
    #[prost(string, tag = "1")]
    pub member: String,
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// The request that it answers.
    #[prost(uint64, tag = "3")]
    pub asker_incarnation: u64,
    #[prost(uint64, tag = "4")]
    pub sequence: u64,
    /// Whether the list holds all of them.
    #[prost(bool, tag = "5")]
    pub complete: bool,
    #[prost(string, repeated, tag = "6")]
    pub cancelled: Vec<String>,
}

/// What a controller tells the others a few times a second.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PeerStatus {
    #[prost(string, tag = "1")]
    pub member: String,
    /// How long ago the state service last served this controller.
    #[prost(uint64, tag = "2")]
    pub state_silent_ms: u64,
    /// How long the process has been up.
    #[prost(uint64, tag = "3")]
    pub up_ms: u64,
    #[prost(message, repeated, tag = "4")]
    pub shards: Vec<ShardStatus>,
    /// Teams that this controller could start more of, had it more of their limit.
    #[prost(string, repeated, tag = "5")]
    pub short_of: Vec<String>,
    /// Machines that the leader misses in the cloud's list, or sees failed there.
    #[prost(string, repeated, tag = "6")]
    pub missing: Vec<String>,
    /// How long ago the change feed last answered this controller.
    #[prost(uint64, tag = "7")]
    pub feed_silent_ms: u64,
    /// No worker reaches this controller, though others are reached.
    #[prost(bool, tag = "8")]
    pub deaf: bool,
    /// Parts of others whose machines came here lately.
    #[prost(message, repeated, tag = "9")]
    pub strangers: Vec<ForeignHeartbeats>,
    /// What each drain waits for, said by the leader.
    #[prost(message, repeated, tag = "10")]
    pub waits: Vec<DrainProgress>,
}

/// What a drain waits for, in words.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct DrainProgress {
    #[prost(string, tag = "1")]
    pub drain: String,
    #[prost(string, tag = "2")]
    pub waits: String,
    /// What holds back the stops of its step.
    #[prost(string, repeated, tag = "3")]
    pub held: Vec<String>,
}

/// How many of a part's machines reported lately to a controller that does not own it.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ForeignHeartbeats {
    #[prost(uint32, tag = "1")]
    pub shard_id: u32,
    #[prost(uint32, tag = "2")]
    pub machines: u32,
}

/// What an owner says of its part.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ShardStatus {
    #[prost(uint32, tag = "1")]
    pub shard_id: u32,
    #[prost(double, tag = "2")]
    pub free_cpus: f64,
    #[prost(double, tag = "3")]
    pub waiting_cpus: f64,
    #[prost(string, repeated, tag = "4")]
    pub heard: Vec<String>,
    #[prost(double, tag = "5")]
    pub capacity_cpus: f64,
    /// Its machines by zone and type; said only while something is reserved.
    #[prost(message, repeated, tag = "6")]
    pub pools: Vec<PoolSize>,
    /// What is kept for teams; not counted in `free_cpus`.
    #[prost(message, repeated, tag = "7")]
    pub kept: Vec<ReservedCpus>,
    /// Jobs of graphs' runs that fail there.
    #[prost(message, repeated, tag = "8")]
    pub failing: Vec<FailingJob>,
    /// Machines that a drain keeps empty and that are; said, as what follows, only while there are drains.
    #[prost(string, repeated, tag = "9")]
    pub empty: Vec<String>,
    /// Machines that failed what they started.
    #[prost(string, repeated, tag = "10")]
    pub sick: Vec<String>,
    /// What holds back the stops of drains.
    #[prost(string, repeated, tag = "11")]
    pub held: Vec<String>,
    /// Tasks on machines that are silent or about to be taken.
    #[prost(message, repeated, tag = "12")]
    pub lost: Vec<LostTasks>,
    /// Tasks that were tried before and run again.
    #[prost(message, repeated, tag = "13")]
    pub again: Vec<RestartedTasks>,
    /// Jobs that wait there and that none of its machines could run, those that came first.
    #[prost(string, repeated, tag = "14")]
    pub stranded: Vec<String>,
    /// Jobs that have waited there for long and of which nothing is on a machine, those that came first.
    #[prost(string, repeated, tag = "15")]
    pub overdue: Vec<String>,
}

/// How many of a job's tasks that were tried before have been seen to run again.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct RestartedTasks {
    #[prost(string, tag = "1")]
    pub job: String,
    #[prost(uint32, tag = "2")]
    pub tasks: u32,
}

/// A team's tasks on machines that are silent or about to be taken.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LostTasks {
    #[prost(string, tag = "1")]
    pub team: String,
    #[prost(double, tag = "2")]
    pub cpus: f64,
    #[prost(uint32, tag = "3")]
    pub tasks: u32,
}

/// How often the worst task of a job has failed.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct FailingJob {
    #[prost(string, tag = "1")]
    pub job: String,
    #[prost(uint32, tag = "2")]
    pub errors: u32,
}

/// How many machines of a zone and type a part has.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct PoolSize {
    #[prost(string, tag = "1")]
    pub zone: String,
    #[prost(string, tag = "2")]
    pub model: String,
    #[prost(uint32, tag = "3")]
    pub ordinary: u32,
    #[prost(uint32, tag = "4")]
    pub spot: u32,
}

/// CPUs of a part that are kept for a team's reservations and not used by the team.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ReservedCpus {
    #[prost(string, tag = "1")]
    pub team: String,
    #[prost(double, tag = "2")]
    pub cpus: f64,
}
