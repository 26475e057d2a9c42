//! Requests on reservations and maintenance windows, parsed from method, path and body.

use crate::coordination::list_request::ListRequest;
use crate::coordination::query::split;
use crate::coordination::request_error::RequestError;
use snowshelf_calendar::entry::{Name, Wanted, Window, parse_reservation, parse_window};
use snowshelf_calendar::refusal::Kind;

/// A request on the calendar.
#[derive(Clone, Debug)]
pub enum CalendarRequest {
    /// Reserves capacity.
    Reserve {
        /// The reservation's name.
        name: Name,
        /// What is to be reserved.
        wanted: Wanted,
        /// Whether it is made, replaced or only checked.
        mode: SubmissionMode,
    },
    /// Declares a maintenance window.
    DeclareWindow {
        /// The window's name.
        name: Name,
        /// The window.
        window: Window,
        /// Whether it may displace reservations.
        force: bool,
        /// Whether it is made, replaced or only checked.
        mode: SubmissionMode,
    },
    /// Cancels an entry.
    Cancel(Kind, Name),
    /// Shows an entry.
    Show(Kind, Name),
    /// Lists entries of one kind.
    List(Kind, ListRequest),
}

/// Whether an entry is made, replaced, or only checked.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum SubmissionMode {
    /// A new entry.
    Create,
    /// In place of an entry that exists.
    Replace,
    /// A dry run, which changes nothing.
    Check,
}

const RESERVATIONS: &str = "/api/reservations";
const WINDOWS: &str = "/api/windows";

/// Parses a request; `None` if its path is none of the calendar's.
pub fn parse_request(
    method: &str,
    path: &str,
    body: &[u8],
) -> Option<Result<CalendarRequest, RequestError>> {
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
        ("GET", "") => ListRequest::parse(query).map(|list| CalendarRequest::List(kind, list)),
        ("POST", "") => parse_submission(kind, SubmissionMode::Create, None, body),
        ("POST", "check") => parse_submission(kind, SubmissionMode::Check, None, body),
        (_, "" | "check") => Err(RequestError::WrongMethod),
        (method, rest) => parse_entry_request(kind, method, rest, body),
    })
}

/// Parses a request on one entry; `rest` is the path behind the kind.
fn parse_entry_request(
    kind: Kind,
    method: &str,
    rest: &str,
    body: &[u8],
) -> Result<CalendarRequest, RequestError> {
    let (name, cancels) = match rest.strip_suffix("/cancel") {
        Some(name) => (name, true),
        None => (rest, false),
    };
    if name.contains('/') {
        return Err(RequestError::NoSuchPath);
    }
    let name = Name::parse(name).ok_or(RequestError::NoSuchEntry)?;
    match (method, cancels) {
        ("POST", true) => Ok(CalendarRequest::Cancel(kind, name)),
        ("GET", false) => Ok(CalendarRequest::Show(kind, name)),
        ("PUT", false) => parse_submission(kind, SubmissionMode::Replace, Some(&name), body),
        _ => Err(RequestError::WrongMethod),
    }
}

/// Parses an entry; `path_name` is the name that the path has, which must be the entry's.
fn parse_submission(
    kind: Kind,
    mode: SubmissionMode,
    path_name: Option<&Name>,
    body: &[u8],
) -> Result<CalendarRequest, RequestError> {
    let check_name = |name: &Name| match path_name {
        Some(path_name) if path_name != name => Err(RequestError::malformed(
            "name",
            "is another than the path's",
        )),
        _ => Ok(()),
    };
    match kind {
        Kind::Reservation => {
            let (name, wanted) = parse_reservation(body)?;
            check_name(&name)?;
            Ok(CalendarRequest::Reserve { name, wanted, mode })
        }
        Kind::Window => {
            let (name, window, force) = parse_window(body)?;
            check_name(&name)?;
            Ok(CalendarRequest::DeclareWindow {
                name,
                window,
                force,
                mode,
            })
        }
    }
}
