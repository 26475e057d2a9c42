//! Admission control for client connections: how many a controller accepts within its sockets and memory, and
//! which idle connection it closes for a new one, so that workers, users and silent clients cannot starve each other.
//! Nothing here does input or output.

pub mod limits;
pub mod table;
