//! Backfill reservations: machines reserved for jobs that have waited long without any task on a
//! machine. They are an exception to the queue order. Placement fills machines with whatever fits,
//! so a large task might otherwise never find enough free resources on one machine.

use super::Shard;
use super::capacity::CapacityIndex;
use super::placement::PlacementPass;
use super::placement_request::PlacementScope;
use super::queue::QueuedJob;
use crate::coordination::context::Context;
use snowshelf_fair_share::backfill::{
    BackfillCandidate, COOLDOWN_MS, MIN_WAIT_MS, RESERVATION_MS, best_candidate, max_reservations,
};
use snowshelf_model::ids::{JobId, MachineId, MonotonicMillis, Team};
use snowshelf_model::records::{Grant, JobKind, JobSpec, Resources};
use std::collections::BTreeMap;

/// A job with this many consecutive failures gets no reservation.
const MAX_FAILURES: u32 = 2;

/// A machine reserved for a job.
struct BackfillReservation {
    since: MonotonicMillis,
    machine: MachineId,
}

impl BackfillReservation {
    /// Whether the reservation is in force. After that, a cooldown follows.
    fn is_in_force(&self, now: MonotonicMillis) -> bool {
        now.since(self.since) <= RESERVATION_MS
    }

    /// Whether the cooldown has ended too, so that the job may get a new reservation.
    fn is_cooldown_over(&self, now: MonotonicMillis) -> bool {
        now.since(self.since) > RESERVATION_MS + COOLDOWN_MS
    }
}

/// The backfill reservations of a shard, at most one for each job.
#[derive(Default)]
pub(super) struct BackfillReservations {
    by_job: BTreeMap<JobId, BackfillReservation>,
}

impl BackfillReservations {
    /// Returns the number of reservations in force.
    fn count_in_force(&self, now: MonotonicMillis) -> usize {
        let reservations = self.by_job.values();
        reservations.filter(|r| r.is_in_force(now)).count()
    }

    fn reserves(&self, name: &MachineId) -> bool {
        self.by_job.values().any(|r| r.machine == *name)
    }
}

/// A long-waiting job, and whether any of its tasks has finished in any shard.
struct LongWaitingJob<'a> {
    has_finished_tasks: bool,
    queued: &'a QueuedJob,
}

impl Shard {
    /// Places the jobs that have a reserved machine there. For the rest of the pass, keeps these
    /// machines, and the quota grants that the jobs need, from all other jobs.
    pub(super) fn reserve_for_backfill(
        &mut self,
        queue: &[QueuedJob],
        pass: &mut PlacementPass,
        context: &Context<'_>,
    ) {
        let now = context.now();
        let waiting = self.long_waiting(queue, context);
        self.backfill.by_job.retain(|id, reservation| {
            waiting.iter().any(|w| w.queued.job == *id) && !reservation.is_cooldown_over(now)
        });
        let limit = max_reservations(pass.capacity_index.entries().len());
        let mut in_force = self.backfill.count_in_force(now);
        for LongWaitingJob { queued, .. } in waiting {
            let reservation = self.backfill.by_job.get(&queued.job);
            match reservation.map(|r| r.is_in_force(now)) {
                Some(true) => {
                    self.reserve_for_job(queued, pass, context);
                }
                None if in_force < limit => {
                    in_force += usize::from(self.reserve_for_job(queued, pass, context));
                }
                Some(false) | None => {}
            }
        }
    }

    /// Returns the long-waiting jobs in the order in which they get reservations: by user priority,
    /// then jobs without a finished task before others, then by how long they have waited.
    fn long_waiting<'a>(
        &self,
        queue: &'a [QueuedJob],
        context: &Context<'_>,
    ) -> Vec<LongWaitingJob<'a>> {
        let wall_ms = context.effects.wall_ms;
        let mut waiting: Vec<LongWaitingJob<'_>> = queue
            .iter()
            .filter(|q| wall_ms.saturating_sub(q.ready_since.0) >= MIN_WAIT_MS)
            .filter_map(|queued| {
                Some(LongWaitingJob {
                    has_finished_tasks: self.has_finished_tasks(&queued.job, context)?,
                    queued,
                })
            })
            .collect();
        waiting.sort_by(|a, b| {
            let rank = |w: &LongWaitingJob<'_>| {
                (w.queued.rank.1, w.has_finished_tasks, w.queued.ready_since)
            };
            (rank(a), &a.queued.job).cmp(&(rank(b), &b.queued.job))
        });
        waiting
    }

    /// Whether any task of a job has finished, in any shard. `None` if a task is on a machine, or
    /// if the job fails repeatedly.
    fn has_finished_tasks(&self, id: &JobId, context: &Context<'_>) -> Option<bool> {
        let job = self.jobs.get(id);
        let job = job.filter(|j| j.started_tasks == 0 && j.failures.consecutive < MAX_FAILURES)?;
        let others = job.record.shards.iter().filter(|s| **s != self.id);
        let mut allocations =
            others.filter_map(|s| context.records.allocations.get(&(*s, id.clone())));
        let mut any_finished = !job.desired.finished.is_empty();
        let is_placed = allocations.any(|allocation| {
            any_finished |= !allocation.value.finished.is_empty();
            !allocation.value.started.is_empty()
        });
        (!is_placed).then_some(any_finished)
    }

    /// Places a job on its reserved machine, or reserves one if it has none. Returns whether a
    /// machine is reserved for the job afterwards.
    fn reserve_for_job(
        &mut self,
        queued: &QueuedJob,
        pass: &mut PlacementPass,
        context: &Context<'_>,
    ) -> bool {
        let now = context.now();
        let Some(spec) = self.jobs.get(&queued.job).and_then(|j| j.spec()).cloned() else {
            return false;
        };
        let previous = self.backfill.by_job.remove(&queued.job);
        let machine = previous.as_ref().map(|r| r.machine.clone());
        let machine = machine.filter(|m| self.is_still_reservable(m, &spec, pass, context));
        // A job that no machine here could ever run is left to other shards.
        let Some(machine) = machine.or_else(|| self.nearest_machine(&spec, pass, context)) else {
            return false;
        };
        // Also records the quota shortfall if quota is all that is missing.
        self.place_job(queued, &PlacementScope::On(machine.clone()), pass, context);
        let job = self.jobs.get(&queued.job);
        if job.is_some_and(|j| j.started_tasks > 0) {
            return false;
        }
        let lacks_grant = self.reserve_grant(&spec, pass, context);
        let mut entries = pass.capacity_index.entries().iter();
        let free = entries.find(|e| e.machine.name == machine).map(|e| e.free);
        let fits_now = free.is_some_and(|free| spec.resources.fits_in(free));
        // While the team's quota does not allow the task (both this shard's grant and the part that
        // no shard has been granted are too small), a machine with enough free resources stays
        // available to others.
        if !(fits_now && lacks_grant)
            || self.ungranted_cpus(&spec.team, context) >= spec.resources.cpus
        {
            pass.backfill_machines
                .insert(machine.clone(), queued.job.clone());
        }
        let since = previous.map_or(now, |r| r.since);
        if since == now {
            tracing::info!(job = %queued.job, shard = %self.id, machine = %machine, lacks_grant, "backfill reservation made");
        }
        let reservation = BackfillReservation { since, machine };
        self.backfill.by_job.insert(queued.job.clone(), reservation);
        true
    }

    /// Counts one more task of a job against this shard's grant of the team's quota for the rest of
    /// the pass, so that quota released by the team's other tasks is kept for it. Counts nothing if
    /// the whole grant has too few CPUs for the task. Returns whether the part of the grant that
    /// was unused before has too few.
    fn reserve_grant(
        &self,
        spec: &JobSpec,
        pass: &mut PlacementPass,
        context: &Context<'_>,
    ) -> bool {
        let granted = self.granted(&spec.team, context);
        let used = pass.used.entry(spec.team.clone()).or_default();
        let lacks_grant = granted.cpus - used.cpus < spec.resources.cpus;
        if granted.cpus >= spec.resources.cpus {
            used.add(Grant::from(spec.resources));
        }
        lacks_grant
    }

    /// Whether one more reservation is allowed, and some machine could run this job.
    pub(super) fn can_add_backfill_reservation(
        &self,
        spec: &JobSpec,
        index: &CapacityIndex,
        context: &Context<'_>,
    ) -> bool {
        let mut classes = index.classes();
        let limit = max_reservations(index.entries().len());
        self.backfill.count_in_force(context.now()) < limit
            && classes.any(|(class, mut machines)| {
                self.is_eligible(spec, class, context)
                    && machines
                        .any(|e| !e.machine.has_failures && spec.resources.fits_in(e.machine.total))
            })
    }

    /// Returns the CPUs of a team's quota that are not granted to any shard.
    fn ungranted_cpus(&self, team: &Team, context: &Context<'_>) -> f64 {
        let limits = &context.config.settings.deployment.teams;
        let limit = limits.iter().find(|t| t.name == team.as_str());
        let quota = context.records.quotas.get(team);
        let granted = quota.map_or(0.0, |q| q.value.granted().cpus);
        limit.map_or(0.0, |l| l.cpus_max - granted)
    }

    /// Whether a reserved machine may still be used by this job and stay reserved for it.
    fn is_still_reservable(
        &self,
        name: &MachineId,
        spec: &JobSpec,
        pass: &PlacementPass,
        context: &Context<'_>,
    ) -> bool {
        let mut entries = pass.capacity_index.entries().iter();
        let entry = entries.find(|e| e.machine.name == *name);
        entry.is_some_and(|e| {
            !e.machine.has_failures
                && !pass.backfill_machines.contains_key(name)
                && self.is_eligible(spec, pass.capacity_index.class(e), context)
        })
    }

    /// Returns the machine that is closest to having room for one of the job's tasks.
    fn nearest_machine(
        &self,
        spec: &JobSpec,
        pass: &PlacementPass,
        context: &Context<'_>,
    ) -> Option<MachineId> {
        let is_reserved = |name: &MachineId| {
            pass.backfill_machines.contains_key(name) || self.backfill.reserves(name)
        };
        let machines: Vec<(&MachineId, BackfillCandidate)> = pass
            .capacity_index
            .classes()
            .filter(|(class, _)| {
                class.reservation.is_none() && self.is_eligible(spec, class, context)
            })
            .flat_map(|(_, machines)| machines)
            .filter(|e| !e.machine.has_failures && !is_reserved(&e.machine.name))
            .map(|e| {
                let mut eventually_free = e.machine.total;
                eventually_free.sub(self.used_by_services(&e.machine.name));
                let free = e.free;
                (
                    &e.machine.name,
                    BackfillCandidate {
                        free,
                        eventually_free,
                    },
                )
            })
            .collect();
        let position = best_candidate(spec.resources, machines.iter().map(|(_, m)| *m))?;
        Some(machines[position].0.clone())
    }

    /// Returns the resources that services use on a machine; they are not released by themselves.
    fn used_by_services(&self, name: &MachineId) -> Resources {
        let mut used = Resources::default();
        for (_, job) in self.jobs.on_machine(name) {
            if let Some(spec) = job.spec().filter(|s| s.kind == JobKind::Service) {
                let tasks = job
                    .desired
                    .started
                    .get(name)
                    .map_or(0, snowshelf_model::task_ranges::TaskRanges::len);
                used.add(spec.resources.times(f64::from(tasks)));
            }
        }
        used
    }
}
