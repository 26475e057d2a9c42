//! Stored DAGs, and the runs that their schedules start: one for each interval. A run is written only if its
//! key does not exist, which guarantees at most one run per interval.

use super::requests::PackedDefinition;
use super::submissions::{
    PendingDefinition, PlanRejection, check_run_limits, plan_run, split_into_chunks,
};
use super::{DagRuns, DagRunsRequest};
use crate::coordination::context::{Context, KvRequest};
use crate::coordination::leases::Leases;
use crate::coordination::unavailable::Unavailable;
use crate::effects::Response;
use crate::storage::kv_client::{RequestPriority, SwapOutcome};
use crate::storage::record_cache::ChunkKey;
use crate::storage::record_cache::VersionedRecord;
use jiff::Timestamp;
use serde_json::{Value, json};
use snowshelf_dag::packing;
use snowshelf_dag::run::Asked;
use snowshelf_dag::schedule::{Timetable, run_of, timetable};
use snowshelf_model::ids::{ConnectionId, MonotonicMillis, Version, WallClockMillis, shard_of};
use snowshelf_model::protocol::state::{CompareAndSwap, Mutation};
use snowshelf_model::records::{DagRecord, RunId, dag_key, definition_key, run_key, shard_key};
use std::collections::BTreeMap;

/// Time between two evaluations of the schedules, in milliseconds.
const EVALUATION_INTERVAL_MS: u64 = 500;
/// Most characters stored of the reason why a schedule was paused.
const MAX_REASON_CHARS: usize = 200;

/// A stored DAG, unpacked from its chunks.
struct UnpackedDag {
    hash: String,
    definition: Asked,
    /// `None` if the DAG has no schedule.
    timetable: Option<Timetable>,
}

/// A write of a DAG's record that is in flight.
struct DagWrite {
    /// The connection to respond on; `None` for an update by the schedule.
    connection: Option<ConnectionId>,
    name: String,
    record: DagRecord,
}

/// The schedules of stored DAGs.
#[derive(Default)]
pub(super) struct Schedules {
    evaluated_at: MonotonicMillis,
    dags: BTreeMap<String, UnpackedDag>,
    /// Writes of DAGs' records in flight.
    writes: BTreeMap<u64, DagWrite>,
}

fn timestamp(at: WallClockMillis) -> Timestamp {
    let ms = i64::try_from(at.0).unwrap_or(i64::MAX);
    Timestamp::from_millisecond(ms).unwrap_or(Timestamp::MAX)
}

fn wall_clock(at: Timestamp) -> WallClockMillis {
    WallClockMillis(u64::try_from(at.as_millisecond()).unwrap_or(0))
}

fn parse_timestamp(text: Option<&str>) -> Option<Timestamp> {
    text?.parse().ok()
}

/// The body of a response that describes a DAG's schedule.
fn dag_body(name: &str, record: &DagRecord) -> Value {
    let mut body = json!({"graph": name, "paused": record.paused, "missed": record.skipped_intervals,
        "done_until": timestamp(record.scheduled_until).to_string()});
    if let Some(why) = &record.pause_reason {
        body["why"] = json!(why);
    }
    body
}

impl Schedules {
    /// Unpacks a DAG if its definition has changed and all its chunks are cached. Returns whether the
    /// present definition is unpacked.
    fn unpack(&mut self, name: &str, record: &DagRecord, context: &Context<'_>) -> bool {
        let unpacked = self.dags.get(name);
        if unpacked.is_some_and(|dag| dag.hash == record.hash) {
            return true;
        }
        let definitions = &context.records.definition_chunks;
        let definition = packing::unpack_pieces(record.chunks, |chunk| {
            let key = ChunkKey {
                owner: name.to_string(),
                hash: record.hash.clone(),
                chunk,
            };
            definitions.get(&key).map(|text| text.as_str())
        });
        let Some(Ok(definition)) = definition else {
            return false;
        };
        let schedule = definition.graph.schedule.as_ref();
        let timetable = schedule.and_then(|s| timetable(s, definition.graph.zone()).ok());
        let dag = UnpackedDag {
            hash: record.hash.clone(),
            definition,
            timetable,
        };
        self.dags.insert(name.to_string(), dag);
        true
    }
}

/// A run that is due for an interval of a schedule.
struct DueRun {
    id: RunId,
    from: Timestamp,
    until: Timestamp,
    /// Number of earlier intervals that get no run because the DAG does not catch up.
    skipped: u64,
}

/// The run that is due now by a DAG's schedule, if any.
fn due_run(
    name: &str,
    dag: &UnpackedDag,
    record: &DagRecord,
    context: &Context<'_>,
) -> Option<DueRun> {
    // The clock may be ahead by the skew. An interval is over only when it is over by every host's clock.
    let skew_ms = context.config.settings.skew_ms();
    let wall_ms = context.effects.wall_ms.saturating_sub(skew_ms);
    let now = timestamp(WallClockMillis(wall_ms));
    let graph = &dag.definition.graph;
    let timetable = dag.timetable.as_ref()?;
    let start =
        parse_timestamp(graph.start.as_deref()).unwrap_or_else(|| timestamp(record.created_at));
    let end = parse_timestamp(graph.end.as_deref()).unwrap_or(Timestamp::MAX);
    let mut due = timetable.due(start, timestamp(record.scheduled_until), now);
    due.retain(|(from, _)| *from <= end);
    let interval = if graph.catch_up {
        due.first()
    } else {
        due.last()
    };
    let (from, until) = interval.copied()?;
    let id = RunId::new(name, &run_of(from))?;
    // An interval that has a run already does not count as skipped.
    let has_run = |from: &Timestamp| {
        let id = RunId::new(name, &run_of(*from));
        id.is_some_and(|id| context.records.runs.contains_key(&id))
    };
    let skipped = due.iter().filter(|(f, _)| *f < from && !has_run(f)).count() as u64;
    Some(DueRun {
        id,
        from,
        until,
        skipped: if graph.catch_up { 0 } else { skipped },
    })
}

impl DagRuns {
    /// Stores a DAG, replacing any DAG of that name.
    pub(super) fn define(
        &mut self,
        connection: ConnectionId,
        name: &str,
        PackedDefinition { definition, text }: &PackedDefinition,
        context: &mut Context<'_>,
    ) {
        // Plans a run with the default parameters, so that errors are reported to the user now and not when
        // the schedule starts a run.
        if let Err(rejection) = plan_run(definition, context) {
            let response = Response::json(422, &rejection.body());
            context.effects.respond(connection, response);
            return;
        }
        let now = WallClockMillis(context.effects.wall_ms);
        let before = context.records.graphs.get(name);
        let hash = packing::hash(text);
        let chunks = split_into_chunks(text, |i| definition_key(name, &hash, i), context);
        let start = parse_timestamp(definition.graph.start.as_deref());
        let start = start.map_or(now, wall_clock);
        // Without catch-up, intervals before now get no run.
        let since = if definition.graph.catch_up {
            start
        } else {
            start.max(now)
        };
        let record = DagRecord {
            hash,
            chunks: chunks.len() as u32,
            created_at: before.map_or(now, |v| v.value.created_at),
            paused: before.is_some_and(|v| v.value.paused && v.value.pause_reason.is_none()),
            scheduled_until: before.map_or(since, |v| v.value.scheduled_until),
            skipped_intervals: before.map_or(0, |v| v.value.skipped_intervals),
            pause_reason: None,
        };
        let version = before.map(|v| v.version).unwrap_or_default();
        let mut pending = PendingDefinition::new(dag_key(name), version, &record, chunks, context);
        pending.connection = Some(connection);
        pending.body = dag_body(name, &record);
        self.pending.push_back(pending);
    }

    /// Responds with the state of a DAG's schedule.
    pub(super) fn show_dag(&self, connection: ConnectionId, name: &str, context: &mut Context<'_>) {
        let response = match context.records.graphs.get(name) {
            Some(v) => Response::json(200, &dag_body(name, &v.value)),
            None => Response::error(404, "no such graph"),
        };
        context.effects.respond(connection, response);
    }

    /// Pauses or resumes a DAG's schedule.
    pub(super) fn set_paused(
        &mut self,
        connection: ConnectionId,
        name: &str,
        paused: bool,
        context: &mut Context<'_>,
    ) {
        let Some(v) = context.records.graphs.get(name).cloned() else {
            let response = Response::error(404, "no such graph");
            context.effects.respond(connection, response);
            return;
        };
        if !context
            .kv
            .has_budget(context.now(), RequestPriority::Admission, 1)
        {
            let unavailable = Unavailable::RateLimited.into();
            context.effects.respond(connection, unavailable);
            return;
        }
        let write = DagWrite {
            connection: Some(connection),
            name: name.to_string(),
            record: DagRecord {
                paused,
                pause_reason: None,
                ..(*v.value).clone()
            },
        };
        self.write_dag(write, v.version, CompareAndSwap::default(), context);
    }

    /// Writes a DAG's record if it still has this version and the comparisons in `swap` hold.
    fn write_dag(
        &mut self,
        write: DagWrite,
        version: Version,
        swap: CompareAndSwap,
        context: &mut Context<'_>,
    ) {
        let key = dag_key(&write.name);
        let swap = swap
            .compare(key.clone(), version)
            .mutate(Mutation::put(key, &write.record));
        let id = self.next_request_id();
        let request = KvRequest::DagRuns(DagRunsRequest::WriteDag(id));
        context.kv.compare_and_swap(context.effects, request, &swap);
        self.schedules.writes.insert(id, write);
    }

    /// Handles the outcome of a write of a DAG's record.
    pub(super) fn on_dag_written(
        &mut self,
        id: u64,
        outcome: &SwapOutcome,
        context: &mut Context<'_>,
    ) {
        let Some(DagWrite {
            connection,
            name,
            record,
        }) = self.schedules.writes.remove(&id)
        else {
            return;
        };
        let response = if let SwapOutcome::Applied(revision) = outcome {
            let value = serde_json::to_value(&record).unwrap_or_default();
            context
                .records
                .apply(&dag_key(&name), Some(&value), *revision);
            Response::json(200, &dag_body(&name, &record))
        } else {
            Unavailable::Contended.into()
        };
        if let Some(connection) = connection {
            context.effects.respond(connection, response);
        }
    }

    /// Starts the runs that are due of the DAGs whose shards this controller leads.
    pub(super) fn start_scheduled_runs(&mut self, leases: &Leases, context: &mut Context<'_>) {
        let now = context.now();
        if context.records.graphs.is_empty()
            || now.since(self.schedules.evaluated_at) < EVALUATION_INTERVAL_MS
        {
            return;
        }
        self.schedules.evaluated_at = now;
        let records = &context.records;
        self.schedules
            .dags
            .retain(|name, _| records.graphs.contains_key(name));
        let names: Vec<String> = context.records.graphs.keys().cloned().collect();
        for name in names {
            let shard_id = shard_of(&dag_key(&name), context.config.shard_count);
            let record = context.records.graphs.get(&name).cloned();
            let (Some(fencing_token), Some(record)) = (leases.fencing_token(shard_id), record)
            else {
                continue;
            };
            let is_writing = self.schedules.writes.values().any(|w| w.name == name);
            if record.value.paused
                || is_writing
                || !self.schedules.unpack(&name, &record.value, context)
            {
                continue;
            }
            let swap =
                CompareAndSwap::default().compare(shard_key(shard_id), Version(fencing_token.0));
            self.start_due_run(&name, &record, swap, context);
        }
    }

    /// Queues the run of a DAG that is due or, if it exists already, advances the DAG's record past its
    /// interval. Pauses the schedule if the run cannot be planned.
    fn start_due_run(
        &mut self,
        name: &str,
        record: &VersionedRecord<DagRecord>,
        swap: CompareAndSwap,
        context: &mut Context<'_>,
    ) {
        let Some(dag) = self.schedules.dags.get(name) else {
            return;
        };
        let Some(due) = due_run(name, dag, &record.value, context) else {
            return;
        };
        let mut next = (*record.value).clone();
        next.skipped_intervals += due.skipped;
        if context.records.runs.contains_key(&due.id) {
            // The run has been started, possibly by another controller.
            next.scheduled_until = wall_clock(due.until);
        } else {
            let Err(rejection) = self.queue_due_run(name, &due, context) else {
                return;
            };
            // The definition was planned successfully when it was stored; only the interval differs.
            let why = rejection.body().to_string();
            next.paused = true;
            next.pause_reason = Some(why.chars().take(MAX_REASON_CHARS).collect());
            tracing::error!(
                dag = name,
                why = next.pause_reason,
                "scheduled DAG run failed to begin"
            );
        }
        if context
            .kv
            .has_budget(context.now(), RequestPriority::TaskEnds, 1)
        {
            if next.skipped_intervals > record.value.skipped_intervals {
                let missed = next.skipped_intervals;
                tracing::info!(dag = name, missed, "schedule intervals skipped");
            }
            let write = DagWrite {
                connection: None,
                name: name.to_string(),
                record: next,
            };
            self.write_dag(write, record.version, swap, context);
        }
    }

    /// Queues a due run to be written, unless it is queued already or a limit of open runs is reached.
    ///
    /// # Errors
    /// Returns why the run cannot be planned.
    fn queue_due_run(
        &mut self,
        name: &str,
        due: &DueRun,
        context: &Context<'_>,
    ) -> Result<(), PlanRejection> {
        let Some(dag) = self.schedules.dags.get(name) else {
            return Ok(());
        };
        let max_active_runs = dag.definition.graph.max_active_runs;
        if self.is_pending(&run_key(&due.id))
            || check_run_limits(name, max_active_runs, context).is_err()
        {
            return Ok(());
        }
        let definition = Asked {
            run: due.id.run.clone(),
            from: due.from,
            until: due.until,
            ..dag.definition.clone()
        };
        let plan = plan_run(&definition, context)?;
        let text = packing::pack(&definition);
        let pending = PendingDefinition::new_run(&due.id, plan.jobs.len(), &text, context);
        self.pending.push_back(pending);
        Ok(())
    }
}
