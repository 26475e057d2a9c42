//! Advances drains on the leader. Each step is written on condition that the controller still leads.

use super::{Drains, WaitReason};
use crate::coordination::autoscaler::Autoscaler;
use crate::coordination::conditional_write::{ConditionalWrite, RecordUpdate};
use crate::coordination::context::Context;
use crate::storage::kv_client::RequestPriority;
use crate::storage::record_cache::drain_key;
use serde_json::Value;
use snowshelf_calendar::entry::Name;
use snowshelf_drain::entry::{Drain, State, Then};
use snowshelf_drain::stepping::{
    ClusterView, NextAction, ObservedMachine, WaitingFor, next_action,
};
use snowshelf_model::ids::{MachineId, MonotonicMillis, Version, WallClockMillis, seconds_to_ms};
use snowshelf_model::records::Capability;
use std::collections::{BTreeMap, BTreeSet};

/// The time between two steps of the leader, in milliseconds.
const STEP_INTERVAL_MS: u64 = 500;
/// How long a released machine is left out of the cloud's list, in milliseconds. Longer than the cloud lists a
/// machine after it has confirmed the release.
const RELEASED_MS: u64 = 60_000;
/// How long a drain's record is retained after its end, in milliseconds.
const RETENTION_MS: u64 = 86_400_000;
/// Time between two searches for expired drains, in milliseconds.
const EXPIRY_INTERVAL_MS: u64 = 10_000;
/// The least lag assumed of the cloud's list, in milliseconds.
const MIN_LIST_LAG_MS: u64 = 2_000;
/// The length to which a drain's reason is cut if the record is too large, in characters.
const MAX_REASON_CHARS: usize = 60;

/// The progress of evictions, as reported by all shard leaders.
#[derive(Default)]
pub struct EvictionStatus {
    /// Machines that are cordoned and empty.
    pub empty: BTreeSet<MachineId>,
    /// Machines on which the started tasks fail.
    pub failing: BTreeSet<MachineId>,
    /// Why evictions are delayed.
    pub blockers: Vec<String>,
    /// Whether all shards have leaders that report.
    pub complete: bool,
}

/// The state that the leader keeps between steps.
#[derive(Default)]
pub(super) struct LeaderProgress {
    last_step_at: MonotonicMillis,
    /// When this controller took its first step as the leader; absent while it does not lead.
    leader_since: Option<MonotonicMillis>,
    last_expiry_at: MonotonicMillis,
    /// When machines were last reported as released by their shard leaders. The cloud lists them for some time
    /// afterwards.
    released: BTreeMap<MachineId, MonotonicMillis>,
}

/// A change of one drain's record.
struct DrainUpdate {
    name: Name,
    version: Version,
    /// The new record; `None` deletes it.
    drain: Option<Drain>,
}

impl Drains {
    /// Takes over what drains wait for, as sent by the leader. This controller does not lead.
    pub fn follow(&mut self, waits: BTreeMap<Name, WaitReason>) {
        self.leader.leader_since = None;
        self.waits = waits;
    }

    /// What each drain waits for; the leader sends it to the other controllers.
    pub fn wait_reasons(&self) -> impl Iterator<Item = (&Name, &WaitReason)> + '_ {
        self.waits.iter()
    }

    /// Whether it is time for the leader's next step.
    #[must_use]
    pub fn is_step_due(&self, context: &Context<'_>) -> bool {
        let now = context.effects.now;
        let is_idle =
            context.records.drains.is_empty() && context.config.ops.drains.planned.is_empty();
        let must_wait = self.in_flight.is_some() || now < self.retry_at;
        !is_idle && !must_wait && now.since(self.leader.last_step_at) >= STEP_INTERVAL_MS
    }

    /// Takes the next step of one drain. The caller has checked that this controller leads.
    pub fn step(
        &mut self,
        autoscaler: &Autoscaler,
        status: &EvictionStatus,
        context: &mut Context<'_>,
    ) {
        let now = context.now();
        let leader_since = *self.leader.leader_since.get_or_insert(now);
        self.leader.last_step_at = now;
        let leader_version = Version(autoscaler.fencing_token.0);
        if let Some(update) = planned_drain(now.since(leader_since), context) {
            self.write(update, leader_version, context);
            return;
        }
        let mut drains = context.records.drains.values();
        if drains.all(|v| v.value.state.has_ended()) {
            self.remove_expired(leader_version, context);
            return;
        }
        let Some(mut machines) = autoscaler.machines_for_drains(context) else {
            return;
        };
        self.exclude_released(&mut machines, status, context);
        if let Some(update) = self.next_update(autoscaler, &machines, status, context) {
            self.write(update, leader_version, context);
        }
    }

    /// Removes machines that are being released from the cloud's list. Guards against emptying them once more and
    /// counting them twice.
    fn exclude_released(
        &mut self,
        machines: &mut BTreeMap<MachineId, ObservedMachine>,
        status: &EvictionStatus,
        context: &Context<'_>,
    ) {
        let now = context.now();
        let cordoned = &context.drains.cordoned;
        let is_released = |m: &&MachineId| cordoned.get(*m).is_some_and(|c| c.then != Then::Keep);
        let empty = status.empty.iter().filter(is_released);
        let released = &mut self.leader.released;
        released.extend(empty.map(|m| (m.clone(), now)));
        released.retain(|_, at| now.since(*at) < RELEASED_MS);
        machines.retain(|name, _| !released.contains_key(name));
    }

    /// The first change of a drain, in the order in which drains were requested. Also records what the drains
    /// before it wait for.
    fn next_update(
        &mut self,
        autoscaler: &Autoscaler,
        machines: &BTreeMap<MachineId, ObservedMachine>,
        status: &EvictionStatus,
        context: &Context<'_>,
    ) -> Option<DrainUpdate> {
        let drains = context.records.drains.iter();
        let mut open: Vec<(&Name, Version, &Drain)> = drains
            .filter(|(_, v)| !v.value.state.has_ended())
            .map(|(name, v)| (name, v.version, &*v.value))
            .collect();
        open.sort_by_key(|(name, _, drain)| (drain.requested_at, *name));
        let ready_s = context.machine_types.values().map(|t| t.ready_s);
        let slowest_ready_s = ready_s.fold(0.0, f64::max);
        let settings = &context.config.settings;
        let list_lag_ms = seconds_to_ms(settings.deployment.cloud.list_lag_s);
        let lost_machines = autoscaler.lost_machines(context);
        self.waits.clear();
        for (name, version, drain) in open {
            let others = OtherDrains::of(name, machines, context);
            let view = ClusterView {
                now: WallClockMillis(context.effects.wall_ms),
                machines,
                empty: &status.empty,
                failing: &status.failing,
                claimed: &others.machines,
                claimed_zones: &others.zones,
                complete: status.complete,
                lost_machines,
                capacity_refused: autoscaler.has_pools_in_backoff(),
                list_lag_ms: list_lag_ms.max(MIN_LIST_LAG_MS),
                slowest_ready_ms: seconds_to_ms(slowest_ready_s),
                report_ms: settings.report_ms(),
            };
            match next_action(drain, &view) {
                NextAction::Wait(waiting_for) => {
                    let blockers = match waiting_for {
                        WaitingFor::Tasks => status.blockers.clone(),
                        _ => Vec::new(),
                    };
                    let waits_for = waiting_for.to_string();
                    let reason = WaitReason {
                        waits_for,
                        blockers,
                    };
                    self.waits.insert(name.clone(), reason);
                }
                NextAction::Write(next) => {
                    return Some(DrainUpdate {
                        name: name.clone(),
                        version,
                        drain: Some(*next),
                    });
                }
            }
        }
        None
    }

    fn write(&mut self, update: DrainUpdate, leader_version: Version, context: &mut Context<'_>) {
        // Steps are rare, one write in a few seconds, and much depends on them: hence the high priority.
        if !context
            .kv
            .has_budget(context.now(), RequestPriority::Admission, 1)
        {
            return;
        }
        let DrainUpdate {
            name,
            version,
            drain,
        } = update;
        let update = match drain {
            None => RecordUpdate::Delete,
            Some(drain) => {
                log_progress(&name, &drain);
                let Some(value) = encode(drain, context) else {
                    tracing::error!(drain = %name, "drain record too large");
                    return;
                };
                RecordUpdate::Put(value)
            }
        };
        let write = ConditionalWrite {
            key: drain_key(&name),
            version,
            update,
        };
        self.send(write, None, Some(leader_version), context);
    }

    /// Deletes the record of one ended drain whose retention has passed.
    fn remove_expired(&mut self, leader_version: Version, context: &mut Context<'_>) {
        let now = context.now();
        if now.since(self.leader.last_expiry_at) < EXPIRY_INTERVAL_MS
            || !context.kv.has_budget(now, RequestPriority::Background, 1)
        {
            return;
        }
        self.leader.last_expiry_at = now;
        let limit = WallClockMillis(context.effects.wall_ms.saturating_sub(RETENTION_MS));
        let mut drains = context.records.drains.iter();
        let expired = drains.find(|(_, v)| {
            let drain = &v.value;
            let last_change = drain
                .last_step_at
                .unwrap_or(drain.requested_at)
                .max(drain.requested_at);
            drain.state.has_ended() && drain.kept_machines.is_empty() && last_change < limit
        });
        if let Some((name, v)) = expired {
            let update = DrainUpdate {
                name: name.clone(),
                version: v.version,
                drain: None,
            };
            self.write(update, leader_version, context);
        }
    }
}

fn log_progress(name: &Name, drain: &Drain) {
    let step = drain.step.as_ref();
    let next_step = drain.next_step.as_ref();
    tracing::info!(drain = %name, state = drain.state.as_str(), steps = drain.finished_steps,
        emptied = drain.emptied_machines, why = drain.reason, stage = ?step.map(|s| s.stage),
        machines = step.map_or(0, |s| s.machines.len()),
        ahead = next_step.map_or(0, |s| s.machines.len()), "drain advanced");
}

/// The first drain that is due by the operators' settings and has no record yet.
fn planned_drain(leader_ms: u64, context: &Context<'_>) -> Option<DrainUpdate> {
    if !context.records.all_support(&Capability::drains()) {
        return None;
    }
    let now = WallClockMillis(context.effects.wall_ms);
    let planned = context.config.ops.drains.planned.iter();
    let due = planned.filter(|p| seconds_to_ms(p.after_s) <= leader_ms);
    let mut drains = due.filter_map(|p| p.drain.to_drain(now).ok());
    let (name, drain) = drains.find(|(name, _)| !context.records.drains.contains_key(name))?;
    Some(DrainUpdate {
        name,
        version: Version(0),
        drain: Some(drain),
    })
}

/// What all drains but one claim for themselves.
#[derive(Default)]
struct OtherDrains {
    /// Machines in their steps, and those that they keep empty or name to be kept empty. A drain that has
    /// ended still claims the machines that it keeps empty, but no others.
    machines: BTreeSet<MachineId>,
    /// Zones of the machines in their steps. Machines that are only kept empty do not count.
    zones: BTreeSet<String>,
}

impl OtherDrains {
    /// Collects the claims of all drains but the one with this name.
    fn of(
        name: &Name,
        machines: &BTreeMap<MachineId, ObservedMachine>,
        context: &Context<'_>,
    ) -> OtherDrains {
        let mut others = OtherDrains::default();
        for (_, v) in context.records.drains.iter().filter(|(n, _)| *n != name) {
            let drain = &*v.value;
            others.machines.extend(drain.kept_machines.iter().cloned());
            if drain.state.has_ended() {
                continue;
            }
            // A machine that is named to be kept empty is reserved for the drain that names it.
            if drain.options.then == Then::Keep {
                others
                    .machines
                    .extend(drain.selector.machines.iter().cloned());
            }
            for machine in drain.leaving_machines() {
                others.machines.insert(machine.clone());
                let zone = machines.get(machine).map(|m| m.zone.clone());
                others.zones.extend(zone);
            }
        }
        others
    }
}

/// Encodes a drain's record. Shrinks its steps, then the reason of a halted drain, until the value is small
/// enough; `None` if it never is.
fn encode(mut drain: Drain, context: &Context<'_>) -> Option<Value> {
    loop {
        let value = serde_json::to_value(&drain).ok()?;
        if context.storage_limits.accepts(&value) {
            return Some(value);
        }
        let steps = [&mut drain.next_step, &mut drain.step];
        let large_step = steps.into_iter().flatten().find(|s| s.machines.len() > 1);
        let is_reason_long = drain
            .reason
            .as_ref()
            .is_some_and(|reason| reason.len() > MAX_REASON_CHARS);
        match large_step {
            Some(step) => {
                let half = step.machines.len() / 2;
                step.machines.truncate(half);
            }
            None if drain.state == State::Halted && is_reason_long => {
                drain.reason = drain
                    .reason
                    .map(|reason| reason.chars().take(MAX_REASON_CHARS).collect());
            }
            None => return None,
        }
    }
}
