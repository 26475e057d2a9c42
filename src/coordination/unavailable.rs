//! Reasons why a request cannot be served now but may be repeated later.

use crate::effects::Response;

/// Why a request is answered with status 503. Its `Display` is the text sent to the client.
#[derive(Clone, Copy, PartialEq, Eq, Debug, thiserror::Error)]
pub enum Unavailable {
    /// The key-value store is unavailable: it has not served this controller for a while.
    #[error("the state service is away")]
    StoreDown,
    /// A request to the key-value store failed, or its outcome is unknown.
    #[error("the state service did not answer")]
    StoreNotResponding,
    /// This controller has reached its rate limit for the key-value store.
    #[error("too many requests")]
    RateLimited,
    /// More submissions are pending than can be written in the near future.
    #[error("too many submissions")]
    TooManySubmissions,
    /// The request was not committed in time, for example because other writes to the same record kept conflicting.
    #[error("could not be settled yet")]
    Contended,
    /// The record cache or the machine types are not loaded yet.
    #[error("not able to decide yet")]
    NotReady,
    /// At least one controller cannot read dependencies.
    #[error("not every controller takes needs yet")]
    DependenciesUnsupported,
    /// Too many dependencies are missing from the record cache to look them up individually.
    #[error("jobs that it needs are not known here yet")]
    DependenciesNotCached,
    /// The cancellation watermark is too old to rule out that a dependency has been cancelled.
    #[error("not known yet what became of the jobs that it needs")]
    CancellationsUnknown,
    /// The stored record of the job cannot be decoded.
    #[error("the job's record cannot be read")]
    UnreadableRecord,
}

impl Unavailable {
    /// Seconds after which the client should retry, sent as `Retry-After`.
    fn retry_after_s(self) -> u64 {
        match self {
            Unavailable::StoreNotResponding
            | Unavailable::RateLimited
            | Unavailable::Contended
            | Unavailable::DependenciesNotCached
            | Unavailable::CancellationsUnknown => 1,
            Unavailable::StoreDown
            | Unavailable::TooManySubmissions
            | Unavailable::NotReady
            | Unavailable::DependenciesUnsupported => 2,
            Unavailable::UnreadableRecord => 5,
        }
    }
}

impl From<Unavailable> for Response {
    fn from(reason: Unavailable) -> Response {
        Response::retry_later(503, &reason.to_string(), reason.retry_after_s())
    }
}
