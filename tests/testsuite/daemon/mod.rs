//! Components of a daemon, tested in this process against the platform stand-in.

mod index;
mod journal;
mod members;
