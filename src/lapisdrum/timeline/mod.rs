//! The timeline: events of all daemons in causal order.
//!
//! Each daemon keeps a bounded ring buffer of typed events, stamped by a hybrid logical clock.
//! Calls between daemons carry stamps both ways, so an effect never sorts before its cause even if
//! the hosts' clocks differ by minutes.

pub mod event;
pub mod ring;
