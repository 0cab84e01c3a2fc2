//! The platform stand-in: a transactional table, an object store and a lagging membership list.

pub mod server;
pub mod table;
