//! Specifications of the core protocols, explored exhaustively over the project's own functions.

mod catalogue;
mod earlier_owners;
mod explore;
mod handover;
mod leases;
mod moves;
mod ownership;
