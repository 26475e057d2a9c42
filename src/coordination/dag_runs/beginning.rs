//! How a run, or a graph that is kept, becomes durable: its pieces first, then the record that makes them
//! count, and only then is anybody told.

use super::living::asked_of;
use super::{DagRuns, DagRunsRequest, brief};
use crate::coordination::api::check_feasible;
use crate::coordination::context::{Context, KvRequest};
use crate::effects::Response;
use crate::storage::kv_client::{RequestPriority, SwapOutcome};
use serde::Serialize;
use serde_json::{Value, json};
use snowshelf_dag::packing;
use snowshelf_dag::plan::{Plan, expand};
use snowshelf_dag::run::Asked;
use snowshelf_model::ids::{ConnectionId, MonotonicMillis, Version, WallClockMillis};
use snowshelf_model::protocol::state::{CompareAndSwap, Mutation};
use snowshelf_model::records::{RunId, RunRecord, RunState, plan_key, run_key};
use std::collections::BTreeMap;

/// What waits to be written at the most, and how long it may.
const MOST_WAITING: usize = 16;
const PATIENCE_MS: u64 = 4_000;
/// Bytes of a value that its marks take.
const SPARE_BYTES: usize = 64;

/// A run or a graph that is being written.
pub(super) struct Beginning {
    /// Whom to tell; a schedule's run is nobody's.
    pub conn: Option<ConnectionId>,
    /// The record that makes the pieces count, and the version of it that is replaced.
    pub key: String,
    pub version: Version,
    pub record: Value,
    /// What is told once it is there.
    pub body: Value,
    pub pieces: Vec<(String, String)>,
    pub written: usize,
    pub underway: usize,
    pub since: MonotonicMillis,
}

impl Beginning {
    /// Nobody's yet, with nothing to tell. `piece_key` is the key of each piece.
    pub(super) fn new(
        key: String,
        version: Version,
        record: &impl Serialize,
        pieces: Vec<String>,
        piece_key: impl Fn(u32) -> String,
        context: &Context,
    ) -> Beginning {
        Beginning {
            conn: None,
            key,
            version,
            record: serde_json::to_value(record).unwrap_or_default(),
            body: Value::Null,
            pieces: (0..).map(piece_key).zip(pieces).collect(),
            written: 0,
            underway: 0,
            since: context.effects.now,
        }
    }
}

/// A text in pieces that are small enough to be values.
pub(super) fn pieces(text: &str, context: &Context) -> Vec<String> {
    packing::pieces(
        text,
        context
            .storage_limits
            .value_bytes
            .saturating_sub(SPARE_BYTES),
    )
}

/// A run's record as it begins, to be written with what it was asked for.
pub(super) fn beginning_of(id: &RunId, jobs: usize, text: &str, context: &Context) -> Beginning {
    let pieces = pieces(text, context);
    let record = RunRecord {
        state: RunState::Open,
        at: WallClockMillis(context.effects.wall_ms),
        jobs: jobs as u32,
        hash: packing::hash(text),
        pieces: pieces.len() as u32,
        cancel: false,
        failed: Default::default(),
        counts: BTreeMap::new(),
        ended: None,
    };
    let keyed = |i| plan_key(id, &record.hash, i);
    Beginning {
        body: brief(id, &record),
        ..Beginning::new(run_key(id), Version(0), &record, pieces, keyed, context)
    }
}

/// Whether there is no room for another run of a graph, and why.
pub(super) fn full(graph: &str, active: Option<u32>, context: &Context) -> Option<&'static str> {
    let runs = context.records.runs.iter();
    let open = runs.filter(|(_, v)| v.value.state == RunState::Open);
    let of_graph = open.clone().filter(|(id, _)| id.graph == graph).count();
    if active.is_some_and(|n| of_graph >= n as usize) {
        Some("the graph has as many active runs as it may")
    } else if open.count() >= context.config.ops.graphs.most_runs {
        Some("too many runs")
    } else {
        None
    }
}

/// The plan of what is asked for, if it can run here; what to answer otherwise.
pub(super) fn planned(asked: &Asked, context: &Context) -> Result<Plan, Value> {
    let plan = expand(&asked.graph, &asked.mapping, &asked.facts(), "graph");
    let plan = plan.map_err(|list| json!({"error": "the graph cannot run", "problems": list}))?;
    let most = context.config.ops.graphs.most_jobs;
    if plan.jobs.len() > most {
        return Err(json!({"error": format!("the run has more than {most} jobs")}));
    }
    let mut jobs = plan.jobs.iter();
    match jobs.find_map(|j| Some((j, check_feasible(&j.submission.spec, context).err()?))) {
        Some((job, why)) => Err(json!({"error": format!("{}: {why}", job.step)})),
        None => Ok(plan),
    }
}

impl DagRuns {
    pub(super) fn begin(
        &mut self,
        conn: ConnectionId,
        id: RunId,
        asked: &Asked,
        text: &str,
        context: &mut Context,
    ) {
        if let Some(v) = context.records.runs.get(&id) {
            // By run and not by what it was asked for: a retry may be written otherwise.
            let body = brief(&id, &v.value);
            context.effects.respond(conn, Response::json(200, &body));
            return;
        }
        let why = full(&id.graph, asked.graph.max_active_runs, context);
        if why.is_some() || self.beginning.len() >= MOST_WAITING {
            let later = Response::later(503, why.unwrap_or("too many runs"), 5);
            context.effects.respond(conn, later);
            return;
        }
        match planned(asked, context) {
            Ok(plan) => {
                let begin = beginning_of(&id, plan.jobs.len(), text, context);
                self.beginning.push_back(Beginning {
                    conn: Some(conn),
                    ..begin
                });
            }
            Err(body) => context.effects.respond(conn, Response::json(422, &body)),
        }
    }

    /// Begins a run of what did not succeed in an ended one.
    pub(super) fn rerun(
        &mut self,
        conn: ConnectionId,
        id: &RunId,
        next: String,
        context: &mut Context,
    ) {
        let told = |context: &mut Context, status: u16, why: &str| {
            context.effects.respond(conn, Response::error(status, why));
        };
        let Some(record) = context.records.runs.get(id).map(|v| v.value.clone()) else {
            told(context, 404, "no such run");
            return;
        };
        if record.state == RunState::Open {
            told(context, 409, "the run has not ended");
            return;
        }
        let Some(Ok(mut asked)) = asked_of(id, &record, context) else {
            told(
                context,
                409,
                "what the run was asked for is not kept any more",
            );
            return;
        };
        asked.after.push(std::mem::replace(&mut asked.run, next));
        if let Some(id) = RunId::new(&id.graph, &asked.run) {
            let text = packing::pack(&asked);
            self.begin(conn, id, &asked, &text, context);
        }
    }

    fn give_up(&mut self, why: &str, after_s: u64, context: &mut Context) {
        if let Some(lost) = self.beginning.pop_front()
            && let Some(conn) = lost.conn
        {
            context
                .effects
                .respond(conn, Response::later(503, why, after_s));
        }
    }

    /// Writes what the first of those that begin still lacks, and then its record.
    pub(super) fn write_beginning(&mut self, context: &mut Context) {
        let now = context.now();
        while let Some(first) = self.beginning.front()
            && first.underway == 0
            && now.since(first.since) > PATIENCE_MS
        {
            self.give_up("could not be written yet", 2, context);
        }
        let Some(first) = self.beginning.front_mut().filter(|b| b.underway == 0) else {
            return;
        };
        let mut swap = CompareAndSwap::default().compare(first.key.clone(), first.version);
        let room = context
            .kv
            .write_budget(now, RequestPriority::Admission)
            .min(context.storage_limits.txn_ops);
        for (key, piece) in first.pieces.iter().skip(first.written).take(room) {
            swap = swap.mutate(Mutation::put(key.clone(), piece));
        }
        if first.written == first.pieces.len() {
            swap = swap.mutate(Mutation::put(first.key.clone(), &first.record));
        }
        if swap.mutations.is_empty()
            || !context
                .kv
                .has_budget(now, RequestPriority::Admission, swap.mutations.len())
        {
            return;
        }
        first.underway = swap.mutations.len();
        context.kv.compare_and_swap(
            context.effects,
            KvRequest::DagRuns(DagRunsRequest::Begin),
            &swap,
        );
    }

    /// The answer to a part of a beginning.
    pub fn begun(&mut self, result: SwapOutcome, context: &mut Context) {
        let Some(first) = self.beginning.front_mut() else {
            return;
        };
        let underway = std::mem::take(&mut first.underway);
        match result {
            SwapOutcome::Applied(_) if first.written < first.pieces.len() => {
                first.written += underway;
                first.since = context.effects.now;
            }
            SwapOutcome::Applied(revision) => {
                if let Some(done) = self.beginning.pop_front() {
                    context
                        .records
                        .apply(&done.key, Some(&done.record), revision);
                    tracing::info!(key = done.key, "DAG run or graph accepted");
                    let status = if done.version == Version(0) { 201 } else { 200 };
                    if let Some(conn) = done.conn {
                        context
                            .effects
                            .respond(conn, Response::json(status, &done.body));
                    }
                }
            }
            // A retry finds it, or writes the same pieces again.
            _ => self.give_up("the state service did not answer", 1, context),
        }
    }

    /// Sends everybody who waits away: the state service does not serve.
    pub fn refuse_all(&mut self, context: &mut Context) {
        while !self.beginning.is_empty() {
            self.give_up("the state service is away", 2, context);
        }
    }

    /// Whether something with this key is being written.
    pub(super) fn begins(&self, key: &str) -> bool {
        self.beginning.iter().any(|b| b.key == key)
    }
}
