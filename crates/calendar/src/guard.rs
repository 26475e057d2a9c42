//! The near future of the calendar, which placement and scale-out obey: closings and held amounts by pool.

use crate::amount::Amount;
use crate::calendar::{Calendar, Pool};
use crate::entry::Name;
use snowshelf_model::ids::{Team, WallClockMillis, seconds_to_ms};
use std::collections::BTreeMap;

/// An occurrence of a maintenance window in a pool, present or future.
#[derive(Clone, PartialEq, Debug)]
pub struct Closing {
    /// The window.
    pub window: Name,
    /// When the pool closes.
    pub from: WallClockMillis,
    /// When it opens again.
    pub until: WallClockMillis,
    /// How long before it, in milliseconds, no task is started that would run into it; `None`: at any time.
    pub lead_ms: Option<u64>,
}

/// An amount that is reserved in a pool, now or soon.
#[derive(Clone, PartialEq, Debug)]
pub struct Hold {
    /// The reservation.
    pub reservation: Name,
    /// The team that it is for.
    pub team: Team,
    /// The pool.
    pub pool: Pool,
    /// The amount in this pool.
    pub amount: Amount,
    /// Whether spot instances will do.
    pub spot: bool,
    /// When it begins.
    pub from: WallClockMillis,
    /// When it ends.
    pub until: WallClockMillis,
}

/// The part of the calendar that matters for decisions taken now.
#[derive(Clone, Debug, Default)]
pub struct Guard {
    /// The closings of each pool, the earliest first.
    pub closings: BTreeMap<Pool, Vec<Closing>>,
    /// The reserved amounts, the earliest first.
    pub holds: Vec<Hold>,
    /// How far the clock of each host may differ from true time, in milliseconds.
    pub skew_ms: u64,
}

/// Most closings of one window that are considered: later ones do not matter yet.
const MAX_CLOSINGS: usize = 8;

impl Guard {
    /// The part of the calendar from `now` up to `ahead_ms` ahead.
    #[must_use]
    pub fn of(calendar: &Calendar, now: WallClockMillis, ahead_ms: u64, skew_ms: u64) -> Guard {
        let until = WallClockMillis(now.0.saturating_add(ahead_ms));
        let since = WallClockMillis(now.0.saturating_sub(2 * skew_ms));
        let mut closings: BTreeMap<Pool, Vec<Closing>> = BTreeMap::new();
        for (name, window, times) in calendar.windows() {
            let first = times.partition_point(|(_, end)| *end <= since);
            let soon = times[first..].iter().take_while(|(from, _)| *from < until);
            for (from, end) in soon.take(MAX_CLOSINGS) {
                let closing = Closing {
                    window: name.clone(),
                    from: *from,
                    until: *end,
                    lead_ms: window.lead_s.map(seconds_to_ms),
                };
                for pool in calendar.bounds().pools.keys() {
                    if window.concerns(&pool.zone, &pool.model) {
                        closings
                            .entry(pool.clone())
                            .or_default()
                            .push(closing.clone());
                    }
                }
            }
        }
        for list in closings.values_mut() {
            list.sort_by(|a, b| (a.from, &a.window).cmp(&(b.from, &b.window)));
        }
        let mut holds = Vec::new();
        for (name, r) in calendar.reservations() {
            if r.until <= since || r.from >= until {
                continue;
            }
            holds.extend(r.shares.iter().map(|share| Hold {
                reservation: name.clone(),
                team: r.team.clone(),
                pool: Pool::new(&share.zone, &share.model),
                amount: share.amount,
                spot: r.spot,
                from: r.from,
                until: r.until,
            }));
        }
        holds.sort_by(|a, b| (a.from, &a.reservation).cmp(&(b.from, &b.reservation)));
        Guard {
            closings,
            holds,
            skew_ms,
        }
    }

    /// Whether there is neither a closing nor a reserved amount.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.closings.is_empty() && self.holds.is_empty()
    }

    /// The closings of a pool, the earliest first.
    #[must_use]
    pub fn closings_of(&self, pool: &Pool) -> &[Closing] {
        self.closings.get(pool).map_or(&[], |list| list)
    }

    /// The closing that forbids a task to start in a pool now, if one does. `run_ms`: how long it is
    /// expected to run; `None`: until it is stopped, like a service.
    #[must_use]
    pub fn forbids(
        &self,
        pool: &Pool,
        run_ms: Option<u64>,
        now: WallClockMillis,
    ) -> Option<&Closing> {
        let latest = now.0.saturating_add(self.skew_ms);
        let mut list = self.closings_of(pool).iter();
        list.find(|c| {
            if now.0 >= c.until.0.saturating_add(self.skew_ms) {
                return false;
            }
            let lead = match run_ms {
                Some(_) => c.lead_ms.unwrap_or(u64::MAX),
                None => c.lead_ms.unwrap_or(0),
            };
            // A service runs on for as long as it may.
            let end = latest.saturating_add(run_ms.unwrap_or(u64::MAX));
            let near = latest.saturating_add(lead) >= c.from.0;
            latest >= c.from.0 || (near && end > c.from.0)
        })
    }

    /// The closing for which a pool must be empty of tasks now, or being emptied, which takes `ahead_ms`.
    #[must_use]
    pub fn empties(&self, pool: &Pool, now: WallClockMillis, ahead_ms: u64) -> Option<&Closing> {
        let latest = now.0.saturating_add(self.skew_ms).saturating_add(ahead_ms);
        let mut list = self.closings_of(pool).iter();
        list.find(|c| latest >= c.from.0 && now.0 < c.until.0.saturating_add(self.skew_ms))
    }
}
