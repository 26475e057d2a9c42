//! Acceptance: submissions written together, long lists of needs before them in pieces.

use super::{Accept, Batch, Dividing, Gateway, split};
use crate::bookkeeping::store::{Class, TxnResult};
use crate::coordination::env::{Env, ReadFor, Tag};
use crate::coordination::placement::slowest_fetch;
use crate::outbox::Response;
use snowshelf_model::ids::{JobId, PartId, WallMs};
use snowshelf_model::protocol::state::{Change, Txn};
use snowshelf_model::protocol::user;
use snowshelf_model::records::{Alloc, JobRecord, JobState, alloc_key, job_key, needs_key};
use snowshelf_model::spans::Spans;

/// How long submissions gather to share a transaction.
const GATHER_MS: u64 = 15;
/// Transactions of submissions underway at once.
const ACCEPTS_UNDERWAY: usize = 3;
/// For so long what was given to a part is counted beside what it says of itself.
const GIVEN_MS: u64 = 1_000;

impl Gateway {
    /// Refuses everything that waits: the state service does not serve.
    pub fn refuse_all(&mut self, env: &mut Env) {
        for accept in self.queue.drain(..) {
            for conn in accept.conns {
                let later = Response::later(503, "the state service is away", 2);
                env.out.respond(conn, later);
            }
        }
    }

    pub fn flush(&mut self, env: &mut Env) {
        let now = env.now();
        let Some(oldest) = self.queue.front().map(|a| a.since) else {
            return;
        };
        if now.since(oldest) > 1_500 {
            self.refuse_all(env);
            return;
        }
        if now.since(oldest) < GATHER_MS || self.batches.len() >= ACCEPTS_UNDERWAY {
            return;
        }
        // A batch larger than the budget has room for would wait until the bucket is full, while
        // smaller writes keep drawing on it.
        let room = env.store.room(now, Class::Accept);
        let max_ops = env.terms.txn_ops.min(room);
        self.given.retain(|(at, _, _)| now.since(*at) < GIVEN_MS);
        let mut rooms = self.rooms.clone();
        for (_, part, cpus) in &self.given {
            rooms.entry(*part).or_default().give(*cpus);
        }
        let mut txn = Txn::default();
        let mut batch = Vec::new();
        let mut written = Vec::new();
        let mut bytes = 0;
        while let Some(accept) = self.queue.front() {
            let mut shares = {
                let fetch_s = accept.spec.pull_gb / slowest_fetch(env.types.values());
                let mut rooms = rooms.clone();
                for ((part, team), cpus) in &self.kept {
                    if *team == accept.spec.team {
                        rooms.entry(*part).or_default().free += cpus;
                    }
                }
                split(&accept.job, &accept.spec, fetch_s, env.cfg.parts, &rooms)
            };
            if shares.len() + 1 > env.terms.txn_ops {
                let (part, _) = shares[0];
                shares = vec![(part, Spans::range(0, accept.spec.tasks, 1))];
            }
            if txn.changes.len() + shares.len() + 1 > max_ops || bytes > 40 * 1024 {
                break;
            }
            // Ids come from outside: a share per part, a key per job, all made at once.
            let Some(accept) = self.queue.pop_front() else {
                break;
            };
            let record = first_record(&accept, &shares, env);
            if record.is_final() {
                shares.clear();
            }
            let waits = record.has_needs();
            let Some(value) = env.job_value(&record) else {
                if !record.needs.is_empty() {
                    self.next += 1;
                    let dividing = Dividing {
                        pieces: env.terms.pieces(&accept.needs),
                        accept,
                        written: 0,
                        underway: 0,
                    };
                    self.dividing.insert(self.next, dividing);
                    continue;
                }
                for conn in accept.conns {
                    let why = ReadFor::Refuse("its record would be too large");
                    self.read(conn, &accept.job, why, env);
                }
                continue;
            };
            let mut put = |key: String, value: serde_json::Value| {
                bytes += value.to_string().len() + key.len() + 40;
                txn.changes.push(Change::write(key.clone(), &value));
                written.push((key, value));
            };
            put(job_key(&accept.job), value);
            for (part, waiting) in shares {
                if !waits {
                    let cpus = f64::from(waiting.len()) * accept.spec.room.cpus;
                    rooms.entry(part).or_default().give(cpus);
                    self.given.push_back((now, part, cpus));
                }
                let alloc = Alloc {
                    waiting,
                    ..Alloc::default()
                };
                // A single range is never too large.
                let value = env.terms.share(&alloc).unwrap_or_default();
                put(alloc_key(part, &accept.job), value);
            }
            txn = txn.when(job_key(&accept.job), Default::default());
            batch.push(accept);
        }
        if batch.is_empty() {
            return;
        }
        if !env.store.may(now, Class::Accept, txn.changes.len()) {
            for accept in batch.into_iter().rev() {
                self.queue.push_front(accept);
            }
            return;
        }
        self.next += 1;
        let accepts = batch;
        self.batches.insert(self.next, Batch { accepts, written });
        env.store.txn(env.out, Tag::Accept(self.next), &txn);
    }

    pub fn accepted(&mut self, id: u64, result: TxnResult, env: &mut Env) {
        let Some(Batch {
            accepts: batch,
            written,
        }) = self.batches.remove(&id)
        else {
            return;
        };
        match result {
            TxnResult::Done(revision) => {
                for (key, value) in &written {
                    env.mirror.apply(key, Some(value), revision);
                }
                for accept in batch {
                    tracing::info!(job = %accept.job, team = %accept.spec.team, class = %accept.spec.class,
                        tasks = accept.spec.tasks, needs = accept.needs.len(), "accepted");
                    let end = env.mirror.final_of(&accept.job);
                    let state = end.map_or(JobState::Open, |end| end.state);
                    if state == JobState::Cancelled {
                        self.confirmed.tell(&accept.job, env.now());
                    }
                    let body = user::brief(&accept.job, user::state_word(state, 0));
                    for conn in accept.conns {
                        env.out.respond(conn, Response::new(201, body.clone()));
                    }
                }
            }
            TxnResult::Conflict(keys) => {
                for accept in batch {
                    if keys.contains(&job_key(&accept.job)) {
                        if accept.run {
                            // It is there already, or somebody else's is.
                            let tag = Tag::Needed(None, accept.job.clone());
                            env.store.get(env.out, tag, &job_key(&accept.job), 1_500);
                        }
                        for conn in accept.conns {
                            self.read(conn, &accept.job, ReadFor::Resubmit, env);
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
            TxnResult::NotDone | TxnResult::NoLease | TxnResult::Refused | TxnResult::Unknown => {
                // If it was carried out after all, the repeated submission finds the job.
                for conn in batch.into_iter().flat_map(|a| a.conns) {
                    let later = Response::later(503, "the state service did not answer", 1);
                    env.out.respond(conn, later);
                }
            }
        }
    }

    /// Writes what long submissions need, a transaction at a time, as long as no job of that name is
    /// accepted; then the submission goes on as any other.
    pub fn flush_pieces(&mut self, env: &mut Env) {
        let now = env.now();
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
            let room = env.store.room(now, Class::Accept).min(env.terms.txn_ops);
            let job = &dividing.accept.job;
            let mut txn = Txn::default().when(job_key(job), Default::default());
            for (i, piece) in rest.iter().enumerate().take(room) {
                let key = needs_key(job, (dividing.written + i) as u32);
                txn = txn.then(Change::write(key, piece));
            }
            if room == 0 || !env.store.may(now, Class::Accept, txn.changes.len()) {
                continue;
            }
            dividing.underway = txn.changes.len();
            env.store.txn(env.out, Tag::Pieces(*id), &txn);
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
    pub fn pieces_done(&mut self, id: u64, result: TxnResult, env: &mut Env) {
        if let (TxnResult::Done(_), Some(dividing)) = (&result, self.dividing.get_mut(&id)) {
            dividing.written += std::mem::take(&mut dividing.underway);
            return;
        }
        let Some(Dividing { accept, .. }) = self.dividing.remove(&id) else {
            return;
        };
        for conn in accept.conns {
            if let TxnResult::Conflict(_) = result {
                self.read(conn, &accept.job, ReadFor::Resubmit, env);
            } else {
                // The retry writes the same pieces again.
                let later = Response::later(503, "the state service did not answer", 1);
                env.out.respond(conn, later);
            }
        }
    }
}

/// The record by which a job is accepted. What it needs and is done already need not be kept; if
/// something that it needs is cancelled, it is accepted as cancelled.
fn first_record(accept: &Accept, shares: &[(PartId, Spans)], env: &Env) -> JobRecord {
    let state_of = |need: &JobId| env.mirror.final_of(need).map(|end| end.state);
    let lost = |need: &JobId| {
        state_of(need) == Some(JobState::Cancelled) || env.graph.doomed.contains(need)
    };
    let record = JobRecord {
        state: JobState::Open,
        tasks: accept.spec.tasks,
        parts: shares.iter().map(|s| s.0).collect(),
        submitted: WallMs(env.out.wall_ms),
        spec: Some(accept.spec.clone()),
        needs: Vec::new(),
        needs_pieces: accept.pieces,
        ended: None,
        run: accept.run,
        pause_ms: accept.pause_ms,
    };
    if accept.needs.iter().any(lost) {
        let parts = Vec::new();
        return env.cancelled(&JobRecord { parts, ..record });
    }
    if accept.pieces > 0 {
        return record;
    }
    let needs = accept.needs.iter();
    JobRecord {
        needs: needs
            .filter(|n| state_of(n) != Some(JobState::Done))
            .cloned()
            .collect(),
        ..record
    }
}
