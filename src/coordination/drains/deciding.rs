//! The answer to one request and what it writes: a function of the request, the records and the time.

use super::Reason;
use super::asking::Ask;
use super::facts::{TeamWork, with_picture};
use crate::coordination::context::Context;
use crate::effects::Response;
use crate::storage::record_cache::{drain_key, ledger_key};
use serde_json::{Value, json};
use snowshelf_calendar::entry::Name;
use snowshelf_drain::budget::Ledger;
use snowshelf_drain::entry::{Drain, State};
use snowshelf_model::ids::{Team, Version, WallClockMillis};
use std::collections::BTreeMap;

/// A change of one record on condition that it is as it was; or only that question.
pub(super) struct Write {
    pub key: String,
    pub version: Version,
    /// `None`: the record goes.
    pub value: Option<Value>,
    pub changes: bool,
}

pub(super) struct Decided {
    pub response: Response,
    pub write: Option<Write>,
}

fn answer(response: Response) -> Decided {
    Decided {
        response,
        write: None,
    }
}

fn missing() -> Decided {
    answer(Response::error(404, "no such entry"))
}

/// What is told of a drain: its record, what it waits for, and the others that concern the same.
fn shown(name: &Name, drain: &Drain, waits: &BTreeMap<Name, Reason>, context: &Context) -> Value {
    let mut body = drain.shown(name);
    if let Some(reason) = waits.get(name).filter(|_| !drain.state.ended()) {
        body["waits_for"] = json!(reason.waits);
        if !reason.held.is_empty() {
            body["held_back"] = json!(reason.held);
        }
    }
    let others = others(name, drain, context);
    if !others.is_empty() {
        body["shares_machines_with"] = json!(others);
    }
    body
}

/// Drains that have not ended and may concern the same machines: each machine goes with the first one
/// whose step takes it, and is left alone by the others meanwhile.
fn others(name: &Name, drain: &Drain, context: &Context) -> Vec<String> {
    let drains = context.records.drains.iter();
    let others = drains.filter(|(n, v)| *n != name && !v.value.state.ended());
    others
        .filter(|(_, v)| overlap(drain, &v.value))
        .map(|(n, _)| n.as_str().to_string())
        .collect()
}

fn overlap(a: &Drain, b: &Drain) -> bool {
    let differ = |x: &Option<String>, y: &Option<String>| x.is_some() && y.is_some() && x != y;
    let (x, y) = (&a.which, &b.which);
    let spot = x.spot.is_some() && y.spot.is_some() && x.spot != y.spot;
    let named = !x.machines.is_empty() && !y.machines.is_empty();
    let apart = named && !x.machines.iter().any(|m| y.machines.contains(m));
    !(differ(&x.zone, &y.zone) || differ(&x.model, &y.model) || spot || apart)
}

/// A write of a record, unless it is too large.
fn written<T: serde::Serialize>(
    response: Response,
    key: String,
    version: Version,
    record: &T,
    context: &Context,
) -> Decided {
    let value = serde_json::to_value(record).unwrap_or_default();
    if !context.storage_limits.accepts(&value) {
        return answer(Response::error(
            422,
            "its record would be too large: name fewer machines",
        ));
    }
    Decided {
        response,
        write: Some(Write {
            key,
            version,
            value: Some(value),
            changes: true,
        }),
    }
}

/// An answer that changes nothing, once it is sure that nothing newer has been said.
fn told(body: Value, key: String, version: Version) -> Decided {
    Decided {
        response: Response::json(200, &body),
        write: Some(Write {
            key,
            version,
            value: None,
            changes: false,
        }),
    }
}

/// Decides a request.
pub(super) fn decide(ask: &Ask, waits: &BTreeMap<Name, Reason>, context: &Context) -> Decided {
    let now = WallClockMillis(context.effects.wall_ms);
    match ask {
        Ask::Begin(name, drain) => begin(name, drain, waits, context),
        Ask::Show(name) => match context.records.drains.get(name) {
            Some(v) => told(
                shown(name, &v.value, waits, context),
                drain_key(name),
                v.version,
            ),
            None => told_missing(drain_key(name)),
        },
        Ask::Tell(name, word) => {
            let Some(v) = context.records.drains.get(name) else {
                return told_missing(drain_key(name));
            };
            match v.value.told(*word, now) {
                Err(why) => answer(Response::error(409, why)),
                Ok(None) => {
                    let body = shown(name, &v.value, waits, context);
                    told(body, drain_key(name), v.version)
                }
                Ok(Some(next)) => {
                    let body = shown(name, &next, waits, context);
                    let response = Response::json(200, &body);
                    written(response, drain_key(name), v.version, &next, context)
                }
            }
        }
        Ask::List { after, limit } => {
            let drains = context.records.drains.iter();
            let later = drains.filter(|(name, _)| after.as_ref().is_none_or(|a| *name > a));
            let mut items: Vec<Value> = later
                .take(limit + 1)
                .map(|(name, v)| shown(name, &v.value, waits, context))
                .collect();
            let more = items.len() > *limit;
            items.truncate(*limit);
            answer(Response::json(200, &json!({"items": items, "more": more})))
        }
        Ask::ShowBudget(team) => {
            if !knows(team, context) {
                return missing();
            }
            let (version, ledger) = ledger(team, context);
            told(budget(team, &ledger, context), ledger_key(team), version)
        }
        Ask::SetBudget(team, wish) => {
            if !knows(team, context) {
                return missing();
            }
            let (version, mut ledger) = ledger(team, context);
            if ledger.budget == *wish {
                return told(budget(team, &ledger, context), ledger_key(team), version);
            }
            // In force for every stop that is charged after this write, by whomever.
            ledger.budget = *wish;
            let response = Response::json(200, &budget(team, &ledger, context));
            written(response, ledger_key(team), version, &ledger, context)
        }
    }
}

fn told_missing(key: String) -> Decided {
    Decided {
        response: Response::error(404, "no such entry"),
        write: Some(Write {
            key,
            version: Version(0),
            value: None,
            changes: false,
        }),
    }
}

fn knows(team: &Team, context: &Context) -> bool {
    let teams = &context.config.settings.deployment.teams;
    teams.iter().any(|t| t.name == team.as_str())
}

fn ledger(team: &Team, context: &Context) -> (Version, Ledger) {
    let found = context.records.ledgers.get(team);
    found.map_or((Version(0), Ledger::default()), |v| {
        (v.version, (*v.value).clone())
    })
}

/// What a team's budget is and has left.
fn budget(team: &Team, ledger: &Ledger, context: &Context) -> Value {
    let budget = ledger.budget(&context.config.ops.drains.budget);
    let skew_ms = context.config.settings.skew_ms();
    let lately = ledger.lately(&budget, WallClockMillis(context.effects.wall_ms), skew_ms);
    let open = with_picture(context, |picture| ledger.open(picture));
    let away = TeamWork::of(team, context).away;
    let cpus = budget.cpus - open.cpus - away.cpus;
    let stretch = budget.stretch_cpus - lately.cpus;
    json!({"team": team.as_str(), "budget": budget, "default": ledger.budget.is_none(),
        "stopping_cpus": open.cpus, "away_cpus": away.cpus, "left_cpus": cpus.max(0.0),
        "stretch_left_cpus": stretch.max(0.0), "breach_cpus": ledger.breach})
}

fn begin(name: &Name, drain: &Drain, waits: &BTreeMap<Name, Reason>, context: &Context) -> Decided {
    let key = drain_key(name);
    if let Some(old) = context.records.drains.get(name) {
        if old.value.answers(drain) {
            return told(shown(name, &old.value, waits, context), key, old.version);
        }
        return answer(Response::error(409, "another drain has this name"));
    }
    let most = context.config.ops.drains.most;
    let open = context.records.drains.values();
    if open.filter(|v| !v.value.state.ended()).count() >= most {
        let why = format!("there are {most} drains that have not ended, as many as are taken");
        return answer(Response::error(409, &why));
    }
    let zones = &context.config.settings.deployment.zones;
    if drain
        .which
        .zone
        .as_ref()
        .is_some_and(|z| !zones.contains(z))
    {
        return answer(Response::error(422, "unknown zone"));
    }
    if drain
        .which
        .model
        .as_ref()
        .is_some_and(|t| !context.types.contains_key(t))
    {
        return answer(Response::error(422, "unknown machine type"));
    }
    // What is kept empty by one is not given back by another.
    for (other, v) in &context.records.drains {
        let o = &v.value;
        let stands = !o.state.ended() || (o.state == State::Done && !o.kept.is_empty());
        let mut named = drain.which.machines.iter();
        let same = named.find(|m| o.which.machines.contains(m));
        if let Some(machine) = same.filter(|_| stands && o.how.then != drain.how.then) {
            let why =
                format!("drain {other} names {machine} too, and something else is to become of it");
            return answer(Response::error(409, &why));
        }
    }
    let body = shown(name, drain, waits, context);
    written(Response::json(201, &body), key, Version(0), drain, context)
}
