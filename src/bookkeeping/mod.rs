//! What is known and kept: a mirror of the records, and the client of the state service.

pub mod mirror;
pub mod store;
