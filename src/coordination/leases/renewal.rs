//! Grant, renewal and expiry of this process's lease in the key-value store.

use super::{LeaseRequest, Leases, RoleChange};
use crate::coordination::config::Config;
use crate::coordination::context::{Context, KvRequest};
use crate::storage::kv_client::{RenewalOutcome, RequestPriority};
use snowshelf_model::ids::{LeaseId, MonotonicMillis};

/// Allowance for clock drift, per mille of the time to live: the monotonic clock may be off by 0.05%, and as much
/// again is added for measuring.
const CLOCK_DRIFT_PER_MILLE: u64 = 1;
/// How often a lease is renewed within its time to live.
const RENEWALS_PER_TTL: u64 = 4;
/// Timeout after which a grant without a response is requested again.
const GRANT_TIMEOUT_MS: u64 = 1_600;
/// How much of `GRANT_TIMEOUT_MS` counts as elapsed after a refused grant, so that the next request follows sooner.
const REFUSED_GRANT_ELAPSED_MS: u64 = 1_300;
/// Timeout after which a renewal without a response is sent again.
const RENEWAL_TIMEOUT_MS: u64 = 1_100;
/// Pause after a renewal that failed or whose outcome is unknown.
const RENEWAL_RETRY_MS: u64 = 250;

impl Leases {
    /// Requests a lease, or renews the existing one when it is due.
    pub(super) fn tick_renewal(&mut self, context: &mut Context<'_>) {
        match self.lease {
            None => self.request_grant(context),
            Some(lease) => self.renew(lease, context),
        }
    }

    fn request_grant(&mut self, context: &mut Context<'_>) {
        let now = context.now();
        let may_request = self
            .grant_requested_at
            .is_none_or(|at| now.since(at) > GRANT_TIMEOUT_MS);
        if !may_request || !context.kv.has_budget(now, RequestPriority::LeaseUpkeep, 0) {
            return;
        }
        self.grant_requested_at = Some(now);
        let ttl_ms = context.config.settings.member_ttl_ms();
        let request = KvRequest::Leases(LeaseRequest::Grant);
        context.kv.grant_lease(context.effects, request, ttl_ms);
    }

    fn renew(&mut self, lease: LeaseId, context: &mut Context<'_>) {
        let now = context.now();
        if self
            .renewal_sent_at
            .is_some_and(|at| now.since(at) > RENEWAL_TIMEOUT_MS)
        {
            self.renewal_sent_at = None;
        }
        let due = self.renewal_sent_at.is_none() && now >= self.next_renewal_at;
        if !due || !context.kv.has_budget(now, RequestPriority::LeaseUpkeep, 0) {
            return;
        }
        self.renewal_sent_at = Some(now);
        let request = KvRequest::Leases(LeaseRequest::Renew { sent_at: now });
        context.kv.renew_lease(context.effects, request, lease);
    }

    /// Handles the response to a grant request; `None` if no lease was granted.
    pub(super) fn on_grant(&mut self, lease: Option<LeaseId>, context: &Context<'_>) {
        let now = context.effects.now;
        let Some(requested_at) = self.grant_requested_at else {
            return;
        };
        let Some(lease) = lease else {
            self.grant_requested_at = Some(MonotonicMillis(
                now.0.saturating_sub(REFUSED_GRANT_ELAPSED_MS),
            ));
            return;
        };
        self.grant_requested_at = None;
        if self.lease.is_some() {
            return;
        }
        tracing::info!(lease = lease.0, "lease granted");
        self.lease = Some(lease);
        self.extend_validity(requested_at, context.config);
    }

    fn extend_validity(&mut self, sent_at: MonotonicMillis, config: &Config) {
        let ttl_ms = config.settings.member_ttl_ms();
        self.valid_until = sent_at.plus(ttl_ms - ttl_ms * CLOCK_DRIFT_PER_MILLE / 1000);
        self.next_renewal_at = sent_at.plus(ttl_ms / RENEWALS_PER_TTL);
    }

    /// Handles the outcome of a renewal that was sent at `sent_at`.
    pub(super) fn on_renewal(
        &mut self,
        sent_at: MonotonicMillis,
        renewed: RenewalOutcome,
        context: &Context<'_>,
    ) -> RoleChange {
        if self.renewal_sent_at == Some(sent_at) {
            self.renewal_sent_at = None;
        }
        match renewed {
            RenewalOutcome::Renewed => self.extend_validity(sent_at, context.config),
            RenewalOutcome::LeaseExpired => {
                tracing::info!("lease expired");
                self.forget_lease();
                self.acquiring.clear();
                return RoleChange::AllLost;
            }
            RenewalOutcome::Failed => {
                self.next_renewal_at = context.effects.now.plus(RENEWAL_RETRY_MS);
            }
        }
        RoleChange::Unchanged
    }

    /// Discards the expired lease and all roles attached to it.
    pub(super) fn forget_lease(&mut self) {
        self.lease = None;
        self.grant_requested_at = None;
        self.fencing_tokens.clear();
    }
}
