//! The edge to workers: requests, tasks under leases, claims and usage over HTTP.

pub mod client;
pub mod wire;
