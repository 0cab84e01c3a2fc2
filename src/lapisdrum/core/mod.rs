//! Validated types that all other modules share: names, sizes, time, catalogue entries, jobs.
//!
//! Raw input is converted to these types by `TryFrom` where it enters the process and is not
//! validated again after that.

pub mod catalogue;
pub mod id;
pub mod job;
pub mod outcome;
pub mod random;
pub mod size;
pub mod time;
