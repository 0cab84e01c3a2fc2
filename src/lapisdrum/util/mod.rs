//! Helpers shared by all modules: backoff, error formatting and the HTTP server.

pub mod backoff;
pub mod error;
pub mod http;
