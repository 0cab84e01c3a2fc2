//! Stand-in for the users' platform, written from its protocol documentation: a store with rows and
//! objects, and workers that hold leases under a fencing token. It shares no types with the adapter,
//! so that a wrong name in the adapter fails a test.

pub mod rows;
pub mod worker;
