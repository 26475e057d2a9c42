//! The response to one request and what it writes: a function of the request, the calendar and the time.

use super::requests::{CalendarRequest, SubmissionMode};
use super::responses;
use crate::coordination::conditional_write::{ConditionalWrite, RecordUpdate};
use crate::coordination::context::Context;
use crate::effects::Response;
use crate::storage::record_cache::{reservation_key, window_key};
use serde::Serialize;
use serde_json::Value;
use snowshelf_calendar::calendar::Calendar;
use snowshelf_calendar::entry::{Name, Wanted, Window};
use snowshelf_calendar::refusal::{Kind, Refusal};
use snowshelf_model::ids::{Version, WallClockMillis};
use std::sync::Arc;

/// The text for a record that exceeds the size of a value in the key-value store.
const RECORD_TOO_LARGE: &str = "its record would be too large: name fewer types, or a zone";

/// What becomes of a request.
pub(super) struct CalendarDecision {
    /// The response once the write is durable.
    pub(super) response: Response,
    /// The change of the entry, if there is one.
    pub(super) write: Option<ConditionalWrite>,
    /// Reservations that a forced window displaces, for the log.
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

fn ok(status: u16, body: &Value) -> CalendarDecision {
    Response::json(status, body).into()
}

fn refused(refusal: &Refusal) -> CalendarDecision {
    ok(refusal.status(), &refusal.body())
}

fn no_such_entry() -> CalendarDecision {
    Response::error(404, "no such entry").into()
}

/// The status of a submission that is taken.
fn submitted_status(exists: bool, mode: SubmissionMode) -> u16 {
    if exists || mode == SubmissionMode::Check {
        200
    } else {
        201
    }
}

impl CalendarDecision {
    /// The decision with a write of a record, unless that is too large.
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

/// Decides a request on the calendar, which is left as it would be afterwards.
pub(super) fn decide(
    request: &CalendarRequest,
    calendar: &mut Calendar,
    context: &Context<'_>,
) -> CalendarDecision {
    let now = WallClockMillis(context.effects.wall_ms);
    match request {
        CalendarRequest::Reserve { name, wanted, mode } => {
            reserve(name, wanted, *mode, calendar, context)
        }
        CalendarRequest::DeclareWindow {
            name,
            window,
            force,
            mode,
        } => {
            let forced = ForcedWindow {
                window,
                force: *force,
            };
            declare_window(name, &forced, *mode, calendar, context)
        }
        CalendarRequest::Cancel(kind, name) => cancel(*kind, name, calendar, context),
        CalendarRequest::Show(Kind::Reservation, name) => match calendar.reservation(name) {
            Some(r) => ok(200, &responses::reservation(name, r, calendar, now)),
            None => no_such_entry(),
        },
        CalendarRequest::Show(Kind::Window, name) => match calendar.window(name) {
            Some(w) => ok(200, &responses::window(name, w, calendar, now)),
            None => no_such_entry(),
        },
        CalendarRequest::List(kind, page) => ok(200, &responses::list(*kind, page, calendar, now)),
    }
}

fn reserve(
    name: &Name,
    wanted: &Wanted,
    mode: SubmissionMode,
    calendar: &mut Calendar,
    context: &Context<'_>,
) -> CalendarDecision {
    let now = WallClockMillis(context.effects.wall_ms);
    let old = calendar.reservation(name).cloned();
    match (&old, mode) {
        (Some(old), _) if old.answers(wanted) => {
            return ok(200, &responses::reservation(name, old, calendar, now));
        }
        (Some(_), SubmissionMode::Create) => return refused(&Refusal::Taken),
        (None, SubmissionMode::Replace) => return no_such_entry(),
        _ => {}
    }
    // A replacement is admitted as if the old entry were not there.
    let mut without = calendar.clone();
    without.set_reservation(name, None);
    let admitted = match without.admit(wanted, now) {
        Ok(admitted) => admitted,
        Err(refusal) => return refused(&refusal),
    };
    let body = responses::reservation(name, &admitted, calendar, now);
    let decision = ok(submitted_status(old.is_some(), mode), &body);
    if mode == SubmissionMode::Check {
        return decision;
    }
    let version = context.records.reservations.get(name).map(|v| v.version);
    let decision = decision.with_record(reservation_key(name), version, &admitted, context);
    if decision.write.is_some() {
        without.set_reservation(name, Some(Arc::new(admitted)));
        *calendar = without;
    }
    decision
}

/// A window, and whether it may displace reservations.
struct ForcedWindow<'a> {
    window: &'a Window,
    force: bool,
}

fn declare_window(
    name: &Name,
    ForcedWindow { window, force }: &ForcedWindow<'_>,
    mode: SubmissionMode,
    calendar: &mut Calendar,
    context: &Context<'_>,
) -> CalendarDecision {
    let now = WallClockMillis(context.effects.wall_ms);
    let old = calendar.window(name).cloned();
    match (&old, mode) {
        (Some(old), _) if **old == **window => {
            return ok(200, &responses::window(name, old, calendar, now));
        }
        (Some(_), SubmissionMode::Create) => return refused(&Refusal::Taken),
        (None, SubmissionMode::Replace) => return no_such_entry(),
        _ => {}
    }
    let mut without = calendar.clone();
    without.set_window(name, None, now);
    let displaced = match without.admit_window(window, *force, now) {
        Ok(displaced) => displaced,
        Err(refusal) => return refused(&refusal),
    };
    without.set_window(name, Some(Arc::new((*window).clone())), now);
    let mut body = responses::window(name, window, &without, now);
    if !displaced.is_empty() {
        body["displaces"] = responses::clashes(&displaced);
    }
    let decision = CalendarDecision {
        displaced: displaced.into_iter().map(|c| c.name).collect(),
        ..ok(submitted_status(old.is_some(), mode), &body)
    };
    if mode == SubmissionMode::Check {
        return decision;
    }
    let version = context.records.windows.get(name).map(|v| v.version);
    let decision = decision.with_record(window_key(name), version, *window, context);
    if decision.write.is_some() {
        *calendar = without;
    }
    decision
}

fn cancel(
    kind: Kind,
    name: &Name,
    calendar: &mut Calendar,
    context: &Context<'_>,
) -> CalendarDecision {
    let records = &context.records;
    let (key, version) = match kind {
        Kind::Reservation => (
            reservation_key(name),
            records.reservations.get(name).map(|v| v.version),
        ),
        Kind::Window => (
            window_key(name),
            records.windows.get(name).map(|v| v.version),
        ),
    };
    let Some(version) = version else {
        return no_such_entry();
    };
    match kind {
        Kind::Reservation => calendar.set_reservation(name, None),
        Kind::Window => {
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
        ..ok(200, &responses::cancelled(name))
    }
}
