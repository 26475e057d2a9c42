//! What a controller concludes when it starts, or takes a part over: what of the state service to read
//! first, and what a worker's report proves about what is stored. Pure: no clock, no socket.

pub mod decision_table;
pub mod silence;
pub mod startup_read;
