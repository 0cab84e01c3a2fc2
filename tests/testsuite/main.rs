//! The one test binary: a module a subject.

mod bad_input;
mod cli;
mod daemon;
mod metrics;
mod policy;
mod process;
mod requests;
mod settings;
mod support;
mod timeline;
