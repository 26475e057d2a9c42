//! snowshelf: a cluster scheduler. See `docs/design.md`.

pub mod bookkeeping;
pub mod coordination;
pub mod ids;
pub mod operator;
pub mod outbox;
pub mod protocol;
pub mod settings;
pub mod transport;
