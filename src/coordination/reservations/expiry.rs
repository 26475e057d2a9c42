//! Removal of ended entries after a retention time, with writes of background priority.

use super::{DAY_MS, Reservations, ReservationsRequest};
use crate::coordination::context::{Context, KvRequest};
use crate::storage::kv_client::{RequestPriority, SwapOutcome};
use crate::storage::record_cache::{RecordChange, reservation_key, window_key};
use snowshelf_calendar::entry::WindowSchedule;
use snowshelf_model::ids::{MonotonicMillis, Version, WallClockMillis};
use snowshelf_model::protocol::state::{CompareAndSwap, Mutation};

/// Retention of an entry after its end, in milliseconds.
const RETENTION_MS: u64 = DAY_MS;
/// Interval between searches for expired entries, in milliseconds.
const SEARCH_INTERVAL_MS: u64 = 10_000;

/// When expired entries were last searched for, and whether a removal is in flight.
#[derive(Default)]
pub(super) struct Expiry {
    searched_at: MonotonicMillis,
    is_removing: bool,
}

impl Reservations {
    /// Removes one entry whose retention time is over, if there is one. One removal is in flight at a time.
    pub(super) fn remove_expired(&mut self, context: &mut Context<'_>) {
        let now = context.now();
        if self.expiry.is_removing || now.since(self.expiry.searched_at) < SEARCH_INTERVAL_MS {
            return;
        }
        self.expiry.searched_at = now;
        let Some((key, version)) = expired_entry(context) else {
            return;
        };
        if !context.kv.has_budget(now, RequestPriority::Background, 1) {
            return;
        }
        self.expiry.is_removing = true;
        let swap = CompareAndSwap::default()
            .compare(key.clone(), version)
            .mutate(Mutation::Delete { key: key.clone() });
        let request = KvRequest::Reservations(ReservationsRequest::RemoveExpired { key });
        context.kv.compare_and_swap(context.effects, request, &swap);
    }

    /// Handles the outcome of a removal. Returns the record changes that it made.
    pub(super) fn on_removed(
        &mut self,
        key: &str,
        outcome: &SwapOutcome,
        context: &mut Context<'_>,
    ) -> Vec<RecordChange> {
        self.expiry.is_removing = false;
        let SwapOutcome::Applied(revision) = outcome else {
            return Vec::new();
        };
        tracing::info!(key, "expired calendar entry removed");
        let change = context.records.apply(key, None, *revision);
        change.into_iter().collect()
    }
}

/// The key and version of an entry whose retention time is over; reservations before windows.
fn expired_entry(context: &Context<'_>) -> Option<(String, Version)> {
    let cutoff = WallClockMillis(context.effects.wall_ms.saturating_sub(RETENTION_MS));
    let is_over = |when: &WindowSchedule| match when {
        WindowSchedule::Once { until, .. } => *until < cutoff,
        WindowSchedule::Recurring(rule) => rule
            .occurrences(cutoff, WallClockMillis(u64::MAX), 1)
            .is_empty(),
    };
    let mut reservations = context.records.reservations.iter();
    let reservation = reservations.find(|(_, v)| v.value.until < cutoff);
    if let Some((name, v)) = reservation {
        return Some((reservation_key(name), v.version));
    }
    let mut windows = context.records.windows.iter();
    let window = windows.find(|(_, v)| is_over(&v.value.when));
    window.map(|(name, v)| (window_key(name), v.version))
}
