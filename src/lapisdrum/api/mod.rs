//! The edge to callers and operators: HTTP/1.1 with JSON.

pub mod client;
pub mod jobs;
pub mod operators;
pub mod server;
pub mod status;
pub mod wire;
