//! Properties over sequences that proptest draws, on the real code.

mod events;
mod grants;
mod ledger;
mod placement;
mod recovery;
