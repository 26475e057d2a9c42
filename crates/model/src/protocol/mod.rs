//! The outside world's formats. The wire's own names appear here and nowhere else.

pub mod cloud;
pub mod peer;
pub mod state;
pub mod user;
pub mod worker;
