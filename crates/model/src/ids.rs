//! Newtypes for identifiers, versions and times, so that the compiler tells them apart.

use serde::{Deserialize, Serialize};
use std::fmt;

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub std::sync::Arc<str>);

        impl $name {
            /// Creates the name from its text, without validating it.
            #[must_use]
            pub fn new(text: &str) -> Self {
                Self(text.into())
            }

            /// Returns the name as a string slice.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }
        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

macro_rules! number_type {
    ($(#[$doc:meta])* $name:ident, $inner:ty) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Debug, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }
    };
}

name_type!(
    /// The ID of a job, chosen by the user who submits it.
    JobId
);
name_type!(
    /// The ID of a machine, assigned by the cloud and never reused.
    MachineId
);
name_type!(
    /// The name of a controller, unique in the cluster.
    Member
);
name_type!(
    /// The name of a team; quotas and reservations belong to teams.
    Team
);

number_type!(
    /// The number of a shard of the fleet, from 0.
    ShardId,
    u32
);
number_type!(
    /// A shard leader's fencing token: the version at which it acquired `part/<shard>`; 0 means none.
    FencingToken,
    u64
);
number_type!(
    /// The version of a key in the key-value store, or a revision of the store; 0 means that the key
    /// does not exist.
    Version,
    u64
);
number_type!(
    /// The index of a task within its job, from 0.
    TaskIndex,
    u32
);
number_type!(
    /// The attempt number of a task, from 1; it never decreases.
    Attempt,
    u32
);
number_type!(
    /// The agent incarnation of a worker, from 1; with a new one, all tasks of the old one are gone.
    AgentIncarnation,
    u64
);
number_type!(
    /// The ID of a lease in the key-value store.
    LeaseId,
    u64
);
number_type!(
    /// The ID of a user's or worker's connection on which a request awaits its response.
    ConnectionId,
    u64
);
number_type!(
    /// The ID of an outgoing request to the key-value store, the cloud or a worker.
    CallId,
    u64
);

number_type!(
    /// The sequence number of a heartbeat within its agent incarnation.
    HeartbeatSequence,
    u64
);

/// A time on the monotonic clock of this process, in milliseconds.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Debug)]
pub struct MonotonicMillis(pub u64);

impl MonotonicMillis {
    /// Returns the milliseconds elapsed since `earlier`, or 0 if `earlier` is later.
    #[must_use]
    pub fn since(self, earlier: MonotonicMillis) -> u64 {
        self.0.saturating_sub(earlier.0)
    }

    /// Returns the time `ms` milliseconds later, saturating at the maximum.
    #[must_use]
    pub fn plus(self, ms: u64) -> MonotonicMillis {
        MonotonicMillis(self.0.saturating_add(ms))
    }
}

/// A time on the wall clock, in milliseconds since the Unix epoch. Clocks of controllers may differ
/// by the allowed skew.
#[derive(
    Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Debug, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct WallClockMillis(pub u64);

/// Converts seconds to milliseconds; negative and non-finite values give 0.
#[must_use]
pub fn seconds_to_ms(seconds: f64) -> u64 {
    const MAX_MS: f64 = 1e15;
    if seconds.is_finite() && seconds > 0.0 {
        (seconds * 1000.0).min(MAX_MS) as u64
    } else {
        0
    }
}

/// Whether a name chosen by a user is valid: 1 to 64 bytes of ASCII letters, digits and
/// `extra_bytes`, of which the first is a letter or digit. Such names become parts of record keys.
#[must_use]
pub fn is_valid_name(text: &str, extra_bytes: &[u8]) -> bool {
    (1..=64).contains(&text.len())
        && text
            .bytes()
            .all(|b| b.is_ascii_alphanumeric() || extra_bytes.contains(&b))
        && text.as_bytes()[0].is_ascii_alphanumeric()
}

/// Returns the shard that a machine belongs to, by the FNV-1a hash of its name.
#[must_use]
pub fn shard_of(machine: &str, shard_count: u32) -> ShardId {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    let mut hash = OFFSET_BASIS;
    for byte in machine.bytes() {
        hash ^= u64::from(byte);
        hash = hash.wrapping_mul(PRIME);
    }
    // The low bits of similar names take few distinct values, so mix in the high bits.
    hash ^= hash >> 29;
    ShardId((hash % u64::from(shard_count.max(1))) as u32)
}
