//! Tests of the real binary: daemons, workers and platform as separate processes.

mod changes;
mod connections;
mod crowds;
mod faults;
mod odd_entries;
mod outages;
mod ownership;
mod pressure;
mod runs;
mod thin_path;
mod users_platform;
