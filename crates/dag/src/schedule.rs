//! When runs begin by themselves: the intervals of a schedule, each once.

use crate::graph::Schedule;
use chrono::{DateTime, Utc};
use chrono_tz::Tz;
use croner::Cron;
use croner::parser::CronParser;
use jiff::{SignedDuration, Timestamp};

/// Intervals looked at in one go.
const MOST: usize = 1_000;

/// A schedule that can be asked.
#[derive(Debug)]
pub enum Timetable {
    Cron(Box<Cron>, Tz),
    Every(SignedDuration),
}

/// What a schedule says, or what is wrong with it.
pub fn timetable(schedule: &Schedule, zone: &str) -> Result<Timetable, String> {
    match schedule {
        Schedule::EveryS(s) if s.is_finite() && *s >= 1.0 && *s < 1e9 => Ok(Timetable::Every(
            SignedDuration::from_millis((s * 1000.0) as i64),
        )),
        Schedule::EveryS(_) => Err("must be a second at least".to_string()),
        Schedule::Cron(text) => {
            let cron = CronParser::new()
                .parse(text)
                .map_err(|e| format!("{text:?}: {e}"))?;
            let zone: Tz = zone
                .parse()
                .map_err(|_| format!("{zone} is no zone of the time zone database"))?;
            Ok(Timetable::Cron(Box::new(cron), zone))
        }
    }
}

fn chrono_of(at: Timestamp) -> Option<DateTime<Utc>> {
    DateTime::from_timestamp(at.as_second(), 0)
}

impl Timetable {
    /// The first tick at or after a moment; `start` is where plain intervals are counted from.
    fn tick(&self, at: Timestamp, start: Timestamp, inclusive: bool) -> Option<Timestamp> {
        match self {
            Timetable::Cron(cron, zone) => {
                // Guards against a tick that a clock change has moved: asked at its own moment, it is none.
                let after = if inclusive {
                    at.checked_sub(SignedDuration::from_secs(1)).ok()?
                } else {
                    at
                };
                let local = chrono_of(after)?.with_timezone(zone);
                let next = cron.find_next_occurrence(&local, false).ok()?;
                Timestamp::from_second(next.timestamp()).ok()
            }
            Timetable::Every(every) => {
                let step = every.as_millis().max(1);
                let since = i128::from(at.as_millisecond() - start.as_millisecond()).max(0);
                let mut n = since / step;
                if n * step < since || (!inclusive && n * step == since) {
                    n += 1;
                }
                let ms = i128::from(start.as_millisecond()) + n * step;
                Timestamp::from_millisecond(i64::try_from(ms).ok()?).ok()
            }
        }
    }

    /// The intervals that begin at `since` or later, and have ended by `now`, in order; at most 1,000. A
    /// run is for an interval, and begins when that is over.
    pub fn due(
        &self,
        start: Timestamp,
        since: Timestamp,
        now: Timestamp,
    ) -> Vec<(Timestamp, Timestamp)> {
        let mut found = Vec::new();
        let Some(mut from) = self.tick(since.max(start), start, true) else {
            return found;
        };
        while found.len() < MOST && from < now {
            let Some(until) = self
                .tick(from, start, false)
                .filter(|u| *u <= now && *u > from)
            else {
                break;
            };
            found.push((from, until));
            from = until;
        }
        found
    }
}

/// The id of the run for an interval.
pub fn run_of(from: Timestamp) -> String {
    format!("scheduled-{}", from.strftime("%Y%m%dT%H%M%SZ"))
}
