//! How a run, or a graph that is kept, becomes durable: its pieces first, then the record that makes them
//! count, and only then is anybody told.

use super::living::asked_of;
use super::{Runs, brief};
use crate::bookkeeping::store::{Class, TxnResult};
use crate::coordination::env::{Env, Tag};
use crate::coordination::gateway::never_runs;
use crate::outbox::Response;
use serde::Serialize;
use serde_json::{Value, json};
use snowshelf_dag::packing;
use snowshelf_dag::plan::{Plan, expand};
use snowshelf_dag::run::Asked;
use snowshelf_model::ids::{ConnId, Millis, Version, WallMs};
use snowshelf_model::protocol::state::{Change, Txn};
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
    pub conn: Option<ConnId>,
    /// The record that makes the pieces count, and the version of it that is replaced.
    pub key: String,
    pub version: Version,
    pub record: Value,
    /// What is told once it is there.
    pub body: Value,
    pub pieces: Vec<(String, String)>,
    pub written: usize,
    pub underway: usize,
    pub since: Millis,
}

impl Beginning {
    /// Nobody's yet, with nothing to tell. `piece_key` is the key of each piece.
    pub(super) fn new(
        key: String,
        version: Version,
        record: &impl Serialize,
        pieces: Vec<String>,
        piece_key: impl Fn(u32) -> String,
        env: &Env,
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
            since: env.out.now,
        }
    }
}

/// A text in pieces that are small enough to be values.
pub(super) fn pieces(text: &str, env: &Env) -> Vec<String> {
    packing::pieces(text, env.terms.value_bytes.saturating_sub(SPARE_BYTES))
}

/// A run's record as it begins, to be written with what it was asked for.
pub(super) fn beginning_of(id: &RunId, jobs: usize, text: &str, env: &Env) -> Beginning {
    let pieces = pieces(text, env);
    let record = RunRecord {
        state: RunState::Open,
        at: WallMs(env.out.wall_ms),
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
        ..Beginning::new(run_key(id), Version(0), &record, pieces, keyed, env)
    }
}

/// Whether there is no room for another run of a graph, and why.
pub(super) fn full(graph: &str, active: Option<u32>, env: &Env) -> Option<&'static str> {
    let runs = env.mirror.runs.iter();
    let open = runs.filter(|(_, v)| v.value.state == RunState::Open);
    let of_graph = open.clone().filter(|(id, _)| id.graph == graph).count();
    if active.is_some_and(|n| of_graph >= n as usize) {
        Some("the graph has as many active runs as it may")
    } else if open.count() >= env.cfg.ops.graphs.most_runs {
        Some("too many runs")
    } else {
        None
    }
}

/// The plan of what is asked for, if it can run here; what to answer otherwise.
pub(super) fn planned(asked: &Asked, env: &Env) -> Result<Plan, Value> {
    let plan = expand(&asked.graph, &asked.mapping, &asked.facts(), "graph");
    let plan = plan.map_err(|list| json!({"error": "the graph cannot run", "problems": list}))?;
    let most = env.cfg.ops.graphs.most_jobs;
    if plan.jobs.len() > most {
        return Err(json!({"error": format!("the run has more than {most} jobs")}));
    }
    let mut jobs = plan.jobs.iter();
    match jobs.find_map(|j| Some((j, never_runs(&j.submission.spec, env)?))) {
        Some((job, why)) => Err(json!({"error": format!("{}: {why}", job.step)})),
        None => Ok(plan),
    }
}

impl Runs {
    pub(super) fn begin(
        &mut self,
        conn: ConnId,
        id: RunId,
        asked: &Asked,
        text: &str,
        env: &mut Env,
    ) {
        if let Some(v) = env.mirror.runs.get(&id) {
            // By run and not by what it was asked for: a retry may be written otherwise.
            let body = brief(&id, &v.value);
            env.out.respond(conn, Response::json(200, &body));
            return;
        }
        let why = full(&id.graph, asked.graph.max_active_runs, env);
        if why.is_some() || self.beginning.len() >= MOST_WAITING {
            let later = Response::later(503, why.unwrap_or("too many runs"), 5);
            env.out.respond(conn, later);
            return;
        }
        match planned(asked, env) {
            Ok(plan) => {
                let begin = beginning_of(&id, plan.jobs.len(), text, env);
                self.beginning.push_back(Beginning {
                    conn: Some(conn),
                    ..begin
                });
            }
            Err(body) => env.out.respond(conn, Response::json(422, &body)),
        }
    }

    /// Begins a run of what did not succeed in an ended one.
    pub(super) fn rerun(&mut self, conn: ConnId, id: &RunId, next: String, env: &mut Env) {
        let told = |env: &mut Env, status: u16, why: &str| {
            env.out.respond(conn, Response::error(status, why));
        };
        let Some(record) = env.mirror.runs.get(id).map(|v| v.value.clone()) else {
            told(env, 404, "no such run");
            return;
        };
        if record.state == RunState::Open {
            told(env, 409, "the run has not ended");
            return;
        }
        let Some(Ok(mut asked)) = asked_of(id, &record, env) else {
            told(env, 409, "what the run was asked for is not kept any more");
            return;
        };
        asked.after.push(std::mem::replace(&mut asked.run, next));
        if let Some(id) = RunId::new(&id.graph, &asked.run) {
            let text = packing::pack(&asked);
            self.begin(conn, id, &asked, &text, env);
        }
    }

    fn give_up(&mut self, why: &str, after_s: u64, env: &mut Env) {
        if let Some(lost) = self.beginning.pop_front()
            && let Some(conn) = lost.conn
        {
            env.out.respond(conn, Response::later(503, why, after_s));
        }
    }

    /// Writes what the first of those that begin still lacks, and then its record.
    pub(super) fn write_beginning(&mut self, env: &mut Env) {
        let now = env.now();
        while let Some(first) = self.beginning.front()
            && first.underway == 0
            && now.since(first.since) > PATIENCE_MS
        {
            self.give_up("could not be written yet", 2, env);
        }
        let Some(first) = self.beginning.front_mut().filter(|b| b.underway == 0) else {
            return;
        };
        let mut txn = Txn::default().when(first.key.clone(), first.version);
        let room = env.store.room(now, Class::Accept).min(env.terms.txn_ops);
        for (key, piece) in first.pieces.iter().skip(first.written).take(room) {
            txn = txn.then(Change::write(key.clone(), piece));
        }
        if first.written == first.pieces.len() {
            txn = txn.then(Change::write(first.key.clone(), &first.record));
        }
        if txn.changes.is_empty() || !env.store.may(now, Class::Accept, txn.changes.len()) {
            return;
        }
        first.underway = txn.changes.len();
        env.store.txn(env.out, Tag::RunBegin, &txn);
    }

    /// The answer to a part of a beginning.
    pub fn begun(&mut self, result: TxnResult, env: &mut Env) {
        let Some(first) = self.beginning.front_mut() else {
            return;
        };
        let underway = std::mem::take(&mut first.underway);
        match result {
            TxnResult::Done(_) if first.written < first.pieces.len() => {
                first.written += underway;
                first.since = env.out.now;
            }
            TxnResult::Done(revision) => {
                if let Some(done) = self.beginning.pop_front() {
                    env.mirror.apply(&done.key, Some(&done.record), revision);
                    tracing::info!(key = done.key, "a run or a graph is taken");
                    let status = if done.version == Version(0) { 201 } else { 200 };
                    if let Some(conn) = done.conn {
                        env.out.respond(conn, Response::json(status, &done.body));
                    }
                }
            }
            // A retry finds it, or writes the same pieces again.
            _ => self.give_up("the state service did not answer", 1, env),
        }
    }

    /// Sends everybody who waits away: the state service does not serve.
    pub fn refuse_all(&mut self, env: &mut Env) {
        while !self.beginning.is_empty() {
            self.give_up("the state service is away", 2, env);
        }
    }

    /// Whether something with this key is being written.
    pub(super) fn begins(&self, key: &str) -> bool {
        self.beginning.iter().any(|b| b.key == key)
    }
}
