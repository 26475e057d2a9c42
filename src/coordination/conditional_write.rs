//! Optimistic concurrency: writes that apply only if a record still has the version that the decision was based on.

use serde_json::Value;
use snowshelf_model::ids::Version;
use snowshelf_model::protocol::state::{CompareAndSwap, Mutation};

/// What a conditional write does to its record.
#[derive(Clone, PartialEq, Debug)]
pub(super) enum RecordUpdate {
    /// Leaves the record unchanged and only checks its version.
    Unchanged,
    /// Replaces the record's value, or creates the record.
    Put(Value),
    /// Deletes the record.
    Delete,
}

/// An update of one record that applies only if the record has the expected version.
#[derive(Clone, PartialEq, Debug)]
pub(super) struct ConditionalWrite {
    /// The record's key.
    pub key: String,
    /// The expected version; 0 if the record must not exist.
    pub version: Version,
    /// The update to apply.
    pub update: RecordUpdate,
}

impl ConditionalWrite {
    /// Whether the write changes the record, rather than only checking its version.
    #[must_use]
    pub(super) fn changes_record(&self) -> bool {
        self.update != RecordUpdate::Unchanged
    }

    /// The record's new value; `None` if it is deleted or unchanged.
    #[must_use]
    pub(super) fn value(&self) -> Option<&Value> {
        match &self.update {
            RecordUpdate::Put(value) => Some(value),
            RecordUpdate::Unchanged | RecordUpdate::Delete => None,
        }
    }

    /// The mutation for the key-value store; `None` if only the version is checked.
    #[must_use]
    pub(super) fn mutation(&self) -> Option<Mutation> {
        match &self.update {
            RecordUpdate::Unchanged => None,
            RecordUpdate::Put(value) => Some(Mutation::put(self.key.clone(), value)),
            RecordUpdate::Delete => Some(Mutation::Delete {
                key: self.key.clone(),
            }),
        }
    }

    /// Adds this write's version comparison and mutation to `swap`.
    #[must_use]
    pub(super) fn add_to(&self, swap: CompareAndSwap) -> CompareAndSwap {
        let mut swap = swap.compare(self.key.clone(), self.version);
        swap.mutations.extend(self.mutation());
        swap
    }
}
