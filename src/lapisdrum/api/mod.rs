//! HTTP/1.1 API with JSON bodies for callers and operators, and its client.

pub mod client;
pub mod jobs;
pub mod operators;
pub mod server;
pub mod status;
pub mod wire;
