//! Types shared by all snowshelf packages: identifiers and times, the records in the key-value
//! store, and the wire formats. Plain data and pure functions, without input or output.

pub mod ids;
pub mod protocol;
pub mod records;
pub mod task_ranges;
