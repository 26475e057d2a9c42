//! The numbers, worked out from what a process may use.

/// What a process may use.
#[derive(Clone, Copy, Debug)]
pub struct ProcessLimits {
    pub sockets: usize,
    pub mem_bytes: usize,
    /// Controllers, this one included.
    pub nodes: usize,
    /// Connections that this process opens itself, to services and single workers.
    pub own: usize,
}

/// What a connection holds while nothing is underway on it, as measured (docs/sizes.md), rounded up.
pub const IDLE_BYTES: usize = 4 * 1024;
/// Buffers of an idle connection above this are given back.
pub const KEPT_BYTES: usize = 2 * 1024;
/// The share of the memory that connections may take: half of it when idle, half for what is underway.
const MEMORY_SHARE: usize = 4;
/// Files that are no connections: listeners, the event loop, the standard ones, and some to spare.
const FILES: usize = 24;
/// Connections that one peer may have here at a time: those of its last lives may not be noticed as dead yet.
const LIVES: usize = 4;
/// Connections in a hundred that are left to what the kernel still holds of closed ones.
const SPARE: usize = 5;
/// Of a hundred connections, those that workers and users can always have, and those for whoever has not said
/// yet what it is.
const WORKERS: usize = 70;
const USERS: usize = 20;
/// From so many of a hundred on, users are asked to connect anew for each request.
const PRESSED: usize = 85;
/// Probes of load balancers and operators, at the least.
const PROBES: usize = 4;

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct ConnectionLimits {
    /// Connections of workers, users and probes.
    pub most: usize,
    /// As many workers and users can never be crowded out by others.
    pub workers: usize,
    pub users: usize,
    pub probes: usize,
    /// Most connections that have not asked for anything yet.
    pub strangers: usize,
    /// From so many connections on, users are asked to connect anew for each request.
    pub pressed: usize,
    /// Connections of other controllers.
    pub peers: usize,
    /// Bytes of requests that have come in part only, all together.
    pub underway_bytes: usize,
}

impl ConnectionLimits {
    pub fn of(means: ProcessLimits) -> ConnectionLimits {
        let peers = LIVES * means.nodes.max(1);
        let reserved = FILES + peers + means.nodes + means.own;
        let by_sockets = means.sockets.saturating_sub(reserved) * (100 - SPARE) / 100;
        let memory = means.mem_bytes / MEMORY_SHARE;
        let by_memory = memory / 2 / IDLE_BYTES;
        // A process that is given next to nothing serves a few all the same.
        let most = by_sockets.min(by_memory).max(16);
        let percentage_of_most = |percent: usize| (most * percent / 100).max(1);
        let (workers, users) = (percentage_of_most(WORKERS), percentage_of_most(USERS));
        ConnectionLimits {
            most,
            workers,
            users,
            probes: PROBES,
            strangers: (most - workers - users).saturating_sub(PROBES).max(1),
            pressed: percentage_of_most(PRESSED),
            peers,
            underway_bytes: memory / 2,
        }
    }
}
