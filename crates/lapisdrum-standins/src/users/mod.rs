//! Stand-in for the users' platform, as its pages describe the wire: a store with rows and objects, and
//! workers that hold leases under a fencing token. It knows nothing of the adapter's types, so that a name
//! that the adapter gets wrong fails a test.

pub mod rows;
pub mod worker;
