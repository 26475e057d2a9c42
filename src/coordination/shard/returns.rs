//! Machines that are given back: idle, silent, noticed or faulty ones.

use super::keeping::rented_ahead_ms;
use super::{Shard, requeue};
use crate::coordination::env::{CloudTag, Env};
use crate::outbox::Response;
use snowshelf_drain::entry::Then;
use snowshelf_model::ids::{Attempt, JobId, MachineId, TaskNo, seconds_to_ms};
use snowshelf_recovery::silence::{ZoneSilence, frozen_ms, overdue_ms, patience_ms};
use std::collections::{BTreeMap, BTreeSet};

/// Names of returned machines that are remembered, to know late reports by.
const TOMBSTONES: usize = 4_000;

impl Shard {
    pub(super) fn tend_machines(&mut self, missing: &BTreeSet<MachineId>, env: &mut Env) {
        self.empty_closed(env);
        self.tend_closed(env);
        let now = env.now();
        let ahead_ms = rented_ahead_ms(env);
        let lease_ms = env.cfg.settings.lease_ms();
        let report_ms = env.cfg.settings.report_ms();
        let idle_ms = seconds_to_ms(env.cfg.ops.idle_release_s);
        let waiting = self.matched.any;
        let mut back: Vec<MachineId> = Vec::new();
        let zones = self.silences(env);
        let names: Vec<MachineId> = self.machines.keys().cloned().collect();
        for name in names {
            let holds = self.holds_tasks(&name);
            let frozen = self.may_be_frozen(&name, env);
            let busy = holds || self.kept_ready(&name, ahead_ms, env);
            // What a drain keeps empty is not handed back, and what it returns goes when it is empty.
            let then = env.drains.closed.get(&name).map(|c| c.then);
            let Some(m) = self.machines.get_mut(&name) else {
                continue;
            };
            if m.returning {
                back.push(name);
                continue;
            }
            let silent = now.since(m.heard);
            let noticed = m.notice_until.is_some_and(|u| u < now);
            // Silence alone is no proof, nor is a missing name; both together make it likely enough
            // to return the machine, and only the confirmed return frees its tasks.
            let limit = if noticed || missing.contains(&name) {
                2 * report_ms
            } else {
                let cut = zones.get(&m.zone).is_some_and(|z| z.cut());
                let ready_s = env.types.get(&m.model).map_or(0.0, |t| t.ready_s);
                patience_ms(lease_ms + 2 * report_ms, cut, seconds_to_ms(ready_s))
            };
            let listed = m.lists_tasks();
            let emptied = m.closed && m.shown && !holds && !listed;
            let spent = (m.draining.is_some() && !busy && !listed)
                || (emptied && then.is_some_and(|t| t != Then::Keep));
            let idle = !busy
                && then.is_none()
                && !listed
                && !waiting
                && m.idle_since.is_some_and(|since| now.since(since) > idle_ms);
            let frozen = frozen && silent > overdue_ms(report_ms);
            if silent > limit || frozen || spent || idle {
                tracing::info!(machine = %name, part = %self.part, silent_ms = silent, frozen, spent, idle,
                    "machine is returned");
                m.returning = true;
                back.push(name);
            }
        }
        if !back.is_empty() && !self.releasing && env.cloud.may(now) {
            back.truncate(100);
            self.releasing = true;
            env.cloud.release(
                env.out,
                CloudTag::PartRelease(self.part, self.token, back.clone()),
                &back,
            );
        }
    }

    /// Whether a machine has, by the records, tasks that were cancelled so long ago that it must be returned unless it
    /// is heard. Guards against one that hangs for longer than cancelled tasks may stay, while owners change: each
    /// begins anew to count its silence, the cancellation's record does not.
    fn may_be_frozen(&self, name: &MachineId, env: &Env) -> bool {
        let before = frozen_ms(env.cfg.settings.cancel_ms());
        let cancelled = self.jobs_on(name).filter(|(_, j)| j.cancelled());
        let mut at = cancelled.filter_map(|(_, j)| j.spec.ended);
        at.any(|at| env.out.wall_ms.saturating_sub(at.0) > before)
    }

    /// How many of the machines of each zone are silent.
    fn silences(&self, env: &Env) -> BTreeMap<usize, ZoneSilence> {
        let now = env.out.now;
        let silent_ms = 2 * env.cfg.settings.report_ms();
        let mut zones: BTreeMap<usize, ZoneSilence> = BTreeMap::new();
        for m in self.machines.values().filter(|m| m.reported) {
            let zone = zones.entry(m.zone).or_default();
            zone.known += 1;
            zone.silent += u32::from(now.since(m.heard) > silent_ms);
        }
        zones
    }

    /// The cloud confirmed that these machines, and all that was on them, are gone.
    pub fn returned(&mut self, machines: &[MachineId], confirmed: bool, env: &mut Env) {
        self.releasing = false;
        if !confirmed {
            return;
        }
        let now = env.now();
        for name in machines {
            if let Some(m) = self.machines.remove(name)
                && let Some(held) = m.held
            {
                env.out.respond(
                    held.conn,
                    Response::later(503, "this machine was returned", 5),
                );
            }
            if self.gone.insert(name.clone()) {
                self.gone_order.push_back(name.clone());
                if self.gone_order.len() > TOMBSTONES
                    && let Some(old) = self.gone_order.pop_front()
                {
                    self.gone.remove(&old);
                }
            }
            let held: Vec<(JobId, TaskNo, Attempt)> = self
                .jobs_on(name)
                .flat_map(|(id, j)| {
                    let spans = j.view.started.get(name).into_iter();
                    spans
                        .flat_map(|s| s.iter())
                        .map(|(t, a)| (id.clone(), t, a))
                })
                .collect();
            for (job, task, attempt) in held {
                self.step(now, &job, requeue(name, task, attempt));
            }
        }
    }
}
