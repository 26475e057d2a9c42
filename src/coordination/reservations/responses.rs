//! JSON bodies of responses for reservations and maintenance windows.

use crate::coordination::list_request::ListRequest;
use serde_json::{Value, json};
use snowshelf_calendar::calendar::Calendar;
use snowshelf_calendar::entry::{Name, Reservation, Window, WindowSchedule, format_time};
use snowshelf_calendar::rejection::{Conflict, EntryKind};
use snowshelf_model::ids::WallClockMillis;

/// Maximum number of occurrences of a recurring window in a response.
const MAX_OCCURRENCES: usize = 3;

/// The entries that conflict with another.
pub(super) fn conflicts(list: &[Conflict]) -> Value {
    let entry = |c: &Conflict| {
        json!({"name": c.name.as_str(), "from": format_time(c.from),
            "until": format_time(c.until)})
    };
    list.iter().map(entry).collect()
}

/// The response to a cancellation.
pub(super) fn cancelled(name: &Name) -> Value {
    json!({"name": name.as_str(), "state": "cancelled"})
}

/// A reservation, with the windows that displace it.
pub(super) fn reservation(
    name: &Name,
    r: &Reservation,
    calendar: &Calendar,
    now: WallClockMillis,
) -> Value {
    let state = match now {
        _ if now < r.from => "ahead",
        _ if now < r.until => "open",
        _ => "over",
    };
    let total = r.amount.to_resources();
    let places: Vec<Value> = r
        .shares
        .iter()
        .map(|s| {
            let resources = s.amount.to_resources();
            json!({"zone": s.zone, "type": s.model, "cpus": resources.cpus, "gpus": resources.gpus,
                "mem_gb": resources.mem})
        })
        .collect();
    let mut body = json!({"name": name.as_str(), "state": state, "team": r.team.as_str(),
        "cpus": total.cpus, "gpus": total.gpus, "mem_gb": total.mem, "spot": r.spot,
        "from": format_time(r.from), "until": format_time(r.until), "places": places});
    if let Some(zone) = &r.zone {
        body["zone"] = json!(zone);
    }
    if let Some(types) = &r.types {
        body["types"] = json!(types);
    }
    if let Some(requested) = r.moved_from {
        body["moved_from"] = json!(format_time(requested));
    }
    let displaced_by = calendar.displacing_windows(r);
    if !displaced_by.is_empty() {
        body["displaced_by"] = conflicts(&displaced_by);
    }
    body
}

/// A maintenance window, with its next occurrences.
pub(super) fn window(name: &Name, w: &Window, calendar: &Calendar, now: WallClockMillis) -> Value {
    let occurrences = w.occurrences(now, calendar.planned_until(), MAX_OCCURRENCES);
    let state = match occurrences.first() {
        Some((from, _)) if *from <= now => "open",
        Some(_) => "ahead",
        None => "over",
    };
    let mut body = json!({"name": name.as_str(), "state": state, "zone": w.zone});
    if let Some(types) = &w.types {
        body["types"] = json!(types);
    }
    if let Some(lead_s) = w.lead_s {
        body["lead_s"] = json!(lead_s);
    }
    match &w.when {
        WindowSchedule::Once { from, until } => {
            body["from"] = json!(format_time(*from));
            body["until"] = json!(format_time(*until));
        }
        WindowSchedule::Recurring(rule) => {
            body["rule"] = json!(rule);
            let next: Vec<Value> = occurrences
                .iter()
                .map(|(from, until)| json!({"from": format_time(*from), "until": format_time(*until)}))
                .collect();
            body["next"] = json!(next);
        }
    }
    body
}

/// A page of entries, in the order of their names.
pub(super) fn list(
    kind: EntryKind,
    page: &ListRequest,
    calendar: &Calendar,
    now: WallClockMillis,
) -> Value {
    let mut entries: Vec<Value> = match kind {
        EntryKind::Reservation => calendar
            .reservations()
            .filter(|(name, _)| page.includes(name))
            .take(page.limit + 1)
            .map(|(name, r)| reservation(name, r, calendar, now))
            .collect(),
        EntryKind::Window => calendar
            .windows()
            .filter(|(name, _, _)| page.includes(name))
            .take(page.limit + 1)
            .map(|(name, w, _)| window(name, w, calendar, now))
            .collect(),
    };
    let more = entries.len() > page.limit;
    entries.truncate(page.limit);
    json!({"items": entries, "more": more})
}
