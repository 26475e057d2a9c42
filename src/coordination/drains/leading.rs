//! The leader's part: which step of which drain is next, written on condition that it leads.

use super::deciding::Write;
use super::{Drains, Reason};
use crate::coordination::autoscaler::Autoscaler;
use crate::coordination::context::Context;
use crate::storage::kv_client::RequestPriority;
use crate::storage::record_cache::drain_key;
use serde_json::Value;
use snowshelf_calendar::entry::Name;
use snowshelf_drain::entry::{Drain, State, Then};
use snowshelf_drain::stepping::{Next, Seen, View, Waits, next};
use snowshelf_model::ids::{MachineId, Version, WallClockMillis, seconds_to_ms};
use snowshelf_model::records::{Capability, LEADER_KEY};
use std::collections::{BTreeMap, BTreeSet};

/// How often the leader looks at the drains.
const LEAD_MS: u64 = 500;
/// Longer than the cloud lists a machine whose return it has confirmed.
const RETURNED_MS: u64 = 60_000;
/// How long a drain's record is kept after its end, and how often old ones are looked for.
const KEPT_MS: u64 = 86_400_000;
const TIDY_MS: u64 = 10_000;

/// What the owners say, this controller's own parts among them.
#[derive(Default)]
pub struct Heard {
    /// Machines that are closed and empty, and those that failed what they started.
    pub empty: BTreeSet<MachineId>,
    pub sick: BTreeSet<MachineId>,
    /// What holds stops back.
    pub held: Vec<String>,
    /// All parts have owners that are heard.
    pub whole: bool,
}

impl Drains {
    /// What a controller that does not lead forgets, and what it has heard of the leader.
    pub fn follow(&mut self, heard: BTreeMap<Name, Reason>) {
        self.leads_since = None;
        self.waits = heard;
    }

    /// What the leader tells the others.
    pub fn reasons(&self) -> impl Iterator<Item = (&Name, &Reason)> + '_ {
        self.waits.iter()
    }

    /// Whether it is time for the leader's next look.
    pub fn due(&self, context: &Context) -> bool {
        let now = context.effects.now;
        let idle =
            context.records.drains.is_empty() && context.config.ops.drains.planned.is_empty();
        let waits = self.underway.is_some() || now < self.retry_at;
        !idle && !waits && now.since(self.led_at) >= LEAD_MS
    }

    /// The leader's look at the drains, one write at a time. Whether it leads has been asked before.
    pub fn lead(&mut self, fleet: &Autoscaler, heard: Heard, context: &mut Context) {
        let now = context.now();
        let since = *self.leads_since.get_or_insert(now);
        self.led_at = now;
        let leads = (LEADER_KEY.to_string(), Version(fleet.fencing_token.0));
        if let Some((name, drain)) = planned(now.since(since), context) {
            self.write(&name, Version(0), Some(drain), leads, context);
            return;
        }
        let open = context.records.drains.values();
        if !open.map(|v| &v.value).any(|d| !d.state.ended()) {
            self.tidy(leads, context);
            return;
        }
        let Some(mut machines) = fleet.seen(context) else {
            return;
        };
        // Guards against emptying them once more, and counting them twice.
        let closed = &context.drains.closed;
        let returns = |m: &&MachineId| closed.get(*m).is_some_and(|c| c.then != Then::Keep);
        let gone = heard.empty.iter().filter(returns);
        self.returned.extend(gone.map(|m| (m.clone(), now)));
        self.returned.retain(|_, at| now.since(*at) < RETURNED_MS);
        machines.retain(|name, _| !self.returned.contains_key(name));
        let mut order: Vec<(&Name, Version, &Drain)> = context
            .records
            .drains
            .iter()
            .filter(|(_, v)| !v.value.state.ended())
            .map(|(name, v)| (name, v.version, &*v.value))
            .collect();
        order.sort_by_key(|(name, _, d)| (d.asked, *name));
        let slowest = context
            .types
            .values()
            .map(|t| t.ready_s)
            .fold(0.0, f64::max);
        let lost = fleet.lost(context);
        let mut found = None;
        self.waits.clear();
        for (name, version, drain) in order {
            let (taken, zones) = elsewhere(name, &machines, context);
            let view = View {
                now: WallClockMillis(context.effects.wall_ms),
                machines: &machines,
                empty: &heard.empty,
                sick: &heard.sick,
                taken: &taken,
                zones: &zones,
                whole: heard.whole,
                missed: lost,
                refused: fleet.refuses(),
                lag_ms: seconds_to_ms(context.config.settings.deployment.cloud.list_lag_s)
                    .max(2_000),
                ready_ms: seconds_to_ms(slowest),
                report_ms: context.config.settings.report_ms(),
            };
            match next(drain, &view) {
                Next::Wait(waits) => {
                    let held = match waits {
                        Waits::Tasks => heard.held.clone(),
                        _ => Vec::new(),
                    };
                    let waits = waits.to_string();
                    self.waits.insert(name.clone(), Reason { waits, held });
                }
                Next::Write(next) => {
                    found = Some((name.clone(), version, *next));
                    break;
                }
            }
        }
        if let Some((name, version, drain)) = found {
            self.write(&name, version, Some(drain), leads, context);
        }
    }

    fn write(
        &mut self,
        name: &Name,
        version: Version,
        drain: Option<Drain>,
        leads: (String, Version),
        context: &mut Context,
    ) {
        // A step is a write in some seconds, and much waits for it.
        if !context
            .kv
            .has_budget(context.now(), RequestPriority::Admission, 1)
        {
            return;
        }
        if let Some(drain) = &drain {
            tracing::info!(drain = %name, state = drain.state.word(), steps = drain.steps,
                emptied = drain.gone, why = drain.why, stage = ?drain.step.as_ref().map(|s| s.stage),
                machines = drain.step.as_ref().map_or(0, |s| s.machines.len()),
                ahead = drain.ahead.as_ref().map_or(0, |s| s.machines.len()), "drain advanced");
        }
        let value = match drain {
            None => None,
            Some(drain) => match fitting(drain, context) {
                Some(value) => Some(value),
                None => {
                    tracing::error!(drain = %name, "drain record too large");
                    return;
                }
            },
        };
        let write = Write {
            key: drain_key(name),
            version,
            value,
            changes: true,
        };
        self.send(write, None, Some(leads), context);
    }

    /// Removes a drain that ended long ago.
    fn tidy(&mut self, leads: (String, Version), context: &mut Context) {
        let now = context.now();
        if now.since(self.tidied_at) < TIDY_MS
            || !context.kv.has_budget(now, RequestPriority::Background, 1)
        {
            return;
        }
        self.tidied_at = now;
        let limit = WallClockMillis(context.effects.wall_ms.saturating_sub(KEPT_MS));
        let mut old = context.records.drains.iter().filter(|(_, v)| {
            let drain = &v.value;
            let last = drain.stepped.unwrap_or(drain.asked).max(drain.asked);
            drain.state.ended() && drain.kept.is_empty() && last < limit
        });
        let old = old.next().map(|(name, v)| (name.clone(), v.version));
        if let Some((name, version)) = old {
            self.write(&name, version, None, leads, context);
        }
    }
}

/// A drain that the settings ask for and of which there is no record.
fn planned(led_ms: u64, context: &Context) -> Option<(Name, Drain)> {
    if !context.records.all_support(&Capability::drains()) {
        return None;
    }
    let now = WallClockMillis(context.effects.wall_ms);
    let due = context.config.ops.drains.planned.iter();
    let due = due.filter(|p| seconds_to_ms(p.after_s) <= led_ms);
    let mut drains = due.filter_map(|p| p.drain.drain(now).ok());
    drains.find(|(name, _)| !context.records.drains.contains_key(name))
}

/// What other drains hold: machines, and the zones of those.
fn elsewhere(
    name: &Name,
    machines: &BTreeMap<MachineId, Seen>,
    context: &Context,
) -> (BTreeSet<MachineId>, BTreeSet<String>) {
    let (mut taken, mut zones) = (BTreeSet::new(), BTreeSet::new());
    for (_, v) in context.records.drains.iter().filter(|(n, _)| *n != name) {
        let drain = &*v.value;
        taken.extend(drain.kept.iter().cloned());
        if drain.state.ended() {
            continue;
        }
        // What is named to be kept is left to whoever named it.
        if drain.how.then == Then::Keep {
            taken.extend(drain.which.machines.iter().cloned());
        }
        for machine in drain.leaving() {
            taken.insert(machine.clone());
            zones.extend(machines.get(machine).map(|m| m.zone.clone()));
        }
    }
    (taken, zones)
}

/// A drain's value, with a smaller step where it would be too large.
fn fitting(mut drain: Drain, context: &Context) -> Option<Value> {
    loop {
        let value = serde_json::to_value(&drain).ok()?;
        if context.storage_limits.accepts(&value) {
            return Some(value);
        }
        let steps = [&mut drain.ahead, &mut drain.step];
        let large = steps.into_iter().flatten().find(|s| s.machines.len() > 1);
        match large {
            Some(step) => {
                let half = step.machines.len() / 2;
                step.machines.truncate(half);
            }
            // An evidence that is too long goes first.
            _ if drain.state == State::Halted
                && drain.why.as_ref().is_some_and(|w| w.len() > 60) =>
            {
                drain.why = drain.why.map(|w| w.chars().take(60).collect());
            }
            _ => return None,
        }
    }
}
