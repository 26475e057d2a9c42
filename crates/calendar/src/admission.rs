//! Whether a reservation or a window may be taken, where it would be had, and what is in the way.

use crate::amount::{Amount, WHOLE};
use crate::calendar::{ARRIVAL_MS, Calendar, MOST_TIMES, Pool};
use crate::entry::{Name, Reservation, Share, Wanted, When, Window};
use crate::refusal::{Clash, Kind, Refusal, Short};
use crate::timeline::Timeline;
use snowshelf_model::ids::WallClockMillis;

/// Times at which a movable reservation is tried, at the most.
const MOST_TRIES: usize = 2_000;

/// Where a piece of an amount would go.
type Pieces = Vec<(Pool, Amount)>;

impl Calendar {
    /// Where a reservation would be had, or why not; nothing is taken yet. For a change, ask the
    /// calendar without the old one.
    pub fn admit(&self, wanted: &Wanted, now: WallClockMillis) -> Result<Reservation, Refusal> {
        let bounds = &self.bounds;
        let limit = bounds.limits.get(&wanted.team);
        let limit = *limit.ok_or(Refusal::UnknownTeam)?;
        if wanted.from.0.saturating_add(ARRIVAL_MS) < now.0 || wanted.until <= now {
            return Err(Refusal::Past);
        }
        if wanted.until > self.planned {
            return Err(Refusal::TooFar(self.planned));
        }
        let pools = self.allowed(wanted);
        if pools.is_empty() {
            return Err(Refusal::NoPlace);
        }
        if !wanted.amount.fits_in(limit) {
            return Err(Refusal::OverLimit(limit));
        }
        let most = pools.iter().map(|p| bounds.pools[*p]);
        let most = most.fold(Amount::ZERO, Amount::plus);
        let fits: i64 = pools
            .iter()
            .map(|p| wanted.amount.parts_in(bounds.pools[*p]))
            .sum();
        if fits < WHOLE {
            return Err(Refusal::NeverFits(most));
        }
        if self.len() >= bounds.most_entries {
            return Err(Refusal::TooMany(bounds.most_entries));
        }
        let long = wanted.until.0 - wanted.from.0;
        let refusal = match self.pieces(wanted, &pools, limit, wanted.from, wanted.until) {
            Ok(pieces) => return Ok(taken(wanted, pieces, wanted.from, wanted.until)),
            Err((short, lacks)) => (short, lacks),
        };
        let found = self.first_fit(wanted, &pools, limit);
        if wanted.movable
            && let Some((from, pieces)) = found
        {
            return Ok(taken(wanted, pieces, from, WallClockMillis(from.0 + long)));
        }
        let (short, lacks) = refusal;
        Err(Refusal::Clash {
            short,
            lacks,
            clashes: self.in_the_way(wanted, &pools, short),
            fits_from: found.map(|(from, _)| from),
        })
    }

    fn allowed(&self, wanted: &Wanted) -> Vec<&Pool> {
        let pools = self.bounds.pools.keys();
        pools
            .filter(|p| {
                wanted.zone.as_deref().is_none_or(|z| z == &*p.zone)
                    && (wanted.types.as_ref()).is_none_or(|t| t.iter().any(|t| **t == *p.model))
            })
            .collect()
    }

    /// What a pool has left throughout, if it is never closed.
    fn free(&self, pool: &Pool, from: WallClockMillis, until: WallClockMillis) -> Amount {
        let shut = self.closed.get(pool);
        if shut.is_some_and(|line| line.peak(from, until).cpus > 0) {
            return Amount::ZERO;
        }
        let booked = self.booked.get(pool).map(|line| line.peak(from, until));
        self.bounds.pools[pool].minus(booked.unwrap_or_default())
    }

    /// The amount divided over the pools, or what is short and by how much.
    fn pieces(
        &self,
        wanted: &Wanted,
        pools: &[&Pool],
        limit: Amount,
        from: WallClockMillis,
        until: WallClockMillis,
    ) -> Result<Pieces, (Short, Amount)> {
        let reserved = self
            .teams
            .get(&wanted.team)
            .map(|line| line.peak(from, until));
        let reserved = reserved.unwrap_or_default().plus(wanted.amount);
        if !reserved.fits_in(limit) {
            let lacks = reserved.minus(limit).max(Amount::ZERO);
            return Err((Short::Limit, lacks));
        }
        let mut free: Vec<(i64, &Pool)> = pools
            .iter()
            .map(|p| (wanted.amount.parts_in(self.free(p, from, until)), *p))
            .collect();
        free.sort_by(|a, b| b.0.cmp(&a.0).then(a.1.cmp(b.1)));
        let mut done = 0;
        let mut pieces = Vec::new();
        for (parts, pool) in free {
            let upto = (done + parts).min(WHOLE);
            let piece = wanted.amount.piece(done, upto);
            if !piece.is_zero() {
                pieces.push((pool.clone(), piece));
            }
            done = upto;
        }
        if done < WHOLE {
            return Err((Short::Resources, wanted.amount.piece(done, WHOLE)));
        }
        Ok(pieces)
    }

    /// The first time from the one wanted on at which it fits, within what is planned.
    fn first_fit(
        &self,
        wanted: &Wanted,
        pools: &[&Pool],
        limit: Amount,
    ) -> Option<(WallClockMillis, Pieces)> {
        let long = wanted.until.0 - wanted.from.0;
        let lines: Vec<&Timeline> = pools
            .iter()
            .flat_map(|p| [self.booked.get(*p), self.closed.get(*p)])
            .chain([self.teams.get(&wanted.team)])
            .flatten()
            .collect();
        let mut from = wanted.from;
        for _ in 0..MOST_TRIES {
            let until = WallClockMillis(from.0.checked_add(long)?);
            if until > self.planned {
                return None;
            }
            if let Ok(pieces) = self.pieces(wanted, pools, limit, from, until) {
                return Some((from, pieces));
            }
            // No start up to the moment that is in the way, if there is one, can do.
            let blocked = self
                .blocked(wanted, pools, limit, from, until)
                .unwrap_or(from);
            let next = lines
                .iter()
                .filter_map(|line| line.next_change(blocked))
                .min();
            from = next?;
        }
        None
    }

    /// A moment at which what is wanted cannot be had, whatever the time around it is like.
    fn blocked(
        &self,
        wanted: &Wanted,
        pools: &[&Pool],
        limit: Amount,
        from: WallClockMillis,
        until: WallClockMillis,
    ) -> Option<WallClockMillis> {
        let team = self.teams.get(&wanted.team);
        let over = team.and_then(|l| l.first_over(from, until, limit.minus(wanted.amount)));
        if over.is_some() {
            return over;
        }
        let [pool] = pools else {
            return None;
        };
        let shut = self.closed.get(*pool);
        let shut = shut.and_then(|l| l.first_over(from, until, Amount::ZERO));
        let most = self.bounds.pools[*pool].minus(wanted.amount);
        let full = self.booked.get(*pool);
        let full = full.and_then(|l| l.first_over(from, until, most));
        // Either will do; the later one is further on.
        shut.max(full)
    }

    /// Everything that overlaps what is wanted and takes of what is short.
    fn in_the_way(&self, wanted: &Wanted, pools: &[&Pool], short: Short) -> Vec<Clash> {
        let mut found = Vec::new();
        if short == Short::Resources {
            for (name, closing) in &self.windows {
                let here = |p: &&Pool| closing.window.concerns(&p.zone, &p.model);
                if !pools.iter().any(here) {
                    continue;
                }
                let times = overlapping(&closing.times, wanted.from, wanted.until);
                if let Some((from, until)) = times.first() {
                    found.push(clash(Kind::Window, name, *from, *until));
                }
            }
        }
        for (name, r) in &self.reservations {
            let takes = match short {
                Short::Limit => r.team == wanted.team,
                _ => r.shares.iter().any(|s| {
                    let mut pools = pools.iter();
                    pools.any(|p| *p.zone == *s.zone && *p.model == *s.model)
                }),
            };
            if takes && r.from < wanted.until && r.until > wanted.from {
                found.push(clash(Kind::Reservation, name, r.from, r.until));
            }
        }
        found
    }

    /// Whether a window may be declared: it closes nothing that is reserved. `Ok` lists what it
    /// closes all the same, if it is forced.
    pub fn admit_window(
        &self,
        window: &Window,
        force: bool,
        now: WallClockMillis,
    ) -> Result<Vec<Clash>, Refusal> {
        // Another controller may have planned a little further when it took a reservation.
        let last = self.reservations.values().map(|r| r.until).max();
        let planned = self.planned.max(last.unwrap_or_default());
        let times = window.occurrences(now, planned, MOST_TIMES);
        let Some((first, _)) = times.first() else {
            return Err(
                match window
                    .occurrences(now, WallClockMillis(u64::MAX), 1)
                    .is_empty()
                {
                    true => Refusal::Past,
                    false => Refusal::TooFar(self.planned),
                },
            );
        };
        if matches!(window.when, When::Once { .. })
            && times.iter().any(|(_, until)| *until > self.planned)
        {
            return Err(Refusal::TooFar(self.planned));
        }
        let pools = self.pools_of(window);
        if pools.is_empty() {
            return Err(Refusal::NoPlace);
        }
        if self.len() >= self.bounds.most_entries {
            return Err(Refusal::TooMany(self.bounds.most_entries));
        }
        let reserved = pools.iter().filter_map(|p| self.booked.get(p));
        let mut lacks = Amount::ZERO;
        for line in reserved {
            for (from, until) in &times {
                lacks = lacks.max(line.peak(*from, *until));
            }
        }
        if lacks.is_zero() {
            return Ok(Vec::new());
        }
        let clashes: Vec<Clash> = self
            .reservations
            .iter()
            .filter(|(_, r)| {
                let mut shares = r.shares.iter();
                shares.any(|s| window.concerns(&s.zone, &s.model))
                    && !overlapping(&times, r.from, r.until).is_empty()
            })
            .map(|(name, r)| clash(Kind::Reservation, name, r.from, r.until))
            .collect();
        if force {
            return Ok(clashes);
        }
        // Free again from the last change of what is reserved there on.
        let last = clashes.iter().map(|c| c.until).max().unwrap_or(*first);
        Err(Refusal::Clash {
            short: Short::Reserved,
            lacks,
            clashes,
            fits_from: matches!(window.when, When::Once { .. }).then_some(last),
        })
    }

    /// The windows that close something of a reservation during its time: only a forced window does.
    pub fn displaced(&self, r: &Reservation) -> Vec<Clash> {
        let mut found = Vec::new();
        // Mostly there is none, and a list of reservations asks for each: windows are looked at only
        // where one is known to be there.
        let closed = |s: &Share| {
            let pool = Pool::new(&s.zone, &s.model);
            self.closed_within(&pool, r.from, r.until)
        };
        if !r.shares.iter().any(closed) {
            return found;
        }
        for (name, closing) in &self.windows {
            let mut shares = r.shares.iter();
            if !shares.any(|s| closing.window.concerns(&s.zone, &s.model)) {
                continue;
            }
            let times = overlapping(&closing.times, r.from, r.until).iter();
            found.extend(times.map(|(a, b)| clash(Kind::Window, name, *a, *b)));
        }
        found
    }
}

/// Of a window's times, which are all equally long and in order, those that overlap a span.
fn overlapping(
    times: &[(WallClockMillis, WallClockMillis)],
    from: WallClockMillis,
    until: WallClockMillis,
) -> &[(WallClockMillis, WallClockMillis)] {
    let first = times.partition_point(|(_, end)| *end <= from);
    let after = times.partition_point(|(start, _)| *start < until);
    &times[first..after.max(first)]
}

fn clash(kind: Kind, name: &Name, from: WallClockMillis, until: WallClockMillis) -> Clash {
    Clash {
        kind,
        name: name.clone(),
        from,
        until,
    }
}

fn taken(
    wanted: &Wanted,
    pieces: Pieces,
    from: WallClockMillis,
    until: WallClockMillis,
) -> Reservation {
    Reservation {
        team: wanted.team.clone(),
        amount: wanted.amount,
        zone: wanted.zone.clone(),
        types: wanted.types.clone(),
        spot: wanted.spot,
        from,
        until,
        moved_from: (from != wanted.from).then_some(wanted.from),
        shares: pieces
            .into_iter()
            .map(|(pool, amount)| Share {
                zone: pool.zone.to_string(),
                model: pool.model.to_string(),
                amount,
            })
            .collect(),
    }
}
