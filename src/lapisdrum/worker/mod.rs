//! Interface to workers over HTTP: requests, leased tasks, claims and resource use.

pub mod client;
pub mod wire;
