//! Scale-in: releases machines that are idle, silent, interrupted, drained or quarantined to the
//! cloud.

use super::Shard;
use super::machine::Machine;
use super::reservations::provisioning_lead_ms;
use crate::coordination::cloud_client::CloudRequest;
use crate::coordination::context::Context;
use crate::effects::Response;
use snowshelf_drain::entry::Then;
use snowshelf_model::ids::{MachineId, seconds_to_ms};
use snowshelf_model::records::{AllocationChange, AllocationChangeKind};
use snowshelf_reconciliation::silence::{
    ZoneSilence, heartbeat_overdue_ms, release_after_cancellation_ms, release_after_silence_ms,
};
use std::collections::{BTreeMap, BTreeSet, HashSet, VecDeque};

/// Number of released machines that are remembered.
const MAX_REMEMBERED_MACHINES: usize = 4_000;

/// Maximum number of machines released by one request.
const MAX_RELEASES: usize = 100;

/// State of the release of machines to the cloud.
#[derive(Default)]
pub(super) struct ScaleIn {
    request_in_flight: bool,
    pub released: ReleasedMachines,
}

/// Names of the most recently released machines, used to recognize late heartbeats.
#[derive(Default)]
pub(super) struct ReleasedMachines {
    names: HashSet<MachineId>,
    /// Oldest first.
    order: VecDeque<MachineId>,
}

impl ReleasedMachines {
    /// Whether a machine was released recently.
    pub(super) fn contains(&self, name: &MachineId) -> bool {
        self.names.contains(name)
    }

    /// Remembers a machine, and forgets the oldest one if there are too many.
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

/// Inputs of a scale-in round other than the state of each machine.
struct ScaleInRound<'a> {
    /// Machines that the cloud does not list.
    missing_machines: &'a BTreeSet<MachineId>,
    zones: BTreeMap<usize, ZoneSilence>,
    /// How long before a reservation begins its machines are kept, in milliseconds.
    reservation_lead_ms: u64,
}

/// The reasons to release a machine, each of which suffices.
struct ScaleInDecision {
    silent_ms: u64,
    overdue: bool,
    cancellation_overdue: bool,
    vacated: bool,
    idle: bool,
}

impl ScaleInDecision {
    fn releases(&self) -> bool {
        self.overdue || self.cancellation_overdue || self.vacated || self.idle
    }
}

impl Shard {
    /// Updates cordons, and releases machines that are not needed or presumed gone.
    pub(super) fn scale_in_machines(
        &mut self,
        missing_machines: &BTreeSet<MachineId>,
        context: &mut Context<'_>,
    ) {
        self.drain_closing_pools(context);
        self.update_cordons(context);
        let round = ScaleInRound {
            missing_machines,
            zones: self.zone_silence(context),
            reservation_lead_ms: provisioning_lead_ms(context),
        };
        let mut releases: Vec<MachineId> = Vec::new();
        let names: Vec<MachineId> = self.machines.keys().cloned().collect();
        for name in names {
            if self.decide_release(&name, &round, context) {
                releases.push(name);
            }
        }
        self.request_release(releases, context);
    }

    /// Decides whether a machine is released. The decision is final.
    fn decide_release(
        &mut self,
        name: &MachineId,
        round: &ScaleInRound<'_>,
        context: &Context<'_>,
    ) -> bool {
        let Some(m) = self.machines.get(name) else {
            return false;
        };
        if m.releasing {
            return true;
        }
        let decision = self.scale_in_decision(name, m, round, context);
        if !decision.releases() {
            return false;
        }
        tracing::info!(machine = %name, shard = %self.id, silent_ms = decision.silent_ms, frozen = decision.cancellation_overdue,
            spent = decision.vacated, idle = decision.idle, "machine scaled in");
        if let Some(m) = self.machines.get_mut(name) {
            m.releasing = true;
        }
        true
    }

    fn scale_in_decision(
        &self,
        name: &MachineId,
        m: &Machine,
        round: &ScaleInRound<'_>,
        context: &Context<'_>,
    ) -> ScaleInDecision {
        let now = context.now();
        let heartbeat_ms = context.config.settings.report_ms();
        let idle_ms = seconds_to_ms(context.config.ops.idle_release_s);
        // A machine that a drain keeps empty is never released as idle or drained; other drained
        // machines are released when they are empty.
        let after_drain = context.drains.cordoned.get(name).map(|c| c.then);
        let has_tasks = self.jobs.has_tasks_on(name);
        let reports_tasks = m.reports_live_tasks();
        let busy = has_tasks || self.is_reserved_soon(name, round.reservation_lead_ms, context);
        let drained = m.cordoned && m.token_acknowledged && !has_tasks && !reports_tasks;
        let silent_ms = now.since(m.last_heartbeat_at);
        let idle_for_long = m.idle_since.is_some_and(|since| now.since(since) > idle_ms);
        ScaleInDecision {
            silent_ms,
            overdue: silent_ms > silence_limit_ms(name, m, round, context),
            cancellation_overdue: self.has_long_cancelled_tasks(name, context)
                && silent_ms > heartbeat_overdue_ms(heartbeat_ms),
            vacated: (m.retirement.is_some() && !busy && !reports_tasks)
                || (drained && after_drain.is_some_and(|then| then != Then::Keep)),
            idle: !busy
                && after_drain.is_none()
                && !reports_tasks
                && !self.placement.demand.placeable
                && idle_for_long,
        }
    }

    fn request_release(&mut self, mut releases: Vec<MachineId>, context: &mut Context<'_>) {
        if releases.is_empty()
            || self.scale_in.request_in_flight
            || !context.cloud.may_call(context.now())
        {
            return;
        }
        releases.truncate(MAX_RELEASES);
        self.scale_in.request_in_flight = true;
        let tag = CloudRequest::ShardScaleIn(self.id, self.fencing_token, releases.clone());
        context.cloud.release(context.effects, tag, &releases);
    }

    /// Whether the records show tasks on a machine that were cancelled so long ago that an overdue
    /// heartbeat suffices to release it. Guards against a machine that hangs for longer than
    /// cancelled tasks may stay, across leader changes: each new leader restarts the count of its
    /// silence, but the time of the cancellation is recorded.
    fn has_long_cancelled_tasks(&self, name: &MachineId, context: &Context<'_>) -> bool {
        let limit_ms = release_after_cancellation_ms(context.config.settings.cancel_ms());
        let jobs = self.jobs.on_machine(name);
        let cancelled = jobs.filter(|(_, j)| j.cancelled());
        let mut cancelled_at = cancelled.filter_map(|(_, j)| j.record.ended);
        cancelled_at.any(|at| context.effects.wall_ms.saturating_sub(at.0) > limit_ms)
    }

    /// Counts the machines and the silent machines of each zone.
    fn zone_silence(&self, context: &Context<'_>) -> BTreeMap<usize, ZoneSilence> {
        let now = context.now();
        let silent_ms = 2 * context.config.settings.report_ms();
        let mut zones: BTreeMap<usize, ZoneSilence> = BTreeMap::new();
        for m in self.machines.values().filter(|m| m.heartbeat_received) {
            let zone = zones.entry(m.zone).or_default();
            zone.machines += 1;
            zone.silent += u32::from(now.since(m.last_heartbeat_at) > silent_ms);
        }
        zones
    }

    /// Handles the outcome of a release. If the cloud has confirmed it, the machines are gone with
    /// everything on them, and their tasks are requeued.
    pub fn on_machines_released(
        &mut self,
        machines: &[MachineId],
        confirmed: bool,
        context: &mut Context<'_>,
    ) {
        self.scale_in.request_in_flight = false;
        if !confirmed {
            return;
        }
        let now = context.now();
        for name in machines {
            let machine = self.machines.remove(name);
            if let Some(deferred) = machine.and_then(|m| m.deferred_response) {
                let response = Response::retry_later(503, "this machine was returned", 5);
                context.effects.respond(deferred.connection, response);
            }
            self.scale_in.released.insert(name);
            for (job, task, attempt) in self.jobs.tasks_on(name) {
                let requeue = AllocationChange {
                    task,
                    attempt,
                    machine: name.clone(),
                    kind: AllocationChangeKind::Requeue,
                };
                self.apply_change(now, &job, requeue);
            }
        }
    }
}

/// Returns how long a machine may be silent before it is released, in milliseconds. Neither silence
/// nor absence from the cloud's list proves that a machine is gone. Together they make it likely
/// enough to release the machine, but its tasks are requeued only once the release is confirmed.
fn silence_limit_ms(
    name: &MachineId,
    m: &Machine,
    round: &ScaleInRound<'_>,
    context: &Context<'_>,
) -> u64 {
    let settings = &context.config.settings;
    let heartbeat_ms = settings.report_ms();
    let interrupted = m.interruption_at.is_some_and(|at| at < context.now());
    if interrupted || round.missing_machines.contains(name) {
        return 2 * heartbeat_ms;
    }
    let cut_off = round.zones.get(&m.zone).is_some_and(|z| z.is_partitioned());
    let ready_s = context
        .machine_types
        .get(&m.model)
        .map_or(0.0, |t| t.ready_s);
    let lease_ms = settings.lease_ms() + 2 * heartbeat_ms;
    release_after_silence_ms(lease_ms, cut_off, seconds_to_ms(ready_s))
}
