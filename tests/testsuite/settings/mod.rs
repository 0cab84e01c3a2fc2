//! Settings and catalogue files: documentation matches code, every fault is reported, examples are valid.

mod examples;
mod faults;
mod page;
mod platform;
