//! Room held for jobs that have waited for long with nothing on any machine: an exception to the order of jobs, which
//! fills machines with whatever fits and so may never leave enough for a large task.

use super::Shard;
use super::capacity::CapacityIndex;
use super::placement::{PlacementPass, PlacementScope};
use super::queue::QueuedJob;
use crate::coordination::context::Context;
use snowshelf_fair_share::backfill::{
    BackfillCandidate, HELD_MS, REST_MS, WAITED_MS, most, nearest,
};
use snowshelf_model::ids::{JobId, MachineId, MonotonicMillis, Team};
use snowshelf_model::records::{Grant, JobKind, JobSpec, Resources};
use std::collections::BTreeMap;

/// What is held for a job.
pub(super) struct BackfillReservation {
    since: MonotonicMillis,
    machine: MachineId,
}

/// Machines reserved for jobs that have found none for long.
#[derive(Default)]
pub(super) struct BackfillReservations {
    by_job: BTreeMap<JobId, BackfillReservation>,
}

impl BackfillReservation {
    /// Whether it is in force; it rests for a while afterwards.
    fn holds(&self, now: MonotonicMillis) -> bool {
        now.since(self.since) <= HELD_MS
    }

    fn over(&self, now: MonotonicMillis) -> bool {
        now.since(self.since) > HELD_MS + REST_MS
    }
}

impl Shard {
    /// Places the jobs for which room is held where it is, and keeps that room, of machines and of their teams' grants,
    /// from all others in this pass.
    pub(super) fn reserve_for_backfill(
        &mut self,
        queue: &[QueuedJob],
        pass: &mut PlacementPass,
        context: &Context,
    ) {
        let now = context.now();
        let mut waiting: Vec<(bool, &QueuedJob)> = queue
            .iter()
            .filter(|t| context.effects.wall_ms.saturating_sub(t.since.0) >= WAITED_MS)
            .filter_map(|t| Some((self.has_begun(&t.job, context)?, t)))
            .collect();
        self.backfill
            .by_job
            .retain(|id, hold| waiting.iter().any(|(_, t)| t.job == *id) && !hold.over(now));
        // By the users' priorities, then those of which nothing has ever begun, the oldest of them before the others.
        waiting.sort_by(|(a_begun, a), (b_begun, b)| {
            let key = |begun, t: &QueuedJob| (t.rank.1, begun, t.since);
            (key(*a_begun, a), &a.job).cmp(&(key(*b_begun, b), &b.job))
        });
        let most = most(pass.capacity_index.entries().len());
        let mut held = self.reservations_in_force(now);
        for (_, queued) in waiting {
            match self.backfill.by_job.get(&queued.job).map(|h| h.holds(now)) {
                Some(true) => {
                    self.reserve_for_job(queued, pass, context);
                }
                None if held < most => {
                    held += usize::from(self.reserve_for_job(queued, pass, context))
                }
                Some(false) | None => {}
            }
        }
    }

    /// For how many jobs room is held.
    fn reservations_in_force(&self, now: MonotonicMillis) -> usize {
        self.backfill
            .by_job
            .values()
            .filter(|h| h.holds(now))
            .count()
    }

    /// Whether anything of a job has ended, in any part; none if something of it is on a machine, or if it fails.
    fn has_begun(&self, id: &JobId, context: &Context) -> Option<bool> {
        let job = self
            .jobs
            .get(id)
            .filter(|j| j.started_tasks == 0 && j.consecutive_failures < 2)?;
        let shares = job.record.shards.iter().filter(|p| **p != self.id);
        let mut shares = shares.filter_map(|p| context.records.allocations.get(&(*p, id.clone())));
        let mut begun = !job.desired.finished.is_empty();
        let there = shares.any(|share| {
            begun |= !share.value.finished.is_empty();
            !share.value.started.is_empty()
        });
        (!there).then_some(begun)
    }

    /// Holds room for a job, or takes what is held; whether any is.
    fn reserve_for_job(
        &mut self,
        queued: &QueuedJob,
        pass: &mut PlacementPass,
        context: &Context,
    ) -> bool {
        let now = context.now();
        let Some(spec) = self.jobs.get(&queued.job).and_then(|j| j.spec()).cloned() else {
            return false;
        };
        let known = self.backfill.by_job.remove(&queued.job);
        let kept = known.as_ref().map(|h| h.machine.clone());
        let kept = kept.filter(|m| self.is_still_reservable(m, &spec, pass, context));
        // PlacementScope nothing here could ever run it, another part has to.
        let Some(machine) = kept.or_else(|| self.nearest_machine(&spec, pass, context)) else {
            return false;
        };
        // Asks for grant, too, if only that is missing.
        self.place_job(queued, &PlacementScope::On(machine.clone()), pass, context);
        if self
            .jobs
            .get(&queued.job)
            .is_some_and(|j| j.started_tasks > 0)
        {
            return false;
        }
        let granted = self.granted(&spec.team, context);
        let used = pass.used.entry(spec.team.clone()).or_default();
        let lacks = granted.cpus - used.cpus < spec.resources.cpus;
        if granted.cpus >= spec.resources.cpus {
            // What ends of its team leaves grant to it.
            used.add(Grant::of(spec.resources));
        }
        let mut entries = pass.capacity_index.entries().iter();
        let free = entries.find(|e| e.what.name == machine).map(|e| e.free);
        let empty = free.is_some_and(|free| spec.resources.fits_in(free));
        // A machine with room is not kept from others while the team's limit does not allow the task.
        if !(empty && lacks) || self.ungranted_cpus(&spec.team, context) >= spec.resources.cpus {
            pass.backfill.insert(machine.clone(), queued.job.clone());
        }
        let since = known.map_or(now, |h| h.since);
        if since == now {
            tracing::info!(job = %queued.job, shard = %self.id, machine = %machine, lacks, "backfill reservation made");
        }
        self.backfill
            .by_job
            .insert(queued.job.clone(), BackfillReservation { since, machine });
        true
    }

    /// Whether room may be held for one more job, on a machine that could run this one.
    pub(super) fn could_reserve_backfill(
        &self,
        spec: &JobSpec,
        capacity_index: &CapacityIndex,
        context: &Context,
    ) -> bool {
        let mut groups = capacity_index.groups();
        self.reservations_in_force(context.effects.now) < most(capacity_index.entries().len())
            && groups.any(|(class, mut machines)| {
                self.is_eligible(spec, class, context)
                    && machines.any(|e| !e.what.faulty && spec.resources.fits_in(e.what.total))
            })
    }

    /// CPUs of a team's limit that no part has.
    fn ungranted_cpus(&self, team: &Team, context: &Context) -> f64 {
        let limits = &context.config.settings.deployment.teams;
        let limit = limits.iter().find(|t| t.name == team.as_str());
        let granted = context
            .records
            .quotas
            .get(team)
            .map_or(0.0, |q| q.value.granted().cpus);
        limit.map_or(0.0, |l| l.cpus_max - granted)
    }

    /// Whether a machine that is held may be used and held for this job still.
    fn is_still_reservable(
        &self,
        name: &MachineId,
        spec: &JobSpec,
        pass: &PlacementPass,
        context: &Context,
    ) -> bool {
        let mut entries = pass.capacity_index.entries().iter();
        let entry = entries.find(|e| e.what.name == *name);
        entry.is_some_and(|e| {
            !e.what.faulty
                && !pass.backfill.contains_key(name)
                && self.is_eligible(spec, pass.capacity_index.key(e), context)
        })
    }

    /// The machine that has room for one of the job's tasks soonest.
    fn nearest_machine(
        &self,
        spec: &JobSpec,
        pass: &PlacementPass,
        context: &Context,
    ) -> Option<MachineId> {
        let taken = |name: &MachineId| {
            pass.backfill.contains_key(name)
                || self.backfill.by_job.values().any(|h| h.machine == *name)
        };
        let machines: Vec<(&MachineId, BackfillCandidate)> = pass
            .capacity_index
            .groups()
            .filter(|(class, _)| {
                class.reservation.is_none() && self.is_eligible(spec, class, context)
            })
            .flat_map(|(_, machines)| machines)
            .filter(|e| !e.what.faulty && !taken(&e.what.name))
            .map(|e| {
                let mut in_time = e.what.total;
                in_time.sub(self.used_by_services(&e.what.name));
                let free = e.free;
                (&e.what.name, BackfillCandidate { free, in_time })
            })
            .collect();
        let at = nearest(spec.resources, machines.iter().map(|(_, m)| *m))?;
        Some(machines[at].0.clone())
    }

    /// What services take of a machine: it does not end by itself.
    fn used_by_services(&self, name: &MachineId) -> Resources {
        let mut room = Resources::default();
        for (_, job) in self.jobs.on_machine(name) {
            if let Some(spec) = job.spec().filter(|s| s.kind == JobKind::Service) {
                let tasks = job.desired.started.get(name).map_or(0, |s| s.len());
                room.add(spec.resources.times(f64::from(tasks)));
            }
        }
        room
    }
}
