//! The catalogue as a daemon holds it: its entries and one revision, which only increases.
//!
//! A change is a compare-and-set on its entry and on the revision. A daemon adopts a catalogue only
//! when its revision is greater than the daemon's own, so updates that arrive late, twice or out of
//! order never restore an older state.

use crate::core::{
    catalogue::{Entry, RawEntry},
    id::{ChangeId, EntryName, Revision},
};
use indexmap::IndexMap;

data! {
    /// The table row of an entry.
    pub struct EntryRow {
        /// The entry as the operator wrote it.
        pub raw: RawEntry,
        /// The revision that wrote this row.
        pub revision: Revision,
        /// The id that the operator's client gave the change.
        pub change: ChangeId,
    }

    /// The table row with the catalogue's revision.
    #[derive(Default)]
    pub struct RevisionRow {
        /// The greatest accepted revision.
        pub revision: Revision,
    }

    /// One accepted change, kept for daemons that catch up and for the history.
    pub struct ChangeRow {
        /// The catalogue's revision after the change.
        pub revision: Revision,
        /// The name of the changed entry.
        pub name: EntryName,
        /// The entry's row after the change.
        pub row: EntryRow,
    }

    /// All rows of the catalogue at one revision.
    #[derive(Default)]
    pub struct Catalogue {
        /// The revision of the last change applied; 0 before the first.
        pub revision: Revision,
        /// Active and retired entries.
        pub rows: IndexMap<EntryName, EntryRow>,
    }
}

/// Why a change was refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangeRefusal {
    /// The entry's revision is not the one that the operator expected.
    Conflict {
        /// The entry's revision; 0 when there is no such entry.
        current: Revision,
    },
    /// The entry exists and the operator gave no expected revision.
    Unconditional {
        /// The revision at which the entry was last changed.
        current: Revision,
    },
}

/// Checks that a change may be made to an entry with the row `current`. `if_match` is the revision
/// that the operator expects the entry to have; an absent entry counts as revision 0.
pub fn check_change(
    current: Option<&EntryRow>,
    if_match: Option<Revision>,
) -> Result<(), ChangeRefusal> {
    let revision = current.map(|row| row.revision).unwrap_or_default();
    match (current, if_match) {
        (None, None) => Ok(()),
        (Some(_), None) => Err(ChangeRefusal::Unconditional { current: revision }),
        (_, Some(seen)) if seen == revision => Ok(()),
        (_, Some(_)) => Err(ChangeRefusal::Conflict { current: revision }),
    }
}

impl Catalogue {
    /// Replaces this catalogue by `newer` if its revision is greater; returns whether it did.
    pub fn adopt(&mut self, newer: Self) -> bool {
        if newer.revision <= self.revision {
            return false;
        }
        *self = newer;
        true
    }

    /// Applies a change if it is the one after the present revision; returns whether it did. With a
    /// gap before it, the catalogue would get a state that was never in force.
    pub fn apply(&mut self, change: &ChangeRow) -> bool {
        if change.revision.0 != self.revision.0 + 1 {
            return false;
        }
        self.rows.insert(change.name.clone(), change.row.clone());
        self.revision = change.revision;
        true
    }

    /// The entry with its revision; `None` when it is absent or its row is not valid.
    pub fn entry(&self, name: &EntryName) -> Option<Entry> {
        let row = self.rows.get(name)?;
        let entry = Entry::try_from(row.raw.clone()).ok()?;
        Some(Entry {
            revision: row.revision,
            ..entry
        })
    }
}
