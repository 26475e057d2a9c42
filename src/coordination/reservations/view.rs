//! Reservations and windows as users read them.

pub(super) use crate::storage::record_cache::{reservation_key, window_key};
use serde_json::{Value, json};
use snowshelf_calendar::calendar::Calendar;
use snowshelf_calendar::entry::{Name, Reservation, When, Window, shown};
use snowshelf_calendar::refusal::{Clash, Kind};
use snowshelf_model::ids::WallClockMillis;

/// The next occurrences that a window's answer shows.
const SHOWN_TIMES: usize = 3;

pub(super) fn clashes(list: &[Clash]) -> Value {
    let one = |c: &Clash| json!({"name": c.name.as_str(), "from": shown(c.from), "until": shown(c.until)});
    list.iter().map(one).collect()
}

pub(super) fn cancelled(name: &Name) -> Value {
    json!({"name": name.as_str(), "state": "cancelled"})
}

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
    let whole = r.amount.room();
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
        "cpus": whole.cpus, "gpus": whole.gpus, "mem_gb": whole.mem, "spot": r.spot,
        "from": shown(r.from), "until": shown(r.until), "places": places});
    if let Some(zone) = &r.zone {
        body["zone"] = json!(zone);
    }
    if let Some(types) = &r.types {
        body["types"] = json!(types);
    }
    if let Some(asked) = r.moved_from {
        body["moved_from"] = json!(shown(asked));
    }
    // A window that was forced over it: whoever reads it is told.
    let displaced = calendar.displaced(r);
    if !displaced.is_empty() {
        body["displaced_by"] = clashes(&displaced);
    }
    body
}

pub(super) fn window(name: &Name, w: &Window, calendar: &Calendar, now: WallClockMillis) -> Value {
    let times = w.occurrences(now, calendar.planned(), SHOWN_TIMES);
    let state = match times.first() {
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
            let next: Vec<Value> = times
                .iter()
                .map(|(from, until)| json!({"from": shown(*from), "until": shown(*until)}))
                .collect();
            body["next"] = json!(next);
        }
    }
    body
}

pub(super) fn list(
    kind: Kind,
    after: Option<&Name>,
    limit: usize,
    calendar: &Calendar,
    now: WallClockMillis,
) -> Value {
    let later = |name: &Name| after.is_none_or(|after| name > after);
    let mut found: Vec<Value> = match kind {
        Kind::Reservation => calendar
            .reservations()
            .filter(|(name, _)| later(name))
            .take(limit + 1)
            .map(|(name, r)| reservation(name, r, calendar, now))
            .collect(),
        Kind::Window => calendar
            .windows()
            .filter(|(name, _, _)| later(name))
            .take(limit + 1)
            .map(|(name, w, _)| window(name, w, calendar, now))
            .collect(),
    };
    let more = found.len() > limit;
    found.truncate(limit);
    json!({"items": found, "more": more})
}
