//! When a window comes again: rules in local time of a named zone.
//!
//! A window begins at a wall clock's time and lasts an elapsed time. Where the clocks are put forward
//! over its beginning, it begins as much later as they were put forward; where they are put back, it
//! begins at the first of the two times that read alike.

use jiff::civil::{Date, Time, Weekday};
use jiff::tz::TimeZone;
use jiff::{Timestamp, ToSpan};
use serde::{Deserialize, Serialize};
use snowshelf_model::ids::WallClockMillis;

#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Every {
    Day,
    Week,
    Month,
}

#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Day {
    Mon,
    Tue,
    Wed,
    Thu,
    Fri,
    Sat,
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

/// When a window comes again, as its owner writes it.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct Rule {
    pub every: Every,
    /// Every how many days, weeks or months, counted from the first.
    #[serde(default = "one")]
    pub interval: u32,
    /// On which days of the week; of `week` only. None: the first date's.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub on: Vec<Day>,
    /// On which day of the month, from the end if negative; of `month` only. Months without that day
    /// are passed over. None: the first date's.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub day: Option<i8>,
    /// The wall clock's time, as `02:30`.
    pub at: Time,
    /// A zone of the time zone database, as `Europe/Lisbon`.
    pub zone: String,
    /// The first date.
    pub first: Date,
    /// The last date; none: for ever.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub last: Option<Date>,
    /// How long it lasts, in seconds.
    pub for_s: u32,
}

fn one() -> u32 {
    1
}

/// Days that are looked at for one occurrence at the most, so that a rule without any ends.
const MOST_DAYS: i64 = 4_000;

impl Rule {
    /// What is wrong with the rule, by field.
    pub fn check(&self) -> Result<(), (&'static str, String)> {
        let bad = |field, why: &str| Err((field, why.to_string()));
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

    /// Whether it comes on this date.
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

    /// When it begins on this date.
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
        let long = u64::from(self.for_s) * 1000;
        // A day more on both sides: dates differ between zones.
        let start = from.0.saturating_sub(long + 2 * 86_400_000);
        let Ok(start) = Timestamp::from_millisecond(start.min(1 << 47) as i64) else {
            return found;
        };
        let mut date = start.to_zoned_datetime(zone.clone()).date().max(self.first);
        for _ in 0..MOST_DAYS {
            if found.len() >= most || self.last.is_some_and(|last| date > last) {
                break;
            }
            let begins = self.begins(date, &zone);
            if begins.is_some_and(|at| at >= until) {
                break;
            }
            if self.on_date(date)
                && let Some(at) = begins
                && at.0 + long > from.0
            {
                found.push((at, WallClockMillis(at.0 + long)));
            }
            let Ok(next) = date.checked_add(1.day()) else {
                break;
            };
            date = next;
        }
        found
    }
}
