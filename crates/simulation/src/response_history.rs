//! History of the responses about each job. No response may be older than one that reached the user before the
//! request was sent. A user that sends one request at a time must receive responses in order.

use super::*;
use std::fmt;

/// A user's request about a job.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum JobRequest {
    Submit,
    Poll,
    Cancel,
}

/// The state of a job in a response. A newer state is greater; a job is never both done and aborted.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub(crate) enum ReportedState {
    Unknown,
    Open,
    Done,
    Aborted,
}

impl ReportedState {
    /// The reported state. `None` if the response contains none, for example with status 503.
    pub(crate) fn read(status: u16, state: &str) -> Option<ReportedState> {
        match (status, state) {
            (200 | 201, "done") => Some(ReportedState::Done),
            (200 | 201, "aborted") => Some(ReportedState::Aborted),
            (200 | 201, _) => Some(ReportedState::Open),
            (404 | 400 | 422, _) => Some(ReportedState::Unknown),
            _ => None,
        }
    }

    /// Whether the state is final.
    fn is_final(self) -> bool {
        self >= ReportedState::Done
    }
}

/// One response. Requests are numbered in the order in which they are sent. `last_sent` is the number of the
/// newest request at the time when this response arrived.
struct JobResponse {
    node: usize,
    request: JobRequest,
    sent: u64,
    last_sent: u64,
    at: u64,
    status: u16,
    reported: ReportedState,
}

impl fmt::Display for JobResponse {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (request, reported) = (self.request, self.reported);
        let (node, at, status) = (self.node, self.at, self.status);
        write!(
            f,
            "{request:?}#{} n{node} {at} {status} {reported:?}",
            self.sent
        )
    }
}

/// All responses about one job.
#[derive(Default)]
pub(crate) struct ResponseHistory {
    submitted: bool,
    responses: Vec<JobResponse>,
    /// First response to a poll, which [`DisabledSafeguards::stale_responses`] repeats.
    first: Option<(u16, Vec<u8>)>,
}

impl ResponseHistory {
    /// Describes a newer response of the same controller, regardless of the order of the requests.
    fn contradicts(&self, new: &JobResponse) -> Option<String> {
        let mut same_controller = self.responses.iter().filter(|a| a.node == new.node);
        let newer = same_controller.find(|a| a.reported > new.reported)?;
        Some(format!("{newer}, then {new}"))
    }

    /// Adds a response. Returns the rule that it breaks, if any, and whether it is the first to report a state
    /// this new.
    fn add(&mut self, new: JobResponse, concurrent_requests: bool) -> (Option<&'static str>, bool) {
        let older = |a: &&JobResponse| {
            let contradicts =
                a.reported.is_final() && new.reported.is_final() && a.reported != new.reported;
            let known = a.last_sent < new.sent || !concurrent_requests;
            contradicts || (known && a.reported > new.reported)
        };
        let broken_rule = self
            .responses
            .iter()
            .find(older)
            .map(|a| match new.reported {
                ReportedState::Unknown if !a.reported.is_final() || new.status != 200 => {
                    "forgotten"
                }
                _ => "went_back",
            });
        let first = self.responses.iter().all(|a| a.reported < new.reported);
        self.responses.push(new);
        (broken_rule, first)
    }

    /// Describes the last 12 responses for a violation report.
    fn describe_recent(&self) -> String {
        let from = self.responses.len().saturating_sub(12);
        let lines: Vec<String> = self.responses[from..]
            .iter()
            .map(JobResponse::to_string)
            .collect();
        lines.join(", ")
    }
}

impl Simulation {
    /// Sends a user's request about a job.
    pub(crate) fn send_job_request(
        &mut self,
        node: usize,
        u: usize,
        request: JobRequest,
        spec: &Value,
    ) {
        let job = &self.users[u].job;
        let poll = format!("/api/jobs/{job}");
        let (method, path, body, pending) = match request {
            JobRequest::Submit => (
                "POST",
                "/api/jobs".into(),
                spec.to_string().into_bytes(),
                PendingRequest::Submit(u),
            ),
            JobRequest::Poll => ("GET", poll, Vec::new(), PendingRequest::Poll(u)),
            JobRequest::Cancel => (
                "POST",
                format!("{poll}/cancel"),
                Vec::new(),
                PendingRequest::Cancel(u),
            ),
        };
        self.users[u].history.submitted |= request == JobRequest::Submit;
        self.send_request(node, method, &path, body, pending);
    }

    /// Checks a response against all earlier ones about the job. Returns whether it reports a newer state than
    /// all of them.
    pub(crate) fn record_response(
        &mut self,
        (node, sent): (usize, u64),
        u: usize,
        request: JobRequest,
        status: u16,
        state: &str,
    ) -> bool {
        let Some(reported) = ReportedState::read(status, state) else {
            return false;
        };
        let response = JobResponse {
            node,
            request,
            sent,
            last_sent: self.next_connection,
            at: self.now,
            status,
            reported,
        };
        let user = &mut self.users[u];
        if let Some(contradiction) = user.history.contradicts(&response) {
            self.contradictions
                .push(format!("{}: {contradiction}", user.job));
        }
        let (broken_rule, first) = user
            .history
            .add(response, self.injected.concurrent_requests);
        let (job, recent) = (&user.job, user.history.describe_recent());
        if let Some(rule) = broken_rule {
            self.violations.push(format!(
                "{rule}: {job} is answered {status} {state}; {recent}"
            ));
        }
        if reported > ReportedState::Unknown && !user.from_dag_run && !user.history.submitted {
            self.violations
                .push(format!("invented: {job} before it was submitted"));
        }
        if request == JobRequest::Cancel && reported == ReportedState::Open {
            self.violations
                .push(format!("unsettled: {job} called off is {state}"));
        }
        first && reported > ReportedState::Unknown
    }

    /// Replaces the response to a poll by the first one if the safeguard is disabled and the first controller
    /// responds.
    pub(crate) fn maybe_stale_response(
        &mut self,
        node: usize,
        pending: &PendingRequest,
        status: u16,
        body: Vec<u8>,
    ) -> (u16, Vec<u8>) {
        let PendingRequest::Poll(u) = pending else {
            return (status, body);
        };
        let first = &mut self.users[*u].history.first;
        if matches!(status, 200 | 404) {
            first.get_or_insert_with(|| (status, body.clone()));
        }
        match first {
            Some(first) if node == 0 && self.safeguards.stale_responses => first.clone(),
            _ => (status, body),
        }
    }
}
