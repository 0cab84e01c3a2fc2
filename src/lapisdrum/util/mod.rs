//! Helpers without a subject of their own.

pub mod backoff;
pub mod error;
pub mod http;
