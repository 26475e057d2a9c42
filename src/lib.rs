//! snowshelf, a cluster scheduler. `docs/architecture.md` shows how its modules work together, `docs/design.md` why.

pub mod coordination;
pub mod effects;
pub mod operator;
pub mod settings;
pub mod storage;
pub mod transport;
