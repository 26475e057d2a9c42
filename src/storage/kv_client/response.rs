//! The outcomes of requests to the key-value store, as far as a response or its absence proves them.

use crate::effects::CallOutcome;
use snowshelf_model::ids::{LeaseId, Version};
use snowshelf_model::protocol::state::{
    KeyNotFound, KeyValue, LeaseResponse, RangePage, SwapApplied, SwapConflict, WatchEvents,
};

/// The outcome of a compare-and-swap.
#[derive(Debug)]
#[must_use]
pub enum SwapOutcome {
    /// Applied at this revision.
    Applied(Version),
    /// Not applied: these keys did not have the expected versions.
    Conflict(Vec<String>),
    /// Not applied: the lease that it depends on has expired.
    LeaseExpired,
    /// Not applied, and a retry would fail as well: too large or malformed.
    Rejected,
    /// Not applied; it may be retried.
    NotApplied,
    /// It may have been applied, or may yet be.
    Unknown,
}

/// The outcome of reading one key.
#[derive(Debug)]
#[must_use]
pub enum GetOutcome {
    /// The key's value and version.
    Found(KeyValue),
    /// The key did not exist at this revision.
    NotFound(Version),
    /// No usable response.
    Failed,
}

/// The outcome of reading the events of a watch.
#[derive(Debug)]
#[must_use]
pub enum WatchOutcome {
    /// The events since the requested revision.
    Events(WatchEvents),
    /// The store no longer retains the events since the requested revision. All records must be listed again.
    RevisionCompacted,
    /// No usable response.
    Failed,
}

/// The outcome of a lease renewal.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
#[must_use]
pub enum RenewalOutcome {
    /// The lease is extended by its time to live.
    Renewed,
    /// The lease has expired.
    LeaseExpired,
    /// No usable response.
    Failed,
}

/// The outcome of a request.
#[derive(Debug)]
#[must_use]
pub enum KvResponse {
    /// The outcome of a compare-and-swap or of a check of versions.
    Swap(SwapOutcome),
    /// The outcome of reading one key.
    Get(GetOutcome),
    /// A page of keys; `None` if the request failed.
    List(Option<RangePage>),
    /// The outcome of reading the events of a watch.
    Watch(WatchOutcome),
    /// A new lease; `None` if the request failed.
    LeaseGrant(Option<LeaseId>),
    /// The outcome of a lease renewal.
    Renewal(RenewalOutcome),
}

/// Logs a response whose kind does not match the request.
pub fn unexpected_response(request: &impl std::fmt::Debug) {
    tracing::error!(?request, "response of unexpected kind");
}

/// The kind of a request, which decides how its response is interpreted.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum RequestKind {
    Swap,
    Get,
    List,
    Watch,
    LeaseGrant,
    Renewal,
}

/// Used in place of an HTTP status if no response was received.
const NO_STATUS: u16 = 0;

/// Interprets the outcome of a call.
pub(super) fn interpret(kind: RequestKind, outcome: &CallOutcome) -> KvResponse {
    let (status, body): (u16, &[u8]) = match outcome {
        CallOutcome::Response { status, body } => (*status, body),
        CallOutcome::NotSent => (503, b""),
        CallOutcome::Unanswered => (NO_STATUS, b""),
    };
    match kind {
        RequestKind::Swap => KvResponse::Swap(swap_outcome(status, body)),
        RequestKind::Get => KvResponse::Get(get_outcome(status, body)),
        RequestKind::List => KvResponse::List(if status == 200 { parse(body) } else { None }),
        RequestKind::Watch => KvResponse::Watch(watch_outcome(status, body)),
        RequestKind::LeaseGrant => KvResponse::LeaseGrant(if status == 200 {
            parse::<LeaseResponse>(body).map(|response| response.lease)
        } else {
            None
        }),
        RequestKind::Renewal => KvResponse::Renewal(match status {
            200 => RenewalOutcome::Renewed,
            404 => RenewalOutcome::LeaseExpired,
            _ => RenewalOutcome::Failed,
        }),
    }
}

fn parse<'a, T: serde::Deserialize<'a>>(body: &'a [u8]) -> Option<T> {
    match serde_json::from_slice(body) {
        Ok(value) => Some(value),
        Err(error) => {
            tracing::error!(%error, "key-value store response unreadable");
            None
        }
    }
}

fn swap_outcome(status: u16, body: &[u8]) -> SwapOutcome {
    match status {
        200 => match parse::<SwapApplied>(body) {
            Some(applied) => SwapOutcome::Applied(applied.revision),
            None => SwapOutcome::Unknown,
        },
        409 => match parse::<SwapConflict>(body) {
            Some(conflict) => SwapOutcome::Conflict(conflict.failed),
            None => SwapOutcome::NotApplied,
        },
        400 => {
            let body = String::from_utf8_lossy(body);
            tracing::info!(%body, "compare-and-swap rejected");
            if body.contains("lease") {
                SwapOutcome::LeaseExpired
            } else {
                SwapOutcome::Rejected
            }
        }
        429 | 503 => SwapOutcome::NotApplied,
        // Any other status leaves open whether the swap was applied.
        _ => SwapOutcome::Unknown,
    }
}

fn get_outcome(status: u16, body: &[u8]) -> GetOutcome {
    match status {
        200 => parse::<KeyValue>(body).map_or(GetOutcome::Failed, GetOutcome::Found),
        404 => parse::<KeyNotFound>(body).map_or(GetOutcome::Failed, |not_found| {
            GetOutcome::NotFound(not_found.revision)
        }),
        _ => GetOutcome::Failed,
    }
}

fn watch_outcome(status: u16, body: &[u8]) -> WatchOutcome {
    match status {
        200 => parse(body).map_or(WatchOutcome::Failed, WatchOutcome::Events),
        410 => WatchOutcome::RevisionCompacted,
        _ => WatchOutcome::Failed,
    }
}
