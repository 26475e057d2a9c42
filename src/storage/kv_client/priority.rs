//! Priorities of requests, and the fraction of the rate limit that each reserves for higher priorities.

/// The priority of a request by its purpose. Lower priorities leave a reserve of the rate limit to higher ones.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum RequestPriority {
    /// Lease renewals, lease acquisitions and the watch.
    LeaseUpkeep,
    /// Requests that a user's request waits for.
    Admission,
    /// Writes of finished and requeued tasks.
    TaskEnds,
    /// Writes of task starts, and the requests that these depend on.
    TaskStarts,
    /// Writes that can be deferred.
    Background,
    /// Reads that no other request waits for.
    Reads,
}

impl RequestPriority {
    /// The fraction of one second's requests that must remain available after a request of this priority.
    pub(super) fn request_reserve(self) -> f64 {
        match self {
            RequestPriority::LeaseUpkeep => 0.0,
            RequestPriority::Admission => 0.1,
            RequestPriority::TaskEnds => 0.15,
            RequestPriority::TaskStarts => 0.25,
            RequestPriority::Reads | RequestPriority::Background => 0.3,
        }
    }

    /// The fraction of one second's writes that must remain available after a write of this priority. The
    /// limit of writes is lower than that of requests, so a larger fraction is reserved. Otherwise a stream of
    /// small writes would delay the admission of jobs.
    pub(super) fn write_reserve(self) -> f64 {
        match self {
            RequestPriority::TaskEnds => 0.4,
            RequestPriority::TaskStarts => 0.5,
            // Background writes are made only while the limit is otherwise unused.
            RequestPriority::Background => 0.8,
            RequestPriority::LeaseUpkeep | RequestPriority::Admission | RequestPriority::Reads => {
                self.request_reserve()
            }
        }
    }
}
