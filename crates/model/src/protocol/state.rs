//! The state service: keys, transactions, leases, changes.

use crate::ids::{LeaseId, Version};
use serde::{Deserialize, Serialize};
use serde_json::Value;

#[derive(Clone, Debug, Serialize, PartialEq)]
pub struct Comparison {
    #[serde(rename = "Path")]
    pub key: String,
    #[serde(rename = "Colheita")]
    pub version: Version,
}

#[derive(Clone, Debug, Serialize, PartialEq)]
#[serde(untagged)]
pub enum Mutation {
    Put {
        #[serde(rename = "Write")]
        key: String,
        #[serde(rename = "Value")]
        value: Value,
        #[serde(rename = "Arrendo", skip_serializing_if = "Option::is_none")]
        lease: Option<LeaseId>,
    },
    Delete {
        #[serde(rename = "Delete")]
        key: String,
    },
}

impl Mutation {
    pub fn put<T: Serialize>(key: String, value: &T) -> Mutation {
        Mutation::Put {
            key,
            value: serde_json::to_value(value).unwrap_or(Value::Null),
            lease: None,
        }
    }
    pub fn key(&self) -> &str {
        match self {
            Mutation::Put { key, .. } | Mutation::Delete { key } => key,
        }
    }
}

#[derive(Clone, Debug, Serialize, PartialEq, Default)]
pub struct CompareAndSwap {
    #[serde(rename = "If")]
    pub comparisons: Vec<Comparison>,
    /// Without any, the transaction only compares.
    #[serde(rename = "Apply", skip_serializing_if = "Vec::is_empty")]
    pub mutations: Vec<Mutation>,
}

impl CompareAndSwap {
    pub fn compare(mut self, key: String, version: Version) -> CompareAndSwap {
        self.comparisons.push(Comparison { key, version });
        self
    }
    pub fn mutate(mut self, change: Mutation) -> CompareAndSwap {
        self.mutations.push(change);
        self
    }
}

#[derive(Debug, Deserialize)]
pub struct SwapApplied {
    #[serde(rename = "Safra")]
    pub revision: Version,
}

#[derive(Debug, Deserialize)]
pub struct SwapConflict {
    pub failed: Vec<String>,
}

#[derive(Clone, Debug, Deserialize)]
pub struct KeyValue {
    #[serde(rename = "Path")]
    pub key: String,
    #[serde(rename = "Value")]
    pub value: Value,
    #[serde(rename = "Colheita")]
    pub version: Version,
}

#[derive(Debug, Deserialize)]
pub struct KeyNotFound {
    #[serde(rename = "Safra")]
    pub revision: Version,
}

#[derive(Debug, Deserialize)]
pub struct RangePage {
    #[serde(rename = "Items")]
    pub items: Vec<KeyValue>,
    #[serde(rename = "More", default)]
    pub more: bool,
    #[serde(rename = "Safra")]
    pub revision: Version,
}

#[derive(Debug, Deserialize)]
pub struct WatchEvents {
    #[serde(rename = "Safra")]
    pub revision: Version,
    #[serde(rename = "Log")]
    pub log: Vec<WatchEvent>,
}

#[derive(Debug, Deserialize)]
pub struct WatchEvent {
    #[serde(rename = "Write", default)]
    pub put: Option<String>,
    #[serde(rename = "Delete", default)]
    pub delete: Option<String>,
    #[serde(rename = "Value", default)]
    pub value: Value,
    #[serde(rename = "Colheita")]
    pub version: Version,
}

#[derive(Debug, Deserialize)]
pub struct LeaseResponse {
    #[serde(rename = "Arrendo")]
    pub lease: LeaseId,
}
