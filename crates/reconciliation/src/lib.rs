//! What a controller concludes when it starts or acquires a shard: which records to read first, what a
//! worker's heartbeat and the records prove together, and what missing heartbeats mean. Pure: no clock, no
//! socket.

pub mod decision_table;
mod findings;
pub mod silence;
pub mod startup_read;
