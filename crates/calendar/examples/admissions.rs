//! Measures admissions a second and memory with many entries: `cargo run --release -p
//! snowshelf-calendar --example admissions [ENTRIES]`.

use snowshelf_calendar::amount::Amount;
use snowshelf_calendar::calendar::{Bounds, Calendar, Pool};
use snowshelf_calendar::entry::{Name, Wanted};
use snowshelf_model::ids::{Team, WallClockMillis};
use std::sync::Arc;
use std::time::Instant;

const HOUR: u64 = 3_600_000;

/// Resident memory of this process in kilobytes, where the system tells it.
fn resident_kb() -> Option<u64> {
    let status = std::fs::read_to_string("/proc/self/status").ok()?;
    let line = status.lines().find(|l| l.starts_with("VmRSS:"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}

#[expect(clippy::too_many_lines, reason = "one measurement after the other")]
fn main() {
    let entries: usize = std::env::args()
        .nth(1)
        .and_then(|n| n.parse().ok())
        .unwrap_or(10_000);
    let zones = ["a", "b", "c", "d"];
    let pools = zones
        .iter()
        .flat_map(|z| ["big", "small"].map(|t| Pool::new(z, t)));
    let cpus = |n: i64| Amount {
        cpus: n * 1000,
        gpus: 0,
        mem: n * 4000,
    };
    let bounds = Arc::new(Bounds {
        pools: pools.map(|p| (p, cpus(6_000))).collect(),
        limits: (0..4)
            .map(|t| (Team::new(&format!("t{t}")), cpus(12_000)))
            .collect(),
        horizon_ms: 400 * 24 * HOUR,
        most_entries: usize::MAX,
    });
    let mut calendar = Calendar::new(bounds, WallClockMillis(0));
    let before = resident_kb().unwrap_or(0);
    let mut x = 12345u64;
    let mut draw = |below: u64| {
        x = x
            .wrapping_mul(6364136223846793005)
            .wrapping_add(1442695040888963407);
        (x >> 33) % below
    };
    let (mut tried, mut moved, start) = (0u64, 0u64, Instant::now());
    let mut slowest = 0.0f64;
    while calendar.len() < entries {
        let from = WallClockMillis(draw(300 * 24) * HOUR);
        let wanted = Wanted {
            team: Team::new(&format!("t{}", draw(4))),
            amount: cpus(50 + draw(2_000) as i64),
            zone: (draw(2) == 0).then(|| zones[draw(4) as usize].to_string()),
            types: None,
            spot: false,
            from,
            until: WallClockMillis(from.0 + (1 + draw(72)) * HOUR),
            movable: true,
        };
        tried += 1;
        let one = Instant::now();
        if let Ok(taken) = calendar.admit(&wanted, WallClockMillis(0)) {
            moved += u64::from(taken.moved_from.is_some());
            let name = Name::parse(&format!("r{tried}")).expect("a sound name");
            calendar.set_reservation(&name, Some(Arc::new(taken)));
        }
        slowest = slowest.max(one.elapsed().as_secs_f64());
        if tried > 20 * entries as u64 {
            break;
        }
    }
    let took = start.elapsed().as_secs_f64();
    let held = resident_kb().unwrap_or(0).saturating_sub(before);
    let again = Instant::now();
    let mut copy = Calendar::new(calendar.bounds().clone(), WallClockMillis(0));
    for (name, r) in calendar.reservations() {
        copy.set_reservation(name, Some(r.clone()));
    }
    let built_ms = again.elapsed().as_secs_f64() * 1000.0;
    println!("built anew from its records in {built_ms:.0} ms");
    println!(
        "{} entries of {tried} asked, {moved} moved, {took:.2} s: {:.0} admissions a second, the slowest {:.1} ms; {held} kB",
        calendar.len(),
        tried as f64 / took,
        slowest * 1000.0
    );
}
