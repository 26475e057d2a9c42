//! Compares the calendar with a reference model that evaluates every minute.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed};
use snowshelf_calendar::amount::{Amount, FRACTIONS_PER_AMOUNT};
use snowshelf_calendar::calendar::{Calendar, CalendarLimits, Pool};
use snowshelf_calendar::entry::{Name, Reservation, ReservationSpec, Window, WindowSchedule};
use snowshelf_calendar::rejection::{ConflictCause, EntryKind, Rejection};
use snowshelf_calendar::timeline::Timeline;
use snowshelf_model::ids::{Team, WallClockMillis};
use std::collections::BTreeMap;
use std::sync::Arc;

const MINUTE: u64 = 60_000;
/// Length of the planned time in minutes.
const PLANNED_MINUTES: u64 = 240;
const ZONES: [&str; 2] = ["east", "west"];
const TYPES: [&str; 2] = ["big", "small"];
const TEAMS: [&str; 2] = ["red", "blue"];

fn config(cases: u32) -> Config {
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

fn cpus(count: i64) -> Amount {
    Amount {
        cpus: count * 1000,
        gpus: 0,
        mem: count * 2000,
    }
}

fn calendar_limits() -> Arc<CalendarLimits> {
    let mut pools = BTreeMap::new();
    for (i, zone) in ZONES.iter().enumerate() {
        for (j, model) in TYPES.iter().enumerate() {
            // In one zone, memory is the first resource to run out.
            let mut capacity = cpus(30 + 10 * (i as i64) + 5 * (j as i64));
            capacity.mem /= 1 + i as i64;
            pools.insert(Pool::new(zone, model), capacity);
        }
    }
    Arc::new(CalendarLimits {
        pools,
        teams: TEAMS.iter().map(|t| (Team::new(t), cpus(70))).collect(),
        horizon_ms: PLANNED_MINUTES * MINUTE,
        max_entries: 10_000,
    })
}

/// A random operation; times and durations are in minutes.
#[derive(Clone, Debug)]
enum Op {
    Reserve {
        team: usize,
        cpu_count: i64,
        zone: Option<usize>,
        model: Option<usize>,
        from: u64,
        duration: u64,
        movable: bool,
    },
    DeclareWindow {
        zone: usize,
        model: Option<usize>,
        from: u64,
        duration: u64,
        force: bool,
    },
    /// Cancels the entry that was accepted as the n-th, if there is one.
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
    let window = (
        0..2usize,
        model,
        0..200u64,
        1..40u64,
        prop::bool::weighted(0.2),
    );
    prop_oneof![
        6 => reserve.prop_map(|(team, cpu_count, zone, model, from, duration, movable)|
            Op::Reserve { team, cpu_count, zone, model, from, duration, movable }),
        2 => window.prop_map(|(zone, model, from, duration, force)|
            Op::DeclareWindow { zone, model, from, duration, force }),
        1 => (0..60usize).prop_map(Op::Cancel),
    ]
}

/// The accepted entries; a window's flag tells whether it was forced over reservations.
#[derive(Default)]
struct ReferenceModel {
    reservations: BTreeMap<String, Reservation>,
    windows: BTreeMap<String, (Window, bool)>,
}

impl ReferenceModel {
    fn reserved_in_pool(&self, pool: &Pool, minute: u64) -> Amount {
        let t = at(minute);
        let current = self
            .reservations
            .values()
            .filter(|r| r.from <= t && t < r.until);
        current
            .flat_map(|r| &r.shares)
            .filter(|s| *s.zone == *pool.zone && *s.model == *pool.model)
            .fold(Amount::ZERO, |sum, s| sum.plus(s.amount))
    }

    fn reserved_by_team(&self, team: &Team, minute: u64) -> Amount {
        let t = at(minute);
        let current = self
            .reservations
            .values()
            .filter(|r| r.from <= t && t < r.until);
        current
            .filter(|r| r.team == *team)
            .fold(Amount::ZERO, |sum, r| sum.plus(r.amount))
    }

    fn is_closed(&self, pool: &Pool, minute: u64) -> bool {
        let t = at(minute);
        self.windows.values().any(|(w, _)| {
            let WindowSchedule::Once { from, until } = &w.when else {
                return false;
            };
            w.closes(&pool.zone, &pool.model) && *from <= t && t < *until
        })
    }

    /// Whether the reservation fits if it begins at this minute.
    fn fits(&self, spec: &ReservationSpec, from: u64, duration: u64) -> bool {
        let limits = calendar_limits();
        let minutes = from..from + duration;
        let limit = limits.teams[&spec.team];
        let team_fits = minutes.clone().all(|m| {
            self.reserved_by_team(&spec.team, m)
                .plus(spec.amount)
                .fits_in(limit)
        });
        let fractions: i64 = limits
            .pools
            .iter()
            .filter(|(p, _)| allowed(spec, p))
            .map(|(p, capacity)| {
                if minutes.clone().any(|m| self.is_closed(p, m)) {
                    return 0;
                }
                let peak = minutes.clone().map(|m| self.reserved_in_pool(p, m));
                let peak = peak.fold(Amount::ZERO, Amount::max);
                spec.amount.fractions_in(capacity.minus(peak))
            })
            .sum();
        team_fits && fractions >= FRACTIONS_PER_AMOUNT
    }

    /// The first minute from `from` on at which the reservation fits, within the planned time.
    fn first_fit(&self, spec: &ReservationSpec, from: u64, duration: u64) -> Option<u64> {
        (from..=PLANNED_MINUTES.saturating_sub(duration)).find(|m| self.fits(spec, *m, duration))
    }

    /// Checks that no capacity or team limit is exceeded, that each reservation has its whole amount, and
    /// that nothing is reserved in a closed pool. The last is not checked if any window was forced.
    fn check(&self) -> Result<(), TestCaseError> {
        let limits = calendar_limits();
        let forced = self.windows.values().any(|(_, forced)| *forced);
        for r in self.reservations.values() {
            let sum = r
                .shares
                .iter()
                .fold(Amount::ZERO, |sum, s| sum.plus(s.amount));
            prop_assert_eq!(sum, r.amount);
        }
        for minute in 0..PLANNED_MINUTES {
            for (pool, capacity) in &limits.pools {
                let reserved = self.reserved_in_pool(pool, minute);
                prop_assert!(reserved.fits_in(*capacity), "{:?} at {}", pool, minute);
                prop_assert!(forced || reserved.is_zero() || !self.is_closed(pool, minute));
            }
            for (team, limit) in &limits.teams {
                prop_assert!(self.reserved_by_team(team, minute).fits_in(*limit));
            }
        }
        Ok(())
    }
}

fn allowed(spec: &ReservationSpec, pool: &Pool) -> bool {
    spec.zone.as_deref().is_none_or(|z| z == &*pool.zone)
        && spec
            .types
            .as_ref()
            .is_none_or(|t| t.iter().any(|t| **t == *pool.model))
}

/// Checks that each reported conflict is an entry that overlaps the reservation and uses the capacity or
/// limit that it lacks, and that it would fit without them.
#[expect(clippy::too_many_lines, reason = "one case for each kind of entry")]
fn check_conflicts(
    reference: &ReferenceModel,
    spec: &ReservationSpec,
    rejection: &Rejection,
) -> Result<(), TestCaseError> {
    let Rejection::Conflict {
        cause,
        conflicts,
        shortfall,
        ..
    } = rejection
    else {
        return Ok(());
    };
    prop_assert!(!conflicts.is_empty() && !shortfall.is_zero());
    for c in conflicts {
        prop_assert!(c.from < spec.until && c.until > spec.from);
        let limits = calendar_limits();
        let mut pools = limits.pools.keys().filter(|p| allowed(spec, p));
        match c.kind {
            EntryKind::Window => {
                let (w, _) = &reference.windows[c.name.as_str()];
                prop_assert!(pools.any(|p| w.closes(&p.zone, &p.model)));
            }
            EntryKind::Reservation => {
                let r = &reference.reservations[c.name.as_str()];
                prop_assert_eq!((r.from, r.until), (c.from, c.until));
                let shares_pool = pools.any(|p| {
                    r.shares
                        .iter()
                        .any(|s| *s.zone == *p.zone && *s.model == *p.model)
                });
                let is_competing = match cause {
                    ConflictCause::TeamLimit => r.team == spec.team,
                    _ => shares_pool,
                };
                prop_assert!(is_competing);
            }
        }
    }
    // Without the reported entries, the reservation fits.
    let remaining = ReferenceModel {
        reservations: reference
            .reservations
            .iter()
            .filter(|(n, _)| {
                !conflicts
                    .iter()
                    .any(|c| c.kind == EntryKind::Reservation && c.name.as_str() == *n)
            })
            .map(|(n, r)| (n.clone(), r.clone()))
            .collect(),
        windows: reference
            .windows
            .iter()
            .filter(|(n, _)| {
                !conflicts
                    .iter()
                    .any(|c| c.kind == EntryKind::Window && c.name.as_str() == *n)
            })
            .map(|(n, w)| (n.clone(), w.clone()))
            .collect(),
    };
    let (from, duration) = (spec.from.0 / MINUTE, (spec.until.0 - spec.from.0) / MINUTE);
    // If both the team limit and the capacity are exceeded, only the entries of one cause are reported.
    if remaining.fits(spec, from, duration) {
        return Ok(());
    }
    let without_windows = ReferenceModel {
        reservations: remaining.reservations,
        windows: BTreeMap::new(),
    };
    prop_assert!(*cause == ConflictCause::TeamLimit || !without_windows.fits(spec, from, duration));
    Ok(())
}

proptest! {
    #![proptest_config(config(120))]

    /// Submits and cancels a few hundred overlapping reservations and windows. Guards against overbooking,
    /// reduced amounts, moves to a later time than the earliest that fits, and wrong conflicts.
    #[test]
    fn calendar_random_operations_match_reference(ops in prop::collection::vec(op(), 1..260)) {
        let mut calendar = Calendar::new(calendar_limits(), at(0));
        let mut reference = ReferenceModel::default();
        let mut names: Vec<String> = Vec::new();
        for (i, op) in ops.iter().enumerate() {
            let text = format!("e{i}");
            let name = Name::parse(&text).unwrap();
            match op {
                Op::Reserve { team, cpu_count, zone, model, from, duration, movable } => {
                    let spec = ReservationSpec {
                        team: Team::new(TEAMS[*team]),
                        amount: cpus(*cpu_count),
                        zone: zone.map(|z| ZONES[z].to_string()),
                        types: model.map(|m| vec![TYPES[m].to_string()]),
                        spot: false,
                        from: at(*from),
                        until: at(from + duration),
                        movable: *movable,
                    };
                    let fits = *from + duration <= PLANNED_MINUTES && reference.fits(&spec, *from, *duration);
                    match calendar.admit(&spec, at(0)) {
                        Ok(r) => {
                            prop_assert!(r.is_same_request(&spec));
                            prop_assert!(fits || *movable);
                            let first = reference.first_fit(&spec, *from, *duration);
                            prop_assert_eq!(Some(r.from), first.map(at));
                            calendar.set_reservation(&name, Some(Arc::new(r.clone())));
                            reference.reservations.insert(text.clone(), r);
                            names.push(text);
                        }
                        Err(rejection) => {
                            prop_assert!(!fits, "{:?}", rejection);
                            if let Rejection::Conflict { fits_from, .. } = &rejection {
                                let first = reference.first_fit(&spec, *from, *duration);
                                prop_assert_eq!(*fits_from, first.map(at));
                                prop_assert!(!*movable || first.is_none());
                            }
                            check_conflicts(&reference, &spec, &rejection)?;
                        }
                    }
                }
                Op::DeclareWindow { zone, model, from, duration, force } => {
                    let window = Window {
                        zone: ZONES[*zone].to_string(),
                        types: model.map(|m| vec![TYPES[m].to_string()]),
                        when: WindowSchedule::Once { from: at(*from), until: at(from + duration) },
                        lead_s: None,
                    };
                    let overlapping: Vec<&String> = reference.reservations.iter()
                        .filter(|(_, r)| r.from < at(from + duration) && r.until > at(*from)
                            && r.shares.iter().any(|s| window.closes(&s.zone, &s.model)))
                        .map(|(n, _)| n)
                        .collect();
                    match calendar.admit_window(&window, *force, at(0)) {
                        Ok(displaced) => {
                            let reported: Vec<&str> = displaced.iter().map(|c| c.name.as_str()).collect();
                            prop_assert_eq!(reported, overlapping.clone());
                            prop_assert!(overlapping.is_empty() || *force);
                            let forced = !overlapping.is_empty();
                            calendar.set_window(&name, Some(Arc::new(window.clone())), at(0));
                            for n in overlapping {
                                let reported = calendar.displacing_windows(&reference.reservations[n]);
                                prop_assert!(reported.iter().any(|c| c.name == name));
                            }
                            reference.windows.insert(text.clone(), (window, forced));
                            names.push(text);
                        }
                        Err(Rejection::Conflict { conflicts, .. }) => {
                            prop_assert!(!force && !overlapping.is_empty());
                            let reported: Vec<&str> = conflicts.iter().map(|c| c.name.as_str()).collect();
                            prop_assert_eq!(reported, overlapping);
                        }
                        Err(other) => prop_assert!(from + duration > PLANNED_MINUTES, "{:?}", other),
                    }
                }
                Op::Cancel(n) => {
                    let Some(text) = names.get(*n).cloned() else { continue };
                    let name = Name::parse(&text).unwrap();
                    if reference.reservations.remove(&text).is_some() {
                        calendar.set_reservation(&name, None);
                    }
                    if reference.windows.remove(&text).is_some() {
                        calendar.set_window(&name, None, at(0));
                    }
                }
            }
        }
        reference.check()?;
        prop_assert_eq!(calendar.len(), reference.reservations.len() + reference.windows.len());
        for pool in calendar_limits().pools.keys() {
            for minute in 0..PLANNED_MINUTES {
                prop_assert_eq!(calendar.reserved_at(pool, at(minute)), reference.reserved_in_pool(pool, minute));
                let closed = calendar.closed_within(pool, at(minute), at(minute + 1));
                prop_assert_eq!(closed, reference.is_closed(pool, minute));
            }
        }
    }

    /// Compares levels, peaks and changes of a timeline with an array of levels. Guards against errors in the
    /// treap's subtree summaries, and against an update that alters an earlier clone.
    #[test]
    fn timeline_random_changes_match_array(
        changes in prop::collection::vec((0..60u64, 1..30u64, 1..9i64), 0..60),
        queries in prop::collection::vec((0..80u64, 1..40u64, 0..30i64), 20),
    ) {
        let mut timeline = Timeline::default();
        let mut levels = vec![0i64; 130];
        let mut versions = Vec::new();
        for (i, (from, duration, n)) in changes.iter().enumerate() {
            timeline = timeline.with(WallClockMillis(*from), WallClockMillis(from + duration), cpus(*n));
            if i % 3 == 0 {
                timeline = timeline.without(WallClockMillis(*from), WallClockMillis(from + duration), cpus(*n));
            } else {
                levels[*from as usize..(from + duration) as usize].iter_mut().for_each(|l| *l += n);
            }
            if i == changes.len() / 2 {
                versions.push((timeline.clone(), levels.clone()));
            }
        }
        versions.push((timeline, levels));
        // The earlier version is unchanged, although the later one was derived from it.
        for (timeline, levels) in versions {
            for (from, duration, limit) in &queries {
                let span = &levels[*from as usize..(from + duration) as usize];
                let (a, b) = (WallClockMillis(*from), WallClockMillis(from + duration));
                prop_assert_eq!(timeline.peak(a, b), cpus(*span.iter().max().unwrap()));
                prop_assert_eq!(timeline.level(a), cpus(span[0]));
                let first_exceeding = span.iter().position(|l| l > limit).map(|i| WallClockMillis(from + i as u64));
                prop_assert_eq!(timeline.first_exceeding(a, b, cpus(*limit)), first_exceeding);
                let level = levels[*from as usize];
                let next = (*from as usize + 1..levels.len()).find(|i| levels[*i] != level);
                let next = next.map(|i| WallClockMillis(i as u64));
                // Changes at one time that cancel out may be dropped; a change of the level must not be missed.
                prop_assert!(timeline.next_change(a) <= next || next.is_none());
            }
        }
    }
}

/// Guards against a check of the reference model that accepts everything. It must reject an exceeded
/// capacity, a reduced amount, and a reservation in a window that was not forced.
#[test]
fn reference_check_rejects_invalid_state() {
    let spec = |n, zone: &str| ReservationSpec {
        team: Team::new("red"),
        amount: cpus(n),
        zone: Some(zone.to_string()),
        types: Some(vec!["big".to_string()]),
        spot: false,
        from: at(10),
        until: at(20),
        movable: false,
    };
    let calendar = Calendar::new(calendar_limits(), at(0));
    let accepted = calendar.admit(&spec(20, "east"), at(0)).unwrap();
    let reference = |list: &[&Reservation]| ReferenceModel {
        reservations: list
            .iter()
            .enumerate()
            .map(|(i, r)| (i.to_string(), (*r).clone()))
            .collect(),
        windows: BTreeMap::new(),
    };
    assert!(reference(&[&accepted]).check().is_ok());
    assert!(reference(&[&accepted, &accepted]).check().is_err());
    let mut reduced = accepted.clone();
    reduced.shares[0].amount = cpus(19);
    assert!(reference(&[&reduced]).check().is_err());
    let mut with_window = reference(&[&accepted]);
    let window = Window {
        zone: "east".to_string(),
        types: None,
        when: WindowSchedule::Once {
            from: at(19),
            until: at(30),
        },
        lead_s: None,
    };
    with_window.windows.insert("w".to_string(), (window, false));
    assert!(with_window.check().is_err());
}
