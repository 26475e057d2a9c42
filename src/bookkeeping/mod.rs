//! What is known and kept: the records, a mirror of them, and the client of the state service.

pub mod mirror;
pub mod packed;
pub mod records;
pub mod spans;
pub mod store;
