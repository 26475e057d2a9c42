//! Requests of users, workers and health checks, by path.

use super::{Controller, UNSERVED_MS};
use crate::bookkeeping::store::Class;
use crate::coordination::bookings::{Asked, read_ask};
use crate::coordination::drains;
use crate::coordination::env::{ReadFor, Tag};
use crate::coordination::query;
use crate::coordination::runs;
use crate::coordination::shard::Progress;
use crate::outbox::{Request, Response};
use serde_json::json;
use snowshelf_calendar::entry::Malformed;
use snowshelf_horizon::renewal::Refusal;
use snowshelf_model::ids::{ConnId, JobId, Millis, PartId, WallMs, part_of};
use snowshelf_model::protocol::user;
use snowshelf_model::protocol::worker::{Report, redirect};
use snowshelf_model::records::job_key;
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
const WRONG_METHOD: &str = "this path does not take that method";

fn malformed(why: &Malformed) -> Response {
    Response::json(400, &json!({"error": why.to_string(), "field": why.field}))
}

impl Controller {
    pub(super) fn request(&mut self, conn: ConnId, request: Request) {
        let (path, _) = query::split(&request.path);
        match (request.method.as_str(), path) {
            ("GET", "/ready") => self.ready(conn),
            ("POST", "/checkin") => self.check_in(conn, &request.body),
            ("POST", "/api/jobs") => {
                let mut gateway = std::mem::take(&mut self.gateway);
                if self.state_silent_ms() >= UNSERVED_MS && user::named(&request.body).is_some() {
                    let later = Response::later(503, "the state service is away", 2);
                    self.out.respond(conn, later);
                } else {
                    gateway.submit(conn, &request.body, &mut self.env());
                }
                self.gateway = gateway;
            }
            (_, "/ready" | "/checkin" | "/api/jobs") => self.wrong_method(conn),
            (method, path) => {
                if self.cfg.ops.calendar.enabled
                    && let Some(asked) = read_ask(method, &request.path, &request.body)
                {
                    self.asked(conn, asked);
                    return;
                }
                if self.cfg.ops.drains.enabled
                    && let Some(read) = drains::read(
                        method,
                        &request.path,
                        &request.body,
                        WallMs(self.out.wall_ms),
                    )
                {
                    self.asked_of_drains(conn, read);
                    return;
                }
                if self.cfg.ops.graphs.enabled
                    && let Some(read) = runs::read(method, &request.path, &request.body)
                {
                    self.graphs(conn, read);
                    return;
                }
                let Some(rest) = path.strip_prefix("/api/jobs/") else {
                    self.out.respond(conn, Response::error(404, "no such path"));
                    return;
                };
                let (id, why) = match rest.strip_suffix("/cancel") {
                    Some(id) => (id, ReadFor::Cancel),
                    None => (rest, ReadFor::Poll),
                };
                let wanted = match why {
                    ReadFor::Cancel => "POST",
                    _ => "GET",
                };
                if !user::is_job_id(id) {
                    self.out.respond(conn, Response::error(404, "no such job"));
                } else if method != wanted {
                    self.wrong_method(conn);
                } else {
                    self.with_gateway(|gateway, env| gateway.read(conn, &JobId::new(id), why, env));
                }
            }
        }
    }

    /// A request to the calendar.
    fn asked(&mut self, conn: ConnId, asked: Asked) {
        let response = match asked {
            Asked::Ask(_) if self.state_silent_ms() >= UNSERVED_MS => {
                Response::later(503, "the state service is away", 2)
            }
            Asked::Ask(ask) => {
                self.with_bookings(|bookings, env| bookings.take(conn, ask, env));
                return;
            }
            Asked::Malformed(why) => malformed(&why),
            Asked::NoSuchPath => Response::error(404, "no such path"),
            Asked::NoSuchEntry => Response::error(404, "no such entry"),
            Asked::WrongMethod => Response::error(405, WRONG_METHOD),
        };
        self.out.respond(conn, response);
    }

    /// A request to drains or budgets.
    fn asked_of_drains(&mut self, conn: ConnId, read: drains::Read) {
        let response = match read {
            drains::Read::Ask(_) if self.state_silent_ms() >= UNSERVED_MS => {
                Response::later(503, "the state service is away", 2)
            }
            drains::Read::Ask(ask) => {
                self.with_drains(|drains, env| drains.take(conn, ask, env));
                return;
            }
            drains::Read::Malformed(why) => malformed(&why),
            drains::Read::NoSuchPath => Response::error(404, "no such path"),
            drains::Read::NoSuchEntry => Response::error(404, "no such entry"),
            drains::Read::WrongMethod => Response::error(405, WRONG_METHOD),
        };
        self.out.respond(conn, response);
    }

    /// A request to graphs' runs.
    fn graphs(&mut self, conn: ConnId, read: runs::Read) {
        let response = match read {
            runs::Read::Ask(_) if self.state_silent_ms() >= UNSERVED_MS => {
                Response::later(503, "the state service is away", 2)
            }
            runs::Read::Ask(ask) => {
                self.with_runs(|runs, env| runs.take(conn, ask, env));
                return;
            }
            runs::Read::Malformed(why) => Response::error(400, &why),
            runs::Read::NoSuchPath => Response::error(404, "no such path"),
            runs::Read::WrongMethod => Response::error(405, WRONG_METHOD),
        };
        self.out.respond(conn, response);
    }

    fn wrong_method(&mut self, conn: ConnId) {
        self.out.respond(conn, Response::error(405, WRONG_METHOD));
    }

    fn ready(&mut self, conn: ConnId) {
        let silent = self.state_silent_ms();
        let decides = self.mirror.shares_read && !self.types.is_empty();
        // In an outage that everybody shares, leaving the load balancer would only delay the return.
        let served = silent < 3_000 || self.outage();
        let response = if decides && served {
            let parts: Vec<Progress> = self.shards.values().map(|s| s.progress()).collect();
            let reads = self.reader.stage();
            let deaf = self.hearing.deaf;
            let doors = &self.doors;
            Response::json(
                200,
                &json!({"reads": reads, "deaf": deaf, "doors": doors, "parts": parts}),
            )
        } else {
            let reads = self.reader.stage().unwrap_or("nothing");
            Response::later(503, &format!("not ready, reads {reads}"), 1)
        };
        self.out.respond(conn, response);
    }

    fn check_in(&mut self, conn: ConnId, body: &[u8]) {
        let report = match Report::parse(body) {
            Ok(report) => report,
            Err(error) => {
                tracing::info!(%error, "malformed report");
                self.out
                    .respond(conn, Response::error(400, &error.to_string()));
                return;
            }
        };
        let now = self.out.now;
        self.report(conn, report, now);
    }

    /// Whether this controller is about to own a part: nobody does, or its key has this one's name, and
    /// it has just started.
    fn will_own(&self, part: PartId) -> bool {
        let owner = self.mirror.parts.get(&part).map(|v| &v.value.owner);
        let mine = owner.map_or(*self.cfg.home(part) == self.cfg.me, |o| *o == self.cfg.me);
        let starting = self.out.now.since(self.started) <= STARTING_MS;
        mine && starting && !self.hearing.deaf && self.state_silent_ms() < UNSERVED_MS
    }

    /// Answers the workers that wait for this controller to own their part and to read of their jobs, once it has or
    /// they have waited for long.
    pub(super) fn open_doors(&mut self) {
        for (conn, report, since) in std::mem::take(&mut self.at_door) {
            self.report(conn, report, since);
        }
    }

    /// Reads the jobs by themselves that a waiting report lists, where a whole reading takes long.
    fn read_listed(&mut self, part: PartId, report: &Report) {
        let now = self.out.now;
        let unread: BTreeSet<JobId> = self.env().unread(part, &report.tasks).cloned().collect();
        for job in unread {
            if self.listed_asked.len() < LISTED_UNDERWAY
                && !self.listed_asked.contains_key(&job)
                && self.store.may(now, Class::Accept, 0)
            {
                self.listed_asked.insert(job.clone(), now);
                let key = job_key(&job);
                let tag = Tag::Needed(None, job);
                self.store.get(&mut self.out, tag, &key, LISTED_MS);
            }
        }
    }

    /// Handles a report that came at `since`.
    fn report(&mut self, conn: ConnId, report: Report, since: Millis) {
        let now = self.out.now;
        let part = part_of(report.machine.as_str(), self.cfg.parts);
        let held = self.own.token(part).is_some() && self.shards.contains_key(&part);
        self.hearing.heard(&report, held, part, now);
        let mut report = report;
        if held && self.serves() {
            let mut refused = None;
            self.with_shard(part, |shard, env| {
                refused = shard.check_in(conn, report, since, env);
            });
            match refused {
                None => return,
                Some((why, back)) => {
                    report = back;
                    if why == Refusal::Unread && now.since(since) < READ_FIRST_MS {
                        self.read_listed(part, &report);
                        self.at_door.push((conn, report, since));
                        return;
                    }
                }
            }
        }
        // Guards against a worker sent away a moment before its part is taken here, to look for an owner
        // a second at a time while its lease runs out.
        if !held && now.since(since) < AT_DOOR_MS && self.will_own(part) {
            self.at_door.push((conn, report, since));
            return;
        }
        let owner = self
            .mirror
            .parts
            .get(&part)
            .map(|v| v.value.owner.clone())
            // A worker sent to an owner whom no worker reaches waits there for 4 s, and is here again.
            .filter(|owner| *owner != self.cfg.me && !held && !self.peers.is_deaf(now, owner));
        let response = match owner {
            Some(owner) => Response::new(421, redirect(Some(owner.as_str()))),
            None => Response::new(421, redirect(None)),
        };
        self.out.respond(conn, response);
    }
}
