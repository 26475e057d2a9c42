//! Graphs that are kept, and the runs that their schedules begin: one for each interval. That a run's key
//! did not exist when it was written is the proof.

use super::Runs;
use super::beginning::{Beginning, beginning_of, full, pieces, planned};
use crate::bookkeeping::store::{Class, TxnResult};
use crate::coordination::env::{Env, Tag};
use crate::coordination::ownership::Ownership;
use crate::outbox::Response;
use jiff::Timestamp;
use serde_json::{Value, json};
use snowshelf_dag::packing;
use snowshelf_dag::run::Asked;
use snowshelf_dag::schedule::{Timetable, run_of, timetable};
use snowshelf_model::ids::{ConnId, Millis, Version, WallMs, part_of};
use snowshelf_model::protocol::state::{Change, Txn};
use snowshelf_model::records::{GraphRecord, RunId, definition_key, graph_key, part_key, run_key};
use std::collections::BTreeMap;

/// How often schedules are looked at.
const LOOK_MS: u64 = 500;
/// Characters of a reason that are kept.
const WHY: usize = 200;

/// A graph as it was last unpacked.
struct Defined {
    hash: String,
    asked: Asked,
    /// None: it has no schedule.
    timetable: Option<Timetable>,
}

#[derive(Default)]
pub(super) struct Timing {
    looked_at: Millis,
    defined: BTreeMap<String, Defined>,
    /// Records being written, and whom to tell.
    writing: BTreeMap<u64, (Option<ConnId>, String, GraphRecord)>,
}

fn moment(at: WallMs) -> Timestamp {
    let ms = i64::try_from(at.0).unwrap_or(i64::MAX);
    Timestamp::from_millisecond(ms).unwrap_or(Timestamp::MAX)
}

fn wall(at: Timestamp) -> WallMs {
    WallMs(u64::try_from(at.as_millisecond()).unwrap_or(0))
}

fn parsed(at: &Option<String>) -> Option<Timestamp> {
    at.as_deref()?.parse().ok()
}

fn view(name: &str, record: &GraphRecord) -> Value {
    let mut body = json!({"graph": name, "paused": record.paused, "missed": record.missed,
        "done_until": moment(record.since).to_string()});
    if let Some(why) = &record.why {
        body["why"] = json!(why);
    }
    body
}

impl Timing {
    /// Unpacks a graph, if it is another than before and all its pieces are there.
    fn define(&mut self, name: &str, record: &GraphRecord, env: &Env) -> Option<()> {
        if self
            .defined
            .get(name)
            .is_some_and(|d| d.hash == record.hash)
        {
            return Some(());
        }
        let asked = packing::unpack_pieces(record.pieces, |piece| {
            let key = (name.to_string(), record.hash.clone(), piece);
            env.mirror.definitions.get(&key).map(|text| text.as_str())
        });
        let asked = asked?.ok()?;
        let schedule = asked.graph.schedule.as_ref();
        let timetable = schedule.and_then(|s| timetable(s, asked.graph.zone()).ok());
        let defined = Defined {
            hash: record.hash.clone(),
            asked,
            timetable,
        };
        self.defined.insert(name.to_string(), defined);
        Some(())
    }
}

impl Runs {
    /// Keeps a graph, in place of what was kept under its name.
    pub(super) fn define(
        &mut self,
        conn: ConnId,
        name: &str,
        asked: &Asked,
        text: &str,
        env: &mut Env,
    ) {
        // Tried with its defaults, so that a schedule does not find out what is wrong with it.
        if let Err(body) = planned(asked, env) {
            env.out.respond(conn, Response::json(422, &body));
            return;
        }
        let now = WallMs(env.out.wall_ms);
        let before = env.mirror.graphs.get(name);
        let pieces = pieces(text, env);
        let start = parsed(&asked.graph.start).map(wall).unwrap_or(now);
        // Without catching up, nothing before now is run.
        let since = if asked.graph.catch_up {
            start
        } else {
            start.max(now)
        };
        let record = GraphRecord {
            hash: packing::hash(text),
            pieces: pieces.len() as u32,
            at: before.map_or(now, |v| v.value.at),
            paused: before.is_some_and(|v| v.value.paused && v.value.why.is_none()),
            since: before.map_or(since, |v| v.value.since),
            missed: before.map_or(0, |v| v.value.missed),
            why: None,
        };
        let version = before.map(|v| v.version).unwrap_or_default();
        let keyed = |i| definition_key(name, &record.hash, i);
        let begin = Beginning::new(graph_key(name), version, &record, pieces, keyed, env);
        self.beginning.push_back(Beginning {
            conn: Some(conn),
            body: view(name, &record),
            ..begin
        });
    }

    pub(super) fn show_graph(&mut self, conn: ConnId, name: &str, env: &mut Env) {
        let response = match env.mirror.graphs.get(name) {
            Some(v) => Response::json(200, &view(name, &v.value)),
            None => Response::error(404, "no such graph"),
        };
        env.out.respond(conn, response);
    }

    pub(super) fn pause(&mut self, conn: ConnId, name: &str, paused: bool, env: &mut Env) {
        let Some(v) = env.mirror.graphs.get(name).cloned() else {
            env.out.respond(conn, Response::error(404, "no such graph"));
            return;
        };
        if !env.store.may(env.now(), Class::Accept, 1) {
            env.out
                .respond(conn, Response::later(503, "too many requests", 1));
            return;
        }
        let record = GraphRecord {
            paused,
            why: None,
            ..(*v.value).clone()
        };
        self.write_graph(Some(conn), name, v.version, record, Txn::default(), env);
    }

    fn write_graph(
        &mut self,
        conn: Option<ConnId>,
        name: &str,
        version: Version,
        record: GraphRecord,
        txn: Txn,
        env: &mut Env,
    ) {
        let key = graph_key(name);
        let txn = txn
            .when(key.clone(), version)
            .then(Change::write(key, &record));
        self.next += 1;
        env.store.txn(env.out, Tag::GraphWrite(self.next), &txn);
        let waiting = (conn, name.to_string(), record);
        self.timing.writing.insert(self.next, waiting);
    }

    /// The answer to a write of a graph's record.
    pub fn graph_written(&mut self, id: u64, result: TxnResult, env: &mut Env) {
        let Some((conn, name, record)) = self.timing.writing.remove(&id) else {
            return;
        };
        let response = match result {
            TxnResult::Done(revision) => {
                let value = serde_json::to_value(&record).unwrap_or_default();
                env.mirror.apply(&graph_key(&name), Some(&value), revision);
                Response::json(200, &view(&name, &record))
            }
            _ => Response::later(503, "could not be settled yet", 1),
        };
        if let Some(conn) = conn {
            env.out.respond(conn, response);
        }
    }

    /// Begins runs for intervals that are over, of the graphs whose part is owned here.
    pub(super) fn time(&mut self, own: &Ownership, env: &mut Env) {
        let now = env.now();
        if env.mirror.graphs.is_empty() || now.since(self.timing.looked_at) < LOOK_MS {
            return;
        }
        self.timing.looked_at = now;
        let mirror = &env.mirror;
        self.timing
            .defined
            .retain(|name, _| mirror.graphs.contains_key(name));
        let names: Vec<String> = env.mirror.graphs.keys().cloned().collect();
        for name in names {
            let part = part_of(&graph_key(&name), env.cfg.parts);
            let (Some(token), Some(v)) = (own.token(part), env.mirror.graphs.get(&name).cloned())
            else {
                continue;
            };
            let busy = self
                .timing
                .writing
                .values()
                .any(|(_, other, _)| *other == name);
            if v.value.paused || busy || self.timing.define(&name, &v.value, env).is_none() {
                continue;
            }
            let txn = Txn::default().when(part_key(part), Version(token.0));
            self.due(&name, v.version, &v.value, txn, env);
        }
    }

    /// What one graph's schedule asks for now.
    fn due(&mut self, name: &str, version: Version, record: &GraphRecord, txn: Txn, env: &mut Env) {
        // No interval is over before it is over by every clock.
        let skew_ms = env.cfg.settings.skew_ms();
        let now = moment(WallMs(env.out.wall_ms.saturating_sub(skew_ms)));
        let Some(defined) = self.timing.defined.get(name) else {
            return;
        };
        let (graph, Some(timetable)) = (&defined.asked.graph, &defined.timetable) else {
            return;
        };
        let start = parsed(&graph.start).unwrap_or_else(|| moment(record.at));
        let end = parsed(&graph.end).unwrap_or(Timestamp::MAX);
        let mut due = timetable.due(start, moment(record.since), now);
        due.retain(|(from, _)| *from <= end);
        let chosen = if graph.catch_up {
            due.first()
        } else {
            due.last()
        };
        let Some((from, until)) = chosen.copied() else {
            return;
        };
        let Some(id) = RunId::new(name, &run_of(from)) else {
            return;
        };
        let mut next = record.clone();
        if !graph.catch_up {
            // One that was begun before another was over is not passed over.
            let begun = |from: &Timestamp| {
                let id = RunId::new(name, &run_of(*from));
                id.is_some_and(|id| env.mirror.runs.contains_key(&id))
            };
            let passed = due.iter().filter(|(f, _)| *f < from && !begun(f));
            next.missed += passed.count() as u64;
        }
        if env.mirror.runs.contains_key(&id) {
            // It is begun, by whomever: on to the next.
            next.since = wall(until);
        } else {
            if self.begins(&run_key(&id)) || full(name, graph.max_active_runs, env).is_some() {
                return;
            }
            let asked = Asked {
                run: id.run.clone(),
                from,
                until,
                ..defined.asked.clone()
            };
            match planned(&asked, env) {
                Ok(plan) => {
                    let text = packing::pack(&asked);
                    let begin = beginning_of(&id, plan.jobs.len(), &text, env);
                    self.beginning.push_back(begin);
                    return;
                }
                Err(body) => {
                    // Only the interval can make a difference to what was tried before.
                    next.paused = true;
                    next.why = Some(body.to_string().chars().take(WHY).collect());
                    tracing::error!(graph = name, why = next.why, "a scheduled run cannot begin");
                }
            }
        }
        if env.store.may(env.now(), Class::Ends, 1) {
            if next.missed > record.missed {
                tracing::info!(
                    graph = name,
                    missed = next.missed,
                    "intervals are passed over"
                );
            }
            self.write_graph(None, name, version, next, txn, env);
        }
    }
}
