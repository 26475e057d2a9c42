//! Passes of placement over the part's waiting jobs and open machines.

use super::Shard;
use super::job::ShardJob;
use super::machine::UNKNOWN_ZONE;
use super::queue::QueuedJob;
use super::reservations::MachineReservation;
use crate::coordination::context::Context;
use crate::coordination::images::Images;
use crate::coordination::placement::{self, Image, Load, MachineCandidate, ZoneRule};
use snowshelf_calendar::calendar::Pool;
use snowshelf_fair_share::grants::QuotaShortfall;
use snowshelf_machine_index::capacity_index;
use snowshelf_machine_index::unplaceable::{Shape, UnplaceableShapes};
use snowshelf_model::ids::{
    JobId, MachineId, MonotonicMillis, Team, WallClockMillis, seconds_to_ms,
};
use snowshelf_model::protocol::worker::TaskState;
use snowshelf_model::records::{AllocationChange, AllocationChangeKind, Grant, JobSpec, Resources};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// The least time between two passes: reports that come in between share one.
const PASS_INTERVAL_MS: u64 = 50;

/// What is offered is looked for this often: it takes a look at each job that waits.
const OFFERS_INTERVAL_MS: u64 = 1_000;
/// So many jobs are offered to the other parts at a time.
const MAX_OFFERS: usize = 20;
/// A job that no machine here could run is offered after so long; machines may be on their way.
const STRANDED_AFTER_MS: u64 = 10_000;
/// A job of which nothing is on a machine here is offered after so long: half of the time for which the users let a job
/// wait while there is room for it.
const OVERDUE_AFTER_MS: u64 = 45_000;

/// What makes machines equal to every job, but for their room, images and failures.
pub(super) struct MachineClass {
    pub model: String,
    pub zone: usize,
    pub spot: bool,
    pub pool: Option<Pool>,
    pub kept: Option<MachineReservation>,
}

/// A class but for what is kept: model, zone, spot or not.
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
pub(super) struct DemandMatch {
    /// Tasks wait that some machine here could run, were it empty.
    pub any: bool,
    /// Kinds of machines with room that nothing which waits here could use.
    pub idle: BTreeSet<MachineKind>,
    /// Jobs that others may take, those that came first.
    pub offers: Vec<(JobId, StealOffer)>,
}

/// When placement ran and what came of it.
pub(super) struct PlacementState {
    /// Something changed that placement may use.
    pub dirty: bool,
    pub last_pass_at: MonotonicMillis,
    offers_updated_at: MonotonicMillis,
    pub demand: DemandMatch,
}

impl Default for PlacementState {
    fn default() -> PlacementState {
        PlacementState {
            dirty: true,
            last_pass_at: MonotonicMillis(0),
            offers_updated_at: MonotonicMillis(0),
            demand: DemandMatch::default(),
        }
    }
}

/// A machine that may take tasks, as a pass sees it.
pub(super) struct IndexedCapacity {
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

pub(super) type CapacityIndex = capacity_index::CapacityIndex<MachineClass, IndexedCapacity>;

/// What a pass has used of the machines and of the teams' grants so far.
pub(super) struct PlacementPass {
    pub capacity_index: CapacityIndex,
    /// Machines held, and for whom.
    pub held: BTreeMap<MachineId, JobId>,
    /// The longest name of a machine.
    names: usize,
    weights: Resources,
    pub used: HashMap<Team, Grant>,
    unplaceable: UnplaceableShapes,
}

/// PlacementScope a job's tasks may be placed.
#[derive(Clone, PartialEq)]
pub(super) enum PlacementScope {
    Anywhere,
    /// Only where its image is or is being fetched.
    WithImage,
    /// On the machine that is held for it.
    On(MachineId),
}

impl Shard {
    /// Works out anew what is taken on machines whose picture or report has changed.
    pub(super) fn refresh_usage(&mut self) {
        let jobs = &self.jobs;
        for (name, m) in self.machines.iter_mut().filter(|(_, m)| m.usage_dirty) {
            m.usage_dirty = false;
            m.used = Resources::default();
            m.orphaned_tasks.clear();
            for (_, job) in jobs.on_machine(name) {
                if let Some(spec) = job.spec()
                    && let Some(ranges) = job.desired.started.get(name)
                {
                    m.used.add(spec.resources.times(f64::from(ranges.len())));
                }
            }
            for item in m
                .reported_tasks
                .iter()
                .filter(|t| t.state != TaskState::Exited)
            {
                let job = jobs.get(&item.task.job);
                let held = job.and_then(|j| j.desired.started_on(name, item.task.task));
                if held == Some(item.attempt) {
                    continue;
                }
                m.orphaned_tasks.push(item.task.job.clone());
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
        self.refresh_usage();
        let heartbeat_ms = context.config.settings.report_ms().max(1);
        let max_silence_ms = 2 * context.config.settings.report_ms() + 1_000;
        let now = context.now();
        let mut capacity_index = CapacityIndex::default();
        for (name, m) in self
            .machines
            .iter()
            .filter(|(_, m)| m.accepts_tasks(now, max_silence_ms))
        {
            let Some(kind) = context.types.get(&m.model) else {
                continue;
            };
            let whole = kind.room();
            let mut free = whole;
            free.sub(m.used);
            let kept = self.reservations.by_machine.get(name);
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
            let open = IndexedCapacity {
                name: name.clone(),
                whole,
                faulty: !m.failed_jobs.is_empty(),
                listed: m.reported_tasks.len() as u32,
                images: m.images.clone(),
                report_in_ms: match m.deferred_response {
                    Some(_) => 0,
                    None => heartbeat_ms.saturating_sub(now.since(m.last_heartbeat_at)),
                },
                fetch_gb_per_s: kind.fetch_gb_per_s,
            };
            capacity_index.push(same, key, free, open);
        }
        capacity_index
    }

    /// How many tasks of a job could start in these rooms, of the classes that count.
    pub(super) fn count_fitting(
        &self,
        spec: &JobSpec,
        capacity_index: &mut CapacityIndex,
        counts: impl Fn(&MachineClass) -> bool,
        context: &Context,
    ) -> u32 {
        let allowed =
            capacity_index.allowed(|class| counts(class) && self.is_eligible(spec, class, context));
        let fitting = capacity_index.fitting(spec.resources, &allowed);
        let usable = fitting.iter().map(|at| &capacity_index.entries()[*at]);
        let usable = usable.filter(|e| !e.what.faulty);
        usable.fold(0, |n, e| n.saturating_add(spec.resources.count_in(e.free)))
    }

    /// Whether machines of a class that work may run this job.
    pub(super) fn is_eligible(
        &self,
        spec: &JobSpec,
        class: &MachineClass,
        context: &Context,
    ) -> bool {
        let zone = context.config.settings.deployment.zones.get(class.zone);
        class.allowed_for(spec, zone)
            && !self.is_reserved_for_others(spec, class.pool.as_ref(), class.kept.as_ref(), context)
    }

    /// A machine that a job may use, as placement sees it.
    fn candidate(
        job: &ShardJob,
        spec: &JobSpec,
        at: usize,
        urgent: bool,
        pass: &PlacementPass,
        context: &Context,
    ) -> MachineCandidate {
        let entry = &pass.capacity_index.entries()[at];
        let (open, class) = (&entry.what, pass.capacity_index.key(entry));
        let cap = if !open.faulty {
            u32::MAX
        } else if job.failed_on.contains(&open.name) {
            0
        } else {
            // It failed a task and completed none since: one at a time.
            1u32.saturating_sub(open.listed)
        };
        let image = open.images.state(job.image_id);
        MachineCandidate {
            free: entry.free,
            zone: class.zone,
            cap,
            spared: spec.spot && !class.spot,
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
        let due =
            self.placement.dirty && now.since(self.placement.last_pass_at) >= PASS_INTERVAL_MS;
        if !due || !self.ready || self.fenced {
            return;
        }
        self.placement.dirty = false;
        self.placement.last_pass_at = now;
        self.refresh_usage();
        self.reserve_machines(context);
        let capacity_index = self.capacity_index(context);
        let mut load = Load::default();
        for m in self.machines.values() {
            if let Some(kind) = context.types.get(&m.model) {
                load.capacity.add(kind.room());
                load.booked.add(m.used);
            }
        }
        self.load.capacity_cpus = load.capacity.cpus;
        let waiting = || self.jobs.values().filter(|j| j.is_waiting());
        let weights = placement::weights(
            waiting().filter_map(|j| j.spec()),
            context.config.ops.default_run_s,
            load,
        );
        let names = capacity_index
            .entries()
            .iter()
            .map(|e| e.what.name.as_str().len());
        let mut pass = PlacementPass {
            names: names.max().unwrap_or(0),
            held: BTreeMap::new(),
            capacity_index,
            weights,
            used: self.used_quota(),
            unplaceable: UnplaceableShapes::default(),
        };
        self.quotas.shortfalls.clear();
        let queue = self.queue_order(now, context);
        self.reserve_for_backfill(&queue, &mut pass, context);
        for equals in queue.chunk_by(|a, b| (a.rank.0, a.rank.1) == (b.rank.0, b.rank.1)) {
            // A fetch often takes longer than the task: jobs that can still wait leave room on
            // machines without their image to those that need no fetch there.
            for queued in equals {
                let at = if queued.patient {
                    PlacementScope::WithImage
                } else {
                    PlacementScope::Anywhere
                };
                self.place_job(queued, &at, &mut pass, context);
            }
            for queued in equals.iter().filter(|t| t.patient) {
                self.place_job(queued, &PlacementScope::Anywhere, &mut pass, context);
            }
        }
        self.placement.dirty = false;
        self.find_preemptible(context);
        let capacity_index = pass.capacity_index;
        self.reservations.capacity = self.reserved_capacity(&capacity_index, context);
        let free = capacity_index
            .entries()
            .iter()
            .map(|e| e.free.cpus.max(0.0));
        self.load.free_cpus = free.sum::<f64>()
            - self
                .reservations
                .capacity
                .values()
                .map(|k| k.free)
                .sum::<f64>();
        let offers_due = now.since(self.placement.offers_updated_at) >= OFFERS_INTERVAL_MS;
        let offers = std::mem::take(&mut self.placement.demand.offers);
        self.placement.demand = self.match_demand(&capacity_index, offers_due, context);
        match offers_due {
            true => self.placement.offers_updated_at = now,
            false => self.placement.demand.offers = offers,
        }
        let waiting = self.jobs.values().filter(|j| j.is_waiting());
        self.load.waiting_cpus = waiting
            .filter_map(|j| Some(j.spec()?.resources.cpus * f64::from(j.desired.waiting.len())))
            .sum();
    }

    /// Which jobs that wait here some machine could run, were it empty, and which machines none of them could use.
    /// Guards against one job that is bound to a zone whose machines are full, and keeps the idle ones of another from
    /// everybody.
    fn match_demand(
        &self,
        capacity_index: &CapacityIndex,
        offers_due: bool,
        context: &Context,
    ) -> DemandMatch {
        // Of each class that works: what a machine has without tasks, and whether any has room.
        let classes = capacity_index.groups().filter_map(|(class, machines)| {
            let mut works = machines.filter(|e| !e.what.faulty).peekable();
            let whole = works.peek()?.what.whole;
            Some((class, whole, works.any(|e| e.free.cpus > 0.0)))
        });
        let classes: Vec<(&MachineClass, Resources, bool)> = classes.collect();
        let wants = |spec: &JobSpec, (class, whole, _): &(&MachineClass, Resources, bool)| {
            spec.resources.fits_in(*whole) && self.is_eligible(spec, class, context)
        };
        let mut unwanted: Vec<&(&MachineClass, Resources, bool)> = classes.iter().collect();
        let mut wanted = BTreeSet::new();
        let mut offers: Vec<(WallClockMillis, &JobId, StealOffer)> = Vec::new();
        for (id, job) in self.jobs.iter().filter(|(_, j)| j.is_waiting()) {
            let Some(spec) = job.spec() else { continue };
            if unwanted.is_empty() && !offers_due {
                break;
            }
            let stranded = !classes.iter().any(|class| wants(spec, class));
            let waited_ms = context.waited_ms(id, &job.record);
            let offer = match stranded {
                true if waited_ms >= STRANDED_AFTER_MS => Some(StealOffer::Stranded),
                false if waited_ms >= OVERDUE_AFTER_MS && job.started_tasks == 0 => {
                    Some(StealOffer::Overdue)
                }
                _ => None,
            };
            // What has begun of a bound job keeps the rest here.
            let movable = !spec.zones_bound() || job.started_tasks == 0;
            offers.extend(
                offer
                    .filter(|_| movable)
                    .map(|o| (job.record.submitted, id, o)),
            );
            if stranded {
                continue;
            }
            unwanted.retain(|class| {
                let wants = wants(spec, class);
                if wants {
                    wanted.insert(class.0.kind());
                }
                !wants
            });
        }
        offers.sort_unstable();
        let offers = offers.into_iter().take(MAX_OFFERS);
        let roomy = unwanted.iter().filter(|(_, _, room)| *room);
        let idle = roomy.map(|(class, _, _)| class.kind());
        DemandMatch {
            idle: idle.filter(|kind| !wanted.contains(kind)).collect(),
            any: !wanted.is_empty(),
            offers: offers.map(|(_, id, offer)| (id.clone(), offer)).collect(),
        }
    }

    /// Starts as many of a job's waiting tasks as limits and room allow.
    pub(super) fn place_job(
        &mut self,
        queued: &QueuedJob,
        at: &PlacementScope,
        pass: &mut PlacementPass,
        context: &Context,
    ) {
        let now = context.now();
        let only_with_image = *at == PlacementScope::WithImage;
        let id = &queued.job;
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let Some(spec) = job.spec() else {
            return;
        };
        let mut want = job.desired.waiting.len();
        if job.consecutive_failures >= 2 && job.desired.finished.is_empty() {
            // Nothing of it has worked yet: try a single task at a time.
            want = want.min(1u32.saturating_sub(job.started_tasks));
        }
        if want == 0 {
            return;
        }
        let zones = &context.config.settings.deployment.zones;
        let allowed = pass.capacity_index.allowed(|class| {
            self.is_eligible(spec, class, context)
                && (!spec.zones_bound() || class.zone < zones.len())
        });
        if allowed.none() {
            return;
        }
        let image = only_with_image.then_some(job.image_id);
        let shape = Shape::new(spec.resources, allowed.clone(), image);
        let held = matches!(at, PlacementScope::On(_));
        if !held && pass.unplaceable.is(&shape) {
            return;
        }
        want = want.min(context.storage_limits.startable(
            &job.desired,
            job.started_tasks,
            pass.names,
        ));
        if want == 0 {
            return;
        }
        // Only machines with room for a task are looked at.
        let mut open = pass.capacity_index.fitting(spec.resources, &allowed);
        let mut candidates: Vec<MachineCandidate> = Vec::with_capacity(open.len());
        open.retain(|entry| {
            let name = &pass.capacity_index.entries()[*entry].what.name;
            let ours = match at {
                PlacementScope::On(machine) => machine == name,
                _ => pass.held.get(name).is_none_or(|whose| whose == id),
            };
            if !ours {
                return false;
            }
            let seat = Self::candidate(job, spec, *entry, queued.urgent, pass, context);
            let usable = seat.cap > 0 && !(only_with_image && seat.image == Image::Absent);
            if usable {
                candidates.push(seat);
            }
            usable
        });
        if candidates.is_empty() {
            // It may be barred from machines that are open to others.
            if job.failed_on.is_empty() && !held {
                pass.unplaceable.note(shape);
            }
            return;
        }
        let mut zones = ZoneRule {
            together: spec.together,
            most: spec.apart.then(|| spec.tasks.div_ceil(2)),
            ..ZoneRule::default()
        };
        if spec.zones_bound() {
            for (m, ranges) in &job.desired.started {
                let zone = self.machines.get(m).map(|m| m.zone);
                zones.hold(zone.filter(|z| *z != UNKNOWN_ZONE), ranges.len());
            }
        }
        let (room, team, image) = (spec.resources, spec.team.clone(), job.image_id);
        let mut chosen = placement::place(room, want, &candidates, pass.weights, &mut zones);
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
            let lacking = self
                .quotas
                .shortfalls
                .entry(team)
                .or_insert(QuotaShortfall {
                    all: Grant::default(),
                    task: Grant::of(room),
                });
            let more = room.times(f64::from(fits - covered));
            lacking.all.add(Grant::of(more));
            lacking.task.cpus = lacking.task.cpus.min(room.cpus);
            lacking.task.gpus = lacking.task.gpus.min(room.gpus);
            let mut left = covered;
            for (_, n) in &mut chosen {
                *n = (*n).min(left);
                left -= *n;
            }
        }
        for (seat, count) in chosen.into_iter().filter(|(_, n)| *n > 0) {
            self.load.placements_by_image[candidates[seat].image as usize] += u64::from(count);
            let at = open[seat];
            let name = pass.capacity_index.entries()[at].what.name.clone();
            for _ in 0..count {
                let first = self.jobs.get(id).and_then(|j| j.desired.waiting.first());
                let Some((task, attempt)) = first else {
                    break;
                };
                let step = AllocationChange {
                    task,
                    attempt,
                    machine: name.clone(),
                    what: AllocationChangeKind::Start,
                };
                if !self.apply_change(now, id, step) {
                    break;
                }
                pass.capacity_index.take(at, room);
                used.add(Grant::of(room));
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
fn delay(spec: &JobSpec, image: Image, open: &IndexedCapacity, context: &Context) -> u32 {
    let heartbeat_ms = context.config.settings.report_ms().max(1);
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
    ((fetch_ms + open.report_in_ms) * 4 / heartbeat_ms).min(1_000) as u32
}
