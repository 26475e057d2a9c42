//! What users ask of the calendar, by method, path and body.

use crate::coordination::query::{param, split};
use snowshelf_calendar::entry::{Malformed, Name, Wanted, Window, parse_reservation, parse_window};
use snowshelf_calendar::refusal::Kind;

/// A request, read.
#[derive(Clone, Debug)]
pub enum Ask {
    Reserve {
        name: Name,
        wanted: Wanted,
        how: How,
    },
    Declare {
        name: Name,
        window: Window,
        force: bool,
        how: How,
    },
    Cancel(Kind, Name),
    Show(Kind, Name),
    List {
        kind: Kind,
        after: Option<Name>,
        limit: usize,
    },
}

/// Whether an entry is made, replaced, or only asked about.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum How {
    New,
    Mutation,
    Check,
}

/// What a path and a method come to.
#[derive(Debug)]
pub enum Asked {
    Ask(Ask),
    Malformed(Malformed),
    NoSuchPath,
    WrongMethod,
    NoSuchEntry,
}

const RESERVATIONS: &str = "/api/reservations";
const WINDOWS: &str = "/api/windows";
/// Entries in one list at the most, and where nothing is said.
const MOST_LISTED: usize = 200;
const LISTED: usize = 100;

/// Reads a request; `None` if its path is none of the calendar's.
pub fn read_ask(method: &str, path: &str, body: &[u8]) -> Option<Asked> {
    let (path, query) = split(path);
    let (kind, rest) = match (path.strip_prefix(RESERVATIONS), path.strip_prefix(WINDOWS)) {
        (Some(rest), _) => (Kind::Reservation, rest),
        (_, Some(rest)) => (Kind::Window, rest),
        _ => return None,
    };
    if !rest.is_empty() && !rest.starts_with('/') {
        return None;
    }
    let rest = rest.strip_prefix('/').unwrap_or(rest);
    Some(match (method, rest) {
        ("GET", "") => list(kind, query),
        ("POST", "") => submission(kind, How::New, None, body),
        ("POST", "check") => submission(kind, How::Check, None, body),
        (_, "") | (_, "check") => Asked::WrongMethod,
        (method, rest) => {
            let (text, cancel) = match rest.strip_suffix("/cancel") {
                Some(text) => (text, true),
                None => (rest, false),
            };
            if text.contains('/') {
                return Some(Asked::NoSuchPath);
            }
            let Some(name) = Name::parse(text) else {
                return Some(Asked::NoSuchEntry);
            };
            match (method, cancel) {
                ("POST", true) => Asked::Ask(Ask::Cancel(kind, name)),
                ("GET", false) => Asked::Ask(Ask::Show(kind, name)),
                ("PUT", false) => submission(kind, How::Mutation, Some(name), body),
                _ => Asked::WrongMethod,
            }
        }
    })
}

fn list(kind: Kind, query: &str) -> Asked {
    let after = param(query, "after");
    let limit = param(query, "limit").map(|l| l.parse::<usize>());
    let malformed = |field: &str, why: &str| {
        Asked::Malformed(Malformed {
            field: field.to_string(),
            why: why.to_string(),
        })
    };
    let after = match after.map(Name::parse) {
        Some(None) => return malformed("after", "is no name"),
        other => other.flatten(),
    };
    let limit = match limit {
        None => LISTED,
        Some(Ok(n)) if (1..=MOST_LISTED).contains(&n) => n,
        Some(_) => return malformed("limit", "must be from 1 to 200"),
    };
    Asked::Ask(Ask::List { kind, after, limit })
}

fn submission(kind: Kind, how: How, at: Option<Name>, body: &[u8]) -> Asked {
    let ask = match kind {
        Kind::Reservation => {
            parse_reservation(body).map(|(name, wanted)| Ask::Reserve { name, wanted, how })
        }
        Kind::Window => parse_window(body).map(|(name, window, force)| Ask::Declare {
            name,
            window,
            force,
            how,
        }),
    };
    match ask {
        Err(malformed) => Asked::Malformed(malformed),
        Ok(Ask::Reserve { name, .. } | Ask::Declare { name, .. })
            if at.as_ref().is_some_and(|at| *at != name) =>
        {
            Asked::Malformed(Malformed {
                field: "name".to_string(),
                why: "is another than the path's".to_string(),
            })
        }
        Ok(ask) => Asked::Ask(ask),
    }
}
