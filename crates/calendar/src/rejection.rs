//! Reasons for which a reservation or a window is rejected, and the responses that report them.

use crate::amount::Amount;
use crate::entry::{Name, format_time};
use serde_json::{Value, json};
use snowshelf_model::ids::WallClockMillis;
use std::fmt;

/// The kind of a calendar entry.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum EntryKind {
    /// A capacity reservation.
    Reservation,
    /// A maintenance window.
    Window,
}

/// An existing entry that conflicts with the request.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Conflict {
    /// The entry's kind.
    pub kind: EntryKind,
    /// The entry's name.
    pub name: Name,
    /// When the entry begins.
    pub from: WallClockMillis,
    /// When the entry ends.
    pub until: WallClockMillis,
}

/// What causes a conflict.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ConflictCause {
    /// The allowed pools do not have enough free capacity.
    Capacity,
    /// The team's reservations would exceed its limit.
    TeamLimit,
    /// The window would close reserved capacity.
    Reserved,
}

/// Why a reservation or a window is rejected. The [`fmt::Display`] text is sent to the user.
#[derive(Clone, PartialEq, Debug)]
pub enum Rejection {
    /// The requested time is in the past.
    InPast,
    /// It ends after this time, the end of the planned time.
    BeyondHorizon(WallClockMillis),
    /// The team is not configured.
    UnknownTeam,
    /// No pool is in the allowed zones and machine types.
    NoMatchingPool,
    /// It exceeds this amount, the total capacity of the allowed pools.
    ExceedsCapacity(Amount),
    /// It exceeds this amount, the team's limit.
    ExceedsTeamLimit(Amount),
    /// The calendar already has this number of entries, the maximum.
    TooManyEntries(usize),
    /// Another entry has the name.
    NameTaken,
    /// It conflicts with other entries at the requested time.
    Conflict {
        /// What causes the conflict.
        cause: ConflictCause,
        /// How much capacity is missing; for a window, the most that is reserved while it is in effect.
        shortfall: Amount,
        /// All conflicting entries.
        conflicts: Vec<Conflict>,
        /// The earliest time at which it would fit, if one was found.
        fits_from: Option<WallClockMillis>,
    },
}

/// Maximum number of conflicting entries in one response.
const MAX_LISTED_CONFLICTS: usize = 20;

impl Rejection {
    /// The HTTP status: 409 if the same request may be accepted later, 422 if it must be changed.
    #[must_use]
    pub fn status(&self) -> u16 {
        match self {
            Rejection::Conflict { .. } | Rejection::NameTaken | Rejection::TooManyEntries(_) => 409,
            _ => 422,
        }
    }

    /// The JSON body of the response.
    #[must_use]
    pub fn body(&self) -> Value {
        let mut body = json!({"error": self.to_string()});
        if let Rejection::Conflict {
            conflicts,
            fits_from,
            shortfall,
            ..
        } = self
        {
            let list: Vec<Value> = conflicts
                .iter()
                .take(MAX_LISTED_CONFLICTS)
                .map(|c| {
                    let kind = match c.kind {
                        EntryKind::Reservation => "reservation",
                        EntryKind::Window => "window",
                    };
                    json!({"kind": kind, "name": c.name.as_str(), "from": format_time(c.from),
                        "until": format_time(c.until)})
                })
                .collect();
            body["clashes"] = json!(list);
            if conflicts.len() > MAX_LISTED_CONFLICTS {
                body["more_clashes"] = json!(conflicts.len() - MAX_LISTED_CONFLICTS);
            }
            if !shortfall.is_zero() {
                let missing = shortfall.to_resources();
                body["lacks"] =
                    json!({"cpus": missing.cpus, "gpus": missing.gpus, "mem_gb": missing.mem});
            }
            if let Some(at) = fits_from {
                body["fits_from"] = json!(format_time(*at));
            }
        }
        body
    }
}

impl fmt::Display for Rejection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let format_amount = |amount: Amount| {
            let r = amount.to_resources();
            format!("{} CPUs, {} GPUs, {} GB", r.cpus, r.gpus, r.mem)
        };
        match self {
            Rejection::InPast => f.write_str("it lies in the past"),
            Rejection::BeyondHorizon(at) => write!(
                f,
                "it goes beyond {}, as far as is planned",
                format_time(*at)
            ),
            Rejection::UnknownTeam => f.write_str("unknown team"),
            Rejection::NoMatchingPool => f.write_str("no machine type fits the zone and types"),
            Rejection::ExceedsCapacity(capacity) => {
                write!(
                    f,
                    "the places allowed never have more than {}",
                    format_amount(*capacity)
                )
            }
            Rejection::ExceedsTeamLimit(limit) => {
                write!(f, "the team's limit is {}", format_amount(*limit))
            }
            Rejection::TooManyEntries(most) => {
                write!(f, "there are {most} entries, as many as are taken")
            }
            Rejection::NameTaken => f.write_str("another entry has this name"),
            Rejection::Conflict {
                cause, conflicts, ..
            } => {
                match cause {
                    ConflictCause::Capacity => f.write_str("there is no room for it then")?,
                    ConflictCause::TeamLimit => {
                        f.write_str("the team's limit is reserved by then")?;
                    }
                    ConflictCause::Reserved => f.write_str("what it would close is reserved")?,
                }
                if let Some(c) = conflicts.first() {
                    let kind = match c.kind {
                        EntryKind::Reservation => "reservation",
                        EntryKind::Window => "window",
                    };
                    let (from, until) = (format_time(c.from), format_time(c.until));
                    write!(f, ": {kind} {} from {from} until {until}", c.name)?;
                }
                match conflicts.len() {
                    0 | 1 => Ok(()),
                    n => write!(f, ", and {} more", n - 1),
                }
            }
        }
    }
}
