//! The catalogue at this daemon: follows the revision, passes news on, takes operators' changes.
//!
//! A change is one transaction over its entry's row and the revision's row, so of two operators who
//! race one gets a conflict that names the revision in force. A daemon serves nobody before it has
//! the greatest revision that table or peers can name.

use super::{Cx, supervisor};
use crate::{
    core::{
        catalogue::{Entry, EntryFaults, RawEntry},
        id::{ChangeId, EntryName, Revision},
    },
    peer::wire::{PeerReply, PeerRequest},
    platform::{
        client::{PlatformError, TxnOutcome},
        wire::{Row, Txn},
    },
    state::catalogue::{self, Catalogue, ChangeRefusal, ChangeRow, EntryRow, RevisionRow},
    timeline::event::Happening,
};
use std::rc::Rc;

/// Key prefix of all catalogue rows.
const PREFIX: &str = "catalogue/";
/// Key of the revision's row.
const REVISION_KEY: &str = "catalogue/revision";
/// Key prefix of entries' rows.
const ENTRY_PREFIX: &str = "catalogue/entry/";
/// Tries of a change whose entry is untouched but whose revision was raised by another's change.
const CHANGE_TRIES: usize = 8;

/// How an operator's change ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangeEnd {
    /// It is in; the revision that it made.
    Accepted(Revision),
    /// It is not in: somebody else changed the entry, or no revision was named.
    Refused(ChangeRefusal),
    /// It is not in: the entry has faults.
    Invalid(EntryFaults),
    /// It is not in: the table can't be reached.
    StoreAway,
    /// It may be in; repeat it with the same change id.
    Unknown,
}

/// Follows the catalogue until the process ends.
pub async fn follow(cx: Cx) -> eyre::Result<()> {
    loop {
        let outcome = match cx.catalogue_ready.get() {
            true => poll(&cx).await,
            false => first(&cx).await,
        };
        if outcome.is_ok() && !cx.catalogue_ready.replace(true) {
            cx.timeline.record(Happening::DaemonReady {});
            log::info!(
                "ready at catalogue revision {}",
                cx.catalogue.borrow().revision
            );
        }
        tokio::time::sleep(cx.cfg.catalogue.poll).await;
    }
}

/// Before serving: the table's catalogue, or the greatest that a peer has while the table is away.
async fn first(cx: &Cx) -> Result<(), PlatformError> {
    let from_table = fetch(cx).await;
    if from_table.is_ok() || ask_peers(cx).await {
        return Ok(());
    }
    from_table
}

async fn poll(cx: &Cx) -> Result<(), PlatformError> {
    let row = cx.platform.get(REVISION_KEY).await?;
    let row = row
        .and_then(|row| row.parse::<RevisionRow>())
        .unwrap_or_default();
    if row.revision > cx.catalogue.borrow().revision {
        fetch(cx).await?;
    }
    Ok(())
}

async fn fetch(cx: &Cx) -> Result<(), PlatformError> {
    let rows = cx.platform.list(PREFIX).await?;
    adopt(cx, from_rows(&rows));
    Ok(())
}

fn from_rows(rows: &[Row]) -> Catalogue {
    let mut catalogue = Catalogue::default();
    for row in rows {
        if row.key == REVISION_KEY {
            catalogue.revision = row.parse::<RevisionRow>().unwrap_or_default().revision;
        } else if let Some(name) = row.key.strip_prefix(ENTRY_PREFIX)
            && let (Ok(name), Some(entry)) = (EntryName::try_from(name), row.parse::<EntryRow>())
        {
            catalogue.rows.insert(name, entry);
        }
    }
    catalogue
}

/// Takes a catalogue over if it is newer, and tells the peers.
fn adopt(cx: &Cx, newer: Catalogue) {
    let revision = newer.revision;
    if !cx.catalogue.borrow_mut().adopt(newer) {
        return;
    }
    cx.metrics
        .revision
        .set(i64::try_from(revision.0).unwrap_or(i64::MAX));
    cx.timeline.record(Happening::RevisionApplied { revision });
    log::info!("catalogue revision {revision} is in force");
    for address in peer_addresses(cx) {
        let cx = Rc::clone(cx);
        supervisor::spawn("catalogue-news", async move {
            // A peer that misses the news finds the revision at its next poll.
            let _ = cx.peers.call(&address, PeerRequest::News(revision)).await;
        });
    }
}

fn peer_addresses(cx: &Cx) -> Vec<String> {
    let members = cx.members.borrow();
    let seen = members
        .daemons
        .values()
        .map(|seen| seen.row.holder.address.clone());
    let mut list: Vec<String> = seen.collect();
    if list.is_empty() {
        list.extend(cx.cfg.daemon.ask_first.iter().map(ToString::to_string));
    }
    list.retain(|address| *address != cx.me.address);
    list
}

async fn ask_peers(cx: &Cx) -> bool {
    let mut heard = false;
    for address in peer_addresses(cx) {
        let known = cx.catalogue.borrow().revision;
        match cx.peers.call(&address, PeerRequest::Catalogue(known)).await {
            Ok(PeerReply::Catalogue(newer)) => {
                adopt(cx, newer);
                heard = true;
            }
            Ok(_) => heard = true,
            Err(_) => {}
        }
    }
    heard && cx.catalogue.borrow().revision > Revision::default()
}

/// The last `limit` changes, the latest first.
pub async fn history(cx: &Cx, limit: usize) -> Result<Vec<ChangeRow>, PlatformError> {
    let rows = cx.platform.list(ENTRY_PREFIX).await?;
    let mut changes: Vec<ChangeRow> = rows.iter().filter_map(last_change).collect();
    changes.sort_by_key(|change| std::cmp::Reverse(change.revision));
    changes.truncate(limit);
    Ok(changes)
}

/// The change that wrote an entry's row.
fn last_change(row: &Row) -> Option<ChangeRow> {
    let name = EntryName::try_from(row.key.strip_prefix(ENTRY_PREFIX)?).ok()?;
    let row = row.parse::<EntryRow>()?;
    Some(ChangeRow {
        revision: row.revision,
        name,
        row,
    })
}

/// Hears of a revision from a peer.
pub fn hear(cx: &Cx, revision: Revision) {
    if revision <= cx.catalogue.borrow().revision {
        return;
    }
    let cx = Rc::clone(cx);
    supervisor::spawn("catalogue-fetch", async move {
        if fetch(&cx).await.is_err() {
            ask_peers(&cx).await;
        }
    });
}

/// Makes an operator's change.
pub async fn change(
    cx: &Cx,
    raw: RawEntry,
    if_match: Option<Revision>,
    change: ChangeId,
) -> ChangeEnd {
    let entry = match Entry::try_from(raw.clone()) {
        Ok(entry) => entry,
        Err(faults) => return ChangeEnd::Invalid(faults),
    };
    for _ in 0..CHANGE_TRIES {
        let stamp = cx.timeline.stamp();
        let end = try_change(cx, &entry.name, &raw, if_match, &change).await;
        if let Some(end) = end {
            if let ChangeEnd::Accepted(revision) = end {
                let accepted = Happening::ChangeAccepted {
                    entry: entry.name,
                    revision,
                };
                cx.timeline.record_at(stamp, accepted);
                // The next poll finds it where this read fails.
                let _ = fetch(cx).await;
            }
            return end;
        }
    }
    ChangeEnd::StoreAway
}

/// One try; none when another entry's change came first and this one may be tried again.
async fn try_change(
    cx: &Cx,
    name: &EntryName,
    raw: &RawEntry,
    if_match: Option<Revision>,
    change: &ChangeId,
) -> Option<ChangeEnd> {
    let entry_key = format!("{ENTRY_PREFIX}{name}");
    let (Ok(revision_row), Ok(entry_row)) = (
        cx.platform.get(REVISION_KEY).await,
        cx.platform.get(&entry_key).await,
    ) else {
        return Some(ChangeEnd::StoreAway);
    };
    let current = entry_row.as_ref().and_then(Row::parse::<EntryRow>);
    // A repeat of a change that is in already: its answer was lost.
    if let Some(current) = current.as_ref().filter(|row| row.change == *change) {
        return Some(ChangeEnd::Accepted(current.revision));
    }
    if let Err(refusal) = catalogue::check_change(current.as_ref(), if_match) {
        return Some(ChangeEnd::Refused(refusal));
    }
    let before = revision_row
        .as_ref()
        .and_then(Row::parse::<RevisionRow>)
        .unwrap_or_default();
    let revision = Revision(before.revision.0 + 1);
    let row = EntryRow {
        raw: raw.clone(),
        revision,
        change: change.clone(),
    };
    let version = |row: &Option<Row>| row.as_ref().map_or(0, |row| row.version);
    let txn = Txn::default()
        .compare(REVISION_KEY, version(&revision_row))
        .compare(entry_key.clone(), version(&entry_row))
        .put(REVISION_KEY, &RevisionRow { revision })
        .put(entry_key.clone(), &row);
    match cx.platform.txn(&txn).await {
        TxnOutcome::Committed(_) => Some(ChangeEnd::Accepted(revision)),
        TxnOutcome::Conflict(_) => None,
        TxnOutcome::Unknown(_) => Some(read_back(cx, &entry_key, change).await),
    }
}

/// After a lost answer: the entry's row tells whether the change is in. It may still be under way,
/// so a row without it proves nothing.
async fn read_back(cx: &Cx, entry_key: &str, change: &ChangeId) -> ChangeEnd {
    let row = cx.platform.get(entry_key).await.ok().flatten();
    match row.and_then(|row| row.parse::<EntryRow>()) {
        Some(row) if row.change == *change => ChangeEnd::Accepted(row.revision),
        _ => ChangeEnd::Unknown,
    }
}
