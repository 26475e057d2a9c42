//! What operators ask of drains and budgets, by method, path and body.

use crate::coordination::query::{param, split};
use serde::Deserialize;
use snowshelf_calendar::entry::{Malformed, Name};
use snowshelf_drain::budget::Budget;
use snowshelf_drain::entry::{Drain, Word, parse_drain};
use snowshelf_model::ids::{Team, WallClockMillis};

/// A request, read.
#[derive(Clone, Debug)]
pub enum Ask {
    Begin(Name, Box<Drain>),
    Show(Name),
    Tell(Name, Word),
    List {
        after: Option<Name>,
        limit: usize,
    },
    ShowBudget(Team),
    /// None: the settings' default again.
    SetBudget(Team, Option<Budget>),
}

#[derive(Debug)]
pub enum Read {
    Ask(Ask),
    Malformed(Malformed),
    NoSuchPath,
    NoSuchEntry,
    WrongMethod,
}

const DRAINS: &str = "/api/drains";
const BUDGETS: &str = "/api/budgets/";
/// Drains in one list at the most, and where nothing is said.
const MOST_LISTED: usize = 200;
const LISTED: usize = 100;

fn malformed(field: &str, why: &str) -> Read {
    Read::Malformed(Malformed {
        field: field.to_string(),
        why: why.to_string(),
    })
}

/// Reads a request; `None` if its path is none of the drains'.
pub fn read(method: &str, path: &str, body: &[u8], now: WallClockMillis) -> Option<Read> {
    let (path, query) = split(path);
    if let Some(team) = path.strip_prefix(BUDGETS) {
        return Some(budget(method, team, body));
    }
    let rest = path.strip_prefix(DRAINS)?;
    if !rest.is_empty() && !rest.starts_with('/') {
        return None;
    }
    let parts: Vec<&str> = rest.split('/').skip(1).collect();
    Some(match (method, &parts[..]) {
        ("GET", []) => list(query),
        ("POST", []) => match parse_drain(body, now) {
            Ok((name, drain)) => Read::Ask(Ask::Begin(name, Box::new(drain))),
            Err(why) => Read::Malformed(why),
        },
        (_, []) => Read::WrongMethod,
        (method, [name, rest @ ..]) => {
            let Some(name) = Name::parse(name) else {
                return Some(Read::NoSuchEntry);
            };
            let word = match rest {
                [] if method == "GET" => return Some(Read::Ask(Ask::Show(name))),
                ["pause"] => Word::Pause,
                ["resume"] => Word::Resume,
                ["cancel"] => Word::Cancel,
                [] => return Some(Read::WrongMethod),
                _ => return Some(Read::NoSuchPath),
            };
            match method {
                "POST" => Read::Ask(Ask::Tell(name, word)),
                _ => Read::WrongMethod,
            }
        }
    })
}

fn list(query: &str) -> Read {
    let after = match param(query, "after").map(Name::parse) {
        Some(None) => return malformed("after", "is no name"),
        other => other.flatten(),
    };
    let limit = match param(query, "limit").map(|l| l.parse::<usize>()) {
        None => LISTED,
        Some(Ok(n)) if (1..=MOST_LISTED).contains(&n) => n,
        Some(_) => return malformed("limit", "must be from 1 to 200"),
    };
    Read::Ask(Ask::List { after, limit })
}

/// A budget as operators set it: none stands for the settings' default.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Set {
    budget: Option<Budget>,
}

fn budget(method: &str, team: &str, body: &[u8]) -> Read {
    if team.is_empty() || team.contains('/') {
        return Read::NoSuchPath;
    }
    let team = Team::new(team);
    match method {
        "GET" => Read::Ask(Ask::ShowBudget(team)),
        "PUT" => match serde_json::from_slice::<Set>(body) {
            Err(error) => malformed("body", &error.to_string()),
            Ok(Set { budget }) => match budget.map_or(Ok(()), |b| b.check()) {
                Err((field, why)) => malformed(field, why),
                Ok(()) => Read::Ask(Ask::SetBudget(team, budget)),
            },
        },
        _ => Read::WrongMethod,
    }
}
