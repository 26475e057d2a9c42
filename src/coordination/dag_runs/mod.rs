//! Runs of graphs: taken, kept, and driven on by the owner of the part that a run falls into.
//!
//! A run is durable before its user is told. Its jobs are submitted through the same acceptance as users'
//! jobs and carry the mark of runs; whoever takes the part over works the same plan out of the same
//! record and goes on, so that nothing is submitted twice or forgotten. A run cancels jobs that carry
//! its mark, and no others.

mod asking;
mod beginning;
mod living;
mod timing;

pub use asking::{Ask, Read, read};

use super::api::JobApi;
use super::context::{Context, KvRequest};
use super::leases::Leases;
use crate::effects::Response;
use crate::storage::kv_client::{
    GetOutcome, KvResponse, RequestPriority, SwapOutcome, unexpected_response,
};
use crate::storage::record_cache::RecordCache;
use beginning::Beginning;
use living::Live;
use serde_json::{Value, json};
use snowshelf_dag::run::{Decision, End, Stand};
use snowshelf_model::ids::{
    Attempt, ConnectionId, JobId, MonotonicMillis, TaskIndex, Version, WallClockMillis,
    seconds_to_ms, shard_of,
};
use snowshelf_model::protocol::state::{CompareAndSwap, Mutation};
use snowshelf_model::records::{
    Capability, RunId, RunRecord, RunState, job_key, plan_key, run_key, shard_key,
};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// How often a run is looked at where none of its jobs has changed.
const LOOK_MS: u64 = 500;
/// The least time between two looks at one run.
const LOOK_GAP_MS: u64 = 100;
/// Jobs submitted at one look.
const MOST_AT_ONCE: usize = 8;
/// Pictures of runs that this controller does not drive, for whoever asks.
const MOST_SHOWN: usize = 4;
/// How long after its end a run's steps are shown, and its record is kept.
const SHOWN_MS: u64 = 86_400_000;
const KEPT_MS: u64 = 30 * 86_400_000;
/// How often what is past that is looked for.
const TIDY_MS: u64 = 5_000;

/// Whoever wants to see a run, and waits for the word that the picture of it is not behind.
struct Question {
    conn: ConnectionId,
    run: RunId,
    /// Which of its steps are shown.
    after: usize,
    limit: usize,
}

/// What DAG runs ask of the key-value store; numbers are those of what is underway.
#[derive(Clone, Debug)]
pub enum DagRunsRequest {
    /// Writes a part of a run's, or a graph's, definition or record.
    Begin,
    /// Compares versions to answer a question.
    Answer(u64),
    /// Writes a run's record.
    Write(u64),
    /// Reads a job of an earlier run with the same plan.
    ReadEarlierJob { run: RunId, job: JobId },
    /// Writes a graph's record.
    WriteGraph(u64),
    /// Deletes keys of runs that have ended.
    RemoveEnded { keys: Vec<String> },
}

#[derive(Default)]
pub struct DagRuns {
    beginning: VecDeque<Beginning>,
    live: BTreeMap<RunId, Live>,
    /// Runs whose record is being written, and whom to tell: who has cancelled it.
    writing: BTreeMap<u64, (Option<ConnectionId>, RunId, RunRecord)>,
    questions: BTreeMap<u64, Question>,
    /// Runs that cannot be expanded here, told once.
    broken: BTreeSet<RunId>,
    next: u64,
    turn: Option<RunId>,
    timing: timing::Timing,
    tidy_at: MonotonicMillis,
    tidying: bool,
}

fn word(state: RunState, cancel: bool) -> &'static str {
    match (state, cancel) {
        (RunState::Open, true) => "cancelling",
        (RunState::Open, false) => "running",
        (RunState::Success, _) => "success",
        (RunState::Failed, _) => "failed",
        (RunState::Cancelled, _) => "cancelled",
    }
}

fn brief(id: &RunId, record: &RunRecord) -> Value {
    json!({"graph": id.graph, "run": id.run, "state": word(record.state, record.cancel), "jobs": record.jobs})
}

fn counted(stands: &[Stand]) -> BTreeMap<String, u32> {
    let mut counts: BTreeMap<String, u32> = BTreeMap::new();
    for stand in stands {
        let name = serde_json::to_value(stand).ok();
        let name = name.and_then(|v| v.as_str().map(str::to_string));
        *counts.entry(name.unwrap_or_default()).or_default() += 1;
    }
    counts
}

impl DagRuns {
    pub fn take(&mut self, conn: ConnectionId, ask: Ask, context: &mut Context) {
        let why = if !context.records.all_support(&Capability::graphs()) {
            Some("not every controller takes graphs yet")
        } else if !context.records.loaded || context.types.is_empty() {
            Some("not able to decide yet")
        } else {
            None
        };
        if let Some(why) = why {
            context.effects.respond(conn, Response::later(503, why, 2));
            return;
        }
        match ask {
            Ask::Begin(id, asked, text) => self.begin(conn, id, &asked, &text, context),
            Ask::Show(id, after, limit) => self.ask(conn, id, after, limit, context),
            Ask::Cancel(id) => self.cancel(conn, id, context),
            Ask::Rerun(id, next) => self.rerun(conn, &id, next, context),
            Ask::Define(name, asked, text) => self.define(conn, &name, &asked, &text, context),
            Ask::ShowGraph(name) => self.show_graph(conn, &name, context),
            Ask::Pause(name, paused) => self.pause(conn, &name, paused, context),
        }
    }

    /// Asks whether the picture of a run is behind.
    fn ask(
        &mut self,
        conn: ConnectionId,
        run: RunId,
        after: usize,
        limit: usize,
        context: &mut Context,
    ) {
        if !context
            .kv
            .has_budget(context.now(), RequestPriority::Reads, 0)
        {
            context
                .effects
                .respond(conn, Response::later(503, "too many requests", 1));
            return;
        }
        let known = context.records.runs.get(&run).map(|v| v.version);
        let swap = CompareAndSwap::default().compare(run_key(&run), known.unwrap_or_default());
        self.next += 1;
        context.kv.check_versions(
            context.effects,
            KvRequest::DagRuns(DagRunsRequest::Answer(self.next)),
            &swap,
            1_500,
        );
        let question = Question {
            conn,
            run,
            after,
            limit,
        };
        self.questions.insert(self.next, question);
    }

    /// Takes a response of the key-value store in.
    pub fn on_response(
        &mut self,
        request: DagRunsRequest,
        response: KvResponse,
        context: &mut Context,
    ) {
        match (request, response) {
            (DagRunsRequest::Begin, KvResponse::Swap(outcome)) => self.begun(outcome, context),
            (DagRunsRequest::Answer(id), KvResponse::Swap(outcome)) => {
                self.answered(id, outcome, context);
            }
            (DagRunsRequest::Write(id), KvResponse::Swap(outcome)) => {
                self.written(id, outcome, context);
            }
            (DagRunsRequest::WriteGraph(id), KvResponse::Swap(outcome)) => {
                self.graph_written(id, outcome, context);
            }
            (DagRunsRequest::ReadEarlierJob { run, job }, KvResponse::Get(outcome)) => {
                if let GetOutcome::Found(item) = &outcome {
                    let value = Some(&item.value);
                    context.records.apply(&item.key, value, item.version);
                }
                let missing = matches!(outcome, GetOutcome::NotFound(_));
                self.earlier(&run, &job, missing);
            }
            (DagRunsRequest::RemoveEnded { keys }, KvResponse::Swap(outcome)) => {
                self.tidied(&keys, outcome, context);
            }
            (request, _) => unexpected_response(&request),
        }
    }

    /// The answer to such a question.
    pub fn answered(&mut self, id: u64, result: SwapOutcome, context: &mut Context) {
        let Some(question) = self.questions.remove(&id) else {
            return;
        };
        let Question {
            conn,
            run,
            after,
            limit,
        } = question;
        let SwapOutcome::Applied(_) = result else {
            let later = Response::later(
                503,
                "the picture is behind, or the state service did not answer",
                1,
            );
            context.effects.respond(conn, later);
            return;
        };
        let Some(record) = context.records.runs.get(&run).map(|v| v.value.clone()) else {
            context
                .effects
                .respond(conn, Response::error(404, "no such run"));
            return;
        };
        let mut body = brief(&run, &record);
        if record.state != RunState::Open {
            body["counts"] = json!(record.counts);
        }
        // Steps are shown as long as the run's pieces are there.
        self.picture(&run, &record, context);
        if let Some(live) = self.live.get_mut(&run) {
            let decision = live.look(&record, 0, context);
            if record.state == RunState::Open {
                body["counts"] = json!(counted(&decision.stands));
            }
            let steps = live
                .plan
                .jobs
                .iter()
                .zip(&decision.stands)
                .enumerate()
                .skip(after)
                .take(limit);
            let steps: Vec<Value> = steps
                .map(|(i, (job, stand))| {
                    let mut step = json!({"at": i, "step": job.step, "job": job.submission.job, "stand": stand});
                    if let Some(copy) = job.copy {
                        step["copy"] = json!(copy);
                        step["sweep"] = json!(job.sweep);
                    }
                    step
                })
                .collect();
            body["steps"] = json!(steps);
            body["more"] = json!(after + limit < live.plan.jobs.len());
        }
        context.effects.respond(conn, Response::json(200, &body));
    }

    fn cancel(&mut self, conn: ConnectionId, id: RunId, context: &mut Context) {
        let Some(v) = context.records.runs.get(&id).cloned() else {
            // The record may not have come yet.
            self.ask(conn, id, 0, 0, context);
            return;
        };
        if v.value.state != RunState::Open || v.value.cancel {
            let body = brief(&id, &v.value);
            context.effects.respond(conn, Response::json(200, &body));
            return;
        }
        if !context
            .kv
            .has_budget(context.now(), RequestPriority::Admission, 1)
        {
            context
                .effects
                .respond(conn, Response::later(503, "too many requests", 1));
            return;
        }
        let record = RunRecord {
            cancel: true,
            ..(*v.value).clone()
        };
        self.write_run(
            Some(conn),
            id,
            v.version,
            record,
            CompareAndSwap::default(),
            context,
        );
    }

    fn write_run(
        &mut self,
        conn: Option<ConnectionId>,
        id: RunId,
        version: Version,
        record: RunRecord,
        swap: CompareAndSwap,
        context: &mut Context,
    ) {
        let key = run_key(&id);
        let swap = swap
            .compare(key.clone(), version)
            .mutate(Mutation::put(key, &record));
        self.next += 1;
        context.kv.compare_and_swap(
            context.effects,
            KvRequest::DagRuns(DagRunsRequest::Write(self.next)),
            &swap,
        );
        self.writing.insert(self.next, (conn, id, record));
    }

    /// The answer to such a write; whatever one of the run itself leaves open, the feed tells, and it
    /// is decided anew.
    pub fn written(&mut self, id: u64, result: SwapOutcome, context: &mut Context) {
        let Some((conn, run, record)) = self.writing.remove(&id) else {
            return;
        };
        let response = match result {
            SwapOutcome::Applied(revision) => {
                let value = serde_json::to_value(&record).unwrap_or_default();
                context
                    .records
                    .apply(&run_key(&run), Some(&value), revision);
                if conn.is_some() {
                    tracing::info!(run = %run, "DAG run cancelled");
                } else if record.state != RunState::Open {
                    tracing::info!(run = %run, state = word(record.state, false), "DAG run ended");
                }
                Response::json(200, &brief(&run, &record))
            }
            _ => Response::later(503, "could not be settled yet", 1),
        };
        if let Some(conn) = conn {
            context.effects.respond(conn, response);
        }
    }

    /// Whether there is nothing to drive, to write, or to remove.
    pub fn idle(&self, records: &RecordCache) -> bool {
        let kept =
            records.runs.is_empty() && records.graphs.is_empty() && records.plan_chunks.is_empty();
        kept && self.beginning.is_empty() && self.live.is_empty()
    }

    /// Makes a picture of a run, if its pieces are there.
    fn picture(&mut self, id: &RunId, record: &RunRecord, context: &Context) {
        if self.live.contains_key(id) || self.broken.contains(id) {
            return;
        }
        match Live::build(id, record, context) {
            Some(Ok(live)) => {
                self.live.insert(id.clone(), live);
            }
            Some(Err(why)) => {
                tracing::error!(run = %id, why, "DAG run expansion failed");
                self.broken.insert(id.clone());
            }
            None => {}
        }
    }

    /// Removes what of ended runs is not shown or kept any more, with writes that nobody else needs.
    pub fn tidy(&mut self, context: &mut Context) {
        let now = context.now();
        if self.tidying || now.since(self.tidy_at) < TIDY_MS {
            return;
        }
        self.tidy_at = now;
        let wall = context.effects.wall_ms;
        let over = |record: &RunRecord, ms: u64| {
            record
                .ended
                .is_some_and(|at| wall.saturating_sub(at.0) > ms)
        };
        let records = &context.records;
        let most = context.storage_limits.txn_ops.min(8);
        let shown = records.plan_chunks.keys().filter(|key| {
            let record = records.runs.get(&key.owner).map(|v| &v.value);
            record.is_some_and(|r| over(r, SHOWN_MS))
        });
        let mut keys: Vec<String> = shown
            .map(|key| plan_key(&key.owner, &key.hash, key.chunk))
            .take(most)
            .collect();
        let mut swap = CompareAndSwap::default();
        if keys.is_empty()
            && let Some((id, v)) = records.runs.iter().find(|(_, v)| over(&v.value, KEPT_MS))
        {
            swap = swap.compare(run_key(id), v.version);
            keys.push(run_key(id));
        }
        if keys.is_empty()
            || !context
                .kv
                .has_budget(now, RequestPriority::Background, keys.len())
        {
            return;
        }
        for key in &keys {
            swap = swap.mutate(Mutation::Delete { key: key.clone() });
        }
        self.tidying = true;
        context.kv.compare_and_swap(
            context.effects,
            KvRequest::DagRuns(DagRunsRequest::RemoveEnded { keys }),
            &swap,
        );
    }

    /// The answer to such a removal.
    pub fn tidied(&mut self, keys: &[String], result: SwapOutcome, context: &mut Context) {
        self.tidying = false;
        if let SwapOutcome::Applied(revision) = result {
            for key in keys {
                context.records.apply(key, None, revision);
            }
        }
    }

    /// The regular work: the next of the runs that this controller drives.
    pub fn tick(
        &mut self,
        own: &Leases,
        errors: &BTreeMap<JobId, u32>,
        job_api: &mut JobApi,
        context: &mut Context,
    ) {
        self.write_beginning(context);
        self.time(own, context);
        if context.records.runs.is_empty() && self.live.is_empty() {
            return;
        }
        let shard_count = context.config.shard_count;
        let mine = |id: &RunId| {
            own.fencing_token(shard_of(&id.to_string(), shard_count))
                .is_some()
        };
        let now = context.now();
        let mut shown = 0;
        let records = &context.records;
        self.live.retain(|id, live| {
            let open = records
                .runs
                .get(id)
                .is_some_and(|v| v.value.state == RunState::Open);
            if open && mine(id) {
                return true;
            }
            shown += 1;
            shown <= MOST_SHOWN && now.since(live.looked_at) < 60_000
        });
        let open = |v: &&RunId| records.runs[*v].value.state == RunState::Open && mine(v);
        let after = self.turn.as_ref();
        let later = records
            .runs
            .keys()
            .filter(open)
            .find(|id| after.is_none_or(|a| *id > a));
        let next = later.or_else(|| records.runs.keys().find(open)).cloned();
        self.turn = next.clone();
        let Some(id) = next else {
            return;
        };
        let Some(v) = context.records.runs.get(&id).cloned() else {
            return;
        };
        self.picture(&id, &v.value, context);
        let mut own_writes = self.writing.values().filter(|(conn, ..)| conn.is_none());
        let busy = own_writes.any(|(_, other, _)| *other == id);
        let Some(live) = self.live.get_mut(&id).filter(|_| !busy) else {
            return;
        };
        let age = now.since(live.driven_at);
        if age < LOOK_GAP_MS || (age < LOOK_MS && live.driven_of == context.records.job_changes) {
            return;
        }
        (live.driven_at, live.driven_of) = (now, context.records.job_changes);
        if !live.inherits() {
            for job in live.inherit(MOST_AT_ONCE, context) {
                if context.kv.has_budget(now, RequestPriority::Reads, 0) {
                    let tag = KvRequest::DagRuns(DagRunsRequest::ReadEarlierJob {
                        run: id.clone(),
                        job: job.clone(),
                    });
                    context.kv.get(context.effects, tag, &job_key(&job), 1_500);
                }
            }
            return;
        }
        let decision = live.look(&v.value, MOST_AT_ONCE, context);
        for i in &decision.submit {
            let job = &live.plan.jobs[*i];
            let pause_ms = seconds_to_ms(job.retry_delay_s);
            if !job_api.submit_for_run(&live.submission(*i), pause_ms, context) {
                break;
            }
        }
        let cancel = decision
            .cancel
            .iter()
            .map(|i| live.plan.jobs[*i].submission.job.clone());
        job_api.cancel_for_run(cancel);
        let failing = live.failing(errors, context);
        self.settle(&id, v.version, &v.value, &decision, &failing, own, context);
    }

    /// Writes what has become of a run: jobs that have failed for good, its end.
    #[allow(clippy::too_many_arguments)]
    fn settle(
        &mut self,
        id: &RunId,
        version: Version,
        before: &RunRecord,
        decision: &Decision,
        failing: &[u32],
        own: &Leases,
        context: &mut Context,
    ) {
        let mut record = before.clone();
        for i in failing {
            record.failed.insert(TaskIndex(*i), Attempt(0));
        }
        if let Some(end) = decision.end {
            record.state = match end {
                End::Success => RunState::Success,
                End::Failed => RunState::Failed,
                End::Cancelled => RunState::Cancelled,
            };
            record.counts = counted(&decision.stands);
            record.ended = Some(WallClockMillis(context.effects.wall_ms));
            // What failed is told by the counts from now on.
            record.failed = Default::default();
        }
        let shard_id = shard_of(&id.to_string(), context.config.shard_count);
        let Some(fencing_token) = own.fencing_token(shard_id).filter(|_| record != *before) else {
            return;
        };
        let value = serde_json::to_value(&record).unwrap_or_default();
        if !context.storage_limits.accepts(&value) {
            tracing::error!(run = %id, "DAG run record too large");
            return;
        }
        if !context
            .kv
            .has_budget(context.now(), RequestPriority::TaskEnds, 1)
        {
            return;
        }
        let swap = CompareAndSwap::default().compare(shard_key(shard_id), Version(fencing_token.0));
        self.write_run(None, id.clone(), version, record, swap, context);
    }

    /// The answer about a job of an earlier run; the mirror has it by now, if there is one.
    pub fn earlier(&mut self, run: &RunId, job: &JobId, missing: bool) {
        if let Some(live) = self.live.get_mut(run) {
            live.driven_at = MonotonicMillis(0);
            if missing {
                live.never(job);
            }
        }
    }
}
