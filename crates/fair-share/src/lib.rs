//! Who is served first when there is not enough for all.

pub mod backfill;
pub mod grants;
pub mod shortage;
