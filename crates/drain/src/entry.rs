//! Drains: operators' requests with their validation, and the stored records.

use garde::Validate;
use jiff::Timestamp;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use snowshelf_calendar::entry::{Malformed, Name, format_time};
use snowshelf_model::ids::{MachineId, WallClockMillis};
use std::collections::BTreeMap;

/// Most machines that a drain may name: its record is one small value.
pub const MAX_NAMED_MACHINES: usize = 48;
/// Most machines in one step, for the same reason. Steps are smaller where the key-value store accepts only
/// smaller values.
pub const MAX_STEP_MACHINES: u32 = 100;

/// What becomes of a machine once it is empty.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Then {
    /// It stays, empty, until the drain is cancelled.
    Keep,
    Return,
    /// Returned, once what it gives up has come up elsewhere.
    Replace,
}

/// What is done with what is left at the time by which a drain must be over.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Late {
    /// Nothing more is emptied.
    #[default]
    GiveUp,
    /// It is stopped whatever the budgets say; the breach is counted and logged.
    Force,
}

/// A drain as an operator asks for it.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize, Validate, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct DrainRequest {
    #[garde(custom(validate_name))]
    pub name: String,
    /// The machines by name; or, without them, all that meet the other conditions.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[garde(length(max = 48), inner(length(min = 1, max = 100)))]
    pub machines: Vec<String>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[garde(inner(length(min = 1, max = 100)))]
    pub zone: Option<String>,
    #[serde(rename = "type", default, skip_serializing_if = "Option::is_none")]
    #[garde(inner(length(min = 1, max = 100)))]
    pub model: Option<String>,
    /// Only cheap machines, which may be taken back, or only the others.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[garde(skip)]
    pub spot: Option<bool>,
    /// Only machines rented before this time; none: before the drain was asked for.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[garde(skip)]
    #[schemars(with = "Option<String>")]
    pub older_than: Option<Timestamp>,
    /// Every machine there is: said on purpose, where nothing else chooses.
    #[serde(default)]
    #[garde(skip)]
    pub all: bool,
    #[garde(skip)]
    pub then: Then,
    /// Machines emptied at a time.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[garde(inner(range(min = 1, max = 100)))]
    pub at_once: Option<u32>,
    /// The same as a share of those concerned.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[garde(inner(range(min = 0.001, max = 1.0)))]
    pub share: Option<f64>,
    /// Machines of the first step, on which the rest depends; 0: no such step.
    #[serde(default = "default_canary")]
    #[garde(range(max = 100))]
    pub canary: u32,
    /// How long the first step's machines are watched before the next one, in seconds.
    #[serde(default = "default_watch_s")]
    #[garde(range(min = 0.0, max = 86400.0))]
    pub watch_s: f64,
    /// How long tasks are waited for at the most before they are stopped, in seconds.
    #[serde(default = "default_patience_s")]
    #[garde(range(min = 0.0, max = 604800.0))]
    pub patience_s: f64,
    /// Whether steps may hold machines of several zones.
    #[serde(default)]
    #[garde(skip)]
    pub any_zone: bool,
    /// When it must be over.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[garde(skip)]
    #[schemars(with = "Option<String>")]
    pub by: Option<Timestamp>,
    #[serde(default)]
    #[garde(skip)]
    pub late: Late,
    /// It is worked out what it would come to, and nothing done until it is resumed.
    #[serde(default)]
    #[garde(skip)]
    pub paused: bool,
}

fn default_canary() -> u32 {
    1
}
fn default_watch_s() -> f64 {
    30.0
}
fn default_patience_s() -> f64 {
    120.0
}

fn validate_name(text: &str, _: &()) -> garde::Result {
    match Name::parse(text) {
        Some(_) => Ok(()),
        None => Err(garde::Error::new(
            "must be 1 to 64 letters, digits, '.', '_' or '-', a letter or digit first",
        )),
    }
}

/// Selects the machines of a drain: those that meet all conditions.
#[derive(Clone, PartialEq, Eq, Debug, Default, Serialize, Deserialize)]
pub struct MachineSelector {
    /// Machines by name, sorted; empty if any name matches.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub machines: Vec<MachineId>,
    /// Only machines of this zone.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// Only machines of this type.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub model: Option<String>,
    /// Only spot instances, or only on-demand ones.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub spot: Option<bool>,
    /// Only machines that were rented before this time.
    pub older_than: WallClockMillis,
}

/// How a drain proceeds.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct DrainOptions {
    /// What becomes of a machine once it is empty.
    pub then: Then,
    /// Most machines in a step.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub at_once: Option<u32>,
    /// Most machines in a step, as a share of the selected ones; absent if `at_once` is set.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub share: Option<f64>,
    /// Most machines in the first step; 0 for no canary step.
    pub canary: u32,
    /// How long the machines of the canary step are watched before the next step, in milliseconds.
    pub watch_ms: u64,
    /// How long tasks may run on before they are evicted, in milliseconds.
    pub patience_ms: u64,
    /// Whether a step may have machines of several zones.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub any_zone: bool,
    /// The deadline.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub by: Option<WallClockMillis>,
    /// What happens at the deadline.
    #[serde(default)]
    pub late: Late,
}

/// The state of a drain.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Steps are taken.
    Running,
    /// Paused by an operator, until it is resumed.
    Paused,
    /// Stopped because a step failed, until an operator resumes it.
    Halted,
    /// All selected machines have been emptied.
    Done,
    /// Cancelled by an operator.
    Cancelled,
    /// Not finished by its deadline.
    GivenUp,
}

impl State {
    /// Whether the drain takes no further steps, whatever happens.
    pub fn has_ended(self) -> bool {
        matches!(self, State::Done | State::Cancelled | State::GivenUp)
    }

    /// The name that operators read.
    pub fn as_str(self) -> &'static str {
        match self {
            State::Running => "running",
            State::Paused => "paused",
            State::Halted => "halted",
            State::Done => "done",
            State::Cancelled => "cancelled",
            State::GivenUp => "given_up",
        }
    }
}

/// The stage of a step.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// The replacements start up; nothing is evicted yet.
    #[serde(rename = "bringing")]
    AwaitingReplacements,
    /// The machines are cordoned, and their tasks end or are evicted within the budgets.
    Emptying,
    /// The machines are cordoned, and their tasks are evicted even beyond the budgets.
    Forcing,
}

/// Machines that are emptied together.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct Step {
    /// The machines of the step, including those that are empty already.
    pub machines: Vec<MachineId>,
    /// The stage that all of them are at.
    pub stage: Stage,
    /// When the step entered its stage.
    pub since: WallClockMillis,
}

/// What remains of a drain, as of its last change.
#[derive(Clone, PartialEq, Debug, Default, Serialize, Deserialize)]
pub struct Plan {
    /// Machines still to be emptied.
    pub machines: u32,
    /// The same by zone.
    #[serde(rename = "zones", default, skip_serializing_if = "BTreeMap::is_empty")]
    pub machines_by_zone: BTreeMap<String, u32>,
    /// Steps still to be taken.
    pub steps: u32,
    /// CPUs of the tasks on these machines.
    #[serde(rename = "busy")]
    pub busy_cpus: f64,
    /// The longest time that the remaining steps take while no budget runs short, in milliseconds.
    #[serde(rename = "takes_ms")]
    pub max_duration_ms: u64,
}

/// A drain, stored under `drain/<name>`.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct Drain {
    /// The machines to be emptied.
    #[serde(rename = "which")]
    pub selector: MachineSelector,
    /// How the drain proceeds.
    #[serde(rename = "how")]
    pub options: DrainOptions,
    /// When the drain was requested.
    #[serde(rename = "asked")]
    pub requested_at: WallClockMillis,
    /// The state of the drain.
    pub state: State,
    /// The step in progress.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub step: Option<Step>,
    /// The step after that, whose replacements start up while the step in progress is emptied.
    #[serde(rename = "ahead", default, skip_serializing_if = "Option::is_none")]
    pub next_step: Option<Step>,
    /// Number of finished steps.
    #[serde(rename = "steps")]
    pub finished_steps: u32,
    /// Number of machines that the finished steps have emptied.
    #[serde(rename = "gone")]
    pub emptied_machines: u32,
    /// Emptied machines that stay cordoned.
    #[serde(rename = "kept", default, skip_serializing_if = "Vec::is_empty")]
    pub kept_machines: Vec<MachineId>,
    /// What remains as of the last step; absent until the leader has computed it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub plan: Option<Plan>,
    /// When the last step finished.
    #[serde(rename = "stepped", default, skip_serializing_if = "Option::is_none")]
    pub last_step_at: Option<WallClockMillis>,
    /// New machines that were rented from this time on are watched for failures.
    #[serde(rename = "watched")]
    pub watched_since: WallClockMillis,
    /// Why the drain was halted or given up.
    #[serde(rename = "why", default, skip_serializing_if = "Option::is_none")]
    pub reason: Option<String>,
}

/// Converts a time; times before 1970 are invalid.
fn wall_clock_millis(field: &str, at: Timestamp) -> Result<WallClockMillis, Malformed> {
    let ms = u64::try_from(at.as_millisecond());
    ms.map(WallClockMillis).map_err(|_| Malformed {
        field: field.to_string(),
        why: "lies before 1970".to_string(),
    })
}

fn malformed(field: &str, why: &str) -> Malformed {
    Malformed {
        field: field.to_string(),
        why: why.to_string(),
    }
}

/// Parses and validates a request for a drain, received at `now`.
pub fn parse_drain(body: &[u8], now: WallClockMillis) -> Result<(Name, Drain), Malformed> {
    let request: DrainRequest = snowshelf_calendar::entry::parse_body(body)?;
    request.to_drain(now)
}

impl DrainRequest {
    /// The record of a drain that is requested at `now`.
    pub fn to_drain(&self, now: WallClockMillis) -> Result<(Name, Drain), Malformed> {
        let name = Name::parse(&self.name).ok_or(malformed("name", "is no name"))?;
        let has_conditions = self.zone.is_some()
            || self.model.is_some()
            || self.spot.is_some()
            || self.older_than.is_some()
            || self.all;
        match (self.machines.is_empty(), has_conditions) {
            (true, false) => {
                let why = "names no machine and no condition; say all for every machine";
                return Err(malformed("machines", why));
            }
            (false, true) => {
                return Err(malformed("machines", "stands beside other conditions"));
            }
            _ => {}
        }
        if self.then == Then::Keep && self.machines.is_empty() {
            let why = "what is kept empty is named; a zone or a type is closed by a window";
            return Err(malformed("then", why));
        }
        if self.at_once.is_some() && self.share.is_some() {
            return Err(malformed("share", "stands beside at_once"));
        }
        let older_than = match self.older_than {
            Some(at) => wall_clock_millis("older_than", at)?,
            None => now,
        };
        let by = self.by.map(|at| wall_clock_millis("by", at)).transpose()?;
        if by.is_some_and(|by| by <= now) {
            return Err(malformed("by", "lies in the past"));
        }
        let mut machines: Vec<MachineId> =
            self.machines.iter().map(|m| MachineId::new(m)).collect();
        machines.sort();
        machines.dedup();
        let drain = Drain {
            selector: MachineSelector {
                machines,
                zone: self.zone.clone(),
                model: self.model.clone(),
                spot: self.spot,
                older_than,
            },
            options: DrainOptions {
                then: self.then,
                at_once: self.at_once,
                share: self.share,
                canary: self.canary,
                watch_ms: (self.watch_s * 1000.0) as u64,
                patience_ms: (self.patience_s * 1000.0) as u64,
                any_zone: self.any_zone,
                by,
                late: self.late,
            },
            requested_at: now,
            state: if self.paused {
                State::Paused
            } else {
                State::Running
            },
            step: None,
            next_step: None,
            finished_steps: 0,
            emptied_machines: 0,
            kept_machines: Vec::new(),
            plan: None,
            last_step_at: None,
            watched_since: now,
            reason: None,
        };
        Ok((name, drain))
    }
}

impl Drain {
    /// Whether another request asks for the same drain. A request that is repeated later without `older_than`
    /// is the same, though each defaults to its own time.
    pub fn is_same_request(&self, other: &Drain) -> bool {
        let same_time = self.selector.older_than == other.selector.older_than
            || (self.selector.older_than == self.requested_at
                && other.selector.older_than == other.requested_at);
        let selector = MachineSelector {
            older_than: self.selector.older_than,
            ..other.selector.clone()
        };
        same_time && self.selector == selector && self.options == other.options
    }

    /// Applies an operator's action; `None` if it changes nothing.
    ///
    /// # Errors
    /// The reason if the drain has ended and can no longer change.
    pub fn apply(
        &self,
        action: DrainAction,
        now: WallClockMillis,
    ) -> Result<Option<Drain>, &'static str> {
        let mut next = self.clone();
        match (action, self.state) {
            (DrainAction::Cancel, State::Cancelled)
            | (DrainAction::Pause, State::Paused)
            | (DrainAction::Resume, State::Running) => return Ok(None),
            // Lifts the cordons of the machines that this drain keeps empty.
            (DrainAction::Cancel, State::Done) if self.options.then == Then::Keep => {
                next.state = State::Cancelled;
            }
            (DrainAction::Cancel, state) if !state.has_ended() => next.state = State::Cancelled,
            (DrainAction::Pause, State::Running | State::Halted) => {
                next.state = State::Paused;
                // The step in progress finishes; the next one is not being emptied yet.
                next.next_step = None;
            }
            (DrainAction::Resume, State::Paused | State::Halted) => {
                next.state = State::Running;
                // The operator has seen the failures up to now.
                next.watched_since = now;
                next.reason = None;
            }
            _ => return Err("it has ended"),
        }
        if next.state == State::Cancelled {
            (next.step, next.next_step) = (None, None);
            next.kept_machines.clear();
        }
        Ok(Some(next))
    }

    /// The machines of its steps, which do not count as capacity any more.
    pub fn leaving_machines(&self) -> impl Iterator<Item = &MachineId> + '_ {
        let steps = self.step.iter().chain(&self.next_step);
        let steps = steps.filter(|_| !self.state.has_ended());
        steps.flat_map(|s| &s.machines)
    }

    /// The machines that its step cordons, with the step.
    pub fn cordoned_machines(&self) -> impl Iterator<Item = (&MachineId, &Step)> + '_ {
        let step = self
            .step
            .iter()
            .filter(|s| s.stage != Stage::AwaitingReplacements);
        let step = step.filter(|_| !self.state.has_ended());
        step.flat_map(|s| s.machines.iter().map(move |m| (m, s)))
    }

    /// The drain as operators read it.
    pub fn to_json(&self, name: &Name) -> Value {
        let mut body = json!({"name": name.as_str(), "state": self.state.as_str(),
            "then": self.options.then, "asked": format_time(self.requested_at),
            "steps": self.finished_steps, "emptied": self.emptied_machines});
        if let Some(plan) = &self.plan {
            body["left"] = json!(plan.machines);
            body["left_by_zone"] = json!(plan.machines_by_zone);
            body["steps_left"] = json!(plan.steps);
            body["busy_cpus"] = json!(plan.busy_cpus);
            body["at_most_s"] = json!(plan.max_duration_ms as f64 / 1000.0);
        }
        if let Some(step) = &self.step {
            let names: Vec<&str> = step.machines.iter().map(|m| m.as_str()).collect();
            body["step"] =
                json!({"stage": step.stage, "since": format_time(step.since), "machines": names});
        }
        if let Some(next_step) = &self.next_step {
            let names: Vec<&str> = next_step.machines.iter().map(|m| m.as_str()).collect();
            body["ahead"] = json!({"since": format_time(next_step.since), "machines": names});
        }
        if !self.kept_machines.is_empty() {
            let names: Vec<&str> = self.kept_machines.iter().map(|m| m.as_str()).collect();
            body["kept"] = json!(names);
        }
        if let Some(by) = self.options.by {
            body["by"] = json!(format_time(by));
            body["late"] = json!(self.options.late);
        }
        if let Some(reason) = &self.reason {
            body["why"] = json!(reason);
        }
        body
    }
}

/// An operator's action on a drain.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum DrainAction {
    /// Takes no further steps until the drain is resumed; the step in progress finishes.
    Pause,
    /// Takes steps again.
    Resume,
    /// Ends the drain and lifts its cordons.
    Cancel,
}
