//! Who is served first when there is not enough for all: quota grants, backfill reservations, and the order under shortage.

pub mod backfill;
pub mod grants;
pub mod shortage;
