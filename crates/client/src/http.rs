//! HTTP client for a group of controllers. A request goes to each controller in turn until one processes it, and is
//! retried after a pause until a deadline.

use serde_json::Value;
use std::time::{Duration, Instant};

/// A response from a controller that has processed the request.
#[derive(Clone, PartialEq, Debug)]
pub struct Response {
    /// The HTTP status code.
    pub status: u16,
    /// The JSON body.
    pub body: Value,
}

/// Why no controller has processed a request.
#[derive(Debug, thiserror::Error)]
pub enum RequestError {
    /// No controller sent a usable response. Holds the last failure.
    #[error("no controller responded: {0}")]
    Unreachable(String),
    /// Every controller that responded asked to retry later. Holds the last reason.
    #[error("no controller could process the request in time: {0}")]
    Unavailable(String),
    /// The list of controllers is empty.
    #[error("no controller address given with --server")]
    NoServer,
}

/// An HTTP method.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Method {
    /// Reads an entry or a list.
    Get,
    /// Creates an entry, or performs an action on one.
    Post,
    /// Replaces an entry.
    Put,
}

/// An HTTP client that sends each request to one of several controllers.
pub struct Client {
    servers: Vec<String>,
    agent: ureq::Agent,
    wait: Duration,
}

/// Timeout of one attempt at one controller.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause before all controllers are tried again if none sent `Retry-After`; also the shortest pause.
const RETRY_PAUSE: Duration = Duration::from_millis(500);
/// Longest pause before all controllers are tried again, whatever `Retry-After` says.
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(30);

/// The outcome of one attempt at one controller.
enum Attempt {
    /// The controller has processed the request.
    Processed(Response),
    /// The controller asks to retry after this pause, for this reason.
    RetryAfter(Duration, String),
    /// No usable response, for this reason.
    Failed(String),
}

impl Client {
    /// Creates a client. `servers` are addresses as `host:port`; `wait` limits how long a request is retried.
    #[must_use]
    pub fn new(servers: &[String], wait: Duration) -> Client {
        let config = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(ATTEMPT_TIMEOUT))
            .max_redirects(0)
            .build();
        Client {
            servers: servers.to_vec(),
            agent: config.into(),
            wait,
        }
    }

    fn attempt(&self, server: &str, method: Method, path: &str, body: Option<&Value>) -> Attempt {
        let url = format!("http://{server}{path}");
        let sent = match (method, body) {
            (Method::Get, _) => self.agent.get(&url).call(),
            (Method::Post, Some(body)) => self.agent.post(&url).send(body.to_string()),
            (Method::Post, None) => self.agent.post(&url).send_empty(),
            (Method::Put, Some(body)) => self.agent.put(&url).send(body.to_string()),
            (Method::Put, None) => self.agent.put(&url).send_empty(),
        };
        let mut response = match sent {
            Ok(response) => response,
            Err(error) => return Attempt::Failed(format!("{server}: {error}")),
        };
        let status = response.status().as_u16();
        let retry_after = response.headers().get("retry-after");
        let retry_after = retry_after.and_then(|v| v.to_str().ok()?.parse().ok());
        let text = match response.body_mut().read_to_string() {
            Ok(text) => text,
            Err(error) => return Attempt::Failed(format!("{server}: {error}")),
        };
        let body: Value = serde_json::from_str(&text).unwrap_or(Value::Null);
        if matches!(status, 429 | 503 | 504) {
            let reason = body["error"].as_str().unwrap_or("no reason given");
            let pause = retry_after.map_or(RETRY_PAUSE, Duration::from_secs);
            return Attempt::RetryAfter(pause, format!("{server}: {reason}"));
        }
        if body.is_null() {
            return Attempt::Failed(format!("{server}: status {status} without a JSON body"));
        }
        Attempt::Processed(Response { status, body })
    }

    /// Sends a request until a controller has processed it. Every request is idempotent, so it may be repeated.
    ///
    /// # Errors
    /// Returns the last failure if no controller has processed the request in time.
    pub fn request(
        &self,
        method: Method,
        path: &str,
        body: Option<&Value>,
    ) -> Result<Response, RequestError> {
        let deadline = Instant::now() + self.wait;
        loop {
            let mut pause = None;
            let mut last_error = RequestError::NoServer;
            for server in &self.servers {
                match self.attempt(server, method, path, body) {
                    Attempt::Processed(response) => return Ok(response),
                    Attempt::RetryAfter(after, reason) => {
                        // The other controllers are still tried; the shortest pause of the round applies.
                        pause = Some(pause.map_or(after, |p: Duration| p.min(after)));
                        last_error = RequestError::Unavailable(reason);
                    }
                    Attempt::Failed(reason) => {
                        if !matches!(last_error, RequestError::Unavailable(_)) {
                            last_error = RequestError::Unreachable(reason);
                        }
                    }
                }
            }
            let pause = pause
                .unwrap_or(RETRY_PAUSE)
                .clamp(RETRY_PAUSE, MAX_RETRY_PAUSE);
            if self.servers.is_empty() || Instant::now() + pause > deadline {
                return Err(last_error);
            }
            std::thread::sleep(pause);
        }
    }
}
