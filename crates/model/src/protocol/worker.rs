//! The workers' protocol: heartbeats in, commands out.
//!
//! The names on the wire, and what they are called here:
//!
//! | on the wire | here |
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

/// A worker's heartbeat, with its status.
#[derive(Clone, Debug, Deserialize)]
pub struct Heartbeat {
    /// The machine that the worker runs on.
    #[serde(rename = "Prensa")]
    pub machine: MachineId,
    /// Where the worker accepts direct requests.
    #[serde(rename = "Address", default)]
    pub address: Option<String>,
    /// The machine's type.
    #[serde(rename = "Modelo")]
    pub model: String,
    /// The machine's zone.
    #[serde(rename = "Parcela")]
    pub zone: String,
    /// Whether the machine is a spot instance.
    #[serde(rename = "Avulsas", default)]
    pub spot: bool,
    /// The worker's incarnation; a new one means that all earlier tasks are gone.
    #[serde(rename = "Jornada")]
    pub incarnation: AgentIncarnation,
    /// The heartbeat's number within the incarnation.
    #[serde(rename = "Contagem")]
    pub sequence: HeartbeatSequence,
    /// The highest fencing token that the worker has received.
    #[serde(rename = "Selo", default)]
    pub fencing_token: FencingToken,
    /// In how many seconds the cloud interrupts the machine, if it has announced that.
    #[serde(rename = "AvisoS", default)]
    pub notice_s: Option<f64>,
    /// The tasks on the machine.
    #[serde(rename = "Tarefas", default)]
    pub tasks: Vec<TaskStatus>,
}

/// The status of one task on a machine.
#[derive(Clone, Debug, Deserialize)]
pub struct TaskStatus {
    /// The task.
    #[serde(rename = "Tarefa")]
    pub task: TaskRef,
    /// Its attempt.
    #[serde(rename = "Tentativa")]
    pub attempt: Attempt,
    /// Its state.
    #[serde(rename = "Estado")]
    pub state: TaskState,
    /// Why it has exited, if it has.
    #[serde(rename = "Motivo", default)]
    pub exit_reason: Option<ExitReason>,
}

/// The state of a task on a machine.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskState {
    /// Its image is being pulled.
    Pulling,
    /// It runs.
    Running,
    /// It has been told to stop and makes a checkpoint.
    #[serde(rename = "saving")]
    Checkpointing,
    /// It has exited; its entry remains until it is reaped.
    Exited,
}

/// Why a task has exited.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ExitReason {
    /// It is done.
    Done,
    /// It was halted.
    Stopped,
    /// It failed, mostly because the machine is faulty.
    Error,
    /// The start was refused: the machine had not enough free resources.
    Full,
    /// The start was refused: another attempt of the task was on the machine.
    InUse,
    /// The start was refused: the job is not known.
    Unknown,
}

/// Why a body is not a worker's heartbeat. Its text is part of the response.
#[derive(Debug, thiserror::Error)]
pub enum InvalidHeartbeat {
    /// It is not JSON, or a field is missing or of the wrong type.
    #[error(transparent)]
    Malformed(#[from] serde_json::Error),
    /// A field's number is out of range: incarnations and attempts begin at 1; tasks are numbered below
    /// [`MAX_TASKS`](super::user::MAX_TASKS).
    #[error("{0} is out of range")]
    OutOfRange(&'static str),
}

impl Heartbeat {
    /// Parses a heartbeat.
    ///
    /// # Errors
    /// If the body is malformed or a number is out of range.
    pub fn parse(body: &[u8]) -> Result<Heartbeat, InvalidHeartbeat> {
        let heartbeat: Heartbeat = serde_json::from_slice(body)?;
        if heartbeat.incarnation == AgentIncarnation(0) {
            return Err(InvalidHeartbeat::OutOfRange("Jornada"));
        }
        if heartbeat.tasks.iter().any(|t| t.attempt == Attempt(0)) {
            return Err(InvalidHeartbeat::OutOfRange("Tentativa"));
        }
        let is_beyond = |t: &TaskStatus| u64::from(t.task.task.0) >= super::user::MAX_TASKS;
        if heartbeat.tasks.iter().any(is_beyond) {
            return Err(InvalidHeartbeat::OutOfRange("Tarefa"));
        }
        Ok(heartbeat)
    }
}

/// A task of a job, on the wire `<job>/<task>`.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Deserialize, Serialize)]
#[serde(try_from = "String", into = "String")]
pub struct TaskRef {
    /// The job.
    pub job: JobId,
    /// The task's number within the job.
    pub task: TaskIndex,
}

/// A text that does not name a task.
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

/// A command to a worker.
#[derive(Clone, PartialEq, Debug, Serialize)]
#[serde(tag = "Ordem", rename_all = "snake_case")]
pub enum Command {
    /// Start a task.
    Run {
        /// The task.
        #[serde(rename = "Tarefa")]
        task: TaskRef,
        /// Its attempt.
        #[serde(rename = "Tentativa")]
        attempt: Attempt,
    },
    /// Stop a task.
    Halt {
        /// The task.
        #[serde(rename = "Tarefa")]
        task: TaskRef,
        /// Its attempt.
        #[serde(rename = "Tentativa")]
        attempt: Attempt,
        /// Seconds that it has for a checkpoint; 0: none.
        #[serde(rename = "FolgaS")]
        grace_s: f64,
    },
    /// Remove the entry of a task that has exited.
    Reap {
        /// The task.
        #[serde(rename = "Tarefa")]
        task: TaskRef,
        /// Its attempt.
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
    /// What the worker is to do.
    #[serde(rename = "Ordens")]
    pub commands: Vec<Command>,
}

#[derive(Serialize)]
struct Redirect<'a> {
    #[serde(rename = "RespondeA", skip_serializing_if = "Option::is_none")]
    shard_leader: Option<&'a str>,
}

/// The body of a response that redirects a worker to the leader of its shard, if that is known.
#[must_use]
pub fn redirect_body(shard_leader: Option<&str>) -> Vec<u8> {
    serde_json::to_vec(&Redirect { shard_leader }).unwrap_or_default()
}
