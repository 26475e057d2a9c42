//! The holder of a lease: the leader or a shard leader.

use crate::ids::{LeaseId, Member};
use serde::{Deserialize, Serialize};

/// The record `part/<shard>` or `leader`: the controller that holds the role, and its lease.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct LeaseHolder {
    /// The controller that is the leader or shard leader.
    #[serde(rename = "owner")]
    pub member: Member,
    /// The controller's lease; the record is deleted when the lease expires.
    pub lease: LeaseId,
}
