//! The user protocol: job submissions and the bodies of responses.
//!
//! Names on the wire and the terms used in this code base:
//!
//! | on the wire | term |
//! | --- | --- |
//! | `Ref` | job |
//! | `Estado` | state of a job |
//! | `Lote` | class |
//! | `Cuadrilla` | team |
//! | `Feitio` (`batch`, `standing`) | [`JobKind`] (batch, service) |
//! | `Precedencia` | [`Priority`] |
//! | `Tarefas` | number of tasks |
//! | `Cpus`, `Gpus`, `MemGb` | [`Resources`] of a task |
//! | `Matriz`, `PullGb` | container image, gigabytes to pull |
//! | `Modelos` | allowed machine types |
//! | `Parcela` | zone |
//! | `Together` | gang: all tasks in one zone |
//! | `Apart` | spread: at most half of the tasks in one zone |
//! | `Avulsas` | whether spot instances may be used |
//! | `PrevisaoS` | estimated run time of a task, in seconds |
//! | `MarcoS` | checkpoint interval, in seconds |
//! | `GuardaS` | checkpoint duration, in seconds |
//! | `PrazoS` | deadline, in seconds |
//! | `Aguarda` | dependencies |

use crate::ids::{JobId, Team};
use crate::records::{JobKind, JobSpec, JobState, Priority, Resources};
use serde_json::{Map, Value, json};

/// Maximum number of tasks of a job.
pub const MAX_TASKS: u64 = 100_000;
/// Maximum bytes of a string in a submission.
const MAX_TEXT_BYTES: usize = 200;
/// Maximum letters before the dash of a job's ID.
const MAX_JOB_LETTERS: usize = 32;
/// Maximum digits after the dash of a job's ID.
const MAX_JOB_DIGITS: usize = 20;

/// Names of the JSON fields on the wire.
mod field {
    pub(super) const BODY: &str = "body";
    pub(super) const JOB: &str = "Ref";
    pub(super) const STATE: &str = "Estado";
    pub(super) const CLASS: &str = "Lote";
    pub(super) const TEAM: &str = "Cuadrilla";
    pub(super) const KIND: &str = "Feitio";
    pub(super) const PRIORITY: &str = "Precedencia";
    pub(super) const TASKS: &str = "Tarefas";
    pub(super) const CPUS: &str = "Cpus";
    pub(super) const GPUS: &str = "Gpus";
    pub(super) const MEMORY_GB: &str = "MemGb";
    pub(super) const IMAGE: &str = "Matriz";
    pub(super) const PULL_GB: &str = "PullGb";
    pub(super) const MACHINE_TYPES: &str = "Modelos";
    pub(super) const ZONE: &str = "Parcela";
    pub(super) const GANG: &str = "Together";
    pub(super) const SPREAD: &str = "Apart";
    pub(super) const SPOT: &str = "Avulsas";
    pub(super) const ESTIMATE_S: &str = "PrevisaoS";
    pub(super) const CHECKPOINT_INTERVAL_S: &str = "MarcoS";
    pub(super) const CHECKPOINT_DURATION_S: &str = "GuardaS";
    pub(super) const DEADLINE_S: &str = "PrazoS";
    pub(super) const DEPENDENCIES: &str = "Aguarda";
}

/// The error for a missing or invalid field of a submission. Its text is sent in the response.
#[derive(Clone, Copy, PartialEq, Eq, Debug, thiserror::Error)]
#[error("{field}: {reason}")]
pub struct InvalidField {
    /// The field's name on the wire.
    pub field: &'static str,
    /// Why the field is rejected, completing a sentence that begins with its name.
    pub reason: &'static str,
}

impl InvalidField {
    const fn new(field: &'static str, reason: &'static str) -> InvalidField {
        InvalidField { field, reason }
    }
}

/// Whether `text` has the form of a job's ID: 1 to 32 lower-case letters, a dash, 1 to 20 digits.
#[must_use]
pub fn is_job_id(text: &str) -> bool {
    let Some((letters, digits)) = text.split_once('-') else {
        return false;
    };
    (1..=MAX_JOB_LETTERS).contains(&letters.len())
        && letters.bytes().all(|b| b.is_ascii_lowercase())
        && (1..=MAX_JOB_DIGITS).contains(&digits.len())
        && digits.bytes().all(|b| b.is_ascii_digit())
}

/// The fields of a submission, by name.
struct Fields(Map<String, Value>);

impl Fields {
    fn parse(body: &[u8]) -> Result<Fields, InvalidField> {
        let value: Value = serde_json::from_slice(body)
            .map_err(|_| InvalidField::new(field::BODY, "is not JSON"))?;
        match value {
            Value::Object(map) => Ok(Fields(map)),
            _ => Err(InvalidField::new(field::BODY, "must be an object")),
        }
    }

    /// Returns a field's value, unless it is missing or null.
    fn optional(&self, field: &'static str) -> Option<&Value> {
        self.0.get(field).filter(|value| !value.is_null())
    }

    fn required(&self, field: &'static str) -> Result<&Value, InvalidField> {
        self.optional(field)
            .ok_or(InvalidField::new(field, "is missing"))
    }

    fn text(&self, field: &'static str) -> Result<&str, InvalidField> {
        let text = self
            .required(field)?
            .as_str()
            .ok_or(InvalidField::new(field, "must be a string"))?;
        if text.is_empty() || text.len() > MAX_TEXT_BYTES {
            return Err(InvalidField::new(field, "must have 1 to 200 bytes"));
        }
        Ok(text)
    }

    fn amount(&self, field: &'static str) -> Result<f64, InvalidField> {
        match self.required(field)?.as_f64() {
            Some(amount) if amount.is_finite() && amount >= 0.0 => Ok(amount),
            _ => Err(InvalidField::new(
                field,
                "must be a number that is finite and not negative",
            )),
        }
    }

    fn flag(&self, field: &'static str) -> Result<bool, InvalidField> {
        self.required(field)?
            .as_bool()
            .ok_or(InvalidField::new(field, "must be true or false"))
    }

    fn job(&self) -> Result<JobId, InvalidField> {
        let job = self.text(field::JOB)?;
        if !is_job_id(job) {
            return Err(InvalidField::new(
                field::JOB,
                "must be letters, a dash and digits",
            ));
        }
        Ok(JobId::new(job))
    }

    fn kind(&self) -> Result<JobKind, InvalidField> {
        self.text(field::KIND)?
            .parse()
            .map_err(|_| InvalidField::new(field::KIND, "must be batch or standing"))
    }

    fn priority(&self) -> Result<Priority, InvalidField> {
        self.text(field::PRIORITY)?
            .parse()
            .map_err(|_| InvalidField::new(field::PRIORITY, "must be prod, high, normal or idle"))
    }

    fn tasks(&self) -> Result<u32, InvalidField> {
        match self.required(field::TASKS)?.as_u64() {
            Some(tasks) if (1..=MAX_TASKS).contains(&tasks) => Ok(tasks as u32),
            _ => Err(InvalidField::new(
                field::TASKS,
                "must be an integer from 1 to 100000",
            )),
        }
    }

    fn machine_types(&self) -> Result<Option<Vec<String>>, InvalidField> {
        const INVALID: InvalidField =
            InvalidField::new(field::MACHINE_TYPES, "must be a list of strings or null");
        let Some(value) = self.optional(field::MACHINE_TYPES) else {
            return Ok(None);
        };
        let list = value.as_array().ok_or(INVALID)?;
        let names: Option<Vec<String>> = list
            .iter()
            .map(|name| name.as_str().map(str::to_string))
            .collect();
        names.map(Some).ok_or(INVALID)
    }

    fn zone(&self) -> Result<Option<String>, InvalidField> {
        match self.optional(field::ZONE) {
            None => Ok(None),
            Some(_) => Ok(Some(self.text(field::ZONE)?.to_string())),
        }
    }

    fn deadline_s(&self) -> Result<Option<f64>, InvalidField> {
        match self.optional(field::DEADLINE_S) {
            None => Ok(None),
            Some(_) => self.amount(field::DEADLINE_S).map(Some),
        }
    }

    /// Parses the dependencies; the result is sorted and free of duplicates.
    fn dependencies(&self) -> Result<Vec<JobId>, InvalidField> {
        const INVALID: InvalidField =
            InvalidField::new(field::DEPENDENCIES, "must be a list of job ids or null");
        let Some(list) = self.optional(field::DEPENDENCIES) else {
            return Ok(Vec::new());
        };
        let jobs = list.as_array().ok_or(INVALID)?.iter().map(|value| {
            let job = value.as_str().filter(|job| is_job_id(job));
            job.map(JobId::new).ok_or(INVALID)
        });
        let mut jobs = jobs.collect::<Result<Vec<JobId>, InvalidField>>()?;
        jobs.sort();
        jobs.dedup();
        Ok(jobs)
    }

    /// Parses the job's description. The first invalid field in the order of parsing is reported.
    fn spec(&self) -> Result<JobSpec, InvalidField> {
        let kind = self.kind()?;
        let priority = self.priority()?;
        let tasks = self.tasks()?;
        let types = self.machine_types()?;
        let zone = self.zone()?;
        let deadline_s = self.deadline_s()?;
        Ok(JobSpec {
            class: self.text(field::CLASS)?.to_string(),
            team: Team::new(self.text(field::TEAM)?),
            kind,
            priority,
            tasks,
            resources: Resources {
                cpus: self.amount(field::CPUS)?,
                gpus: self.amount(field::GPUS)?,
                mem: self.amount(field::MEMORY_GB)?,
            },
            image: self.text(field::IMAGE)?.to_string(),
            pull_gb: self.amount(field::PULL_GB)?,
            types,
            zone,
            gang: self.flag(field::GANG)?,
            spread: self.flag(field::SPREAD)?,
            spot: self.flag(field::SPOT)?,
            estimate_s: self.amount(field::ESTIMATE_S)?,
            checkpoint_interval_s: self.amount(field::CHECKPOINT_INTERVAL_S)?,
            checkpoint_duration_s: self.amount(field::CHECKPOINT_DURATION_S)?,
            deadline_s,
        })
    }
}

/// A job submitted by its user.
#[derive(Clone, PartialEq, Debug)]
pub struct Submission {
    /// The ID of the job.
    pub job: JobId,
    /// The description of the job.
    pub spec: JobSpec,
    /// Jobs that must be done first, sorted and free of duplicates.
    pub dependencies: Vec<JobId>,
}

/// Returns the job that a submission names, even if other fields are missing or invalid.
#[must_use]
pub fn submitted_job(body: &[u8]) -> Option<JobId> {
    let value: Value = serde_json::from_slice(body).ok()?;
    let job = value
        .get(field::JOB)?
        .as_str()
        .filter(|job| is_job_id(job))?;
    Some(JobId::new(job))
}

/// Parses a submission.
///
/// # Errors
/// The first field, in the order of parsing, that is missing or invalid.
pub fn parse_submission(body: &[u8]) -> Result<Submission, InvalidField> {
    let fields = Fields::parse(body)?;
    Ok(Submission {
        job: fields.job()?,
        spec: fields.spec()?,
        dependencies: fields.dependencies()?,
    })
}

/// Builds the body of a submission, the inverse of [`parse_submission`].
#[must_use]
pub fn submission_body(submission: &Submission) -> Value {
    let spec = &submission.spec;
    json!({
        (field::JOB): submission.job.as_str(),
        (field::CLASS): spec.class,
        (field::TEAM): spec.team.as_str(),
        (field::KIND): spec.kind.to_string(),
        (field::PRIORITY): spec.priority.to_string(),
        (field::TASKS): spec.tasks,
        (field::CPUS): spec.resources.cpus,
        (field::GPUS): spec.resources.gpus,
        (field::MEMORY_GB): spec.resources.mem,
        (field::IMAGE): spec.image,
        (field::PULL_GB): spec.pull_gb,
        (field::MACHINE_TYPES): spec.types,
        (field::ZONE): spec.zone,
        (field::GANG): spec.gang,
        (field::SPREAD): spec.spread,
        (field::SPOT): spec.spot,
        (field::ESTIMATE_S): spec.estimate_s,
        (field::CHECKPOINT_INTERVAL_S): spec.checkpoint_interval_s,
        (field::CHECKPOINT_DURATION_S): spec.checkpoint_duration_s,
        (field::DEADLINE_S): spec.deadline_s,
        (field::DEPENDENCIES): submission.dependencies,
    })
}

/// Returns the name of a job's state in responses to users.
#[must_use]
pub fn job_state_label(state: JobState, running_tasks: u32) -> &'static str {
    match state {
        JobState::Done => "done",
        JobState::Cancelled => "aborted",
        JobState::Open if running_tasks > 0 => "running",
        JobState::Open => "queued",
    }
}

/// Builds the body of a response with the state of a job.
#[must_use]
pub fn job_state_body(job: &JobId, state: &str) -> Vec<u8> {
    json!({(field::JOB): job.as_str(), (field::STATE): state})
        .to_string()
        .into_bytes()
}

/// Builds the body of a response with the state of a job and its numbers of finished and running
/// tasks.
#[must_use]
pub fn job_status_body(job: &JobId, state: &str, finished: u32, running: u32) -> Vec<u8> {
    json!({
        (field::JOB): job.as_str(),
        (field::STATE): state,
        "done": finished,
        "running": running,
    })
    .to_string()
    .into_bytes()
}

/// Builds the body of an error response.
#[must_use]
pub fn error_body(text: &str) -> Vec<u8> {
    json!({"error": text}).to_string().into_bytes()
}
