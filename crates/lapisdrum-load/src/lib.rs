//! Load driver and experiments that run against the stand-ins; prints tables and writes them as JSON.
//!
//! Daemons and stand-ins run as separate processes of the same binary, so that the processor time and
//! memory of each daemon can be read by itself. Each experiment is a module and a subcommand.

pub mod args;
pub mod capacity;
pub mod catalogue;
pub mod ends;
pub mod entries;
pub mod ledger;
pub mod measure;
pub mod policy;
pub mod recovery;
pub mod requests;
pub mod site;
pub mod table;
pub mod takeover;
