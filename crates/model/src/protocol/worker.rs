//! Workers: reports in, commands out.

use crate::ids::{
    AgentIncarnation, Attempt, FencingToken, HeartbeatSequence, JobId, MachineId, TaskIndex,
};
use serde::{Deserialize, Serialize};

#[derive(Clone, Debug, Deserialize)]
pub struct Heartbeat {
    #[serde(rename = "Prensa")]
    pub machine: MachineId,
    /// Where it takes direct requests.
    #[serde(rename = "Address", default)]
    pub address: Option<String>,
    #[serde(rename = "Modelo")]
    pub model: String,
    #[serde(rename = "Parcela")]
    pub zone: String,
    #[serde(rename = "Avulsas", default)]
    pub spot: bool,
    #[serde(rename = "Jornada")]
    pub incarnation: AgentIncarnation,
    #[serde(rename = "Contagem")]
    pub sequence: HeartbeatSequence,
    #[serde(rename = "Selo", default)]
    pub fencing_token: FencingToken,
    #[serde(rename = "AvisoS", default)]
    pub notice_s: Option<f64>,
    #[serde(rename = "Tarefas", default)]
    pub tasks: Vec<TaskStatus>,
}

#[derive(Clone, Debug, Deserialize)]
pub struct TaskStatus {
    #[serde(rename = "Tarefa")]
    pub task: TaskRef,
    #[serde(rename = "Tentativa")]
    pub attempt: Attempt,
    #[serde(rename = "Estado")]
    pub state: TaskState,
    #[serde(rename = "Motivo", default)]
    pub why: Option<ExitReason>,
}

#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskState {
    Pulling,
    Running,
    #[serde(rename = "saving")]
    Checkpointing,
    Exited,
}

#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ExitReason {
    Done,
    Stopped,
    Error,
    Full,
    InUse,
    Unknown,
}

/// Why a report cannot be a worker's.
#[derive(Debug)]
pub enum InvalidHeartbeat {
    Malformed(serde_json::Error),
    /// Sessions and attempts begin at 1; tasks are numbered below what a job may have.
    Range(&'static str),
}

impl std::fmt::Display for InvalidHeartbeat {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            InvalidHeartbeat::Malformed(error) => error.fmt(f),
            InvalidHeartbeat::Range(field) => write!(f, "{field} is out of range"),
        }
    }
}

impl Heartbeat {
    pub fn parse(body: &[u8]) -> Result<Heartbeat, InvalidHeartbeat> {
        let report: Heartbeat =
            serde_json::from_slice(body).map_err(InvalidHeartbeat::Malformed)?;
        if report.incarnation == AgentIncarnation(0) {
            return Err(InvalidHeartbeat::Range("Jornada"));
        }
        if report.tasks.iter().any(|t| t.attempt == Attempt(0)) {
            return Err(InvalidHeartbeat::Range("Tentativa"));
        }
        let beyond = |t: &TaskStatus| u64::from(t.task.task.0) >= super::user::MAX_TASKS;
        if report.tasks.iter().any(beyond) {
            return Err(InvalidHeartbeat::Range("Tarefa"));
        }
        Ok(report)
    }
}

/// `wk-000412/3`.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Deserialize, Serialize)]
#[serde(try_from = "String", into = "String")]
pub struct TaskRef {
    pub job: JobId,
    pub task: TaskIndex,
}

impl TryFrom<String> for TaskRef {
    type Error = &'static str;
    fn try_from(text: String) -> Result<Self, Self::Error> {
        let (job, task) = text
            .rsplit_once('/')
            .ok_or("a task has the form job/number")?;
        Ok(TaskRef {
            job: JobId::new(job),
            task: TaskIndex(task.parse().map_err(|_| "a task has the form job/number")?),
        })
    }
}

impl From<TaskRef> for String {
    fn from(task: TaskRef) -> String {
        format!("{}/{}", task.job, task.task)
    }
}

#[derive(Clone, PartialEq, Debug, Serialize)]
#[serde(tag = "Ordem", rename_all = "snake_case")]
pub enum Command {
    Run {
        #[serde(rename = "Tarefa")]
        task: TaskRef,
        #[serde(rename = "Tentativa")]
        attempt: Attempt,
    },
    Halt {
        #[serde(rename = "Tarefa")]
        task: TaskRef,
        #[serde(rename = "Tentativa")]
        attempt: Attempt,
        #[serde(rename = "FolgaS")]
        grace_s: f64,
    },
    Reap {
        #[serde(rename = "Tarefa")]
        task: TaskRef,
        #[serde(rename = "Tentativa")]
        attempt: Attempt,
    },
}

#[derive(Clone, PartialEq, Debug, Serialize)]
pub struct HeartbeatResponse {
    #[serde(rename = "Selo")]
    pub fencing_token: FencingToken,
    #[serde(rename = "Ordens")]
    pub commands: Vec<Command>,
}

#[derive(Serialize)]
struct Redirect<'a> {
    #[serde(rename = "RespondeA", skip_serializing_if = "Option::is_none")]
    owner: Option<&'a str>,
}

pub fn redirect(owner: Option<&str>) -> Vec<u8> {
    serde_json::to_vec(&Redirect { owner }).unwrap_or_default()
}
