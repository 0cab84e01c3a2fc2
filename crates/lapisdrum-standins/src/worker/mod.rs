//! The worker stand-in: request slots, tasks under leases with epochs, and aged usage reports.

pub mod link;
pub mod server;
pub mod tasks;
