//! The worker protocol: heartbeats with task statuses, answered with commands.
//!
//! Names on the wire and the terms used in this code base:
//!
//! | on the wire | term |
//! | --- | --- |
//! | `Prensa` | machine |
//! | `Modelo` | machine type |
//! | `Parcela` | zone |
//! | `Avulsas` | whether the machine is a spot instance |
//! | `Jornada` | agent incarnation |
//! | `Contagem` | sequence number of the heartbeat |
//! | `Selo` | fencing token |
//! | `AvisoS` | interruption notice, in seconds |
//! | `Tarefas`, `Tarefa` | tasks, task |
//! | `Tentativa` | attempt |
//! | `Estado` (`saving`) | [`TaskState`] (checkpointing) |
//! | `Motivo` | [`ExitReason`] |
//! | `Ordens`, `Ordem` | commands, kind of a command |
//! | `FolgaS` | grace period, in seconds |
//! | `RespondeA` | address of the shard leader |

use crate::ids::{
    AgentIncarnation, Attempt, FencingToken, HeartbeatSequence, JobId, MachineId, TaskIndex,
};
use serde::{Deserialize, Serialize};

/// A worker's heartbeat with the status of its machine.
#[derive(Clone, Debug, Deserialize)]
pub struct Heartbeat {
    /// The machine that the worker runs on.
    #[serde(rename = "Prensa")]
    pub machine: MachineId,
    /// The address at which the worker accepts direct requests; `None` if it accepts none.
    #[serde(rename = "Address", default)]
    pub address: Option<String>,
    /// The machine type.
    #[serde(rename = "Modelo")]
    pub model: String,
    /// The zone of the machine.
    #[serde(rename = "Parcela")]
    pub zone: String,
    /// Whether the machine is a spot instance.
    #[serde(rename = "Avulsas", default)]
    pub spot: bool,
    /// The agent incarnation; with a new one, all tasks of the old one are gone.
    #[serde(rename = "Jornada")]
    pub incarnation: AgentIncarnation,
    /// The sequence number of the heartbeat within the agent incarnation.
    #[serde(rename = "Contagem")]
    pub sequence: HeartbeatSequence,
    /// The highest fencing token that the worker has received.
    #[serde(rename = "Selo", default)]
    pub fencing_token: FencingToken,
    /// Seconds until the cloud interrupts the spot instance, if it has sent an interruption notice.
    #[serde(rename = "AvisoS", default)]
    pub notice_s: Option<f64>,
    /// The statuses of all tasks on the machine.
    #[serde(rename = "Tarefas", default)]
    pub tasks: Vec<TaskStatus>,
}

/// The status of one task on a machine.
#[derive(Clone, Debug, Deserialize)]
pub struct TaskStatus {
    /// The job and index of the task.
    #[serde(rename = "Tarefa")]
    pub task: TaskRef,
    /// The attempt that is on the machine.
    #[serde(rename = "Tentativa")]
    pub attempt: Attempt,
    /// The state of the attempt.
    #[serde(rename = "Estado")]
    pub state: TaskState,
    /// Why the task exited; `None` while it has not.
    #[serde(rename = "Motivo", default)]
    pub exit_reason: Option<ExitReason>,
}

/// The state of a task on a machine.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskState {
    /// The image is being pulled.
    Pulling,
    /// The task is running.
    Running,
    /// The task was told to stop and is making a checkpoint.
    #[serde(rename = "saving")]
    Checkpointing,
    /// The task has exited; the worker reports it until a command reaps it.
    Exited,
}

/// Why a task exited.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ExitReason {
    /// The task is done.
    Done,
    /// A command halted the task.
    Stopped,
    /// The task failed; the usual cause is a faulty machine.
    Error,
    /// The start was rejected: the machine lacked free resources.
    Full,
    /// The start was rejected: another attempt of the task was on the machine.
    InUse,
    /// The start was rejected: the job is unknown.
    Unknown,
}

/// The error for an invalid heartbeat. Its text is sent in the response.
#[derive(Debug, thiserror::Error)]
pub enum InvalidHeartbeat {
    /// The body is not JSON, or a field is missing or of the wrong type.
    #[error(transparent)]
    Malformed(#[from] serde_json::Error),
    /// The named field is out of range: incarnations and attempts start at 1, and task indices are
    /// below [`MAX_TASKS`](super::user::MAX_TASKS).
    #[error("{0} is out of range")]
    OutOfRange(&'static str),
}

impl Heartbeat {
    /// Parses and validates a heartbeat.
    ///
    /// # Errors
    /// If the body is malformed or a field is out of range.
    pub fn parse(body: &[u8]) -> Result<Heartbeat, InvalidHeartbeat> {
        let heartbeat: Heartbeat = serde_json::from_slice(body)?;
        if heartbeat.incarnation == AgentIncarnation(0) {
            return Err(InvalidHeartbeat::OutOfRange("Jornada"));
        }
        if heartbeat.tasks.iter().any(|t| t.attempt == Attempt(0)) {
            return Err(InvalidHeartbeat::OutOfRange("Tentativa"));
        }
        let is_out_of_range = |t: &TaskStatus| u64::from(t.task.task.0) >= super::user::MAX_TASKS;
        if heartbeat.tasks.iter().any(is_out_of_range) {
            return Err(InvalidHeartbeat::OutOfRange("Tarefa"));
        }
        Ok(heartbeat)
    }
}

/// A task of a job, `<job>/<task>` on the wire.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Deserialize, Serialize)]
#[serde(try_from = "String", into = "String")]
pub struct TaskRef {
    /// ID of the job.
    pub job: JobId,
    /// The task's index within the job.
    pub task: TaskIndex,
}

/// The error for a text that does not have the form `<job>/<task>`.
#[derive(Clone, Copy, PartialEq, Eq, Debug, thiserror::Error)]
#[error("a task has the form job/number")]
pub struct InvalidTaskRef;

impl TryFrom<String> for TaskRef {
    type Error = InvalidTaskRef;

    fn try_from(text: String) -> Result<Self, InvalidTaskRef> {
        let (job, task) = text.rsplit_once('/').ok_or(InvalidTaskRef)?;
        Ok(TaskRef {
            job: JobId::new(job),
            task: TaskIndex(task.parse().map_err(|_| InvalidTaskRef)?),
        })
    }
}

impl From<TaskRef> for String {
    fn from(task: TaskRef) -> String {
        format!("{}/{}", task.job, task.task)
    }
}

/// A command to a worker, sent in the response to a heartbeat.
#[derive(Clone, PartialEq, Debug, Serialize)]
#[serde(tag = "Ordem", rename_all = "snake_case")]
pub enum Command {
    /// Start a task.
    Run {
        /// The task to start.
        #[serde(rename = "Tarefa")]
        task: TaskRef,
        /// The attempt to start.
        #[serde(rename = "Tentativa")]
        attempt: Attempt,
    },
    /// Stop a task.
    Halt {
        /// The task to stop.
        #[serde(rename = "Tarefa")]
        task: TaskRef,
        /// The attempt to stop.
        #[serde(rename = "Tentativa")]
        attempt: Attempt,
        /// Grace period for a checkpoint, in seconds; 0 means no checkpoint.
        #[serde(rename = "FolgaS")]
        grace_s: f64,
    },
    /// Stop reporting a task that has exited.
    Reap {
        /// The exited task.
        #[serde(rename = "Tarefa")]
        task: TaskRef,
        /// The exited attempt.
        #[serde(rename = "Tentativa")]
        attempt: Attempt,
    },
}

/// The response to a heartbeat.
#[derive(Clone, PartialEq, Debug, Serialize)]
pub struct HeartbeatResponse {
    /// The fencing token of the shard leader that responds.
    #[serde(rename = "Selo")]
    pub fencing_token: FencingToken,
    /// Commands that the worker must carry out.
    #[serde(rename = "Ordens")]
    pub commands: Vec<Command>,
}

#[derive(Serialize)]
struct Redirect<'a> {
    #[serde(rename = "RespondeA", skip_serializing_if = "Option::is_none")]
    shard_leader: Option<&'a str>,
}

/// Builds the body of a response that redirects a worker to its shard leader's address, if known.
#[must_use]
pub fn redirect_body(shard_leader: Option<&str>) -> Vec<u8> {
    serde_json::to_vec(&Redirect { shard_leader }).unwrap_or_default()
}
