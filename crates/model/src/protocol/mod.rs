//! The formats of everything outside the process. The wire's own names appear in this module and nowhere
//! else; each submodule maps them to the terms that the rest of the code uses.

pub mod cloud;
pub mod peer;
pub mod state;
pub mod user;
pub mod worker;
