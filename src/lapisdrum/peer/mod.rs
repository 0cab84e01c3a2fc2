//! The edge between daemons: one tarpc service whose calls carry time-line stamps both ways.

pub mod client;
pub mod server;
pub mod wire;
