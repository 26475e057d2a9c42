//! `snowshelf reservations` and `snowshelf windows`.

use crate::controllers::ControllerArgs;
use crate::error::ArgumentError;
use crate::http::Method;
use crate::table;
use crate::{CommandOutput, CommandStatus};
use clap::{Args, Subcommand};
use jiff::{SignedDuration, Timestamp, ZonedDateTime};
use serde_json::{Map, Value, json};
use std::path::{Path, PathBuf};

/// What is to be had of an entry, and when.
#[derive(Args, Clone, Debug)]
pub struct TimeRangeArgs {
    /// When it begins: RFC 3339, or a local time with its zone, as 2027-09-01T06:00[Europe/Lisbon].
    #[arg(long, value_name = "TIME", value_parser = parse_time)]
    pub from: Option<Timestamp>,
    /// When it ends.
    #[arg(long, value_name = "TIME", value_parser = parse_time, conflicts_with = "duration")]
    pub until: Option<Timestamp>,
    /// How long it lasts instead, as 2h30m.
    #[arg(long = "for", value_name = "LONG", value_parser = parse_duration)]
    pub duration: Option<SignedDuration>,
}

/// A reservation, and the controllers that it is sent to.
#[derive(Args, Clone, Debug)]
pub struct ReservationArgs {
    /// Its name, which is not used by another.
    pub name: String,
    #[arg(long)]
    pub team: String,
    #[arg(long)]
    pub cpus: f64,
    #[arg(long, default_value_t = 0.0)]
    pub gpus: f64,
    #[arg(long, default_value_t = 0.0)]
    pub mem_gb: f64,
    /// The only zone.
    #[arg(long)]
    pub zone: Option<String>,
    /// A machine type that will do; several may be named.
    #[arg(long = "type", value_name = "TYPE", value_delimiter = ',')]
    pub types: Vec<String>,
    /// Cheap machines, which may be taken back, will do.
    #[arg(long)]
    pub spot: bool,
    /// It may be moved to the first time that fits.
    #[arg(long)]
    pub movable: bool,
    #[command(flatten)]
    pub range: TimeRangeArgs,
    #[command(flatten)]
    pub controllers: ControllerArgs,
}

/// A maintenance window, and the controllers that it is sent to.
#[derive(Args, Clone, Debug)]
pub struct WindowArgs {
    /// Its name, which is not used by another.
    pub name: String,
    #[arg(long)]
    pub zone: String,
    /// A machine type that is closed; several may be named. None: all.
    #[arg(long = "type", value_name = "TYPE", value_delimiter = ',')]
    pub types: Vec<String>,
    /// A file with the rule by which it comes again (JSON).
    #[arg(long, value_name = "FILE", conflicts_with_all = ["from", "until", "duration"])]
    pub rule: Option<PathBuf>,
    /// So many seconds before it nothing starts that would run into it; none: at any time.
    #[arg(long, value_name = "SECONDS")]
    pub lead_s: Option<f64>,
    /// Declares it over reservations too; who reads these is told.
    #[arg(long)]
    pub force: bool,
    #[command(flatten)]
    pub range: TimeRangeArgs,
    #[command(flatten)]
    pub controllers: ControllerArgs,
}

/// The name of an entry, and the controllers to ask.
#[derive(Args, Clone, Debug)]
pub struct EntryArgs {
    pub name: String,
    #[command(flatten)]
    pub controllers: ControllerArgs,
}

/// The commands on reservations.
#[derive(Subcommand, Clone, Debug)]
pub enum Reservations {
    /// Lists all reservations.
    List(ControllerArgs),
    /// Shows one.
    Show(EntryArgs),
    /// Reserves.
    Add(ReservationArgs),
    /// Replaces one by another of the same name, if that fits.
    Change(ReservationArgs),
    /// Tells whether it would fit, and changes nothing.
    Check(ReservationArgs),
    /// Gives one up.
    Cancel(EntryArgs),
}

/// The commands on maintenance windows.
#[derive(Subcommand, Clone, Debug)]
pub enum Windows {
    /// Lists all maintenance windows.
    List(ControllerArgs),
    /// Shows one.
    Show(EntryArgs),
    /// Declares one.
    Add(WindowArgs),
    /// Replaces one by another of the same name.
    Change(WindowArgs),
    /// Tells whether it may be declared, and changes nothing.
    Check(WindowArgs),
    /// Takes one back.
    Cancel(EntryArgs),
}

pub(crate) fn parse_time(text: &str) -> Result<Timestamp, ArgumentError> {
    if let Ok(zoned) = text.parse::<ZonedDateTime>() {
        return Ok(zoned.timestamp());
    }
    Ok(text.parse()?)
}

fn parse_duration(text: &str) -> Result<SignedDuration, ArgumentError> {
    let duration: SignedDuration = text.parse()?;
    if duration.is_positive() {
        Ok(duration)
    } else {
        Err(ArgumentError::NotPositive)
    }
}

fn read_json(path: &Path) -> Result<Value, ArgumentError> {
    let text = std::fs::read_to_string(path).map_err(|source| ArgumentError::Unreadable {
        path: path.to_path_buf(),
        source,
    })?;
    serde_json::from_str(&text).map_err(|source| ArgumentError::NotJson {
        path: path.to_path_buf(),
        source,
    })
}

impl TimeRangeArgs {
    fn insert_into(&self, body: &mut Map<String, Value>) -> Result<(), ArgumentError> {
        let until = match (self.from, self.until, self.duration) {
            (Some(from), None, Some(duration)) => Some(from.checked_add(duration)?),
            (_, until, _) => until,
        };
        if let Some(from) = self.from {
            body.insert("from".into(), json!(from.to_string()));
        }
        if let Some(until) = until {
            body.insert("until".into(), json!(until.to_string()));
        }
        Ok(())
    }
}

impl ReservationArgs {
    fn body(&self) -> Result<Value, ArgumentError> {
        let mut body = Map::new();
        body.insert("name".into(), json!(self.name));
        body.insert("team".into(), json!(self.team));
        body.insert("cpus".into(), json!(self.cpus));
        body.insert("gpus".into(), json!(self.gpus));
        body.insert("mem_gb".into(), json!(self.mem_gb));
        body.insert("zone".into(), json!(self.zone));
        if !self.types.is_empty() {
            body.insert("types".into(), json!(self.types));
        }
        body.insert("spot".into(), json!(self.spot));
        body.insert("movable".into(), json!(self.movable));
        self.range.insert_into(&mut body)?;
        Ok(Value::Object(body))
    }
}

impl WindowArgs {
    fn body(&self) -> Result<Value, ArgumentError> {
        let mut body = Map::new();
        body.insert("name".into(), json!(self.name));
        body.insert("zone".into(), json!(self.zone));
        if !self.types.is_empty() {
            body.insert("types".into(), json!(self.types));
        }
        body.insert("lead_s".into(), json!(self.lead_s));
        body.insert("force".into(), json!(self.force));
        if let Some(path) = &self.rule {
            body.insert("rule".into(), read_json(path)?);
        }
        self.range.insert_into(&mut body)?;
        Ok(Value::Object(body))
    }
}

const RESERVATIONS: &str = "/api/reservations";
const WINDOWS: &str = "/api/windows";
/// Entries of one page.
const PAGE_SIZE: usize = 100;

const RESERVATION_COLUMNS: [(&str, &str); 8] = [
    ("NAME", "name"),
    ("TEAM", "team"),
    ("CPUS", "cpus"),
    ("MEM GB", "mem_gb"),
    ("ZONE", "zone"),
    ("FROM", "from"),
    ("UNTIL", "until"),
    ("STATE", "state"),
];
const WINDOW_COLUMNS: [(&str, &str); 6] = [
    ("NAME", "name"),
    ("ZONE", "zone"),
    ("TYPES", "types"),
    ("FROM", "from"),
    ("UNTIL", "until"),
    ("STATE", "state"),
];

pub(crate) fn list(
    controllers: &ControllerArgs,
    path: &str,
    columns: &[(&str, &str)],
) -> CommandOutput {
    let page = |items: &[Value]| {
        let last = items.last().map(|i| table::plain(&i["name"]));
        let after = last.map(|name| format!("&after={name}"));
        format!("{path}?limit={PAGE_SIZE}{}", after.unwrap_or_default())
    };
    let items = match controllers.read_all("items", page) {
        Ok(list) => list.items,
        Err(failure) => return failure,
    };
    CommandOutput::success(match controllers.json {
        true => format!("{:#}", json!({ "items": items })),
        false => table::rows(columns, &items),
    })
}

pub(crate) fn show_entry(entry: &EntryArgs, path: &str) -> CommandOutput {
    let path = format!("{path}/{}", entry.name);
    entry.controllers.send(Method::Get, &path, None)
}

pub(crate) fn cancel_entry(entry: &EntryArgs, path: &str) -> CommandOutput {
    let path = format!("{path}/{}/cancel", entry.name);
    entry.controllers.send(Method::Post, &path, None)
}

pub(crate) fn send(
    controllers: &ControllerArgs,
    method: Method,
    path: &str,
    body: Result<Value, ArgumentError>,
) -> CommandOutput {
    match body {
        Ok(body) => controllers.send(method, path, Some(&body)),
        Err(error) => CommandOutput::failure(CommandStatus::Invalid, error.to_string()),
    }
}

impl Reservations {
    /// Runs the command.
    pub fn run(&self) -> CommandOutput {
        let path = RESERVATIONS;
        match self {
            Reservations::List(controllers) => list(controllers, path, &RESERVATION_COLUMNS),
            Reservations::Show(entry) => show_entry(entry, path),
            Reservations::Cancel(entry) => cancel_entry(entry, path),
            Reservations::Add(r) => send(&r.controllers, Method::Post, path, r.body()),
            Reservations::Check(r) => send(
                &r.controllers,
                Method::Post,
                &format!("{path}/check"),
                r.body(),
            ),
            Reservations::Change(r) => send(
                &r.controllers,
                Method::Put,
                &format!("{path}/{}", r.name),
                r.body(),
            ),
        }
    }
}

impl Windows {
    /// Runs the command.
    pub fn run(&self) -> CommandOutput {
        let path = WINDOWS;
        match self {
            Windows::List(controllers) => list(controllers, path, &WINDOW_COLUMNS),
            Windows::Show(entry) => show_entry(entry, path),
            Windows::Cancel(entry) => cancel_entry(entry, path),
            Windows::Add(w) => send(&w.controllers, Method::Post, path, w.body()),
            Windows::Check(w) => send(
                &w.controllers,
                Method::Post,
                &format!("{path}/check"),
                w.body(),
            ),
            Windows::Change(w) => send(
                &w.controllers,
                Method::Put,
                &format!("{path}/{}", w.name),
                w.body(),
            ),
        }
    }
}
