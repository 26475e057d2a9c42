//! How steps of other tools become jobs: the operators' mapping.

use crate::graph::{JobFields, Step};
use crate::problem::Problems;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Rules from the most general to the most special: where several match, the later ones say more.
#[derive(Clone, PartialEq, Debug, Default, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Mapping {
    /// What every job has where nothing else is said.
    #[serde(default)]
    pub defaults: JobFields,
    #[serde(default)]
    pub rules: Vec<Rule>,
    /// How much may run at once in pools, by name.
    #[serde(default)]
    pub pools: std::collections::BTreeMap<String, u32>,
}

/// Which steps a rule is for, and the fields of their jobs.
#[derive(Clone, PartialEq, Debug, Default, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Rule {
    /// The operator's name, `*` at its end for any ending; none: any.
    #[serde(default)]
    pub operator: Option<String>,
    #[serde(default)]
    pub queue: Option<String>,
    #[serde(default)]
    pub pool: Option<String>,
    pub job: JobFields,
}

fn matches(pattern: &Option<String>, text: Option<&str>) -> bool {
    match (pattern.as_deref(), text) {
        (None, _) => true,
        (Some(_), None) => false,
        (Some(pattern), Some(text)) => match pattern.strip_suffix('*') {
            Some(beginning) => text.starts_with(beginning),
            None => pattern == text,
        },
    }
}

/// The JSON Schema of a mapping.
pub fn schema() -> serde_json::Value {
    serde_json::to_value(schemars::schema_for!(Mapping)).unwrap_or_default()
}

impl Mapping {
    pub fn read(text: &str, problems: &mut Problems) -> Option<Mapping> {
        crate::native::yaml(text, problems)
    }

    /// The fields of a step's job, before its own.
    pub fn fields(&self, step: &Step) -> JobFields {
        let rules = self.rules.iter().filter(|r| {
            matches(&r.operator, Some(&step.operator))
                && matches(&r.queue, step.queue.as_deref())
                && matches(&r.pool, step.pool.as_deref())
        });
        rules.fold(self.defaults.clone(), |fields, rule| {
            fields.under(&rule.job)
        })
    }
}
