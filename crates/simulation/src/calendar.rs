//! Users that create reservations and windows, and the rules that must hold for them.

use super::workers::WorkerTask;
use super::{Event, NODES, PendingRequest, Simulation, TEAM_LIMIT};
use rand::RngExt;
use serde_json::{Value, json};
use snowshelf_calendar::entry::format_time;
use snowshelf_model::ids::WallClockMillis;
use std::collections::{BTreeMap, BTreeSet};

/// Wall-clock time at which the simulation begins, in milliseconds since the epoch.
pub const WALL_CLOCK_START_MS: u64 = 1_000_000_000;
/// CPUs of a zone's on-demand machines, as configured in the calendar's capacity.
pub const ZONE_CPUS: f64 = 24.0;
/// A window must have been accepted this long before its start to be checked. Tasks that were started earlier
/// can still be in transit.
const ACCEPTANCE_LEAD_MS: u64 = 15_000;
/// Upper bound on the time before a window at which its zone is emptied.
const EMPTYING_LEAD_MS: u64 = 15_000;
/// After a hang a machine may still carry out commands from before it, for this long.
const HANG_GRACE_MS: u64 = 3_000;

/// A user that creates one reservation or window and then reads it periodically.
pub struct CalendarClient {
    path: &'static str,
    body: Value,
    /// Start and end in simulated time.
    pub from: u64,
    /// End.
    pub until: u64,
    /// Status, body and time of the final response.
    pub outcome: Option<(u16, Value, u64)>,
}

impl CalendarClient {
    /// Whether the entry was accepted.
    pub fn accepted(&self) -> bool {
        matches!(self.outcome, Some((200 | 201, _, _)))
    }
}

/// Tasks that were running at the last check, with their attempts.
#[derive(Default)]
pub struct RunningTasks {
    tasks: BTreeSet<(String, u64)>,
}

impl Simulation {
    /// Adds a user that reserves CPUs for a team, in one zone or in any. The request is sent at `at`.
    pub fn add_reservation(
        &mut self,
        at: u64,
        team: &str,
        cpus: f64,
        zone: Option<&str>,
        from: u64,
        until: u64,
    ) {
        let name = format!("r{}", self.calendar_clients.len());
        let body = json!({"name": name, "team": team, "cpus": cpus, "zone": zone,
            "from": format_time(WallClockMillis(WALL_CLOCK_START_MS + from)),
            "until": format_time(WallClockMillis(WALL_CLOCK_START_MS + until))});
        self.add_calendar_client(at, "/api/reservations", body, from, until);
    }

    /// Adds a user that closes a zone for a time. The request is sent at `at`.
    pub fn add_window(&mut self, at: u64, zone: &str, from: u64, until: u64) {
        let name = format!("w{}", self.calendar_clients.len());
        let body = json!({"name": name, "zone": zone,
            "from": format_time(WallClockMillis(WALL_CLOCK_START_MS + from)),
            "until": format_time(WallClockMillis(WALL_CLOCK_START_MS + until))});
        self.add_calendar_client(at, "/api/windows", body, from, until);
    }

    fn add_calendar_client(
        &mut self,
        at: u64,
        path: &'static str,
        body: Value,
        from: u64,
        until: u64,
    ) {
        self.calendar_clients.push(CalendarClient {
            path,
            body,
            from,
            until,
            outcome: None,
        });
        self.schedule_at(
            at,
            Event::CalendarClientStep(self.calendar_clients.len() - 1),
        );
    }

    /// Adds random users whose reservations and windows exceed the capacity.
    pub fn draw_calendar_clients(&mut self, count: usize) {
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

    /// Sends the request to create the entry, or reads it once it was accepted.
    pub(super) fn calendar_client_step(&mut self, b: usize) {
        let node = self.rng.random_range(0..NODES);
        let client = &self.calendar_clients[b];
        let (path, body) = (client.path, client.body.to_string().into_bytes());
        let name = client.body["name"].as_str().unwrap_or("").to_string();
        match &client.outcome {
            None => self.send_request(node, "POST", path, body, PendingRequest::CreateEntry(b)),
            Some((200 | 201, _, _)) => {
                let path = format!("{path}/{name}");
                self.send_request(node, "GET", &path, Vec::new(), PendingRequest::ReadEntry(b))
            }
            Some(_) => return,
        };
        self.schedule_after(3_000, Event::CalendarClientStep(b));
    }

    /// Handles the response to the request that creates the entry.
    pub(super) fn calendar_entry_response(&mut self, b: usize, status: u16, body: Value) {
        let now = self.now;
        let client = &mut self.calendar_clients[b];
        if client.outcome.is_none() && matches!(status, 200 | 201 | 409 | 422) {
            client.outcome = Some((status, body, now));
        }
    }

    /// An accepted entry must stay unchanged.
    pub(super) fn check_calendar_entry(&mut self, b: usize, status: u16, body: &Value) {
        let Some((_, accepted, _)) = &self.calendar_clients[b].outcome else {
            return;
        };
        let same = ["from", "until", "cpus", "zone", "places"]
            .iter()
            .all(|field| body[field] == accepted[field]);
        // The path does not exist until the feature is enabled.
        let disabled = status == 404 && body["error"] == "no such path";
        if status == 200 && !same || status == 404 && !disabled {
            self.violations
                .push(format!("booking lost: {accepted} is {status} {body}"));
        }
    }

    /// Whether an accepted window closes the zone now, closes it soon or closed it a moment ago.
    pub(super) fn is_closing(&self, zone: &str) -> bool {
        let mut windows = self.windows().filter(|b| b.body["zone"] == zone);
        windows
            .any(|b| b.from < self.now + EMPTYING_LEAD_MS && self.now < b.until + EMPTYING_LEAD_MS)
    }

    /// Windows that were accepted early enough to be checked.
    fn windows(&self) -> impl Iterator<Item = &CalendarClient> + '_ {
        let windows = self
            .calendar_clients
            .iter()
            .filter(|b| b.path == "/api/windows");
        windows.filter(|b| {
            b.outcome
                .as_ref()
                .is_some_and(|(status, _, at)| *status < 300 && at + ACCEPTANCE_LEAD_MS <= b.from)
        })
    }

    /// No task may start in a closed zone. If [`Simulation::zone_empty_after_ms`] is set, none may run there
    /// either.
    pub(super) fn check_windows(&mut self) {
        if self.calendar_clients.is_empty() {
            return;
        }
        let now = self.now;
        let mut running = BTreeSet::new();
        let mut violations = Vec::new();
        for (name, w) in &self.workers {
            // How long the zone has been closed.
            let zone_windows = self.windows().filter(|b| b.body["zone"] == *w.zone);
            let mut closing = zone_windows.filter(|b| b.from < now && now < b.until);
            let closed = closing.next().map(|b| now - b.from);
            for task in w.tasks.iter().filter(|t| WorkerTask::is_running(t)) {
                let key = (task.name.clone(), task.attempt);
                let new = !self.running_at_last_check.tasks.contains(&key);
                let starts = new && now > w.hung_until + HANG_GRACE_MS;
                let empty =
                    closed.is_some_and(|ms| self.zone_empty_after_ms.is_some_and(|e| ms > e));
                if closed.is_some() && starts || empty {
                    let what = if new { "starts" } else { "is" };
                    violations.push(format!(
                        "closed: {} {what} on {name} in {}",
                        task.name, w.zone
                    ));
                }
                running.insert(key);
            }
        }
        self.running_at_last_check.tasks = running;
        self.violations.extend(violations);
    }

    /// Describes reservations that exceed a zone's capacity or a team's limit at some moment, or overlap a
    /// window.
    pub fn overbooked_reservations(&self) -> Vec<String> {
        let accepted: Vec<&CalendarClient> = self
            .calendar_clients
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
                let Some((_, body, _)) = &b.outcome else {
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
            .calendar_clients
            .iter()
            .filter(|b| b.path == "/api/windows" && b.accepted())
        {
            for r in &accepted {
                let Some((_, body, _)) = &r.outcome else {
                    continue;
                };
                let mut places = body["places"].as_array().into_iter().flatten();
                let overlaps = places.any(|p| p["zone"] == w.body["zone"]);
                if overlaps && r.from < w.until && w.from < r.until {
                    found.push(format!("{} is closed by {}", r.body, w.body));
                }
            }
        }
        found
    }
}
