//! Recurrence of maintenance windows: rules in local time of a named time zone.
//!
//! A window begins at a local time and lasts for a duration. Where clocks are put forward over its
//! beginning, it begins later by as much; where they are put back, it begins at the first of the two equal
//! local times.

use jiff::civil::{Date, Time, Weekday};
use jiff::tz::TimeZone;
use jiff::{Timestamp, ToSpan};
use serde::{Deserialize, Serialize};
use snowshelf_model::ids::WallClockMillis;

/// The unit of a recurrence.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Every {
    /// Days.
    Day,
    /// Weeks.
    Week,
    /// Months.
    Month,
}

/// A day of the week.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Day {
    /// Monday.
    Mon,
    /// Tuesday.
    Tue,
    /// Wednesday.
    Wed,
    /// Thursday.
    Thu,
    /// Friday.
    Fri,
    /// Saturday.
    Sat,
    /// Sunday.
    Sun,
}

impl Day {
    fn weekday(self) -> Weekday {
        match self {
            Day::Mon => Weekday::Monday,
            Day::Tue => Weekday::Tuesday,
            Day::Wed => Weekday::Wednesday,
            Day::Thu => Weekday::Thursday,
            Day::Fri => Weekday::Friday,
            Day::Sat => Weekday::Saturday,
            Day::Sun => Weekday::Sunday,
        }
    }
}

/// The recurrence of a window, as its owner writes it.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct Rule {
    /// The unit.
    pub every: Every,
    /// Every how many units, counted from the first date.
    #[serde(default = "one")]
    pub interval: u32,
    /// The days of the week, for `week` only; empty: that of the first date.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub on: Vec<Day>,
    /// The day of the month, counted from the end if negative, for `month` only. Months without that day
    /// are skipped. `None`: that of the first date.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub day: Option<i8>,
    /// The local time, like `02:30`.
    pub at: Time,
    /// A zone of the time zone database, like `Europe/Lisbon`.
    pub zone: String,
    /// The first date.
    pub first: Date,
    /// The last date; `None`: it recurs without end.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub last: Option<Date>,
    /// The duration, in seconds.
    pub for_s: u32,
}

fn one() -> u32 {
    1
}

/// Most days that are examined, so that a rule without occurrences ends.
const MAX_DAYS: i64 = 4_000;

const DAY_MS: u64 = 86_400_000;

/// A field of a rule that is invalid. Its text is part of the response.
#[derive(Clone, Copy, PartialEq, Eq, Debug, thiserror::Error)]
#[error("rule.{field}: {reason}")]
pub struct InvalidRule {
    /// The field.
    pub field: &'static str,
    /// What is wrong with it.
    pub reason: &'static str,
}

impl Rule {
    /// Checks the rule's fields.
    ///
    /// # Errors
    /// The first field that is invalid.
    pub fn check(&self) -> Result<(), InvalidRule> {
        let bad = |field, reason| Err(InvalidRule { field, reason });
        if TimeZone::get(&self.zone).is_err() {
            return bad("zone", "is no zone of the time zone database");
        }
        if !(1..=120).contains(&self.interval) {
            return bad("interval", "must be from 1 to 120");
        }
        if !self.on.is_empty() && self.every != Every::Week {
            return bad("on", "goes with every week only");
        }
        if let Some(day) = self.day
            && (self.every != Every::Month
                || !((1..=31).contains(&day) || (-31..=-1).contains(&day)))
        {
            return bad(
                "day",
                "goes with every month only, from 1 to 31 or -31 to -1",
            );
        }
        if self.last.is_some_and(|last| last < self.first) {
            return bad("last", "lies before the first date");
        }
        if !(60..=14 * 86_400).contains(&self.for_s) {
            return bad("for_s", "must be from 60 to 1209600");
        }
        if !(1970..=9000).contains(&self.first.year()) {
            return bad("first", "must lie in the years 1970 to 9000");
        }
        Ok(())
    }

    /// Whether there is an occurrence on this date.
    fn on_date(&self, date: Date) -> bool {
        if date < self.first || self.last.is_some_and(|last| date > last) {
            return false;
        }
        let interval = i64::from(self.interval.max(1));
        let days = |a: Date, b: Date| (b - a).get_days();
        match self.every {
            Every::Day => i64::from(days(self.first, date)) % interval == 0,
            Every::Week => {
                let named = match &self.on[..] {
                    [] => date.weekday() == self.first.weekday(),
                    on => on.iter().any(|d| d.weekday() == date.weekday()),
                };
                // Weeks begin on Monday.
                let monday = |d: Date| i64::from(d.weekday().to_monday_zero_offset());
                let from_monday = i64::from(days(self.first, date)) + monday(self.first);
                named && from_monday.div_euclid(7) % interval == 0
            }
            Every::Month => {
                let months = |d: Date| i64::from(d.year()) * 12 + i64::from(d.month());
                let day = match self.day {
                    None => self.first.day(),
                    Some(day) if day > 0 => day,
                    Some(day) => date.days_in_month() + 1 + day,
                };
                date.day() == day && (months(date) - months(self.first)) % interval == 0
            }
        }
    }

    /// When an occurrence on this date begins.
    fn begins(&self, date: Date, zone: &TimeZone) -> Option<WallClockMillis> {
        let zoned = date
            .to_datetime(self.at)
            .to_zoned_datetime(zone.clone())
            .ok()?;
        u64::try_from(zoned.timestamp().as_millisecond())
            .ok()
            .map(WallClockMillis)
    }

    /// The occurrences that end after `from` and begin before `until`, in order, at most `most`.
    #[must_use]
    pub fn occurrences(
        &self,
        from: WallClockMillis,
        until: WallClockMillis,
        most: usize,
    ) -> Vec<(WallClockMillis, WallClockMillis)> {
        let mut found = Vec::new();
        let Ok(zone) = TimeZone::get(&self.zone) else {
            return found;
        };
        let duration_ms = u64::from(self.for_s) * 1000;
        // One more day on both sides: dates differ between zones.
        let start = from.0.saturating_sub(duration_ms + 2 * DAY_MS);
        let Ok(start) = Timestamp::from_millisecond(start.min(1 << 47) as i64) else {
            return found;
        };
        let mut date = start.to_zoned_datetime(zone.clone()).date().max(self.first);
        for _ in 0..MAX_DAYS {
            if found.len() >= most || self.last.is_some_and(|last| date > last) {
                break;
            }
            let begins = self.begins(date, &zone);
            if begins.is_some_and(|at| at >= until) {
                break;
            }
            if self.on_date(date)
                && let Some(at) = begins
                && at.0 + duration_ms > from.0
            {
                found.push((at, WallClockMillis(at.0 + duration_ms)));
            }
            let Ok(next) = date.checked_add(1.day()) else {
                break;
            };
            date = next;
        }
        found
    }
}
