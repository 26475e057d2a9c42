//! A change of one record on condition that it still has the version on which the decision rests.

use serde_json::Value;
use snowshelf_model::ids::Version;
use snowshelf_model::protocol::state::{CompareAndSwap, Mutation};

/// What becomes of a record.
#[derive(Clone, PartialEq, Debug)]
pub(super) enum RecordUpdate {
    /// It stays: only its version is checked.
    Unchanged,
    /// It gets this value.
    Put(Value),
    /// It is deleted.
    Delete,
}

/// An update of one record, on condition of its version.
#[derive(Clone, PartialEq, Debug)]
pub(super) struct ConditionalWrite {
    /// The key of the record.
    pub key: String,
    /// The version on which the decision rests; 0 if the record must not exist.
    pub version: Version,
    /// What becomes of the record.
    pub update: RecordUpdate,
}

impl ConditionalWrite {
    /// Whether the record changes.
    #[must_use]
    pub(super) fn changes_record(&self) -> bool {
        self.update != RecordUpdate::Unchanged
    }

    /// The record's value after the write; none if it is deleted or unchanged.
    #[must_use]
    pub(super) fn value(&self) -> Option<&Value> {
        match &self.update {
            RecordUpdate::Put(value) => Some(value),
            RecordUpdate::Unchanged | RecordUpdate::Delete => None,
        }
    }

    /// The mutation that makes the update, if there is one.
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

    /// `swap` with the comparison and the mutation of this write.
    #[must_use]
    pub(super) fn add_to(&self, swap: CompareAndSwap) -> CompareAndSwap {
        let mut swap = swap.compare(self.key.clone(), self.version);
        swap.mutations.extend(self.mutation());
        swap
    }
}
