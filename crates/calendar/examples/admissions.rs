//! Benchmark of admissions per second and of memory with many entries: `cargo run --release -p
//! snowshelf-calendar --example admissions [ENTRIES]`.

use snowshelf_calendar::amount::Amount;
use snowshelf_calendar::calendar::{Calendar, CalendarLimits, Pool};
use snowshelf_calendar::entry::{Name, ReservationSpec};
use snowshelf_model::ids::{Team, WallClockMillis};
use std::sync::Arc;
use std::time::Instant;

const HOUR: u64 = 3_600_000;

/// Resident memory of this process in kilobytes. `None` where `/proc` does not report it.
fn resident_kb() -> Option<u64> {
    let status = std::fs::read_to_string("/proc/self/status").ok()?;
    let line = status.lines().find(|l| l.starts_with("VmRSS:"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}

#[expect(clippy::too_many_lines, reason = "a sequence of measurements")]
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
    let limits = Arc::new(CalendarLimits {
        pools: pools.map(|p| (p, cpus(6_000))).collect(),
        teams: (0..4)
            .map(|t| (Team::new(&format!("t{t}")), cpus(12_000)))
            .collect(),
        horizon_ms: 400 * 24 * HOUR,
        max_entries: usize::MAX,
    });
    let mut calendar = Calendar::new(limits, WallClockMillis(0));
    let resident_before_kb = resident_kb().unwrap_or(0);
    let mut random_state = 12345u64;
    let mut draw = |below: u64| {
        random_state = random_state
            .wrapping_mul(6364136223846793005)
            .wrapping_add(1442695040888963407);
        (random_state >> 33) % below
    };
    let (mut attempts, mut moved, start) = (0u64, 0u64, Instant::now());
    let mut slowest_s = 0.0f64;
    while calendar.len() < entries {
        let from = WallClockMillis(draw(300 * 24) * HOUR);
        let spec = ReservationSpec {
            team: Team::new(&format!("t{}", draw(4))),
            amount: cpus(50 + draw(2_000) as i64),
            zone: (draw(2) == 0).then(|| zones[draw(4) as usize].to_string()),
            types: None,
            spot: false,
            from,
            until: WallClockMillis(from.0 + (1 + draw(72)) * HOUR),
            movable: true,
        };
        attempts += 1;
        let admission_start = Instant::now();
        if let Ok(accepted) = calendar.admit(&spec, WallClockMillis(0)) {
            moved += u64::from(accepted.moved_from.is_some());
            let name = Name::parse(&format!("r{attempts}")).expect("a valid name");
            calendar.set_reservation(&name, Some(Arc::new(accepted)));
        }
        slowest_s = slowest_s.max(admission_start.elapsed().as_secs_f64());
        if attempts > 20 * entries as u64 {
            break;
        }
    }
    let duration_s = start.elapsed().as_secs_f64();
    let memory_kb = resident_kb()
        .unwrap_or(0)
        .saturating_sub(resident_before_kb);
    let rebuild_start = Instant::now();
    let mut rebuilt = Calendar::new(calendar.limits().clone(), WallClockMillis(0));
    for (name, r) in calendar.reservations() {
        rebuilt.set_reservation(name, Some(r.clone()));
    }
    let rebuild_ms = rebuild_start.elapsed().as_secs_f64() * 1000.0;
    println!("rebuilt from its records in {rebuild_ms:.0} ms");
    println!(
        "{} entries from {attempts} requests, {moved} moved, {duration_s:.2} s: {:.0} requests per second, slowest {:.1} ms; {memory_kb} kB",
        calendar.len(),
        attempts as f64 / duration_s,
        slowest_s * 1000.0
    );
}
