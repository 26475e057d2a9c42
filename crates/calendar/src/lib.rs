//! Capacity reservations and maintenance windows: admission, conflicts, recurrence, and the constraints
//! on placement and scale-out. Every result depends only on the calendar, the request and the time passed
//! in; nothing here does I/O or reads a clock.

pub mod admission;
pub mod amount;
pub mod calendar;
pub mod constraints;
pub mod entry;
pub mod recur;
pub mod rejection;
pub mod timeline;
