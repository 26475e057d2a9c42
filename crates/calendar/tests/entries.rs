//! Entries as users write them, and recurring windows.

use jiff::Timestamp;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed};
use serde_json::{Value, json};
use snowshelf_calendar::entry::{When, parse_reservation, parse_window, shown};
use snowshelf_calendar::recur::Rule;
use snowshelf_model::ids::WallClockMillis;

fn ms(text: &str) -> WallClockMillis {
    let at: Timestamp = text.parse().unwrap();
    WallClockMillis(at.as_millisecond() as u64)
}

fn reservation() -> Value {
    json!({"name": "crush-2027", "team": "cantina", "cpus": 120.0, "mem_gb": 480.0, "zone": "vale-norte",
        "types": ["lagar"], "from": "2027-09-01T06:00:00Z", "until": "2027-09-14T20:00:00+01:00"})
}

fn rule() -> Value {
    json!({"every": "day", "at": "01:30", "zone": "Europe/Lisbon", "first": "2026-10-20", "for_s": 3600})
}

fn times(rule: &Value, from: &str, until: &str) -> Vec<String> {
    let rule: Rule = serde_json::from_value(rule.clone()).unwrap();
    rule.check().unwrap();
    let found = rule.occurrences(ms(from), ms(until), 1_000);
    found.iter().map(|(a, _)| shown(*a)).collect()
}

#[test]
fn a_wrong_field_is_named() {
    let (name, wanted) = parse_reservation(reservation().to_string().as_bytes()).unwrap();
    assert_eq!(name.as_str(), "crush-2027");
    assert_eq!((wanted.amount.cpus, wanted.amount.mem), (120_000, 480_000));
    assert_eq!(wanted.until, ms("2027-09-14T19:00:00Z"));
    let wrong = [
        ("name", json!("no spaces")),
        ("name", json!("../up")),
        ("name", json!("")),
        ("team", json!("")),
        ("cpus", json!(0)),
        ("cpus", json!("many")),
        ("cpus", Value::Null),
        ("mem_gb", json!(-1)),
        ("types", json!([])),
        ("types", json!([""])),
        ("zone", json!("")),
        ("from", json!("tomorrow")),
        ("from", json!("1969-01-01T00:00:00Z")),
        ("until", json!("2027-09-01T06:00:00Z")),
        ("movable", json!(1)),
    ];
    for (field, value) in wrong {
        let mut body = reservation();
        body[field] = value.clone();
        let error = parse_reservation(body.to_string().as_bytes()).unwrap_err();
        assert!(error.field.starts_with(field), "{field} {value}: {error}");
    }
    for field in ["name", "team", "cpus", "from", "until"] {
        let mut body = reservation();
        body.as_object_mut().unwrap().remove(field);
        let error = parse_reservation(body.to_string().as_bytes()).unwrap_err();
        assert_eq!(error.field, field);
    }
    for body in [&b"{"[..], b"[]", b"", b"null", b"{} {}", b"\xff"] {
        assert!(parse_reservation(body).is_err());
    }
}

#[test]
fn a_window_has_times_or_a_rule() {
    let window = |extra: Value| {
        let mut body = json!({"name": "w", "zone": "campanha"});
        for (k, v) in extra.as_object().unwrap() {
            body[k] = v.clone();
        }
        parse_window(body.to_string().as_bytes())
    };
    let (from, until) = ("2027-01-01T00:00:00Z", "2027-01-01T04:00:00Z");
    let (_, once, force) = window(json!({"from": from, "until": until, "force": true})).unwrap();
    assert!(force && matches!(once.when, When::Once { .. }));
    assert!(window(json!({"rule": rule()})).is_ok());
    for (extra, field) in [
        (json!({}), "from"),
        (json!({"from": from}), "until"),
        (json!({"until": until}), "from"),
        (json!({"from": until, "until": from}), "until"),
        (
            json!({"from": from, "until": until, "rule": rule()}),
            "rule",
        ),
        (
            json!({"from": from, "until": until, "lead_s": -1}),
            "lead_s",
        ),
    ] {
        assert_eq!(window(extra).unwrap_err().field, field);
    }
    for (field, value) in [
        ("zone", json!("Europe/Atlantis")),
        ("interval", json!(0)),
        ("on", json!(["mon"])),
        ("day", json!(3)),
        ("last", json!("2026-01-01")),
        ("for_s", json!(0)),
        ("at", json!("25:00")),
        ("every", json!("year")),
    ] {
        let mut wrong = rule();
        wrong[field] = value;
        let error = window(json!({"rule": wrong})).unwrap_err();
        assert_eq!(error.field, format!("rule.{field}"), "{error}");
    }
}

/// The two hours of a clock change: the one that is left out, and the one that comes twice.
#[test]
fn a_window_comes_once_a_day_whatever_the_clocks_do() {
    assert_eq!(
        times(&rule(), "2026-10-24T00:00:00Z", "2026-10-27T00:00:00Z"),
        // Until the 25th an hour before UTC; 01:30 comes twice that night, and the first one counts.
        [
            "2026-10-24T00:30:00Z",
            "2026-10-25T00:30:00Z",
            "2026-10-26T01:30:00Z"
        ]
    );
    assert_eq!(
        times(&rule(), "2027-03-27T00:00:00Z", "2027-03-30T00:00:00Z"),
        // On the 28th there is no 01:30: it begins an hour later by the clock.
        [
            "2027-03-27T01:30:00Z",
            "2027-03-28T01:30:00Z",
            "2027-03-29T00:30:00Z"
        ]
    );
}

#[test]
fn rules_count_weeks_and_months_from_the_first() {
    let weekly = json!({"every": "week", "interval": 2, "on": ["tue", "fri"], "at": "22:00",
        "zone": "America/Costa_Rica", "first": "2026-12-01", "last": "2026-12-29", "for_s": 7200});
    assert_eq!(
        times(&weekly, "2026-11-01T00:00:00Z", "2027-03-01T00:00:00Z"),
        [
            "2026-12-02T04:00:00Z",
            "2026-12-05T04:00:00Z",
            "2026-12-16T04:00:00Z",
            "2026-12-19T04:00:00Z",
            "2026-12-30T04:00:00Z"
        ]
    );
    let monthly = |day: i8| {
        json!({"every": "month", "day": day, "at": "00:00", "zone": "UTC", "first": "2027-01-01",
            "for_s": 60})
    };
    assert_eq!(
        times(&monthly(-1), "2027-01-01T00:00:00Z", "2027-04-15T00:00:00Z"),
        [
            "2027-01-31T00:00:00Z",
            "2027-02-28T00:00:00Z",
            "2027-03-31T00:00:00Z"
        ]
    );
    // Months without a 31st are passed over, not moved.
    assert_eq!(
        times(&monthly(31), "2027-01-01T00:00:00Z", "2027-06-01T00:00:00Z"),
        [
            "2027-01-31T00:00:00Z",
            "2027-03-31T00:00:00Z",
            "2027-05-31T00:00:00Z"
        ]
    );
}

proptest! {
    #![proptest_config(Config {
        cases: 200,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(3),
        failure_persistence: None,
        ..Config::default()
    })]

    /// Guards against occurrences that are lost or come twice where a plan ends and the next begins.
    #[test]
    fn a_span_of_time_cut_in_two_has_the_same_occurrences(
        hour in 0..24i8, long in 60..200_000u32, interval in 1..4u32, cut in 0..90u64, every in 0..3usize,
    ) {
        let every = ["day", "week", "month"][every];
        let rule: Rule = serde_json::from_value(json!({"every": every, "interval": interval,
            "at": format!("{hour:02}:30"), "zone": "Europe/Lisbon", "first": "2027-01-15", "for_s": long}))
            .unwrap();
        let start = ms("2027-01-20T00:00:00Z");
        let day = |n: u64| WallClockMillis(start.0 + n * 86_400_000);
        let whole = rule.occurrences(start, day(90), 1_000);
        let mut parts = rule.occurrences(start, day(cut), 1_000);
        let rest = rule.occurrences(day(cut), day(90), 1_000);
        parts.extend(rest.into_iter().filter(|o| o.0 >= day(cut)));
        prop_assert_eq!(&parts, &whole);
        prop_assert!(whole.windows(2).all(|w| w[0].0 < w[1].0));
        prop_assert!(whole.iter().all(|(a, b)| b.0 - a.0 == u64::from(long) * 1000));
    }

    #[test]
    fn no_body_ends_the_process(bytes in prop::collection::vec(any::<u8>(), 0..300), text in "\\PC{0,80}") {
        let _ = parse_reservation(&bytes);
        let _ = parse_window(text.as_bytes());
        let odd = json!({"name": text, "zone": text, "from": text, "until": "2027-01-01T00:00:00Z"});
        let _ = parse_window(odd.to_string().as_bytes());
    }
}

/// Guards against a start that the window would cut off, and against one that two clocks apart allow:
/// a closing is seen as early and as long as any host may see it.
#[test]
fn nothing_starts_that_would_run_into_a_window() {
    use snowshelf_calendar::calendar::{Bounds, Calendar, Pool};
    use snowshelf_calendar::entry::{Name, Window};
    use snowshelf_calendar::guard::Guard;
    use std::sync::Arc;
    let pool = Pool::new("east", "big");
    let bounds = Arc::new(Bounds {
        pools: [(pool.clone(), Default::default())].into(),
        horizon_ms: 10_000_000,
        most_entries: 10,
        ..Bounds::default()
    });
    let guard = |lead_s| {
        let mut calendar = Calendar::new(bounds.clone(), WallClockMillis(0));
        let window = Window {
            zone: "east".to_string(),
            types: None,
            when: When::Once {
                from: WallClockMillis(600_000),
                until: WallClockMillis(900_000),
            },
            lead_s,
        };
        let name = Name::parse("w").unwrap();
        calendar.set_window(&name, Some(Arc::new(window)), WallClockMillis(0));
        Guard::of(&calendar, WallClockMillis(0), 5_000_000, 1_000)
    };
    let at = |guard: &Guard, run_s: Option<u64>, now_s: u64| {
        guard
            .forbids(
                &pool,
                run_s.map(|s| s * 1000),
                WallClockMillis(now_s * 1000),
            )
            .is_some()
    };
    let any = guard(None);
    assert!(!at(&any, Some(100), 499) && at(&any, Some(100), 500));
    assert!(at(&any, Some(500), 100) && at(&any, Some(1), 700) && at(&any, Some(1), 900));
    assert!(!at(&any, Some(1), 901));
    // Services start until the window comes, and again after it.
    assert!(!at(&any, None, 598) && at(&any, None, 599) && !at(&any, None, 901));
    let late = guard(Some(60.0));
    assert!(!at(&late, Some(500), 538) && at(&late, Some(500), 539));
    assert!(!at(&late, None, 538) && at(&late, None, 539));
    let empties = |now_s: u64| {
        any.empties(&pool, WallClockMillis(now_s * 1000), 10_000)
            .is_some()
    };
    assert!(!empties(588) && empties(589) && empties(900) && !empties(901));
    let elsewhere = Pool::new("west", "big");
    assert!(
        any.forbids(&elsewhere, Some(1), WallClockMillis(700_000))
            .is_none()
    );
}
