//! Grant, renewal and expiry of the lease of this process.

use super::{LeaseRequest, Leases, RoleChange};
use crate::coordination::config::Config;
use crate::coordination::context::{Context, KvRequest};
use crate::storage::kv_client::{RenewalOutcome, RequestPriority};
use snowshelf_model::ids::{LeaseId, MonotonicMillis};

/// The monotonic clock may run fast or slow by 0.05%; as much again for measuring.
const CLOCK_DRIFT_PER_MILLE: u64 = 1;
/// A lease is renewed after this fraction of its time to live.
const RENEWALS_PER_TTL: u64 = 4;
/// A grant without a response is requested again after this time.
const GRANT_TIMEOUT_MS: u64 = 1_600;
/// How much of `GRANT_TIMEOUT_MS` counts as waited once a grant was refused.
const REFUSED_GRANT_ELAPSED_MS: u64 = 1_300;
/// A renewal without a response is sent again after this time.
const RENEWAL_TIMEOUT_MS: u64 = 1_100;
/// The pause after a renewal whose outcome is unknown.
const RENEWAL_RETRY_MS: u64 = 250;

impl Leases {
    /// Requests a lease, or renews the one that there is.
    pub(super) fn tick_renewal(&mut self, context: &mut Context<'_>) {
        match self.lease {
            None => self.request_grant(context),
            Some(lease) => self.renew(lease, context),
        }
    }

    fn request_grant(&mut self, context: &mut Context<'_>) {
        let now = context.now();
        let idle = self
            .grant_requested_at
            .is_none_or(|at| now.since(at) > GRANT_TIMEOUT_MS);
        if !idle || !context.kv.has_budget(now, RequestPriority::LeaseUpkeep, 0) {
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

    /// The response to a grant; `None`: no lease was granted.
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

    /// The response to a renewal: whether the lease was renewed or has expired; `None`: unknown.
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

    /// The lease has expired, and every role with it.
    pub(super) fn forget_lease(&mut self) {
        self.lease = None;
        self.grant_requested_at = None;
        self.fencing_tokens.clear();
    }
}
