//! Priorities of requests, and the part of the rate limit that each leaves to higher ones.

/// What a request is for. Lower priorities leave a reserve of the rate limit to higher ones.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum RequestPriority {
    /// Renewals and acquisitions of leases, and the watch.
    LeaseUpkeep,
    /// What a user's request waits for.
    Admission,
    /// Ends and requeues of tasks.
    TaskEnds,
    /// Starts of tasks, and what they need.
    TaskStarts,
    /// Writes that can as well be made later.
    Background,
    /// Reads that nothing waits for.
    Reads,
}

impl RequestPriority {
    /// The fraction of a second's requests that must remain after a request of this priority.
    pub(super) fn request_reserve(self) -> f64 {
        match self {
            RequestPriority::LeaseUpkeep => 0.0,
            RequestPriority::Admission => 0.1,
            RequestPriority::TaskEnds => 0.15,
            RequestPriority::TaskStarts => 0.25,
            RequestPriority::Reads | RequestPriority::Background => 0.3,
        }
    }

    /// The same for writes. Their limit is lower, so more of it is reserved: a stream of small writes
    /// would otherwise keep the admission of a job waiting.
    pub(super) fn write_reserve(self) -> f64 {
        match self {
            RequestPriority::TaskEnds => 0.4,
            RequestPriority::TaskStarts => 0.5,
            // Only while nothing else uses the limit.
            RequestPriority::Background => 0.8,
            RequestPriority::LeaseUpkeep | RequestPriority::Admission | RequestPriority::Reads => {
                self.request_reserve()
            }
        }
    }
}
