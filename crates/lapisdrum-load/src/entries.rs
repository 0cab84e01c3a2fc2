//! Catalogue entries of experiments.

use lapisdrum::core::catalogue::RawEntry;

/// Concurrency and queue that no experiment reaches.
const PLENTY: u32 = 1_000_000;

/// A small entry without practical limits.
pub fn small(name: &str, class: &str) -> RawEntry {
    RawEntry {
        name: name.to_owned(),
        owner: "trail".to_owned(),
        class: class.to_owned(),
        millicores: 10,
        memory_mb: 10,
        accelerators: 0,
        concurrency: Some(PLENTY),
        rate_per_s: None,
        queue: Some(PLENTY),
        body_bytes: None,
        idempotent: false,
        deadline_ms: None,
        hold_ms: None,
        max_failures: None,
        priority: None,
        retired: false,
    }
}
