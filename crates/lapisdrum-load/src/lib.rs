//! Load driver and experiments over the stand-ins: prints its tables and writes them as JSON.
//!
//! Daemons and stand-ins run as processes of this same binary, so that a daemon's processor time and
//! memory can be read apart from everybody else's. Each experiment is a module and a subcommand.

pub mod args;
pub mod capacity;
pub mod catalogue;
pub mod entries;
pub mod ledger;
pub mod measure;
pub mod policy;
pub mod recovery;
pub mod requests;
pub mod site;
pub mod table;
pub mod takeover;
