//! What placement and renting keep to now and soon: closings and held amounts, pool by pool.

use crate::amount::Amount;
use crate::calendar::{Calendar, Pool};
use crate::entry::Name;
use snowshelf_model::ids::{Team, WallClockMillis, seconds_to_ms};
use std::collections::BTreeMap;

/// A closing of a pool, present or to come.
#[derive(Clone, PartialEq, Debug)]
pub struct Closing {
    pub window: Name,
    pub from: WallClockMillis,
    pub until: WallClockMillis,
    /// How long before it nothing starts that would run into it; none: at any time.
    pub lead_ms: Option<u64>,
}

/// An amount that is reserved in a pool, now or soon.
#[derive(Clone, PartialEq, Debug)]
pub struct Hold {
    pub reservation: Name,
    pub team: Team,
    pub pool: Pool,
    pub amount: Amount,
    pub spot: bool,
    pub from: WallClockMillis,
    pub until: WallClockMillis,
}

/// The part of the calendar that matters for decisions taken now.
#[derive(Clone, Debug, Default)]
pub struct Guard {
    /// By pool, the earliest first.
    pub closings: BTreeMap<Pool, Vec<Closing>>,
    /// The earliest first; those of windows' times are left out.
    pub holds: Vec<Hold>,
    /// How far the clocks of two hosts may differ from true time, each.
    pub skew_ms: u64,
}

/// Closings looked at of one window at the most: later ones are none of today's decisions.
const MOST_AHEAD: usize = 8;

impl Guard {
    /// What of the calendar lies between now and so long ahead.
    pub fn of(calendar: &Calendar, now: WallClockMillis, ahead_ms: u64, skew_ms: u64) -> Guard {
        let until = WallClockMillis(now.0.saturating_add(ahead_ms));
        let since = WallClockMillis(now.0.saturating_sub(2 * skew_ms));
        let mut closings: BTreeMap<Pool, Vec<Closing>> = BTreeMap::new();
        for (name, window, times) in calendar.windows() {
            let first = times.partition_point(|(_, end)| *end <= since);
            let soon = times[first..].iter().take_while(|(from, _)| *from < until);
            for (from, end) in soon.take(MOST_AHEAD) {
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

    pub fn is_empty(&self) -> bool {
        self.closings.is_empty() && self.holds.is_empty()
    }

    pub fn closings_of(&self, pool: &Pool) -> &[Closing] {
        self.closings.get(pool).map_or(&[], |list| list)
    }

    /// The closing that forbids a task to start in a pool now, if one does. `run_ms`: how long it is
    /// taken to be there; none: until it is stopped, as a service.
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

    /// The closing for which a pool must be empty of tasks, or becoming so, now: `ahead_ms` is how
    /// long that takes.
    pub fn empties(&self, pool: &Pool, now: WallClockMillis, ahead_ms: u64) -> Option<&Closing> {
        let latest = now.0.saturating_add(self.skew_ms).saturating_add(ahead_ms);
        let mut list = self.closings_of(pool).iter();
        list.find(|c| latest >= c.from.0 && now.0 < c.until.0.saturating_add(self.skew_ms))
    }
}
