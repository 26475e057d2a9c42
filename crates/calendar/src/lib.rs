//! Reservations of capacity ahead, and maintenance windows: what fits, what clashes with what, when a
//! window comes again. Pure: every answer follows from the calendar, the question and the time.

pub mod admission;
pub mod amount;
pub mod calendar;
pub mod entry;
pub mod guard;
pub mod recur;
pub mod refusal;
pub mod timeline;
