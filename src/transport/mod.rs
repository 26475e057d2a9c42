//! Sockets, HTTP and the event loop around one controller. Nothing here decides anything about jobs or machines.

pub mod event_loop;
pub mod http;
pub mod socket;
