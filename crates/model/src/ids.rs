//! Small types for names, versions and times, so that they cannot be mixed up.

use serde::{Deserialize, Serialize};
use std::fmt;

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub std::sync::Arc<str>);

        impl $name {
            pub fn new(text: &str) -> Self {
                Self(text.into())
            }
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
    /// The number of a part of the fleet.
    ShardId,
    u32
);
number_type!(
    /// Who may command a part: the version at which `part/<p>` was taken.
    FencingToken,
    u64
);
number_type!(
    /// The version of a key in the state service; 0 means that it does not exist.
    Version,
    u64
);
number_type!(
    /// The number of a task inside its job.
    TaskIndex,
    u32
);
number_type!(
    /// Which try at a task this is; only ever rises.
    Attempt,
    u32
);
number_type!(
    /// A worker's session; a new one means that all earlier tasks are gone.
    AgentIncarnation,
    u64
);
number_type!(
    /// A lease of the state service.
    LeaseId,
    u64
);
number_type!(
    /// A user's or worker's request that waits for its answer.
    ConnectionId,
    u64
);
number_type!(
    /// One outgoing call.
    CallId,
    u64
);

/// A point on this process's steady clock, in milliseconds.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Debug)]
pub struct MonotonicMillis(pub u64);

impl MonotonicMillis {
    /// The time that has passed since `earlier`, zero if that lies ahead.
    pub fn since(self, earlier: MonotonicMillis) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
    pub fn plus(self, ms: u64) -> MonotonicMillis {
        MonotonicMillis(self.0.saturating_add(ms))
    }
}

/// Milliseconds of the time of day; differs between controllers by the allowed skew.
#[derive(
    Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Debug, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct WallClockMillis(pub u64);

/// Turns seconds from outside into milliseconds; never panics, never negative.
pub fn seconds_to_ms(seconds: f64) -> u64 {
    if seconds.is_finite() && seconds > 0.0 {
        (seconds * 1000.0).min(1e15) as u64
    } else {
        0
    }
}

/// Whether a name chosen by users is sound: 1 to 64 letters, digits and `marks`, a letter or digit first.
/// Keys of the state service are made of such names.
pub fn is_valid_name(text: &str, marks: &[u8]) -> bool {
    (1..=64).contains(&text.len())
        && text
            .bytes()
            .all(|b| b.is_ascii_alphanumeric() || marks.contains(&b))
        && text.as_bytes()[0].is_ascii_alphanumeric()
}

/// The part that a machine belongs to: FNV-1a of its name.
pub fn shard_of(machine: &str, shard_count: u32) -> ShardId {
    let mut hash: u64 = 0xcbf2_9ce4_8422_2325;
    for byte in machine.bytes() {
        hash ^= u64::from(byte);
        hash = hash.wrapping_mul(0x0000_0100_0000_01b3);
    }
    // The low bits of neighbouring names fall into few classes: fold the high ones in.
    hash ^= hash >> 29;
    ShardId((hash % u64::from(shard_count.max(1))) as u32)
}

number_type!(
    /// The number of a worker's report inside its session.
    HeartbeatSequence,
    u64
);
