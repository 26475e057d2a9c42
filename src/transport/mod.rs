//! Sockets and the event loop. Nothing here decides anything.

pub mod http;
pub mod net;
pub mod socket;
