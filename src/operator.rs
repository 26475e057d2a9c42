//! The operators' own settings: JSON, described by a schema, every field optional.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// What an operator may tune; the defaults serve without the file.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct OperatorSettings {
    /// Run time counted for a job whose owner gave no estimate, in seconds.
    #[schemars(range(min = 1.0, max = 86400.0))]
    pub default_run_s: f64,
    /// How long a machine may stand idle before it is returned, in seconds.
    #[schemars(range(min = 1.0, max = 86400.0))]
    pub idle_release_s: f64,
    /// How long an answer to a worker may wait for a commit, in milliseconds.
    #[schemars(range(min = 0.0, max = 2000.0))]
    pub hold_ms: u64,
    /// Share of the demand (running and waiting) that rented capacity is fitted to.
    #[schemars(range(min = 0.1, max = 4.0))]
    pub capacity_factor: f64,
    /// Share of the time that a job's tasks may wait by the aims for which they wait for cheap
    /// machines before dear ones are rented.
    #[schemars(range(min = 0.0, max = 10.0))]
    pub dear_patience: f64,
    /// Share of the time that a job's tasks may wait by the aims for which they leave machines
    /// without their image to jobs that need no fetch there.
    #[schemars(range(min = 0.0, max = 10.0))]
    pub image_patience: f64,
    /// Keeps this controller from saying that it reads the wide format of records, so that the step
    /// to it, which cannot be taken back, is not made yet.
    pub hold_format: bool,
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
        }
    }
}

impl OperatorSettings {
    pub fn schema() -> serde_json::Value {
        serde_json::to_value(schemars::schema_for!(OperatorSettings)).unwrap_or_default()
    }

    /// Reads the settings; the error names the place in the schema that was not met.
    pub fn parse(text: &str) -> Result<OperatorSettings, String> {
        let value: serde_json::Value =
            serde_json::from_str(text).map_err(|e| format!("not JSON: {e}"))?;
        let validator =
            jsonschema::validator_for(&Self::schema()).map_err(|e| format!("schema: {e}"))?;
        if let Err(error) = validator.validate(&value) {
            return Err(format!(
                "{}: {} (schema {})",
                error.instance_path(),
                error,
                error.schema_path()
            ));
        }
        serde_json::from_value(value).map_err(|e| e.to_string())
    }
}
