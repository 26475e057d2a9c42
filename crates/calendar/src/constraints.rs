//! The part of the calendar that constrains placement and scale-out: the current and next maintenance
//! windows and reservations of each pool.

use crate::amount::Amount;
use crate::calendar::{Calendar, Pool};
use crate::entry::Name;
use snowshelf_model::ids::{Team, WallClockMillis, seconds_to_ms};
use std::collections::BTreeMap;

/// A current or future occurrence of a maintenance window in a pool.
#[derive(Clone, PartialEq, Debug)]
pub struct WindowOccurrence {
    /// The name of the window.
    pub window: Name,
    /// When the pool closes.
    pub from: WallClockMillis,
    /// When the pool opens again.
    pub until: WallClockMillis,
    /// Lead time in milliseconds, in which no task is started that would overlap the occurrence. `None`:
    /// unlimited for tasks with an expected run time, zero for services.
    pub lead_ms: Option<u64>,
}

/// The amount of a current or upcoming reservation in one pool.
#[derive(Clone, PartialEq, Debug)]
pub struct PoolReservation {
    /// The name of the reservation.
    pub reservation: Name,
    /// The team that may use it.
    pub team: Team,
    /// The pool that has the amount.
    pub pool: Pool,
    /// The reserved amount in this pool.
    pub amount: Amount,
    /// Whether spot instances may provide it.
    pub spot: bool,
    /// When the reservation begins.
    pub from: WallClockMillis,
    /// When the reservation ends.
    pub until: WallClockMillis,
}

/// The occurrences and reservations within the horizon, and the clock skew to allow for.
#[derive(Clone, Debug, Default)]
pub struct CalendarConstraints {
    /// The window occurrences of each pool, earliest first.
    pub windows: BTreeMap<Pool, Vec<WindowOccurrence>>,
    /// The reserved amounts, earliest first.
    pub reservations: Vec<PoolReservation>,
    /// Maximum difference between a host's clock and true time, in milliseconds.
    pub skew_ms: u64,
}

/// Maximum occurrences of one window that are included; later ones do not constrain anything yet.
const MAX_OCCURRENCES_PER_WINDOW: usize = 8;

impl CalendarConstraints {
    /// Collects what constrains tasks from `now` up to `horizon_ms` ahead. What ended within twice the skew
    /// is included, because another host's clock may still be before its end.
    #[must_use]
    pub fn new(
        calendar: &Calendar,
        now: WallClockMillis,
        horizon_ms: u64,
        skew_ms: u64,
    ) -> CalendarConstraints {
        let until = WallClockMillis(now.0.saturating_add(horizon_ms));
        let since = WallClockMillis(now.0.saturating_sub(2 * skew_ms));
        let mut windows: BTreeMap<Pool, Vec<WindowOccurrence>> = BTreeMap::new();
        for (name, window, occurrences) in calendar.windows() {
            let first = occurrences.partition_point(|(_, end)| *end <= since);
            let within = occurrences[first..]
                .iter()
                .take_while(|(from, _)| *from < until);
            for (from, end) in within.take(MAX_OCCURRENCES_PER_WINDOW) {
                let occurrence = WindowOccurrence {
                    window: name.clone(),
                    from: *from,
                    until: *end,
                    lead_ms: window.lead_s.map(seconds_to_ms),
                };
                for pool in calendar.limits().pools.keys() {
                    if window.closes(&pool.zone, &pool.model) {
                        windows
                            .entry(pool.clone())
                            .or_default()
                            .push(occurrence.clone());
                    }
                }
            }
        }
        for list in windows.values_mut() {
            list.sort_by(|a, b| (a.from, &a.window).cmp(&(b.from, &b.window)));
        }
        let mut reservations = Vec::new();
        for (name, r) in calendar.reservations() {
            if r.until <= since || r.from >= until {
                continue;
            }
            reservations.extend(r.shares.iter().map(|share| PoolReservation {
                reservation: name.clone(),
                team: r.team.clone(),
                pool: Pool::new(&share.zone, &share.model),
                amount: share.amount,
                spot: r.spot,
                from: r.from,
                until: r.until,
            }));
        }
        reservations.sort_by(|a, b| (a.from, &a.reservation).cmp(&(b.from, &b.reservation)));
        CalendarConstraints {
            windows,
            reservations,
            skew_ms,
        }
    }

    /// Whether there is neither a window occurrence nor a reservation within the horizon.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.windows.is_empty() && self.reservations.is_empty()
    }

    /// The window occurrences of a pool, earliest first.
    #[must_use]
    pub fn windows_of(&self, pool: &Pool) -> &[WindowOccurrence] {
        self.windows.get(pool).map_or(&[], |list| list)
    }

    /// The window occurrence because of which a task must not start in a pool now, if there is one.
    /// `run_ms` is the expected run time; `None` for a service, which runs until it is stopped.
    #[must_use]
    pub fn blocks_start(
        &self,
        pool: &Pool,
        run_ms: Option<u64>,
        now: WallClockMillis,
    ) -> Option<&WindowOccurrence> {
        let latest = now.0.saturating_add(self.skew_ms);
        let mut occurrences = self.windows_of(pool).iter();
        occurrences.find(|w| {
            if now.0 >= w.until.0.saturating_add(self.skew_ms) {
                return false;
            }
            let lead = match run_ms {
                Some(_) => w.lead_ms.unwrap_or(u64::MAX),
                None => w.lead_ms.unwrap_or(0),
            };
            // A service has no expected end, so that it overlaps every later occurrence.
            let end = latest.saturating_add(run_ms.unwrap_or(u64::MAX));
            let within_lead = latest.saturating_add(lead) >= w.from.0;
            latest >= w.from.0 || (within_lead && end > w.from.0)
        })
    }

    /// The window occurrence for which a pool must be empty now, or must now begin to stop its tasks, which
    /// takes `eviction_ms`.
    #[must_use]
    pub fn requires_empty(
        &self,
        pool: &Pool,
        now: WallClockMillis,
        eviction_ms: u64,
    ) -> Option<&WindowOccurrence> {
        let latest = now
            .0
            .saturating_add(self.skew_ms)
            .saturating_add(eviction_ms);
        let mut occurrences = self.windows_of(pool).iter();
        occurrences.find(|w| latest >= w.from.0 && now.0 < w.until.0.saturating_add(self.skew_ms))
    }
}
