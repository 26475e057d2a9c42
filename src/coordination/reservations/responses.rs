//! The bodies of responses: reservations and maintenance windows as users read them.

use crate::coordination::list_request::ListRequest;
use serde_json::{Value, json};
use snowshelf_calendar::calendar::Calendar;
use snowshelf_calendar::entry::{Name, Reservation, When, Window, shown};
use snowshelf_calendar::refusal::{Clash, Kind};
use snowshelf_model::ids::WallClockMillis;

/// How many occurrences of a recurring window a response has.
const MAX_OCCURRENCES: usize = 3;

/// Entries that clash with another.
pub(super) fn clashes(list: &[Clash]) -> Value {
    let one = |c: &Clash| json!({"name": c.name.as_str(), "from": shown(c.from), "until": shown(c.until)});
    list.iter().map(one).collect()
}

/// An entry that is cancelled.
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
    let total = r.amount.room();
    let places: Vec<Value> = r
        .shares
        .iter()
        .map(|s| {
            let room = s.amount.room();
            json!({"zone": s.zone, "type": s.model, "cpus": room.cpus, "gpus": room.gpus,
                "mem_gb": room.mem})
        })
        .collect();
    let mut body = json!({"name": name.as_str(), "state": state, "team": r.team.as_str(),
        "cpus": total.cpus, "gpus": total.gpus, "mem_gb": total.mem, "spot": r.spot,
        "from": shown(r.from), "until": shown(r.until), "places": places});
    if let Some(zone) = &r.zone {
        body["zone"] = json!(zone);
    }
    if let Some(types) = &r.types {
        body["types"] = json!(types);
    }
    if let Some(requested) = r.moved_from {
        body["moved_from"] = json!(shown(requested));
    }
    // Windows that were forced over it.
    let displaced = calendar.displaced(r);
    if !displaced.is_empty() {
        body["displaced_by"] = clashes(&displaced);
    }
    body
}

/// A maintenance window, with its next occurrences.
pub(super) fn window(name: &Name, w: &Window, calendar: &Calendar, now: WallClockMillis) -> Value {
    let occurrences = w.occurrences(now, calendar.planned(), MAX_OCCURRENCES);
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
        When::Once { from, until } => {
            body["from"] = json!(shown(*from));
            body["until"] = json!(shown(*until));
        }
        When::Again(rule) => {
            body["rule"] = json!(rule);
            let next: Vec<Value> = occurrences
                .iter()
                .map(|(from, until)| json!({"from": shown(*from), "until": shown(*until)}))
                .collect();
            body["next"] = json!(next);
        }
    }
    body
}

/// A page of entries, in the order of their names.
pub(super) fn list(
    kind: Kind,
    page: &ListRequest,
    calendar: &Calendar,
    now: WallClockMillis,
) -> Value {
    let mut entries: Vec<Value> = match kind {
        Kind::Reservation => calendar
            .reservations()
            .filter(|(name, _)| page.includes(name))
            .take(page.limit + 1)
            .map(|(name, r)| reservation(name, r, calendar, now))
            .collect(),
        Kind::Window => calendar
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
