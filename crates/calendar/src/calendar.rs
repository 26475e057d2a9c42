//! The calendar: reserved amounts and closed pools over time.
//!
//! A reservation keeps the same pools for its whole duration. Its amount is divided over the allowed pools,
//! those with the most free capacity first. An accepted reservation is never divided again, so that its
//! owner can rely on its pools and times.

use crate::amount::Amount;
use crate::entry::{Name, Reservation, Window};
use crate::timeline::Timeline;
use imbl::OrdMap;
use snowshelf_model::ids::{Team, WallClockMillis};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The machines of one type in one zone.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct Pool {
    /// The cloud's name of the zone.
    pub zone: Arc<str>,
    /// The machine type.
    pub model: Arc<str>,
}

impl Pool {
    /// Identifies the pool by its zone and machine type.
    #[must_use]
    pub fn new(zone: &str, model: &str) -> Pool {
        Pool {
            zone: zone.into(),
            model: model.into(),
        }
    }
}

/// What the deployment can provide, and how much the calendar may hold.
#[derive(Clone, PartialEq, Debug, Default)]
pub struct CalendarLimits {
    /// The capacity of each pool, [`Amount::UNLIMITED`] where it is not known.
    pub pools: BTreeMap<Pool, Amount>,
    /// The most that each team may have reserved at a time.
    pub teams: BTreeMap<Team, Amount>,
    /// How far ahead entries are planned, in milliseconds.
    pub horizon_ms: u64,
    /// Maximum number of reservations and windows together.
    pub max_entries: usize,
}

/// A window and its occurrences within the planned time.
#[derive(Clone, Debug)]
pub(crate) struct PlannedWindow {
    pub window: Arc<Window>,
    pub occurrences: Arc<Vec<(WallClockMillis, WallClockMillis)>>,
}

const DAY_MS: u64 = 86_400_000;

/// Maximum number of planned occurrences of one window.
pub(crate) const MAX_OCCURRENCES: usize = 1_100;
/// How far in the past a reservation may begin when its request arrives, in milliseconds.
pub(crate) const MAX_START_AGE_MS: u64 = 60_000;

/// The accepted reservations and windows, and the amounts reserved over time. Clones are cheap: they share
/// all data that is not changed in them.
#[derive(Clone, Debug, Default)]
pub struct Calendar {
    pub(crate) limits: Arc<CalendarLimits>,
    /// The end of the planned time, up to which the occurrences of windows are computed.
    pub(crate) planned_until: WallClockMillis,
    pub(crate) reservations: OrdMap<Name, Arc<Reservation>>,
    pub(crate) windows: OrdMap<Name, PlannedWindow>,
    /// The reserved amount of each pool.
    pub(crate) reserved_by_pool: OrdMap<Pool, Timeline>,
    /// The reserved amount of each team.
    pub(crate) reserved_by_team: OrdMap<Team, Timeline>,
    /// For each pool, the number of current windows as a multiple of [`CLOSED`].
    pub(crate) closed_by_pool: OrdMap<Pool, Timeline>,
}

/// The amount that each occurrence of a window adds to `closed_by_pool`.
const CLOSED: Amount = Amount {
    cpus: 1,
    gpus: 0,
    mem: 0,
};

impl Calendar {
    /// An empty calendar, planned from `now` to the horizon.
    #[must_use]
    pub fn new(limits: Arc<CalendarLimits>, now: WallClockMillis) -> Calendar {
        Calendar {
            planned_until: WallClockMillis(now.0.saturating_add(limits.horizon_ms)),
            limits,
            ..Calendar::default()
        }
    }

    /// Whether the planned time reaches the horizon, less one day.
    #[must_use]
    pub fn covers_horizon(&self, now: WallClockMillis) -> bool {
        let remaining = self.planned_until.0.saturating_sub(now.0);
        remaining.saturating_add(DAY_MS) >= self.limits.horizon_ms
    }

    /// Whether it has these limits and reaches far enough ahead, so that it need not be rebuilt.
    #[must_use]
    pub fn is_current(&self, limits: &CalendarLimits, now: WallClockMillis) -> bool {
        *self.limits == *limits && self.covers_horizon(now)
    }

    /// The end of the planned time.
    #[must_use]
    pub fn planned_until(&self) -> WallClockMillis {
        self.planned_until
    }

    /// The limits with which it was built.
    #[must_use]
    pub fn limits(&self) -> &Arc<CalendarLimits> {
        &self.limits
    }

    /// The reservation with this name, if it exists.
    #[must_use]
    pub fn reservation(&self, name: &Name) -> Option<&Arc<Reservation>> {
        self.reservations.get(name)
    }

    /// The window with this name, if it exists.
    #[must_use]
    pub fn window(&self, name: &Name) -> Option<&Arc<Window>> {
        self.windows.get(name).map(|planned| &planned.window)
    }

    /// All reservations, in the order of their names.
    pub fn reservations(&self) -> impl Iterator<Item = (&Name, &Arc<Reservation>)> {
        self.reservations.iter()
    }

    /// All windows with their planned occurrences, in the order of their names.
    pub fn windows(
        &self,
    ) -> impl Iterator<Item = (&Name, &Arc<Window>, &[(WallClockMillis, WallClockMillis)])> {
        self.windows
            .iter()
            .map(|(name, planned)| (name, &planned.window, &planned.occurrences[..]))
    }

    /// The number of reservations and windows together.
    #[must_use]
    pub fn len(&self) -> usize {
        self.reservations.len() + self.windows.len()
    }

    /// Whether there is neither a reservation nor a window.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Inserts, replaces or removes a reservation, without checking whether it fits.
    pub fn set_reservation(&mut self, name: &Name, new: Option<Arc<Reservation>>) {
        if let Some(old) = self.reservations.remove(name) {
            self.update_reserved(&old, false);
        }
        if let Some(new) = new {
            self.update_reserved(&new, true);
            self.reservations.insert(name.clone(), new);
        }
    }

    fn update_reserved(&mut self, r: &Reservation, add: bool) {
        let updated = |timeline: &Timeline, amount| match add {
            true => timeline.with(r.from, r.until, amount),
            false => timeline.without(r.from, r.until, amount),
        };
        for share in &r.shares {
            let pool = Pool::new(&share.zone, &share.model);
            let timeline = self
                .reserved_by_pool
                .get(&pool)
                .cloned()
                .unwrap_or_default();
            self.reserved_by_pool
                .insert(pool, updated(&timeline, share.amount));
        }
        let timeline = self
            .reserved_by_team
            .get(&r.team)
            .cloned()
            .unwrap_or_default();
        self.reserved_by_team
            .insert(r.team.clone(), updated(&timeline, r.amount));
    }

    /// Inserts, replaces or removes a window, without checking for conflicts.
    pub fn set_window(&mut self, name: &Name, new: Option<Arc<Window>>, now: WallClockMillis) {
        if let Some(old) = self.windows.remove(name) {
            self.update_closed(&old, false);
        }
        if let Some(window) = new {
            // Includes occurrences that have just ended: a reservation may still be requested from a time
            // in the past at which the pool was closed.
            let since = WallClockMillis(now.0.saturating_sub(2 * MAX_START_AGE_MS));
            let occurrences =
                Arc::new(window.occurrences(since, self.planned_until, MAX_OCCURRENCES));
            let planned = PlannedWindow {
                window,
                occurrences,
            };
            self.update_closed(&planned, true);
            self.windows.insert(name.clone(), planned);
        }
    }

    fn update_closed(&mut self, planned: &PlannedWindow, add: bool) {
        for pool in self.pools_closed_by(&planned.window) {
            let mut timeline = self.closed_by_pool.get(&pool).cloned().unwrap_or_default();
            for (from, until) in planned.occurrences.iter() {
                timeline = match add {
                    true => timeline.with(*from, *until, CLOSED),
                    false => timeline.without(*from, *until, CLOSED),
                };
            }
            self.closed_by_pool.insert(pool, timeline);
        }
    }

    pub(crate) fn pools_closed_by(&self, window: &Window) -> Vec<Pool> {
        let pools = self.limits.pools.keys();
        pools
            .filter(|p| window.closes(&p.zone, &p.model))
            .cloned()
            .collect()
    }

    /// The amount reserved in a pool at a time, over all teams.
    #[must_use]
    pub fn reserved_at(&self, pool: &Pool, at: WallClockMillis) -> Amount {
        self.reserved_by_pool
            .get(pool)
            .map(|timeline| timeline.level(at))
            .unwrap_or_default()
    }

    /// Whether a pool is closed at any time from `from` (inclusive) to `until` (exclusive).
    #[must_use]
    pub fn closed_within(
        &self,
        pool: &Pool,
        from: WallClockMillis,
        until: WallClockMillis,
    ) -> bool {
        let timeline = self.closed_by_pool.get(pool);
        timeline.is_some_and(|timeline| timeline.peak(from, until).cpus > 0)
    }
}
