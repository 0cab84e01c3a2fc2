//! Catalogue entries for experiments.

use lapisdrum::core::catalogue::RawEntry;

/// Limit on concurrency and queue length that no experiment reaches.
const NO_EFFECTIVE_LIMIT: u32 = 1_000_000;

/// An entry that asks for few resources (10 millicores, 10 MB) and has no effective limits.
pub fn small(name: &str, class: &str) -> RawEntry {
    RawEntry {
        name: name.to_owned(),
        owner: "trail".to_owned(),
        class: class.to_owned(),
        millicores: 10,
        memory_mb: 10,
        accelerators: 0,
        concurrency: Some(NO_EFFECTIVE_LIMIT),
        rate_per_s: None,
        queue: Some(NO_EFFECTIVE_LIMIT),
        body_bytes: None,
        idempotent: false,
        deadline_ms: None,
        hold_ms: None,
        max_failures: None,
        priority: None,
        retired: false,
    }
}
