//! Small specifications of the core protocols, searched whole over the project's own functions.

mod catalogue;
mod explore;
mod handover;
mod ownership;
