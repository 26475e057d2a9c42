//! Reservations and maintenance windows: user requests, which are validated field by field, and the stored
//! records.

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

/// The name of a calendar entry or a drain, chosen by the user.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Name(Arc<str>);

impl Name {
    /// Parses a name: 1 to 64 letters, digits, `.`, `_` and `-`, a letter or digit first.
    #[must_use]
    pub fn parse(text: &str) -> Option<Name> {
        is_valid_name(text, b"._-").then(|| Name(text.into()))
    }

    /// The name as a string slice.
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

/// A missing or invalid field of a request. The text of the error is sent to the user.
#[derive(Clone, PartialEq, Eq, Debug, thiserror::Error)]
#[error("{field}: {why}")]
pub struct Malformed {
    /// The path of the field in the body, or `body`.
    pub field: String,
    /// What is wrong with the field.
    pub why: String,
}

fn malformed(field: &str, why: &str) -> Malformed {
    Malformed {
        field: field.to_string(),
        why: why.to_string(),
    }
}

fn validate_name(text: &str, _: &()) -> garde::Result {
    match Name::parse(text) {
        Some(_) => Ok(()),
        None => Err(garde::Error::new(
            "must be 1 to 64 letters, digits, '.', '_' or '-', a letter or digit first",
        )),
    }
}

fn check_length(text: &str) -> garde::Result {
    match (1..=200).contains(&text.len()) {
        true => Ok(()),
        false => Err(garde::Error::new("must have 1 to 200 bytes")),
    }
}

fn validate_text(text: &str, _: &()) -> garde::Result {
    check_length(text)
}

fn validate_optional_text(text: &Option<String>, _: &()) -> garde::Result {
    text.as_deref().map_or(Ok(()), check_length)
}

fn validate_types(list: &Option<Vec<String>>, _: &()) -> garde::Result {
    let Some(list) = list else {
        return Ok(());
    };
    if !(1..=16).contains(&list.len()) {
        return Err(garde::Error::new("must name 1 to 16 machine types"));
    }
    list.iter().try_for_each(|t| check_length(t))
}

/// A request for a reservation, as users send it. Its type name is part of parse errors sent to users.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize, Validate)]
pub struct ReservationRequest {
    /// The reservation's name.
    #[garde(custom(validate_name))]
    pub name: String,
    /// The team that may use it.
    #[garde(custom(validate_text))]
    pub team: String,
    /// Number of CPUs.
    #[garde(range(min = 0.001, max = 1e9))]
    pub cpus: f64,
    /// Number of GPUs.
    #[serde(default)]
    #[garde(range(min = 0.0, max = 1e9))]
    pub gpus: f64,
    /// Gigabytes of memory.
    #[serde(default)]
    #[garde(range(min = 0.0, max = 1e9))]
    pub mem_gb: f64,
    /// The required zone. `None`: any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[garde(custom(validate_optional_text))]
    pub zone: Option<String>,
    /// The allowed machine types. `None`: all.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[garde(custom(validate_types))]
    pub types: Option<Vec<String>>,
    /// Whether spot instances may provide it.
    #[serde(default)]
    #[garde(skip)]
    pub spot: bool,
    /// When it begins.
    #[garde(skip)]
    pub from: Timestamp,
    /// When it ends.
    #[garde(skip)]
    pub until: Timestamp,
    /// Whether it may be moved to the earliest time at which it fits.
    #[serde(default)]
    #[garde(skip)]
    pub movable: bool,
}

/// A request for a maintenance window, as users send it: either with `from` and `until`, or with a rule.
/// Its type name is part of parse errors sent to users.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize, Validate)]
pub struct WindowRequest {
    /// The window's name.
    #[garde(custom(validate_name))]
    pub name: String,
    /// The zone that it closes.
    #[garde(custom(validate_text))]
    pub zone: String,
    /// The machine types that it closes. `None`: all.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[garde(custom(validate_types))]
    pub types: Option<Vec<String>>,
    /// When it begins, unless there is a rule.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[garde(skip)]
    pub from: Option<Timestamp>,
    /// When it ends, unless there is a rule.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[garde(skip)]
    pub until: Option<Timestamp>,
    /// The recurrence, if it recurs.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[garde(skip)]
    pub rule: Option<Rule>,
    /// Lead time in seconds, in which no task is started that would overlap an occurrence. `None`: unlimited
    /// for tasks with an expected run time, zero for services.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[garde(range(min = 0.0, max = 1e8))]
    pub lead_s: Option<f64>,
    /// Whether it is accepted even if it conflicts with reservations.
    #[serde(default)]
    #[garde(skip)]
    pub force: bool,
}

/// Parses a JSON body and validates its fields.
///
/// # Errors
/// Returns the first field that is missing or invalid.
pub fn parse_body<T: DeserializeOwned + Validate<Context = ()>>(
    body: &[u8],
) -> Result<T, Malformed> {
    let mut deserializer = serde_json::Deserializer::from_slice(body);
    let request: T = serde_path_to_error::deserialize(&mut deserializer).map_err(|e| {
        let path = e.path().to_string();
        let why = e.inner().to_string();
        // The parser reports a missing field at the path of the object, not of the field.
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
    deserializer
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

/// Converts a timestamp, which must not be before 1970.
fn wall_clock_millis(field: &str, at: Timestamp) -> Result<WallClockMillis, Malformed> {
    let ms = u64::try_from(at.as_millisecond());
    ms.map(WallClockMillis)
        .map_err(|_| malformed(field, "lies before 1970"))
}

/// Formats a time in RFC 3339, or as milliseconds if it is outside the range of timestamps.
#[must_use]
pub fn format_time(at: WallClockMillis) -> String {
    let ms = i64::try_from(at.0).unwrap_or(i64::MAX);
    Timestamp::from_millisecond(ms).map_or_else(|_| format!("{ms} ms"), |t| t.to_string())
}

/// A validated request for a reservation, before its amount is divided over pools.
#[derive(Clone, PartialEq, Debug)]
pub struct ReservationSpec {
    /// The team that may use it.
    pub team: Team,
    /// The total amount.
    pub amount: Amount,
    /// The required zone. `None`: any.
    pub zone: Option<String>,
    /// The allowed machine types, sorted. `None`: all.
    pub types: Option<Vec<String>>,
    /// Whether spot instances may provide it.
    pub spot: bool,
    /// When it begins.
    pub from: WallClockMillis,
    /// When it ends.
    pub until: WallClockMillis,
    /// Whether it may be moved to the earliest time at which it fits.
    pub movable: bool,
}

/// Parses a request for a reservation.
///
/// # Errors
/// Returns the first field that is missing or invalid.
pub fn parse_reservation(body: &[u8]) -> Result<(Name, ReservationSpec), Malformed> {
    let request: ReservationRequest = parse_body(body)?;
    let name = Name::parse(&request.name).ok_or(malformed("name", "is no name"))?;
    let (from, until) = (
        wall_clock_millis("from", request.from)?,
        wall_clock_millis("until", request.until)?,
    );
    if until.0 < from.0.saturating_add(1000) {
        return Err(malformed("until", "must lie at least a second after from"));
    }
    let resources = Resources {
        cpus: request.cpus,
        gpus: request.gpus,
        mem: request.mem_gb,
    };
    let mut types = request.types;
    if let Some(types) = &mut types {
        types.sort();
        types.dedup();
    }
    let spec = ReservationSpec {
        team: Team::new(&request.team),
        amount: Amount::from_resources(resources),
        zone: request.zone,
        types,
        spot: request.spot,
        from,
        until,
        movable: request.movable,
    };
    Ok((name, spec))
}

/// Parses a request for a maintenance window. The flag tells whether it is forced over reservations.
///
/// # Errors
/// Returns the first field that is missing or invalid.
pub fn parse_window(body: &[u8]) -> Result<(Name, Window, bool), Malformed> {
    let request: WindowRequest = parse_body(body)?;
    let name = Name::parse(&request.name).ok_or(malformed("name", "is no name"))?;
    let schedule = match (request.from, request.until, request.rule) {
        (Some(from), Some(until), None) => {
            let (from, until) = (
                wall_clock_millis("from", from)?,
                wall_clock_millis("until", until)?,
            );
            if until.0 < from.0.saturating_add(1000) {
                return Err(malformed("until", "must lie at least a second after from"));
            }
            WindowSchedule::Once { from, until }
        }
        (None, None, Some(rule)) => {
            rule.check()
                .map_err(|invalid| malformed(&format!("rule.{}", invalid.field), invalid.reason))?;
            WindowSchedule::Recurring(rule)
        }
        (Some(_), None, None) => return Err(malformed("until", "is missing")),
        (None, Some(_), None) => return Err(malformed("from", "is missing")),
        (None, None, None) => return Err(malformed("from", "is missing, and there is no rule")),
        (_, _, Some(_)) => return Err(malformed("rule", "stands beside from or until")),
    };
    let window = Window {
        zone: request.zone,
        types: request.types,
        when: schedule,
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
    /// The reserved amount.
    #[serde(rename = "a")]
    pub amount: Amount,
}

/// An accepted reservation, stored under the key `res/<name>`.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct Reservation {
    /// The team that may use it.
    pub team: Team,
    /// The total amount over all pools.
    pub amount: Amount,
    /// The required zone, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// The allowed machine types, sorted. `None`: all.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub types: Option<Vec<String>>,
    /// Whether spot instances may provide it.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub spot: bool,
    /// When it begins.
    pub from: WallClockMillis,
    /// When it ends.
    pub until: WallClockMillis,
    /// The requested start time, if the reservation was moved.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub moved_from: Option<WallClockMillis>,
    /// The amount in each pool.
    pub shares: Vec<Share>,
}

impl Reservation {
    /// Whether the request is the one that was accepted as this reservation, so that a repetition of it
    /// changes nothing.
    #[must_use]
    pub fn is_same_request(&self, spec: &ReservationSpec) -> bool {
        let requested_from = self.moved_from.unwrap_or(self.from);
        let duration_ms = self.until.0 - self.from.0.min(self.until.0);
        self.team == spec.team
            && self.amount == spec.amount
            && self.zone == spec.zone
            && self.types == spec.types
            && self.spot == spec.spot
            && requested_from == spec.from
            && duration_ms == spec.until.0 - spec.from.0
    }
}

/// When a maintenance window is in effect.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WindowSchedule {
    /// One occurrence.
    Once {
        /// When it begins.
        from: WallClockMillis,
        /// When it ends.
        until: WallClockMillis,
    },
    /// Occurrences by a rule.
    #[serde(rename = "again")]
    Recurring(Rule),
}

/// An accepted maintenance window, stored under the key `win/<name>`.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct Window {
    /// The zone that it closes.
    pub zone: String,
    /// The machine types that it closes. `None`: all.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub types: Option<Vec<String>>,
    /// When it is in effect.
    pub when: WindowSchedule,
    /// Lead time in seconds, in which no task is started that would overlap an occurrence. `None`: unlimited
    /// for tasks with an expected run time, zero for services.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub lead_s: Option<f64>,
}

impl Window {
    /// The occurrences that end after `from` and begin before `until`, in order, at most `max_count`.
    #[must_use]
    pub fn occurrences(
        &self,
        from: WallClockMillis,
        until: WallClockMillis,
        max_count: usize,
    ) -> Vec<(WallClockMillis, WallClockMillis)> {
        match &self.when {
            WindowSchedule::Once { from: a, until: b } => {
                let overlaps = *b > from && *a < until;
                overlaps.then_some((*a, *b)).into_iter().collect()
            }
            WindowSchedule::Recurring(rule) => rule.occurrences(from, until, max_count),
        }
    }

    /// Whether the window closes the pool of this zone and machine type.
    #[must_use]
    pub fn closes(&self, zone: &str, model: &str) -> bool {
        let mut types = self.types.iter().flatten();
        self.zone == zone && (self.types.is_none() || types.any(|t| t == model))
    }
}
