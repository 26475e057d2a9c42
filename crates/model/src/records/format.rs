//! Record formats, and the formats and capabilities that controllers declare.

use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// The format in which records are written. Both formats remain readable.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Default)]
pub enum RecordFormat {
    /// Versions without job dependencies can read and rewrite it without loss.
    #[default]
    V1,
    /// Has compact allocations and job dependencies. Written for good once every controller reads it.
    V2,
}

/// The lowest format number that stands for [`RecordFormat::V2`].
pub const FORMAT_V2: u32 = 2;

/// A feature whose records may only be written once every controller can read them.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Debug, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Capability(String);

impl Capability {
    /// Reservations and maintenance windows.
    #[must_use]
    pub fn calendar() -> Capability {
        Capability::named("calendar")
    }

    /// DAG runs.
    #[must_use]
    pub fn dags() -> Capability {
        Capability::named("graphs")
    }

    /// Drains and disruption budgets.
    #[must_use]
    pub fn drains() -> Capability {
        Capability::named("drains")
    }

    /// Creates the capability with this name, as stored in records.
    #[must_use]
    pub fn named(name: &str) -> Capability {
        Capability(name.to_string())
    }
}

/// The record `member/<name>`, for the formats and capabilities of one controller, or `format`, for
/// those of all controllers. Capabilities that this version does not know are preserved.
#[derive(Clone, PartialEq, Eq, Debug, Default, Serialize, Deserialize)]
pub struct FormatRecord {
    /// The number of the newest record format that can be read.
    pub format: u32,
    /// The supported capabilities.
    #[serde(rename = "can", default, skip_serializing_if = "BTreeSet::is_empty")]
    pub capabilities: BTreeSet<Capability>,
}
