//! Who owns which part, and who leads: keys of the state service attached to this process's lease.

use super::context::{Config, Context, KvRequest, Role};
use crate::storage::kv_client::{
    KvResponse, RenewalOutcome, RequestPriority, SwapOutcome, unexpected_response,
};
use snowshelf_model::ids::{FencingToken, LeaseId, MonotonicMillis, ShardId, Version};
use snowshelf_model::protocol::state::{CompareAndSwap, Mutation};
use snowshelf_model::records::{LEADER_KEY, LeaseHolder, shard_key};
use std::collections::{BTreeMap, BTreeSet};

/// A part without owner is left to its home member for so long.
const HOME_FIRST_MS: u64 = 700;
/// A controller that no worker reaches takes a part that nobody else has taken for so long.
const DEAF_LAST_MS: u64 = 5_000;
/// The steady clock may run fast or slow by 0.05%; a tenth of that again for measuring.
const DRIFT_PER_MILLE: u64 = 1;

/// What the leases ask of the key-value store.
#[derive(Clone, Debug)]
pub enum LeaseRequest {
    /// Grants this process a lease.
    Grant,
    Renew {
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
    Unchanged,
    Acquired(Role, FencingToken),
    /// The lease has expired, and every role with it.
    AllLost,
}

#[derive(Default)]
pub struct Leases {
    pub lease: Option<LeaseId>,
    asked_lease: Option<MonotonicMillis>,
    renewing: Option<MonotonicMillis>,
    next_renew: MonotonicMillis,
    /// Until when the lease surely holds.
    valid_until: MonotonicMillis,
    pub held: BTreeMap<Role, FencingToken>,
    acquiring: BTreeSet<Role>,
    vacant_since: BTreeMap<Role, MonotonicMillis>,
    retry_at: BTreeMap<Role, MonotonicMillis>,
    giving: Option<ShardId>,
    give_at: MonotonicMillis,
    started: Option<MonotonicMillis>,
    /// No worker reaches this controller: it takes no part that another may take.
    pub deaf: bool,
}

fn key(role: Role) -> String {
    match role {
        Role::ShardLeader(shard_id) => shard_key(shard_id),
        Role::ClusterLeader => LEADER_KEY.to_string(),
    }
}

/// What to do about a key nobody or somebody holds: pure, so that it is tested without a world.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum LeaseDecision {
    Keep,
    /// Take it if its version is still this.
    Acquire(Version),
}

pub fn decide_lease(
    holder: Option<(bool, Version)>,
    held: Option<FencingToken>,
    home: bool,
    free_for_ms: u64,
) -> LeaseDecision {
    match (holder, held) {
        // Mine as far as anybody knows.
        (Some((true, version)), Some(fencing_token)) if fencing_token.0 >= version.0 => {
            LeaseDecision::Keep
        }
        // It carries my name from an earlier life: take it at once, with a new token.
        (Some((true, version)), _) => LeaseDecision::Acquire(version),
        (Some((false, _)), _) => LeaseDecision::Keep,
        (None, Some(_)) => LeaseDecision::Keep,
        (None, None) if home || free_for_ms >= HOME_FIRST_MS => LeaseDecision::Acquire(Version(0)),
        (None, None) => LeaseDecision::Keep,
    }
}

impl Leases {
    /// Whether this process's lease surely holds.
    pub fn fresh(&self, now: MonotonicMillis) -> bool {
        self.lease.is_some() && now < self.valid_until
    }

    pub fn fencing_token(&self, shard_id: ShardId) -> Option<FencingToken> {
        self.held.get(&Role::ShardLeader(shard_id)).copied()
    }

    pub fn leads(&self) -> Option<FencingToken> {
        self.held.get(&Role::ClusterLeader).copied()
    }

    pub fn shards(&self) -> Vec<(ShardId, FencingToken)> {
        self.held
            .iter()
            .filter_map(|(c, t)| match c {
                Role::ShardLeader(p) => Some((*p, *t)),
                Role::ClusterLeader => None,
            })
            .collect()
    }

    pub fn lose(&mut self, role: Role, now: MonotonicMillis) {
        self.held.remove(&role);
        self.retry_at.insert(role, now.plus(300));
    }

    fn holder(role: Role, context: &Context) -> Option<(bool, Version)> {
        let record = match role {
            Role::ShardLeader(shard_id) => context.records.shard_owners.get(&shard_id),
            Role::ClusterLeader => context.records.leader.as_ref(),
        }?;
        Some((record.value.owner == context.config.me, record.version))
    }

    pub fn tick(&mut self, up_homes: &BTreeSet<ShardId>, context: &mut Context) {
        let now = context.now();
        let started = *self.started.get_or_insert(now);
        let ttl = context.config.settings.member_ttl_ms();
        match self.lease {
            None => {
                let idle = self.asked_lease.is_none_or(|at| now.since(at) > 1_600);
                if idle && context.kv.has_budget(now, RequestPriority::LeaseUpkeep, 0) {
                    self.asked_lease = Some(now);
                    context.kv.grant_lease(
                        context.effects,
                        KvRequest::Leases(LeaseRequest::Grant),
                        ttl,
                    );
                }
            }
            Some(lease) => {
                if self.renewing.is_some_and(|at| now.since(at) > 1_100) {
                    self.renewing = None;
                }
                if self.renewing.is_none()
                    && now >= self.next_renew
                    && context.kv.has_budget(now, RequestPriority::LeaseUpkeep, 0)
                {
                    self.renewing = Some(now);
                    context.kv.renew_lease(
                        context.effects,
                        KvRequest::Leases(LeaseRequest::Renew { sent_at: now }),
                        lease,
                    );
                }
            }
        }
        if !context.records.shard_owners_read || !self.fresh(now) {
            self.vacant_since.clear();
            return;
        }
        let mut roles: Vec<Role> = (0..context.config.shard_count)
            .map(|p| Role::ShardLeader(ShardId(p)))
            .collect();
        roles.push(Role::ClusterLeader);
        for role in roles {
            let holder = Self::holder(role, context);
            if holder.is_some() {
                self.vacant_since.remove(&role);
            }
            let held = self.held.get(&role).copied();
            let free_since = *self.vacant_since.entry(role).or_insert(now);
            let home = match role {
                Role::ShardLeader(_) if self.deaf => now.since(free_since) > DEAF_LAST_MS,
                Role::ShardLeader(p) => *context.config.home(p) == context.config.me,
                // Whoever has been up for a while may lead at once.
                Role::ClusterLeader => now.since(started) > 2 * HOME_FIRST_MS,
            };
            if self.acquiring.contains(&role)
                || self.retry_at.get(&role).is_some_and(|at| *at > now)
            {
                continue;
            }
            let free_ms = match (self.deaf, role) {
                (true, Role::ShardLeader(_)) => 0,
                _ => now.since(free_since),
            };
            if let LeaseDecision::Acquire(version) = decide_lease(holder, held, home, free_ms) {
                self.take(role, version, context);
            }
        }
        self.give_home(up_homes, context);
    }

    fn take(&mut self, role: Role, version: Version, context: &mut Context) {
        let now = context.now();
        let Some(lease) = self.lease else { return };
        if !context.kv.has_budget(now, RequestPriority::LeaseUpkeep, 1) {
            return;
        }
        let record = LeaseHolder {
            owner: context.config.me.clone(),
            lease,
        };
        let value = serde_json::to_value(&record).unwrap_or_default();
        let swap = CompareAndSwap::default()
            .compare(key(role), version)
            .mutate(Mutation::Put {
                key: key(role),
                value,
                lease: Some(lease),
            });
        self.acquiring.insert(role);
        tracing::info!(?role, version = version.0, "acquiring lease");
        context.kv.compare_and_swap(
            context.effects,
            KvRequest::Leases(LeaseRequest::Acquire(role)),
            &swap,
        );
    }

    /// Gives a part back to its home member once that is up again, so that the load is shared.
    fn give_home(&mut self, up_homes: &BTreeSet<ShardId>, context: &mut Context) {
        let now = context.now();
        if now < self.give_at || self.giving.is_some() {
            return;
        }
        let mine = self.shards();
        if mine.len() < 2 {
            return;
        }
        let Some((shard_id, fencing_token)) = mine
            .into_iter()
            .find(|(p, _)| *context.config.home(*p) != context.config.me && up_homes.contains(p))
        else {
            return;
        };
        tracing::info!(shard = %shard_id, fencing_token = %fencing_token, "shard handed back to its home member");
        self.give(shard_id, fencing_token, context);
    }

    /// Hands a part to whoever its machines reach.
    pub fn hand_over(&mut self, shard_id: ShardId, context: &mut Context) {
        if self.giving.is_some() {
            return;
        }
        if let Some(fencing_token) = self.fencing_token(shard_id) {
            tracing::info!(shard = %shard_id, fencing_token = %fencing_token, "shard handed over: unreachable by workers");
            self.give(shard_id, fencing_token, context);
        }
    }

    fn give(&mut self, shard_id: ShardId, fencing_token: FencingToken, context: &mut Context) {
        let now = context.now();
        if !context.kv.has_budget(now, RequestPriority::LeaseUpkeep, 1) {
            return;
        }
        self.giving = Some(shard_id);
        // The part's writes end here: they are conditional on the key that goes.
        self.lose(Role::ShardLeader(shard_id), now);
        self.retry_at
            .insert(Role::ShardLeader(shard_id), now.plus(3_000));
        self.give_at = now.plus(2_000);
        let swap = CompareAndSwap::default()
            .compare(shard_key(shard_id), Version(fencing_token.0))
            .mutate(Mutation::Delete {
                key: shard_key(shard_id),
            });
        context.kv.compare_and_swap(
            context.effects,
            KvRequest::Leases(LeaseRequest::Release(shard_id)),
            &swap,
        );
    }

    /// Takes a response of the key-value store in.
    pub fn on_response(
        &mut self,
        request: LeaseRequest,
        response: KvResponse,
        context: &mut Context,
    ) -> RoleChange {
        match (request, response) {
            (LeaseRequest::Grant, KvResponse::LeaseGrant(lease)) => self.granted(lease, context),
            (LeaseRequest::Renew { sent_at }, KvResponse::Renewal(result)) => {
                if self.renewed(sent_at, result, context) {
                    return RoleChange::AllLost;
                }
            }
            (LeaseRequest::Acquire(role), KvResponse::Swap(outcome)) => {
                if let Some(fencing_token) = self.acquired(role, outcome, context) {
                    return RoleChange::Acquired(role, fencing_token);
                }
            }
            (LeaseRequest::Release(shard_id), KvResponse::Swap(outcome)) => {
                self.released(shard_id, outcome, context);
            }
            (request, _) => unexpected_response(&request),
        }
        RoleChange::Unchanged
    }

    fn released(&mut self, shard_id: ShardId, result: SwapOutcome, context: &mut Context) {
        self.giving = None;
        if let SwapOutcome::Applied(revision) = result {
            context.records.apply(&shard_key(shard_id), None, revision);
        }
    }

    fn granted(&mut self, lease: Option<LeaseId>, context: &Context) {
        let now = context.effects.now;
        let Some(asked) = self.asked_lease else {
            return;
        };
        let Some(lease) = lease else {
            // Asked again after a pause.
            self.asked_lease = Some(MonotonicMillis(now.0.saturating_sub(1_300)));
            return;
        };
        self.asked_lease = None;
        if self.lease.is_some() {
            return;
        }
        tracing::info!(lease = lease.0, "lease granted");
        self.lease = Some(lease);
        self.extend(asked, context.config);
    }

    fn extend(&mut self, sent: MonotonicMillis, config: &Config) {
        let ttl = config.settings.member_ttl_ms();
        self.valid_until = sent.plus(ttl - ttl * DRIFT_PER_MILLE / 1000);
        self.next_renew = sent.plus(ttl / 4);
    }

    /// The answer to a renewal; true if the lease, and all that hung on it, is lost.
    fn renewed(
        &mut self,
        sent: MonotonicMillis,
        result: RenewalOutcome,
        context: &Context,
    ) -> bool {
        if self.renewing == Some(sent) {
            self.renewing = None;
        }
        match result {
            RenewalOutcome::Renewed => {
                self.extend(sent, context.config);
                false
            }
            RenewalOutcome::LeaseExpired => {
                tracing::info!("lease expired");
                self.lease = None;
                self.asked_lease = None;
                self.held.clear();
                self.acquiring.clear();
                true
            }
            RenewalOutcome::Failed => {
                self.next_renew = context.effects.now.plus(250);
                false
            }
        }
    }

    /// The answer to a claim; the token if it was won.
    fn acquired(
        &mut self,
        role: Role,
        result: SwapOutcome,
        context: &mut Context,
    ) -> Option<FencingToken> {
        let now = context.now();
        if !self.acquiring.remove(&role) {
            return None;
        }
        match result {
            SwapOutcome::Applied(revision) => {
                let lease = self.lease?;
                let record = LeaseHolder {
                    owner: context.config.me.clone(),
                    lease,
                };
                let value = serde_json::to_value(&record).unwrap_or_default();
                context.records.apply(&key(role), Some(&value), revision);
                let fencing_token = FencingToken(revision.0);
                tracing::info!(?role, fencing_token = %fencing_token, "leadership acquired");
                self.held.insert(role, fencing_token);
                Some(fencing_token)
            }
            SwapOutcome::LeaseExpired => {
                self.lease = None;
                self.asked_lease = None;
                self.held.clear();
                None
            }
            // Unknown: if it was carried out, the feed shows this member's name, and the key is
            // taken once more with a token that is known.
            SwapOutcome::Unknown
            | SwapOutcome::NotApplied
            | SwapOutcome::Rejected
            | SwapOutcome::Conflict(_) => {
                self.retry_at.insert(role, now.plus(400));
                None
            }
        }
    }
}
