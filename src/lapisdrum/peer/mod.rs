//! Interface between daemons: one tarpc service whose requests and replies carry timeline stamps.

pub mod client;
pub mod server;
pub mod wire;
