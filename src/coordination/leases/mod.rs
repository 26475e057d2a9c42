//! The lease of this process in the key-value store, and the roles attached to it: shard leaderships and the cluster
//! leadership.
//!
//! A role is a key in the key-value store that expires with the lease. The revision at which the key was written is the
//! role's fencing token: every write that depends on the role compares the key's version with it.

mod decision;
mod election;
mod renewal;

pub use decision::{KeyHolder, RoleDecision, RoleObservation, decide_role};

use super::context::Context;
use crate::storage::kv_client::{KvResponse, unexpected_response};
use snowshelf_model::ids::{FencingToken, LeaseId, MonotonicMillis, ShardId};
use std::collections::{BTreeMap, BTreeSet};

/// A leadership role that a controller can hold.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub enum Role {
    /// Leads a shard: schedules the shard's jobs on its machines.
    ShardLeader(ShardId),
    /// Leads the cluster: scales it and drains machines.
    ClusterLeader,
}

/// A request of the leases to the key-value store.
#[derive(Clone, Debug)]
pub enum LeaseRequest {
    /// Requests a lease for this process.
    Grant,
    /// Renews the lease.
    Renew {
        /// When the renewal was sent. The renewed time to live counts from then.
        sent_at: MonotonicMillis,
    },
    /// Attaches a role's key to the lease.
    Acquire(Role),
    /// Deletes a shard's key, so that another controller can acquire the shard.
    Release(ShardId),
}

/// How a response changes the roles that this controller holds.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum RoleChange {
    /// No change that other actors must act on.
    Unchanged,
    /// The role was acquired with this fencing token.
    Acquired(Role, FencingToken),
    /// The lease has expired, and every role with it.
    AllLost,
}

/// The lease of this process and the roles attached to it.
#[derive(Default)]
pub struct Leases {
    /// The lease; `None` before the first grant and once it is known to have expired.
    lease: Option<LeaseId>,
    /// When a lease was requested; `None` if no request is pending.
    grant_requested_at: Option<MonotonicMillis>,
    /// When the renewal in flight was sent.
    renewal_sent_at: Option<MonotonicMillis>,
    next_renewal_at: MonotonicMillis,
    /// The lease is guaranteed to be valid until then.
    valid_until: MonotonicMillis,
    /// The roles that this controller holds, with their fencing tokens.
    fencing_tokens: BTreeMap<Role, FencingToken>,
    /// Roles with an acquisition in flight.
    acquiring: BTreeSet<Role>,
    /// Since when each vacant role has had no holder.
    vacant_since: BTreeMap<Role, MonotonicMillis>,
    /// The earliest time at which a role may be acquired again.
    retry_at: BTreeMap<Role, MonotonicMillis>,
    /// The shard whose release is in flight.
    releasing: Option<ShardId>,
    next_release_at: MonotonicMillis,
    first_tick_at: Option<MonotonicMillis>,
    /// Whether workers cannot reach this controller. It then leaves vacant shards to other controllers for a while.
    pub unreachable_by_workers: bool,
}

impl Leases {
    /// Whether this process has a lease. The lease may have expired without this process knowing it yet.
    #[must_use]
    pub fn has_lease(&self) -> bool {
        self.lease.is_some()
    }

    /// Whether this process's lease is guaranteed not to have expired.
    #[must_use]
    pub fn is_valid(&self, now: MonotonicMillis) -> bool {
        self.lease.is_some() && now < self.valid_until
    }

    /// The fencing token for a shard; `None` if this controller does not lead it.
    #[must_use]
    pub fn fencing_token(&self, shard_id: ShardId) -> Option<FencingToken> {
        self.fencing_tokens
            .get(&Role::ShardLeader(shard_id))
            .copied()
    }

    /// The fencing token of the cluster leadership; `None` if this controller does not hold it.
    #[must_use]
    pub fn cluster_fencing_token(&self) -> Option<FencingToken> {
        self.fencing_tokens.get(&Role::ClusterLeader).copied()
    }

    /// The shards that this controller leads, with their fencing tokens.
    #[must_use]
    pub fn led_shards(&self) -> Vec<(ShardId, FencingToken)> {
        self.fencing_tokens
            .iter()
            .filter_map(|(role, fencing_token)| match role {
                Role::ShardLeader(shard_id) => Some((*shard_id, *fencing_token)),
                Role::ClusterLeader => None,
            })
            .collect()
    }

    /// Renews the lease, acquires vacant roles and releases shards to their home members. `available_homes` are the
    /// shards whose home members can lead them.
    pub fn tick(&mut self, available_homes: &BTreeSet<ShardId>, context: &mut Context<'_>) {
        let first_tick_at = *self.first_tick_at.get_or_insert(context.now());
        self.tick_renewal(context);
        if !context.records.shard_leaders_read || !self.is_valid(context.now()) {
            self.vacant_since.clear();
            return;
        }
        self.tick_election(first_tick_at, context);
        self.release_to_home_member(available_homes, context);
    }

    /// Handles a response of the key-value store.
    pub fn on_response(
        &mut self,
        request: LeaseRequest,
        response: KvResponse,
        context: &mut Context<'_>,
    ) -> RoleChange {
        match (request, response) {
            (LeaseRequest::Grant, KvResponse::LeaseGrant(lease)) => {
                self.on_grant(lease, context);
                RoleChange::Unchanged
            }
            (LeaseRequest::Renew { sent_at }, KvResponse::Renewal(renewed)) => {
                self.on_renewal(sent_at, renewed, context)
            }
            (LeaseRequest::Acquire(role), KvResponse::Swap(outcome)) => self
                .on_acquisition(role, &outcome, context)
                .map_or(RoleChange::Unchanged, |fencing_token| {
                    RoleChange::Acquired(role, fencing_token)
                }),
            (LeaseRequest::Release(shard_id), KvResponse::Swap(outcome)) => {
                self.on_release(shard_id, &outcome, context);
                RoleChange::Unchanged
            }
            (request, _) => {
                unexpected_response(&request);
                RoleChange::Unchanged
            }
        }
    }
}
