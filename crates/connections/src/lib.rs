//! How many connections a controller keeps, by its sockets and memory; whom it lets go of when it is full,
//! so that neither workers nor users, nor whoever connects and says nothing, can crowd the others out.

pub mod limits;
pub mod table;
