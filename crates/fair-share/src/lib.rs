//! Scheduling policy under contention: quota grants, backfill reservations, and the queue order
//! when capacity is short.

pub mod backfill;
pub mod grants;
pub mod shortage;
