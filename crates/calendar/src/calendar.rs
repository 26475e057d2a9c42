//! The calendar: what is reserved and closed.
//!
//! A reservation has the same pools for its whole time: its amount is divided over the pools (a zone and a
//! machine type) that it may use, those with most free resources first. An accepted reservation is never
//! divided again, so that its owner can rely on where and when it is.

use crate::amount::Amount;
use crate::entry::{Name, Reservation, Window};
use crate::timeline::Timeline;
use imbl::OrdMap;
use snowshelf_model::ids::{Team, WallClockMillis};
use std::collections::BTreeMap;
use std::sync::Arc;

/// A zone and a machine type.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct Pool {
    /// The zone.
    pub zone: Arc<str>,
    /// The machine type.
    pub model: Arc<str>,
}

impl Pool {
    /// The pool of a zone and a machine type.
    #[must_use]
    pub fn new(zone: &str, model: &str) -> Pool {
        Pool {
            zone: zone.into(),
            model: model.into(),
        }
    }
}

/// The bounds of the deployment.
#[derive(Clone, PartialEq, Debug, Default)]
pub struct Bounds {
    /// The capacity of each pool, [`Amount::BOUNDLESS`] where it is not known.
    pub pools: BTreeMap<Pool, Amount>,
    /// The limit of each team.
    pub limits: BTreeMap<Team, Amount>,
    /// How far ahead entries are planned, in milliseconds.
    pub horizon_ms: u64,
    /// Most reservations and windows together.
    pub most_entries: usize,
}

/// A window and its occurrences, as far as is planned.
#[derive(Clone, Debug)]
pub(crate) struct Closing {
    pub window: Arc<Window>,
    pub times: Arc<Vec<(WallClockMillis, WallClockMillis)>>,
}

const DAY_MS: u64 = 86_400_000;

/// The most occurrences of one window that are planned.
pub(crate) const MOST_TIMES: usize = 1_100;
/// How long before its arrival the time of a request may begin, in milliseconds.
pub(crate) const ARRIVAL_MS: u64 = 60_000;

/// The accepted reservations and windows, with the amounts that are booked over time. A clone shares
/// everything that is not changed in it.
#[derive(Clone, Debug, Default)]
pub struct Calendar {
    pub(crate) bounds: Arc<Bounds>,
    /// Up to when the occurrences of windows are computed.
    pub(crate) planned: WallClockMillis,
    pub(crate) reservations: OrdMap<Name, Arc<Reservation>>,
    pub(crate) windows: OrdMap<Name, Closing>,
    pub(crate) booked: OrdMap<Pool, Timeline>,
    pub(crate) teams: OrdMap<Team, Timeline>,
    pub(crate) closed: OrdMap<Pool, Timeline>,
}

/// The amount that a closing books in `closed`.
const CLOSED: Amount = Amount {
    cpus: 1,
    gpus: 0,
    mem: 0,
};

impl Calendar {
    /// An empty calendar, planned from `now` on.
    #[must_use]
    pub fn new(bounds: Arc<Bounds>, now: WallClockMillis) -> Calendar {
        Calendar {
            planned: WallClockMillis(now.0.saturating_add(bounds.horizon_ms)),
            bounds,
            ..Calendar::default()
        }
    }

    /// Whether it is planned as far ahead as the bounds say, less a day.
    #[must_use]
    pub fn plans_ahead(&self, now: WallClockMillis) -> bool {
        let ahead = self.planned.0.saturating_sub(now.0);
        ahead.saturating_add(DAY_MS) >= self.bounds.horizon_ms
    }

    /// Whether it is still valid for these bounds.
    #[must_use]
    pub fn serves(&self, bounds: &Bounds, now: WallClockMillis) -> bool {
        *self.bounds == *bounds && self.plans_ahead(now)
    }

    /// Up to when it is planned.
    #[must_use]
    pub fn planned(&self) -> WallClockMillis {
        self.planned
    }

    /// The bounds that it was made for.
    #[must_use]
    pub fn bounds(&self) -> &Arc<Bounds> {
        &self.bounds
    }

    /// The reservation with this name.
    #[must_use]
    pub fn reservation(&self, name: &Name) -> Option<&Arc<Reservation>> {
        self.reservations.get(name)
    }

    /// The window with this name.
    #[must_use]
    pub fn window(&self, name: &Name) -> Option<&Arc<Window>> {
        self.windows.get(name).map(|c| &c.window)
    }

    /// All reservations.
    pub fn reservations(&self) -> impl Iterator<Item = (&Name, &Arc<Reservation>)> {
        self.reservations.iter()
    }

    /// All windows with their planned occurrences.
    pub fn windows(
        &self,
    ) -> impl Iterator<Item = (&Name, &Arc<Window>, &[(WallClockMillis, WallClockMillis)])> {
        self.windows
            .iter()
            .map(|(n, c)| (n, &c.window, &c.times[..]))
    }

    /// Number of reservations and windows.
    #[must_use]
    pub fn len(&self) -> usize {
        self.reservations.len() + self.windows.len()
    }

    /// Whether there is neither a reservation nor a window.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Inserts or removes a reservation, without checking whether it fits.
    pub fn set_reservation(&mut self, name: &Name, new: Option<Arc<Reservation>>) {
        if let Some(old) = self.reservations.remove(name) {
            self.book(&old, false);
        }
        if let Some(new) = new {
            self.book(&new, true);
            self.reservations.insert(name.clone(), new);
        }
    }

    fn book(&mut self, r: &Reservation, add: bool) {
        let change = |line: &Timeline, amount| match add {
            true => line.with(r.from, r.until, amount),
            false => line.without(r.from, r.until, amount),
        };
        for share in &r.shares {
            let pool = Pool::new(&share.zone, &share.model);
            let line = self.booked.get(&pool).cloned().unwrap_or_default();
            self.booked.insert(pool, change(&line, share.amount));
        }
        let line = self.teams.get(&r.team).cloned().unwrap_or_default();
        self.teams.insert(r.team.clone(), change(&line, r.amount));
    }

    /// Inserts or removes a window, without checking for conflicts.
    pub fn set_window(&mut self, name: &Name, new: Option<Arc<Window>>, now: WallClockMillis) {
        if let Some(old) = self.windows.remove(name) {
            self.close(&old, false);
        }
        if let Some(window) = new {
            // Guards against a reservation that began a moment ago, in a window that is just over.
            let since = WallClockMillis(now.0.saturating_sub(2 * ARRIVAL_MS));
            let times = Arc::new(window.occurrences(since, self.planned, MOST_TIMES));
            let closing = Closing { window, times };
            self.close(&closing, true);
            self.windows.insert(name.clone(), closing);
        }
    }

    fn close(&mut self, closing: &Closing, add: bool) {
        for pool in self.pools_of(&closing.window) {
            let mut line = self.closed.get(&pool).cloned().unwrap_or_default();
            for (from, until) in closing.times.iter() {
                line = match add {
                    true => line.with(*from, *until, CLOSED),
                    false => line.without(*from, *until, CLOSED),
                };
            }
            self.closed.insert(pool, line);
        }
    }

    pub(crate) fn pools_of(&self, window: &Window) -> Vec<Pool> {
        let pools = self.bounds.pools.keys();
        pools
            .filter(|p| window.concerns(&p.zone, &p.model))
            .cloned()
            .collect()
    }

    /// The amount reserved in a pool at a time.
    #[must_use]
    pub fn reserved_at(&self, pool: &Pool, at: WallClockMillis) -> Amount {
        self.booked
            .get(pool)
            .map(|l| l.level(at))
            .unwrap_or_default()
    }

    /// Whether a pool is closed at any time from `from` to before `until`.
    #[must_use]
    pub fn closed_within(
        &self,
        pool: &Pool,
        from: WallClockMillis,
        until: WallClockMillis,
    ) -> bool {
        let line = self.closed.get(pool);
        line.is_some_and(|line| line.peak(from, until).cpus > 0)
    }
}
