//! Why a reservation or a window is rejected.

use crate::amount::Amount;
use crate::entry::{Name, shown};
use serde_json::{Value, json};
use snowshelf_model::ids::WallClockMillis;
use std::fmt;

/// The kind of an entry of the calendar.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum Kind {
    /// A reservation.
    Reservation,
    /// A maintenance window.
    Window,
}

/// An earlier entry that conflicts with the request, and when.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Clash {
    /// The entry's kind.
    pub kind: Kind,
    /// The entry's name.
    pub name: Name,
    /// When the entry begins.
    pub from: WallClockMillis,
    /// When the entry ends.
    pub until: WallClockMillis,
}

/// What is exhausted where there is a clash.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Short {
    /// The resources of the allowed pools.
    Resources,
    /// The team's limit.
    Limit,
    /// The pools to be closed are reserved.
    Reserved,
}

/// Why a reservation or a window is rejected. Its text is part of the response.
#[derive(Clone, PartialEq, Debug)]
pub enum Refusal {
    /// It lies in the past.
    Past,
    /// It ends after this time, up to which the calendar is planned.
    TooFar(WallClockMillis),
    /// The team does not exist.
    UnknownTeam,
    /// No machine type is in the allowed zones and types.
    NoPlace,
    /// It exceeds what all allowed pools ever have: this amount.
    NeverFits(Amount),
    /// It exceeds the team's limit: this amount.
    OverLimit(Amount),
    /// The calendar already has this number of entries, the most allowed.
    TooMany(usize),
    /// Another entry has the name.
    Taken,
    /// It fits, but not at that time.
    Clash {
        /// What is exhausted.
        short: Short,
        /// How much is missing, where that is an amount.
        lacks: Amount,
        /// All conflicting entries.
        clashes: Vec<Clash>,
        /// The first time at which it would fit, if one was found.
        fits_from: Option<WallClockMillis>,
    },
}

/// Most clashes that one response names.
const MAX_NAMED: usize = 20;

impl Refusal {
    /// The status of the response: 409 for what may fit another time, 422 for what never does.
    #[must_use]
    pub fn status(&self) -> u16 {
        match self {
            Refusal::Clash { .. } | Refusal::Taken | Refusal::TooMany(_) => 409,
            _ => 422,
        }
    }

    /// The body of the response.
    #[must_use]
    pub fn body(&self) -> Value {
        let mut body = json!({"error": self.to_string()});
        if let Refusal::Clash {
            clashes,
            fits_from,
            lacks,
            ..
        } = self
        {
            let list: Vec<Value> = clashes
                .iter()
                .take(MAX_NAMED)
                .map(|c| {
                    let kind = match c.kind {
                        Kind::Reservation => "reservation",
                        Kind::Window => "window",
                    };
                    json!({"kind": kind, "name": c.name.as_str(), "from": shown(c.from),
                        "until": shown(c.until)})
                })
                .collect();
            body["clashes"] = json!(list);
            if clashes.len() > MAX_NAMED {
                body["more_clashes"] = json!(clashes.len() - MAX_NAMED);
            }
            if !lacks.is_zero() {
                let room = lacks.room();
                body["lacks"] = json!({"cpus": room.cpus, "gpus": room.gpus, "mem_gb": room.mem});
            }
            if let Some(at) = fits_from {
                body["fits_from"] = json!(shown(*at));
            }
        }
        body
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let words = |amount: Amount| {
            let r = amount.room();
            format!("{} CPUs, {} GPUs, {} GB", r.cpus, r.gpus, r.mem)
        };
        match self {
            Refusal::Past => f.write_str("it lies in the past"),
            Refusal::TooFar(at) => write!(f, "it goes beyond {}, as far as is planned", shown(*at)),
            Refusal::UnknownTeam => f.write_str("unknown team"),
            Refusal::NoPlace => f.write_str("no machine type fits the zone and types"),
            Refusal::NeverFits(most) => {
                write!(
                    f,
                    "the places allowed never have more than {}",
                    words(*most)
                )
            }
            Refusal::OverLimit(most) => write!(f, "the team's limit is {}", words(*most)),
            Refusal::TooMany(most) => write!(f, "there are {most} entries, as many as are taken"),
            Refusal::Taken => f.write_str("another entry has this name"),
            Refusal::Clash { short, clashes, .. } => {
                match short {
                    Short::Resources => f.write_str("there is no room for it then")?,
                    Short::Limit => f.write_str("the team's limit is reserved by then")?,
                    Short::Reserved => f.write_str("what it would close is reserved")?,
                }
                if let Some(c) = clashes.first() {
                    let kind = match c.kind {
                        Kind::Reservation => "reservation",
                        Kind::Window => "window",
                    };
                    let (from, until) = (shown(c.from), shown(c.until));
                    write!(f, ": {kind} {} from {from} until {until}", c.name)?;
                }
                match clashes.len() {
                    0 | 1 => Ok(()),
                    n => write!(f, ", and {} more", n - 1),
                }
            }
        }
    }
}
