//! Checked types that every other module shares: names, sizes, time, catalogue entries, jobs.
//!
//! Raw input becomes one of these by `TryFrom` at an edge; past the edge nothing is checked again.

pub mod catalogue;
pub mod id;
pub mod job;
pub mod outcome;
pub mod size;
pub mod time;
