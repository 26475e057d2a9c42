//! Users: submit, read and cancel jobs.

use crate::ids::{JobId, Team};
use crate::records::{JobKind, JobSpec, JobState, Priority, Resources};
use serde_json::{Map, Value, json};

/// Most tasks that one job may have.
pub const MAX_TASKS: u64 = 100_000;

#[derive(Clone, Copy, PartialEq, Eq, Debug, thiserror::Error)]
#[error("{field}: {why}")]
pub struct BadField {
    pub field: &'static str,
    pub why: &'static str,
}

/// Whether `text` has the form of a job's name: lower-case letters, a dash, digits.
pub fn is_job_id(text: &str) -> bool {
    let Some((word, number)) = text.split_once('-') else {
        return false;
    };
    (1..=32).contains(&word.len())
        && word.bytes().all(|b| b.is_ascii_lowercase())
        && (1..=20).contains(&number.len())
        && number.bytes().all(|b| b.is_ascii_digit())
}

struct Fields(Map<String, Value>);

impl Fields {
    fn present(&self, field: &'static str) -> Option<&Value> {
        self.0.get(field).filter(|v| !v.is_null())
    }
    fn required(&self, field: &'static str) -> Result<&Value, BadField> {
        self.present(field).ok_or(BadField {
            field,
            why: "is missing",
        })
    }
    fn text(&self, field: &'static str) -> Result<&str, BadField> {
        let text = self.required(field)?.as_str().ok_or(BadField {
            field,
            why: "must be a string",
        })?;
        if text.is_empty() || text.len() > 200 {
            return Err(BadField {
                field,
                why: "must have 1 to 200 bytes",
            });
        }
        Ok(text)
    }
    fn amount_of(field: &'static str, value: &Value) -> Result<f64, BadField> {
        match value.as_f64() {
            Some(x) if x.is_finite() && x >= 0.0 => Ok(x),
            _ => Err(BadField {
                field,
                why: "must be a number that is finite and not negative",
            }),
        }
    }
    fn amount(&self, field: &'static str) -> Result<f64, BadField> {
        Self::amount_of(field, self.required(field)?)
    }
    fn flag(&self, field: &'static str) -> Result<bool, BadField> {
        self.required(field)?.as_bool().ok_or(BadField {
            field,
            why: "must be true or false",
        })
    }
}

/// What a user submits.
#[derive(Clone, PartialEq, Debug)]
pub struct Submission {
    pub job: JobId,
    pub spec: JobSpec,
    /// Jobs that must be done first, each once, sorted.
    pub dependencies: Vec<JobId>,
}

/// The jobs that a submission names as needed.
fn dependencies(f: &Fields) -> Result<Vec<JobId>, BadField> {
    const WHY: BadField = BadField {
        field: "Aguarda",
        why: "must be a list of job ids or null",
    };
    let Some(list) = f.present("Aguarda") else {
        return Ok(Vec::new());
    };
    let names = list.as_array().ok_or(WHY)?.iter().map(|v| {
        let id = v.as_str().filter(|id| is_job_id(id));
        id.map(JobId::new).ok_or(WHY)
    });
    let mut names = names.collect::<Result<Vec<JobId>, BadField>>()?;
    names.sort();
    names.dedup();
    Ok(names)
}

/// The job that a submission names, whatever else is wrong with it.
pub fn named(body: &[u8]) -> Option<JobId> {
    let value: Value = serde_json::from_slice(body).ok()?;
    let id = value.get("Ref")?.as_str().filter(|id| is_job_id(id))?;
    Some(JobId::new(id))
}

/// Reads a submission; the error names the field that is wrong.
pub fn parse_submission(body: &[u8]) -> Result<Submission, BadField> {
    let value: Value = serde_json::from_slice(body).map_err(|_| BadField {
        field: "body",
        why: "is not JSON",
    })?;
    let Value::Object(map) = value else {
        return Err(BadField {
            field: "body",
            why: "must be an object",
        });
    };
    let f = Fields(map);
    let id = f.text("Ref")?;
    if !is_job_id(id) {
        return Err(BadField {
            field: "Ref",
            why: "must be letters, a dash and digits",
        });
    }
    let kind = match f.text("Feitio")? {
        "batch" => JobKind::Batch,
        "standing" => JobKind::Service,
        _ => {
            return Err(BadField {
                field: "Feitio",
                why: "must be batch or standing",
            });
        }
    };
    let priority = match f.text("Precedencia")? {
        "prod" => Priority::Prod,
        "high" => Priority::High,
        "normal" => Priority::Normal,
        "idle" => Priority::Idle,
        _ => {
            return Err(BadField {
                field: "Precedencia",
                why: "must be prod, high, normal or idle",
            });
        }
    };
    let tasks = match f.required("Tarefas")?.as_u64() {
        Some(n) if (1..=MAX_TASKS).contains(&n) => n as u32,
        _ => {
            return Err(BadField {
                field: "Tarefas",
                why: "must be an integer from 1 to 100000",
            });
        }
    };
    let types = match f.present("Modelos") {
        None => None,
        Some(list) => {
            const WHY: BadField = BadField {
                field: "Modelos",
                why: "must be a list of strings or null",
            };
            let list = list.as_array().ok_or(WHY)?;
            let names: Option<Vec<String>> = list
                .iter()
                .map(|v| v.as_str().map(str::to_string))
                .collect();
            Some(names.ok_or(WHY)?)
        }
    };
    let zone = match f.present("Parcela") {
        None => None,
        Some(_) => Some(f.text("Parcela")?.to_string()),
    };
    let deadline_s = match f.present("PrazoS") {
        None => None,
        Some(v) => Some(Fields::amount_of("PrazoS", v)?),
    };
    let spec = JobSpec {
        class: f.text("Lote")?.to_string(),
        team: Team::new(f.text("Cuadrilla")?),
        kind,
        priority,
        tasks,
        resources: Resources {
            cpus: f.amount("Cpus")?,
            gpus: f.amount("Gpus")?,
            mem: f.amount("MemGb")?,
        },
        image: f.text("Matriz")?.to_string(),
        pull_gb: f.amount("PullGb")?,
        types,
        zone,
        together: f.flag("Together")?,
        apart: f.flag("Apart")?,
        spot: f.flag("Avulsas")?,
        estimate_s: f.amount("PrevisaoS")?,
        checkpoint_s: f.amount("MarcoS")?,
        save_s: f.amount("GuardaS")?,
        deadline_s,
    };
    Ok(Submission {
        job: JobId::new(id),
        spec,
        dependencies: dependencies(&f)?,
    })
}

/// A submission as its user sends it: what `parse_submission` reads.
pub fn submission_body(submission: &Submission) -> Value {
    let spec = &submission.spec;
    let kind = match spec.kind {
        JobKind::Batch => "batch",
        JobKind::Service => "standing",
    };
    let priority = match spec.priority {
        Priority::Prod => "prod",
        Priority::High => "high",
        Priority::Normal => "normal",
        Priority::Idle => "idle",
    };
    json!({
        "Ref": submission.job.as_str(),
        "Lote": spec.class,
        "Cuadrilla": spec.team.as_str(),
        "Feitio": kind,
        "Precedencia": priority,
        "Tarefas": spec.tasks,
        "Cpus": spec.resources.cpus,
        "Gpus": spec.resources.gpus,
        "MemGb": spec.resources.mem,
        "Matriz": spec.image,
        "PullGb": spec.pull_gb,
        "Modelos": spec.types,
        "Parcela": spec.zone,
        "Together": spec.together,
        "Apart": spec.apart,
        "Avulsas": spec.spot,
        "PrevisaoS": spec.estimate_s,
        "MarcoS": spec.checkpoint_s,
        "GuardaS": spec.save_s,
        "PrazoS": spec.deadline_s,
        "Aguarda": submission.dependencies,
    })
}

/// The word a user reads for a job's state.
pub fn state_word(state: JobState, running: u32) -> &'static str {
    match state {
        JobState::Done => "done",
        JobState::Cancelled => "aborted",
        JobState::Open if running > 0 => "running",
        JobState::Open => "queued",
    }
}

pub fn brief(job: &JobId, word: &str) -> Vec<u8> {
    json!({"Ref": job.as_str(), "Estado": word})
        .to_string()
        .into_bytes()
}

pub fn full(job: &JobId, word: &str, done: u32, running: u32) -> Vec<u8> {
    json!({"Ref": job.as_str(), "Estado": word, "done": done, "running": running})
        .to_string()
        .into_bytes()
}

pub fn error(text: &str) -> Vec<u8> {
    json!({"error": text}).to_string().into_bytes()
}
