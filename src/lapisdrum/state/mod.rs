//! Pure transitions of everything that must last or must be agreed.
//!
//! No module here performs I/O or reads a clock: the daemon hands in rows, answers and times. The
//! same functions run under the model checker and the property tests.

pub mod catalogue;
pub mod claims;
pub mod event;
pub mod fencing;
pub mod grants;
pub mod ledger;
pub mod ownership;
pub mod shares;
