//! The answer to one request and what it writes: a function of the request, the calendar and the time.

use super::asking::{Ask, How};
use super::view;
use crate::coordination::context::Context;
use crate::effects::Response;
use serde::Serialize;
use serde_json::Value;
use snowshelf_calendar::calendar::Calendar;
use snowshelf_calendar::entry::Name;
use snowshelf_calendar::refusal::{Kind, Refusal};
use snowshelf_model::ids::{Version, WallClockMillis};
use std::sync::Arc;

/// A change of one entry, on condition that it is as it was.
pub(super) struct Write {
    pub key: String,
    pub version: Version,
    /// `None`: the entry goes.
    pub value: Option<Value>,
}

pub(super) struct Decided {
    pub response: Response,
    pub write: Option<Write>,
    /// Reservations that a forced window lies over, for the log.
    pub displaced: Vec<Name>,
}

fn answer(response: Response) -> Decided {
    Decided {
        response,
        write: None,
        displaced: Vec::new(),
    }
}

fn told(status: u16, body: Value) -> Decided {
    answer(Response::json(status, &body))
}

fn refused(refusal: &Refusal) -> Decided {
    told(refusal.status(), refusal.body())
}

fn missing() -> Decided {
    answer(Response::error(404, "no such entry"))
}

/// With a write of a record, unless it is too large.
fn written<T: Serialize>(
    decided: Decided,
    key: String,
    version: Version,
    record: &T,
    context: &Context,
) -> Decided {
    let value = serde_json::to_value(record).unwrap_or_default();
    if !context.storage_limits.accepts(&value) {
        let why = "its record would be too large: name fewer types, or a zone";
        return answer(Response::error(422, why));
    }
    Decided {
        write: Some(Write {
            key,
            version,
            value: Some(value),
        }),
        ..decided
    }
}

/// Decides a request on the calendar, which is left as it would be afterwards.
pub(super) fn decide(ask: &Ask, calendar: &mut Calendar, context: &Context) -> Decided {
    let now = WallClockMillis(context.effects.wall_ms);
    match ask {
        Ask::Reserve { name, wanted, how } => {
            let version = context.records.reservations.get(name).map(|v| v.version);
            let old = calendar.reservation(name).cloned();
            match (&old, how) {
                (Some(old), _) if old.answers(wanted) => {
                    return told(200, view::reservation(name, old, calendar, now));
                }
                (Some(_), How::New) => return refused(&Refusal::Taken),
                (None, How::Mutation) => return missing(),
                _ => {}
            }
            // A change is asked for as if the old one were not there.
            let mut without = calendar.clone();
            without.set_reservation(name, None);
            let taken = match without.admit(wanted, now) {
                Ok(taken) => taken,
                Err(refusal) => return refused(&refusal),
            };
            let status = if old.is_some() || *how == How::Check {
                200
            } else {
                201
            };
            let decided = told(status, view::reservation(name, &taken, calendar, now));
            if *how == How::Check {
                return decided;
            }
            let key = view::reservation_key(name);
            let decided = written(decided, key, version.unwrap_or_default(), &taken, context);
            if decided.write.is_some() {
                without.set_reservation(name, Some(Arc::new(taken)));
                *calendar = without;
            }
            decided
        }
        Ask::Declare {
            name,
            window,
            force,
            how,
        } => {
            let version = context.records.windows.get(name).map(|v| v.version);
            let old = calendar.window(name).cloned();
            match (&old, how) {
                (Some(old), _) if **old == *window => {
                    return told(200, view::window(name, old, calendar, now));
                }
                (Some(_), How::New) => return refused(&Refusal::Taken),
                (None, How::Mutation) => return missing(),
                _ => {}
            }
            let mut without = calendar.clone();
            without.set_window(name, None, now);
            let displaced = match without.admit_window(window, *force, now) {
                Ok(displaced) => displaced,
                Err(refusal) => return refused(&refusal),
            };
            without.set_window(name, Some(Arc::new(window.clone())), now);
            let mut body = view::window(name, window, &without, now);
            if !displaced.is_empty() {
                body["displaces"] = view::clashes(&displaced);
            }
            let status = if old.is_some() || *how == How::Check {
                200
            } else {
                201
            };
            let decided = Decided {
                displaced: displaced.into_iter().map(|c| c.name).collect(),
                ..told(status, body)
            };
            if *how == How::Check {
                return decided;
            }
            let key = view::window_key(name);
            let decided = written(decided, key, version.unwrap_or_default(), window, context);
            if decided.write.is_some() {
                *calendar = without;
            }
            decided
        }
        Ask::Cancel(kind, name) => {
            let (key, version) = match kind {
                Kind::Reservation => (
                    view::reservation_key(name),
                    context.records.reservations.get(name).map(|v| v.version),
                ),
                Kind::Window => (
                    view::window_key(name),
                    context.records.windows.get(name).map(|v| v.version),
                ),
            };
            let Some(version) = version else {
                return missing();
            };
            match kind {
                Kind::Reservation => calendar.set_reservation(name, None),
                Kind::Window => calendar.set_window(name, None, now),
            }
            Decided {
                write: Some(Write {
                    key,
                    version,
                    value: None,
                }),
                ..told(200, view::cancelled(name))
            }
        }
        Ask::Show(Kind::Reservation, name) => match calendar.reservation(name) {
            Some(r) => told(200, view::reservation(name, r, calendar, now)),
            None => missing(),
        },
        Ask::Show(Kind::Window, name) => match calendar.window(name) {
            Some(w) => told(200, view::window(name, w, calendar, now)),
            None => missing(),
        },
        Ask::List { kind, after, limit } => told(
            200,
            view::list(*kind, after.as_ref(), *limit, calendar, now),
        ),
    }
}
