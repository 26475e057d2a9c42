//! Reservations and windows: as users write them, checked field by field, and as they are kept.

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
    /// Letters, digits, `.`, `_` and `-`, a letter or digit first, 64 bytes at the most.
    pub fn parse(text: &str) -> Option<Name> {
        is_valid_name(text, b"._-").then(|| Name(text.into()))
    }
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

/// What is wrong with a request, and where.
#[derive(Clone, PartialEq, Eq, Debug, thiserror::Error)]
#[error("{field}: {why}")]
pub struct Malformed {
    pub field: String,
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

/// A reservation as its owner asks for it.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize, Validate)]
pub struct ReservationRequest {
    #[garde(custom(is_name))]
    pub name: String,
    #[garde(custom(text))]
    pub team: String,
    #[garde(range(min = 0.001, max = 1e9))]
    pub cpus: f64,
    #[serde(default)]
    #[garde(range(min = 0.0, max = 1e9))]
    pub gpus: f64,
    #[serde(default)]
    #[garde(range(min = 0.0, max = 1e9))]
    pub mem_gb: f64,
    /// The only zone; none: any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[garde(custom(some_text))]
    pub zone: Option<String>,
    /// The only machine types; none: any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[garde(custom(texts))]
    pub types: Option<Vec<String>>,
    /// Whether cheap machines, which may be taken back, will do.
    #[serde(default)]
    #[garde(skip)]
    pub spot: bool,
    #[garde(skip)]
    pub from: Timestamp,
    #[garde(skip)]
    pub until: Timestamp,
    /// Whether it may be moved to the first time that fits.
    #[serde(default)]
    #[garde(skip)]
    pub movable: bool,
}

/// A maintenance window as its owner declares it: either from and until, or a rule.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize, Validate)]
pub struct WindowRequest {
    #[garde(custom(is_name))]
    pub name: String,
    #[garde(custom(text))]
    pub zone: String,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[garde(custom(texts))]
    pub types: Option<Vec<String>>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[garde(skip)]
    pub from: Option<Timestamp>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[garde(skip)]
    pub until: Option<Timestamp>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[garde(skip)]
    pub rule: Option<Rule>,
    /// How long before it nothing starts that would run into it; none: at any time.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[garde(range(min = 0.0, max = 1e8))]
    pub lead_s: Option<f64>,
    /// Whether it is declared over reservations too.
    #[serde(default)]
    #[garde(skip)]
    pub force: bool,
}

/// Reads a request and checks every field of it; the error names the first that is not sound.
pub fn read<T: DeserializeOwned + Validate<Context = ()>>(body: &[u8]) -> Result<T, Malformed> {
    let mut reader = serde_json::Deserializer::from_slice(body);
    let request: T = serde_path_to_error::deserialize(&mut reader).map_err(|e| {
        let path = e.path().to_string();
        let why = e.inner().to_string();
        // A missing field is told of at the object that lacks it.
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

/// A moment as this process keeps it; before 1970 there is none.
fn moment(field: &str, at: Timestamp) -> Result<WallClockMillis, Malformed> {
    let ms = u64::try_from(at.as_millisecond());
    ms.map(WallClockMillis)
        .map_err(|_| malformed(field, "lies before 1970"))
}

/// A moment as users read it.
pub fn shown(at: WallClockMillis) -> String {
    let ms = i64::try_from(at.0).unwrap_or(i64::MAX);
    Timestamp::from_millisecond(ms).map_or_else(|_| format!("{ms} ms"), |t| t.to_string())
}

/// What is asked for, before it is known where it may be had.
#[derive(Clone, PartialEq, Debug)]
pub struct Wanted {
    pub team: Team,
    pub amount: Amount,
    pub zone: Option<String>,
    pub types: Option<Vec<String>>,
    pub spot: bool,
    pub from: WallClockMillis,
    pub until: WallClockMillis,
    pub movable: bool,
}

/// Reads a reservation's request.
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

/// Reads a window's request; also whether it is forced.
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

/// A part of a reservation's amount, in one place.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct Share {
    #[serde(rename = "z")]
    pub zone: String,
    #[serde(rename = "t")]
    pub model: String,
    #[serde(rename = "a")]
    pub amount: Amount,
}

/// `res/<name>`: a reservation that was taken.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct Reservation {
    pub team: Team,
    pub amount: Amount,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub types: Option<Vec<String>>,
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub spot: bool,
    pub from: WallClockMillis,
    pub until: WallClockMillis,
    /// When it was asked for, if it was moved.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub moved_from: Option<WallClockMillis>,
    pub shares: Vec<Share>,
}

impl Reservation {
    /// Whether a request asks for just this.
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

#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum When {
    Once {
        from: WallClockMillis,
        until: WallClockMillis,
    },
    Again(Rule),
}

/// `win/<name>`: a maintenance window that was declared.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct Window {
    pub zone: String,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub types: Option<Vec<String>>,
    pub when: When,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub lead_s: Option<f64>,
}

impl Window {
    /// Its occurrences that end after `from` and begin before `until`.
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

    pub fn concerns(&self, zone: &str, model: &str) -> bool {
        let mut types = self.types.iter().flatten();
        self.zone == zone && (self.types.is_none() || types.any(|t| t == model))
    }
}
