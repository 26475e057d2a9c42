//! The calendar against a plain model that looks at every minute.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed};
use snowshelf_calendar::amount::{Amount, WHOLE};
use snowshelf_calendar::calendar::{Bounds, Calendar, Pool};
use snowshelf_calendar::entry::{Name, Reservation, Wanted, When, Window};
use snowshelf_calendar::refusal::{Kind, Refusal, Short};
use snowshelf_calendar::timeline::Timeline;
use snowshelf_model::ids::{Team, WallClockMillis};
use std::collections::BTreeMap;
use std::sync::Arc;

const MINUTE: u64 = 60_000;
/// Minutes that are planned.
const PLANNED: u64 = 240;
const ZONES: [&str; 2] = ["east", "west"];
const TYPES: [&str; 2] = ["big", "small"];
const TEAMS: [&str; 2] = ["red", "blue"];

fn fixed(cases: u32) -> Config {
    Config {
        cases,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..Config::default()
    }
}

fn at(minute: u64) -> WallClockMillis {
    WallClockMillis(minute * MINUTE)
}

fn cpus(n: i64) -> Amount {
    Amount {
        cpus: n * 1000,
        gpus: 0,
        mem: n * 2000,
    }
}

fn bounds() -> Arc<Bounds> {
    let mut pools = BTreeMap::new();
    for (i, zone) in ZONES.iter().enumerate() {
        for (j, model) in TYPES.iter().enumerate() {
            // Memory is what runs out first in one of them.
            let mut most = cpus(30 + 10 * (i as i64) + 5 * (j as i64));
            most.mem /= 1 + i as i64;
            pools.insert(Pool::new(zone, model), most);
        }
    }
    Arc::new(Bounds {
        pools,
        limits: TEAMS.iter().map(|t| (Team::new(t), cpus(70))).collect(),
        horizon_ms: PLANNED * MINUTE,
        most_entries: 10_000,
    })
}

#[derive(Clone, Debug)]
enum Op {
    Reserve {
        team: usize,
        n: i64,
        zone: Option<usize>,
        model: Option<usize>,
        from: u64,
        long: u64,
        movable: bool,
    },
    Close {
        zone: usize,
        model: Option<usize>,
        from: u64,
        long: u64,
        force: bool,
    },
    Cancel(usize),
}

fn op() -> impl Strategy<Value = Op> {
    let zone = prop::option::of(0..2usize);
    let model = prop::option::of(0..2usize);
    let reserve = (
        0..2usize,
        1..45i64,
        zone,
        model.clone(),
        0..200u64,
        1..60u64,
        any::<bool>(),
    );
    let close = (
        0..2usize,
        model,
        0..200u64,
        1..40u64,
        prop::bool::weighted(0.2),
    );
    prop_oneof![
        6 => reserve.prop_map(|(team, n, zone, model, from, long, movable)|
            Op::Reserve { team, n, zone, model, from, long, movable }),
        2 => close.prop_map(|(zone, model, from, long, force)| Op::Close { zone, model, from, long, force }),
        1 => (0..60usize).prop_map(Op::Cancel),
    ]
}

/// What was taken, as a plain list.
#[derive(Default)]
struct Plain {
    reservations: BTreeMap<String, Reservation>,
    windows: BTreeMap<String, (Window, bool)>,
}

impl Plain {
    fn booked(&self, pool: &Pool, minute: u64) -> Amount {
        let t = at(minute);
        let here = self
            .reservations
            .values()
            .filter(|r| r.from <= t && t < r.until);
        here.flat_map(|r| &r.shares)
            .filter(|s| *s.zone == *pool.zone && *s.model == *pool.model)
            .fold(Amount::ZERO, |sum, s| sum.plus(s.amount))
    }

    fn reserved(&self, team: &Team, minute: u64) -> Amount {
        let t = at(minute);
        let here = self
            .reservations
            .values()
            .filter(|r| r.from <= t && t < r.until);
        here.filter(|r| r.team == *team)
            .fold(Amount::ZERO, |sum, r| sum.plus(r.amount))
    }

    fn closed(&self, pool: &Pool, minute: u64) -> bool {
        let t = at(minute);
        self.windows.values().any(|(w, _)| {
            let When::Once { from, until } = &w.when else {
                return false;
            };
            w.concerns(&pool.zone, &pool.model) && *from <= t && t < *until
        })
    }

    /// Whether what is wanted fits from this minute on.
    fn fits(&self, wanted: &Wanted, from: u64, long: u64) -> bool {
        let bounds = bounds();
        let minutes = from..from + long;
        let limit = bounds.limits[&wanted.team];
        let team = minutes.clone().all(|m| {
            self.reserved(&wanted.team, m)
                .plus(wanted.amount)
                .fits_in(limit)
        });
        let parts: i64 = bounds
            .pools
            .iter()
            .filter(|(p, _)| allowed(wanted, p))
            .map(|(p, most)| {
                if minutes.clone().any(|m| self.closed(p, m)) {
                    return 0;
                }
                let peak = minutes.clone().map(|m| self.booked(p, m));
                let peak = peak.fold(Amount::ZERO, Amount::max);
                wanted.amount.parts_in(most.minus(peak))
            })
            .sum();
        team && parts >= WHOLE
    }

    fn first_fit(&self, wanted: &Wanted, from: u64, long: u64) -> Option<u64> {
        (from..=PLANNED.saturating_sub(long)).find(|m| self.fits(wanted, *m, long))
    }

    /// Nothing is over what there is, nothing shrunk, nothing reserved in closed places but by force.
    fn check(&self) -> Result<(), TestCaseError> {
        let bounds = bounds();
        let forced = self.windows.values().any(|(_, forced)| *forced);
        for r in self.reservations.values() {
            let sum = r
                .shares
                .iter()
                .fold(Amount::ZERO, |sum, s| sum.plus(s.amount));
            prop_assert_eq!(sum, r.amount);
        }
        for minute in 0..PLANNED {
            for (pool, most) in &bounds.pools {
                let booked = self.booked(pool, minute);
                prop_assert!(booked.fits_in(*most), "{:?} at {}", pool, minute);
                prop_assert!(forced || booked.is_zero() || !self.closed(pool, minute));
            }
            for (team, most) in &bounds.limits {
                prop_assert!(self.reserved(team, minute).fits_in(*most));
            }
        }
        Ok(())
    }
}

fn allowed(wanted: &Wanted, pool: &Pool) -> bool {
    wanted.zone.as_deref().is_none_or(|z| z == &*pool.zone)
        && wanted
            .types
            .as_ref()
            .is_none_or(|t| t.iter().any(|t| **t == *pool.model))
}

/// Every clash named is an entry that overlaps and takes of what is short.
#[expect(clippy::too_many_lines, reason = "one case for each refusal")]
fn named_are_real(plain: &Plain, wanted: &Wanted, refusal: &Refusal) -> Result<(), TestCaseError> {
    let Refusal::Clash {
        short,
        clashes,
        lacks,
        ..
    } = refusal
    else {
        return Ok(());
    };
    prop_assert!(!clashes.is_empty() && !lacks.is_zero());
    for c in clashes {
        prop_assert!(c.from < wanted.until && c.until > wanted.from);
        let pools = bounds();
        let mut pools = pools.pools.keys().filter(|p| allowed(wanted, p));
        match c.kind {
            Kind::Window => {
                let (w, _) = &plain.windows[c.name.as_str()];
                prop_assert!(pools.any(|p| w.concerns(&p.zone, &p.model)));
            }
            Kind::Reservation => {
                let r = &plain.reservations[c.name.as_str()];
                prop_assert_eq!((r.from, r.until), (c.from, c.until));
                let shares = pools.any(|p| {
                    r.shares
                        .iter()
                        .any(|s| *s.zone == *p.zone && *s.model == *p.model)
                });
                let takes = match short {
                    Short::Limit => r.team == wanted.team,
                    _ => shares,
                };
                prop_assert!(takes);
            }
        }
    }
    // Without all of them it would have fitted.
    let rest = Plain {
        reservations: plain
            .reservations
            .iter()
            .filter(|(n, _)| {
                !clashes
                    .iter()
                    .any(|c| c.kind == Kind::Reservation && c.name.as_str() == *n)
            })
            .map(|(n, r)| (n.clone(), r.clone()))
            .collect(),
        windows: plain
            .windows
            .iter()
            .filter(|(n, _)| {
                !clashes
                    .iter()
                    .any(|c| c.kind == Kind::Window && c.name.as_str() == *n)
            })
            .map(|(n, w)| (n.clone(), w.clone()))
            .collect(),
    };
    let (from, long) = (
        wanted.from.0 / MINUTE,
        (wanted.until.0 - wanted.from.0) / MINUTE,
    );
    // Both limits may be short at once: those of the other kind are not named.
    if rest.fits(wanted, from, long) {
        return Ok(());
    }
    let other = Plain {
        reservations: rest.reservations,
        windows: BTreeMap::new(),
    };
    prop_assert!(*short == Short::Limit || !other.fits(wanted, from, long));
    Ok(())
}

proptest! {
    #![proptest_config(fixed(120))]

    /// Books, closes and cancels a few hundred overlapping entries: never over what there is, never
    /// shrunk, moved to the very first time that fits, every named clash real.
    #[test]
    fn the_calendar_does_as_a_plain_model_says(ops in prop::collection::vec(op(), 1..260)) {
        let mut calendar = Calendar::new(bounds(), at(0));
        let mut plain = Plain::default();
        let mut names: Vec<String> = Vec::new();
        for (i, op) in ops.iter().enumerate() {
            let text = format!("e{i}");
            let name = Name::parse(&text).unwrap();
            match op {
                Op::Reserve { team, n, zone, model, from, long, movable } => {
                    let wanted = Wanted {
                        team: Team::new(TEAMS[*team]),
                        amount: cpus(*n),
                        zone: zone.map(|z| ZONES[z].to_string()),
                        types: model.map(|m| vec![TYPES[m].to_string()]),
                        spot: false,
                        from: at(*from),
                        until: at(from + long),
                        movable: *movable,
                    };
                    let fits = *from + long <= PLANNED && plain.fits(&wanted, *from, *long);
                    match calendar.admit(&wanted, at(0)) {
                        Ok(r) => {
                            prop_assert!(r.answers(&wanted));
                            prop_assert!(fits || *movable);
                            let first = plain.first_fit(&wanted, *from, *long);
                            prop_assert_eq!(Some(r.from), first.map(at));
                            calendar.set_reservation(&name, Some(Arc::new(r.clone())));
                            plain.reservations.insert(text.clone(), r);
                            names.push(text);
                        }
                        Err(refusal) => {
                            prop_assert!(!fits, "{:?}", refusal);
                            if let Refusal::Clash { fits_from, .. } = &refusal {
                                let first = plain.first_fit(&wanted, *from, *long);
                                prop_assert_eq!(*fits_from, first.map(at));
                                prop_assert!(!*movable || first.is_none());
                            }
                            named_are_real(&plain, &wanted, &refusal)?;
                        }
                    }
                }
                Op::Close { zone, model, from, long, force } => {
                    let window = Window {
                        zone: ZONES[*zone].to_string(),
                        types: model.map(|m| vec![TYPES[m].to_string()]),
                        when: When::Once { from: at(*from), until: at(from + long) },
                        lead_s: None,
                    };
                    let over: Vec<&String> = plain.reservations.iter()
                        .filter(|(_, r)| r.from < at(from + long) && r.until > at(*from)
                            && r.shares.iter().any(|s| window.concerns(&s.zone, &s.model)))
                        .map(|(n, _)| n)
                        .collect();
                    match calendar.admit_window(&window, *force, at(0)) {
                        Ok(displaced) => {
                            let told: Vec<&str> = displaced.iter().map(|c| c.name.as_str()).collect();
                            prop_assert_eq!(told, over.clone());
                            prop_assert!(over.is_empty() || *force);
                            let forced = !over.is_empty();
                            calendar.set_window(&name, Some(Arc::new(window.clone())), at(0));
                            for n in over {
                                let told = calendar.displaced(&plain.reservations[n]);
                                prop_assert!(told.iter().any(|c| c.name == name));
                            }
                            plain.windows.insert(text.clone(), (window, forced));
                            names.push(text);
                        }
                        Err(Refusal::Clash { clashes, .. }) => {
                            prop_assert!(!force && !over.is_empty());
                            let told: Vec<&str> = clashes.iter().map(|c| c.name.as_str()).collect();
                            prop_assert_eq!(told, over);
                        }
                        Err(other) => prop_assert!(from + long > PLANNED, "{:?}", other),
                    }
                }
                Op::Cancel(n) => {
                    let Some(text) = names.get(*n).cloned() else { continue };
                    let name = Name::parse(&text).unwrap();
                    if plain.reservations.remove(&text).is_some() {
                        calendar.set_reservation(&name, None);
                    }
                    if plain.windows.remove(&text).is_some() {
                        calendar.set_window(&name, None, at(0));
                    }
                }
            }
        }
        plain.check()?;
        prop_assert_eq!(calendar.len(), plain.reservations.len() + plain.windows.len());
        for pool in bounds().pools.keys() {
            for minute in 0..PLANNED {
                prop_assert_eq!(calendar.reserved_at(pool, at(minute)), plain.booked(pool, minute));
                let closed = calendar.closed_within(pool, at(minute), at(minute + 1));
                prop_assert_eq!(closed, plain.closed(pool, minute));
            }
        }
    }

    /// The tree of changes says of every span of time what an array says.
    #[test]
    fn a_timeline_is_an_array(
        puts in prop::collection::vec((0..60u64, 1..30u64, 1..9i64), 0..60),
        asks in prop::collection::vec((0..80u64, 1..40u64, 0..30i64), 20),
    ) {
        let mut line = Timeline::default();
        let mut levels = vec![0i64; 130];
        let mut half = Vec::new();
        for (i, (from, long, n)) in puts.iter().enumerate() {
            line = line.with(WallClockMillis(*from), WallClockMillis(from + long), cpus(*n));
            if i % 3 == 0 {
                line = line.without(WallClockMillis(*from), WallClockMillis(from + long), cpus(*n));
            } else {
                levels[*from as usize..(from + long) as usize].iter_mut().for_each(|l| *l += n);
            }
            if i == puts.len() / 2 {
                half.push((line.clone(), levels.clone()));
            }
        }
        half.push((line, levels));
        // The earlier one is as it was, though the later one grew from it.
        for (line, levels) in half {
            for (from, long, most) in &asks {
                let span = &levels[*from as usize..(from + long) as usize];
                let (a, b) = (WallClockMillis(*from), WallClockMillis(from + long));
                prop_assert_eq!(line.peak(a, b), cpus(*span.iter().max().unwrap()));
                prop_assert_eq!(line.level(a), cpus(span[0]));
                let over = span.iter().position(|l| l > most).map(|i| WallClockMillis(from + i as u64));
                prop_assert_eq!(line.first_over(a, b, cpus(*most)), over);
                let here = levels[*from as usize];
                let next = (*from as usize + 1..levels.len()).find(|i| levels[*i] != here);
                let next = next.map(|i| WallClockMillis(i as u64));
                // Two changes at one moment may cancel out and be forgotten, never the other way.
                prop_assert!(line.next_change(a) <= next || next.is_none());
            }
        }
    }
}

/// The plain model's check can fail: two that do not fit together, one that was shrunk, and one that
/// lies in a window.
#[test]
fn the_check_finds_what_must_not_be() {
    let wanted = |n, zone: &str| Wanted {
        team: Team::new("red"),
        amount: cpus(n),
        zone: Some(zone.to_string()),
        types: Some(vec!["big".to_string()]),
        spot: false,
        from: at(10),
        until: at(20),
        movable: false,
    };
    let calendar = Calendar::new(bounds(), at(0));
    let taken = calendar.admit(&wanted(20, "east"), at(0)).unwrap();
    let plain = |list: &[&Reservation]| Plain {
        reservations: list
            .iter()
            .enumerate()
            .map(|(i, r)| (i.to_string(), (*r).clone()))
            .collect(),
        windows: BTreeMap::new(),
    };
    assert!(plain(&[&taken]).check().is_ok());
    assert!(plain(&[&taken, &taken]).check().is_err());
    let mut shrunk = taken.clone();
    shrunk.shares[0].amount = cpus(19);
    assert!(plain(&[&shrunk]).check().is_err());
    let mut closed = plain(&[&taken]);
    let window = Window {
        zone: "east".to_string(),
        types: None,
        when: When::Once {
            from: at(19),
            until: at(30),
        },
        lead_s: None,
    };
    closed.windows.insert("w".to_string(), (window, false));
    assert!(closed.check().is_err());
}
