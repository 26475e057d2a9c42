//! The operators' own settings: JSON files, validated against a schema, with every field optional. Several files,
//! for example one per feature, are merged.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use snowshelf_drain::budget::Budget;
use snowshelf_drain::entry::DrainRequest;
use snowshelf_model::records::Capability;
use std::collections::{BTreeMap, BTreeSet};

/// Why operators' settings are rejected.
#[derive(Debug, thiserror::Error)]
pub enum OperatorSettingsError {
    /// The text is not JSON.
    #[error("not JSON: {0}")]
    NotJson(#[source] serde_json::Error),
    /// The schema itself is invalid.
    #[error("schema: {0}")]
    Schema(#[source] Box<jsonschema::ValidationError<'static>>),
    /// A value violates the schema.
    #[error("{instance_path}: {reason} (schema {schema_path})")]
    Invalid {
        /// The location of the value, as a JSON pointer.
        instance_path: String,
        /// Why the value is rejected.
        reason: String,
        /// The location of the violated rule in the schema.
        schema_path: String,
    },
    /// The settings conform to the schema but cannot be deserialized.
    #[error(transparent)]
    Unreadable(#[from] serde_json::Error),
    /// One of several files is rejected.
    #[error("{file}: {error}")]
    InFile {
        /// The name of the file.
        file: String,
        /// Why the file is rejected.
        #[source]
        error: Box<OperatorSettingsError>,
    },
    /// Two files set a field to different values.
    #[error("{field}: {first} and {second} differ")]
    Conflict {
        /// The field, as a JSON pointer.
        field: String,
        /// The name of the earlier file.
        first: String,
        /// The name of the later file.
        second: String,
    },
}

/// A file of operators' settings.
#[derive(Clone, Debug)]
pub struct OperatorFile {
    /// The name of the file, for error messages.
    pub name: String,
    /// The content of the file.
    pub text: String,
}

/// What an operator may tune; the defaults serve without the file.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct OperatorSettings {
    /// Run time counted for a job whose owner gave no estimate, in seconds.
    #[schemars(range(min = 1.0, max = 86400.0))]
    pub default_run_s: f64,
    /// How long a machine may be idle before it is scaled in, in seconds.
    #[schemars(range(min = 1.0, max = 86400.0))]
    pub idle_release_s: f64,
    /// How long the response to a heartbeat may wait for a commit, in milliseconds.
    #[schemars(range(min = 0.0, max = 2000.0))]
    pub hold_ms: u64,
    /// Share of the demand (running and waiting) to which the rented capacity is scaled.
    #[schemars(range(min = 0.1, max = 4.0))]
    pub capacity_factor: f64,
    /// Share of the waiting time that the objectives allow a job's tasks, for which they wait for spot instances
    /// before on-demand ones are rented.
    #[schemars(range(min = 0.0, max = 10.0))]
    pub dear_patience: f64,
    /// Share of the waiting time that the objectives allow a job's tasks, for which they leave machines without their
    /// image to jobs that need no fetch there.
    #[schemars(range(min = 0.0, max = 10.0))]
    pub image_patience: f64,
    /// Keeps this controller from declaring that it reads the wide format of records, so that the migration to it,
    /// which cannot be undone, is not made yet.
    pub hold_format: bool,
    /// Reservations and maintenance windows.
    pub calendar: CalendarSettings,
    /// Runs of DAGs.
    pub graphs: GraphSettings,
    /// Drains of machines, and the disruption that they may cause.
    pub drains: DrainSettings,
}

/// Drains of machines in steps, within the teams' disruption budgets. See docs/drains.md.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct DrainSettings {
    /// Whether this controller accepts drains. They are accepted once every controller has this on; accepted drains
    /// go on even where it is off.
    pub enabled: bool,
    /// Most drains at a time that have not ended.
    #[schemars(range(min = 1, max = 1000))]
    pub most: usize,
    /// The disruption budget of each team for which operators have set none.
    pub budget: Budget,
    /// Drains that the settings request: each once, by its name.
    pub planned: Vec<PlannedDrain>,
}

/// A drain that the cluster leader requests by itself.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct PlannedDrain {
    /// The earliest time, in seconds after the cluster leader was elected.
    #[serde(default)]
    #[schemars(range(min = 0.0, max = 1e9))]
    pub after_s: f64,
    /// The drain.
    pub drain: DrainRequest,
}

impl Default for DrainSettings {
    fn default() -> Self {
        Self {
            enabled: false,
            most: 50,
            budget: Budget::default(),
            planned: Vec::new(),
        }
    }
}

/// Runs of DAGs. See docs/graphs.md.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct GraphSettings {
    /// Whether this controller accepts runs. They are accepted once every controller has this on; accepted runs go on
    /// even where it is off.
    pub enabled: bool,
    /// Most jobs of one run.
    #[schemars(range(min = 1, max = 100000))]
    pub most_jobs: usize,
    /// Most runs open at a time, of all graphs.
    #[schemars(range(min = 1, max = 10000))]
    pub most_runs: usize,
}

impl Default for GraphSettings {
    fn default() -> Self {
        Self {
            enabled: false,
            most_jobs: 10_000,
            most_runs: 100,
        }
    }
}

/// Reservations of capacity, and maintenance windows. See docs/reservations.md.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct CalendarSettings {
    /// Whether this controller accepts reservations and windows. They are accepted once every controller has this on;
    /// accepted ones are honoured even where it is off.
    pub enabled: bool,
    /// The factor by which a task's estimated run time is multiplied when it is checked whether the task would overlap
    /// a window or a reservation.
    #[schemars(range(min = 1.0, max = 10.0))]
    pub margin: f64,
    /// How far ahead reservations and one-time windows may lie, in days.
    #[schemars(range(min = 1, max = 1000))]
    pub horizon_days: u32,
    /// Most reservations and windows, counted together.
    #[schemars(range(min = 1, max = 100000))]
    pub most_entries: usize,
    /// The most machines of a type that the cloud offers in a zone, as far as the operators know. Without an entry only
    /// the teams' limits bound what may be reserved.
    pub capacity: Vec<KnownCapacity>,
}

/// The most machines of a type that the cloud offers in a zone.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct KnownCapacity {
    /// The zone.
    pub zone: String,
    /// The machine type.
    #[serde(rename = "type")]
    pub model: String,
    /// The number of machines.
    pub machines: u32,
}

impl Default for CalendarSettings {
    fn default() -> Self {
        Self {
            enabled: false,
            margin: 1.5,
            horizon_days: 200,
            most_entries: 10_000,
            capacity: Vec::new(),
        }
    }
}

impl Default for OperatorSettings {
    fn default() -> Self {
        Self {
            default_run_s: 60.0,
            idle_release_s: 20.0,
            hold_ms: 400,
            capacity_factor: 1.0,
            dear_patience: 2.0,
            image_patience: 0.5,
            hold_format: false,
            calendar: CalendarSettings::default(),
            graphs: GraphSettings::default(),
            drains: DrainSettings::default(),
        }
    }
}

impl OperatorSettings {
    /// The JSON Schema of the operators' files.
    #[must_use]
    pub fn schema() -> serde_json::Value {
        serde_json::to_value(schemars::schema_for!(OperatorSettings)).unwrap_or_default()
    }

    /// The enabled features that are used only once every controller supports them.
    #[must_use]
    pub fn capabilities(&self) -> BTreeSet<Capability> {
        let calendar = self.calendar.enabled.then(Capability::calendar);
        let graphs = self.graphs.enabled.then(Capability::dags);
        let drains = self.drains.enabled.then(Capability::drains);
        calendar.into_iter().chain(graphs).chain(drains).collect()
    }

    /// Parses and validates a single file of settings.
    ///
    /// # Errors
    /// Returns the invalid value and the rule of the schema that it violates.
    pub fn parse(text: &str) -> Result<OperatorSettings, OperatorSettingsError> {
        let value = Self::parse_validated(text)?;
        Ok(serde_json::from_value(value)?)
    }

    /// Parses and validates several files and merges them.
    ///
    /// # Errors
    /// Returns the file that is rejected, or the field that two files set to different values, and both files.
    pub fn merge(files: &[OperatorFile]) -> Result<OperatorSettings, OperatorSettingsError> {
        let mut merged = Value::Object(serde_json::Map::default());
        let mut seen: BTreeMap<String, (&OperatorFile, Value)> = BTreeMap::new();
        for file in files {
            let value = Self::parse_validated(&file.text).map_err(|error| {
                OperatorSettingsError::InFile {
                    file: file.name.clone(),
                    error: Box::new(error),
                }
            })?;
            let mut fields = Vec::new();
            collect_fields("", &value, &mut fields);
            for (path, value) in fields {
                if let Some((earlier, other)) = seen.get(&path)
                    && *other != value
                {
                    return Err(OperatorSettingsError::Conflict {
                        first: earlier.name.clone(),
                        second: file.name.clone(),
                        field: path,
                    });
                }
                set_field(&mut merged, &path, &value);
                seen.insert(path, (file, value));
            }
        }
        Ok(serde_json::from_value(merged)?)
    }

    /// Parses a file and validates it against the schema.
    fn parse_validated(text: &str) -> Result<Value, OperatorSettingsError> {
        let value: Value = serde_json::from_str(text).map_err(OperatorSettingsError::NotJson)?;
        let validator = jsonschema::validator_for(&Self::schema())
            .map_err(|error| OperatorSettingsError::Schema(Box::new(error)))?;
        if let Err(error) = validator.validate(&value) {
            return Err(OperatorSettingsError::Invalid {
                instance_path: error.instance_path().to_string(),
                reason: error.to_string(),
                schema_path: error.schema_path().to_string(),
            });
        }
        Ok(value)
    }
}

/// Collects every value that is not an object, with its path in the form of a JSON pointer. A list is one value.
fn collect_fields(path: &str, value: &Value, fields: &mut Vec<(String, Value)>) {
    match value {
        Value::Object(map) => {
            for (key, inner) in map {
                collect_fields(&format!("{path}/{key}"), inner, fields);
            }
        }
        other => fields.push((path.to_string(), other.clone())),
    }
}

/// Sets the field at a path, and creates the objects that contain it.
fn set_field(root: &mut Value, path: &str, value: &Value) {
    let mut target = root;
    for key in path.split('/').skip(1) {
        if !target.is_object() {
            *target = Value::Object(serde_json::Map::default());
        }
        target = &mut target[key];
    }
    *target = value.clone();
}
