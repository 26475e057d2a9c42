//! Routes requests of users, workers and health checks by path.

use super::Controller;
use crate::coordination::api::JobReadPurpose;
use crate::coordination::dag_runs;
use crate::coordination::drains;
use crate::coordination::query;
use crate::coordination::reservations;
use crate::coordination::unavailable::Unavailable;
use crate::effects::{Request, Response};
use snowshelf_model::ids::{ConnectionId, JobId, WallClockMillis};
use snowshelf_model::protocol::user;

const JOBS_PATH: &str = "/api/jobs";
const JOB_PATH_PREFIX: &str = "/api/jobs/";

fn no_such_path() -> Response {
    Response::error(404, "no such path")
}

fn wrong_method() -> Response {
    Response::error(405, "this path does not take that method")
}

impl Controller {
    /// Routes a request by its path.
    pub(super) fn on_request(&mut self, conn: ConnectionId, request: &Request) {
        let (path, _) = query::split(&request.path);
        match (request.method.as_str(), path) {
            ("GET", "/ready") => self.respond_ready(conn),
            ("POST", "/checkin") => self.receive_heartbeat(conn, &request.body),
            ("POST", JOBS_PATH) => self.submit_job(conn, &request.body),
            (_, "/ready" | "/checkin" | JOBS_PATH) => {
                self.env.effects.respond(conn, wrong_method());
            }
            (method, path) => {
                if !self.route_to_feature(conn, request) {
                    self.route_to_job(conn, method, path);
                }
            }
        }
    }

    fn submit_job(&mut self, conn: ConnectionId, body: &[u8]) {
        if !self.env.is_kv_available() && user::submitted_job(body).is_some() {
            let response = Unavailable::StoreDown.into();
            self.env.effects.respond(conn, response);
        } else {
            self.job_api.submit(conn, body, &mut self.env.context());
        }
    }

    /// Routes a request to a feature that the operators have enabled. Returns false if the path belongs to none of
    /// them.
    fn route_to_feature(&mut self, conn: ConnectionId, request: &Request) -> bool {
        let Request { method, path, body } = request;
        let ops = &self.env.config.ops;
        if ops.calendar.enabled
            && let Some(parsed) = reservations::parse_request(method, path, body)
        {
            if let Some(request) = self.accept_parsed(conn, parsed.map_err(Response::from)) {
                self.reservations
                    .handle(conn, request, &mut self.env.context());
            }
            return true;
        }
        let wall_time = WallClockMillis(self.env.effects.wall_ms);
        if ops.drains.enabled
            && let Some(parsed) = drains::parse_request(method, path, body, wall_time)
        {
            if let Some(request) = self.accept_parsed(conn, parsed.map_err(Response::from)) {
                self.drains.handle(conn, request, &mut self.env.context());
            }
            return true;
        }
        if ops.graphs.enabled
            && let Some(parsed) = dag_runs::parse_request(method, path, body)
        {
            if let Some(request) = self.accept_parsed(conn, parsed.map_err(Response::from)) {
                self.dag_runs.handle(conn, request, &mut self.env.context());
            }
            return true;
        }
        false
    }

    /// Returns the parsed request if it can be decided now. Otherwise responds with the reason.
    fn accept_parsed<R>(&mut self, conn: ConnectionId, parsed: Result<R, Response>) -> Option<R> {
        let response = match parsed {
            Ok(request) if self.env.is_kv_available() => return Some(request),
            Ok(_) => Unavailable::StoreDown.into(),
            Err(response) => response,
        };
        self.env.effects.respond(conn, response);
        None
    }

    /// Polls or cancels a job.
    fn route_to_job(&mut self, conn: ConnectionId, method: &str, path: &str) {
        let Some(rest) = path.strip_prefix(JOB_PATH_PREFIX) else {
            self.env.effects.respond(conn, no_such_path());
            return;
        };
        let (id, purpose, expected_method) = match rest.strip_suffix("/cancel") {
            Some(id) => (id, JobReadPurpose::Cancel, "POST"),
            None => (rest, JobReadPurpose::Poll, "GET"),
        };
        if !user::is_job_id(id) {
            let response = Response::error(404, "no such job");
            self.env.effects.respond(conn, response);
        } else if method != expected_method {
            self.env.effects.respond(conn, wrong_method());
        } else {
            let job = JobId::new(id);
            self.job_api
                .read_job(conn, &job, purpose, &mut self.env.context());
        }
    }
}
