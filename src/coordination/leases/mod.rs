//! The lease of this process in the key-value store, and the roles attached to it: which shards this controller leads,
//! and whether it leads the cluster.
//!
//! A role is a key of the key-value store that expires with the lease. The revision at which the key was written is the
//! role's fencing token: every write that depends on the role compares that revision.

mod decision;
mod election;
mod renewal;

pub use decision::{KeyHolder, LeaseDecision, RoleObservation, decide_lease};

use super::context::Context;
use crate::storage::kv_client::{KvResponse, unexpected_response};
use snowshelf_model::ids::{FencingToken, LeaseId, MonotonicMillis, ShardId};
use std::collections::{BTreeMap, BTreeSet};

/// What a controller may be elected to.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub enum Role {
    /// Leads one shard: schedules its jobs on its machines.
    ShardLeader(ShardId),
    /// Leads the cluster: scales it, and drains machines.
    ClusterLeader,
}

/// What the leases ask of the key-value store.
#[derive(Clone, Debug)]
pub enum LeaseRequest {
    /// Grants this process a lease.
    Grant,
    /// Extends the lease.
    Renew {
        /// When the renewal was sent: the lease is valid from then on.
        sent_at: MonotonicMillis,
    },
    /// Attaches a role's key to the lease.
    Acquire(Role),
    /// Deletes a shard's key, so that another controller may acquire it.
    Release(ShardId),
}

/// What a response changes of the roles that this controller holds.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum RoleChange {
    /// Nothing that other actors must act on.
    Unchanged,
    /// The role was acquired with this fencing token.
    Acquired(Role, FencingToken),
    /// The lease has expired, and every role with it.
    AllLost,
}

/// The lease of this process and the roles attached to it.
#[derive(Default)]
pub struct Leases {
    /// The lease, as far as this process knows.
    lease: Option<LeaseId>,
    /// When a lease was asked for, while none has been granted.
    grant_requested_at: Option<MonotonicMillis>,
    /// When the renewal that is under way was sent.
    renewal_sent_at: Option<MonotonicMillis>,
    next_renewal_at: MonotonicMillis,
    /// The lease is certain not to have expired before then.
    valid_until: MonotonicMillis,
    /// The roles that this controller holds.
    fencing_tokens: BTreeMap<Role, FencingToken>,
    /// Roles with an acquisition under way.
    acquiring: BTreeSet<Role>,
    /// Since when a role has had no holder.
    vacant_since: BTreeMap<Role, MonotonicMillis>,
    /// A role is not acquired before then.
    retry_at: BTreeMap<Role, MonotonicMillis>,
    /// The shard whose release is under way.
    releasing: Option<ShardId>,
    next_release_at: MonotonicMillis,
    first_tick_at: Option<MonotonicMillis>,
    /// No worker reaches this controller: it acquires no shard that another controller may acquire.
    pub unreachable_by_workers: bool,
}

impl Leases {
    /// Whether this process has a lease, which may have expired.
    #[must_use]
    pub fn has_lease(&self) -> bool {
        self.lease.is_some()
    }

    /// Whether the lease of this process is certain not to have expired.
    #[must_use]
    pub fn is_valid(&self, now: MonotonicMillis) -> bool {
        self.lease.is_some() && now < self.valid_until
    }

    /// The fencing token of a shard that this controller leads.
    #[must_use]
    pub fn fencing_token(&self, shard_id: ShardId) -> Option<FencingToken> {
        self.fencing_tokens
            .get(&Role::ShardLeader(shard_id))
            .copied()
    }

    /// The fencing token of the cluster leader, if that is this controller.
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

    /// Renews the lease, acquires vacant roles and releases shards to their home members.
    ///
    /// `available_homes` are the shards whose home member can lead them.
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
