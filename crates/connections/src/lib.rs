//! Admission control for client connections: how many connections a controller accepts within its
//! limits on sockets and memory, and which idle connection it closes for a new one. It prevents
//! workers, users and silent clients from starving each other. This crate does no I/O.

pub mod limits;
pub mod table;
