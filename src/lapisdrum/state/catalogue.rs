//! The catalogue as a daemon holds it: entries under one revision that only rises.
//!
//! A change is a compare-and-set on its entry and on the revision. A daemon adopts a catalogue only
//! when its revision is greater than its own, so news that arrives late, twice or out of order
//! never brings an older state back.

use crate::core::{
    catalogue::{Entry, RawEntry},
    id::{ChangeId, EntryName, Revision},
};
use indexmap::IndexMap;

data! {
    /// The table row of an entry: what the operator wrote and when it came into force.
    pub struct EntryRow {
        /// The entry as written.
        pub raw: RawEntry,
        /// The revision that wrote this row.
        pub revision: Revision,
        /// The operator's id for the change.
        pub change: ChangeId,
    }

    /// The table row of the revision.
    #[derive(Default)]
    pub struct RevisionRow {
        /// The greatest accepted revision.
        pub revision: Revision,
    }

    /// One accepted change, as kept for followers and for the history.
    pub struct ChangeRow {
        /// The revision that it made.
        pub revision: Revision,
        /// The entry.
        pub name: EntryName,
        /// The entry's row since then.
        pub row: EntryRow,
    }

    /// A whole catalogue at one revision.
    #[derive(Default)]
    pub struct Catalogue {
        /// Its revision.
        pub revision: Revision,
        /// Its rows by name.
        pub rows: IndexMap<EntryName, EntryRow>,
    }
}

/// Why a change was not made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangeRefusal {
    /// The entry is at another revision than the operator named.
    Conflict {
        /// The entry's revision; 0 when there is none.
        current: Revision,
    },
    /// The entry exists and the operator named no revision.
    Unconditional {
        /// The entry's revision.
        current: Revision,
    },
}

/// Checks a change against the entry's present row and the revision that the operator saw.
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
    /// Takes `newer` over if its revision is greater; tells whether it did.
    pub fn adopt(&mut self, newer: Self) -> bool {
        if newer.revision <= self.revision {
            return false;
        }
        *self = newer;
        true
    }

    /// Applies the very next change; tells whether it did. A change with a gap before it has to wait
    /// for those in between, or the catalogue would hold a state that was never in force.
    pub fn apply(&mut self, change: &ChangeRow) -> bool {
        if change.revision.0 != self.revision.0 + 1 {
            return false;
        }
        self.rows.insert(change.name.clone(), change.row.clone());
        self.revision = change.revision;
        true
    }

    /// A checked entry, with its revision.
    pub fn entry(&self, name: &EntryName) -> Option<Entry> {
        let row = self.rows.get(name)?;
        let entry = Entry::try_from(row.raw.clone()).ok()?;
        Some(Entry {
            revision: row.revision,
            ..entry
        })
    }
}
