//! The users' requests. What a user is told is durable, and nothing is older than what any
//! controller said: only final states are answered without asking the state service.

use super::env::{Env, ReadFor, Tag};
use super::peers::PartRoom;
use super::placement::slowest_fetch;
use crate::bookkeeping::mirror::Final;
use crate::bookkeeping::store::{Class, GetResult, TxnResult};
use crate::outbox::Response;
use serde::Deserialize;
use snowshelf_model::ids::{ConnId, JobId, Millis, PartId, WallMs, part_of};
use snowshelf_model::protocol::state::{Change, Txn};
use snowshelf_model::protocol::user::{self, Submission};
use snowshelf_model::records::{
    Alloc, Format, Grant, JobRecord, JobSpec, JobState, Kind, alloc_key, job_key, needs_key,
};
use snowshelf_model::spans::Spans;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

/// How long submissions gather to share a transaction.
const GATHER_MS: u64 = 15;
/// How long polls gather to share a request, and how long its answer may take.
const POLLS_GATHER_MS: u64 = 25;
const POLLS_MS: u64 = 1_500;
/// How often a cancellation that met another write is tried again before the user is asked to.
const CANCEL_TRIES: u32 = 5;
/// Keys that accepting a job mostly writes: its own and one or two shares.
const WRITES_A_JOB: usize = 3;
/// Transactions of submissions underway at once.
const ACCEPTS_UNDERWAY: usize = 3;
/// A part is given a share only if it takes at least one in so many of the tasks that are left.
const LEAST_SHARE: u32 = 4;
/// For so long what was given to a part is counted beside what it says of itself.
const GIVEN_MS: u64 = 1_000;
/// Most jobs that a submission may need and that are looked up for it; the change feed brings the
/// others soon.
const LOOKED_UP: usize = 16;
/// How often jobs that need a cancelled one are looked for.
const CASCADE_MS: u64 = 200;
/// How long such a job is left alone after its cancellation met another write.
const CASCADE_AGAIN_MS: u64 = 400;

struct Accept {
    conns: Vec<ConnId>,
    job: JobId,
    spec: JobSpec,
    needs: Vec<JobId>,
    /// What it needs has been written in so many values of their own.
    pieces: u32,
    since: Millis,
}

/// A submission whose needs are being written in pieces, before its own key makes them count.
struct Dividing {
    accept: Accept,
    pieces: Vec<Vec<JobId>>,
    written: usize,
    /// So many are in the transaction underway.
    underway: usize,
}

struct Cancel {
    conn: ConnId,
    job: JobId,
    next: serde_json::Value,
    why: ReadFor,
    tries: u32,
}

/// Submissions in one transaction, and the keys that it writes.
struct Batch {
    accepts: Vec<Accept>,
    written: Vec<(String, serde_json::Value)>,
}

#[derive(Default)]
pub struct Gateway {
    queue: VecDeque<Accept>,
    batches: HashMap<u64, Batch>,
    cancels: HashMap<u64, Cancel>,
    cancel_tries: HashMap<ConnId, u32>,
    /// Submissions that need jobs unknown here, and which of those are being read.
    checking: HashMap<u64, (Accept, BTreeSet<JobId>)>,
    /// Cancellations of jobs that need a cancelled one, underway.
    cascades: HashMap<u64, Vec<(JobId, serde_json::Value)>>,
    cascade_at: Millis,
    /// Jobs that the cascade leaves alone until then.
    left_alone: HashMap<JobId, Millis>,
    dividing: BTreeMap<u64, Dividing>,
    /// Polls of jobs that the mirror has, and since when the first of them waits for others to share
    /// a request with.
    polls: Vec<(ConnId, JobId)>,
    polls_since: Millis,
    polled: HashMap<u64, Vec<(ConnId, JobId)>>,
    next: u64,
    /// Room by part, as far as known.
    pub rooms: BTreeMap<PartId, PartRoom>,
    /// CPUs lately given to parts, which these do not tell of yet.
    given: VecDeque<(Millis, PartId, f64)>,
}

/// Why a job can never run here, if so.
pub fn never_runs(spec: &JobSpec, env: &Env) -> Option<&'static str> {
    let Some(team) = env
        .cfg
        .settings
        .deployment
        .teams
        .iter()
        .find(|t| t.name == spec.team.as_str())
    else {
        return Some("unknown team");
    };
    let fits = env.types.values().any(|t| {
        spec.types.as_ref().is_none_or(|l| l.contains(&t.label))
            && spec.zone.as_ref().is_none_or(|z| t.zones.contains(z))
            && spec.room.fits_in(t.room())
    });
    if !fits {
        return Some("a task fits no allowed machine type");
    }
    let count = match spec.kind {
        Kind::Batch => 1,
        Kind::Standing => spec.tasks,
    };
    let limit = Grant {
        cpus: team.cpus_max,
        gpus: team.gpus_max,
    };
    if !limit.covers(Grant::of(spec.room.times(f64::from(count)))) {
        return Some("the job needs more than the team's limit");
    }
    if spec.together && spec.apart && spec.tasks > 1 {
        return Some("the job must be both together and apart");
    }
    None
}

/// Divides a job over parts by their free room, over no more of them than its tasks need: every
/// share costs its own record and several writes. Jobs with the same image prefer the same parts,
/// so that a part's machines need few images; `fetch_s` is what a fetch of this one takes.
pub fn split(
    job: &JobId,
    spec: &JobSpec,
    fetch_s: f64,
    parts: u32,
    rooms: &BTreeMap<PartId, PartRoom>,
) -> Vec<(PartId, Spans)> {
    let known = |p: u32| rooms.get(&PartId(p)).copied().unwrap_or_default();
    let room = |p: u32| known(p).free.max(0.0);
    if spec.kind == Kind::Standing || spec.zones_bound() || spec.tasks == 1 || parts == 1 {
        let first = part_of(job.as_str(), parts).0;
        let ring = (0..parts).map(|i| (first + i) % parts);
        let best = ring.max_by(|a, b| room(*a).total_cmp(&room(*b)));
        let part = PartId(best.unwrap_or(first));
        return vec![(part, Spans::range(0, spec.tasks, 1))];
    }
    let size = spec.room.cpus.max(0.01);
    let home = part_of(&spec.image, parts).0;
    // How long `tasks` more would wait in a part, and how far it is from the image's home.
    let cost = |p: u32, tasks: u32| {
        let ahead = known(p).waiting + f64::from(tasks) * size - room(p);
        let rounds = ahead.max(0.0) / known(p).capacity.max(size);
        rounds * spec.estimate_s + fetch_s * f64::from((p + parts - home) % parts)
    };
    let mut order: Vec<(f64, u32)> = (0..parts).map(|p| (cost(p, spec.tasks), p)).collect();
    order.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
    let mut rest = spec.tasks;
    let mut counts: BTreeMap<u32, u32> = BTreeMap::new();
    for (_, p) in &order {
        let fit = ((room(*p) / size) as u32).min(rest);
        if fit > 0 && fit.saturating_mul(LEAST_SHARE) >= rest {
            counts.insert(*p, fit);
            rest -= fit;
        }
    }
    if rest > 0 {
        // What waits goes where it waits least.
        let best = order.first().map_or(home, |(_, p)| *p);
        *counts.entry(best).or_default() += rest;
    }
    let mut at = 0;
    let mut shares = Vec::new();
    for (p, n) in counts {
        shares.push((PartId(p), Spans::range(at, at + n, 1)));
        at += n;
    }
    shares
}

impl Gateway {
    pub fn submit(&mut self, conn: ConnId, body: &[u8], env: &mut Env) {
        let Submission { job, spec, needs } = match user::parse_submission(body) {
            Ok(parsed) => parsed,
            Err(error) => {
                tracing::info!(%error, "submission is malformed");
                let body = user::error(&error.to_string());
                env.out.respond(conn, Response::new(400, body));
                return;
            }
        };
        if let Some(end) = env.mirror.final_of(&job) {
            let body = user::brief(&job, user::state_word(end.state, 0));
            env.out.respond(conn, Response::new(200, body));
            return;
        }
        if env.types.is_empty() || !env.mirror.loaded {
            let later = Response::later(503, "not able to decide yet", 2);
            env.out.respond(conn, later);
            return;
        }
        // A job already accepted is answered by its state, whatever the limits are now.
        let known = env.mirror.jobs.contains_key(&job);
        if !known
            && let Some(why) = never_runs(&spec, env).or_else(|| needs_badly(&job, &needs, env))
        {
            // Guards against forgetting a job that was accepted under other limits: only the state
            // service knows that it was not.
            self.read(conn, &job, ReadFor::Refuse(why), env);
            return;
        }
        if !known && !needs.is_empty() && env.terms.format == Format::Narrow {
            let later = Response::later(503, "not every controller takes needs yet", 2);
            env.out.respond(conn, later);
            return;
        }
        let checked = self.checking.values_mut().map(|(a, _)| a);
        let divided = self.dividing.values_mut().map(|d| &mut d.accept);
        let mut waiting = self.queue.iter_mut().chain(checked).chain(divided);
        if let Some(same) = waiting.find(|a| a.job == job) {
            same.conns.push(conn);
            return;
        }
        // More than can be written within about a second is refused at once.
        let waiting = self.queue.len() * WRITES_A_JOB;
        let per_second = env.terms.write_rps / f64::from(env.cfg.parts);
        if waiting as f64 > 0.7 * per_second {
            let later = Response::later(503, "too many submissions", 2);
            env.out.respond(conn, later);
            return;
        }
        let unknown: BTreeSet<JobId> = needs
            .iter()
            .filter(|n| !known && !env.mirror.knows_job(n))
            .cloned()
            .collect();
        let accept = Accept {
            conns: vec![conn],
            job,
            spec,
            needs,
            pieces: 0,
            since: env.now(),
        };
        if unknown.is_empty() {
            self.queue.push_back(accept);
        } else if unknown.len() > LOOKED_UP || !env.store.may(env.now(), Class::Accept, 0) {
            let later = Response::later(503, "jobs that it needs are not known here yet", 1);
            env.out.respond(conn, later);
        } else {
            // The mirror's silence proves nothing: a job accepted a moment ago has not come yet, and
            // one that ended long ago may have been dropped.
            self.next += 1;
            for need in &unknown {
                let tag = Tag::Needed(Some(self.next), need.clone());
                env.store.get(env.out, tag, &job_key(need), 1_500);
            }
            self.checking.insert(self.next, (accept, unknown));
        }
    }

    /// The answer about a job that the submission `id` needs; the mirror has it by now.
    pub fn needed(&mut self, id: u64, need: &JobId, result: &GetResult, env: &mut Env) {
        let Some((accept, unknown)) = self.checking.get_mut(&id) else {
            return;
        };
        unknown.remove(need);
        let why = match result {
            GetResult::Found(_) => {
                if !unknown.is_empty() {
                    return;
                }
                needs_badly(&accept.job, &accept.needs, env)
            }
            GetResult::Missing(_) => Some("it needs a job that was never accepted"),
            GetResult::Failed => None,
        };
        let Some((accept, _)) = self.checking.remove(&id) else {
            return;
        };
        match (result, why) {
            (_, Some(why)) => {
                for conn in accept.conns {
                    self.read(conn, &accept.job, ReadFor::Refuse(why), env);
                }
            }
            (GetResult::Failed, None) => {
                for conn in accept.conns {
                    let later = Response::later(503, "the state service did not answer", 1);
                    env.out.respond(conn, later);
                }
            }
            (_, None) => self.queue.push_back(accept),
        }
    }

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
                    let body = user::brief(&accept.job, user::state_word(state, 0));
                    for conn in accept.conns {
                        env.out.respond(conn, Response::new(201, body.clone()));
                    }
                }
            }
            TxnResult::Conflict(keys) => {
                for accept in batch {
                    if keys.contains(&job_key(&accept.job)) {
                        for conn in accept.conns {
                            self.read(conn, &accept.job, ReadFor::Resubmit, env);
                        }
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

    pub fn read(&mut self, conn: ConnId, job: &JobId, why: ReadFor, env: &mut Env) {
        if let Some(end) = env.mirror.final_of(job) {
            self.tell_final(conn, job, end, why, env);
            return;
        }
        if matches!(why, ReadFor::Poll)
            && env.mirror.jobs.contains_key(job)
            && !env.graph.doomed.contains(job)
        {
            if self.polls.is_empty() {
                self.polls_since = env.now();
            }
            self.polls.push((conn, job.clone()));
            return;
        }
        self.read_alone(conn, job, why, env);
    }

    /// Reads one job's key.
    fn read_alone(&mut self, conn: ConnId, job: &JobId, why: ReadFor, env: &mut Env) {
        let class = match why {
            ReadFor::Poll => Class::Reads,
            ReadFor::Resubmit | ReadFor::Refuse(_) | ReadFor::Cancel => Class::Accept,
        };
        if !env.store.may(env.now(), class, 0) {
            let later = Response::later(503, "too many requests", 1);
            env.out.respond(conn, later);
            return;
        }
        let tag = Tag::Read(conn, job.clone(), why);
        env.store.get(env.out, tag, &job_key(job), 1_500);
    }

    /// Asks for the gathered polls, in one request for as many as it may compare, whether the mirror
    /// is behind: what nobody has changed since may be told from it.
    pub fn flush_polls(&mut self, env: &mut Env) {
        let now = env.now();
        let most = 4 * env.terms.txn_ops;
        while !self.polls.is_empty()
            && (now.since(self.polls_since) >= POLLS_GATHER_MS || self.polls.len() >= most)
        {
            let batch: Vec<(ConnId, JobId)> =
                self.polls.drain(..most.min(self.polls.len())).collect();
            if !env.store.may(now, Class::Reads, 0) {
                for (conn, _) in batch {
                    let later = Response::later(503, "too many requests", 1);
                    env.out.respond(conn, later);
                }
                continue;
            }
            let jobs: BTreeSet<&JobId> = batch.iter().map(|(_, job)| job).collect();
            let txn = jobs.into_iter().fold(Txn::default(), |txn, job| {
                let known = env.mirror.jobs.get(job).map(|v| v.version);
                txn.when(job_key(job), known.unwrap_or_default())
            });
            self.next += 1;
            self.polled.insert(self.next, batch);
            let tag = Tag::Polls(self.next);
            env.store.compare(env.out, tag, &txn, POLLS_MS);
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

    /// The answer to a comparison for polls.
    pub fn polls_done(&mut self, id: u64, result: TxnResult, env: &mut Env) {
        let batch = self.polled.remove(&id).unwrap_or_default();
        match result {
            TxnResult::Done(_) => {
                for (conn, job) in batch {
                    match (env.mirror.final_of(&job), env.mirror.jobs.get(&job)) {
                        (Some(end), _) => self.tell_final(conn, &job, end, ReadFor::Poll, env),
                        (None, Some(v)) => {
                            let record = v.value.clone();
                            self.tell_open(conn, &job, &record, ReadFor::Poll, env);
                        }
                        (None, None) => self.read_alone(conn, &job, ReadFor::Poll, env),
                    }
                }
            }
            TxnResult::Conflict(keys) => {
                for (conn, job) in batch {
                    if keys.contains(&job_key(&job)) {
                        self.read_alone(conn, &job, ReadFor::Poll, env);
                    } else {
                        // Compared once more, without those that have changed.
                        self.polls_since = Millis(0);
                        self.polls.push((conn, job));
                    }
                }
            }
            _ => {
                for (conn, _) in batch {
                    let later = Response::later(503, "the state service did not answer", 1);
                    env.out.respond(conn, later);
                }
            }
        }
    }

    /// Tells the state of a job that has not ended.
    fn tell_open(
        &mut self,
        conn: ConnId,
        job: &JobId,
        record: &JobRecord,
        why: ReadFor,
        env: &mut Env,
    ) {
        let (done, running) = env.mirror.counts(job, &record.parts, record.tasks);
        let word = user::state_word(record.state, running);
        let body = match why {
            ReadFor::Poll => user::full(job, word, done, running),
            _ => user::brief(job, word),
        };
        env.out.respond(conn, Response::new(200, body));
    }

    fn tell_final(&mut self, conn: ConnId, job: &JobId, end: Final, why: ReadFor, env: &mut Env) {
        let word = user::state_word(end.state, 0);
        let body = match why {
            ReadFor::Poll => {
                let done = if end.state == JobState::Done {
                    end.tasks
                } else {
                    0
                };
                user::full(job, word, done, 0)
            }
            ReadFor::Resubmit | ReadFor::Refuse(_) | ReadFor::Cancel => user::brief(job, word),
        };
        self.cancel_tries.remove(&conn);
        env.out.respond(conn, Response::new(200, body));
    }

    pub fn read_done(
        &mut self,
        conn: ConnId,
        job: &JobId,
        why: ReadFor,
        result: GetResult,
        env: &mut Env,
    ) {
        let item = match result {
            GetResult::Found(item) => item,
            GetResult::Missing(_) => {
                self.cancel_tries.remove(&conn);
                let (status, text) = match why {
                    ReadFor::Refuse(why) => (422, why),
                    _ => (404, "no such job"),
                };
                env.out
                    .respond(conn, Response::new(status, user::error(text)));
                return;
            }
            GetResult::Failed => {
                self.cancel_tries.remove(&conn);
                let later = Response::later(503, "the state service did not answer", 1);
                env.out.respond(conn, later);
                return;
            }
        };
        let Ok(record) = JobRecord::deserialize(&item.value) else {
            let later = Response::later(503, "the job's record cannot be read", 5);
            env.out.respond(conn, later);
            return;
        };
        env.mirror.apply(&item.key, Some(&item.value), item.version);
        if record.is_final() {
            let end = Final {
                state: record.state,
                tasks: record.tasks,
                ended: record.ended,
            };
            self.tell_final(conn, job, end, why, env);
            return;
        }
        // Whoever asks for a job that needs a cancelled one is not told that it waits: it is
        // cancelled first.
        let doomed = env.graph.doomed.contains(job);
        match why {
            ReadFor::Poll | ReadFor::Resubmit | ReadFor::Refuse(_) if !doomed => {
                self.tell_open(conn, job, &record, why, env);
            }
            _ => {
                let next = env.job_value(&record.cancelled());
                let may = env.store.may(env.now(), Class::Accept, 1);
                let Some(next) = next.filter(|_| may) else {
                    let later = Response::later(503, "too many requests", 1);
                    env.out.respond(conn, later);
                    return;
                };
                self.next += 1;
                let tries = self.cancel_tries.remove(&conn).unwrap_or(0);
                let txn = Txn::default()
                    .when(job_key(job), item.version)
                    .then(Change::write(job_key(job), &next));
                let cancel = Cancel {
                    conn,
                    job: job.clone(),
                    next,
                    why,
                    tries,
                };
                self.cancels.insert(self.next, cancel);
                env.store.txn(env.out, Tag::Cancel(self.next), &txn);
            }
        }
    }

    /// The answer to a cancellation; the job, if its key has changed.
    pub fn cancelled(&mut self, id: u64, result: TxnResult, env: &mut Env) -> Option<JobId> {
        let cancel = self.cancels.remove(&id)?;
        match result {
            TxnResult::Done(revision) => {
                tracing::info!(job = %cancel.job, "cancelled");
                env.mirror
                    .apply(&job_key(&cancel.job), Some(&cancel.next), revision);
                let end = Final {
                    state: JobState::Cancelled,
                    tasks: 0,
                    ended: None,
                };
                self.tell_final(cancel.conn, &cancel.job, end, cancel.why, env);
                Some(cancel.job)
            }
            TxnResult::Conflict(_) if cancel.tries < CANCEL_TRIES => {
                self.cancel_tries.insert(cancel.conn, cancel.tries + 1);
                self.read(cancel.conn, &cancel.job, cancel.why, env);
                None
            }
            _ => {
                let later = Response::later(503, "could not be settled yet", 1);
                env.out.respond(cancel.conn, later);
                None
            }
        }
    }

    /// Cancels jobs that need a cancelled one: those whose first part this controller owns, as many
    /// as go into a transaction. Compares levels, not events, so nothing is ever missed.
    pub fn cascade(&mut self, mine: &BTreeSet<PartId>, env: &mut Env) {
        let now = env.now();
        if now.since(self.cascade_at) < CASCADE_MS || !self.cascades.is_empty() {
            return;
        }
        self.cascade_at = now;
        self.left_alone.retain(|_, until| *until > now);
        let most = env.terms.txn_ops.min(env.store.room(now, Class::Accept));
        let mut txn = Txn::default();
        let mut batch = Vec::new();
        for job in &env.graph.doomed {
            if txn.changes.len() >= most {
                break;
            }
            let Some(v) = env.mirror.jobs.get(job) else {
                continue;
            };
            let ours = v.value.parts.first().is_some_and(|p| mine.contains(p));
            if v.value.is_final() || !ours || self.left_alone.contains_key(job) {
                continue;
            }
            let Some(value) = env.job_value(&v.value.cancelled()) else {
                continue;
            };
            let change = Change::write(job_key(job), &value);
            txn = txn.when(job_key(job), v.version).then(change);
            batch.push((job.clone(), value));
        }
        if batch.is_empty() || !env.store.may(now, Class::Accept, txn.changes.len()) {
            return;
        }
        self.next += 1;
        self.cascades.insert(self.next, batch);
        env.store.txn(env.out, Tag::Cascade(self.next), &txn);
    }

    /// The answer to a cascade; the jobs whose keys have changed.
    pub fn cascaded(&mut self, id: u64, result: TxnResult, env: &mut Env) -> Vec<JobId> {
        let batch = self.cascades.remove(&id).unwrap_or_default();
        let again = env.now().plus(CASCADE_AGAIN_MS);
        match result {
            TxnResult::Done(revision) => {
                for (job, value) in &batch {
                    tracing::info!(job = %job, "cancelled, as a job that it needs is");
                    env.mirror.apply(&job_key(job), Some(value), revision);
                }
                return batch.into_iter().map(|(job, _)| job).collect();
            }
            TxnResult::Conflict(keys) => {
                for (job, _) in batch {
                    let key = job_key(&job);
                    if keys.contains(&key) {
                        env.store
                            .get(env.out, Tag::Needed(None, job.clone()), &key, 1_500);
                        self.left_alone.insert(job, again);
                    }
                }
            }
            _ => {
                for (job, _) in batch {
                    self.left_alone.insert(job, again);
                }
            }
        }
        Vec::new()
    }
}

/// Why a submission's needs can never be met, if so, as far as the jobs are known here.
fn needs_badly(job: &JobId, needs: &[JobId], env: &Env) -> Option<&'static str> {
    let standing = |need: &JobId| {
        let record = env.mirror.jobs.get(need).map(|v| &v.value);
        let spec = record.and_then(|r| r.spec.as_ref());
        spec.is_some_and(|s| s.kind == Kind::Standing)
    };
    if needs.contains(job) {
        Some("it needs itself")
    } else if needs.iter().any(standing) {
        Some("it needs a service, which is never done")
    } else {
        None
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
    };
    if accept.needs.iter().any(lost) {
        let parts = Vec::new();
        return JobRecord { parts, ..record }.cancelled();
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
