//! Errors of the API's requests that are found before anything is decided on them.

use super::dag_runs::InvalidDagBody;
use crate::effects::Response;
use serde_json::json;
use snowshelf_calendar::entry::Malformed;

/// Why a request is not taken; its `Display` is the text that the client reads.
#[derive(Debug, thiserror::Error)]
pub enum RequestError {
    /// A field of the body or a parameter of the query is wrong or missing.
    #[error(transparent)]
    Malformed(#[from] Malformed),
    /// The body has no valid definition of a DAG or a run.
    #[error(transparent)]
    InvalidDag(#[from] InvalidDagBody),
    /// The API has no such path.
    #[error("no such path")]
    NoSuchPath,
    /// The path names no possible entry.
    #[error("no such entry")]
    NoSuchEntry,
    /// The path is served, but not with this method.
    #[error("this path does not take that method")]
    WrongMethod,
}

impl RequestError {
    /// A wrong or missing field.
    pub fn malformed(field: &str, why: &str) -> RequestError {
        RequestError::Malformed(Malformed {
            field: field.to_string(),
            why: why.to_string(),
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
