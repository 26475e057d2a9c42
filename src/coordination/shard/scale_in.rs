//! Machines that are given back: idle, silent, noticed or faulty ones.

use super::Shard;
use super::reservations::provisioning_lead_ms;
use crate::coordination::context::{CloudTag, Context};
use crate::effects::Response;
use snowshelf_drain::entry::Then;
use snowshelf_model::ids::{MachineId, seconds_to_ms};
use snowshelf_model::records::{AllocationChange, AllocationChangeKind};
use snowshelf_reconciliation::silence::{ZoneSilence, frozen_ms, overdue_ms, patience_ms};
use std::collections::{BTreeMap, BTreeSet, HashSet, VecDeque};

/// Names of returned machines that are remembered, to know late reports by.
const MAX_REMEMBERED_MACHINES: usize = 4_000;

/// The state of releasing machines to the cloud.
#[derive(Default)]
pub(super) struct ScaleIn {
    request_in_flight: bool,
    pub released: ReleasedMachines,
}

/// The names of the machines released last, to recognize late heartbeats by.
#[derive(Default)]
pub(super) struct ReleasedMachines {
    names: HashSet<MachineId>,
    /// The oldest first.
    order: VecDeque<MachineId>,
}

impl ReleasedMachines {
    pub fn contains(&self, name: &MachineId) -> bool {
        self.names.contains(name)
    }

    /// Remembers a machine, and forgets the oldest if there are too many.
    fn insert(&mut self, name: &MachineId) {
        if !self.names.insert(name.clone()) {
            return;
        }
        self.order.push_back(name.clone());
        if self.order.len() > MAX_REMEMBERED_MACHINES
            && let Some(oldest) = self.order.pop_front()
        {
            self.names.remove(&oldest);
        }
    }
}

impl Shard {
    pub(super) fn scale_in_machines(
        &mut self,
        missing: &BTreeSet<MachineId>,
        context: &mut Context,
    ) {
        self.drain_closing_pools(context);
        self.update_cordons(context);
        let now = context.now();
        let ahead_ms = provisioning_lead_ms(context);
        let lease_ms = context.config.settings.lease_ms();
        let heartbeat_ms = context.config.settings.report_ms();
        let idle_ms = seconds_to_ms(context.config.ops.idle_release_s);
        let waiting = self.placement.demand.any;
        let mut back: Vec<MachineId> = Vec::new();
        let zones = self.zone_silence(context);
        let names: Vec<MachineId> = self.machines.keys().cloned().collect();
        for name in names {
            let holds = self.jobs.has_tasks_on(&name);
            let frozen = self.may_be_frozen(&name, context);
            let busy = holds || self.is_reserved_soon(&name, ahead_ms, context);
            // What a drain keeps empty is not handed back, and what it returns goes when it is empty.
            let then = context.drains.closed.get(&name).map(|c| c.then);
            let Some(m) = self.machines.get_mut(&name) else {
                continue;
            };
            if m.releasing {
                back.push(name);
                continue;
            }
            let silent = now.since(m.last_heartbeat_at);
            let noticed = m.interruption_at.is_some_and(|u| u < now);
            // Silence alone is no proof, nor is a missing name; both together make it likely enough
            // to return the machine, and only the confirmed return frees its tasks.
            let limit = if noticed || missing.contains(&name) {
                2 * heartbeat_ms
            } else {
                let cut = zones.get(&m.zone).is_some_and(|z| z.cut());
                let ready_s = context.types.get(&m.model).map_or(0.0, |t| t.ready_s);
                patience_ms(lease_ms + 2 * heartbeat_ms, cut, seconds_to_ms(ready_s))
            };
            let listed = m.reports_live_tasks();
            let emptied = m.cordoned && m.token_acknowledged && !holds && !listed;
            let spent = (m.retirement.is_some() && !busy && !listed)
                || (emptied && then.is_some_and(|t| t != Then::Keep));
            let idle = !busy
                && then.is_none()
                && !listed
                && !waiting
                && m.idle_since.is_some_and(|since| now.since(since) > idle_ms);
            let frozen = frozen && silent > overdue_ms(heartbeat_ms);
            if silent > limit || frozen || spent || idle {
                tracing::info!(machine = %name, shard = %self.id, silent_ms = silent, frozen, spent, idle,
                    "machine scaled in");
                m.releasing = true;
                back.push(name);
            }
        }
        if !back.is_empty() && !self.scale_in.request_in_flight && context.cloud.may(now) {
            back.truncate(100);
            self.scale_in.request_in_flight = true;
            context.cloud.release(
                context.effects,
                CloudTag::ShardScaleIn(self.id, self.fencing_token, back.clone()),
                &back,
            );
        }
    }

    /// Whether a machine has, by the records, tasks that were cancelled so long ago that it must be returned unless it
    /// is heard. Guards against one that hangs for longer than cancelled tasks may stay, while owners change: each
    /// begins anew to count its silence, the cancellation's record does not.
    fn may_be_frozen(&self, name: &MachineId, context: &Context) -> bool {
        let before = frozen_ms(context.config.settings.cancel_ms());
        let cancelled = self.jobs.on_machine(name).filter(|(_, j)| j.cancelled());
        let mut at = cancelled.filter_map(|(_, j)| j.record.ended);
        at.any(|at| context.effects.wall_ms.saturating_sub(at.0) > before)
    }

    /// How many of the machines of each zone are silent.
    fn zone_silence(&self, context: &Context) -> BTreeMap<usize, ZoneSilence> {
        let now = context.effects.now;
        let silent_ms = 2 * context.config.settings.report_ms();
        let mut zones: BTreeMap<usize, ZoneSilence> = BTreeMap::new();
        for m in self.machines.values().filter(|m| m.heartbeat_received) {
            let zone = zones.entry(m.zone).or_default();
            zone.known += 1;
            zone.silent += u32::from(now.since(m.last_heartbeat_at) > silent_ms);
        }
        zones
    }

    /// The cloud confirmed that these machines, and all that was on them, are gone.
    pub fn on_machines_released(
        &mut self,
        machines: &[MachineId],
        confirmed: bool,
        context: &mut Context,
    ) {
        self.scale_in.request_in_flight = false;
        if !confirmed {
            return;
        }
        let now = context.now();
        for name in machines {
            if let Some(m) = self.machines.remove(name)
                && let Some(held) = m.deferred_response
            {
                context.effects.respond(
                    held.connection,
                    Response::later(503, "this machine was returned", 5),
                );
            }
            self.scale_in.released.insert(name);
            for (job, task, attempt) in self.jobs.tasks_on(name) {
                let requeue = AllocationChange {
                    task,
                    attempt,
                    machine: name.clone(),
                    what: AllocationChangeKind::Requeue,
                };
                self.apply_change(now, &job, requeue);
            }
        }
    }
}
