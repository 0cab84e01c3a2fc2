//! The integration tests: one binary, with a module for each subject.

mod attribution;
mod bad_input;
mod cli;
mod daemon;
mod metrics;
mod model;
mod policy;
mod process;
mod properties;
mod requests;
mod sched;
mod settings;
mod support;
mod timeline;
