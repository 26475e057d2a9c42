//! The actors of a controller (leases, shard schedulers, job API, reservations, DAG runs, drains, autoscaler) and the
//! modules that they share.

pub mod api;
pub mod autoscaler;
pub mod cloud_client;
mod conditional_write;
pub mod config;
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
pub mod shard_capacity;
pub mod storage_budget;
mod unavailable;
mod zone_rule;
