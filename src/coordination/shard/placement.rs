//! Placement passes over the shard's waiting jobs and the machines that accept tasks.

use super::Shard;
use super::capacity::CapacityIndex;
use super::demand::DemandMatch;
use super::failures::Trial;
use super::job::ShardJob;
use super::placement_request::{PlacementRequest, PlacementScope};
use super::queue::QueuedJob;
use crate::coordination::context::Context;
use crate::coordination::placement::{self, ImageState, Load, UNKNOWN_ZONE, ZoneRule};
use snowshelf_fair_share::grants::QuotaShortfall;
use snowshelf_machine_index::capacity_index::AllowedClasses;
use snowshelf_machine_index::unplaceable::{TaskShape, UnplaceableShapes};
use snowshelf_model::ids::{JobId, MachineId, MonotonicMillis, Team};
use snowshelf_model::records::{AllocationChange, AllocationChangeKind, Grant, JobSpec, Resources};
use std::collections::{BTreeMap, HashMap};

/// Minimum time between two passes; heartbeats that arrive in between share one.
const PASS_INTERVAL_MS: u64 = 50;
/// Stands for an unlimited amount of memory, since quotas do not limit memory.
pub(super) const UNLIMITED_MEMORY: f64 = f64::MAX / 4.0;

/// When placement last ran, and its results.
pub(super) struct PlacementState {
    /// Something has changed that may allow further placements.
    pub dirty: bool,
    pub last_pass_at: MonotonicMillis,
    pub offers_updated_at: MonotonicMillis,
    /// The match of waiting jobs and machines as of the last pass.
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

/// A placement pass: what it has used of machines and quota grants so far.
pub(super) struct PlacementPass {
    pub capacity_index: CapacityIndex,
    /// Machines reserved for backfill, each with its job.
    pub backfill_machines: BTreeMap<MachineId, JobId>,
    /// Length of the longest machine name.
    max_name_len: usize,
    weights: Resources,
    pub used: HashMap<Team, Grant>,
    unplaceable: UnplaceableShapes,
}

/// The machines chosen for tasks of a job.
struct Selection {
    /// Resources of one task.
    resources: Resources,
    team: Team,
    image_id: u32,
    machines: Vec<SelectedMachine>,
}

struct SelectedMachine {
    /// Index into the entries of the capacity index.
    entry_index: usize,
    image: ImageState,
    tasks: u32,
}

impl Shard {
    /// Runs a placement pass over the waiting jobs if one is due.
    pub(super) fn place(&mut self, context: &mut Context<'_>) {
        let now = context.now();
        let is_due =
            self.placement.dirty && now.since(self.placement.last_pass_at) >= PASS_INTERVAL_MS;
        if !is_due || !self.ready || self.fenced {
            return;
        }
        self.placement.last_pass_at = now;
        self.refresh_usage();
        self.reserve_machines(context);
        let mut pass = self.begin_pass(context);
        self.quotas.shortfalls.clear();
        let queue = self.queue_order(now, context);
        self.reserve_for_backfill(&queue, &mut pass, context);
        for same_rank in queue.chunk_by(|a, b| (a.rank.0, a.rank.1) == (b.rank.0, b.rank.1)) {
            self.place_same_rank(same_rank, &mut pass, context);
        }
        self.placement.dirty = false;
        self.find_preemptible(context);
        self.reservations.capacity = self.reserved_capacity(&pass.capacity_index, context);
        self.update_load(&pass.capacity_index);
        self.update_demand(&pass.capacity_index, context);
    }

    fn begin_pass(&mut self, context: &Context<'_>) -> PlacementPass {
        let capacity_index = self.capacity_index(context);
        let mut load = Load::default();
        for m in self.machines.values() {
            if let Some(machine_type) = context.machine_types.get(&m.model) {
                load.capacity.add(machine_type.capacity());
                load.allocated.add(m.used);
            }
        }
        self.load.capacity_cpus = load.capacity.cpus;
        let waiting = self.jobs.values().filter(|j| j.is_waiting());
        let specs = waiting.filter_map(|j| j.spec());
        let weights = placement::resource_weights(specs, context.config.ops.default_run_s, load);
        let machines = capacity_index.entries().iter();
        let name_lens = machines.map(|e| e.machine.name.as_str().len());
        PlacementPass {
            max_name_len: name_lens.max().unwrap_or(0),
            backfill_machines: BTreeMap::new(),
            capacity_index,
            weights,
            used: self.used_quota(),
            unplaceable: UnplaceableShapes::default(),
        }
    }

    /// Places jobs of the same rank, apart from their missed objectives. Fetching an image often
    /// takes longer than running the task. Jobs that can still wait are therefore first placed only
    /// where their image is present, and get the remaining machines after the other jobs.
    fn place_same_rank(
        &mut self,
        same_rank: &[QueuedJob],
        pass: &mut PlacementPass,
        context: &Context<'_>,
    ) {
        for queued in same_rank {
            let scope = if queued.can_wait_for_image {
                PlacementScope::WithImage
            } else {
                PlacementScope::Anywhere
            };
            self.place_job(queued, &scope, pass, context);
        }
        for queued in same_rank.iter().filter(|q| q.can_wait_for_image) {
            self.place_job(queued, &PlacementScope::Anywhere, pass, context);
        }
    }

    fn update_load(&mut self, index: &CapacityIndex) {
        let free = index.entries().iter().map(|e| e.free.cpus.max(0.0));
        let reserved = self.reservations.capacity.values().map(|r| r.free);
        self.load.free_cpus = free.sum::<f64>() - reserved.sum::<f64>();
        let waiting = self.jobs.values().filter(|j| j.is_waiting());
        let cpus = waiting
            .filter_map(|j| Some(j.spec()?.resources.cpus * f64::from(j.desired.waiting.len())));
        self.load.waiting_cpus = cpus.sum();
    }

    /// Starts as many of a job's waiting tasks as quota and machines allow.
    pub(super) fn place_job(
        &mut self,
        queued: &QueuedJob,
        scope: &PlacementScope,
        pass: &mut PlacementPass,
        context: &Context<'_>,
    ) {
        if let Some(mut selection) = self.select_machines(queued, scope, pass, context) {
            self.limit_to_grant(&mut selection, pass, context);
            self.start_tasks(&queued.job, selection, pass, context);
        }
    }

    /// Chooses machines for a job's waiting tasks; `None` if no machine can take any of them.
    fn select_machines(
        &self,
        queued: &QueuedJob,
        scope: &PlacementScope,
        pass: &mut PlacementPass,
        context: &Context<'_>,
    ) -> Option<Selection> {
        let job = self.jobs.get(&queued.job)?;
        let spec = job.spec()?;
        let request = PlacementRequest {
            queued,
            scope,
            job,
            spec,
            awaits_trial: self.awaits_trial(&queued.job),
        };
        let wanted = request.wanted_tasks();
        if wanted == 0 {
            return None;
        }
        let allowed = self.allowed_classes(spec, pass, context);
        if allowed.is_empty() {
            return None;
        }
        let image = request.only_with_image().then_some(job.image_id);
        let shape = TaskShape::new(spec.resources, allowed.clone(), image);
        if !request.on_reserved_machine() && pass.unplaceable.contains(&shape) {
            return None;
        }
        let limits = context.storage_limits;
        let startable = limits.startable(&job.desired, job.started_tasks, pass.max_name_len);
        let wanted = wanted.min(startable);
        if wanted == 0 {
            return None;
        }
        let (entries, candidates) = request.candidates(&allowed, pass, context);
        if candidates.is_empty() {
            // A job barred from machines where its tasks failed says nothing about other jobs of
            // this shape.
            if job.failures.machines.is_empty() && !request.on_reserved_machine() {
                pass.unplaceable.insert(shape);
            }
            return None;
        }
        let mut zones = self.zone_rule(job, spec);
        let weights = pass.weights;
        let chosen =
            placement::choose_machines(spec.resources, wanted, &candidates, weights, &mut zones);
        let machines = chosen.into_iter().map(|(i, tasks)| SelectedMachine {
            entry_index: entries[i],
            image: candidates[i].image,
            tasks,
        });
        Some(Selection {
            resources: spec.resources,
            team: spec.team.clone(),
            image_id: job.image_id,
            machines: machines.collect(),
        })
    }

    /// Returns the classes whose machines a job may use. If the job has zone constraints, machines
    /// of unknown zone are excluded.
    fn allowed_classes(
        &self,
        spec: &JobSpec,
        pass: &PlacementPass,
        context: &Context<'_>,
    ) -> AllowedClasses {
        let zone_count = context.config.settings.deployment.zones.len();
        pass.capacity_index.allowed(|class| {
            self.is_eligible(spec, class, context)
                && (!spec.is_zone_constrained() || class.zone < zone_count)
        })
    }

    /// Returns the zone constraints of a job's tasks, taking into account the tasks that are on
    /// machines already.
    pub(super) fn zone_rule(&self, job: &ShardJob, spec: &JobSpec) -> ZoneRule {
        let mut zones = ZoneRule::of(spec);
        if spec.is_zone_constrained() {
            for (name, ranges) in &job.desired.started {
                let zone = self.machines.get(name).map(|m| m.zone);
                zones.add_tasks(zone.filter(|z| *z != UNKNOWN_ZONE), ranges.len());
            }
        }
        zones
    }

    /// Reduces a selection to what the team's grant covers, and records the rest as shortfall. Only
    /// tasks that a machine has room for count as shortfall: a grant without free machines would be
    /// moved back and forth between shards.
    fn limit_to_grant(
        &mut self,
        selection: &mut Selection,
        pass: &PlacementPass,
        context: &Context<'_>,
    ) {
        let task = selection.resources;
        let granted = self.granted(&selection.team, context);
        let used = pass.used.get(&selection.team).copied().unwrap_or_default();
        let headroom = Resources {
            cpus: granted.cpus - used.cpus,
            gpus: granted.gpus - used.gpus,
            mem: UNLIMITED_MEMORY,
        };
        let covered = Resources { mem: 0.0, ..task }.count_in(headroom);
        let selected: u32 = selection.machines.iter().map(|m| m.tasks).sum();
        if selected <= covered {
            return;
        }
        let shortfalls = self.quotas.shortfalls.entry(selection.team.clone());
        let shortfall = shortfalls.or_insert(QuotaShortfall {
            total: Grant::default(),
            smallest_task: Grant::from(task),
        });
        let missing = task.times(f64::from(selected - covered));
        shortfall.total.add(Grant::from(missing));
        shortfall.smallest_task.cpus = shortfall.smallest_task.cpus.min(task.cpus);
        shortfall.smallest_task.gpus = shortfall.smallest_task.gpus.min(task.gpus);
        let mut remaining = covered;
        for machine in &mut selection.machines {
            machine.tasks = machine.tasks.min(remaining);
            remaining -= machine.tasks;
        }
    }

    fn start_tasks(
        &mut self,
        id: &JobId,
        selection: Selection,
        pass: &mut PlacementPass,
        context: &Context<'_>,
    ) {
        let now = context.now();
        let used = pass.used.entry(selection.team).or_default();
        for machine in selection.machines.into_iter().filter(|m| m.tasks > 0) {
            self.load.placements_by_image[machine.image as usize] += u64::from(machine.tasks);
            let name = pass.capacity_index.entries()[machine.entry_index]
                .machine
                .name
                .clone();
            for _ in 0..machine.tasks {
                let job = self.jobs.get(id);
                let Some((task, attempt)) = job.and_then(|j| j.desired.waiting.first()) else {
                    break;
                };
                let start = AllocationChange {
                    task,
                    attempt,
                    machine: name.clone(),
                    kind: AllocationChangeKind::Start,
                };
                if !self.apply_change(now, id, start) {
                    break;
                }
                self.begin_trial(Trial::new(id, task, attempt, &name));
                pass.capacity_index
                    .allocate(machine.entry_index, selection.resources);
                used.add(Grant::from(selection.resources));
            }
            let indexed = pass.capacity_index.machine_mut(machine.entry_index);
            indexed.awaits_trial |= indexed.has_failures;
            let Some(m) = self.machines.get_mut(&name) else {
                continue;
            };
            m.idle_since = None;
            if !m.images.has(selection.image_id) {
                m.images.fetching.insert(selection.image_id);
                let indexed = pass.capacity_index.machine_mut(machine.entry_index);
                indexed.images.fetching.insert(selection.image_id);
                pass.unplaceable.image_pull_started(selection.image_id);
            }
        }
    }
}
