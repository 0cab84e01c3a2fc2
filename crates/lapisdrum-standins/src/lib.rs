//! Stand-ins for the systems that the scheduler depends on: the platform's services and the workers.
//!
//! They run inside a test or example on the caller's runtime, or as separate processes (see
//! `examples/standins.rs`). Switches inject delays, unanswered calls and wrong answers. They are
//! fakes at the interfaces and do not simulate a cluster.

pub mod platform;
pub mod process;
pub mod site;
pub mod traffic;
pub mod users;
pub mod worker;
