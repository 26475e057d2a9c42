//! Machines that are given back: idle, silent, noticed or faulty ones.

use super::reservations::rented_ahead_ms;
use super::{Shard, requeue};
use crate::coordination::cloud_client::CloudRequest;
use crate::coordination::context::Context;
use crate::effects::Response;
use snowshelf_drain::entry::Then;
use snowshelf_model::ids::{Attempt, JobId, MachineId, TaskIndex, seconds_to_ms};
use snowshelf_reconciliation::silence::{
    ZoneSilence, heartbeat_overdue_ms, release_after_cancellation_ms, release_after_silence_ms,
};
use std::collections::{BTreeMap, BTreeSet};

/// Names of returned machines that are remembered, to know late reports by.
const TOMBSTONES: usize = 4_000;

impl Shard {
    pub(super) fn tend_machines(&mut self, missing: &BTreeSet<MachineId>, context: &mut Context) {
        self.empty_closed(context);
        self.tend_closed(context);
        let now = context.now();
        let ahead_ms = rented_ahead_ms(context);
        let lease_ms = context.config.settings.lease_ms();
        let report_ms = context.config.settings.report_ms();
        let idle_ms = seconds_to_ms(context.config.ops.idle_release_s);
        let waiting = self.matched.any;
        let mut back: Vec<MachineId> = Vec::new();
        let zones = self.silences(context);
        let names: Vec<MachineId> = self.machines.keys().cloned().collect();
        for name in names {
            let holds = self.holds_tasks(&name);
            let frozen = self.may_be_frozen(&name, context);
            let busy = holds || self.kept_ready(&name, ahead_ms, context);
            // What a drain keeps empty is not handed back, and what it returns goes when it is empty.
            let then = context.drains.cordoned.get(&name).map(|c| c.then);
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
                let cut = zones.get(&m.zone).is_some_and(|z| z.is_cut_off());
                let ready_s = context.types.get(&m.model).map_or(0.0, |t| t.ready_s);
                release_after_silence_ms(lease_ms + 2 * report_ms, cut, seconds_to_ms(ready_s))
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
            let frozen = frozen && silent > heartbeat_overdue_ms(report_ms);
            if silent > limit || frozen || spent || idle {
                tracing::info!(machine = %name, shard = %self.id, silent_ms = silent, frozen, spent, idle,
                    "machine scaled in");
                m.returning = true;
                back.push(name);
            }
        }
        if !back.is_empty() && !self.releasing && context.cloud.may_call(now) {
            back.truncate(100);
            self.releasing = true;
            context.cloud.release(
                context.effects,
                CloudRequest::ShardScaleIn(self.id, self.fencing_token, back.clone()),
                &back,
            );
        }
    }

    /// Whether a machine has, by the records, tasks that were cancelled so long ago that it must be returned unless it
    /// is heard. Guards against one that hangs for longer than cancelled tasks may stay, while owners change: each
    /// begins anew to count its silence, the cancellation's record does not.
    fn may_be_frozen(&self, name: &MachineId, context: &Context) -> bool {
        let before = release_after_cancellation_ms(context.config.settings.cancel_ms());
        let cancelled = self.jobs_on(name).filter(|(_, j)| j.cancelled());
        let mut at = cancelled.filter_map(|(_, j)| j.spec.ended);
        at.any(|at| context.effects.wall_ms.saturating_sub(at.0) > before)
    }

    /// How many of the machines of each zone are silent.
    fn silences(&self, context: &Context) -> BTreeMap<usize, ZoneSilence> {
        let now = context.effects.now;
        let silent_ms = 2 * context.config.settings.report_ms();
        let mut zones: BTreeMap<usize, ZoneSilence> = BTreeMap::new();
        for m in self.machines.values().filter(|m| m.reported) {
            let zone = zones.entry(m.zone).or_default();
            zone.machines += 1;
            zone.silent += u32::from(now.since(m.heard) > silent_ms);
        }
        zones
    }

    /// The cloud confirmed that these machines, and all that was on them, are gone.
    pub fn returned(&mut self, machines: &[MachineId], confirmed: bool, context: &mut Context) {
        self.releasing = false;
        if !confirmed {
            return;
        }
        let now = context.now();
        for name in machines {
            if let Some(m) = self.machines.remove(name)
                && let Some(held) = m.held
            {
                context.effects.respond(
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
            let held: Vec<(JobId, TaskIndex, Attempt)> = self
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
