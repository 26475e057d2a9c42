//! Guards against stale data: the version at which each key was last seen to change.

use snowshelf_model::ids::Version;
use std::collections::HashMap;

/// The version at which each key was last seen to change or to be deleted. Reads, own writes and the
/// watch arrive in any order; only what is newer than the guard is applied.
#[derive(Default)]
pub(super) struct VersionGuards {
    versions: HashMap<String, Version>,
}

impl VersionGuards {
    /// Number of keys that have a guard.
    pub(super) fn len(&self) -> usize {
        self.versions.len()
    }

    /// The version at which a key was last seen to change.
    pub(super) fn get(&self, key: &str) -> Option<Version> {
        self.versions.get(key).copied()
    }

    /// Raises a key's guard; false if the guard is at this version or a later one already.
    #[must_use]
    pub(super) fn advance(&mut self, key: &str, version: Version) -> bool {
        if self.get(key).is_some_and(|seen| seen >= version) {
            return false;
        }
        self.set(key, version);
        true
    }

    /// Sets a key's guard.
    pub(super) fn set(&mut self, key: &str, version: Version) {
        self.versions.insert(key.to_string(), version);
    }

    /// Removes a key's guard.
    pub(super) fn remove(&mut self, key: &str) {
        self.versions.remove(key);
    }

    /// Removes the guards up to `revision` of keys for which `is_live` is false.
    pub(super) fn prune(&mut self, revision: Version, is_live: impl Fn(&str) -> bool) {
        self.versions
            .retain(|key, version| *version > revision || is_live(key));
    }
}
