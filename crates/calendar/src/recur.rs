//! Recurrence of maintenance windows: rules in local time of a named time zone.
//!
//! A window begins at a local time and has a fixed duration. If clocks are set forward past that time, it
//! begins later by the same amount; if they are set back, it begins at the first of the two equal local
//! times.

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

/// The recurrence of a window, as users write it. Its type name is part of parse errors sent to users.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct Rule {
    /// The unit.
    pub every: Every,
    /// Number of units between occurrences, counted from the first date. Default: 1.
    #[serde(default = "default_interval")]
    pub interval: u32,
    /// The days of the week, for `week` only. Empty: the weekday of the first date.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub on: Vec<Day>,
    /// The day of the month, for `month` only, counted from the end if negative. Months without that day
    /// are skipped. `None`: the day of the first date.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub day: Option<i8>,
    /// The local time at which it begins, such as `02:30`.
    pub at: Time,
    /// The name of a zone in the time zone database, such as `Europe/Lisbon`.
    pub zone: String,
    /// The first date on which it may occur.
    pub first: Date,
    /// The last date on which it may occur. `None`: no end.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub last: Option<Date>,
    /// The duration, in seconds.
    pub for_s: u32,
}

fn default_interval() -> u32 {
    1
}

/// Maximum number of days that are searched, so that the search ends if a rule never occurs.
const MAX_DAYS: i64 = 4_000;

const DAY_MS: u64 = 86_400_000;

/// An invalid field of a rule. The text of the error is sent to the user.
#[derive(Clone, Copy, PartialEq, Eq, Debug, thiserror::Error)]
#[error("rule.{field}: {reason}")]
pub struct InvalidRule {
    /// The name of the field.
    pub field: &'static str,
    /// What is wrong with it.
    pub reason: &'static str,
}

impl Rule {
    /// Validates the fields.
    ///
    /// # Errors
    /// Returns the first invalid field.
    pub fn check(&self) -> Result<(), InvalidRule> {
        let invalid = |field, reason| Err(InvalidRule { field, reason });
        if TimeZone::get(&self.zone).is_err() {
            return invalid("zone", "is no zone of the time zone database");
        }
        if !(1..=120).contains(&self.interval) {
            return invalid("interval", "must be from 1 to 120");
        }
        if !self.on.is_empty() && self.every != Every::Week {
            return invalid("on", "goes with every week only");
        }
        if let Some(day) = self.day
            && (self.every != Every::Month
                || !((1..=31).contains(&day) || (-31..=-1).contains(&day)))
        {
            return invalid(
                "day",
                "goes with every month only, from 1 to 31 or -31 to -1",
            );
        }
        if self.last.is_some_and(|last| last < self.first) {
            return invalid("last", "lies before the first date");
        }
        if !(60..=14 * 86_400).contains(&self.for_s) {
            return invalid("for_s", "must be from 60 to 1209600");
        }
        if !(1970..=9000).contains(&self.first.year()) {
            return invalid("first", "must lie in the years 1970 to 9000");
        }
        Ok(())
    }

    /// Whether an occurrence begins on this local date.
    fn occurs_on(&self, date: Date) -> bool {
        if date < self.first || self.last.is_some_and(|last| date > last) {
            return false;
        }
        let interval = i64::from(self.interval.max(1));
        let days_between = |a: Date, b: Date| (b - a).get_days();
        match self.every {
            Every::Day => i64::from(days_between(self.first, date)) % interval == 0,
            Every::Week => {
                let is_selected = match &self.on[..] {
                    [] => date.weekday() == self.first.weekday(),
                    on => on.iter().any(|d| d.weekday() == date.weekday()),
                };
                // Weeks begin on Monday.
                let days_since_monday = |d: Date| i64::from(d.weekday().to_monday_zero_offset());
                let days_from_first_monday =
                    i64::from(days_between(self.first, date)) + days_since_monday(self.first);
                is_selected && days_from_first_monday.div_euclid(7) % interval == 0
            }
            Every::Month => {
                let month_number = |d: Date| i64::from(d.year()) * 12 + i64::from(d.month());
                let day = match self.day {
                    None => self.first.day(),
                    Some(day) if day > 0 => day,
                    Some(day) => date.days_in_month() + 1 + day,
                };
                date.day() == day && (month_number(date) - month_number(self.first)) % interval == 0
            }
        }
    }

    /// When an occurrence on this local date begins. `None` outside the supported time range.
    fn start_on(&self, date: Date, zone: &TimeZone) -> Option<WallClockMillis> {
        let zoned = date
            .to_datetime(self.at)
            .to_zoned_datetime(zone.clone())
            .ok()?;
        u64::try_from(zoned.timestamp().as_millisecond())
            .ok()
            .map(WallClockMillis)
    }

    /// The occurrences that end after `from` and begin before `until`, in order, at most `max_count`.
    #[must_use]
    pub fn occurrences(
        &self,
        from: WallClockMillis,
        until: WallClockMillis,
        max_count: usize,
    ) -> Vec<(WallClockMillis, WallClockMillis)> {
        let mut occurrences = Vec::new();
        let Ok(zone) = TimeZone::get(&self.zone) else {
            return occurrences;
        };
        let duration_ms = u64::from(self.for_s) * 1000;
        // Starts two days early, because the local date may differ from the date in UTC.
        let start = from.0.saturating_sub(duration_ms + 2 * DAY_MS);
        let Ok(start) = Timestamp::from_millisecond(start.min(1 << 47) as i64) else {
            return occurrences;
        };
        let mut date = start.to_zoned_datetime(zone.clone()).date().max(self.first);
        for _ in 0..MAX_DAYS {
            if occurrences.len() >= max_count || self.last.is_some_and(|last| date > last) {
                break;
            }
            let start_at = self.start_on(date, &zone);
            if start_at.is_some_and(|at| at >= until) {
                break;
            }
            if self.occurs_on(date)
                && let Some(at) = start_at
                && at.0 + duration_ms > from.0
            {
                occurrences.push((at, WallClockMillis(at.0 + duration_ms)));
            }
            let Ok(next) = date.checked_add(1.day()) else {
                break;
            };
            date = next;
        }
        occurrences
    }
}
