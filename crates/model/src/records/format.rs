//! The formats of records, and the formats and capabilities that controllers have declared.

use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// The format in which records are written. Both remain readable.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Default)]
pub enum RecordFormat {
    /// Read and rewritten without loss by the version before dependencies.
    #[default]
    V1,
    /// Compact allocations, jobs with dependencies. Never left again once every controller reads it.
    V2,
}

/// The first format number that means [`RecordFormat::V2`].
pub const FORMAT_V2: u32 = 2;

/// A feature whose records every controller must be able to read before any of them is written.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Debug, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Capability(String);

impl Capability {
    /// Reservations and maintenance windows.
    #[must_use]
    pub fn calendar() -> Capability {
        Capability::named("calendar")
    }

    /// Runs of graphs.
    #[must_use]
    pub fn graphs() -> Capability {
        Capability::named("graphs")
    }

    /// Drains and disruption budgets.
    #[must_use]
    pub fn drains() -> Capability {
        Capability::named("drains")
    }

    /// The capability with this name.
    #[must_use]
    pub fn named(name: &str) -> Capability {
        Capability(name.to_string())
    }
}

/// `member/<name>`: what that controller can read and do; `format`: what all of them can. Capabilities that
/// this version does not know are preserved.
#[derive(Clone, PartialEq, Eq, Debug, Default, Serialize, Deserialize)]
pub struct FormatRecord {
    /// The number of the newest record format.
    pub format: u32,
    /// The capabilities.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub can: BTreeSet<Capability>,
}
