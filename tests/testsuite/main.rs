//! The one test binary: a module a subject.

mod bad_input;
mod model;
mod process;
mod properties;
mod support;
