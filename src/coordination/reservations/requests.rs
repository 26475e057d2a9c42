//! Requests for reservations and maintenance windows, parsed from method, path and body.

use crate::coordination::list_request::ListRequest;
use crate::coordination::query::split;
use crate::coordination::request_error::RequestError;
use snowshelf_calendar::entry::{Name, ReservationSpec, Window, parse_reservation, parse_window};
use snowshelf_calendar::rejection::EntryKind;

/// A parsed request for the calendar.
#[derive(Clone, Debug)]
pub enum CalendarRequest {
    /// Reserves capacity.
    Reserve {
        /// The reservation's name.
        name: Name,
        /// The requested reservation.
        spec: ReservationSpec,
        /// Whether it is created, replaced or only checked.
        mode: SubmissionMode,
    },
    /// Declares a maintenance window.
    DeclareWindow {
        /// The window's name.
        name: Name,
        /// The requested window.
        window: Window,
        /// Whether it may displace reservations.
        force: bool,
        /// Whether it is created, replaced or only checked.
        mode: SubmissionMode,
    },
    /// Cancels an entry.
    Cancel(EntryKind, Name),
    /// Shows an entry.
    Show(EntryKind, Name),
    /// Lists entries of one kind, page by page.
    List(EntryKind, ListRequest),
}

/// Whether a submission creates or replaces an entry, or is only checked.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum SubmissionMode {
    /// Creates an entry. Repeating the same submission is accepted; another entry must not have the name.
    Create,
    /// Replaces an existing entry.
    Replace,
    /// Dry run: responds as if the entry were submitted, and changes nothing.
    Check,
}

const RESERVATIONS: &str = "/api/reservations";
const WINDOWS: &str = "/api/windows";

/// Parses a request. `None` if the path does not belong to the calendar; an error if it does, but the method,
/// the rest of the path, the query or the body is invalid.
pub fn parse_request(
    method: &str,
    path: &str,
    body: &[u8],
) -> Option<Result<CalendarRequest, RequestError>> {
    let (path, query) = split(path);
    let (kind, rest) = match (path.strip_prefix(RESERVATIONS), path.strip_prefix(WINDOWS)) {
        (Some(rest), _) => (EntryKind::Reservation, rest),
        (_, Some(rest)) => (EntryKind::Window, rest),
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

/// Parses a request for one entry; `rest` is the path after the kind.
fn parse_entry_request(
    kind: EntryKind,
    method: &str,
    rest: &str,
    body: &[u8],
) -> Result<CalendarRequest, RequestError> {
    let (name, is_cancel) = match rest.strip_suffix("/cancel") {
        Some(name) => (name, true),
        None => (rest, false),
    };
    if name.contains('/') {
        return Err(RequestError::NoSuchPath);
    }
    let name = Name::parse(name).ok_or(RequestError::NoSuchEntry)?;
    match (method, is_cancel) {
        ("POST", true) => Ok(CalendarRequest::Cancel(kind, name)),
        ("GET", false) => Ok(CalendarRequest::Show(kind, name)),
        ("PUT", false) => parse_submission(kind, SubmissionMode::Replace, Some(&name), body),
        _ => Err(RequestError::WrongMethod),
    }
}

/// Parses a submission. If the path has a name, `path_name`, the body must have the same.
fn parse_submission(
    kind: EntryKind,
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
        EntryKind::Reservation => {
            let (name, spec) = parse_reservation(body)?;
            check_name(&name)?;
            Ok(CalendarRequest::Reserve { name, spec, mode })
        }
        EntryKind::Window => {
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
