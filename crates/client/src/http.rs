//! Requests to any of several controllers: the next one where one does not answer, again where one says
//! when to come back, until there is an answer or the time is up.

use serde_json::Value;
use std::time::{Duration, Instant};

/// An answer that settles a request.
#[derive(Clone, PartialEq, Debug)]
pub struct Answer {
    pub status: u16,
    pub body: Value,
}

#[derive(Debug, thiserror::Error)]
pub enum Unanswered {
    #[error("no controller answered: {0}")]
    Unreached(String),
    #[error("no controller could decide in time: {0}")]
    Later(String),
    #[error("no --server is named")]
    NoServer,
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Method {
    Get,
    Post,
    Put,
}

/// A client of some controllers.
pub struct Client {
    servers: Vec<String>,
    agent: ureq::Agent,
    wait: Duration,
}

/// How long one controller may take to answer.
const ANSWER: Duration = Duration::from_secs(5);
/// The pause before the next round where nobody said when to come back, and the longest one kept to.
const PAUSE: Duration = Duration::from_millis(500);
const LONGEST_PAUSE: Duration = Duration::from_secs(30);

/// What one try came to.
enum Try {
    Settled(Answer),
    Later(Duration, String),
    Failed(String),
}

impl Client {
    /// `servers` are addresses as `host:port`; `wait` is how long a request may take in all.
    pub fn new(servers: &[String], wait: Duration) -> Client {
        let config = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(ANSWER))
            .max_redirects(0)
            .build();
        Client {
            servers: servers.to_vec(),
            agent: config.into(),
            wait,
        }
    }

    fn attempt(&self, server: &str, method: Method, path: &str, body: Option<&Value>) -> Try {
        let url = format!("http://{server}{path}");
        let sent = match (method, body) {
            (Method::Get, _) => self.agent.get(&url).call(),
            (Method::Post, Some(body)) => self.agent.post(&url).send(body.to_string()),
            (Method::Post, None) => self.agent.post(&url).send_empty(),
            (Method::Put, Some(body)) => self.agent.put(&url).send(body.to_string()),
            (Method::Put, None) => self.agent.put(&url).send_empty(),
        };
        let mut answer = match sent {
            Ok(answer) => answer,
            Err(error) => return Try::Failed(format!("{server}: {error}")),
        };
        let status = answer.status().as_u16();
        let after = answer.headers().get("retry-after");
        let after = after.and_then(|v| v.to_str().ok()?.parse().ok());
        let text = match answer.body_mut().read_to_string() {
            Ok(text) => text,
            Err(error) => return Try::Failed(format!("{server}: {error}")),
        };
        let body: Value = serde_json::from_str(&text).unwrap_or(Value::Null);
        if matches!(status, 429 | 503 | 504) {
            let why = body["error"].as_str().unwrap_or("no reason told");
            let pause = after.map_or(PAUSE, Duration::from_secs);
            return Try::Later(pause, format!("{server}: {why}"));
        }
        if body.is_null() {
            return Try::Failed(format!("{server}: status {status}, and no JSON"));
        }
        Try::Settled(Answer { status, body })
    }

    /// Asks until there is an answer. Every request may be sent twice with the effect of once.
    pub fn ask(
        &self,
        method: Method,
        path: &str,
        body: Option<&Value>,
    ) -> Result<Answer, Unanswered> {
        let end = Instant::now() + self.wait;
        loop {
            let mut pause = None;
            let mut last = Unanswered::NoServer;
            for server in &self.servers {
                match self.attempt(server, method, path, body) {
                    Try::Settled(answer) => return Ok(answer),
                    Try::Later(after, why) => {
                        // Another controller may be able to now; the shortest pause counts.
                        pause = Some(pause.map_or(after, |p: Duration| p.min(after)));
                        last = Unanswered::Later(why);
                    }
                    Try::Failed(why) => {
                        if !matches!(last, Unanswered::Later(_)) {
                            last = Unanswered::Unreached(why);
                        }
                    }
                }
            }
            let pause = pause.unwrap_or(PAUSE).clamp(PAUSE, LONGEST_PAUSE);
            if self.servers.is_empty() || Instant::now() + pause > end {
                return Err(last);
            }
            std::thread::sleep(pause);
        }
    }
}
