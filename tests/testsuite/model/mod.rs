//! Small specifications of the core protocols, searched whole over the project's own functions.

mod explore;
mod ownership;
