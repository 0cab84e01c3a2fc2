//! Helpers shared by all modules: backoff, the identity of the build, error formatting and the HTTP
//! server.

pub mod backoff;
pub mod build;
pub mod error;
pub mod http;
