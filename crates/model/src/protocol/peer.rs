//! Messages between controllers (protobuf, length-delimited). Statuses are hints: no rule depends on them.
//! Confirmations are proof, and are messages of their own.

/// Most bytes of one message; the receiver of a longer one closes the connection.
pub const MAX_FRAME: usize = 64 * 1024;

/// A message that is not a status. Its fields have numbers that statuses never use: a controller of an
/// earlier version reads it as a status of nobody, and does not respond.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct PeerMessage {
    /// A request for confirmations.
    #[prost(message, optional, tag = "101")]
    pub request: Option<ConfirmationRequest>,
    /// The response to one.
    #[prost(message, optional, tag = "102")]
    pub confirmation: Option<Confirmation>,
}

/// Requests the jobs whose cancellation was confirmed to users lately.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ConfirmationRequest {
    /// The requesting controller.
    #[prost(string, tag = "1")]
    pub member: String,
    /// Its incarnation.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// The number of the round.
    #[prost(uint64, tag = "3")]
    pub sequence: u64,
    /// How far back, in milliseconds.
    #[prost(uint64, tag = "4")]
    pub window_ms: u64,
}

/// The response to a [`ConfirmationRequest`].
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Confirmation {
    /// The responding controller.
    #[prost(string, tag = "1")]
    pub member: String,
    /// Its incarnation.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// The incarnation in the request.
    #[prost(uint64, tag = "3")]
    pub asker_incarnation: u64,
    /// The number of the round in the request.
    #[prost(uint64, tag = "4")]
    pub sequence: u64,
    /// Whether the list holds all of them.
    #[prost(bool, tag = "5")]
    pub complete: bool,
    /// The jobs confirmed as cancelled.
    #[prost(string, repeated, tag = "6")]
    pub cancelled: Vec<String>,
}

/// The status that a controller sends to the others a few times a second.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PeerStatus {
    /// The controller that sends it.
    #[prost(string, tag = "1")]
    pub member: String,
    /// How long ago the key-value store last served this controller, in milliseconds.
    #[prost(uint64, tag = "2")]
    pub state_silent_ms: u64,
    /// How long the process has been up, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub up_ms: u64,
    /// The shards that it leads.
    #[prost(message, repeated, tag = "4")]
    pub shards: Vec<ShardStatus>,
    /// Teams of which it could start more tasks with a larger quota grant.
    #[prost(string, repeated, tag = "5")]
    pub quota_limited_teams: Vec<String>,
    /// Machines that the cloud's list lacks or shows as failed; sent by the leader.
    #[prost(string, repeated, tag = "6")]
    pub missing: Vec<String>,
    /// How long ago the watch last responded, in milliseconds.
    #[prost(uint64, tag = "7")]
    pub watch_silent_ms: u64,
    /// No worker reaches this controller, though others are reached.
    #[prost(bool, tag = "8")]
    pub unreachable_by_workers: bool,
    /// Shards of other controllers whose machines sent heartbeats here lately.
    #[prost(message, repeated, tag = "9")]
    pub foreign_heartbeats: Vec<ForeignHeartbeats>,
    /// What each drain waits for; sent by the leader.
    #[prost(message, repeated, tag = "10")]
    pub waits: Vec<DrainProgress>,
}

/// What a drain waits for.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct DrainProgress {
    /// The drain's name.
    #[prost(string, tag = "1")]
    pub drain: String,
    /// What it waits for, as users read it.
    #[prost(string, tag = "2")]
    pub waits: String,
    /// What blocks the evictions of its step.
    #[prost(string, repeated, tag = "3")]
    pub blocked_by: Vec<String>,
}

/// How many of a shard's machines lately sent heartbeats to a controller that does not lead the shard.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ForeignHeartbeats {
    /// The shard.
    #[prost(uint32, tag = "1")]
    pub shard_id: u32,
    /// Number of its machines.
    #[prost(uint32, tag = "2")]
    pub machines: u32,
}

/// The status of a shard, sent by its leader.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ShardStatus {
    /// The shard.
    #[prost(uint32, tag = "1")]
    pub shard_id: u32,
    /// Its free CPUs.
    #[prost(double, tag = "2")]
    pub free_cpus: f64,
    /// CPUs that its waiting tasks require.
    #[prost(double, tag = "3")]
    pub waiting_cpus: f64,
    /// Machines that sent a heartbeat lately.
    #[prost(string, repeated, tag = "4")]
    pub recent_heartbeats: Vec<String>,
    /// CPUs of all its machines.
    #[prost(double, tag = "5")]
    pub capacity_cpus: f64,
    /// Its machines by zone and type; sent only while something is reserved.
    #[prost(message, repeated, tag = "6")]
    pub pools: Vec<PoolSize>,
    /// CPUs reserved for teams; not counted in `free_cpus`.
    #[prost(message, repeated, tag = "7")]
    pub reserved: Vec<ReservedCpus>,
    /// Jobs of graphs' runs that fail there.
    #[prost(message, repeated, tag = "8")]
    pub failing: Vec<FailingJob>,
    /// Machines that a drain keeps empty and that are empty; sent, like the following fields, only while
    /// there are drains.
    #[prost(string, repeated, tag = "9")]
    pub empty: Vec<String>,
    /// Machines that failed the tasks they started.
    #[prost(string, repeated, tag = "10")]
    pub failing_machines: Vec<String>,
    /// What blocks the evictions of drains.
    #[prost(string, repeated, tag = "11")]
    pub blocked_by: Vec<String>,
    /// Tasks on machines that are silent or about to be interrupted.
    #[prost(message, repeated, tag = "12")]
    pub lost: Vec<LostTasks>,
    /// Tasks of earlier attempts that run again.
    #[prost(message, repeated, tag = "13")]
    pub restarted: Vec<RestartedTasks>,
    /// Waiting jobs that none of its machines could run, oldest first.
    #[prost(string, repeated, tag = "14")]
    pub stranded: Vec<String>,
    /// Jobs that have waited for long and have no task on a machine, oldest first.
    #[prost(string, repeated, tag = "15")]
    pub overdue: Vec<String>,
}

/// How many of a job's tasks of earlier attempts have been seen to run again.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct RestartedTasks {
    /// The job.
    #[prost(string, tag = "1")]
    pub job: String,
    /// Number of its tasks.
    #[prost(uint32, tag = "2")]
    pub tasks: u32,
}

/// A team's tasks on machines that are silent or about to be interrupted.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LostTasks {
    /// The team.
    #[prost(string, tag = "1")]
    pub team: String,
    /// CPUs that the tasks require.
    #[prost(double, tag = "2")]
    pub cpus: f64,
    /// Number of the tasks.
    #[prost(uint32, tag = "3")]
    pub tasks: u32,
}

/// How often the worst task of a job has failed.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct FailingJob {
    /// The job.
    #[prost(string, tag = "1")]
    pub job: String,
    /// Failures of its worst task.
    #[prost(uint32, tag = "2")]
    pub errors: u32,
}

/// Number of a shard's machines of a zone and type.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct PoolSize {
    /// The zone.
    #[prost(string, tag = "1")]
    pub zone: String,
    /// The machine type.
    #[prost(string, tag = "2")]
    pub model: String,
    /// Number of on-demand instances.
    #[prost(uint32, tag = "3")]
    pub ordinary: u32,
    /// Number of spot instances.
    #[prost(uint32, tag = "4")]
    pub spot: u32,
}

/// CPUs of a shard that are reserved for a team and not used by it.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ReservedCpus {
    /// The team.
    #[prost(string, tag = "1")]
    pub team: String,
    /// The CPUs.
    #[prost(double, tag = "2")]
    pub cpus: f64,
}
