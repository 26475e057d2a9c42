//! The gossip protocol between controllers: length-delimited protobuf messages. Statuses are hints,
//! and correctness never depends on them. Confirmations are authoritative, so they are separate
//! messages.

/// Maximum bytes of a message; the receiver of a longer one closes the connection.
pub const MAX_FRAME_BYTES: usize = 64 * 1024;

/// A message other than a status. Its field numbers never occur in [`PeerStatus`], so that
/// controllers of earlier versions parse it as a status without a member and do not respond.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct PeerMessage {
    /// A request for confirmed cancellations.
    #[prost(message, optional, tag = "101")]
    pub request: Option<ConfirmationRequest>,
    /// The response to a request for confirmed cancellations.
    #[prost(message, optional, tag = "102")]
    pub confirmation: Option<Confirmation>,
}

/// Requests the jobs whose cancellation was recently confirmed to users.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ConfirmationRequest {
    /// The requesting controller.
    #[prost(string, tag = "1")]
    pub member: String,
    /// Process incarnation of the requesting controller.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Sequence number of the request round.
    #[prost(uint64, tag = "3")]
    pub sequence: u64,
    /// How far back the confirmations reach, in milliseconds.
    #[prost(uint64, tag = "4")]
    pub window_ms: u64,
}

/// The response to a [`ConfirmationRequest`].
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Confirmation {
    /// The responding controller.
    #[prost(string, tag = "1")]
    pub member: String,
    /// Process incarnation of the responding controller.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// `incarnation` of the request.
    #[prost(uint64, tag = "3")]
    pub asker_incarnation: u64,
    /// `sequence` of the request.
    #[prost(uint64, tag = "4")]
    pub sequence: u64,
    /// Whether `cancelled` contains every confirmation within the requested window.
    #[prost(bool, tag = "5")]
    pub complete: bool,
    /// Jobs whose cancellation was confirmed to a user.
    #[prost(string, repeated, tag = "6")]
    pub cancelled: Vec<String>,
}

/// The status that a controller sends to the other controllers several times per second.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PeerStatus {
    /// The controller that sends the status.
    #[prost(string, tag = "1")]
    pub member: String,
    /// Time since the key-value store last responded to this controller, in milliseconds.
    #[prost(uint64, tag = "2")]
    pub state_silent_ms: u64,
    /// Uptime of the process, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub up_ms: u64,
    /// The shards that the controller leads.
    #[prost(message, repeated, tag = "4")]
    pub shards: Vec<ShardStatus>,
    /// Teams whose quota grant keeps the controller from starting more of their tasks.
    #[prost(string, repeated, tag = "5")]
    pub quota_limited_teams: Vec<String>,
    /// Machines that are absent from the cloud's machine list or failed there. Sent by the leader.
    #[prost(string, repeated, tag = "6")]
    pub missing: Vec<String>,
    /// Time since the watch last responded, in milliseconds.
    #[prost(uint64, tag = "7")]
    pub watch_silent_ms: u64,
    /// Whether no worker reaches this controller although workers reach other controllers.
    #[prost(bool, tag = "8")]
    pub unreachable_by_workers: bool,
    /// Shards led by other controllers whose machines recently sent heartbeats to this one.
    #[prost(message, repeated, tag = "9")]
    pub foreign_heartbeats: Vec<ForeignHeartbeats>,
    /// Conditions that drains are waiting for. Sent by the leader.
    #[prost(message, repeated, tag = "10")]
    pub waits: Vec<DrainProgress>,
}

/// The condition that a drain is waiting for.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct DrainProgress {
    /// The drain's name.
    #[prost(string, tag = "1")]
    pub drain: String,
    /// The condition, in the words of responses to users.
    #[prost(string, tag = "2")]
    pub waits: String,
    /// What blocks the evictions of the drain's current step.
    #[prost(string, repeated, tag = "3")]
    pub blocked_by: Vec<String>,
}

/// The number of a shard's machines that recently sent heartbeats to a controller that does not lead
/// the shard.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ForeignHeartbeats {
    /// Number of the shard.
    #[prost(uint32, tag = "1")]
    pub shard_id: u32,
    /// Number of such machines.
    #[prost(uint32, tag = "2")]
    pub machines: u32,
}

/// The status of a shard, sent by its leader.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ShardStatus {
    /// Number of the shard.
    #[prost(uint32, tag = "1")]
    pub shard_id: u32,
    /// Free CPUs of its machines.
    #[prost(double, tag = "2")]
    pub free_cpus: f64,
    /// CPUs that the shard's waiting tasks require.
    #[prost(double, tag = "3")]
    pub waiting_cpus: f64,
    /// Machines that recently sent a heartbeat.
    #[prost(string, repeated, tag = "4")]
    pub recent_heartbeats: Vec<String>,
    /// CPUs of all machines of the shard.
    #[prost(double, tag = "5")]
    pub capacity_cpus: f64,
    /// Number of machines by zone and machine type. Sent only while there are reservations.
    #[prost(message, repeated, tag = "6")]
    pub pools: Vec<PoolSize>,
    /// CPUs reserved for teams, which `free_cpus` does not include.
    #[prost(message, repeated, tag = "7")]
    pub reserved: Vec<ReservedCpus>,
    /// Jobs of DAG runs with failing tasks in this shard.
    #[prost(message, repeated, tag = "8")]
    pub failing: Vec<FailingJob>,
    /// Machines without tasks that a drain keeps empty. This field and the following ones up to
    /// `restarted` are sent only while there are drains.
    #[prost(string, repeated, tag = "9")]
    pub empty: Vec<String>,
    /// Machines on which the started tasks failed.
    #[prost(string, repeated, tag = "10")]
    pub failing_machines: Vec<String>,
    /// What blocks evictions for drains.
    #[prost(string, repeated, tag = "11")]
    pub blocked_by: Vec<String>,
    /// Tasks on machines that are silent or have an interruption notice, by team.
    #[prost(message, repeated, tag = "12")]
    pub lost: Vec<LostTasks>,
    /// Retried tasks that run again, by job.
    #[prost(message, repeated, tag = "13")]
    pub restarted: Vec<RestartedTasks>,
    /// Waiting jobs that no machine of the shard could run, oldest first.
    #[prost(string, repeated, tag = "14")]
    pub stranded: Vec<String>,
    /// Jobs that have waited long without any task on a machine, oldest first.
    #[prost(string, repeated, tag = "15")]
    pub overdue: Vec<String>,
}

/// The number of a job's tasks that had an earlier attempt and have been seen running again.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct RestartedTasks {
    /// ID of the job.
    #[prost(string, tag = "1")]
    pub job: String,
    /// Number of such tasks.
    #[prost(uint32, tag = "2")]
    pub tasks: u32,
}

/// A team's tasks on machines that are silent or have an interruption notice.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LostTasks {
    /// Name of the team.
    #[prost(string, tag = "1")]
    pub team: String,
    /// CPUs that these tasks require.
    #[prost(double, tag = "2")]
    pub cpus: f64,
    /// Number of these tasks.
    #[prost(uint32, tag = "3")]
    pub tasks: u32,
}

/// The failures of a job's most often failing task.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct FailingJob {
    /// ID of the job.
    #[prost(string, tag = "1")]
    pub job: String,
    /// Number of failures of its most often failing task.
    #[prost(uint32, tag = "2")]
    pub errors: u32,
}

/// The number of a shard's machines in a zone and of a machine type.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct PoolSize {
    /// Name of the zone.
    #[prost(string, tag = "1")]
    pub zone: String,
    /// Name of the machine type.
    #[prost(string, tag = "2")]
    pub model: String,
    /// Number of on-demand instances.
    #[prost(uint32, tag = "3")]
    pub ordinary: u32,
    /// Number of spot instances.
    #[prost(uint32, tag = "4")]
    pub spot: u32,
}

/// The CPUs of a shard that are reserved for a team and not used by it.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ReservedCpus {
    /// Name of the team.
    #[prost(string, tag = "1")]
    pub team: String,
    /// Number of reserved, unused CPUs.
    #[prost(double, tag = "2")]
    pub cpus: f64,
}
