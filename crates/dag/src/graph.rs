//! A graph as every form is read into, which is the native form too.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::{BTreeMap, HashMap};

/// What must have become of the steps above for a step to start.
#[derive(
    Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Default, Serialize, Deserialize, JsonSchema,
)]
#[serde(rename_all = "snake_case")]
pub enum Trigger {
    /// All succeeded.
    #[default]
    AllSuccess,
    /// All have ended, however.
    AllDone,
    /// All have ended, and none failed.
    NoneFailed,
    /// All have ended, and one failed at least.
    OneFailed,
}

/// One step.
#[derive(Clone, PartialEq, Debug, Default, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Step {
    /// Its name; groups stand before it with dots.
    pub id: String,
    /// What it is in the tool that it comes from; the mapping says which job that becomes.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub operator: String,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub queue: Option<String>,
    /// Steps that come before it.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub after: Vec<String>,
    #[serde(default, skip_serializing_if = "is_default")]
    pub trigger: Trigger,
    /// How often it is tried again after a failure.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retries: Option<u32>,
    /// The pause before that, in seconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_delay_s: Option<f64>,
    /// After so many seconds of running it has failed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub timeout_s: Option<f64>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub pool: Option<String>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub priority_weight: Option<i64>,
    /// Fields of its job, over what the mapping says.
    #[serde(default, skip_serializing_if = "is_default")]
    pub job: JobFields,
    /// What its work is told: kept in the manifest, with templates filled in.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub args: BTreeMap<String, Value>,
    /// Runs it once for each combination of values.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub sweep: Option<Sweep>,
    /// Where it was written, as far as the form has lines.
    #[serde(skip)]
    pub line: Option<u32>,
}

fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}

/// Fields of a job, each of which may be a template where it is a text.
#[derive(Clone, PartialEq, Debug, Default, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct JobFields {
    /// The class of jobs that it belongs to.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub class: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub team: Option<String>,
    /// `prod`, `high`, `normal` or `idle`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub priority: Option<String>,
    /// How many tasks, a number or a template of one.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub tasks: Option<Amount>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub cpus: Option<Amount>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub gpus: Option<Amount>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub mem_gb: Option<Amount>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub image: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub pull_gb: Option<Amount>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub types: Option<Vec<String>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub together: Option<bool>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub apart: Option<bool>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub spot: Option<bool>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub estimate_s: Option<Amount>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub checkpoint_s: Option<Amount>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub save_s: Option<Amount>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub deadline_s: Option<Amount>,
}

/// A number, or a template that becomes one.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(untagged)]
pub enum Amount {
    Number(f64),
    Template(String),
}

macro_rules! over {
    ($base:expr, $over:expr; $($field:ident)*) => {
        JobFields { $($field: $over.$field.clone().or_else(|| $base.$field.clone())),* }
    };
}

impl JobFields {
    /// These fields, each replaced where `over` says something else.
    pub fn under(&self, over: &JobFields) -> JobFields {
        over!(self, over; class team priority tasks cpus gpus mem_gb image pull_gb types zone together
            apart spot estimate_s checkpoint_s save_s deadline_s)
    }
}

/// Values for which a step runs once each.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Sweep {
    /// Every combination of these values.
    Product(BTreeMap<String, Vec<Value>>),
    /// The first of each, the second of each, and so on: lists of one length.
    Zip(BTreeMap<String, Vec<Value>>),
    /// Just these.
    List(Vec<BTreeMap<String, Value>>),
}

#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    Text,
    Integer,
    Number,
    Flag,
    List,
    Any,
}

/// A parameter of a run.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Param {
    #[serde(default = "any")]
    pub kind: Kind,
    /// None: every run must name it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub default: Option<Value>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub minimum: Option<f64>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub maximum: Option<f64>,
    /// The only values allowed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub one_of: Option<Vec<Value>>,
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub description: String,
}

fn any() -> Kind {
    Kind::Any
}

/// When runs begin by themselves.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Schedule {
    /// A cron expression of five fields, or `@daily` and the like.
    Cron(String),
    /// Every so many seconds.
    EveryS(f64),
}

/// A graph of steps.
#[derive(Clone, PartialEq, Debug, Default, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Graph {
    /// Its name: letters, digits, `.`, `_` and `-`.
    pub name: String,
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub description: String,
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub params: BTreeMap<String, Param>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub schedule: Option<Schedule>,
    /// The time zone of the schedule and of local dates.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub time_zone: Option<String>,
    /// The first moment that the schedule counts from.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub start: Option<String>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub end: Option<String>,
    /// Whether intervals that were missed are run later.
    #[serde(default)]
    pub catch_up: bool,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_active_runs: Option<u32>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_active_tasks: Option<u32>,
    /// What steps have where they say nothing themselves.
    #[serde(default, skip_serializing_if = "is_default")]
    pub defaults: Defaults,
    pub steps: Vec<Step>,
}

#[derive(Clone, PartialEq, Debug, Default, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Defaults {
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retries: Option<u32>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_delay_s: Option<f64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub timeout_s: Option<f64>,
    #[serde(skip_serializing_if = "is_default")]
    pub job: JobFields,
}

impl Graph {
    /// The zone of its schedule and of its templates.
    pub fn zone(&self) -> &str {
        self.time_zone.as_deref().unwrap_or("UTC")
    }

    /// Where each step stands.
    pub fn places(&self) -> HashMap<&str, usize> {
        let steps = self.steps.iter().enumerate();
        steps.map(|(i, s)| (s.id.as_str(), i)).collect()
    }

    pub fn step(&self, id: &str) -> Option<&Step> {
        self.steps.iter().find(|s| s.id == id)
    }
}
