//! Who decides what: ownership of parts, a part's scheduler, the users' gateway, the leader's fleet.

pub mod bookings;
pub mod controller;
pub mod drains;
pub mod env;
pub mod fleet;
pub mod gateway;
pub mod graph;
pub mod hearing;
pub mod images;
pub mod ownership;
pub mod peers;
pub mod placement;
mod query;
mod queue;
pub mod reader;
mod renewing;
pub mod runs;
pub mod shard;
pub mod upgrade;
