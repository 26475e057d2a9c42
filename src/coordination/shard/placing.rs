//! Passes of placement over the part's waiting jobs and open machines.

use super::Shard;
use super::machine::Machine;
use crate::coordination::env::Env;
use crate::coordination::placement::{self, Image, Load, Seat, ZoneRule};
use snowshelf_model::ids::{JobId, MachineId, Millis, Team, WallMs, seconds_to_ms};
use snowshelf_model::protocol::worker::TaskState;
use snowshelf_model::records::{Grant, JobSpec, JobState, Priority, Room, Step, StepKind};
use std::cmp::Reverse;
use std::collections::{HashMap, HashSet};

/// The least time between two passes: reports that come in between share one.
const PASS_GAP_MS: u64 = 50;

/// A machine that may take tasks, and what of it is free.
pub(super) struct Open {
    pub name: MachineId,
    pub free: Room,
    /// What it would have free without any task.
    pub whole: Room,
}

/// A waiting job's place in the order in which they are served.
struct Turn {
    /// Outside of its team's guarantee; priority; aims missed: the least goes first.
    rank: (bool, Reverse<Priority>, usize),
    /// When its tasks should start at the latest.
    due: WallMs,
    job: JobId,
    /// Whether it can wait for machines that have its image.
    patient: bool,
    /// Whether every second counts: it is within its team's guarantee, or others wait for it.
    urgent: bool,
}

impl Shard {
    /// Works out anew what is taken on machines whose picture or report has changed.
    pub(super) fn freshen(&mut self) {
        let (jobs, on) = (&self.jobs, &self.on);
        for (name, m) in self.machines.iter_mut().filter(|(_, m)| m.stale) {
            m.stale = false;
            m.used = Room::default();
            m.strays.clear();
            for id in on.get(name).into_iter().flatten() {
                if let Some(job) = jobs.get(id)
                    && let Some(spec) = job.spec()
                    && let Some(spans) = job.view.started.get(name)
                {
                    m.used.add(spec.room.times(f64::from(spans.len())));
                }
            }
            for item in m.listed.iter().filter(|t| t.state != TaskState::Exited) {
                let job = jobs.get(&item.task.job);
                let held = job.and_then(|j| j.view.started_on(name, item.task.task));
                if held == Some(item.attempt) {
                    continue;
                }
                m.strays.push(item.task.job.clone());
                match job {
                    Some(job) => m.used.add(job.spec().map(|s| s.room).unwrap_or_default()),
                    // A stray of unknown size: nothing is placed until it is gone.
                    None => m.used.add(Room {
                        cpus: 1e9,
                        gpus: 0.0,
                        mem: 1e9,
                    }),
                }
            }
        }
    }

    /// The machines that may take tasks now.
    pub(super) fn rooms(&mut self, env: &Env) -> Vec<Open> {
        self.freshen();
        let fresh_ms = 2 * env.cfg.settings.report_ms() + 1_000;
        let now = env.now();
        self.machines
            .iter()
            .filter(|(_, m)| m.open(now, fresh_ms))
            .filter_map(|(name, m)| {
                let whole = env.types.get(&m.model)?.room();
                let mut free = whole;
                free.sub(m.used);
                Some(Open {
                    name: name.clone(),
                    free,
                    whole,
                })
            })
            .collect()
    }

    /// How many tasks of a job could start in these rooms.
    pub(super) fn fit(&self, spec: &JobSpec, rooms: &[Open], env: &Env) -> u32 {
        let usable = rooms.iter().filter(|r| self.takes(spec, r, env));
        usable.fold(0, |n, r| n.saturating_add(spec.room.count_in(r.free)))
    }

    /// Whether a machine that works may run this job.
    fn takes(&self, spec: &JobSpec, room: &Open, env: &Env) -> bool {
        self.machines.get(&room.name).is_some_and(|m| {
            let zone = env.cfg.settings.deployment.zones.get(m.zone);
            m.error_streak.is_empty()
                && m.allowed_for(spec, zone)
                && !self.kept_from(spec, &room.name, m, env)
        })
    }

    /// The waiting jobs in the order in which they are served.
    fn turns(&self, now: Millis, env: &Env) -> Vec<Turn> {
        let objectives = &env.cfg.settings.deployment.objectives;
        let within = within_guarantee(env);
        let mut turns: Vec<Turn> = self
            .jobs
            .iter()
            .filter(|(_, j)| j.waits() && j.retry_at <= now && !j.reading)
            .filter_map(|(id, j)| {
                let spec = j.spec()?;
                // Aims on starting and finishing count from when the last needed job was done, the
                // deadline from the submission.
                let since = env.graph.since(id, &j.spec);
                let urgency = env.graph.urgency(id, spec);
                let age_s = env.out.wall_ms.saturating_sub(since.0) as f64 / 1000.0;
                let waited_s = env.graph.waited_s(id, &j.spec);
                let missed = placement::missed(spec, objectives, age_s, waited_s);
                let patience_s = placement::patience_s(spec, objectives, waited_s);
                let due = WallMs(since.0 + seconds_to_ms(patience_s));
                Some(Turn {
                    rank: (!within.contains(id), Reverse(urgency.priority), missed),
                    due: urgency.latest.map_or(due, |latest| due.min(latest)),
                    job: id.clone(),
                    urgent: within.contains(id) || urgency.latest.is_some(),
                    patient: missed > 0 || age_s < env.cfg.ops.image_patience * patience_s,
                })
            })
            .collect();
        turns.sort_by(|a, b| (a.rank, a.due, &a.job).cmp(&(b.rank, b.due, &b.job)));
        turns
    }

    /// A machine as placement sees it for one job.
    fn seat(&self, id: &JobId, open: &Open, m: &Machine, urgent: bool, env: &Env) -> Seat {
        let job = self.jobs.get(id);
        let zone = env.cfg.settings.deployment.zones.get(m.zone);
        let spec = job.and_then(|j| j.spec());
        let allowed = spec.is_some_and(|spec| {
            m.allowed_for(spec, zone)
                && (!spec.zones_bound() || zone.is_some())
                && !self.kept_from(spec, &open.name, m, env)
        }) && (m.error_streak.is_empty()
            || job.is_some_and(|j| !j.failed_on.contains(&open.name)));
        let cap = if !allowed {
            0
        } else if m.error_streak.is_empty() {
            u32::MAX
        } else {
            // It failed a task and completed none since: one at a time.
            1u32.saturating_sub(m.listed.len() as u32)
        };
        let image = job.map_or(Image::Absent, |j| m.image(j.image));
        Seat {
            free: open.free,
            zone: m.zone,
            cap,
            spared: spec.is_some_and(|s| s.spot) && !m.spot,
            image,
            fetches: m.images.coming.len(),
            delay: spec
                .filter(|_| urgent)
                .map_or(0, |s| self.delay(s, image, m, env)),
        }
    }

    /// How soon a task could run on a machine, in quarters of the time between two reports: commands
    /// ride on reports, and the image may have to be fetched, sharing the line with others.
    fn delay(&self, spec: &JobSpec, image: Image, m: &Machine, env: &Env) -> u32 {
        let report_ms = env.cfg.settings.report_ms().max(1);
        let rate = env.types.get(&m.model).map_or(0.0, |t| t.fetch_gb_per_s);
        let fetch_ms = if rate > 0.0 {
            seconds_to_ms(spec.pull_gb / rate)
        } else {
            0
        };
        let fetch_ms = match image {
            Image::Cached => 0,
            Image::Coming => fetch_ms / 2,
            Image::Absent => fetch_ms * (1 + m.images.coming.len() as u64),
        };
        let report_in = match m.held {
            Some(_) => 0,
            None => report_ms.saturating_sub(env.out.now.since(m.heard)),
        };
        ((fetch_ms + report_in) * 4 / report_ms).min(1_000) as u32
    }

    /// One pass of placement over the waiting jobs.
    pub(super) fn place(&mut self, env: &mut Env) {
        let now = env.now();
        let due = self.dirty && now.since(self.placed_at) >= PASS_GAP_MS;
        if !due || !self.ready || self.deposed {
            return;
        }
        self.dirty = false;
        self.placed_at = now;
        let mut rooms = self.rooms(env);
        self.keep(env);
        let mut load = Load::default();
        for m in self.machines.values() {
            if let Some(kind) = env.types.get(&m.model) {
                load.capacity.add(kind.room());
                load.booked.add(m.used);
            }
        }
        self.capacity_cpus = load.capacity.cpus;
        let waiting = || self.jobs.values().filter(|j| j.waits());
        let weights = placement::weights(
            waiting().filter_map(|j| j.spec()),
            env.cfg.ops.default_run_s,
            load,
        );
        let mut used = self.used();
        self.short_of.clear();
        let turns = self.turns(now, env);
        for equals in turns.chunk_by(|a, b| (a.rank.0, a.rank.1) == (b.rank.0, b.rank.1)) {
            // A fetch often takes longer than the task: jobs that can still wait leave room on
            // machines without their image to those that need no fetch there.
            for turn in equals {
                self.place_job(turn, turn.patient, &mut rooms, weights, &mut used, env);
            }
            for turn in equals.iter().filter(|t| t.patient) {
                self.place_job(turn, false, &mut rooms, weights, &mut used, env);
            }
        }
        self.dirty = false;
        self.find_overrun(env);
        self.kept_room = self.kept_room(&rooms, env);
        self.free_cpus = rooms.iter().map(|r| r.free.cpus.max(0.0)).sum::<f64>()
            - self.kept_room.values().map(|k| k.free).sum::<f64>();
        let waiting = || self.jobs.values().filter(|j| j.waits());
        let empty = |spec: &JobSpec, r: &Open| spec.room.fits_in(r.whole);
        self.waiting_here = waiting().filter_map(|j| j.spec()).any(|spec| {
            let mut rooms = rooms.iter();
            rooms.any(|r| empty(spec, r) && self.takes(spec, r, env))
        });
        self.waiting_cpus = waiting()
            .filter_map(|j| Some(j.spec()?.room.cpus * f64::from(j.view.waiting.len())))
            .sum();
    }

    /// Starts as many of a job's waiting tasks as limits and room allow, on any machine or only
    /// where its image is or is being fetched.
    fn place_job(
        &mut self,
        turn: &Turn,
        only_with_image: bool,
        rooms: &mut [Open],
        weights: Room,
        used_grant: &mut HashMap<Team, Grant>,
        env: &Env,
    ) {
        let now = env.now();
        let id = &turn.job;
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let Some(spec) = job.spec() else {
            return;
        };
        let mut want = job.view.waiting.len();
        if job.failures >= 2 && job.view.finished.is_empty() {
            // Nothing of it has worked yet: try a single task at a time.
            want = want.min(1u32.saturating_sub(job.started));
        }
        let names = rooms.iter().map(|r| r.name.as_str().len()).max();
        let most = env
            .terms
            .startable(&job.view, job.started, names.unwrap_or(0));
        want = want.min(most);
        if want == 0 {
            return;
        }
        // Only machines with room for a task are looked at.
        let open: Vec<usize> = (0..rooms.len())
            .filter(|i| spec.room.fits_in(rooms[*i].free))
            .collect();
        let seats: Vec<Seat> = open
            .iter()
            .filter_map(|i| {
                let m = self.machines.get(&rooms[*i].name)?;
                let mut seat = self.seat(id, &rooms[*i], m, turn.urgent, env);
                if only_with_image && seat.image == Image::Absent {
                    seat.cap = 0;
                }
                Some(seat)
            })
            .collect();
        if seats.len() != open.len() || seats.iter().all(|s| s.cap == 0) {
            return;
        }
        let mut zones = ZoneRule {
            together: spec.together,
            most: spec.apart.then(|| spec.tasks.div_ceil(2)),
            ..ZoneRule::default()
        };
        if spec.zones_bound() {
            for (m, spans) in &job.view.started {
                let zone = self.machines.get(m).map(|m| m.zone);
                zones.hold(zone.filter(|z| *z != usize::MAX), spans.len());
            }
        }
        let (room, team, image) = (spec.room, spec.team.clone(), job.image);
        let mut chosen = placement::place(room, want, &seats, weights, &mut zones);
        let granted = self.granted(&team, env);
        let used = used_grant.entry(team.clone()).or_default();
        let headroom = Room {
            cpus: granted.cpus - used.cpus,
            gpus: granted.gpus - used.gpus,
            mem: f64::MAX / 4.0,
        };
        let covered = Room { mem: 0.0, ..room }.count_in(headroom);
        // What would fit but is not covered by the grant is asked for; a grant without room
        // on machines would only be moved to and fro.
        let fits: u32 = chosen.iter().map(|(_, n)| n).sum();
        if fits > covered {
            let lacking = self.short_of.entry(team).or_default();
            lacking.cpus += room.cpus * f64::from(fits - covered);
            lacking.gpus += room.gpus * f64::from(fits - covered);
            let mut left = covered;
            for (_, n) in &mut chosen {
                *n = (*n).min(left);
                left -= *n;
            }
        }
        for (seat, count) in chosen.into_iter().filter(|(_, n)| *n > 0) {
            self.placed[seats[seat].image as usize] += u64::from(count);
            let open = &mut rooms[open[seat]];
            for _ in 0..count {
                let first = self.jobs.get(id).and_then(|j| j.view.waiting.first());
                let Some((task, attempt)) = first else {
                    break;
                };
                let step = Step {
                    task,
                    attempt,
                    machine: open.name.clone(),
                    what: StepKind::Start,
                };
                if !self.step(now, id, step) {
                    break;
                }
                open.free.sub(room);
                used.cpus += room.cpus;
                used.gpus += room.gpus;
            }
            if let Some(m) = self.machines.get_mut(&open.name) {
                m.idle_since = None;
                if !m.images.has(image) {
                    m.images.coming.insert(image);
                }
            }
        }
    }
}

/// The jobs that fit into their team's guarantee together with the team's earlier unfinished ones.
pub(super) fn within_guarantee(env: &Env) -> HashSet<JobId> {
    let mut open: Vec<(WallMs, &JobId, &JobSpec)> = env
        .mirror
        .jobs
        .iter()
        .filter(|(id, r)| r.value.state == JobState::Open && env.graph.is_ready(id, &r.value))
        .filter_map(|(id, r)| Some((r.value.submitted, id, r.value.spec.as_ref()?)))
        .collect();
    open.sort_by(|a, b| (a.0, a.1).cmp(&(b.0, b.1)));
    let mut left: HashMap<&str, Room> = env
        .cfg
        .settings
        .deployment
        .teams
        .iter()
        .map(|t| {
            let room = Room {
                cpus: t.cpus,
                gpus: t.gpus,
                mem: f64::MAX / 4.0,
            };
            (t.name.as_str(), room)
        })
        .collect();
    let mut within = HashSet::new();
    for (_, id, spec) in open {
        if let Some(left) = left.get_mut(spec.team.as_str()) {
            let whole = spec.room.times(f64::from(spec.tasks));
            if whole.fits_in(*left) {
                within.insert(id.clone());
            }
            left.sub(whole);
        }
    }
    within
}
