//! Property tests of the ledger, its recovery, and floors, over random sequences of steps.

mod events;
mod grants;
mod ledger;
mod placement;
mod recovery;
