//! Admission of reservations and windows: the pools that a reservation gets, or why a request is rejected.

use crate::amount::{Amount, FRACTIONS_PER_AMOUNT};
use crate::calendar::{Calendar, MAX_OCCURRENCES, MAX_START_AGE_MS, Pool};
use crate::entry::{Name, Reservation, ReservationSpec, Share, Window, WindowSchedule};
use crate::rejection::{Conflict, ConflictCause, EntryKind, Rejection};
use crate::timeline::Timeline;
use snowshelf_model::ids::WallClockMillis;

/// Maximum number of start times that the search for the earliest fit examines.
const MAX_START_TIMES: usize = 2_000;

/// An amount divided over pools.
type PoolAmounts = Vec<(Pool, Amount)>;

impl Calendar {
    /// Divides a reservation over pools without inserting it. To replace a reservation, call this on a
    /// calendar without the existing one.
    ///
    /// # Errors
    /// Returns why the reservation is rejected.
    pub fn admit(
        &self,
        spec: &ReservationSpec,
        now: WallClockMillis,
    ) -> Result<Reservation, Rejection> {
        let limits = &self.limits;
        let limit = limits.teams.get(&spec.team);
        let limit = *limit.ok_or(Rejection::UnknownTeam)?;
        if spec.from.0.saturating_add(MAX_START_AGE_MS) < now.0 || spec.until <= now {
            return Err(Rejection::InPast);
        }
        if spec.until > self.planned_until {
            return Err(Rejection::BeyondHorizon(self.planned_until));
        }
        let pools = self.allowed_pools(spec);
        if pools.is_empty() {
            return Err(Rejection::NoMatchingPool);
        }
        if !spec.amount.fits_in(limit) {
            return Err(Rejection::ExceedsTeamLimit(limit));
        }
        let capacity = pools.iter().map(|p| limits.pools[*p]);
        let capacity = capacity.fold(Amount::ZERO, Amount::plus);
        let fitting: i64 = pools
            .iter()
            .map(|p| spec.amount.fractions_in(limits.pools[*p]))
            .sum();
        if fitting < FRACTIONS_PER_AMOUNT {
            return Err(Rejection::ExceedsCapacity(capacity));
        }
        if self.len() >= limits.max_entries {
            return Err(Rejection::TooManyEntries(limits.max_entries));
        }
        let duration_ms = spec.until.0 - spec.from.0;
        let conflict = match self.divide(spec, &pools, limit, spec.from, spec.until) {
            Ok(amounts) => return Ok(reservation(spec, amounts, spec.from, spec.until)),
            Err((cause, shortfall)) => (cause, shortfall),
        };
        let fit = self.first_fit(spec, &pools, limit);
        if spec.movable
            && let Some((from, amounts)) = fit
        {
            return Ok(reservation(
                spec,
                amounts,
                from,
                WallClockMillis(from.0 + duration_ms),
            ));
        }
        let (cause, shortfall) = conflict;
        Err(Rejection::Conflict {
            cause,
            shortfall,
            conflicts: self.conflicts(spec, &pools, cause),
            fits_from: fit.map(|(from, _)| from),
        })
    }

    fn allowed_pools(&self, spec: &ReservationSpec) -> Vec<&Pool> {
        let pools = self.limits.pools.keys();
        pools
            .filter(|p| {
                spec.zone.as_deref().is_none_or(|z| z == &*p.zone)
                    && (spec.types.as_ref()).is_none_or(|t| t.iter().any(|t| **t == *p.model))
            })
            .collect()
    }

    /// The capacity of a pool that is free for the whole time; zero if it is closed at any time.
    fn free_capacity(&self, pool: &Pool, from: WallClockMillis, until: WallClockMillis) -> Amount {
        let closed = self.closed_by_pool.get(pool);
        if closed.is_some_and(|timeline| timeline.peak(from, until).cpus > 0) {
            return Amount::ZERO;
        }
        let reserved = self
            .reserved_by_pool
            .get(pool)
            .map(|timeline| timeline.peak(from, until));
        self.limits.pools[pool].minus(reserved.unwrap_or_default())
    }

    /// Divides the amount over the pools, those with the most free capacity first. Returns what prevents it
    /// and how much is missing as an error.
    fn divide(
        &self,
        spec: &ReservationSpec,
        pools: &[&Pool],
        limit: Amount,
        from: WallClockMillis,
        until: WallClockMillis,
    ) -> Result<PoolAmounts, (ConflictCause, Amount)> {
        let reserved = self
            .reserved_by_team
            .get(&spec.team)
            .map(|timeline| timeline.peak(from, until));
        let reserved = reserved.unwrap_or_default().plus(spec.amount);
        if !reserved.fits_in(limit) {
            let shortfall = reserved.minus(limit).max(Amount::ZERO);
            return Err((ConflictCause::TeamLimit, shortfall));
        }
        let mut free: Vec<(i64, &Pool)> = pools
            .iter()
            .map(|p| {
                (
                    spec.amount.fractions_in(self.free_capacity(p, from, until)),
                    *p,
                )
            })
            .collect();
        free.sort_by(|a, b| b.0.cmp(&a.0).then(a.1.cmp(b.1)));
        let mut placed = 0;
        let mut amounts = Vec::new();
        for (fractions, pool) in free {
            let end = (placed + fractions).min(FRACTIONS_PER_AMOUNT);
            let amount = spec.amount.fraction_range(placed, end);
            if !amount.is_zero() {
                amounts.push((pool.clone(), amount));
            }
            placed = end;
        }
        if placed < FRACTIONS_PER_AMOUNT {
            return Err((
                ConflictCause::Capacity,
                spec.amount.fraction_range(placed, FRACTIONS_PER_AMOUNT),
            ));
        }
        Ok(amounts)
    }

    /// The earliest time at or after the requested one at which the reservation fits within the planned time.
    fn first_fit(
        &self,
        spec: &ReservationSpec,
        pools: &[&Pool],
        limit: Amount,
    ) -> Option<(WallClockMillis, PoolAmounts)> {
        let duration_ms = spec.until.0 - spec.from.0;
        let timelines: Vec<&Timeline> = pools
            .iter()
            .flat_map(|p| [self.reserved_by_pool.get(*p), self.closed_by_pool.get(*p)])
            .chain([self.reserved_by_team.get(&spec.team)])
            .flatten()
            .collect();
        let mut from = spec.from;
        for _ in 0..MAX_START_TIMES {
            let until = WallClockMillis(from.0.checked_add(duration_ms)?);
            if until > self.planned_until {
                return None;
            }
            if let Ok(amounts) = self.divide(spec, pools, limit, from, until) {
                return Some((from, amounts));
            }
            // A start at or before a blocked time cannot fit either, so that the search continues after it.
            let blocked = self
                .blocked_time(spec, pools, limit, from, until)
                .unwrap_or(from);
            let next = timelines
                .iter()
                .filter_map(|timeline| timeline.next_change(blocked))
                .min();
            from = next?;
        }
        None
    }

    /// A time at which the reservation can never fit, however much is free before and after it.
    fn blocked_time(
        &self,
        spec: &ReservationSpec,
        pools: &[&Pool],
        limit: Amount,
        from: WallClockMillis,
        until: WallClockMillis,
    ) -> Option<WallClockMillis> {
        let reserved = self.reserved_by_team.get(&spec.team);
        let over_limit = reserved
            .and_then(|timeline| timeline.first_exceeding(from, until, limit.minus(spec.amount)));
        if over_limit.is_some() {
            return over_limit;
        }
        let [pool] = pools else {
            return None;
        };
        let closed = self.closed_by_pool.get(*pool);
        let closed =
            closed.and_then(|timeline| timeline.first_exceeding(from, until, Amount::ZERO));
        let available = self.limits.pools[*pool].minus(spec.amount);
        let full = self.reserved_by_pool.get(*pool);
        let full = full.and_then(|timeline| timeline.first_exceeding(from, until, available));
        // Both times block it. The later one lets the search skip more.
        closed.max(full)
    }

    /// The entries that overlap the reservation and use the capacity or team limit that it lacks.
    fn conflicts(
        &self,
        spec: &ReservationSpec,
        pools: &[&Pool],
        cause: ConflictCause,
    ) -> Vec<Conflict> {
        let mut conflicts = Vec::new();
        if cause == ConflictCause::Capacity {
            for (name, planned) in &self.windows {
                let closes_pool = |p: &&Pool| planned.window.closes(&p.zone, &p.model);
                if !pools.iter().any(closes_pool) {
                    continue;
                }
                let occurrences = overlapping(&planned.occurrences, spec.from, spec.until);
                if let Some((from, until)) = occurrences.first() {
                    conflicts.push(conflict(EntryKind::Window, name, *from, *until));
                }
            }
        }
        for (name, r) in &self.reservations {
            let is_competing = match cause {
                ConflictCause::TeamLimit => r.team == spec.team,
                _ => r.shares.iter().any(|s| {
                    let mut pools = pools.iter();
                    pools.any(|p| *p.zone == *s.zone && *p.model == *s.model)
                }),
            };
            if is_competing && r.from < spec.until && r.until > spec.from {
                conflicts.push(conflict(EntryKind::Reservation, name, r.from, r.until));
            }
        }
        conflicts
    }

    /// Checks that a window closes no reserved capacity. If `force` is set, it is accepted all the same, and
    /// the reservations that it displaces are returned.
    ///
    /// # Errors
    /// Returns why the window is rejected.
    pub fn admit_window(
        &self,
        window: &Window,
        force: bool,
        now: WallClockMillis,
    ) -> Result<Vec<Conflict>, Rejection> {
        // A controller that planned further ahead may have accepted reservations beyond this planned time.
        let last_end = self.reservations.values().map(|r| r.until).max();
        let planned_until = self.planned_until.max(last_end.unwrap_or_default());
        let occurrences = window.occurrences(now, planned_until, MAX_OCCURRENCES);
        let Some((first, _)) = occurrences.first() else {
            return Err(
                match window
                    .occurrences(now, WallClockMillis(u64::MAX), 1)
                    .is_empty()
                {
                    true => Rejection::InPast,
                    false => Rejection::BeyondHorizon(self.planned_until),
                },
            );
        };
        if matches!(window.when, WindowSchedule::Once { .. })
            && occurrences
                .iter()
                .any(|(_, until)| *until > self.planned_until)
        {
            return Err(Rejection::BeyondHorizon(self.planned_until));
        }
        let pools = self.pools_closed_by(window);
        if pools.is_empty() {
            return Err(Rejection::NoMatchingPool);
        }
        if self.len() >= self.limits.max_entries {
            return Err(Rejection::TooManyEntries(self.limits.max_entries));
        }
        let timelines = pools.iter().filter_map(|p| self.reserved_by_pool.get(p));
        let mut shortfall = Amount::ZERO;
        for timeline in timelines {
            for (from, until) in &occurrences {
                shortfall = shortfall.max(timeline.peak(*from, *until));
            }
        }
        if shortfall.is_zero() {
            return Ok(Vec::new());
        }
        let conflicts: Vec<Conflict> = self
            .reservations
            .iter()
            .filter(|(_, r)| {
                let mut shares = r.shares.iter();
                shares.any(|s| window.closes(&s.zone, &s.model))
                    && !overlapping(&occurrences, r.from, r.until).is_empty()
            })
            .map(|(name, r)| conflict(EntryKind::Reservation, name, r.from, r.until))
            .collect();
        if force {
            return Ok(conflicts);
        }
        // The window may fit once the last conflicting reservation has ended.
        let last_end = conflicts.iter().map(|c| c.until).max().unwrap_or(*first);
        Err(Rejection::Conflict {
            cause: ConflictCause::Reserved,
            shortfall,
            conflicts,
            fits_from: matches!(window.when, WindowSchedule::Once { .. }).then_some(last_end),
        })
    }

    /// The occurrences of windows that close a pool of the reservation during its time. Only a forced window
    /// does so.
    pub fn displacing_windows(&self, r: &Reservation) -> Vec<Conflict> {
        let mut conflicts = Vec::new();
        // Lists of reservations call this for each entry, and most have no such window. The timelines tell
        // cheaply whether there is one, before all windows are searched.
        let is_closed = |s: &Share| {
            let pool = Pool::new(&s.zone, &s.model);
            self.closed_within(&pool, r.from, r.until)
        };
        if !r.shares.iter().any(is_closed) {
            return conflicts;
        }
        for (name, planned) in &self.windows {
            let mut shares = r.shares.iter();
            if !shares.any(|s| planned.window.closes(&s.zone, &s.model)) {
                continue;
            }
            let occurrences = overlapping(&planned.occurrences, r.from, r.until).iter();
            conflicts.extend(
                occurrences.map(|(from, until)| conflict(EntryKind::Window, name, *from, *until)),
            );
        }
        conflicts
    }
}

/// The occurrences that overlap a time range. They must be in order and of equal duration.
fn overlapping(
    occurrences: &[(WallClockMillis, WallClockMillis)],
    from: WallClockMillis,
    until: WallClockMillis,
) -> &[(WallClockMillis, WallClockMillis)] {
    let first = occurrences.partition_point(|(_, end)| *end <= from);
    let end = occurrences.partition_point(|(start, _)| *start < until);
    &occurrences[first..end.max(first)]
}

fn conflict(
    kind: EntryKind,
    name: &Name,
    from: WallClockMillis,
    until: WallClockMillis,
) -> Conflict {
    Conflict {
        kind,
        name: name.clone(),
        from,
        until,
    }
}

/// The record of an accepted reservation.
fn reservation(
    spec: &ReservationSpec,
    amounts: PoolAmounts,
    from: WallClockMillis,
    until: WallClockMillis,
) -> Reservation {
    Reservation {
        team: spec.team.clone(),
        amount: spec.amount,
        zone: spec.zone.clone(),
        types: spec.types.clone(),
        spot: spec.spot,
        from,
        until,
        moved_from: (from != spec.from).then_some(spec.from),
        shares: amounts
            .into_iter()
            .map(|(pool, amount)| Share {
                zone: pool.zone.to_string(),
                model: pool.model.to_string(),
                amount,
            })
            .collect(),
    }
}
