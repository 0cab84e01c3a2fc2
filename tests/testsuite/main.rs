//! The integration tests, in one binary to keep link times short.

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
