//! Tests of one daemon's parts in this process, against the platform stand-in.

mod index;
mod journal;
mod members;
