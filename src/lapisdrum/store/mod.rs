//! Interface to the platform over HTTP: transactional table, object store and membership list.

pub mod client;
pub mod wire;
