//! Errors found while parsing or routing API requests.

use super::dag_runs::InvalidDagBody;
use crate::effects::Response;
use serde_json::json;
use snowshelf_calendar::entry::Malformed;

/// Why a request is rejected. Its `Display` is the text sent to the client.
#[derive(Debug, thiserror::Error)]
pub enum RequestError {
    /// A field of the body or a query parameter is invalid or missing.
    #[error(transparent)]
    Malformed(#[from] Malformed),
    /// The body is not a valid definition of a DAG or a run.
    #[error(transparent)]
    InvalidDag(#[from] InvalidDagBody),
    /// The API has no such path.
    #[error("no such path")]
    NoSuchPath,
    /// The entry's name in the path is invalid, so the entry cannot exist.
    #[error("no such entry")]
    NoSuchEntry,
    /// The path does not support the request's method.
    #[error("this path does not take that method")]
    WrongMethod,
}

impl RequestError {
    /// An error for an invalid or missing field or parameter.
    pub fn malformed(field: &str, reason: &str) -> RequestError {
        RequestError::Malformed(Malformed {
            field: field.to_string(),
            why: reason.to_string(),
        })
    }
}

impl From<RequestError> for Response {
    fn from(error: RequestError) -> Response {
        let text = error.to_string();
        match error {
            RequestError::Malformed(Malformed { field, .. }) => {
                Response::json(400, &json!({"error": text, "field": field}))
            }
            RequestError::InvalidDag(_) => Response::error(400, &text),
            RequestError::NoSuchPath | RequestError::NoSuchEntry => Response::error(404, &text),
            RequestError::WrongMethod => Response::error(405, &text),
        }
    }
}
