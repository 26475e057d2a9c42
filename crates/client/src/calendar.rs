//! The commands `snowshelf reservations` and `snowshelf windows`.

use crate::controllers::ControllerArgs;
use crate::error::ArgumentError;
use crate::http::Method;
use crate::table;
use crate::{CommandOutput, CommandStatus};
use clap::{Args, Subcommand};
use jiff::{SignedDuration, Timestamp, ZonedDateTime};
use serde_json::{Map, Value, json};
use std::path::{Path, PathBuf};

/// The time range of a reservation or a maintenance window.
#[derive(Args, Clone, Debug)]
pub struct TimeRangeArgs {
    /// Start time, in RFC 3339 or as a local time with its time zone, such as 2027-09-01T06:00[Europe/Lisbon].
    #[arg(long, value_name = "TIME", value_parser = parse_time)]
    pub from: Option<Timestamp>,
    /// End time, in the same formats.
    #[arg(long, value_name = "TIME", value_parser = parse_time, conflicts_with = "duration")]
    pub until: Option<Timestamp>,
    /// Duration, as an alternative to --until, such as 2h30m.
    #[arg(long = "for", value_name = "LONG", value_parser = parse_duration)]
    pub duration: Option<SignedDuration>,
}

/// A reservation, and the controllers to which it is sent.
#[derive(Args, Clone, Debug)]
pub struct ReservationArgs {
    /// Name of the reservation, unique among reservations.
    pub name: String,
    /// Team that may use the capacity.
    #[arg(long)]
    pub team: String,
    /// Number of CPUs.
    #[arg(long)]
    pub cpus: f64,
    /// Number of GPUs.
    #[arg(long, default_value_t = 0.0)]
    pub gpus: f64,
    /// Memory in gigabytes.
    #[arg(long, default_value_t = 0.0)]
    pub mem_gb: f64,
    /// Required zone. Default: any zone.
    #[arg(long)]
    pub zone: Option<String>,
    /// Allowed machine type; may be given several times. Default: all types.
    #[arg(long = "type", value_name = "TYPE", value_delimiter = ',')]
    pub types: Vec<String>,
    /// Allows spot instances to provide the capacity.
    #[arg(long)]
    pub spot: bool,
    /// Allows the reservation to be moved to the earliest time at which it fits.
    #[arg(long)]
    pub movable: bool,
    /// The time range.
    #[command(flatten)]
    pub range: TimeRangeArgs,
    /// The controllers.
    #[command(flatten)]
    pub controllers: ControllerArgs,
}

/// A maintenance window, and the controllers to which it is sent.
#[derive(Args, Clone, Debug)]
pub struct WindowArgs {
    /// Name of the window, unique among windows.
    pub name: String,
    /// Zone that the window closes.
    #[arg(long)]
    pub zone: String,
    /// Machine type that the window closes; may be given several times. Default: all types.
    #[arg(long = "type", value_name = "TYPE", value_delimiter = ',')]
    pub types: Vec<String>,
    /// JSON file with the recurrence rule, as an alternative to a time range.
    #[arg(long, value_name = "FILE", conflicts_with_all = ["from", "until", "duration"])]
    pub rule: Option<PathBuf>,
    /// Seconds before the window in which no task starts that would overlap it. Default: unlimited, or 0 for services.
    #[arg(long, value_name = "SECONDS")]
    pub lead_s: Option<f64>,
    /// Declares the window even if it conflicts with reservations; these then list it as `displaced_by`.
    #[arg(long)]
    pub force: bool,
    /// The time range.
    #[command(flatten)]
    pub range: TimeRangeArgs,
    /// The controllers.
    #[command(flatten)]
    pub controllers: ControllerArgs,
}

/// The name of a reservation, window or drain, and the controllers to which the request is sent.
#[derive(Args, Clone, Debug)]
pub struct EntryArgs {
    /// Name of the entry.
    pub name: String,
    /// The controllers.
    #[command(flatten)]
    pub controllers: ControllerArgs,
}

/// The subcommands of `snowshelf reservations`.
#[derive(Subcommand, Clone, Debug)]
pub enum ReservationCommand {
    /// Lists all reservations.
    List(ControllerArgs),
    /// Shows one reservation.
    Show(EntryArgs),
    /// Reserves capacity.
    Add(ReservationArgs),
    /// Replaces the reservation of the same name, if the new one fits.
    Change(ReservationArgs),
    /// Checks whether the reservation would fit, without making it.
    Check(ReservationArgs),
    /// Cancels a reservation.
    Cancel(EntryArgs),
}

/// The subcommands of `snowshelf windows`.
#[derive(Subcommand, Clone, Debug)]
pub enum WindowCommand {
    /// Lists all maintenance windows.
    List(ControllerArgs),
    /// Shows one maintenance window.
    Show(EntryArgs),
    /// Declares a maintenance window.
    Add(WindowArgs),
    /// Replaces the maintenance window of the same name.
    Change(WindowArgs),
    /// Checks whether the maintenance window would be accepted, without declaring it.
    Check(WindowArgs),
    /// Cancels a maintenance window.
    Cancel(EntryArgs),
}

/// Parses a timestamp, or a local time with its time zone in brackets.
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
    /// Adds `from` and `until` to a request body; a duration needs a start time to yield `until`.
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

const RESERVATIONS_PATH: &str = "/api/reservations";
const WINDOWS_PATH: &str = "/api/windows";
/// Maximum number of entries in one page of a list.
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

/// Reads all entries under a path and prints them as a table or as JSON.
pub(crate) fn list(
    controllers: &ControllerArgs,
    path: &str,
    columns: &[(&str, &str)],
) -> CommandOutput {
    let page_path = |items: &[Value]| {
        let last = items.last().map(|i| table::format_value(&i["name"]));
        let after = last.map(|name| format!("&after={name}"));
        format!("{path}?limit={PAGE_SIZE}{}", after.unwrap_or_default())
    };
    let items = match controllers.read_all("items", page_path) {
        Ok(list) => list.items,
        Err(failure) => return failure,
    };
    CommandOutput::success(match controllers.json {
        true => format!("{:#}", json!({ "items": items })),
        false => table::format_rows(columns, &items),
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

/// Sends a request, or reports the arguments that make its body invalid.
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

impl ReservationCommand {
    /// Runs the command.
    pub fn run(&self) -> CommandOutput {
        let path = RESERVATIONS_PATH;
        match self {
            ReservationCommand::List(controllers) => list(controllers, path, &RESERVATION_COLUMNS),
            ReservationCommand::Show(entry) => show_entry(entry, path),
            ReservationCommand::Cancel(entry) => cancel_entry(entry, path),
            ReservationCommand::Add(r) => send(&r.controllers, Method::Post, path, r.body()),
            ReservationCommand::Check(r) => send(
                &r.controllers,
                Method::Post,
                &format!("{path}/check"),
                r.body(),
            ),
            ReservationCommand::Change(r) => send(
                &r.controllers,
                Method::Put,
                &format!("{path}/{}", r.name),
                r.body(),
            ),
        }
    }
}

impl WindowCommand {
    /// Runs the command.
    pub fn run(&self) -> CommandOutput {
        let path = WINDOWS_PATH;
        match self {
            WindowCommand::List(controllers) => list(controllers, path, &WINDOW_COLUMNS),
            WindowCommand::Show(entry) => show_entry(entry, path),
            WindowCommand::Cancel(entry) => cancel_entry(entry, path),
            WindowCommand::Add(w) => send(&w.controllers, Method::Post, path, w.body()),
            WindowCommand::Check(w) => send(
                &w.controllers,
                Method::Post,
                &format!("{path}/check"),
                w.body(),
            ),
            WindowCommand::Change(w) => send(
                &w.controllers,
                Method::Put,
                &format!("{path}/{}", w.name),
                w.body(),
            ),
        }
    }
}
