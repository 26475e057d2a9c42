//! How records are written, and what the controllers have said that they read.

use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// How records are written. Both are read for ever.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Default)]
pub enum RecordFormat {
    /// As the version before pipelines reads and rewrites it without loss.
    #[default]
    V1,
    /// Shares in their short form, jobs that need others. For good once every controller knows it.
    V2,
}

/// The first format number that means `V2`.
pub const FORMAT_V2: u32 = 2;

/// What a controller can do beyond the format: a feature whose records every controller must know
/// before any of them is written.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Debug, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Capability(String);

impl Capability {
    /// Reservations and maintenance windows.
    pub fn calendar() -> Capability {
        Capability("calendar".to_string())
    }
    /// Runs of graphs.
    pub fn graphs() -> Capability {
        Capability("graphs".to_string())
    }
    /// Drains and budgets of disruption.
    pub fn drains() -> Capability {
        Capability("drains".to_string())
    }
    pub fn named(name: &str) -> Capability {
        Capability(name.to_string())
    }
}

/// `member/<name>`: what that controller can read and do; `format`: what all of them can, for good.
/// Capabilities that this version does not know are kept as they are.
#[derive(Clone, PartialEq, Eq, Debug, Default, Serialize, Deserialize)]
pub struct FormatRecord {
    pub format: u32,
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub can: BTreeSet<Capability>,
}
