//! The scheduler's library, which implements everything but the command line of the `lapisdrum`
//! binary.
//!
//! Modules are layered. [`core`] holds validated types, [`policy`] the scheduling decisions and
//! [`state`] the transitions of durable state; none of the three performs I/O or reads a clock.
//! [`daemon`] drives them. [`store`], [`worker`], [`peer`] and [`api`] are the edges. Each has its
//! own wire types, so that another wire format changes nothing behind it. [`ops`] implements the
//! commands of the command line, and [`attribution`] analyses log lines.

#[macro_use]
mod macros;

pub mod api;
pub mod attribution;
pub mod core;
pub mod daemon;
pub mod ops;
pub mod peer;
#[path = "../../platform/mod.rs"]
pub mod platform;
pub mod policy;
pub mod sched;
pub mod settings;
pub mod state;
pub mod store;
pub mod timeline;
pub mod util;
pub mod worker;
