//! The one test binary: a module a subject.

mod bad_input;
mod daemon;
mod policy;
mod process;
mod requests;
mod support;
