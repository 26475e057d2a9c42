//! Types for names, numbers, versions and times, so that they cannot be confused.

use serde::{Deserialize, Serialize};
use std::fmt;

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub std::sync::Arc<str>);

        impl $name {
            /// The name with this text.
            #[must_use]
            pub fn new(text: &str) -> Self {
                Self(text.into())
            }

            /// The name's text.
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
    /// A job's name, chosen by its user.
    JobId
);
name_type!(
    /// A machine's name, chosen by the cloud and never used twice.
    MachineId
);
name_type!(
    /// A controller's name.
    Member
);
name_type!(
    /// A team's name.
    Team
);

number_type!(
    /// The number of a shard of the fleet.
    ShardId,
    u32
);
number_type!(
    /// A shard leader's fencing token: the version at which it acquired `part/<shard>`. 0: none.
    FencingToken,
    u64
);
number_type!(
    /// The version of a key in the key-value store, or a revision of the store; 0: the key does not exist.
    Version,
    u64
);
number_type!(
    /// The number of a task within its job, from 0.
    TaskIndex,
    u32
);
number_type!(
    /// The attempt of a task, from 1; it never decreases.
    Attempt,
    u32
);
number_type!(
    /// The incarnation of a worker's agent; a new one means that all earlier tasks are gone.
    AgentIncarnation,
    u64
);
number_type!(
    /// A lease of the key-value store.
    LeaseId,
    u64
);
number_type!(
    /// A connection of a user or worker whose request waits for its response.
    ConnectionId,
    u64
);
number_type!(
    /// An outgoing call.
    CallId,
    u64
);

number_type!(
    /// The number of a heartbeat within its agent's incarnation.
    HeartbeatSequence,
    u64
);

/// A time by this process's monotonic clock, in milliseconds.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Debug)]
pub struct MonotonicMillis(pub u64);

impl MonotonicMillis {
    /// The milliseconds since `earlier`; 0 if that is later.
    #[must_use]
    pub fn since(self, earlier: MonotonicMillis) -> u64 {
        self.0.saturating_sub(earlier.0)
    }

    /// The time `ms` milliseconds later.
    #[must_use]
    pub fn plus(self, ms: u64) -> MonotonicMillis {
        MonotonicMillis(self.0.saturating_add(ms))
    }
}

/// A time by the wall clock, in milliseconds since 1970; differs between controllers by the allowed skew.
#[derive(
    Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Debug, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct WallClockMillis(pub u64);

/// Converts seconds to milliseconds; 0 for numbers that are negative or not finite.
#[must_use]
pub fn seconds_to_ms(seconds: f64) -> u64 {
    const MAX_MS: f64 = 1e15;
    if seconds.is_finite() && seconds > 0.0 {
        (seconds * 1000.0).min(MAX_MS) as u64
    } else {
        0
    }
}

/// Whether a name chosen by a user is valid: 1 to 64 letters, digits and `marks`, a letter or digit first.
/// Such names are parts of keys in the key-value store.
#[must_use]
pub fn is_valid_name(text: &str, marks: &[u8]) -> bool {
    (1..=64).contains(&text.len())
        && text
            .bytes()
            .all(|b| b.is_ascii_alphanumeric() || marks.contains(&b))
        && text.as_bytes()[0].is_ascii_alphanumeric()
}

/// The shard that a machine belongs to, by the FNV-1a hash of its name.
#[must_use]
pub fn shard_of(machine: &str, shard_count: u32) -> ShardId {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    let mut hash = OFFSET_BASIS;
    for byte in machine.bytes() {
        hash ^= u64::from(byte);
        hash = hash.wrapping_mul(PRIME);
    }
    // The low bits of similar names take few values: mix the high bits in.
    hash ^= hash >> 29;
    ShardId((hash % u64::from(shard_count.max(1))) as u32)
}
