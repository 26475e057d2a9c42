//! Requests to any of several controllers: the next one if one does not respond, again if one says when to retry,
//! until there is a response or the time is up.

use serde_json::Value;
use std::time::{Duration, Instant};

/// The response that settles a request.
#[derive(Clone, PartialEq, Debug)]
pub struct Response {
    /// The status code.
    pub status: u16,
    /// The body.
    pub body: Value,
}

/// Why a request was not settled.
#[derive(Debug, thiserror::Error)]
pub enum RequestError {
    /// No controller responded; the last failure.
    #[error("no controller answered: {0}")]
    Unreachable(String),
    /// Every controller that responded asked to retry; the last reason.
    #[error("no controller could decide in time: {0}")]
    Unavailable(String),
    /// There is no controller to send it to.
    #[error("no --server is named")]
    NoServer,
}

/// The method of a request.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Method {
    /// Reads.
    Get,
    /// Creates, or acts on an entry.
    Post,
    /// Replaces.
    Put,
}

/// A client of several controllers.
pub struct Client {
    servers: Vec<String>,
    agent: ureq::Agent,
    wait: Duration,
}

/// How long one controller may take to respond.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);
/// The pause before the next round if no controller said when to retry.
const RETRY_PAUSE: Duration = Duration::from_millis(500);
/// The longest pause.
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(30);

/// The outcome of one attempt at one controller.
enum Attempt {
    Settled(Response),
    Later(Duration, String),
    Failed(String),
}

impl Client {
    /// `servers` are addresses as `host:port`; `wait` is how long a request may take in all.
    #[must_use]
    pub fn new(servers: &[String], wait: Duration) -> Client {
        let config = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(RESPONSE_TIMEOUT))
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
        let after = response.headers().get("retry-after");
        let after = after.and_then(|v| v.to_str().ok()?.parse().ok());
        let text = match response.body_mut().read_to_string() {
            Ok(text) => text,
            Err(error) => return Attempt::Failed(format!("{server}: {error}")),
        };
        let body: Value = serde_json::from_str(&text).unwrap_or(Value::Null);
        if matches!(status, 429 | 503 | 504) {
            let why = body["error"].as_str().unwrap_or("no reason told");
            let pause = after.map_or(RETRY_PAUSE, Duration::from_secs);
            return Attempt::Later(pause, format!("{server}: {why}"));
        }
        if body.is_null() {
            return Attempt::Failed(format!("{server}: status {status}, and no JSON"));
        }
        Attempt::Settled(Response { status, body })
    }

    /// Sends a request until there is a response. Every request is idempotent, so it may be sent again.
    ///
    /// # Errors
    /// If there is no response that settles it in time.
    pub fn request(
        &self,
        method: Method,
        path: &str,
        body: Option<&Value>,
    ) -> Result<Response, RequestError> {
        let deadline = Instant::now() + self.wait;
        loop {
            let mut pause = None;
            let mut last = RequestError::NoServer;
            for server in &self.servers {
                match self.attempt(server, method, path, body) {
                    Attempt::Settled(response) => return Ok(response),
                    Attempt::Later(after, why) => {
                        // Another controller may be able to now; the shortest pause counts.
                        pause = Some(pause.map_or(after, |p: Duration| p.min(after)));
                        last = RequestError::Unavailable(why);
                    }
                    Attempt::Failed(why) => {
                        if !matches!(last, RequestError::Unavailable(_)) {
                            last = RequestError::Unreachable(why);
                        }
                    }
                }
            }
            let pause = pause
                .unwrap_or(RETRY_PAUSE)
                .clamp(RETRY_PAUSE, MAX_RETRY_PAUSE);
            if self.servers.is_empty() || Instant::now() + pause > deadline {
                return Err(last);
            }
            std::thread::sleep(pause);
        }
    }
}
