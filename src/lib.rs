//! snowshelf, a cluster scheduler. `docs/architecture.md` describes how its modules work together, and
//! `docs/design.md` explains the design decisions.

pub mod coordination;
pub mod effects;
pub mod operator;
pub mod settings;
pub mod storage;
pub mod transport;
