//! The machines of a shard as placement sees them: free resources, and which jobs may use them.

use super::Shard;
use super::placement::PlacementPass;
use super::placement_request::PlacementRequest;
use super::reservations::MachineReservation;
use crate::coordination::context::Context;
use crate::coordination::images::Images;
use crate::coordination::placement::{ImageState, MachineCandidate};
use snowshelf_calendar::calendar::Pool;
use snowshelf_machine_index::capacity_index;
use snowshelf_model::ids::{MachineId, seconds_to_ms};
use snowshelf_model::protocol::worker::TaskState;
use snowshelf_model::records::{JobSpec, Resources};

/// Assumed usage of an orphaned task whose job is unknown: nothing is placed on its machine until
/// the task is gone.
const UNKNOWN_USAGE: Resources = Resources {
    cpus: 1e9,
    gpus: 0.0,
    mem: 1e9,
};
/// A machine is given no tasks if its last heartbeat is older than two heartbeat intervals plus
/// this.
const HEARTBEAT_SLACK_MS: u64 = 1_000;
/// Start delays are measured in steps of the heartbeat interval divided by this.
const DELAY_STEPS_PER_HEARTBEAT: u64 = 4;
/// Upper bound of a start delay, in steps.
const MAX_DELAY_STEPS: u64 = 1_000;

/// The properties that decide which jobs a machine may run. Machines of a class differ only in free
/// resources, images and failures.
pub(super) struct MachineClass {
    pub model: String,
    pub zone: usize,
    pub spot: bool,
    pub pool: Option<Pool>,
    pub reservation: Option<MachineReservation>,
}

/// Model, zone, and whether it is a spot instance: a machine class regardless of reservations.
pub(super) type MachineKind = (String, usize, bool);

impl MachineClass {
    /// The class regardless of reservations.
    pub(super) fn kind(&self) -> MachineKind {
        (self.model.clone(), self.zone, self.spot)
    }

    /// Whether the job allows this machine type, this zone, and spot instances if it is one.
    fn allowed_for(&self, spec: &JobSpec, zone: Option<&String>) -> bool {
        (!self.spot || spec.spot)
            && spec.types.as_ref().is_none_or(|t| t.contains(&self.model))
            && spec.zone.as_ref().is_none_or(|z| zone == Some(z))
    }
}

/// A machine that accepts tasks.
pub(super) struct SchedulableMachine {
    pub name: MachineId,
    /// Resources of the machine without any task.
    pub total: Resources,
    /// A task failed on it and none has completed since: it is tried with one task at a time.
    pub has_failures: bool,
    /// A task is being tried on it after failures.
    pub awaits_trial: bool,
    /// The jobs whose tasks have failed on it may use it.
    accepts_failed_jobs: bool,
    pub images: Images,
    /// Time until its next heartbeat is expected; 0 if a response is deferred.
    next_heartbeat_ms: u64,
    fetch_gb_per_s: f64,
}

/// The machines that accept tasks, grouped by class.
pub(super) type CapacityIndex = capacity_index::CapacityIndex<MachineClass, SchedulableMachine>;

impl Shard {
    /// Recomputes the used resources of machines whose desired state or newest heartbeat has
    /// changed.
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
            let live = m.reported_tasks.iter();
            for item in live.filter(|t| t.state != TaskState::Exited) {
                let job = jobs.get(&item.task.job);
                let started = job.and_then(|j| j.desired.started_on(name, item.task.task));
                if started == Some(item.attempt) {
                    continue;
                }
                m.orphaned_tasks.push(item.task.job.clone());
                let used = job.map(|j| j.spec().map(|s| s.resources).unwrap_or_default());
                m.used.add(used.unwrap_or(UNKNOWN_USAGE));
            }
        }
    }

    /// Builds the index of machines that accept tasks now.
    pub(super) fn capacity_index(&mut self, context: &Context<'_>) -> CapacityIndex {
        self.refresh_usage();
        let heartbeat_ms = context.config.settings.report_ms().max(1);
        let max_silence_ms = 2 * context.config.settings.report_ms() + HEARTBEAT_SLACK_MS;
        let now = context.now();
        let mut index = CapacityIndex::default();
        let machines = self.machines.iter();
        for (name, m) in machines.filter(|(_, m)| m.accepts_tasks(now, max_silence_ms)) {
            let Some(machine_type) = context.machine_types.get(&m.model) else {
                continue;
            };
            let total = machine_type.capacity();
            let mut free = total;
            free.sub(m.used);
            let reservation = self.reservations.by_machine.get(name);
            let same_class = |class: &MachineClass| {
                class.zone == m.zone
                    && class.spot == m.spot
                    && class.model == m.model
                    && class.pool == m.pool
                    && class.reservation.as_ref() == reservation
            };
            let new_class = || MachineClass {
                model: m.model.clone(),
                zone: m.zone,
                spot: m.spot,
                pool: m.pool.clone(),
                reservation: reservation.cloned(),
            };
            let machine = SchedulableMachine {
                name: name.clone(),
                total,
                has_failures: m.failures.requires_trial(),
                awaits_trial: m.failures.pending_trial(&self.jobs).is_some(),
                accepts_failed_jobs: m.failures.retry_at <= now,
                images: m.images.clone(),
                next_heartbeat_ms: match m.deferred_response {
                    Some(_) => 0,
                    None => heartbeat_ms.saturating_sub(now.since(m.last_heartbeat_at)),
                },
                fetch_gb_per_s: machine_type.fetch_gb_per_s,
            };
            index.push(same_class, new_class, free, machine);
        }
        index
    }

    /// Returns how many tasks of a job could start now on machines of the classes accepted by
    /// `is_usable`.
    pub(super) fn count_fitting(
        &self,
        spec: &JobSpec,
        index: &mut CapacityIndex,
        is_usable: impl Fn(&MachineClass) -> bool,
        context: &Context<'_>,
    ) -> u32 {
        let allowed =
            index.allowed(|class| is_usable(class) && self.is_eligible(spec, class, context));
        let fitting = index.fitting(spec.resources, &allowed);
        let usable = fitting.iter().map(|at| &index.entries()[*at]);
        let usable = usable.filter(|e| !e.machine.has_failures);
        usable.fold(0, |n, e| n.saturating_add(spec.resources.count_in(e.free)))
    }

    /// Whether machines of a class may run this job.
    pub(super) fn is_eligible(
        &self,
        spec: &JobSpec,
        class: &MachineClass,
        context: &Context<'_>,
    ) -> bool {
        let zone = context.config.settings.deployment.zones.get(class.zone);
        let reservation = class.reservation.as_ref();
        class.allowed_for(spec, zone)
            && !self.is_reserved_for_others(spec, class.pool.as_ref(), reservation, context)
    }
}

/// Returns a machine of the index as a placement candidate for a job's tasks.
pub(super) fn candidate(
    request: PlacementRequest<'_>,
    entry_index: usize,
    pass: &PlacementPass,
    context: &Context<'_>,
) -> MachineCandidate {
    let PlacementRequest { job, spec, .. } = request;
    let entry = &pass.capacity_index.entries()[entry_index];
    let (machine, class) = (&entry.machine, pass.capacity_index.class(entry));
    let max_tasks = if !machine.has_failures {
        u32::MAX
    } else {
        let is_barred =
            job.failures.machines.contains(&machine.name) && !machine.accepts_failed_jobs;
        u32::from(!machine.awaits_trial && !is_barred)
    };
    let image = machine.images.state(job.image_id);
    MachineCandidate {
        free: entry.free,
        zone: class.zone,
        max_tasks,
        scarce: spec.spot && !class.spot,
        image,
        active_fetches: machine.images.fetching.len(),
        start_delay: if request.queued.urgent {
            start_delay(spec, image, machine, context)
        } else {
            0
        },
    }
}

/// Returns the delay until a task could run on a machine, in quarters of the heartbeat interval.
/// Commands are part of heartbeat responses, and the image may have to be fetched, sharing
/// bandwidth with other fetches.
fn start_delay(
    spec: &JobSpec,
    image: ImageState,
    machine: &SchedulableMachine,
    context: &Context<'_>,
) -> u32 {
    let heartbeat_ms = context.config.settings.report_ms().max(1);
    let rate = machine.fetch_gb_per_s;
    let fetch_ms = if rate > 0.0 {
        seconds_to_ms(spec.pull_gb / rate)
    } else {
        0
    };
    let fetch_ms = match image {
        ImageState::Cached => 0,
        ImageState::Fetching => fetch_ms / 2,
        ImageState::Absent => fetch_ms * (1 + machine.images.fetching.len() as u64),
    };
    let steps = (fetch_ms + machine.next_heartbeat_ms) * DELAY_STEPS_PER_HEARTBEAT / heartbeat_ms;
    steps.min(MAX_DELAY_STEPS) as u32
}
