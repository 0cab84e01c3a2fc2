//! Settings and catalogue files: page and code agree, every fault is named, the examples are good.

mod examples;
mod faults;
mod page;
mod platform;
