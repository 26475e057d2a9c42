//! Acceptance: submissions written together, long lists of needs before them in pieces.

use super::{Accept, Batch, Dividing, JobApi, JobApiRequest, JobReadPurpose, split};
use crate::coordination::context::{Context, KvRequest};
use crate::coordination::placement::slowest_fetch;
use crate::effects::Response;
use crate::storage::kv_client::{RequestPriority, SwapOutcome};
use snowshelf_model::ids::{JobId, ShardId, WallClockMillis};
use snowshelf_model::protocol::state::{CompareAndSwap, Mutation};
use snowshelf_model::protocol::user;
use snowshelf_model::records::{
    JobRecord, JobState, ShardAllocation, allocation_key, dependency_chunk_key, job_key,
};
use snowshelf_model::task_ranges::TaskRanges;

/// How long submissions gather to share a transaction.
const GATHER_MS: u64 = 15;
/// Transactions of submissions underway at once.
const ACCEPTS_UNDERWAY: usize = 3;
/// For so long what was given to a part is counted beside what it says of itself.
const GIVEN_MS: u64 = 1_000;

impl JobApi {
    /// Refuses everything that waits: the state service does not serve.
    pub fn refuse_all(&mut self, context: &mut Context) {
        for accept in self.queue.drain(..) {
            for conn in accept.conns {
                let later = Response::later(503, "the state service is away", 2);
                context.effects.respond(conn, later);
            }
        }
    }

    pub fn flush(&mut self, context: &mut Context) {
        let now = context.now();
        let Some(oldest) = self.queue.front().map(|a| a.since) else {
            return;
        };
        if now.since(oldest) > 1_500 {
            self.refuse_all(context);
            return;
        }
        if now.since(oldest) < GATHER_MS || self.batches.len() >= ACCEPTS_UNDERWAY {
            return;
        }
        // A batch larger than the budget has room for would wait until the bucket is full, while
        // smaller writes keep drawing on it.
        let room = context.kv.write_budget(now, RequestPriority::Admission);
        let max_ops = context.storage_limits.txn_ops.min(room);
        self.given.retain(|(at, _, _)| now.since(*at) < GIVEN_MS);
        let mut rooms = self.rooms.clone();
        for (_, shard_id, cpus) in &self.given {
            rooms.entry(*shard_id).or_default().give(*cpus);
        }
        let mut swap = CompareAndSwap::default();
        let mut batch = Vec::new();
        let mut written = Vec::new();
        let mut bytes = 0;
        while let Some(accept) = self.queue.front() {
            let mut shares = {
                let fetch_s = accept.spec.pull_gb / slowest_fetch(context.types.values());
                let mut rooms = rooms.clone();
                for ((shard_id, team), cpus) in &self.kept {
                    if *team == accept.spec.team {
                        rooms.entry(*shard_id).or_default().free += cpus;
                    }
                }
                split(
                    &accept.job,
                    &accept.spec,
                    fetch_s,
                    context.config.shard_count,
                    &rooms,
                )
            };
            if shares.len() + 1 > context.storage_limits.txn_ops {
                let (shard_id, _) = shares[0];
                shares = vec![(shard_id, TaskRanges::range(0, accept.spec.tasks, 1))];
            }
            if swap.mutations.len() + shares.len() + 1 > max_ops || bytes > 40 * 1024 {
                break;
            }
            // Ids come from outside: a share per part, a key per job, all made at once.
            let Some(accept) = self.queue.pop_front() else {
                break;
            };
            let record = first_record(&accept, &shares, context);
            if record.is_final() {
                shares.clear();
            }
            let waits = record.has_dependencies();
            let Some(value) = context.job_value(&record) else {
                if !record.dependencies.is_empty() {
                    self.next += 1;
                    let dividing = Dividing {
                        pieces: context
                            .storage_limits
                            .dependency_chunks(&accept.dependencies),
                        accept,
                        written: 0,
                        underway: 0,
                    };
                    self.dividing.insert(self.next, dividing);
                    continue;
                }
                for conn in accept.conns {
                    let why = JobReadPurpose::Refuse("its record would be too large");
                    self.read(conn, &accept.job, why, context);
                }
                continue;
            };
            let mut put = |key: String, value: serde_json::Value| {
                bytes += value.to_string().len() + key.len() + 40;
                swap.mutations.push(Mutation::put(key.clone(), &value));
                written.push((key, value));
            };
            put(job_key(&accept.job), value);
            for (shard_id, waiting) in shares {
                if !waits {
                    let cpus = f64::from(waiting.len()) * accept.spec.resources.cpus;
                    rooms.entry(shard_id).or_default().give(cpus);
                    self.given.push_back((now, shard_id, cpus));
                }
                let alloc = ShardAllocation {
                    waiting,
                    ..ShardAllocation::default()
                };
                // A single range is never too large.
                let value = context
                    .storage_limits
                    .encode_allocation(&alloc)
                    .unwrap_or_default();
                put(allocation_key(shard_id, &accept.job), value);
            }
            swap = swap.compare(job_key(&accept.job), Default::default());
            batch.push(accept);
        }
        if batch.is_empty() {
            return;
        }
        if !context
            .kv
            .has_budget(now, RequestPriority::Admission, swap.mutations.len())
        {
            for accept in batch.into_iter().rev() {
                self.queue.push_front(accept);
            }
            return;
        }
        self.next += 1;
        let accepts = batch;
        self.batches.insert(self.next, Batch { accepts, written });
        context.kv.compare_and_swap(
            context.effects,
            KvRequest::JobApi(JobApiRequest::Commit(self.next)),
            &swap,
        );
    }

    pub fn accepted(&mut self, id: u64, result: SwapOutcome, context: &mut Context) {
        let Some(Batch {
            accepts: batch,
            written,
        }) = self.batches.remove(&id)
        else {
            return;
        };
        match result {
            SwapOutcome::Applied(revision) => {
                for (key, value) in &written {
                    context.records.apply(key, Some(value), revision);
                }
                for accept in batch {
                    tracing::info!(job = %accept.job, team = %accept.spec.team, class = %accept.spec.class,
                        tasks = accept.spec.tasks, dependencies = accept.dependencies.len(), "job accepted");
                    let end = context.records.finished_job(&accept.job);
                    let state = end.map_or(JobState::Open, |end| end.state);
                    if state == JobState::Cancelled {
                        self.confirmed.record(&accept.job, context.now());
                    }
                    let body = user::job_state_body(&accept.job, user::job_state_label(state, 0));
                    for conn in accept.conns {
                        context
                            .effects
                            .respond(conn, Response::new(201, body.clone()));
                    }
                }
            }
            SwapOutcome::Conflict(keys) => {
                for accept in batch {
                    if keys.contains(&job_key(&accept.job)) {
                        if accept.run {
                            // It is there already, or somebody else's is.
                            let tag = KvRequest::JobLookup(accept.job.clone());
                            context
                                .kv
                                .get(context.effects, tag, &job_key(&accept.job), 1_500);
                        }
                        for conn in accept.conns {
                            self.read(conn, &accept.job, JobReadPurpose::Resubmit, context);
                        }
                    } else if let Some(same) = self.waiting().find(|a| a.job == accept.job) {
                        // Guards against a transaction that holds a job twice, divided anew each time: its repeat
                        // has come while this one was underway.
                        same.conns.extend(accept.conns);
                    } else {
                        self.queue.push_front(accept);
                    }
                }
            }
            SwapOutcome::NotApplied
            | SwapOutcome::LeaseExpired
            | SwapOutcome::Rejected
            | SwapOutcome::Unknown => {
                // If it was carried out after all, the repeated submission finds the job.
                for conn in batch.into_iter().flat_map(|a| a.conns) {
                    let later = Response::later(503, "the state service did not answer", 1);
                    context.effects.respond(conn, later);
                }
            }
        }
    }

    /// Writes what long submissions need, a transaction at a time, as long as no job of that name is
    /// accepted; then the submission goes on as any other.
    pub fn flush_pieces(&mut self, context: &mut Context) {
        let now = context.now();
        let mut done = Vec::new();
        for (id, dividing) in &mut self.dividing {
            if dividing.underway > 0 {
                continue;
            }
            let rest = &dividing.pieces[dividing.written..];
            if rest.is_empty() {
                done.push(*id);
                continue;
            }
            let room = context
                .kv
                .write_budget(now, RequestPriority::Admission)
                .min(context.storage_limits.txn_ops);
            let job = &dividing.accept.job;
            let mut swap = CompareAndSwap::default().compare(job_key(job), Default::default());
            for (i, piece) in rest.iter().enumerate().take(room) {
                let key = dependency_chunk_key(job, (dividing.written + i) as u32);
                swap = swap.mutate(Mutation::put(key, piece));
            }
            if room == 0
                || !context
                    .kv
                    .has_budget(now, RequestPriority::Admission, swap.mutations.len())
            {
                continue;
            }
            dividing.underway = swap.mutations.len();
            context.kv.compare_and_swap(
                context.effects,
                KvRequest::JobApi(JobApiRequest::WriteDependencies(*id)),
                &swap,
            );
        }
        for id in done {
            if let Some(mut dividing) = self.dividing.remove(&id) {
                dividing.accept.pieces = dividing.pieces.len() as u32;
                dividing.accept.since = now;
                self.queue.push_back(dividing.accept);
            }
        }
    }

    /// The answer to a write of pieces.
    pub fn pieces_done(&mut self, id: u64, result: SwapOutcome, context: &mut Context) {
        if let (SwapOutcome::Applied(_), Some(dividing)) = (&result, self.dividing.get_mut(&id)) {
            dividing.written += std::mem::take(&mut dividing.underway);
            return;
        }
        let Some(Dividing { accept, .. }) = self.dividing.remove(&id) else {
            return;
        };
        for conn in accept.conns {
            if let SwapOutcome::Conflict(_) = result {
                self.read(conn, &accept.job, JobReadPurpose::Resubmit, context);
            } else {
                // The retry writes the same pieces again.
                let later = Response::later(503, "the state service did not answer", 1);
                context.effects.respond(conn, later);
            }
        }
    }
}

/// The record by which a job is accepted. What it needs and is done already need not be kept; if
/// something that it needs is cancelled, it is accepted as cancelled.
fn first_record(accept: &Accept, shares: &[(ShardId, TaskRanges)], context: &Context) -> JobRecord {
    let state_of = |dependency: &JobId| {
        context
            .records
            .finished_job(dependency)
            .map(|end| end.state)
    };
    let lost = |dependency: &JobId| {
        state_of(dependency) == Some(JobState::Cancelled)
            || context.dependency_graph.doomed.contains(dependency)
    };
    let record = JobRecord {
        state: JobState::Open,
        tasks: accept.spec.tasks,
        shards: shares.iter().map(|s| s.0).collect(),
        submitted: WallClockMillis(context.effects.wall_ms),
        spec: Some(accept.spec.clone()),
        dependencies: Vec::new(),
        dependency_chunks: accept.pieces,
        ended: None,
        run: accept.run,
        pause_ms: accept.pause_ms,
    };
    if accept.dependencies.iter().any(lost) {
        let shards = Vec::new();
        return context.cancelled(&JobRecord { shards, ..record });
    }
    if accept.pieces > 0 {
        return record;
    }
    let dependencies = accept.dependencies.iter();
    JobRecord {
        dependencies: dependencies
            .filter(|n| state_of(n) != Some(JobState::Done))
            .cloned()
            .collect(),
        ..record
    }
}
