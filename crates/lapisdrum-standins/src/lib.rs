//! Small stand-ins for what surrounds the scheduler: the platform's services and workers.
//!
//! They run inside a test or example on the caller's runtime, or as processes of their own (see
//! `examples/standins.rs`). Switches make them slow, silent or wrong. They are fakes at the
//! interfaces, not a simulator of a cluster.

pub mod platform;
pub mod process;
pub mod site;
pub mod traffic;
pub mod users;
pub mod worker;
