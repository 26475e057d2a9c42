//! Connection limits, computed from the resource limits of the process.

/// The resource limits of a process, and the connections that it needs besides those of clients.
#[derive(Clone, Copy, Debug)]
pub struct ProcessLimits {
    /// Maximum number of open file descriptors, including sockets.
    pub sockets: usize,
    /// Maximum memory, in bytes.
    pub mem_bytes: usize,
    /// Number of controllers of the cluster, including this one.
    pub controllers: usize,
    /// Maximum number of connections that this process opens to services and workers.
    pub outgoing: usize,
}

/// Memory of an idle connection in bytes, rounded up (docs/capacity.md).
pub const IDLE_CONNECTION_BYTES: usize = 4 * 1024;
/// Capacity in bytes above which a buffer of an idle connection is freed.
pub const RETAINED_BUFFER_BYTES: usize = 2 * 1024;
/// Connections may use this fraction (1 / `MEMORY_DIVISOR`) of the memory: half of it for idle
/// connections, half for partially received requests.
const MEMORY_DIVISOR: usize = 4;
/// File descriptors other than connections: listeners, the event loop, the standard streams, and some
/// in reserve.
const OTHER_DESCRIPTORS: usize = 24;
/// Maximum connections of one other controller. Those of its previous processes may not be detected
/// as dead yet.
const CONNECTIONS_PER_PEER: usize = 4;
/// Percentage of the sockets reserved for closed connections that the kernel has not released yet.
const KERNEL_RESERVE_PERCENT: usize = 5;
/// Percentage of the client connections guaranteed to workers.
const WORKER_PERCENT: usize = 70;
/// Percentage of the client connections guaranteed to users.
const USER_PERCENT: usize = 20;
/// Percentage of the client connections in use from which users must reconnect for each request.
const RECONNECT_PERCENT: usize = 85;
/// Connections guaranteed to readiness probes of load balancers and operators.
const PROBE_FLOOR: usize = 4;
/// Minimum limit on client connections, even if the resource limits allow fewer.
const MIN_CLIENTS: usize = 16;

/// Limits on incoming connections of a controller.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct ConnectionLimits {
    /// Maximum connections of workers, users, probes and unidentified clients together.
    pub max_clients: usize,
    /// Connections guaranteed to workers.
    pub worker_floor: usize,
    /// Connections guaranteed to users.
    pub user_floor: usize,
    /// Connections guaranteed to probes.
    pub probe_floor: usize,
    /// Maximum connections on which no request has been received yet.
    pub max_unidentified: usize,
    /// Number of client connections from which users must reconnect for each request.
    pub reconnect_threshold: usize,
    /// Maximum connections of other controllers.
    pub max_peers: usize,
    /// Maximum buffered bytes of all partially received requests together.
    pub max_partial_bytes: usize,
}

impl From<ProcessLimits> for ConnectionLimits {
    fn from(process: ProcessLimits) -> ConnectionLimits {
        let max_peers = CONNECTIONS_PER_PEER * process.controllers.max(1);
        let reserved = OTHER_DESCRIPTORS + max_peers + process.controllers + process.outgoing;
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
