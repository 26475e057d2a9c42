//! snowshelf: a cluster scheduler. See `docs/design.md`.

pub mod bookkeeping;
pub mod coordination;
pub mod operator;
pub mod outbox;
pub mod settings;
pub mod transport;
