//! Reservations and maintenance windows: requests are decided on the calendar, and made durable before
//! they are answered.
//!
//! Every change also changes one common key, on whose version each decision is conditional, so that two
//! controllers never both promise the same capacity. A response that changes nothing is conditional on it
//! too: nobody reads less than another controller has answered.

mod capacity;
mod commit;
mod decisions;
mod expiry;
mod requests;
mod responses;

pub use capacity::bounds;
pub use requests::{CalendarRequest, SubmissionMode, parse_request};

use super::context::Context;
use super::pending_requests::PendingRequests;
use crate::storage::kv_client::{KvResponse, unexpected_response};
use crate::storage::record_cache::RecordChange;
use commit::DecisionBatch;
use expiry::Expiry;
use snowshelf_calendar::calendar::Calendar;
use snowshelf_calendar::guard::Guard;
use snowshelf_model::ids::{ConnectionId, MonotonicMillis, Version, WallClockMillis};
use snowshelf_model::records::Capability;
use std::sync::Arc;

/// Milliseconds of a day.
const DAY_MS: u64 = 86_400_000;
/// How far ahead windows and reserved amounts matter for what starts now, in milliseconds: no task is
/// assumed to run longer.
const GUARD_HORIZON_MS: u64 = 3 * DAY_MS;
/// How often the guard is computed, in milliseconds.
const GUARD_INTERVAL_MS: u64 = 1_000;

/// A request of the calendar to the key-value store.
#[derive(Clone, Debug)]
pub enum ReservationsRequest {
    /// Writes, or checks, what requests decided, by the number of the batch.
    Decide(u64),
    /// Deletes an entry whose time is over.
    RemoveExpired {
        /// The entry's key.
        key: String,
    },
}

/// The actor that serves requests on reservations and maintenance windows.
#[derive(Default)]
pub struct Reservations {
    calendar: Calendar,
    is_built: bool,
    /// The machine types have been read again, perhaps with other prices only.
    types_changed: bool,
    pending: PendingRequests<CalendarRequest>,
    in_flight: Option<DecisionBatch>,
    last_request_id: u64,
    /// The version of the calendar's key that met a conflict: decided again once a newer one is cached.
    conflicted_version: Option<Version>,
    retry_at: MonotonicMillis,
    /// When the guard was computed; 0 if it is out of date.
    guard_computed_at: MonotonicMillis,
    expiry: Expiry,
}

impl Reservations {
    /// Queues a request. That the key-value store serves has been checked before.
    pub fn handle(
        &mut self,
        connection: ConnectionId,
        request: CalendarRequest,
        context: &mut Context<'_>,
    ) {
        let refusal = if !context.records.all_support(&Capability::calendar()) {
            Some("not every controller takes reservations yet")
        } else if !context.records.loaded || context.machine_types.is_empty() {
            Some("not able to decide yet")
        } else {
            None
        };
        self.pending.push(connection, request, refusal, context);
    }

    /// Refuses all pending requests: the key-value store does not serve.
    pub fn refuse_all(&mut self, context: &mut Context<'_>) {
        self.pending.refuse_all(context);
    }

    /// Whether there is a calendar that changes concern.
    #[must_use]
    pub fn is_built(&self) -> bool {
        self.is_built
    }

    /// Brings the calendar up to date with changed records.
    pub fn on_changes(&mut self, changes: &[RecordChange], context: &Context<'_>) {
        let now = WallClockMillis(context.effects.wall_ms);
        for change in changes {
            match change {
                RecordChange::Reservation(name) => {
                    let record = context.records.reservations.get(name);
                    let record = record.map(|v| Arc::new((*v.value).clone()));
                    self.calendar.set_reservation(name, record);
                }
                RecordChange::Window(name) => {
                    let record = context.records.windows.get(name);
                    let record = record.map(|v| Arc::new((*v.value).clone()));
                    self.calendar.set_window(name, record, now);
                }
                RecordChange::MachineTypes => {
                    self.types_changed = true;
                    continue;
                }
                _ => continue,
            }
            self.guard_computed_at = MonotonicMillis(0);
        }
    }

    /// Builds the calendar from the records if there is none, or if it is planned too little ahead.
    fn build(&mut self, context: &Context<'_>) {
        let is_needed = context.config.ops.calendar.enabled
            || !context.records.reservations.is_empty()
            || !context.records.windows.is_empty();
        if !is_needed || !context.records.loaded || context.machine_types.is_empty() {
            return;
        }
        let now = WallClockMillis(context.effects.wall_ms);
        // Guards against building it again with every change of a price.
        let types_changed = std::mem::take(&mut self.types_changed);
        if self.is_built && !types_changed && self.calendar.plans_ahead(now) {
            return;
        }
        let teams = &context.config.settings.deployment.teams;
        let bounds = bounds(context.machine_types, teams, &context.config.ops.calendar);
        if self.is_built && self.calendar.serves(&bounds, now) {
            return;
        }
        self.calendar = Calendar::new(Arc::new(bounds), now);
        for (name, v) in &context.records.windows {
            let window = Arc::new((*v.value).clone());
            self.calendar.set_window(name, Some(window), now);
        }
        for (name, v) in &context.records.reservations {
            let reservation = Arc::new((*v.value).clone());
            self.calendar.set_reservation(name, Some(reservation));
        }
        self.is_built = true;
        self.guard_computed_at = MonotonicMillis(0);
        tracing::info!(entries = self.calendar.len(), "calendar built");
    }

    /// Periodic work. Returns what placement and scale-out must respect, if that was computed again.
    #[must_use]
    pub fn tick(&mut self, is_leader: bool, context: &mut Context<'_>) -> Option<Guard> {
        self.build(context);
        self.decide_pending(context);
        if is_leader {
            self.remove_expired(context);
        }
        let now = context.now();
        let is_current = self.guard_computed_at != MonotonicMillis(0)
            && now.since(self.guard_computed_at) < GUARD_INTERVAL_MS;
        if !self.is_built || is_current {
            return None;
        }
        self.guard_computed_at = now;
        let skew_ms = context.config.settings.skew_ms();
        let wall = WallClockMillis(context.effects.wall_ms);
        Some(Guard::of(&self.calendar, wall, GUARD_HORIZON_MS, skew_ms))
    }

    /// Handles a response of the key-value store; the records that have changed by it.
    pub fn on_response(
        &mut self,
        request: ReservationsRequest,
        response: KvResponse,
        context: &mut Context<'_>,
    ) -> Vec<RecordChange> {
        match (request, response) {
            (ReservationsRequest::Decide(id), KvResponse::Swap(outcome)) => {
                self.on_decided(id, outcome, context)
            }
            (ReservationsRequest::RemoveExpired { key }, KvResponse::Swap(outcome)) => {
                self.on_removed(&key, &outcome, context)
            }
            (request, _) => {
                unexpected_response(&request);
                Vec::new()
            }
        }
    }
}
