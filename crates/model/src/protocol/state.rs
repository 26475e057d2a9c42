//! The protocol of the key-value store: reads, compare-and-swap, leases and watches.
//!
//! Names on the wire and the terms used in this code base:
//!
//! | on the wire | term |
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

/// A condition of a compare-and-swap: a key must have a version.
#[derive(Clone, Debug, Serialize, PartialEq)]
pub struct Comparison {
    /// The key to compare.
    #[serde(rename = "Path")]
    pub key: String,
    /// The expected version; 0 means that the key does not exist.
    #[serde(rename = "Colheita")]
    pub version: Version,
}

/// A change of a key in a compare-and-swap.
#[derive(Clone, Debug, Serialize, PartialEq)]
#[serde(untagged)]
pub enum Mutation {
    /// Sets a key's value.
    Put {
        /// The key to set.
        #[serde(rename = "Write")]
        key: String,
        /// The new value.
        #[serde(rename = "Value")]
        value: Value,
        /// The lease whose expiry deletes the key, if it has one.
        #[serde(rename = "Arrendo", skip_serializing_if = "Option::is_none")]
        lease: Option<LeaseId>,
    },
    /// Deletes a key.
    Delete {
        /// The key to delete.
        #[serde(rename = "Delete")]
        key: String,
    },
}

impl Mutation {
    /// Creates a mutation that sets a key's value without a lease.
    pub fn put<T: Serialize>(key: String, value: &T) -> Mutation {
        Mutation::Put {
            key,
            value: serde_json::to_value(value).unwrap_or(Value::Null),
            lease: None,
        }
    }

    /// Returns the key that is set or deleted.
    #[must_use]
    pub fn key(&self) -> &str {
        match self {
            Mutation::Put { key, .. } | Mutation::Delete { key } => key,
        }
    }
}

/// A compare-and-swap: applies all mutations atomically if all comparisons hold, and none otherwise.
#[derive(Clone, Debug, Serialize, PartialEq, Default)]
pub struct CompareAndSwap {
    /// The conditions, all of which must hold.
    #[serde(rename = "If")]
    pub comparisons: Vec<Comparison>,
    /// The changes; if empty, the request only checks the conditions.
    #[serde(rename = "Apply", skip_serializing_if = "Vec::is_empty")]
    pub mutations: Vec<Mutation>,
}

impl CompareAndSwap {
    /// Adds the condition that a key has a version.
    #[must_use]
    pub fn compare(mut self, key: String, version: Version) -> CompareAndSwap {
        self.comparisons.push(Comparison { key, version });
        self
    }

    /// Adds a change of a key.
    #[must_use]
    pub fn mutate(mut self, mutation: Mutation) -> CompareAndSwap {
        self.mutations.push(mutation);
        self
    }
}

/// The response to a compare-and-swap that was applied.
#[derive(Debug, Deserialize)]
pub struct SwapApplied {
    /// The revision at which the mutations were applied; it is the new version of all their keys.
    #[serde(rename = "Safra")]
    pub revision: Version,
}

/// The response to a compare-and-swap that was not applied.
#[derive(Debug, Deserialize)]
pub struct SwapConflict {
    /// The keys whose version differed from the expected one.
    pub failed: Vec<String>,
}

/// A key with its value and version.
#[derive(Clone, Debug, Deserialize)]
pub struct KeyValue {
    /// The key that was read.
    #[serde(rename = "Path")]
    pub key: String,
    /// The key's value.
    #[serde(rename = "Value")]
    pub value: Value,
    /// The key's version.
    #[serde(rename = "Colheita")]
    pub version: Version,
}

/// The response to reading a key that does not exist.
#[derive(Debug, Deserialize)]
pub struct KeyNotFound {
    /// The revision at which the key did not exist.
    #[serde(rename = "Safra")]
    pub revision: Version,
}

/// The response to a range read: one page of keys.
#[derive(Debug, Deserialize)]
pub struct RangePage {
    /// The keys and values, sorted by key.
    #[serde(rename = "Items")]
    pub items: Vec<KeyValue>,
    /// Whether further pages follow.
    #[serde(rename = "More", default)]
    pub more: bool,
    /// The revision at which the page was read.
    #[serde(rename = "Safra")]
    pub revision: Version,
}

/// The response to a watch request.
#[derive(Debug, Deserialize)]
pub struct WatchEvents {
    /// The revision up to which the events are complete.
    #[serde(rename = "Safra")]
    pub revision: Version,
    /// The events, sorted by revision.
    #[serde(rename = "Log")]
    pub events: Vec<WatchEvent>,
}

/// An event of a watch: a key was set or deleted.
#[derive(Debug, Deserialize)]
pub struct WatchEvent {
    /// The key, if it was set.
    #[serde(rename = "Write", default)]
    pub put: Option<String>,
    /// The key, if it was deleted.
    #[serde(rename = "Delete", default)]
    pub delete: Option<String>,
    /// The value that was set; null for a deletion.
    #[serde(rename = "Value", default)]
    pub value: Value,
    /// The key's version since this event.
    #[serde(rename = "Colheita")]
    pub version: Version,
}

/// The response to a request for a new lease.
#[derive(Debug, Deserialize)]
pub struct LeaseResponse {
    /// The ID of the new lease.
    #[serde(rename = "Arrendo")]
    pub lease: LeaseId,
}
