//! Stand-in for the users' platform, written from its protocol documentation: a store with rows and
//! objects, and workers that hold leases under a fencing token. It shares no types with the adapter,
//! so that a wrong name in the adapter fails a test.

pub mod rows;
pub mod worker;

use serde_json::{Value, json};

/// A catalogue with one queue, whose jobs run on the workers of this stand-in.
pub fn catalogue(queue: &str, host: &str, prefix: &str) -> Value {
    json!({
        "version": 1,
        "routes": [{
            "name": queue, "host": host, "prefix": prefix, "service": "trail", "priority": 0,
            "attempts": 2, "stretch": 2.0, "targetCompletionMs": 1000,
        }],
        "services": [{ "name": "trail" }],
        "limits": { "maxBodyBytes": 262_144 },
    })
}
