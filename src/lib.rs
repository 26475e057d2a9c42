//! snowshelf: a cluster scheduler. See `docs/design.md`.

pub mod coordination;
pub mod effects;
pub mod operator;
pub mod settings;
pub mod storage;
pub mod transport;
