//! Who decides what: ownership of parts, a part's scheduler, the users' gateway, the leader's fleet.

pub mod api;
pub mod autoscaler;
mod conditional_write;
pub mod context;
pub mod controller;
pub mod dag_runs;
pub mod dependencies;
pub mod drains;
pub mod format_migration;
pub mod gossip;
pub mod images;
mod lease_renewal;
pub mod leases;
mod list_request;
pub mod list_watch;
mod pending_requests;
pub mod placement;
mod query;
pub mod reachability;
mod request_error;
pub mod reservations;
pub mod shard;
mod unavailable;
