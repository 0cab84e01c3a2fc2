//! The worker stand-in: slots, connections, tasks under leases with epochs, late usage.

pub mod link;
pub mod server;
pub mod tasks;
