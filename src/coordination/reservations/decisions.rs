//! Decides one request: its response and its write, as a function of the request, the calendar and the time.

use super::requests::{CalendarRequest, SubmissionMode};
use super::responses;
use crate::coordination::conditional_write::{ConditionalWrite, RecordUpdate};
use crate::coordination::context::Context;
use crate::effects::Response;
use crate::storage::record_cache::{reservation_key, window_key};
use serde::Serialize;
use serde_json::Value;
use snowshelf_calendar::calendar::Calendar;
use snowshelf_calendar::entry::{Name, ReservationSpec, Window};
use snowshelf_calendar::rejection::{EntryKind, Rejection};
use snowshelf_model::ids::{Version, WallClockMillis};
use std::sync::Arc;

/// The error if a record exceeds the maximum size of a value in the key-value store.
const RECORD_TOO_LARGE: &str = "its record would be too large: name fewer types, or a zone";

/// The decision on a request.
pub(super) struct CalendarDecision {
    /// The response, which is sent once the write is durable.
    pub(super) response: Response,
    /// The write of the entry's record, if the request changes it.
    pub(super) write: Option<ConditionalWrite>,
    /// The reservations that a forced window displaces, for the log.
    pub(super) displaced: Vec<Name>,
}

impl From<Response> for CalendarDecision {
    fn from(response: Response) -> CalendarDecision {
        CalendarDecision {
            response,
            write: None,
            displaced: Vec::new(),
        }
    }
}

fn json_response(status: u16, body: &Value) -> CalendarDecision {
    Response::json(status, body).into()
}

fn rejected(rejection: &Rejection) -> CalendarDecision {
    json_response(rejection.status(), &rejection.body())
}

fn no_such_entry() -> CalendarDecision {
    Response::error(404, "no such entry").into()
}

/// The HTTP status of an accepted submission.
fn submitted_status(exists: bool, mode: SubmissionMode) -> u16 {
    if exists || mode == SubmissionMode::Check {
        200
    } else {
        201
    }
}

impl CalendarDecision {
    /// Adds the write of a record to the decision, or replaces it by an error if the record is too large.
    fn with_record<T: Serialize>(
        self,
        key: String,
        version: Option<Version>,
        record: &T,
        context: &Context<'_>,
    ) -> CalendarDecision {
        let value = serde_json::to_value(record).unwrap_or_default();
        if !context.storage_limits.accepts(&value) {
            return Response::error(422, RECORD_TOO_LARGE).into();
        }
        CalendarDecision {
            write: Some(ConditionalWrite {
                key,
                version: version.unwrap_or_default(),
                update: RecordUpdate::Put(value),
            }),
            ..self
        }
    }
}

/// Decides a request and applies its change, if there is one, to the calendar.
pub(super) fn decide(
    request: &CalendarRequest,
    calendar: &mut Calendar,
    context: &Context<'_>,
) -> CalendarDecision {
    let now = WallClockMillis(context.effects.wall_ms);
    match request {
        CalendarRequest::Reserve { name, spec, mode } => {
            reserve(name, spec, *mode, calendar, context)
        }
        CalendarRequest::DeclareWindow {
            name,
            window,
            force,
            mode,
        } => {
            let submission = WindowSubmission {
                window,
                force: *force,
            };
            declare_window(name, &submission, *mode, calendar, context)
        }
        CalendarRequest::Cancel(kind, name) => cancel(*kind, name, calendar, context),
        CalendarRequest::Show(EntryKind::Reservation, name) => match calendar.reservation(name) {
            Some(r) => json_response(200, &responses::reservation(name, r, calendar, now)),
            None => no_such_entry(),
        },
        CalendarRequest::Show(EntryKind::Window, name) => match calendar.window(name) {
            Some(w) => json_response(200, &responses::window(name, w, calendar, now)),
            None => no_such_entry(),
        },
        CalendarRequest::List(kind, page) => {
            json_response(200, &responses::list(*kind, page, calendar, now))
        }
    }
}

fn reserve(
    name: &Name,
    spec: &ReservationSpec,
    mode: SubmissionMode,
    calendar: &mut Calendar,
    context: &Context<'_>,
) -> CalendarDecision {
    let now = WallClockMillis(context.effects.wall_ms);
    let existing = calendar.reservation(name).cloned();
    match (&existing, mode) {
        (Some(existing), _) if existing.is_same_request(spec) => {
            return json_response(200, &responses::reservation(name, existing, calendar, now));
        }
        (Some(_), SubmissionMode::Create) => return rejected(&Rejection::NameTaken),
        (None, SubmissionMode::Replace) => return no_such_entry(),
        _ => {}
    }
    // A replacement is admitted against a calendar without the existing entry.
    let mut updated = calendar.clone();
    updated.set_reservation(name, None);
    let admitted = match updated.admit(spec, now) {
        Ok(admitted) => admitted,
        Err(rejection) => return rejected(&rejection),
    };
    let body = responses::reservation(name, &admitted, calendar, now);
    let decision = json_response(submitted_status(existing.is_some(), mode), &body);
    if mode == SubmissionMode::Check {
        return decision;
    }
    let version = context.records.reservations.get(name).map(|v| v.version);
    let decision = decision.with_record(reservation_key(name), version, &admitted, context);
    if decision.write.is_some() {
        updated.set_reservation(name, Some(Arc::new(admitted)));
        *calendar = updated;
    }
    decision
}

/// A submitted window, and whether it may displace reservations.
struct WindowSubmission<'a> {
    window: &'a Window,
    force: bool,
}

fn declare_window(
    name: &Name,
    WindowSubmission { window, force }: &WindowSubmission<'_>,
    mode: SubmissionMode,
    calendar: &mut Calendar,
    context: &Context<'_>,
) -> CalendarDecision {
    let now = WallClockMillis(context.effects.wall_ms);
    let existing = calendar.window(name).cloned();
    match (&existing, mode) {
        (Some(existing), _) if **existing == **window => {
            return json_response(200, &responses::window(name, existing, calendar, now));
        }
        (Some(_), SubmissionMode::Create) => return rejected(&Rejection::NameTaken),
        (None, SubmissionMode::Replace) => return no_such_entry(),
        _ => {}
    }
    let mut updated = calendar.clone();
    updated.set_window(name, None, now);
    let displaced = match updated.admit_window(window, *force, now) {
        Ok(displaced) => displaced,
        Err(rejection) => return rejected(&rejection),
    };
    updated.set_window(name, Some(Arc::new((*window).clone())), now);
    let mut body = responses::window(name, window, &updated, now);
    if !displaced.is_empty() {
        body["displaces"] = responses::conflicts(&displaced);
    }
    let decision = CalendarDecision {
        displaced: displaced.into_iter().map(|c| c.name).collect(),
        ..json_response(submitted_status(existing.is_some(), mode), &body)
    };
    if mode == SubmissionMode::Check {
        return decision;
    }
    let version = context.records.windows.get(name).map(|v| v.version);
    let decision = decision.with_record(window_key(name), version, *window, context);
    if decision.write.is_some() {
        *calendar = updated;
    }
    decision
}

fn cancel(
    kind: EntryKind,
    name: &Name,
    calendar: &mut Calendar,
    context: &Context<'_>,
) -> CalendarDecision {
    let records = &context.records;
    let (key, version) = match kind {
        EntryKind::Reservation => (
            reservation_key(name),
            records.reservations.get(name).map(|v| v.version),
        ),
        EntryKind::Window => (
            window_key(name),
            records.windows.get(name).map(|v| v.version),
        ),
    };
    let Some(version) = version else {
        return no_such_entry();
    };
    match kind {
        EntryKind::Reservation => calendar.set_reservation(name, None),
        EntryKind::Window => {
            let now = WallClockMillis(context.effects.wall_ms);
            calendar.set_window(name, None, now);
        }
    }
    CalendarDecision {
        write: Some(ConditionalWrite {
            key,
            version,
            update: RecordUpdate::Delete,
        }),
        ..json_response(200, &responses::cancelled(name))
    }
}
