//! Room held for jobs that have waited for long with nothing on any machine: an exception to the order of jobs, which
//! fills machines with whatever fits and so may never leave enough for a large task.

use super::Shard;
use super::placement::{CapacityIndex, Pass, Where};
use super::queue::QueuedJob;
use crate::coordination::context::Context;
use snowshelf_fair_share::backfill::{
    BackfillCandidate, HELD_MS, REST_MS, WAITED_MS, most, nearest,
};
use snowshelf_model::ids::{JobId, MachineId, MonotonicMillis, Team};
use snowshelf_model::records::{Grant, JobKind, JobSpec, Resources};

/// What is held for a job.
pub(super) struct Hold {
    since: MonotonicMillis,
    machine: MachineId,
}

impl Hold {
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
    pub(super) fn hold(&mut self, turns: &[QueuedJob], pass: &mut Pass, context: &Context) {
        let now = context.now();
        let mut waiting: Vec<(bool, &QueuedJob)> = turns
            .iter()
            .filter(|t| context.effects.wall_ms.saturating_sub(t.since.0) >= WAITED_MS)
            .filter_map(|t| Some((self.has_begun(&t.job, context)?, t)))
            .collect();
        self.holds
            .retain(|id, hold| waiting.iter().any(|(_, t)| t.job == *id) && !hold.over(now));
        // By the users' priorities, then those of which nothing has ever begun, the oldest of them before the others.
        waiting.sort_by(|(a_begun, a), (b_begun, b)| {
            let key = |begun, t: &QueuedJob| (t.rank.1, begun, t.since);
            (key(*a_begun, a), &a.job).cmp(&(key(*b_begun, b), &b.job))
        });
        let most = most(pass.capacity_index.entries().len());
        let mut held = self.held(now);
        for (_, turn) in waiting {
            match self.holds.get(&turn.job).map(|h| h.holds(now)) {
                Some(true) => {
                    self.hold_for(turn, pass, context);
                }
                None if held < most => held += usize::from(self.hold_for(turn, pass, context)),
                Some(false) | None => {}
            }
        }
    }

    /// For how many jobs room is held.
    fn held(&self, now: MonotonicMillis) -> usize {
        self.holds.values().filter(|h| h.holds(now)).count()
    }

    /// Whether anything of a job has ended, in any part; none if something of it is on a machine, or if it fails.
    fn has_begun(&self, id: &JobId, context: &Context) -> Option<bool> {
        let job = self
            .jobs
            .get(id)
            .filter(|j| j.started == 0 && j.failures < 2)?;
        let shares = job.spec.shards.iter().filter(|p| **p != self.id);
        let mut shares = shares.filter_map(|p| context.records.allocations.get(&(*p, id.clone())));
        let mut begun = !job.view.finished.is_empty();
        let there = shares.any(|share| {
            begun |= !share.value.finished.is_empty();
            !share.value.started.is_empty()
        });
        (!there).then_some(begun)
    }

    /// Holds room for a job, or takes what is held; whether any is.
    fn hold_for(&mut self, turn: &QueuedJob, pass: &mut Pass, context: &Context) -> bool {
        let now = context.now();
        let Some(spec) = self.jobs.get(&turn.job).and_then(|j| j.spec()).cloned() else {
            return false;
        };
        let known = self.holds.remove(&turn.job);
        let kept = known.as_ref().map(|h| h.machine.clone());
        let kept = kept.filter(|m| self.may_be_held(m, &spec, pass, context));
        // Where nothing here could ever run it, another part has to.
        let Some(machine) = kept.or_else(|| self.choose(&spec, pass, context)) else {
            return false;
        };
        // Asks for grant, too, if only that is missing.
        self.place_job(turn, &Where::On(machine.clone()), pass, context);
        if self.jobs.get(&turn.job).is_some_and(|j| j.started > 0) {
            return false;
        }
        let granted = self.granted(&spec.team, context);
        let used = pass.used.entry(spec.team.clone()).or_default();
        let lacks = granted.cpus - used.cpus < spec.resources.cpus;
        if granted.cpus >= spec.resources.cpus {
            // What ends of its team leaves grant to it.
            used.add(Grant::from(spec.resources));
        }
        let mut entries = pass.capacity_index.entries().iter();
        let free = entries.find(|e| e.what.name == machine).map(|e| e.free);
        let empty = free.is_some_and(|free| spec.resources.fits_in(free));
        // A machine with room is not kept from others while the team's limit does not allow the task.
        if !(empty && lacks) || self.ungranted(&spec.team, context) >= spec.resources.cpus {
            pass.held.insert(machine.clone(), turn.job.clone());
        }
        let since = known.map_or(now, |h| h.since);
        if since == now {
            tracing::info!(job = %turn.job, shard = %self.id, machine = %machine, lacks, "backfill reservation made");
        }
        self.holds.insert(turn.job.clone(), Hold { since, machine });
        true
    }

    /// Whether room may be held for one more job, on a machine that could run this one.
    pub(super) fn could_hold(
        &self,
        spec: &JobSpec,
        capacity_index: &CapacityIndex,
        context: &Context,
    ) -> bool {
        let mut groups = capacity_index.groups();
        self.held(context.effects.now) < most(capacity_index.entries().len())
            && groups.any(|(sort, mut machines)| {
                self.takes(spec, sort, context)
                    && machines.any(|e| !e.what.faulty && spec.resources.fits_in(e.what.whole))
            })
    }

    /// CPUs of a team's limit that no part has.
    fn ungranted(&self, team: &Team, context: &Context) -> f64 {
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
    fn may_be_held(
        &self,
        name: &MachineId,
        spec: &JobSpec,
        pass: &Pass,
        context: &Context,
    ) -> bool {
        let mut entries = pass.capacity_index.entries().iter();
        let entry = entries.find(|e| e.what.name == *name);
        entry.is_some_and(|e| {
            !e.what.faulty
                && !pass.held.contains_key(name)
                && self.takes(spec, pass.capacity_index.key(e), context)
        })
    }

    /// The machine that has room for one of the job's tasks soonest.
    fn choose(&self, spec: &JobSpec, pass: &Pass, context: &Context) -> Option<MachineId> {
        let taken = |name: &MachineId| {
            pass.held.contains_key(name) || self.holds.values().any(|h| h.machine == *name)
        };
        let machines: Vec<(&MachineId, BackfillCandidate)> = pass
            .capacity_index
            .groups()
            .filter(|(sort, _)| sort.kept.is_none() && self.takes(spec, sort, context))
            .flat_map(|(_, machines)| machines)
            .filter(|e| !e.what.faulty && !taken(&e.what.name))
            .map(|e| {
                let mut in_time = e.what.whole;
                in_time.sub(self.lasting(&e.what.name));
                let free = e.free;
                (&e.what.name, BackfillCandidate { free, in_time })
            })
            .collect();
        let at = nearest(spec.resources, machines.iter().map(|(_, m)| *m))?;
        Some(machines[at].0.clone())
    }

    /// What services take of a machine: it does not end by itself.
    fn lasting(&self, name: &MachineId) -> Resources {
        let mut room = Resources::default();
        for (_, job) in self.jobs_on(name) {
            if let Some(spec) = job.spec().filter(|s| s.kind == JobKind::Service) {
                let tasks = job.view.started.get(name).map_or(0, |s| s.len());
                room.add(spec.resources.times(f64::from(tasks)));
            }
        }
        room
    }
}
