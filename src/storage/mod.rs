//! What is known and kept: a mirror of the records, and the client of the state service.

pub mod kv_client;
pub mod record_cache;
