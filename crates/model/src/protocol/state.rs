//! The state service: keys, transactions, leases, changes.

use crate::ids::{LeaseId, Version};
use serde::{Deserialize, Serialize};
use serde_json::Value;

#[derive(Clone, Debug, Serialize, PartialEq)]
pub struct Condition {
    #[serde(rename = "Path")]
    pub key: String,
    #[serde(rename = "Colheita")]
    pub version: Version,
}

#[derive(Clone, Debug, Serialize, PartialEq)]
#[serde(untagged)]
pub enum Change {
    Write {
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

impl Change {
    pub fn write<T: Serialize>(key: String, value: &T) -> Change {
        Change::Write {
            key,
            value: serde_json::to_value(value).unwrap_or(Value::Null),
            lease: None,
        }
    }
    pub fn key(&self) -> &str {
        match self {
            Change::Write { key, .. } | Change::Delete { key } => key,
        }
    }
}

#[derive(Clone, Debug, Serialize, PartialEq, Default)]
pub struct Txn {
    #[serde(rename = "If")]
    pub conditions: Vec<Condition>,
    /// Without any, the transaction only compares.
    #[serde(rename = "Apply", skip_serializing_if = "Vec::is_empty")]
    pub changes: Vec<Change>,
}

impl Txn {
    pub fn when(mut self, key: String, version: Version) -> Txn {
        self.conditions.push(Condition { key, version });
        self
    }
    pub fn then(mut self, change: Change) -> Txn {
        self.changes.push(change);
        self
    }
}

#[derive(Debug, Deserialize)]
pub struct TxnOk {
    #[serde(rename = "Safra")]
    pub revision: Version,
}

#[derive(Debug, Deserialize)]
pub struct TxnFailed {
    pub failed: Vec<String>,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Item {
    #[serde(rename = "Path")]
    pub key: String,
    #[serde(rename = "Value")]
    pub value: Value,
    #[serde(rename = "Colheita")]
    pub version: Version,
}

#[derive(Debug, Deserialize)]
pub struct Missing {
    #[serde(rename = "Safra")]
    pub revision: Version,
}

#[derive(Debug, Deserialize)]
pub struct Page {
    #[serde(rename = "Items")]
    pub items: Vec<Item>,
    #[serde(rename = "More", default)]
    pub more: bool,
    #[serde(rename = "Safra")]
    pub revision: Version,
}

#[derive(Debug, Deserialize)]
pub struct Changes {
    #[serde(rename = "Safra")]
    pub revision: Version,
    #[serde(rename = "Log")]
    pub log: Vec<Logged>,
}

#[derive(Debug, Deserialize)]
pub struct Logged {
    #[serde(rename = "Write", default)]
    pub write: Option<String>,
    #[serde(rename = "Delete", default)]
    pub delete: Option<String>,
    #[serde(rename = "Value", default)]
    pub value: Value,
    #[serde(rename = "Colheita")]
    pub version: Version,
}

#[derive(Debug, Deserialize)]
pub struct LeaseAnswer {
    #[serde(rename = "Arrendo")]
    pub lease: LeaseId,
}
