//! The platform stand-in: transactional table, object store, lagging membership list.

pub mod server;
pub mod table;
