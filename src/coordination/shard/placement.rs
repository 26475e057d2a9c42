//! Passes of placement over the part's waiting jobs and open machines.

use super::Shard;
use super::job::ShardJob;
use super::queue::QueuedJob;
use super::reservations::MachineReservation;
use crate::coordination::context::Context;
use crate::coordination::images::Images;
use crate::coordination::placement::{self, Image, Load, MachineCandidate, ZoneRule};
use snowshelf_calendar::calendar::Pool;
use snowshelf_fair_share::grants::QuotaShortfall;
use snowshelf_machine_index::capacity_index;
use snowshelf_machine_index::unplaceable::{Shape, UnplaceableShapes};
use snowshelf_model::ids::{JobId, MachineId, Team, WallClockMillis, seconds_to_ms};
use snowshelf_model::protocol::worker::TaskState;
use snowshelf_model::records::{AllocationChange, AllocationChangeKind, Grant, JobSpec, Resources};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// The least time between two passes: reports that come in between share one.
const PASS_GAP_MS: u64 = 50;

/// What is offered is looked for this often: it takes a look at each job that waits.
const OFFERS_GAP_MS: u64 = 1_000;
/// So many jobs are offered to the other parts at a time.
const OFFERS: usize = 20;
/// A job that no machine here could run is offered after so long; machines may be on their way.
const STRANDED_MS: u64 = 10_000;
/// A job of which nothing is on a machine here is offered after so long: half of the time for which the users let a job
/// wait while there is room for it.
const OVERDUE_MS: u64 = 45_000;

/// What makes machines equal to every job, but for their room, images and failures.
pub(super) struct MachineClass {
    pub model: String,
    pub zone: usize,
    pub spot: bool,
    pub pool: Option<Pool>,
    pub kept: Option<MachineReservation>,
}

/// A sort but for what is kept: model, zone, spot or not.
pub(super) type MachineKind = (String, usize, bool);

impl MachineClass {
    pub fn kind(&self) -> MachineKind {
        (self.model.clone(), self.zone, self.spot)
    }
}

/// Why a job is offered to other parts, which take it where it fits at once though others wait there: what is free
/// after a pass is free because it fits none of them.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum StealOffer {
    /// No machine of its part could run it.
    Stranded,
    /// Nothing of it is on a machine.
    Overdue,
}

/// What waits in a part and its machines, held against each other.
#[derive(Default)]
pub(super) struct Match {
    /// Tasks wait that some machine here could run, were it empty.
    pub any: bool,
    /// Kinds of machines with room that nothing which waits here could use.
    pub idle: BTreeSet<MachineKind>,
    /// Jobs that others may take, those that came first.
    pub offers: Vec<(JobId, StealOffer)>,
}

/// A machine that may take tasks, as a pass sees it.
pub(super) struct Open {
    pub name: MachineId,
    /// What it would have free without any task.
    pub whole: Resources,
    /// It has failed a task and completed none since.
    pub faulty: bool,
    listed: u32,
    images: Images,
    /// When its next report comes, from now.
    report_in_ms: u64,
    fetch_gb_per_s: f64,
}

pub(super) type CapacityIndex = capacity_index::CapacityIndex<MachineClass, Open>;

/// What a pass has used of the machines and of the teams' grants so far.
pub(super) struct Pass {
    pub capacity_index: CapacityIndex,
    /// Machines held, and for whom.
    pub held: BTreeMap<MachineId, JobId>,
    /// The longest name of a machine.
    names: usize,
    weights: Resources,
    pub used: HashMap<Team, Grant>,
    unplaceable: UnplaceableShapes,
}

/// Where a job's tasks may be placed.
#[derive(Clone, PartialEq)]
pub(super) enum Where {
    Anywhere,
    /// Only where its image is or is being fetched.
    WithImage,
    /// On the machine that is held for it.
    On(MachineId),
}

impl Shard {
    /// Works out anew what is taken on machines whose picture or report has changed.
    pub(super) fn freshen(&mut self) {
        let (jobs, on) = (&self.jobs, &self.on);
        for (name, m) in self.machines.iter_mut().filter(|(_, m)| m.stale) {
            m.stale = false;
            m.used = Resources::default();
            m.strays.clear();
            for id in on.get(name).into_iter().flatten() {
                if let Some(job) = jobs.get(id)
                    && let Some(spec) = job.spec()
                    && let Some(spans) = job.view.started.get(name)
                {
                    m.used.add(spec.resources.times(f64::from(spans.len())));
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
                    Some(job) => m
                        .used
                        .add(job.spec().map(|s| s.resources).unwrap_or_default()),
                    // A stray of unknown size: nothing is placed until it is gone.
                    None => m.used.add(Resources {
                        cpus: 1e9,
                        gpus: 0.0,
                        mem: 1e9,
                    }),
                }
            }
        }
    }

    /// The machines that may take tasks now.
    pub(super) fn capacity_index(&mut self, context: &Context) -> CapacityIndex {
        self.freshen();
        let report_ms = context.config.settings.report_ms().max(1);
        let fresh_ms = 2 * context.config.settings.report_ms() + 1_000;
        let now = context.now();
        let mut capacity_index = CapacityIndex::default();
        for (name, m) in self.machines.iter().filter(|(_, m)| m.open(now, fresh_ms)) {
            let Some(kind) = context.types.get(&m.model) else {
                continue;
            };
            let whole = kind.room();
            let mut free = whole;
            free.sub(m.used);
            let kept = self.kept.get(name);
            let same = |s: &MachineClass| {
                s.zone == m.zone
                    && s.spot == m.spot
                    && s.model == m.model
                    && s.pool == m.pool
                    && s.kept.as_ref() == kept
            };
            let key = || MachineClass {
                model: m.model.clone(),
                zone: m.zone,
                spot: m.spot,
                pool: m.pool.clone(),
                kept: kept.cloned(),
            };
            let open = Open {
                name: name.clone(),
                whole,
                faulty: !m.error_streak.is_empty(),
                listed: m.listed.len() as u32,
                images: m.images.clone(),
                report_in_ms: match m.held {
                    Some(_) => 0,
                    None => report_ms.saturating_sub(now.since(m.heard)),
                },
                fetch_gb_per_s: kind.fetch_gb_per_s,
            };
            capacity_index.push(same, key, free, open);
        }
        capacity_index
    }

    /// How many tasks of a job could start in these rooms, of the sorts that count.
    pub(super) fn fit(
        &self,
        spec: &JobSpec,
        capacity_index: &mut CapacityIndex,
        counts: impl Fn(&MachineClass) -> bool,
        context: &Context,
    ) -> u32 {
        let allowed =
            capacity_index.allowed(|sort| counts(sort) && self.takes(spec, sort, context));
        let fitting = capacity_index.fitting(spec.resources, &allowed);
        let usable = fitting.iter().map(|at| &capacity_index.entries()[*at]);
        let usable = usable.filter(|e| !e.what.faulty);
        usable.fold(0, |n, e| n.saturating_add(spec.resources.count_in(e.free)))
    }

    /// Whether machines of a sort that work may run this job.
    pub(super) fn takes(&self, spec: &JobSpec, sort: &MachineClass, context: &Context) -> bool {
        let zone = context.config.settings.deployment.zones.get(sort.zone);
        sort.allowed_for(spec, zone)
            && !self.kept_from(spec, sort.pool.as_ref(), sort.kept.as_ref(), context)
    }

    /// A machine that a job may use, as placement sees it.
    fn seat(
        job: &ShardJob,
        spec: &JobSpec,
        at: usize,
        urgent: bool,
        pass: &Pass,
        context: &Context,
    ) -> MachineCandidate {
        let entry = &pass.capacity_index.entries()[at];
        let (open, sort) = (&entry.what, pass.capacity_index.key(entry));
        let cap = if !open.faulty {
            u32::MAX
        } else if job.failed_on.contains(&open.name) {
            0
        } else {
            // It failed a task and completed none since: one at a time.
            1u32.saturating_sub(open.listed)
        };
        let image = open.images.state(job.image);
        MachineCandidate {
            free: entry.free,
            zone: sort.zone,
            cap,
            spared: spec.spot && !sort.spot,
            image,
            fetches: open.images.coming.len(),
            delay: if urgent {
                delay(spec, image, open, context)
            } else {
                0
            },
        }
    }

    /// One pass of placement over the waiting jobs.
    pub(super) fn place(&mut self, context: &mut Context) {
        let now = context.now();
        let due = self.dirty && now.since(self.placed_at) >= PASS_GAP_MS;
        if !due || !self.ready || self.deposed {
            return;
        }
        self.dirty = false;
        self.placed_at = now;
        self.freshen();
        self.keep(context);
        let capacity_index = self.capacity_index(context);
        let mut load = Load::default();
        for m in self.machines.values() {
            if let Some(kind) = context.types.get(&m.model) {
                load.capacity.add(kind.room());
                load.booked.add(m.used);
            }
        }
        self.capacity_cpus = load.capacity.cpus;
        let waiting = || self.jobs.values().filter(|j| j.waits());
        let weights = placement::weights(
            waiting().filter_map(|j| j.spec()),
            context.config.ops.default_run_s,
            load,
        );
        let names = capacity_index
            .entries()
            .iter()
            .map(|e| e.what.name.as_str().len());
        let mut pass = Pass {
            names: names.max().unwrap_or(0),
            held: BTreeMap::new(),
            capacity_index,
            weights,
            used: self.used(),
            unplaceable: UnplaceableShapes::default(),
        };
        self.short_of.clear();
        let turns = self.turns(now, context);
        self.hold(&turns, &mut pass, context);
        for equals in turns.chunk_by(|a, b| (a.rank.0, a.rank.1) == (b.rank.0, b.rank.1)) {
            // A fetch often takes longer than the task: jobs that can still wait leave room on
            // machines without their image to those that need no fetch there.
            for turn in equals {
                let at = if turn.patient {
                    Where::WithImage
                } else {
                    Where::Anywhere
                };
                self.place_job(turn, &at, &mut pass, context);
            }
            for turn in equals.iter().filter(|t| t.patient) {
                self.place_job(turn, &Where::Anywhere, &mut pass, context);
            }
        }
        self.dirty = false;
        self.find_overrun(context);
        let capacity_index = pass.capacity_index;
        self.kept_room = self.kept_room(&capacity_index, context);
        let free = capacity_index
            .entries()
            .iter()
            .map(|e| e.free.cpus.max(0.0));
        self.free_cpus = free.sum::<f64>() - self.kept_room.values().map(|k| k.free).sum::<f64>();
        let offers_due = now.since(self.offers_at) >= OFFERS_GAP_MS;
        let offers = std::mem::take(&mut self.matched.offers);
        self.matched = self.match_up(&capacity_index, offers_due, context);
        match offers_due {
            true => self.offers_at = now,
            false => self.matched.offers = offers,
        }
        let waiting = self.jobs.values().filter(|j| j.waits());
        self.waiting_cpus = waiting
            .filter_map(|j| Some(j.spec()?.resources.cpus * f64::from(j.view.waiting.len())))
            .sum();
    }

    /// Which jobs that wait here some machine could run, were it empty, and which machines none of them could use.
    /// Guards against one job that is bound to a zone whose machines are full, and keeps the idle ones of another from
    /// everybody.
    fn match_up(
        &self,
        capacity_index: &CapacityIndex,
        offers_due: bool,
        context: &Context,
    ) -> Match {
        // Of each sort that works: what a machine has without tasks, and whether any has room.
        let sorts = capacity_index.groups().filter_map(|(sort, machines)| {
            let mut works = machines.filter(|e| !e.what.faulty).peekable();
            let whole = works.peek()?.what.whole;
            Some((sort, whole, works.any(|e| e.free.cpus > 0.0)))
        });
        let sorts: Vec<(&MachineClass, Resources, bool)> = sorts.collect();
        let wants = |spec: &JobSpec, (sort, whole, _): &(&MachineClass, Resources, bool)| {
            spec.resources.fits_in(*whole) && self.takes(spec, sort, context)
        };
        let mut unwanted: Vec<&(&MachineClass, Resources, bool)> = sorts.iter().collect();
        let mut wanted = BTreeSet::new();
        let mut offers: Vec<(WallClockMillis, &JobId, StealOffer)> = Vec::new();
        for (id, job) in self.jobs.iter().filter(|(_, j)| j.waits()) {
            let Some(spec) = job.spec() else { continue };
            if unwanted.is_empty() && !offers_due {
                break;
            }
            let stranded = !sorts.iter().any(|sort| wants(spec, sort));
            let waited_ms = context.waited_ms(id, &job.spec);
            let offer = match stranded {
                true if waited_ms >= STRANDED_MS => Some(StealOffer::Stranded),
                false if waited_ms >= OVERDUE_MS && job.started == 0 => Some(StealOffer::Overdue),
                _ => None,
            };
            // What has begun of a bound job keeps the rest here.
            let movable = !spec.zones_bound() || job.started == 0;
            offers.extend(
                offer
                    .filter(|_| movable)
                    .map(|o| (job.spec.submitted, id, o)),
            );
            if stranded {
                continue;
            }
            unwanted.retain(|sort| {
                let wants = wants(spec, sort);
                if wants {
                    wanted.insert(sort.0.kind());
                }
                !wants
            });
        }
        offers.sort_unstable();
        let offers = offers.into_iter().take(OFFERS);
        let roomy = unwanted.iter().filter(|(_, _, room)| *room);
        let idle = roomy.map(|(sort, _, _)| sort.kind());
        Match {
            idle: idle.filter(|kind| !wanted.contains(kind)).collect(),
            any: !wanted.is_empty(),
            offers: offers.map(|(_, id, offer)| (id.clone(), offer)).collect(),
        }
    }

    /// Starts as many of a job's waiting tasks as limits and room allow.
    pub(super) fn place_job(
        &mut self,
        turn: &QueuedJob,
        at: &Where,
        pass: &mut Pass,
        context: &Context,
    ) {
        let now = context.now();
        let only_with_image = *at == Where::WithImage;
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
        if want == 0 {
            return;
        }
        let zones = &context.config.settings.deployment.zones;
        let allowed = pass.capacity_index.allowed(|sort| {
            self.takes(spec, sort, context) && (!spec.zones_bound() || sort.zone < zones.len())
        });
        if allowed.none() {
            return;
        }
        let image = only_with_image.then_some(job.image);
        let shape = Shape::new(spec.resources, allowed.clone(), image);
        let held = matches!(at, Where::On(_));
        if !held && pass.unplaceable.is(&shape) {
            return;
        }
        want = want.min(
            context
                .storage_limits
                .startable(&job.view, job.started, pass.names),
        );
        if want == 0 {
            return;
        }
        // Only machines with room for a task are looked at.
        let mut open = pass.capacity_index.fitting(spec.resources, &allowed);
        let mut seats: Vec<MachineCandidate> = Vec::with_capacity(open.len());
        open.retain(|entry| {
            let name = &pass.capacity_index.entries()[*entry].what.name;
            let ours = match at {
                Where::On(machine) => machine == name,
                _ => pass.held.get(name).is_none_or(|whose| whose == id),
            };
            if !ours {
                return false;
            }
            let seat = Self::seat(job, spec, *entry, turn.urgent, pass, context);
            let usable = seat.cap > 0 && !(only_with_image && seat.image == Image::Absent);
            if usable {
                seats.push(seat);
            }
            usable
        });
        if seats.is_empty() {
            // It may be barred from machines that are open to others.
            if job.failed_on.is_empty() && !held {
                pass.unplaceable.note(shape);
            }
            return;
        }
        let mut zones = ZoneRule {
            together: spec.gang,
            most: spec.spread.then(|| spec.tasks.div_ceil(2)),
            ..ZoneRule::default()
        };
        if spec.zones_bound() {
            for (m, spans) in &job.view.started {
                let zone = self.machines.get(m).map(|m| m.zone);
                zones.hold(zone.filter(|z| *z != usize::MAX), spans.len());
            }
        }
        let (room, team, image) = (spec.resources, spec.team.clone(), job.image);
        let mut chosen = placement::place(room, want, &seats, pass.weights, &mut zones);
        let granted = self.granted(&team, context);
        let used = pass.used.entry(team.clone()).or_default();
        let headroom = Resources {
            cpus: granted.cpus - used.cpus,
            gpus: granted.gpus - used.gpus,
            mem: f64::MAX / 4.0,
        };
        let covered = Resources { mem: 0.0, ..room }.count_in(headroom);
        // What would fit but is not covered by the grant is asked for; a grant without room
        // on machines would only be moved to and fro.
        let fits: u32 = chosen.iter().map(|(_, n)| n).sum();
        if fits > covered {
            let lacking = self.short_of.entry(team).or_insert(QuotaShortfall {
                all: Grant::default(),
                task: Grant::from(room),
            });
            let more = room.times(f64::from(fits - covered));
            lacking.all.add(Grant::from(more));
            lacking.task.cpus = lacking.task.cpus.min(room.cpus);
            lacking.task.gpus = lacking.task.gpus.min(room.gpus);
            let mut left = covered;
            for (_, n) in &mut chosen {
                *n = (*n).min(left);
                left -= *n;
            }
        }
        for (seat, count) in chosen.into_iter().filter(|(_, n)| *n > 0) {
            self.placed[seats[seat].image as usize] += u64::from(count);
            let at = open[seat];
            let name = pass.capacity_index.entries()[at].what.name.clone();
            for _ in 0..count {
                let first = self.jobs.get(id).and_then(|j| j.view.waiting.first());
                let Some((task, attempt)) = first else {
                    break;
                };
                let step = AllocationChange {
                    task,
                    attempt,
                    machine: name.clone(),
                    kind: AllocationChangeKind::Start,
                };
                if !self.step(now, id, step) {
                    break;
                }
                pass.capacity_index.take(at, room);
                used.add(Grant::from(room));
            }
            if let Some(m) = self.machines.get_mut(&name) {
                m.idle_since = None;
                if !m.images.has(image) {
                    m.images.coming.insert(image);
                    pass.capacity_index.entry(at).images.coming.insert(image);
                    pass.unplaceable.comes(image);
                }
            }
        }
    }
}

impl MachineClass {
    /// Whether the job may run on this type, in this zone and on this kind of machine.
    fn allowed_for(&self, spec: &JobSpec, zone: Option<&String>) -> bool {
        (!self.spot || spec.spot)
            && spec.types.as_ref().is_none_or(|t| t.contains(&self.model))
            && spec.zone.as_ref().is_none_or(|z| zone == Some(z))
    }
}

/// How soon a task could run on a machine, in quarters of the time between two reports: commands
/// ride on reports, and the image may have to be fetched, sharing the line with others.
fn delay(spec: &JobSpec, image: Image, open: &Open, context: &Context) -> u32 {
    let report_ms = context.config.settings.report_ms().max(1);
    let rate = open.fetch_gb_per_s;
    let fetch_ms = if rate > 0.0 {
        seconds_to_ms(spec.pull_gb / rate)
    } else {
        0
    };
    let fetch_ms = match image {
        Image::Cached => 0,
        Image::Coming => fetch_ms / 2,
        Image::Absent => fetch_ms * (1 + open.images.coming.len() as u64),
    };
    ((fetch_ms + open.report_in_ms) * 4 / report_ms).min(1_000) as u32
}
