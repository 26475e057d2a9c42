//! Users who reserve and who declare windows, and what must hold for them.

use super::workers::WorkerTask;
use super::{Asked, Event, NODES, Simulation, TEAM_LIMIT};
use rand::RngExt;
use serde_json::{Value, json};
use snowshelf_calendar::entry::format_time;
use snowshelf_model::ids::WallClockMillis;
use std::collections::{BTreeMap, BTreeSet};

/// The time of day at which the world begins, in milliseconds.
pub const BEGAN: u64 = 1_000_000_000;
/// Ordinary CPUs of a zone, as the operators have told the calendar.
pub const ZONE_CPUS: f64 = 24.0;
/// So long before a window it must have been accepted for the checks to count it: what was commanded
/// before is on its way.
const NOTICE_MS: u64 = 15_000;
/// A zone is emptied at the most so long before it closes.
const EMPTIED_MS: u64 = 15_000;
/// A machine that hung may go on with what it was told before.
const HUNG_MS: u64 = 3_000;

pub struct Booker {
    path: &'static str,
    body: Value,
    /// From and until, by the world's clock.
    pub from: u64,
    pub until: u64,
    /// Status and body of the answer that settled it, and when it came.
    pub told: Option<(u16, Value, u64)>,
}

impl Booker {
    pub fn accepted(&self) -> bool {
        matches!(self.told, Some((200 | 201, _, _)))
    }
}

/// What the checks remember between events.
#[derive(Default)]
pub struct Seen {
    on: BTreeSet<(String, u64)>,
}

impl Simulation {
    pub fn add_reservation(
        &mut self,
        at: u64,
        team: &str,
        cpus: f64,
        zone: Option<&str>,
        from: u64,
        until: u64,
    ) {
        let name = format!("r{}", self.bookers.len());
        let body = json!({"name": name, "team": team, "cpus": cpus, "zone": zone,
            "from": format_time(WallClockMillis(BEGAN + from)),
            "until": format_time(WallClockMillis(BEGAN + until))});
        self.add_booker(at, "/api/reservations", body, from, until);
    }

    pub fn add_window(&mut self, at: u64, zone: &str, from: u64, until: u64) {
        let name = format!("w{}", self.bookers.len());
        let body = json!({"name": name, "zone": zone,
            "from": format_time(WallClockMillis(BEGAN + from)),
            "until": format_time(WallClockMillis(BEGAN + until))});
        self.add_booker(at, "/api/windows", body, from, until);
    }

    fn add_booker(&mut self, at: u64, path: &'static str, body: Value, from: u64, until: u64) {
        self.bookers.push(Booker {
            path,
            body,
            from,
            until,
            told: None,
        });
        self.at(at, Event::BookNext(self.bookers.len() - 1));
    }

    /// Draws users whose reservations and windows are too many for the room that there is.
    pub fn draw_bookers(&mut self, count: usize) {
        for _ in 0..count {
            let at = self.rng.random_range(3_000..50_000u64);
            let from = at + self.rng.random_range(20_000..50_000u64);
            let until = from + self.rng.random_range(5_000..30_000u64);
            let zone = ["a", "b"][self.rng.random_range(0..2usize)];
            if self.rng.random_bool(0.25) {
                self.add_window(at, zone, from, until);
            } else {
                let team = ["red", "blue"][self.rng.random_range(0..2usize)];
                let cpus = f64::from(self.rng.random_range(4..20u32));
                let zone = self.rng.random_bool(0.7).then_some(zone);
                self.add_reservation(at, team, cpus, zone, from, until);
            }
        }
    }

    pub(super) fn book_next(&mut self, b: usize) {
        let node = self.rng.random_range(0..NODES);
        let booker = &self.bookers[b];
        let (path, body) = (booker.path, booker.body.to_string().into_bytes());
        let name = booker.body["name"].as_str().unwrap_or("").to_string();
        match &booker.told {
            None => self.ask(node, "POST", path, body, Asked::Book(b)),
            Some((200 | 201, _, _)) => {
                let path = format!("{path}/{name}");
                self.ask(node, "GET", &path, Vec::new(), Asked::Booked(b))
            }
            Some(_) => return,
        };
        self.after(3_000, Event::BookNext(b));
    }

    pub(super) fn booked(&mut self, b: usize, status: u16, body: Value) {
        let now = self.now;
        let booker = &mut self.bookers[b];
        if booker.told.is_none() && matches!(status, 200 | 201 | 409 | 422) {
            booker.told = Some((status, body, now));
        }
    }

    /// What was accepted is there for good, as it was told.
    pub(super) fn still_booked(&mut self, b: usize, status: u16, body: &Value) {
        let Some((_, told, _)) = &self.bookers[b].told else {
            return;
        };
        let same = ["from", "until", "cpus", "zone", "places"]
            .iter()
            .all(|field| body[field] == told[field]);
        // Where the feature is not on yet the path does not exist.
        let unknown = status == 404 && body["error"] == "no such path";
        if status == 200 && !same || status == 404 && !unknown {
            self.broken
                .push(format!("booking lost: {told} is {status} {body}"));
        }
    }

    /// Whether a zone is about to close, closed, or was a moment ago, by a window that was accepted.
    pub(super) fn closes(&self, zone: &str) -> bool {
        let mut windows = self.windows().filter(|b| b.body["zone"] == zone);
        windows.any(|b| b.from < self.now + EMPTIED_MS && self.now < b.until + EMPTIED_MS)
    }

    fn windows(&self) -> impl Iterator<Item = &Booker> + '_ {
        let windows = self.bookers.iter().filter(|b| b.path == "/api/windows");
        windows.filter(|b| {
            b.told
                .as_ref()
                .is_some_and(|(status, _, at)| *status < 300 && at + NOTICE_MS <= b.from)
        })
    }

    /// Nothing starts in a closed zone, and if all is well nothing is there at all.
    pub(super) fn check_windows(&mut self) {
        if self.bookers.is_empty() {
            return;
        }
        let now = self.now;
        let mut on = BTreeSet::new();
        let mut broken = Vec::new();
        for (name, w) in &self.workers {
            // For how long the zone has been closed.
            let here = self.windows().filter(|b| b.body["zone"] == *w.zone);
            let mut open = here.filter(|b| b.from < now && now < b.until);
            let closed = open.next().map(|b| now - b.from);
            for task in w.tasks.iter().filter(|t| WorkerTask::is_on(t)) {
                let key = (task.name.clone(), task.attempt);
                let new = !self.seen.on.contains(&key);
                let starts = new && now > w.hung_until + HUNG_MS;
                let empty = closed.is_some_and(|ms| self.empty_after.is_some_and(|e| ms > e));
                if closed.is_some() && starts || empty {
                    let what = if new { "starts" } else { "is" };
                    broken.push(format!(
                        "closed: {} {what} on {name} in {}",
                        task.name, w.zone
                    ));
                }
                on.insert(key);
            }
        }
        self.seen.on = on;
        self.broken.extend(broken);
    }

    /// At no moment more is reserved than there is, whoever was asked.
    pub fn overbooked(&self) -> Vec<String> {
        let accepted: Vec<&Booker> = self
            .bookers
            .iter()
            .filter(|b| b.path == "/api/reservations" && b.accepted())
            .collect();
        let mut found = Vec::new();
        for moment in accepted.iter().map(|b| b.from) {
            let mut zones: BTreeMap<String, f64> = BTreeMap::new();
            let mut teams: BTreeMap<String, f64> = BTreeMap::new();
            for b in accepted
                .iter()
                .filter(|b| b.from <= moment && moment < b.until)
            {
                let Some((_, body, _)) = &b.told else {
                    continue;
                };
                let team = body["team"].as_str().unwrap_or("").to_string();
                *teams.entry(team).or_default() += b.body["cpus"].as_f64().unwrap_or(0.0);
                for place in body["places"].as_array().into_iter().flatten() {
                    let zone = place["zone"].as_str().unwrap_or("").to_string();
                    *zones.entry(zone).or_default() += place["cpus"].as_f64().unwrap_or(0.0);
                }
            }
            for (zone, cpus) in zones.iter().filter(|(_, c)| **c > ZONE_CPUS + 1e-6) {
                found.push(format!("{cpus} CPUs reserved in {zone} at {moment}"));
            }
            for (team, cpus) in teams.iter().filter(|(_, c)| **c > TEAM_LIMIT + 1e-6) {
                found.push(format!("{cpus} CPUs reserved for {team} at {moment}"));
            }
        }
        for w in self
            .bookers
            .iter()
            .filter(|b| b.path == "/api/windows" && b.accepted())
        {
            for r in &accepted {
                let Some((_, body, _)) = &r.told else {
                    continue;
                };
                let mut places = body["places"].as_array().into_iter().flatten();
                let there = places.any(|p| p["zone"] == w.body["zone"]);
                if there && r.from < w.until && w.from < r.until {
                    found.push(format!("{} is closed by {}", r.body, w.body));
                }
            }
        }
        found
    }
}
