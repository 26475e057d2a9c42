//! Reasons for which a request cannot be served now and may be repeated later.

use crate::effects::Response;

/// Why a request is answered with status 503; its `Display` is the text that the client reads.
#[derive(Clone, Copy, PartialEq, Eq, Debug, thiserror::Error)]
pub enum Unavailable {
    /// The key-value store has not served for a while.
    #[error("the state service is away")]
    StoreDown,
    /// A request to the key-value store failed, or its outcome is unknown.
    #[error("the state service did not answer")]
    StoreNotResponding,
    /// This controller's budget of requests to the key-value store is used up.
    #[error("too many requests")]
    RateLimited,
    /// As many submissions wait as can be written in the near future.
    #[error("too many submissions")]
    TooManySubmissions,
    /// Other writes to the same record came first again and again.
    #[error("could not be settled yet")]
    Contended,
    /// The record cache or the machine types are not loaded yet.
    #[error("not able to decide yet")]
    NotReady,
    /// Some controller runs a version that cannot read dependencies.
    #[error("not every controller takes needs yet")]
    DependenciesUnsupported,
    /// Too many dependencies are absent from the record cache to look them up one by one.
    #[error("jobs that it needs are not known here yet")]
    DependenciesNotCached,
    /// The confirmed cancellations of other controllers are not known up to now.
    #[error("not known yet what became of the jobs that it needs")]
    CancellationsUnknown,
    /// The stored record of the job cannot be decoded.
    #[error("the job's record cannot be read")]
    UnreadableRecord,
}

impl Unavailable {
    /// Seconds after which the client should repeat the request.
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
        Response::later(503, &reason.to_string(), reason.retry_after_s())
    }
}
