//! Graphs that are kept, and the runs that their schedules begin: one for each interval. That a run's key
//! did not exist when it was written is the proof.

use super::beginning::{Beginning, beginning_of, full, pieces, planned};
use super::{DagRuns, DagRunsRequest};
use crate::coordination::context::{Context, KvRequest};
use crate::coordination::leases::Leases;
use crate::effects::Response;
use crate::storage::kv_client::{RequestPriority, SwapOutcome};
use crate::storage::record_cache::ChunkKey;
use jiff::Timestamp;
use serde_json::{Value, json};
use snowshelf_dag::packing;
use snowshelf_dag::run::Asked;
use snowshelf_dag::schedule::{Timetable, run_of, timetable};
use snowshelf_model::ids::{ConnectionId, MonotonicMillis, Version, WallClockMillis, shard_of};
use snowshelf_model::protocol::state::{CompareAndSwap, Mutation};
use snowshelf_model::records::{GraphRecord, RunId, definition_key, graph_key, run_key, shard_key};
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
    looked_at: MonotonicMillis,
    defined: BTreeMap<String, Defined>,
    /// Records being written, and whom to tell.
    writing: BTreeMap<u64, (Option<ConnectionId>, String, GraphRecord)>,
}

fn moment(at: WallClockMillis) -> Timestamp {
    let ms = i64::try_from(at.0).unwrap_or(i64::MAX);
    Timestamp::from_millisecond(ms).unwrap_or(Timestamp::MAX)
}

fn wall(at: Timestamp) -> WallClockMillis {
    WallClockMillis(u64::try_from(at.as_millisecond()).unwrap_or(0))
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
    fn define(&mut self, name: &str, record: &GraphRecord, context: &Context) -> Option<()> {
        if self
            .defined
            .get(name)
            .is_some_and(|d| d.hash == record.hash)
        {
            return Some(());
        }
        let asked = packing::unpack_pieces(record.pieces, |piece| {
            let key = ChunkKey {
                owner: name.to_string(),
                hash: record.hash.clone(),
                chunk: piece,
            };
            context
                .records
                .definition_chunks
                .get(&key)
                .map(|text| text.as_str())
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

impl DagRuns {
    /// Keeps a graph, in place of what was kept under its name.
    pub(super) fn define(
        &mut self,
        conn: ConnectionId,
        name: &str,
        asked: &Asked,
        text: &str,
        context: &mut Context,
    ) {
        // Tried with its defaults, so that a schedule does not find out what is wrong with it.
        if let Err(body) = planned(asked, context) {
            context.effects.respond(conn, Response::json(422, &body));
            return;
        }
        let now = WallClockMillis(context.effects.wall_ms);
        let before = context.records.graphs.get(name);
        let pieces = pieces(text, context);
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
        let begin = Beginning::new(graph_key(name), version, &record, pieces, keyed, context);
        self.beginning.push_back(Beginning {
            conn: Some(conn),
            body: view(name, &record),
            ..begin
        });
    }

    pub(super) fn show_graph(&mut self, conn: ConnectionId, name: &str, context: &mut Context) {
        let response = match context.records.graphs.get(name) {
            Some(v) => Response::json(200, &view(name, &v.value)),
            None => Response::error(404, "no such graph"),
        };
        context.effects.respond(conn, response);
    }

    pub(super) fn pause(
        &mut self,
        conn: ConnectionId,
        name: &str,
        paused: bool,
        context: &mut Context,
    ) {
        let Some(v) = context.records.graphs.get(name).cloned() else {
            context
                .effects
                .respond(conn, Response::error(404, "no such graph"));
            return;
        };
        if !context
            .kv
            .has_budget(context.now(), RequestPriority::Admission, 1)
        {
            context
                .effects
                .respond(conn, Response::later(503, "too many requests", 1));
            return;
        }
        let record = GraphRecord {
            paused,
            why: None,
            ..(*v.value).clone()
        };
        self.write_graph(
            Some(conn),
            name,
            v.version,
            record,
            CompareAndSwap::default(),
            context,
        );
    }

    fn write_graph(
        &mut self,
        conn: Option<ConnectionId>,
        name: &str,
        version: Version,
        record: GraphRecord,
        swap: CompareAndSwap,
        context: &mut Context,
    ) {
        let key = graph_key(name);
        let swap = swap
            .compare(key.clone(), version)
            .mutate(Mutation::put(key, &record));
        self.next += 1;
        context.kv.compare_and_swap(
            context.effects,
            KvRequest::DagRuns(DagRunsRequest::WriteGraph(self.next)),
            &swap,
        );
        let waiting = (conn, name.to_string(), record);
        self.timing.writing.insert(self.next, waiting);
    }

    /// The answer to a write of a graph's record.
    pub fn graph_written(&mut self, id: u64, result: SwapOutcome, context: &mut Context) {
        let Some((conn, name, record)) = self.timing.writing.remove(&id) else {
            return;
        };
        let response = match result {
            SwapOutcome::Applied(revision) => {
                let value = serde_json::to_value(&record).unwrap_or_default();
                context
                    .records
                    .apply(&graph_key(&name), Some(&value), revision);
                Response::json(200, &view(&name, &record))
            }
            _ => Response::later(503, "could not be settled yet", 1),
        };
        if let Some(conn) = conn {
            context.effects.respond(conn, response);
        }
    }

    /// Begins runs for intervals that are over, of the graphs whose part is owned here.
    pub(super) fn time(&mut self, own: &Leases, context: &mut Context) {
        let now = context.now();
        if context.records.graphs.is_empty() || now.since(self.timing.looked_at) < LOOK_MS {
            return;
        }
        self.timing.looked_at = now;
        let records = &context.records;
        self.timing
            .defined
            .retain(|name, _| records.graphs.contains_key(name));
        let names: Vec<String> = context.records.graphs.keys().cloned().collect();
        for name in names {
            let shard_id = shard_of(&graph_key(&name), context.config.shard_count);
            let (Some(fencing_token), Some(v)) = (
                own.fencing_token(shard_id),
                context.records.graphs.get(&name).cloned(),
            ) else {
                continue;
            };
            let busy = self
                .timing
                .writing
                .values()
                .any(|(_, other, _)| *other == name);
            if v.value.paused || busy || self.timing.define(&name, &v.value, context).is_none() {
                continue;
            }
            let swap =
                CompareAndSwap::default().compare(shard_key(shard_id), Version(fencing_token.0));
            self.due(&name, v.version, &v.value, swap, context);
        }
    }

    /// What one graph's schedule asks for now.
    fn due(
        &mut self,
        name: &str,
        version: Version,
        record: &GraphRecord,
        swap: CompareAndSwap,
        context: &mut Context,
    ) {
        // No interval is over before it is over by every clock.
        let skew_ms = context.config.settings.skew_ms();
        let now = moment(WallClockMillis(
            context.effects.wall_ms.saturating_sub(skew_ms),
        ));
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
                id.is_some_and(|id| context.records.runs.contains_key(&id))
            };
            let passed = due.iter().filter(|(f, _)| *f < from && !begun(f));
            next.missed += passed.count() as u64;
        }
        if context.records.runs.contains_key(&id) {
            // It is begun, by whomever: on to the next.
            next.since = wall(until);
        } else {
            if self.begins(&run_key(&id)) || full(name, graph.max_active_runs, context).is_some() {
                return;
            }
            let asked = Asked {
                run: id.run.clone(),
                from,
                until,
                ..defined.asked.clone()
            };
            match planned(&asked, context) {
                Ok(plan) => {
                    let text = packing::pack(&asked);
                    let begin = beginning_of(&id, plan.jobs.len(), &text, context);
                    self.beginning.push_back(begin);
                    return;
                }
                Err(body) => {
                    // Only the interval can make a difference to what was tried before.
                    next.paused = true;
                    next.why = Some(body.to_string().chars().take(WHY).collect());
                    tracing::error!(
                        graph = name,
                        why = next.why,
                        "scheduled DAG run failed to begin"
                    );
                }
            }
        }
        if context
            .kv
            .has_budget(context.now(), RequestPriority::TaskEnds, 1)
        {
            if next.missed > record.missed {
                tracing::info!(
                    graph = name,
                    missed = next.missed,
                    "schedule intervals skipped"
                );
            }
            self.write_graph(None, name, version, next, swap, context);
        }
    }
}
