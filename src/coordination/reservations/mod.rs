//! Reservations and maintenance windows: requests are decided on the calendar, and the response is sent
//! once the decision is durable.
//!
//! Every change also writes the calendar key, and each decision is conditional on that key's version, so
//! that two controllers never reserve the same capacity. Responses that change nothing are conditional on
//! it too, so that a read never misses a change to which another controller has responded.

mod capacity;
mod commit;
mod decisions;
mod expiry;
mod requests;
mod responses;

pub use capacity::calendar_limits;
pub use requests::{CalendarRequest, SubmissionMode, parse_request};

use super::context::Context;
use super::pending_requests::PendingRequests;
use crate::storage::kv_client::{KvResponse, unexpected_response};
use crate::storage::record_cache::RecordChange;
use commit::DecisionBatch;
use expiry::Expiry;
use snowshelf_calendar::calendar::Calendar;
use snowshelf_calendar::constraints::CalendarConstraints;
use snowshelf_model::ids::{ConnectionId, MonotonicMillis, Version, WallClockMillis};
use snowshelf_model::records::Capability;
use std::sync::Arc;

/// Length of a day in milliseconds.
const DAY_MS: u64 = 86_400_000;
/// How far ahead windows and reservations constrain tasks that start now, in milliseconds. No task is
/// assumed to run longer.
const CONSTRAINTS_HORIZON_MS: u64 = 3 * DAY_MS;
/// Interval at which the calendar constraints are computed, in milliseconds.
const CONSTRAINTS_INTERVAL_MS: u64 = 1_000;

/// A request of this actor to the key-value store.
#[derive(Clone, Debug)]
pub enum ReservationsRequest {
    /// Writes a batch of decisions, or checks its versions if it changes nothing; holds the batch's id.
    Decide(u64),
    /// Deletes an entry whose retention time is over.
    RemoveExpired {
        /// The key of the entry's record.
        key: String,
    },
}

/// The actor that serves requests for reservations and maintenance windows.
#[derive(Default)]
pub struct Reservations {
    calendar: Calendar,
    is_built: bool,
    /// Whether the machine types have been read again; perhaps only their prices changed.
    types_changed: bool,
    pending: PendingRequests<CalendarRequest>,
    in_flight: Option<DecisionBatch>,
    last_request_id: u64,
    /// The version of the calendar key at which a transaction conflicted. Requests are decided again once
    /// the record cache has another version.
    conflicted_version: Option<Version>,
    retry_at: MonotonicMillis,
    /// When the calendar constraints were computed; 0 if they are out of date.
    constraints_computed_at: MonotonicMillis,
    expiry: Expiry,
}

impl Reservations {
    /// Queues a request. The caller has checked that the key-value store is available.
    pub fn handle(
        &mut self,
        connection: ConnectionId,
        request: CalendarRequest,
        context: &mut Context<'_>,
    ) {
        let rejection = if !context.records.all_support(&Capability::calendar()) {
            Some("not every controller takes reservations yet")
        } else if !context.records.loaded || context.machine_types.is_empty() {
            Some("not able to decide yet")
        } else {
            None
        };
        self.pending.push(connection, request, rejection, context);
    }

    /// Rejects all pending requests, because the key-value store is unavailable.
    pub fn refuse_all(&mut self, context: &mut Context<'_>) {
        self.pending.refuse_all(context);
    }

    /// Whether the calendar has been built, so that record changes must be applied to it.
    #[must_use]
    pub fn is_built(&self) -> bool {
        self.is_built
    }

    /// Applies changed records to the calendar.
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
            self.constraints_computed_at = MonotonicMillis(0);
        }
    }

    /// Builds the calendar from the records if it does not exist, has other limits or does not reach far
    /// enough ahead.
    fn build(&mut self, context: &Context<'_>) {
        let is_needed = context.config.ops.calendar.enabled
            || !context.records.reservations.is_empty()
            || !context.records.windows.is_empty();
        if !is_needed || !context.records.loaded || context.machine_types.is_empty() {
            return;
        }
        let now = WallClockMillis(context.effects.wall_ms);
        // The limits are compared only if the machine types were read again, and a change of prices alone
        // does not rebuild the calendar.
        let types_changed = std::mem::take(&mut self.types_changed);
        if self.is_built && !types_changed && self.calendar.covers_horizon(now) {
            return;
        }
        let teams = &context.config.settings.deployment.teams;
        let limits = calendar_limits(context.machine_types, teams, &context.config.ops.calendar);
        if self.is_built && self.calendar.is_current(&limits, now) {
            return;
        }
        self.calendar = Calendar::new(Arc::new(limits), now);
        for (name, v) in &context.records.windows {
            let window = Arc::new((*v.value).clone());
            self.calendar.set_window(name, Some(window), now);
        }
        for (name, v) in &context.records.reservations {
            let reservation = Arc::new((*v.value).clone());
            self.calendar.set_reservation(name, Some(reservation));
        }
        self.is_built = true;
        self.constraints_computed_at = MonotonicMillis(0);
        tracing::info!(entries = self.calendar.len(), "calendar built");
    }

    /// Periodic work. Returns the constraints on placement and scale-out if they were recomputed.
    #[must_use]
    pub fn tick(
        &mut self,
        is_leader: bool,
        context: &mut Context<'_>,
    ) -> Option<CalendarConstraints> {
        self.build(context);
        self.decide_pending(context);
        if is_leader {
            self.remove_expired(context);
        }
        let now = context.now();
        let is_current = self.constraints_computed_at != MonotonicMillis(0)
            && now.since(self.constraints_computed_at) < CONSTRAINTS_INTERVAL_MS;
        if !self.is_built || is_current {
            return None;
        }
        self.constraints_computed_at = now;
        let skew_ms = context.config.settings.skew_ms();
        let wall = WallClockMillis(context.effects.wall_ms);
        Some(CalendarConstraints::new(
            &self.calendar,
            wall,
            CONSTRAINTS_HORIZON_MS,
            skew_ms,
        ))
    }

    /// Handles a response of the key-value store. Returns the record changes that it made.
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
