//! Logs and counts the entries of the directory that are not used.
//!
//! Not only workers write to the directory, and an entry stays until its writer removes it, while
//! every owner reads it twice a second. So each entry is logged and counted once for each reason,
//! and only so many are remembered.

use super::{Cx, edge::RefusedEntry};
use indexmap::IndexSet;

/// Maximum number of entries that are remembered so that each is logged and counted once; further
/// ones are neither logged nor counted.
const MAX_ENTRIES: usize = 1_000;
/// Longest part of an entry's key that is logged, in characters.
const MAX_KEY_CHARS: usize = 200;

/// Entries that were logged and counted.
#[derive(Debug, Default)]
pub struct RefusedEntries {
    known: IndexSet<(String, &'static str)>,
    is_full: bool,
}

/// Logs and counts those of the entries that are new.
pub fn note(cx: &Cx, refused: &[RefusedEntry]) {
    let mut entries = cx.refused_entries.borrow_mut();
    for entry in refused {
        let key: String = entry.key.chars().take(MAX_KEY_CHARS).collect();
        let reason = entry.fault.reason();
        let known = (key, reason);
        if entries.known.contains(&known) {
            continue;
        }
        if entries.known.len() >= MAX_ENTRIES {
            if !std::mem::replace(&mut entries.is_full, true) {
                log::warn!(entries = MAX_ENTRIES; "further worker entries that are not used are neither logged nor counted");
            }
            return;
        }
        log::warn!(worker:% = known.0, reason, error:% = entry.fault; "worker entry is not used");
        cx.metrics.note_refused_entry(reason);
        entries.known.insert(known);
    }
}
