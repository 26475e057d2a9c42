//! The decisions of a controller that starts or acquires a shard: in which order it reads the records, what
//! a worker's heartbeat and the records prove together, and when machines without heartbeats are released.
//! This crate performs no I/O and reads no clock.

pub mod decision_table;
mod findings;
pub mod silence;
pub mod startup_read;
