//! The holder of a lease: the leader, or the owner of a shard.

use crate::ids::{LeaseId, Member};
use serde::{Deserialize, Serialize};

/// `part/<shard>` and `leader`: who holds the role, and under which lease.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct LeaseHolder {
    /// The controller that holds the role.
    pub owner: Member,
    /// Its lease; the record is deleted when the lease expires.
    pub lease: LeaseId,
}
