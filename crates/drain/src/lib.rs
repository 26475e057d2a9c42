//! Drains of machines, which are emptied and replaced in steps, and the disruption budget of each team that
//! limits their evictions. Pure functions: requests, records and the leader's view in, the next record out.

pub mod budget;
pub mod entry;
pub mod eviction;
pub mod stepping;
