//! Decides a request: its response and its write, as a function of the request, the records and the time.

use super::WaitReason;
use super::disruption::{TeamDisruption, with_record_view};
use super::requests::DrainsRequest;
use crate::coordination::conditional_write::{ConditionalWrite, RecordUpdate};
use crate::coordination::context::Context;
use crate::coordination::list_request::ListRequest;
use crate::effects::Response;
use crate::storage::record_cache::{drain_key, ledger_key};
use serde::Serialize;
use serde_json::{Value, json};
use snowshelf_calendar::entry::Name;
use snowshelf_drain::budget::{Budget, Ledger};
use snowshelf_drain::entry::{Drain, DrainAction, State};
use snowshelf_model::ids::{Team, Version, WallClockMillis};
use std::collections::BTreeMap;

/// The message if a record exceeds the maximum size of a value in the key-value store.
const RECORD_TOO_LARGE: &str = "its record would be too large: name fewer machines";

/// The response to a request, and the write that has to be durable before it is sent.
pub(super) struct DrainDecision {
    /// The response, sent once the write is durable.
    pub(super) response: Response,
    /// The change of a record, or the check that the record has not changed. Absent if neither is needed.
    pub(super) write: Option<ConditionalWrite>,
}

impl From<Response> for DrainDecision {
    fn from(response: Response) -> DrainDecision {
        DrainDecision {
            response,
            write: None,
        }
    }
}

/// A response to a request that changes nothing, sent only if the record is still at this version.
fn checked(response: Response, key: String, version: Version) -> DrainDecision {
    DrainDecision {
        response,
        write: Some(ConditionalWrite {
            key,
            version,
            update: RecordUpdate::Unchanged,
        }),
    }
}

/// A response with the write of a record; an error response if the record is too large.
fn with_record<T: Serialize>(
    response: Response,
    key: String,
    version: Version,
    record: &T,
    context: &Context<'_>,
) -> DrainDecision {
    let value = serde_json::to_value(record).unwrap_or_default();
    if !context.storage_limits.accepts(&value) {
        return Response::error(422, RECORD_TOO_LARGE).into();
    }
    DrainDecision {
        response,
        write: Some(ConditionalWrite {
            key,
            version,
            update: RecordUpdate::Put(value),
        }),
    }
}

fn no_such_entry() -> Response {
    Response::error(404, "no such entry")
}

fn conflict(why: &str) -> DrainDecision {
    Response::error(409, why).into()
}

/// Decides a request; `waits` holds what each drain waits for.
pub(super) fn decide(
    request: &DrainsRequest,
    waits: &BTreeMap<Name, WaitReason>,
    context: &Context<'_>,
) -> DrainDecision {
    match request {
        DrainsRequest::Start(name, drain) => start(name, drain, waits, context),
        DrainsRequest::Show(name) => match context.records.drains.get(name) {
            Some(v) => {
                let body = drain_body(name, &v.value, waits, context);
                checked(Response::json(200, &body), drain_key(name), v.version)
            }
            None => checked(no_such_entry(), drain_key(name), Version(0)),
        },
        DrainsRequest::Control(name, action) => control(name, *action, waits, context),
        DrainsRequest::List(page) => list(page, waits, context),
        DrainsRequest::ShowBudget(team) | DrainsRequest::SetBudget(team, _)
            if !is_known(team, context) =>
        {
            no_such_entry().into()
        }
        DrainsRequest::ShowBudget(team) => {
            let (version, ledger) = ledger(team, context);
            let body = budget_body(team, &ledger, context);
            checked(Response::json(200, &body), ledger_key(team), version)
        }
        DrainsRequest::SetBudget(team, budget) => set_budget(team, *budget, context),
    }
}

/// A drain as operators read it: its record, what it waits for, and the drains that share its machines.
fn drain_body(
    name: &Name,
    drain: &Drain,
    waits: &BTreeMap<Name, WaitReason>,
    context: &Context<'_>,
) -> Value {
    let mut body = drain.to_json(name);
    if let Some(reason) = waits.get(name).filter(|_| !drain.state.has_ended()) {
        body["waits_for"] = json!(reason.waits_for);
        if !reason.blockers.is_empty() {
            body["held_back"] = json!(reason.blockers);
        }
    }
    let overlapping = overlapping_drains(name, drain, context);
    if !overlapping.is_empty() {
        body["shares_machines_with"] = json!(overlapping);
    }
    body
}

/// Other drains in progress that may select the same machines. A machine belongs to the first drain whose step
/// takes it; the others skip it meanwhile.
fn overlapping_drains(name: &Name, drain: &Drain, context: &Context<'_>) -> Vec<String> {
    let drains = context.records.drains.iter();
    let others = drains.filter(|(n, v)| *n != name && !v.value.state.has_ended());
    others
        .filter(|(_, v)| overlap(drain, &v.value))
        .map(|(n, _)| n.as_str().to_string())
        .collect()
}

/// Whether two drains may select the same machine, judged by their selectors alone: the zone and model of a
/// named machine are not looked up. `older_than` never separates two drains, as each selects all machines
/// older than its limit.
fn overlap(a: &Drain, b: &Drain) -> bool {
    let differ = |x: &Option<String>, y: &Option<String>| x.is_some() && y.is_some() && x != y;
    let (x, y) = (&a.selector, &b.selector);
    let differ_in_spot = x.spot.is_some() && y.spot.is_some() && x.spot != y.spot;
    let both_name_machines = !x.machines.is_empty() && !y.machines.is_empty();
    let are_disjoint = both_name_machines && !x.machines.iter().any(|m| y.machines.contains(m));
    !(differ(&x.zone, &y.zone) || differ(&x.model, &y.model) || differ_in_spot || are_disjoint)
}

/// Pauses, resumes or cancels a drain.
fn control(
    name: &Name,
    action: DrainAction,
    waits: &BTreeMap<Name, WaitReason>,
    context: &Context<'_>,
) -> DrainDecision {
    let key = drain_key(name);
    let Some(v) = context.records.drains.get(name) else {
        return checked(no_such_entry(), key, Version(0));
    };
    match v
        .value
        .apply(action, WallClockMillis(context.effects.wall_ms))
    {
        Err(why) => conflict(why),
        Ok(None) => {
            let body = drain_body(name, &v.value, waits, context);
            checked(Response::json(200, &body), key, v.version)
        }
        Ok(Some(next)) => {
            let body = drain_body(name, &next, waits, context);
            with_record(Response::json(200, &body), key, v.version, &next, context)
        }
    }
}

fn list(
    page: &ListRequest,
    waits: &BTreeMap<Name, WaitReason>,
    context: &Context<'_>,
) -> DrainDecision {
    let drains = context.records.drains.iter();
    let mut items: Vec<Value> = drains
        .filter(|(name, _)| page.includes(name))
        .take(page.limit + 1)
        .map(|(name, v)| drain_body(name, &v.value, waits, context))
        .collect();
    let more = items.len() > page.limit;
    items.truncate(page.limit);
    Response::json(200, &json!({"items": items, "more": more})).into()
}

fn is_known(team: &Team, context: &Context<'_>) -> bool {
    let teams = &context.config.settings.deployment.teams;
    teams.iter().any(|t| t.name == team.as_str())
}

/// The ledger of a team, and its version; 0 if there is none yet.
fn ledger(team: &Team, context: &Context<'_>) -> (Version, Ledger) {
    let record = context.records.ledgers.get(team);
    record.map_or((Version(0), Ledger::default()), |v| {
        (v.version, (*v.value).clone())
    })
}

/// A team's disruption budget as operators read it, with the part of it that is unused.
fn budget_body(team: &Team, ledger: &Ledger, context: &Context<'_>) -> Value {
    let budget = ledger.budget(&context.config.ops.drains.budget);
    let skew_ms = context.config.settings.skew_ms();
    let recent =
        ledger.recent_evictions(&budget, WallClockMillis(context.effects.wall_ms), skew_ms);
    let open = with_record_view(context, |records| ledger.open_charges(records));
    let unavailable = TeamDisruption::of(team, context).unavailable;
    let cpus = budget.cpus - open.cpus - unavailable.cpus;
    let stretch = budget.stretch_cpus - recent.cpus;
    json!({"team": team.as_str(), "budget": budget, "default": ledger.budget.is_none(),
        "stopping_cpus": open.cpus, "away_cpus": unavailable.cpus, "left_cpus": cpus.max(0.0),
        "stretch_left_cpus": stretch.max(0.0), "breach_cpus": ledger.excess_cpus})
}

fn set_budget(team: &Team, budget: Option<Budget>, context: &Context<'_>) -> DrainDecision {
    let (version, mut ledger) = ledger(team, context);
    if ledger.budget == budget {
        let body = budget_body(team, &ledger, context);
        return checked(Response::json(200, &body), ledger_key(team), version);
    }
    // Applies to every eviction that any controller charges after this write.
    ledger.budget = budget;
    let response = Response::json(200, &budget_body(team, &ledger, context));
    with_record(response, ledger_key(team), version, &ledger, context)
}

fn start(
    name: &Name,
    drain: &Drain,
    waits: &BTreeMap<Name, WaitReason>,
    context: &Context<'_>,
) -> DrainDecision {
    let key = drain_key(name);
    if let Some(old) = context.records.drains.get(name) {
        if old.value.is_same_request(drain) {
            let body = drain_body(name, &old.value, waits, context);
            return checked(Response::json(200, &body), key, old.version);
        }
        return conflict("another drain has this name");
    }
    let max_open = context.config.ops.drains.most;
    let drains = context.records.drains.values();
    if drains.filter(|v| !v.value.state.has_ended()).count() >= max_open {
        return conflict(&format!(
            "there are {max_open} drains that have not ended, as many as are taken"
        ));
    }
    let zones = &context.config.settings.deployment.zones;
    let zone = drain.selector.zone.as_ref();
    if zone.is_some_and(|zone| !zones.contains(zone)) {
        return Response::error(422, "unknown zone").into();
    }
    let model = drain.selector.model.as_ref();
    if model.is_some_and(|model| !context.machine_types.contains_key(model)) {
        return Response::error(422, "unknown machine type").into();
    }
    if let Some(why) = contradiction(drain, context) {
        return conflict(&why);
    }
    let body = drain_body(name, drain, waits, context);
    with_record(Response::json(201, &body), key, Version(0), drain, context)
}

/// The conflict with another drain that names the same machine but does something else with it. Guards
/// against one drain releasing a machine that another keeps empty.
fn contradiction(drain: &Drain, context: &Context<'_>) -> Option<String> {
    context.records.drains.iter().find_map(|(other_name, v)| {
        let other = &*v.value;
        let is_in_force = !other.state.has_ended()
            || (other.state == State::Done && !other.kept_machines.is_empty());
        if !is_in_force || other.options.then == drain.options.then {
            return None;
        }
        let mut machines = drain.selector.machines.iter();
        let machine = machines.find(|m| other.selector.machines.contains(m))?;
        Some(format!(
            "drain {other_name} names {machine} too, and something else is to become of it"
        ))
    })
}
