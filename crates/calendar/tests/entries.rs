//! Parsing of requests, recurrence of windows, and the constraints that windows place on task starts.

use jiff::Timestamp;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed};
use serde_json::{Value, json};
use snowshelf_calendar::calendar::{Calendar, CalendarLimits, Pool};
use snowshelf_calendar::constraints::CalendarConstraints;
use snowshelf_calendar::entry::{
    Name, Window, WindowSchedule, format_time, parse_reservation, parse_window,
};
use snowshelf_calendar::recur::Rule;
use snowshelf_model::ids::WallClockMillis;
use std::sync::Arc;

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
    found.iter().map(|(a, _)| format_time(*a)).collect()
}

/// Each invalid or missing field is named in the error. A valid request is parsed, and a body that is not a
/// single JSON object is an error.
#[test]
fn parse_reservation_invalid_field_is_named_in_error() {
    let (name, spec) = parse_reservation(reservation().to_string().as_bytes()).unwrap();
    assert_eq!(name.as_str(), "crush-2027");
    assert_eq!((spec.amount.cpus, spec.amount.mem), (120_000, 480_000));
    assert_eq!(spec.until, ms("2027-09-14T19:00:00Z"));
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
fn parse_window_requires_times_or_rule() {
    let window = |extra: Value| {
        let mut body = json!({"name": "w", "zone": "campanha"});
        for (k, v) in extra.as_object().unwrap() {
            body[k] = v.clone();
        }
        parse_window(body.to_string().as_bytes())
    };
    let (from, until) = ("2027-01-01T00:00:00Z", "2027-01-01T04:00:00Z");
    let (_, once, force) = window(json!({"from": from, "until": until, "force": true})).unwrap();
    assert!(force && matches!(once.when, WindowSchedule::Once { .. }));
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

/// Guards against occurrences that are lost or repeated on the days of clock changes. In one night the
/// local time of the rule occurs twice, in the other it does not exist.
#[test]
fn daily_rule_occurs_once_a_day_across_clock_changes() {
    assert_eq!(
        times(&rule(), "2026-10-24T00:00:00Z", "2026-10-27T00:00:00Z"),
        // Up to the 25th, local time is an hour ahead of UTC. 01:30 occurs twice that night; the first counts.
        [
            "2026-10-24T00:30:00Z",
            "2026-10-25T00:30:00Z",
            "2026-10-26T01:30:00Z"
        ]
    );
    assert_eq!(
        times(&rule(), "2027-03-27T00:00:00Z", "2027-03-30T00:00:00Z"),
        // On the 28th there is no 01:30, so that the window begins at 02:30 local time.
        [
            "2027-03-27T01:30:00Z",
            "2027-03-28T01:30:00Z",
            "2027-03-29T00:30:00Z"
        ]
    );
}

#[test]
fn rule_counts_intervals_from_first_date() {
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
    // Months without a 31st are skipped; the occurrence is not moved to another day.
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

    /// Guards against occurrences that are lost or repeated at the border between two planned time ranges.
    #[test]
    fn rule_split_range_has_same_occurrences(
        hour in 0..24i8, duration_s in 60..200_000u32, interval in 1..4u32, split in 0..90u64, every in 0..3usize,
    ) {
        let every = ["day", "week", "month"][every];
        let rule: Rule = serde_json::from_value(json!({"every": every, "interval": interval,
            "at": format!("{hour:02}:30"), "zone": "Europe/Lisbon", "first": "2027-01-15", "for_s": duration_s}))
            .unwrap();
        let start = ms("2027-01-20T00:00:00Z");
        let day = |n: u64| WallClockMillis(start.0 + n * 86_400_000);
        let whole = rule.occurrences(start, day(90), 1_000);
        let mut parts = rule.occurrences(start, day(split), 1_000);
        let rest = rule.occurrences(day(split), day(90), 1_000);
        parts.extend(rest.into_iter().filter(|o| o.0 >= day(split)));
        prop_assert_eq!(&parts, &whole);
        prop_assert!(whole.windows(2).all(|w| w[0].0 < w[1].0));
        prop_assert!(whole.iter().all(|(a, b)| b.0 - a.0 == u64::from(duration_s) * 1000));
    }

    /// Guards against panics in the parsers on arbitrary bytes and texts.
    #[test]
    fn parsers_arbitrary_input_does_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..300), text in "\\PC{0,80}") {
        let _ = parse_reservation(&bytes);
        let _ = parse_window(text.as_bytes());
        let body = json!({"name": text, "zone": text, "from": text, "until": "2027-01-01T00:00:00Z"});
        let _ = parse_window(body.to_string().as_bytes());
    }
}

/// Guards against starting a task that would overlap a window, also if the clocks of two hosts differ: the
/// window counts as closed from the earliest to the latest time at which any host may see it so.
#[test]
fn constraints_block_starts_that_overlap_window() {
    let pool = Pool::new("east", "big");
    let limits = Arc::new(CalendarLimits {
        pools: [(pool.clone(), Default::default())].into(),
        horizon_ms: 10_000_000,
        max_entries: 10,
        ..CalendarLimits::default()
    });
    let constraints = |lead_s| {
        let mut calendar = Calendar::new(limits.clone(), WallClockMillis(0));
        let window = Window {
            zone: "east".to_string(),
            types: None,
            when: WindowSchedule::Once {
                from: WallClockMillis(600_000),
                until: WallClockMillis(900_000),
            },
            lead_s,
        };
        let name = Name::parse("w").unwrap();
        calendar.set_window(&name, Some(Arc::new(window)), WallClockMillis(0));
        CalendarConstraints::new(&calendar, WallClockMillis(0), 5_000_000, 1_000)
    };
    let blocked = |constraints: &CalendarConstraints, run_s: Option<u64>, now_s: u64| {
        constraints
            .blocks_start(
                &pool,
                run_s.map(|s| s * 1000),
                WallClockMillis(now_s * 1000),
            )
            .is_some()
    };
    let no_lead = constraints(None);
    assert!(!blocked(&no_lead, Some(100), 499) && blocked(&no_lead, Some(100), 500));
    assert!(
        blocked(&no_lead, Some(500), 100)
            && blocked(&no_lead, Some(1), 700)
            && blocked(&no_lead, Some(1), 900)
    );
    assert!(!blocked(&no_lead, Some(1), 901));
    // Without a lead time, services may start until the window begins, and again after it ends.
    assert!(
        !blocked(&no_lead, None, 598)
            && blocked(&no_lead, None, 599)
            && !blocked(&no_lead, None, 901)
    );
    let lead = constraints(Some(60.0));
    assert!(!blocked(&lead, Some(500), 538) && blocked(&lead, Some(500), 539));
    assert!(!blocked(&lead, None, 538) && blocked(&lead, None, 539));
    let must_be_empty = |now_s: u64| {
        no_lead
            .requires_empty(&pool, WallClockMillis(now_s * 1000), 10_000)
            .is_some()
    };
    assert!(!must_be_empty(588) && must_be_empty(589) && must_be_empty(900) && !must_be_empty(901));
    let other_pool = Pool::new("west", "big");
    assert!(
        no_lead
            .blocks_start(&other_pool, Some(1), WallClockMillis(700_000))
            .is_none()
    );
}
