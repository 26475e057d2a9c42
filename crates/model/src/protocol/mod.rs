//! Wire formats of the messages to users, workers, other controllers, the key-value store and the
//! cloud. Each submodule maps the names on the wire to the terms that the rest of the code uses.

pub mod cloud;
pub mod peer;
pub mod state;
pub mod user;
pub mod worker;
