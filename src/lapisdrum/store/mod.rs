//! The edge to the platform: transactional table, object store and membership list over HTTP.

pub mod client;
pub mod wire;
