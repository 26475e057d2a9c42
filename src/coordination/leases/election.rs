//! Acquisition, release and handover of roles.

use super::decision::PREFERENCE_MS;
use super::{KeyHolder, LeaseRequest, Leases, Role, RoleDecision, RoleObservation, decide_role};
use crate::coordination::context::{Context, KvRequest};
use crate::storage::kv_client::{RequestPriority, SwapOutcome};
use serde_json::Value;
use snowshelf_model::ids::{FencingToken, LeaseId, MonotonicMillis, ShardId, Version};
use snowshelf_model::protocol::state::{CompareAndSwap, Mutation};
use snowshelf_model::records::{LEADER_KEY, LeaseHolder, shard_key};
use std::collections::BTreeSet;

/// A controller that workers cannot reach acquires a shard only if it has been vacant for longer than this.
const UNREACHABLE_VACANCY_MS: u64 = 5_000;
/// A controller that has been up for longer than this may acquire the vacant cluster leadership immediately.
const CLUSTER_LEADER_UPTIME_MS: u64 = 2 * PREFERENCE_MS;
/// Pause before a lost role is acquired again.
const LOST_RETRY_MS: u64 = 300;
/// Pause before a released shard is acquired again.
const RELEASED_RETRY_MS: u64 = 3_000;
/// Pause after an acquisition that failed or whose outcome is unknown.
const ACQUISITION_RETRY_MS: u64 = 400;
/// Shortest time between two releases.
const RELEASE_INTERVAL_MS: u64 = 2_000;
/// A controller that leads fewer shards than this releases none to their home members.
const MIN_SHARDS_TO_RELEASE: usize = 2;

fn role_key(role: Role) -> String {
    match role {
        Role::ShardLeader(shard_id) => shard_key(shard_id),
        Role::ClusterLeader => LEADER_KEY.to_string(),
    }
}

/// The value of a role's key when this controller holds the role.
fn holder_value(lease: LeaseId, context: &Context<'_>) -> Value {
    let holder = LeaseHolder {
        member: context.config.local_member.clone(),
        lease,
    };
    serde_json::to_value(&holder).unwrap_or_default()
}

fn cached_holder(role: Role, context: &Context<'_>) -> Option<KeyHolder> {
    let record = match role {
        Role::ShardLeader(shard_id) => context.records.shard_leaders.get(&shard_id),
        Role::ClusterLeader => context.records.leader.as_ref(),
    }?;
    Some(KeyHolder {
        is_self: record.value.member == context.config.local_member,
        version: record.version,
    })
}

impl Leases {
    /// Requests the roles that this controller may acquire now. Every role is observed, to track since when
    /// it has been vacant.
    pub(super) fn tick_election(
        &mut self,
        first_tick_at: MonotonicMillis,
        context: &mut Context<'_>,
    ) {
        let shards = (0..context.config.shard_count).map(ShardId);
        let roles = shards.map(Role::ShardLeader).chain([Role::ClusterLeader]);
        for role in roles {
            let observation = self.observe(role, first_tick_at, context);
            if self.acquiring.contains(&role) || self.is_paused(role, context.now()) {
                continue;
            }
            if let RoleDecision::Acquire(version) = decide_role(&observation) {
                self.acquire(role, version, context);
            }
        }
    }

    fn is_paused(&self, role: Role, now: MonotonicMillis) -> bool {
        self.retry_at.get(&role).is_some_and(|at| *at > now)
    }

    /// Collects what is known about a role, and tracks since when it has been vacant.
    fn observe(
        &mut self,
        role: Role,
        first_tick_at: MonotonicMillis,
        context: &Context<'_>,
    ) -> RoleObservation {
        let now = context.now();
        let holder = cached_holder(role, context);
        if holder.is_some() {
            self.vacant_since.remove(&role);
        }
        let vacant_ms = now.since(*self.vacant_since.entry(role).or_insert(now));
        // For a shard, a controller that workers cannot reach reports a vacancy of 0 ms. It therefore
        // acquires the shard only as its preferred controller, which it becomes after the longer
        // `UNREACHABLE_VACANCY_MS`.
        let unreachable_shard = self.unreachable_by_workers && matches!(role, Role::ShardLeader(_));
        let preferred = match role {
            Role::ShardLeader(_) if unreachable_shard => vacant_ms > UNREACHABLE_VACANCY_MS,
            Role::ShardLeader(shard_id) => {
                *context.config.home(shard_id) == context.config.local_member
            }
            Role::ClusterLeader => now.since(first_tick_at) > CLUSTER_LEADER_UPTIME_MS,
        };
        RoleObservation {
            holder,
            fencing_token: self.fencing_tokens.get(&role).copied(),
            preferred,
            vacant_ms: if unreachable_shard { 0 } else { vacant_ms },
        }
    }

    /// Requests a role by writing its key, bound to this controller's lease, if the key still has `version`.
    /// Sends nothing without a lease or request budget; a later tick then tries again.
    /// [`Leases::on_acquisition`] handles the outcome.
    fn acquire(&mut self, role: Role, version: Version, context: &mut Context<'_>) {
        let Some(lease) = self.lease else { return };
        if !context
            .kv
            .has_budget(context.now(), RequestPriority::LeaseUpkeep, 1)
        {
            return;
        }
        let swap = CompareAndSwap::default()
            .compare(role_key(role), version)
            .mutate(Mutation::Put {
                key: role_key(role),
                value: holder_value(lease, context),
                lease: Some(lease),
            });
        self.acquiring.insert(role);
        tracing::info!(?role, version = version.0, "acquiring role");
        let request = KvRequest::Leases(LeaseRequest::Acquire(role));
        context.kv.compare_and_swap(context.effects, request, &swap);
    }

    /// Handles the outcome of an acquisition. Returns the fencing token if the role was acquired.
    pub(super) fn on_acquisition(
        &mut self,
        role: Role,
        outcome: &SwapOutcome,
        context: &mut Context<'_>,
    ) -> Option<FencingToken> {
        if !self.acquiring.remove(&role) {
            return None;
        }
        match outcome {
            SwapOutcome::Applied(revision) => {
                let value = holder_value(self.lease?, context);
                let key = role_key(role);
                context.records.apply(&key, Some(&value), *revision);
                let fencing_token = FencingToken(revision.0);
                tracing::info!(?role, fencing_token = %fencing_token, "leadership acquired");
                self.fencing_tokens.insert(role, fencing_token);
                Some(fencing_token)
            }
            SwapOutcome::LeaseExpired => {
                self.forget_lease();
                None
            }
            // If a write with an unknown outcome was applied, the record cache will name this member as the holder. The
            // role is then acquired again with a known fencing token.
            SwapOutcome::Unknown
            | SwapOutcome::NotApplied
            | SwapOutcome::Rejected
            | SwapOutcome::Conflict(_) => {
                let retry_at = context.now().plus(ACQUISITION_RETRY_MS);
                self.retry_at.insert(role, retry_at);
                None
            }
        }
    }

    /// Drops a role that another controller holds.
    pub fn drop_role(&mut self, role: Role, now: MonotonicMillis) {
        self.fencing_tokens.remove(&role);
        self.retry_at.insert(role, now.plus(LOST_RETRY_MS));
    }

    /// Releases a shard to its home member once that is available again, to balance the load.
    pub(super) fn release_to_home_member(
        &mut self,
        available_homes: &BTreeSet<ShardId>,
        context: &mut Context<'_>,
    ) {
        if context.now() < self.next_release_at || self.releasing.is_some() {
            return;
        }
        let led = self.led_shards();
        if led.len() < MIN_SHARDS_TO_RELEASE {
            return;
        }
        let config = context.config;
        let released = led.into_iter().find(|(shard_id, _)| {
            *config.home(*shard_id) != config.local_member && available_homes.contains(shard_id)
        });
        if let Some((shard_id, fencing_token)) = released {
            tracing::info!(shard = %shard_id, fencing_token = %fencing_token, "shard handed back to its home member");
            self.release(shard_id, fencing_token, context);
        }
    }

    /// Releases a shard so that a controller that its workers can reach may acquire it.
    pub fn hand_over(&mut self, shard_id: ShardId, context: &mut Context<'_>) {
        if self.releasing.is_some() {
            return;
        }
        if let Some(fencing_token) = self.fencing_token(shard_id) {
            tracing::info!(shard = %shard_id, fencing_token = %fencing_token, "shard handed over: unreachable by workers");
            self.release(shard_id, fencing_token, context);
        }
    }

    fn release(
        &mut self,
        shard_id: ShardId,
        fencing_token: FencingToken,
        context: &mut Context<'_>,
    ) {
        let now = context.now();
        if !context.kv.has_budget(now, RequestPriority::LeaseUpkeep, 1) {
            return;
        }
        self.releasing = Some(shard_id);
        // From here on the shard's writes are fenced, since each compares the version of the key that is deleted.
        let role = Role::ShardLeader(shard_id);
        self.fencing_tokens.remove(&role);
        self.retry_at.insert(role, now.plus(RELEASED_RETRY_MS));
        self.next_release_at = now.plus(RELEASE_INTERVAL_MS);
        let swap = CompareAndSwap::default()
            .compare(shard_key(shard_id), Version(fencing_token.0))
            .mutate(Mutation::Delete {
                key: shard_key(shard_id),
            });
        let request = KvRequest::Leases(LeaseRequest::Release(shard_id));
        context.kv.compare_and_swap(context.effects, request, &swap);
    }

    /// Handles the outcome of a release.
    pub(super) fn on_release(
        &mut self,
        shard_id: ShardId,
        outcome: &SwapOutcome,
        context: &mut Context<'_>,
    ) {
        self.releasing = None;
        if let SwapOutcome::Applied(revision) = *outcome {
            context.records.apply(&shard_key(shard_id), None, revision);
        }
    }
}
