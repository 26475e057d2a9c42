//! Requests of users, workers and health checks, by path.

use super::{Controller, UNSERVED_MS};
use crate::coordination::api::JobReadPurpose;
use crate::coordination::context::KvRequest;
use crate::coordination::dag_runs;
use crate::coordination::drains;
use crate::coordination::query;
use crate::coordination::request_error::RequestError;
use crate::coordination::reservations;
use crate::coordination::shard::ShardProgress;
use crate::coordination::unavailable::Unavailable;
use crate::effects::{Request, Response};
use crate::storage::kv_client::RequestPriority;
use serde_json::json;
use snowshelf_model::ids::{
    ConnectionId, JobId, MonotonicMillis, ShardId, WallClockMillis, shard_of,
};
use snowshelf_model::protocol::user;
use snowshelf_model::protocol::worker::{Heartbeat, redirect};
use snowshelf_model::records::job_key;
use snowshelf_watermark::renewal::RenewalRefusal;
use std::collections::BTreeSet;

/// For so long after its start a controller has workers wait that it will soon be the owner for, and
/// for so long each of them waits at the most: a worker gives an answer up after 4 s.
const STARTING_MS: u64 = 5_000;
const AT_DOOR_MS: u64 = 1_000;
/// For so long a worker waits until its jobs have been read; its task is known to run on or is halted then.
const READ_FIRST_MS: u64 = 3_000;
/// So many jobs are read by themselves at once, which leaves the reading its room; and how long each may take.
const LISTED_UNDERWAY: usize = 8;
const LISTED_MS: u64 = 1_500;

impl Controller {
    pub(super) fn request(&mut self, conn: ConnectionId, request: Request) {
        let (path, _) = query::split(&request.path);
        match (request.method.as_str(), path) {
            ("GET", "/ready") => self.ready(conn),
            ("POST", "/checkin") => self.check_in(conn, &request.body),
            ("POST", "/api/jobs") => {
                let mut job_api = std::mem::take(&mut self.job_api);
                if self.state_silent_ms() >= UNSERVED_MS && user::named(&request.body).is_some() {
                    let later = Response::later(503, "the state service is away", 2);
                    self.effects.respond(conn, later);
                } else {
                    job_api.submit(conn, &request.body, &mut self.context());
                }
                self.job_api = job_api;
            }
            (_, "/ready" | "/checkin" | "/api/jobs") => self.wrong_method(conn),
            (method, path) => {
                if self.config.ops.calendar.enabled
                    && let Some(parsed) =
                        reservations::parse_request(method, &request.path, &request.body)
                {
                    self.handle_parsed(conn, parsed, |controller, request| {
                        controller.with_reservations(|reservations, context| {
                            reservations.handle(conn, request, context);
                        });
                    });
                    return;
                }
                if self.config.ops.drains.enabled
                    && let Some(parsed) = drains::parse_request(
                        method,
                        &request.path,
                        &request.body,
                        WallClockMillis(self.effects.wall_ms),
                    )
                {
                    self.handle_parsed(conn, parsed, |controller, request| {
                        controller
                            .with_drains(|drains, context| drains.handle(conn, request, context));
                    });
                    return;
                }
                if self.config.ops.graphs.enabled
                    && let Some(parsed) =
                        dag_runs::parse_request(method, &request.path, &request.body)
                {
                    self.handle_parsed(conn, parsed, |controller, request| {
                        controller.with_dag_runs(|dag_runs, context| {
                            dag_runs.handle(conn, request, context);
                        });
                    });
                    return;
                }
                let Some(rest) = path.strip_prefix("/api/jobs/") else {
                    self.effects
                        .respond(conn, Response::error(404, "no such path"));
                    return;
                };
                let (id, why) = match rest.strip_suffix("/cancel") {
                    Some(id) => (id, JobReadPurpose::Cancel),
                    None => (rest, JobReadPurpose::Poll),
                };
                let wanted = match why {
                    JobReadPurpose::Cancel => "POST",
                    _ => "GET",
                };
                if !user::is_job_id(id) {
                    self.effects
                        .respond(conn, Response::error(404, "no such job"));
                } else if method != wanted {
                    self.wrong_method(conn);
                } else {
                    self.with_job_api(|job_api, context| {
                        job_api.read_job(conn, &JobId::new(id), why, context)
                    });
                }
            }
        }
    }

    /// Answers a request that could not be parsed; else has it handled, if the key-value store serves.
    fn handle_parsed<R>(
        &mut self,
        conn: ConnectionId,
        parsed: Result<R, RequestError>,
        handle: impl FnOnce(&mut Controller, R),
    ) {
        let response = match parsed {
            Ok(_) if self.state_silent_ms() >= UNSERVED_MS => Unavailable::StoreDown.into(),
            Ok(request) => {
                handle(self, request);
                return;
            }
            Err(error) => error.into(),
        };
        self.effects.respond(conn, response);
    }

    fn wrong_method(&mut self, conn: ConnectionId) {
        self.effects.respond(conn, RequestError::WrongMethod.into());
    }

    fn ready(&mut self, conn: ConnectionId) {
        let silent = self.state_silent_ms();
        let decides = self.records.allocations_read && !self.types.is_empty();
        // In an outage that everybody shares, leaving the load balancer would only delay the return.
        let served = silent < 3_000 || self.outage();
        let response = if decides && served {
            let shards: Vec<ShardProgress> = self.shards.values().map(|s| s.progress()).collect();
            let reads = self.list_watch.stage();
            let deaf = self.reachability.deaf;
            let connections = &self.connections;
            Response::json(
                200,
                &json!({"reads": reads, "deaf": deaf, "doors": connections, "parts": shards}),
            )
        } else {
            let reads = self.list_watch.stage().unwrap_or("nothing");
            Response::later(503, &format!("not ready, reads {reads}"), 1)
        };
        self.effects.respond(conn, response);
    }

    fn check_in(&mut self, conn: ConnectionId, body: &[u8]) {
        let report = match Heartbeat::parse(body) {
            Ok(report) => report,
            Err(error) => {
                tracing::info!(%error, "heartbeat rejected: malformed");
                self.effects
                    .respond(conn, Response::error(400, &error.to_string()));
                return;
            }
        };
        let now = self.effects.now;
        self.report(conn, report, now);
    }

    /// Whether this controller is about to own a part: nobody does, or its key has this one's name, and
    /// it has just started.
    fn will_own(&self, shard_id: ShardId) -> bool {
        let owner = self
            .records
            .shard_owners
            .get(&shard_id)
            .map(|v| &v.value.owner);
        let mine = owner.map_or(*self.config.home(shard_id) == self.config.me, |o| {
            *o == self.config.me
        });
        let starting = self.effects.now.since(self.started) <= STARTING_MS;
        mine && starting && !self.reachability.deaf && self.state_silent_ms() < UNSERVED_MS
    }

    /// Answers the workers that wait for this controller to own their part and to read of their jobs, once it has or
    /// they have waited for long.
    pub(super) fn open_doors(&mut self) {
        for (conn, report, since) in std::mem::take(&mut self.at_door) {
            self.report(conn, report, since);
        }
    }

    /// Reads the jobs by themselves that a waiting report lists, where a whole reading takes long.
    fn read_listed(&mut self, shard_id: ShardId, report: &Heartbeat) {
        let now = self.effects.now;
        let unread: BTreeSet<JobId> = self
            .context()
            .unread(shard_id, &report.tasks)
            .cloned()
            .collect();
        for job in unread {
            if self.listed_asked.len() < LISTED_UNDERWAY
                && !self.listed_asked.contains_key(&job)
                && self.kv.may(now, RequestPriority::Accept, 0)
            {
                self.listed_asked.insert(job.clone(), now);
                let key = job_key(&job);
                let tag = KvRequest::JobLookup(job);
                self.kv.get(&mut self.effects, tag, &key, LISTED_MS);
            }
        }
    }

    /// Handles a report that came at `since`.
    fn report(&mut self, conn: ConnectionId, report: Heartbeat, since: MonotonicMillis) {
        let now = self.effects.now;
        let shard_id = shard_of(report.machine.as_str(), self.config.shard_count);
        let held =
            self.leases.fencing_token(shard_id).is_some() && self.shards.contains_key(&shard_id);
        self.reachability.heard(&report, held, shard_id, now);
        let mut report = report;
        if held && self.serves() {
            let mut refused = None;
            self.with_shard(shard_id, |shard, context| {
                refused = shard.check_in(conn, report, since, context);
            });
            match refused {
                None => return,
                Some((why, back)) => {
                    report = back;
                    if why == RenewalRefusal::Unread && now.since(since) < READ_FIRST_MS {
                        self.read_listed(shard_id, &report);
                        self.at_door.push((conn, report, since));
                        return;
                    }
                }
            }
        }
        // Guards against a worker sent away a moment before its part is taken here, to look for an owner
        // a second at a time while its lease runs out.
        if !held && now.since(since) < AT_DOOR_MS && self.will_own(shard_id) {
            self.at_door.push((conn, report, since));
            return;
        }
        let owner = self
            .records
            .shard_owners
            .get(&shard_id)
            .map(|v| v.value.owner.clone())
            // A worker sent to an owner whom no worker reaches waits there for 4 s, and is here again.
            .filter(|owner| *owner != self.config.me && !held && !self.gossip.is_deaf(now, owner));
        let response = match owner {
            Some(owner) => Response::new(421, redirect(Some(owner.as_str()))),
            None => Response::new(421, redirect(None)),
        };
        self.effects.respond(conn, response);
    }
}
