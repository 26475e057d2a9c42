//! The protocol of the key-value store: keys, compare-and-swap, leases, watches.
//!
//! The names on the wire, and what they are called here:
//!
//! | on the wire | here |
//! | --- | --- |
//! | `Path`, `Write`, `Delete` | key (of a value, of a put, of a deletion) |
//! | `Value` | value |
//! | `Colheita` | version of a key |
//! | `Safra` | revision of the store |
//! | `Arrendo` | lease |
//! | `If`, `Apply` | comparisons and mutations of a compare-and-swap |
//! | `Items`, `More` | a page of keys, and whether more follow |
//! | `Log` | events of a watch |

use crate::ids::{LeaseId, Version};
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// A condition of a compare-and-swap: a key has a version.
#[derive(Clone, Debug, Serialize, PartialEq)]
pub struct Comparison {
    /// The key.
    #[serde(rename = "Path")]
    pub key: String,
    /// Its expected version; 0: it does not exist.
    #[serde(rename = "Colheita")]
    pub version: Version,
}

/// A change of one key in a compare-and-swap.
#[derive(Clone, Debug, Serialize, PartialEq)]
#[serde(untagged)]
pub enum Mutation {
    /// Sets a key's value.
    Put {
        /// The key.
        #[serde(rename = "Write")]
        key: String,
        /// Its new value.
        #[serde(rename = "Value")]
        value: Value,
        /// The lease that the key is deleted with, if any.
        #[serde(rename = "Arrendo", skip_serializing_if = "Option::is_none")]
        lease: Option<LeaseId>,
    },
    /// Deletes a key.
    Delete {
        /// The key.
        #[serde(rename = "Delete")]
        key: String,
    },
}

impl Mutation {
    /// Sets a key's value, without a lease.
    pub fn put<T: Serialize>(key: String, value: &T) -> Mutation {
        Mutation::Put {
            key,
            value: serde_json::to_value(value).unwrap_or(Value::Null),
            lease: None,
        }
    }

    /// The key that changes.
    #[must_use]
    pub fn key(&self) -> &str {
        match self {
            Mutation::Put { key, .. } | Mutation::Delete { key } => key,
        }
    }
}

/// A compare-and-swap: all mutations are applied if all comparisons hold, or none.
#[derive(Clone, Debug, Serialize, PartialEq, Default)]
pub struct CompareAndSwap {
    /// The conditions.
    #[serde(rename = "If")]
    pub comparisons: Vec<Comparison>,
    /// The changes; without any, only the conditions are checked.
    #[serde(rename = "Apply", skip_serializing_if = "Vec::is_empty")]
    pub mutations: Vec<Mutation>,
}

impl CompareAndSwap {
    /// Adds a condition.
    #[must_use]
    pub fn compare(mut self, key: String, version: Version) -> CompareAndSwap {
        self.comparisons.push(Comparison { key, version });
        self
    }

    /// Adds a change.
    #[must_use]
    pub fn mutate(mut self, mutation: Mutation) -> CompareAndSwap {
        self.mutations.push(mutation);
        self
    }
}

/// The response to a compare-and-swap that was applied.
#[derive(Debug, Deserialize)]
pub struct SwapApplied {
    /// The revision at which it was applied, the new version of all its keys.
    #[serde(rename = "Safra")]
    pub revision: Version,
}

/// The response to a compare-and-swap that was not applied.
#[derive(Debug, Deserialize)]
pub struct SwapConflict {
    /// The keys that had another version than expected.
    pub failed: Vec<String>,
}

/// A key with its value.
#[derive(Clone, Debug, Deserialize)]
pub struct KeyValue {
    /// The key.
    #[serde(rename = "Path")]
    pub key: String,
    /// Its value.
    #[serde(rename = "Value")]
    pub value: Value,
    /// Its version.
    #[serde(rename = "Colheita")]
    pub version: Version,
}

/// The response to reading a key that does not exist.
#[derive(Debug, Deserialize)]
pub struct KeyNotFound {
    /// The revision at which it did not exist.
    #[serde(rename = "Safra")]
    pub revision: Version,
}

/// A page of a range of keys.
#[derive(Debug, Deserialize)]
pub struct RangePage {
    /// The keys, in order.
    #[serde(rename = "Items")]
    pub items: Vec<KeyValue>,
    /// Whether more keys follow.
    #[serde(rename = "More", default)]
    pub more: bool,
    /// The revision at which they were read.
    #[serde(rename = "Safra")]
    pub revision: Version,
}

/// The events of a watch.
#[derive(Debug, Deserialize)]
pub struct WatchEvents {
    /// The revision up to which they are complete.
    #[serde(rename = "Safra")]
    pub revision: Version,
    /// The events, in order.
    #[serde(rename = "Log")]
    pub log: Vec<WatchEvent>,
}

/// One event of a watch: a key was put or deleted.
#[derive(Debug, Deserialize)]
pub struct WatchEvent {
    /// The key that was put.
    #[serde(rename = "Write", default)]
    pub put: Option<String>,
    /// The key that was deleted.
    #[serde(rename = "Delete", default)]
    pub delete: Option<String>,
    /// The value that was put.
    #[serde(rename = "Value", default)]
    pub value: Value,
    /// The key's version since.
    #[serde(rename = "Colheita")]
    pub version: Version,
}

/// The response to a request for a new lease.
#[derive(Debug, Deserialize)]
pub struct LeaseResponse {
    /// The lease.
    #[serde(rename = "Arrendo")]
    pub lease: LeaseId,
}
