//! Guards that keep stale data out of the cache.

use snowshelf_model::ids::Version;
use std::collections::HashMap;

/// The guard of each key: the newest known version at which the key changed or was deleted. Reads, own writes
/// and events of the watch arrive in any order, and only those newer than the guard are applied.
#[derive(Default)]
pub(super) struct VersionGuards {
    versions: HashMap<String, Version>,
}

impl VersionGuards {
    /// Number of keys that have a guard.
    pub(super) fn len(&self) -> usize {
        self.versions.len()
    }

    /// The guard of a key; `None` if it has none.
    pub(super) fn get(&self, key: &str) -> Option<Version> {
        self.versions.get(key).copied()
    }

    /// Raises a key's guard to `version`. Returns false if the guard is already at this version or a later one.
    #[must_use]
    pub(super) fn advance(&mut self, key: &str, version: Version) -> bool {
        if self.get(key).is_some_and(|seen| seen >= version) {
            return false;
        }
        self.set(key, version);
        true
    }

    /// Sets a key's guard to `version`, whatever it was before.
    pub(super) fn set(&mut self, key: &str, version: Version) {
        self.versions.insert(key.to_string(), version);
    }

    /// Removes a key's guard.
    pub(super) fn remove(&mut self, key: &str) {
        self.versions.remove(key);
    }

    /// Removes the guards at or below `revision` of keys for which `is_live` returns false.
    pub(super) fn prune(&mut self, revision: Version, is_live: impl Fn(&str) -> bool) {
        self.versions
            .retain(|key, version| *version > revision || is_live(key));
    }
}
