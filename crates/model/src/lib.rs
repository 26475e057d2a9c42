//! What snowshelf's packages share: names, versions and times; the records in the key-value store; the
//! formats on the wire. Plain data and pure functions.

pub mod ids;
pub mod protocol;
pub mod records;
pub mod task_ranges;
