//! The time line: what happened in a daemon, in an order that holds over all processes.
//!
//! Each daemon keeps a bounded ring of typed events under a hybrid logical clock. Peer calls carry
//! stamps both ways, so an effect never sorts before its cause, also where the hosts' clocks are
//! minutes apart.

pub mod event;
pub mod ring;
