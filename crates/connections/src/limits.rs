//! Limits on connections, computed from the resources of the process.

/// The resources that a process may use, as its settings name them.
#[derive(Clone, Copy, Debug)]
pub struct ProcessLimits {
    /// Open sockets and files.
    pub sockets: usize,
    /// Memory, in bytes.
    pub mem_bytes: usize,
    /// Controllers of the cluster, this one included.
    pub controllers: usize,
    /// Connections that this process opens itself, to services and single workers.
    pub outgoing: usize,
}

/// Memory of an idle connection in bytes: as measured (docs/capacity.md), rounded up.
pub const IDLE_CONNECTION_BYTES: usize = 4 * 1024;
/// Capacity in bytes above which the buffers of an idle connection are freed.
pub const RETAINED_BUFFER_BYTES: usize = 2 * 1024;
/// One part in so many of the memory may go to connections: half of it while idle, half to partial requests.
const MEMORY_DIVISOR: usize = 4;
/// File descriptors that are no connections: listeners, the event loop, the standard streams, and some to spare.
const NON_CONNECTION_FILES: usize = 24;
/// Connections that one peer may have here at a time: those of its earlier processes may not be noticed as dead yet.
const CONNECTIONS_PER_PEER: usize = 4;
/// Percentage of the sockets left to closed connections that the kernel has not released yet.
const KERNEL_RESERVE_PERCENT: usize = 5;
/// Percentage of the client connections guaranteed to workers.
const WORKER_PERCENT: usize = 70;
/// Percentage of the client connections guaranteed to users.
const USER_PERCENT: usize = 20;
/// Percentage of the client connections in use from which users are asked to reconnect for each request.
const RECONNECT_PERCENT: usize = 85;
/// Connections guaranteed to the probes of load balancers and operators.
const PROBE_FLOOR: usize = 4;
/// Client connections that a process serves however few resources it has.
const MIN_CLIENTS: usize = 16;

/// Limits on the connections that other programs open to a controller.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct ConnectionLimits {
    /// Most connections of workers, users and probes together.
    pub max_clients: usize,
    /// Connections guaranteed to workers.
    pub worker_floor: usize,
    /// Connections guaranteed to users.
    pub user_floor: usize,
    /// Connections guaranteed to probes.
    pub probe_floor: usize,
    /// Most connections on which nothing has been requested yet.
    pub max_unidentified: usize,
    /// Number of client connections from which users are asked to reconnect for each request.
    pub reconnect_threshold: usize,
    /// Most connections of other controllers.
    pub max_peers: usize,
    /// Most bytes of partially received requests, all together.
    pub max_partial_bytes: usize,
}

impl From<ProcessLimits> for ConnectionLimits {
    fn from(process: ProcessLimits) -> ConnectionLimits {
        let max_peers = CONNECTIONS_PER_PEER * process.controllers.max(1);
        let reserved = NON_CONNECTION_FILES + max_peers + process.controllers + process.outgoing;
        let by_sockets =
            process.sockets.saturating_sub(reserved) * (100 - KERNEL_RESERVE_PERCENT) / 100;
        let memory = process.mem_bytes / MEMORY_DIVISOR;
        let by_memory = memory / 2 / IDLE_CONNECTION_BYTES;
        let max_clients = by_sockets.min(by_memory).max(MIN_CLIENTS);
        let percentage = |percent: usize| (max_clients * percent / 100).max(1);
        let worker_floor = percentage(WORKER_PERCENT);
        let user_floor = percentage(USER_PERCENT);
        let max_unidentified = (max_clients - worker_floor - user_floor)
            .saturating_sub(PROBE_FLOOR)
            .max(1);
        ConnectionLimits {
            max_clients,
            worker_floor,
            user_floor,
            probe_floor: PROBE_FLOOR,
            max_unidentified,
            reconnect_threshold: percentage(RECONNECT_PERCENT),
            max_peers,
            max_partial_bytes: memory / 2,
        }
    }
}
