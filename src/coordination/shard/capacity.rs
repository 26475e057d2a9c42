//! The machines of a shard as placement sees them: what they have free, and which jobs they may run.

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

/// What an orphaned task of unknown size is taken to use: nothing is placed on its machine until it is gone.
const UNKNOWN_USAGE: Resources = Resources {
    cpus: 1e9,
    gpus: 0.0,
    mem: 1e9,
};
/// A machine takes no tasks if its last heartbeat is older than two intervals and this.
const HEARTBEAT_SLACK_MS: u64 = 1_000;
/// A candidate's delay is counted in this part of the heartbeat interval,
const DELAY_STEPS_PER_HEARTBEAT: u64 = 4;
/// and is at most so many of these.
const MAX_DELAY_STEPS: u64 = 1_000;

/// What makes machines equal to every job, but for their free resources, images and failures.
pub(super) struct MachineClass {
    pub model: String,
    pub zone: usize,
    pub spot: bool,
    pub pool: Option<Pool>,
    pub reservation: Option<MachineReservation>,
}

/// A machine class but for what it is reserved for: model, zone, spot or not.
pub(super) type MachineKind = (String, usize, bool);

impl MachineClass {
    /// The class but for what it is reserved for.
    pub(super) fn kind(&self) -> MachineKind {
        (self.model.clone(), self.zone, self.spot)
    }

    /// Whether the job may run on this type, in this zone and on spot or ordinary machines.
    fn allowed_for(&self, spec: &JobSpec, zone: Option<&String>) -> bool {
        (!self.spot || spec.spot)
            && spec.types.as_ref().is_none_or(|t| t.contains(&self.model))
            && spec.zone.as_ref().is_none_or(|z| zone == Some(z))
    }
}

/// A machine that may take tasks.
pub(super) struct OpenMachine {
    pub name: MachineId,
    /// What it has free without any task.
    pub total: Resources,
    /// It has failed a task and completed none since.
    pub faulty: bool,
    reported_tasks: u32,
    pub images: Images,
    /// The time to its next heartbeat.
    next_heartbeat_ms: u64,
    fetch_gb_per_s: f64,
}

/// The machines that may take tasks, by class.
pub(super) type CapacityIndex = capacity_index::CapacityIndex<MachineClass, OpenMachine>;

impl Shard {
    /// Recomputes what is used on machines of which the desired state or the newest heartbeat has changed.
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

    /// The machines that may take tasks now.
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
            let total = machine_type.room();
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
            let machine = OpenMachine {
                name: name.clone(),
                total,
                faulty: !m.failed_jobs.is_empty(),
                reported_tasks: m.reported_tasks.len() as u32,
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

    /// How many tasks of a job could start now on machines of the classes that count.
    pub(super) fn count_fitting(
        &self,
        spec: &JobSpec,
        index: &mut CapacityIndex,
        counts: impl Fn(&MachineClass) -> bool,
        context: &Context<'_>,
    ) -> u32 {
        let allowed =
            index.allowed(|class| counts(class) && self.is_eligible(spec, class, context));
        let fitting = index.fitting(spec.resources, &allowed);
        let usable = fitting.iter().map(|at| &index.entries()[*at]);
        let usable = usable.filter(|e| !e.machine.faulty);
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

/// A machine of the index as a candidate for tasks of a job.
pub(super) fn candidate(
    request: PlacementRequest<'_>,
    at: usize,
    pass: &PlacementPass,
    context: &Context<'_>,
) -> MachineCandidate {
    let PlacementRequest { job, spec, .. } = request;
    let entry = &pass.capacity_index.entries()[at];
    let (machine, class) = (&entry.machine, pass.capacity_index.class(entry));
    let max_tasks = if !machine.faulty {
        u32::MAX
    } else if job.failed_on.contains(&machine.name) {
        0
    } else {
        // It failed a task and completed none since: one at a time.
        1u32.saturating_sub(machine.reported_tasks)
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

/// How soon a task could run on a machine, in quarters of the heartbeat interval: commands are part of the response to
/// a heartbeat, and the image may have to be fetched, sharing bandwidth with other fetches.
fn start_delay(
    spec: &JobSpec,
    image: ImageState,
    machine: &OpenMachine,
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
