//! Tests of the real binary: daemons, workers and platform as separate processes.

mod faults;
mod thin_path;
