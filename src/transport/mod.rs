//! Sockets, HTTP, and the event loop that drives a controller. Contains no decisions about jobs or machines.

pub mod event_loop;
pub mod http;
pub mod socket;
