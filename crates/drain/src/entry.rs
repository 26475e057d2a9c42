//! Drains: as operators write them, checked field by field, and as they are kept.

use garde::Validate;
use jiff::Timestamp;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use snowshelf_calendar::entry::{Malformed, Name, shown};
use snowshelf_model::ids::{MachineId, WallClockMillis};
use std::collections::BTreeMap;

/// Machines that a drain may name: its record is one small value.
pub const MOST_NAMED: usize = 48;
/// Machines that one step may hold, for the same reason; fewer where the state service takes less.
pub const MOST_AT_ONCE: u32 = 100;

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
    #[garde(custom(is_name))]
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
    #[serde(default = "one")]
    #[garde(range(max = 100))]
    pub canary: u32,
    /// How long the first step's machines are watched before the next one, in seconds.
    #[serde(default = "watch")]
    #[garde(range(min = 0.0, max = 86400.0))]
    pub watch_s: f64,
    /// How long tasks are waited for at the most before they are stopped, in seconds.
    #[serde(default = "patience")]
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

fn one() -> u32 {
    1
}
fn watch() -> f64 {
    30.0
}
fn patience() -> f64 {
    120.0
}

fn is_name(text: &str, _: &()) -> garde::Result {
    match Name::parse(text) {
        Some(_) => Ok(()),
        None => Err(garde::Error::new(
            "must be 1 to 64 letters, digits, '.', '_' or '-', a letter or digit first",
        )),
    }
}

/// Which machines a drain concerns.
#[derive(Clone, PartialEq, Eq, Debug, Default, Serialize, Deserialize)]
pub struct Which {
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub machines: Vec<MachineId>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub model: Option<String>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub spot: Option<bool>,
    pub older_than: WallClockMillis,
}

/// How it is gone about.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct How {
    pub then: Then,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub at_once: Option<u32>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub share: Option<f64>,
    pub canary: u32,
    pub watch_ms: u64,
    pub patience_ms: u64,
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub any_zone: bool,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub by: Option<WallClockMillis>,
    #[serde(default)]
    pub late: Late,
}

#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    Running,
    /// By an operator's word, until another.
    Paused,
    /// By itself, since a step went wrong; until an operator's word.
    Halted,
    Done,
    Cancelled,
    /// Not over by the time it had to be.
    GivenUp,
}

impl State {
    pub fn ended(self) -> bool {
        matches!(self, State::Done | State::Cancelled | State::GivenUp)
    }
    pub fn word(self) -> &'static str {
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

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// What takes their place comes up; nothing is emptied yet.
    Bringing,
    /// Nothing starts on them any more, and what is there ends or is stopped.
    Emptying,
    /// The same, whatever the budgets say.
    Forcing,
}

/// The machines whose turn it is.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct Step {
    pub machines: Vec<MachineId>,
    pub stage: Stage,
    /// Since when it is at this stage.
    pub since: WallClockMillis,
}

/// What a drain comes to, as of when it was worked out.
#[derive(Clone, PartialEq, Debug, Default, Serialize, Deserialize)]
pub struct Plan {
    pub machines: u32,
    /// The same by zone.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub zones: BTreeMap<String, u32>,
    pub steps: u32,
    /// CPUs of tasks on these machines.
    pub busy: f64,
    /// Milliseconds that it takes at the most if no budget runs short.
    pub takes_ms: u64,
}

/// `drain/<name>`.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct Drain {
    pub which: Which,
    pub how: How,
    pub asked: WallClockMillis,
    pub state: State,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub step: Option<Step>,
    /// The next step, whose replacements come up while this one is emptied.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ahead: Option<Step>,
    /// Steps that are over, and machines that these have emptied.
    pub steps: u32,
    pub gone: u32,
    /// Machines kept empty.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub kept: Vec<MachineId>,
    /// Machines that are left, by the newest step.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub plan: Option<Plan>,
    /// When the last step was over.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub stepped: Option<WallClockMillis>,
    /// New machines are watched that were rented from here on.
    pub watched: WallClockMillis,
    /// Why it is halted, or was given up.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub why: Option<String>,
}

fn moment(field: &str, at: Timestamp) -> Result<WallClockMillis, Malformed> {
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

/// Reads a drain's request, asked for now.
pub fn parse_drain(body: &[u8], now: WallClockMillis) -> Result<(Name, Drain), Malformed> {
    let request: DrainRequest = snowshelf_calendar::entry::read(body)?;
    request.drain(now)
}

impl DrainRequest {
    /// The drain as it is kept when it is asked for now.
    pub fn drain(&self, now: WallClockMillis) -> Result<(Name, Drain), Malformed> {
        let name = Name::parse(&self.name).ok_or(malformed("name", "is no name"))?;
        let chosen = self.zone.is_some()
            || self.model.is_some()
            || self.spot.is_some()
            || self.older_than.is_some()
            || self.all;
        match (self.machines.is_empty(), chosen) {
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
            Some(at) => moment("older_than", at)?,
            None => now,
        };
        let by = self.by.map(|at| moment("by", at)).transpose()?;
        if by.is_some_and(|by| by <= now) {
            return Err(malformed("by", "lies in the past"));
        }
        let mut machines: Vec<MachineId> =
            self.machines.iter().map(|m| MachineId::new(m)).collect();
        machines.sort();
        machines.dedup();
        let drain = Drain {
            which: Which {
                machines,
                zone: self.zone.clone(),
                model: self.model.clone(),
                spot: self.spot,
                older_than,
            },
            how: How {
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
            asked: now,
            state: if self.paused {
                State::Paused
            } else {
                State::Running
            },
            step: None,
            ahead: None,
            steps: 0,
            gone: 0,
            kept: Vec::new(),
            plan: None,
            stepped: None,
            watched: now,
            why: None,
        };
        Ok((name, drain))
    }
}

impl Drain {
    /// Whether another request asks for just this. What was asked for at another time without saying
    /// `older_than` is the same.
    pub fn answers(&self, other: &Drain) -> bool {
        let same_time = self.which.older_than == other.which.older_than
            || (self.which.older_than == self.asked && other.which.older_than == other.asked);
        let which = Which {
            older_than: self.which.older_than,
            ..other.which.clone()
        };
        same_time && self.which == which && self.how == other.how
    }

    /// Paused, resumed or cancelled by an operator's word; `None` if that changes nothing, the reason
    /// if it cannot be.
    pub fn told(&self, word: Word, now: WallClockMillis) -> Result<Option<Drain>, &'static str> {
        let mut next = self.clone();
        match (word, self.state) {
            (Word::Cancel, State::Cancelled)
            | (Word::Pause, State::Paused)
            | (Word::Resume, State::Running) => return Ok(None),
            // What is kept empty by it opens again.
            (Word::Cancel, State::Done) if self.how.then == Then::Keep => {
                next.state = State::Cancelled;
            }
            (Word::Cancel, state) if !state.ended() => next.state = State::Cancelled,
            (Word::Pause, State::Running | State::Halted) => {
                next.state = State::Paused;
                // The step that is underway ends; the next one has not begun to be emptied.
                next.ahead = None;
            }
            (Word::Resume, State::Paused | State::Halted) => {
                next.state = State::Running;
                // What went wrong so far has been seen.
                next.watched = now;
                next.why = None;
            }
            _ => return Err("it has ended"),
        }
        if next.state == State::Cancelled {
            (next.step, next.ahead) = (None, None);
            next.kept.clear();
        }
        Ok(Some(next))
    }

    /// The machines of its steps, which are no capacity any more.
    pub fn leaving(&self) -> impl Iterator<Item = &MachineId> + '_ {
        let steps = self.step.iter().chain(&self.ahead);
        let steps = steps.filter(|_| !self.state.ended());
        steps.flat_map(|s| &s.machines)
    }

    /// The machines on which nothing starts by it, and since when.
    pub fn closed(&self) -> impl Iterator<Item = (&MachineId, &Step)> + '_ {
        let step = self.step.iter().filter(|s| s.stage != Stage::Bringing);
        let step = step.filter(|_| !self.state.ended());
        step.flat_map(|s| s.machines.iter().map(move |m| (m, s)))
    }

    /// The drain as operators read it.
    pub fn shown(&self, name: &Name) -> Value {
        let mut body = json!({"name": name.as_str(), "state": self.state.word(),
            "then": self.how.then, "asked": shown(self.asked), "steps": self.steps,
            "emptied": self.gone});
        if let Some(plan) = &self.plan {
            body["left"] = json!(plan.machines);
            body["left_by_zone"] = json!(plan.zones);
            body["steps_left"] = json!(plan.steps);
            body["busy_cpus"] = json!(plan.busy);
            body["at_most_s"] = json!(plan.takes_ms as f64 / 1000.0);
        }
        if let Some(step) = &self.step {
            let names: Vec<&str> = step.machines.iter().map(|m| m.as_str()).collect();
            body["step"] =
                json!({"stage": step.stage, "since": shown(step.since), "machines": names});
        }
        if let Some(ahead) = &self.ahead {
            let names: Vec<&str> = ahead.machines.iter().map(|m| m.as_str()).collect();
            body["ahead"] = json!({"since": shown(ahead.since), "machines": names});
        }
        if !self.kept.is_empty() {
            let names: Vec<&str> = self.kept.iter().map(|m| m.as_str()).collect();
            body["kept"] = json!(names);
        }
        if let Some(by) = self.how.by {
            body["by"] = json!(shown(by));
            body["late"] = json!(self.how.late);
        }
        if let Some(why) = &self.why {
            body["why"] = json!(why);
        }
        body
    }
}

/// What an operator may say of a drain.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Word {
    Pause,
    Resume,
    Cancel,
}
