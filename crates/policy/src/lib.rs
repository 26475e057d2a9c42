//! Who is served first when there is not enough for all.

pub mod grants;
pub mod holding;
pub mod shortage;
