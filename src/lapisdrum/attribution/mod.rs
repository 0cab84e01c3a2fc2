//! Latency attribution: what jobs spent their time on, derived from daemons' log lines alone.
//!
//! An operator who investigates a late job has the job's id and the logs of all daemons.
//! [`log_line`] parses the log lines, [`trace`] groups their events by job and shard, [`path`]
//! divides a job's critical path into spans by what the job waited for, and [`totals`] sums the
//! spans by entry, data centre or second. None of it performs I/O.

pub mod log_line;
pub mod path;
pub mod totals;
pub mod trace;
