//! Pure state transitions of everything that must be durable or agreed between daemons.
//!
//! No module here performs I/O or reads a clock: the daemon passes rows, replies and times as
//! arguments. The model checker and the property tests run the same functions.

pub mod catalogue;
pub mod claims;
pub mod event;
pub mod fencing;
pub mod grants;
pub mod ledger;
pub mod ownership;
pub mod shares;
