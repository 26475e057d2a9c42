//! Backfill reservations: machines reserved for jobs that have waited for long with nothing on any machine. An exception
//! to the order of the queue, which fills machines with whatever fits and so may never leave enough for a large task.

use super::Shard;
use super::capacity::CapacityIndex;
use super::placement::PlacementPass;
use super::placement_request::PlacementScope;
use super::queue::QueuedJob;
use crate::coordination::context::Context;
use snowshelf_fair_share::backfill::{
    BackfillCandidate, COOLDOWN_MS, MIN_WAIT_MS, RESERVATION_MS, max_reservations, nearest,
};
use snowshelf_model::ids::{JobId, MachineId, MonotonicMillis, Team};
use snowshelf_model::records::{Grant, JobKind, JobSpec, Resources};
use std::collections::BTreeMap;

/// A job with so many failures in a row gets no reservation.
const MAX_FAILURES: u32 = 2;

/// A machine reserved for a job.
struct BackfillReservation {
    since: MonotonicMillis,
    machine: MachineId,
}

impl BackfillReservation {
    /// Whether it is in force; afterwards nothing is reserved for the job for a while.
    fn is_in_force(&self, now: MonotonicMillis) -> bool {
        now.since(self.since) <= RESERVATION_MS
    }

    /// Whether another one may be made for the job.
    fn is_over(&self, now: MonotonicMillis) -> bool {
        now.since(self.since) > RESERVATION_MS + COOLDOWN_MS
    }
}

/// Machines reserved for jobs that have found none for long.
#[derive(Default)]
pub(super) struct BackfillReservations {
    by_job: BTreeMap<JobId, BackfillReservation>,
}

impl BackfillReservations {
    /// The number of reservations in force.
    fn count_in_force(&self, now: MonotonicMillis) -> usize {
        let reservations = self.by_job.values();
        reservations.filter(|r| r.is_in_force(now)).count()
    }

    fn uses(&self, name: &MachineId) -> bool {
        self.by_job.values().any(|r| r.machine == *name)
    }
}

/// A job that has waited for long, and whether anything of it has ever ended.
struct LongWaiting<'a> {
    has_begun: bool,
    queued: &'a QueuedJob,
}

impl Shard {
    /// Places the jobs that have a reserved machine there, and keeps these machines, and the teams' grants for them,
    /// from all others in this pass.
    pub(super) fn reserve_for_backfill(
        &mut self,
        queue: &[QueuedJob],
        pass: &mut PlacementPass,
        context: &Context<'_>,
    ) {
        let now = context.now();
        let waiting = self.long_waiting(queue, context);
        self.backfill.by_job.retain(|id, reservation| {
            waiting.iter().any(|w| w.queued.job == *id) && !reservation.is_over(now)
        });
        let most = max_reservations(pass.capacity_index.entries().len());
        let mut in_force = self.backfill.count_in_force(now);
        for LongWaiting { queued, .. } in waiting {
            let reservation = self.backfill.by_job.get(&queued.job);
            match reservation.map(|r| r.is_in_force(now)) {
                Some(true) => {
                    self.reserve_for_job(queued, pass, context);
                }
                None if in_force < most => {
                    in_force += usize::from(self.reserve_for_job(queued, pass, context));
                }
                Some(false) | None => {}
            }
        }
    }

    /// The jobs that have waited for long: by the users' priorities, then those of which nothing has ever begun, the
    /// oldest of them before the others.
    fn long_waiting<'a>(
        &self,
        queue: &'a [QueuedJob],
        context: &Context<'_>,
    ) -> Vec<LongWaiting<'a>> {
        let wall_ms = context.effects.wall_ms;
        let mut waiting: Vec<LongWaiting<'_>> = queue
            .iter()
            .filter(|q| wall_ms.saturating_sub(q.since.0) >= MIN_WAIT_MS)
            .filter_map(|queued| {
                Some(LongWaiting {
                    has_begun: self.has_begun(&queued.job, context)?,
                    queued,
                })
            })
            .collect();
        waiting.sort_by(|a, b| {
            let rank = |w: &LongWaiting<'_>| (w.queued.rank.1, w.has_begun, w.queued.since);
            (rank(a), &a.queued.job).cmp(&(rank(b), &b.queued.job))
        });
        waiting
    }

    /// Whether anything of a job has ended, in any shard; `None` if something of it is on a machine, or if it fails.
    fn has_begun(&self, id: &JobId, context: &Context<'_>) -> Option<bool> {
        let job = self.jobs.get(id);
        let job = job.filter(|j| j.started_tasks == 0 && j.consecutive_failures < MAX_FAILURES)?;
        let others = job.record.shards.iter().filter(|s| **s != self.id);
        let mut allocations =
            others.filter_map(|s| context.records.allocations.get(&(*s, id.clone())));
        let mut begun = !job.desired.finished.is_empty();
        let on_machine = allocations.any(|allocation| {
            begun |= !allocation.value.finished.is_empty();
            !allocation.value.started.is_empty()
        });
        (!on_machine).then_some(begun)
    }

    /// Reserves a machine for a job, or places the job on the one that is reserved for it. Returns whether a machine is
    /// reserved afterwards.
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
        // Where nothing here could ever run it, another shard has to.
        let Some(machine) = machine.or_else(|| self.nearest_machine(&spec, pass, context)) else {
            return false;
        };
        // Asks for quota, too, if only that is missing.
        self.place_job(queued, &PlacementScope::On(machine.clone()), pass, context);
        let job = self.jobs.get(&queued.job);
        if job.is_some_and(|j| j.started_tasks > 0) {
            return false;
        }
        let lacks_grant = self.set_grant_aside(&spec, pass, context);
        let mut entries = pass.capacity_index.entries().iter();
        let free = entries.find(|e| e.machine.name == machine).map(|e| e.free);
        let fits_now = free.is_some_and(|free| spec.resources.fits_in(free));
        // A machine with free resources is not kept from others while the team's quota does not allow the task.
        if !(fits_now && lacks_grant)
            || self.ungranted_cpus(&spec.team, context) >= spec.resources.cpus
        {
            pass.backfill.insert(machine.clone(), queued.job.clone());
        }
        let since = previous.map_or(now, |r| r.since);
        if since == now {
            tracing::info!(job = %queued.job, shard = %self.id, machine = %machine, lacks_grant, "backfill reservation made");
        }
        let reservation = BackfillReservation { since, machine };
        self.backfill.by_job.insert(queued.job.clone(), reservation);
        true
    }

    /// Sets grant for one task aside in this pass: what ends of its team leaves grant to it. Returns whether the team's
    /// grant does not cover the task now.
    fn set_grant_aside(
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

    /// Whether one more machine may be reserved, of those that could run this job.
    pub(super) fn could_reserve_backfill(
        &self,
        spec: &JobSpec,
        index: &CapacityIndex,
        context: &Context<'_>,
    ) -> bool {
        let mut classes = index.classes();
        let most = max_reservations(index.entries().len());
        self.backfill.count_in_force(context.now()) < most
            && classes.any(|(class, mut machines)| {
                self.is_eligible(spec, class, context)
                    && machines
                        .any(|e| !e.machine.faulty && spec.resources.fits_in(e.machine.total))
            })
    }

    /// CPUs of a team's quota that no shard has been granted.
    fn ungranted_cpus(&self, team: &Team, context: &Context<'_>) -> f64 {
        let limits = &context.config.settings.deployment.teams;
        let limit = limits.iter().find(|t| t.name == team.as_str());
        let quota = context.records.quotas.get(team);
        let granted = quota.map_or(0.0, |q| q.value.granted().cpus);
        limit.map_or(0.0, |l| l.cpus_max - granted)
    }

    /// Whether a reserved machine may still be used and reserved for this job.
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
            !e.machine.faulty
                && !pass.backfill.contains_key(name)
                && self.is_eligible(spec, pass.capacity_index.class(e), context)
        })
    }

    /// The machine that has room for one of the job's tasks soonest.
    fn nearest_machine(
        &self,
        spec: &JobSpec,
        pass: &PlacementPass,
        context: &Context<'_>,
    ) -> Option<MachineId> {
        let is_reserved =
            |name: &MachineId| pass.backfill.contains_key(name) || self.backfill.uses(name);
        let machines: Vec<(&MachineId, BackfillCandidate)> = pass
            .capacity_index
            .classes()
            .filter(|(class, _)| {
                class.reservation.is_none() && self.is_eligible(spec, class, context)
            })
            .flat_map(|(_, machines)| machines)
            .filter(|e| !e.machine.faulty && !is_reserved(&e.machine.name))
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
        let at = nearest(spec.resources, machines.iter().map(|(_, m)| *m))?;
        Some(machines[at].0.clone())
    }

    /// What services use of a machine: it does not become free by itself.
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
