//! The controller's access to stored records: a client of the key-value store, and a cache of the records.
//!
//! The cache does not send requests. The actors in `coordination` send them with the client and apply the
//! responses to the cache; `coordination::list_watch` keeps the cache current.

pub mod kv_client;
pub mod record_cache;
