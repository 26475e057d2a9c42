//! Reservations and maintenance windows: the requests of users, validated field by field, and the records.

use crate::amount::Amount;
use crate::recur::Rule;
use garde::Validate;
use jiff::Timestamp;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use snowshelf_model::ids::{Team, WallClockMillis, is_valid_name};
use snowshelf_model::records::Resources;
use std::fmt;
use std::sync::Arc;

/// The name of a reservation or a window, chosen by its owner.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Name(Arc<str>);

impl Name {
    /// Parses a name: 1 to 64 letters, digits, `.`, `_` and `-`, a letter or digit first.
    #[must_use]
    pub fn parse(text: &str) -> Option<Name> {
        is_valid_name(text, b"._-").then(|| Name(text.into()))
    }

    /// The name's text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl fmt::Debug for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// A field of a request that is missing or invalid. Its text is part of the response.
#[derive(Clone, PartialEq, Eq, Debug, thiserror::Error)]
#[error("{field}: {why}")]
pub struct Malformed {
    /// The path of the field.
    pub field: String,
    /// What is wrong with it.
    pub why: String,
}

fn malformed(field: &str, why: &str) -> Malformed {
    Malformed {
        field: field.to_string(),
        why: why.to_string(),
    }
}

fn is_name(text: &str, _: &()) -> garde::Result {
    match Name::parse(text) {
        Some(_) => Ok(()),
        None => Err(garde::Error::new(
            "must be 1 to 64 letters, digits, '.', '_' or '-', a letter or digit first",
        )),
    }
}

fn short_text(text: &str) -> garde::Result {
    match (1..=200).contains(&text.len()) {
        true => Ok(()),
        false => Err(garde::Error::new("must have 1 to 200 bytes")),
    }
}

fn text(text: &str, _: &()) -> garde::Result {
    short_text(text)
}

fn some_text(text: &Option<String>, _: &()) -> garde::Result {
    text.as_deref().map_or(Ok(()), short_text)
}

fn texts(list: &Option<Vec<String>>, _: &()) -> garde::Result {
    let Some(list) = list else {
        return Ok(());
    };
    if !(1..=16).contains(&list.len()) {
        return Err(garde::Error::new("must name 1 to 16 machine types"));
    }
    list.iter().try_for_each(|t| short_text(t))
}

/// A request for a reservation.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize, Validate)]
pub struct ReservationRequest {
    /// The reservation's name.
    #[garde(custom(is_name))]
    pub name: String,
    /// The team that it is for.
    #[garde(custom(text))]
    pub team: String,
    /// CPUs.
    #[garde(range(min = 0.001, max = 1e9))]
    pub cpus: f64,
    /// GPUs.
    #[serde(default)]
    #[garde(range(min = 0.0, max = 1e9))]
    pub gpus: f64,
    /// Gigabytes of memory.
    #[serde(default)]
    #[garde(range(min = 0.0, max = 1e9))]
    pub mem_gb: f64,
    /// The zone that is required; `None`: any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[garde(custom(some_text))]
    pub zone: Option<String>,
    /// The machine types that are allowed; `None`: all.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[garde(custom(texts))]
    pub types: Option<Vec<String>>,
    /// Whether spot instances will do.
    #[serde(default)]
    #[garde(skip)]
    pub spot: bool,
    /// When it begins.
    #[garde(skip)]
    pub from: Timestamp,
    /// When it ends.
    #[garde(skip)]
    pub until: Timestamp,
    /// Whether it may be moved to the first time that fits.
    #[serde(default)]
    #[garde(skip)]
    pub movable: bool,
}

/// A request for a maintenance window: either with from and until, or with a rule.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize, Validate)]
pub struct WindowRequest {
    /// The window's name.
    #[garde(custom(is_name))]
    pub name: String,
    /// The zone that it closes.
    #[garde(custom(text))]
    pub zone: String,
    /// The machine types that it closes; `None`: all.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[garde(custom(texts))]
    pub types: Option<Vec<String>>,
    /// When it begins.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[garde(skip)]
    pub from: Option<Timestamp>,
    /// When it ends.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[garde(skip)]
    pub until: Option<Timestamp>,
    /// Its recurrence.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[garde(skip)]
    pub rule: Option<Rule>,
    /// How long before it, in seconds, no task is started that would run into it; `None`: at any time.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[garde(range(min = 0.0, max = 1e8))]
    pub lead_s: Option<f64>,
    /// Whether it is accepted although it conflicts with reservations.
    #[serde(default)]
    #[garde(skip)]
    pub force: bool,
}

/// Parses a request and validates its fields.
///
/// # Errors
/// The first field that is missing or invalid.
pub fn read<T: DeserializeOwned + Validate<Context = ()>>(body: &[u8]) -> Result<T, Malformed> {
    let mut reader = serde_json::Deserializer::from_slice(body);
    let request: T = serde_path_to_error::deserialize(&mut reader).map_err(|e| {
        let path = e.path().to_string();
        let why = e.inner().to_string();
        // The parser reports a missing field at the object that lacks it.
        let missing = why
            .split('`')
            .nth(1)
            .filter(|_| why.starts_with("missing field"));
        let field = match (missing, path.as_str()) {
            (Some(field), ".") => field.to_string(),
            (Some(field), at) => format!("{at}.{field}"),
            (None, ".") => "body".to_string(),
            (None, at) => at.to_string(),
        };
        malformed(&field, &why)
    })?;
    reader
        .end()
        .map_err(|e| malformed("body", &e.to_string()))?;
    request.validate().map_err(|report| {
        let first = report.iter().next();
        first.map_or(malformed("body", "is not sound"), |(path, error)| {
            malformed(&path.to_string(), error.message())
        })
    })?;
    Ok(request)
}

/// Converts a time; times before 1970 are invalid.
fn moment(field: &str, at: Timestamp) -> Result<WallClockMillis, Malformed> {
    let ms = u64::try_from(at.as_millisecond());
    ms.map(WallClockMillis)
        .map_err(|_| malformed(field, "lies before 1970"))
}

/// A time as users read it.
#[must_use]
pub fn shown(at: WallClockMillis) -> String {
    let ms = i64::try_from(at.0).unwrap_or(i64::MAX);
    Timestamp::from_millisecond(ms).map_or_else(|_| format!("{ms} ms"), |t| t.to_string())
}

/// A validated request for a reservation, not yet divided over pools.
#[derive(Clone, PartialEq, Debug)]
pub struct Wanted {
    /// The team that it is for.
    pub team: Team,
    /// The amount.
    pub amount: Amount,
    /// The zone that is required; `None`: any.
    pub zone: Option<String>,
    /// The machine types that are allowed, sorted; `None`: all.
    pub types: Option<Vec<String>>,
    /// Whether spot instances will do.
    pub spot: bool,
    /// When it begins.
    pub from: WallClockMillis,
    /// When it ends.
    pub until: WallClockMillis,
    /// Whether it may be moved to the first time that fits.
    pub movable: bool,
}

/// Parses a request for a reservation.
///
/// # Errors
/// The first field that is missing or invalid.
pub fn parse_reservation(body: &[u8]) -> Result<(Name, Wanted), Malformed> {
    let request: ReservationRequest = read(body)?;
    let name = Name::parse(&request.name).ok_or(malformed("name", "is no name"))?;
    let (from, until) = (
        moment("from", request.from)?,
        moment("until", request.until)?,
    );
    if until.0 < from.0.saturating_add(1000) {
        return Err(malformed("until", "must lie at least a second after from"));
    }
    let room = Resources {
        cpus: request.cpus,
        gpus: request.gpus,
        mem: request.mem_gb,
    };
    let mut types = request.types;
    if let Some(types) = &mut types {
        types.sort();
        types.dedup();
    }
    let wanted = Wanted {
        team: Team::new(&request.team),
        amount: Amount::of(room),
        zone: request.zone,
        types,
        spot: request.spot,
        from,
        until,
        movable: request.movable,
    };
    Ok((name, wanted))
}

/// Parses a request for a maintenance window; also whether it is forced.
///
/// # Errors
/// The first field that is missing or invalid.
pub fn parse_window(body: &[u8]) -> Result<(Name, Window, bool), Malformed> {
    let request: WindowRequest = read(body)?;
    let name = Name::parse(&request.name).ok_or(malformed("name", "is no name"))?;
    let when = match (request.from, request.until, request.rule) {
        (Some(from), Some(until), None) => {
            let (from, until) = (moment("from", from)?, moment("until", until)?);
            if until.0 < from.0.saturating_add(1000) {
                return Err(malformed("until", "must lie at least a second after from"));
            }
            When::Once { from, until }
        }
        (None, None, Some(rule)) => {
            rule.check()
                .map_err(|invalid| malformed(&format!("rule.{}", invalid.field), invalid.reason))?;
            When::Again(rule)
        }
        (Some(_), None, None) => return Err(malformed("until", "is missing")),
        (None, Some(_), None) => return Err(malformed("from", "is missing")),
        (None, None, None) => return Err(malformed("from", "is missing, and there is no rule")),
        (_, _, Some(_)) => return Err(malformed("rule", "stands beside from or until")),
    };
    let window = Window {
        zone: request.zone,
        types: request.types,
        when,
        lead_s: request.lead_s,
    };
    Ok((name, window, request.force))
}

/// The part of a reservation's amount that is reserved in one pool.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct Share {
    /// The pool's zone.
    #[serde(rename = "z")]
    pub zone: String,
    /// The pool's machine type.
    #[serde(rename = "t")]
    pub model: String,
    /// The amount.
    #[serde(rename = "a")]
    pub amount: Amount,
}

/// `res/<name>`: a reservation that was accepted.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct Reservation {
    /// The team that it is for.
    pub team: Team,
    /// The whole amount.
    pub amount: Amount,
    /// The zone that was required, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// The machine types that were allowed, if not all.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub types: Option<Vec<String>>,
    /// Whether spot instances will do.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub spot: bool,
    /// When it begins.
    pub from: WallClockMillis,
    /// When it ends.
    pub until: WallClockMillis,
    /// The beginning that was requested, if it was moved.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub moved_from: Option<WallClockMillis>,
    /// The pools that it is divided over.
    pub shares: Vec<Share>,
}

impl Reservation {
    /// Whether a request is for exactly this reservation.
    #[must_use]
    pub fn answers(&self, wanted: &Wanted) -> bool {
        let asked = self.moved_from.unwrap_or(self.from);
        let long = self.until.0 - self.from.0.min(self.until.0);
        self.team == wanted.team
            && self.amount == wanted.amount
            && self.zone == wanted.zone
            && self.types == wanted.types
            && self.spot == wanted.spot
            && asked == wanted.from
            && long == wanted.until.0 - wanted.from.0
    }
}

/// When a maintenance window is.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum When {
    /// Once.
    Once {
        /// When it begins.
        from: WallClockMillis,
        /// When it ends.
        until: WallClockMillis,
    },
    /// It recurs.
    Again(Rule),
}

/// `win/<name>`: a maintenance window that was accepted.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct Window {
    /// The zone that it closes.
    pub zone: String,
    /// The machine types that it closes; `None`: all.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub types: Option<Vec<String>>,
    /// When it is.
    pub when: When,
    /// How long before it, in seconds, no task is started that would run into it; `None`: at any time.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub lead_s: Option<f64>,
}

impl Window {
    /// Its occurrences that end after `from` and begin before `until`, in order, at most `most`.
    #[must_use]
    pub fn occurrences(
        &self,
        from: WallClockMillis,
        until: WallClockMillis,
        most: usize,
    ) -> Vec<(WallClockMillis, WallClockMillis)> {
        match &self.when {
            When::Once { from: a, until: b } => {
                let inside = *b > from && *a < until;
                inside.then_some((*a, *b)).into_iter().collect()
            }
            When::Again(rule) => rule.occurrences(from, until, most),
        }
    }

    /// Whether it closes the pool of this zone and machine type.
    #[must_use]
    pub fn concerns(&self, zone: &str, model: &str) -> bool {
        let mut types = self.types.iter().flatten();
        self.zone == zone && (self.types.is_none() || types.any(|t| t == model))
    }
}
