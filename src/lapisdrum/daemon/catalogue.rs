//! The catalogue at this daemon: follows the revision, passes changes on, takes operators' changes.
//!
//! A change is one transaction over its entry's row, the revision's row and a row of its own, so of
//! two operators who race one gets a conflict that names the revision in force. Followers read only
//! the changes that they lack. The daemon that made a change sends the change itself to all others,
//! and each that applies it passes it on to a few, so a daemon with a slow or absent platform gets it
//! too. A daemon serves nobody before it has the greatest revision that table or peers can name.

use super::{Cx, supervisor};
use crate::{
    core::{
        catalogue::{Entry, EntryFaults, RawEntry},
        id::{ChangeId, EntryName, Revision},
    },
    peer::wire::{PeerReply, PeerRequest},
    state::catalogue::{self, Catalogue, ChangeRefusal, ChangeRow, EntryRow, RevisionRow},
    store::{
        client::{PlatformError, TxnOutcome},
        wire::{Row, Txn},
    },
    timeline::event::{Happening, Stamp},
};
use indexmap::IndexMap;
use rand::seq::SliceRandom;
use std::{ops::Deref, rc::Rc};

/// Key of the revision's row.
const REVISION_KEY: &str = "catalogue/revision";
/// Key prefix of entries' rows.
const ENTRY_PREFIX: &str = "catalogue/entry/";
/// Key prefix of changes' rows.
const CHANGE_PREFIX: &str = "catalogue/change/";
/// Changes that are kept for followers and for the history.
const KEPT_CHANGES: u64 = 1_000;
/// Missing changes up to which a follower reads them one by one; beyond, all entries in one read.
const MOST_ONE_BY_ONE: u64 = 16;
/// Peers to which a daemon passes on a change that it heard of.
const PASS_ON: usize = 2;
/// Tries of a change whose entry is untouched but whose revision was raised by another's change.
const CHANGE_TRIES: usize = 8;

/// The catalogue in force, with its entries checked once and not at every look.
#[derive(Debug, Default)]
pub struct InForce {
    catalogue: Catalogue,
    entries: IndexMap<EntryName, Entry>,
}

impl InForce {
    /// The catalogue as it is passed between daemons.
    pub fn catalogue(&self) -> &Catalogue {
        &self.catalogue
    }

    /// A checked entry, with its revision.
    pub fn entry(&self, name: &EntryName) -> Option<Entry> {
        self.entries.get(name).cloned()
    }

    /// All checked entries.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    fn adopt(&mut self, newer: Catalogue) -> bool {
        if !self.catalogue.adopt(newer) {
            return false;
        }
        let names = self.catalogue.rows.keys();
        let checked = names.filter_map(|name| Some((name.clone(), self.catalogue.entry(name)?)));
        self.entries = checked.collect();
        true
    }

    fn apply(&mut self, change: &ChangeRow) -> bool {
        if !self.catalogue.apply(change) {
            return false;
        }
        match self.catalogue.entry(&change.name) {
            Some(entry) => self.entries.insert(change.name.clone(), entry),
            None => self.entries.swap_remove(&change.name),
        };
        true
    }
}

impl Deref for InForce {
    type Target = Catalogue;

    fn deref(&self) -> &Catalogue {
        &self.catalogue
    }
}

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
    catch_up(cx, row.revision).await
}

/// Reads what is missing up to `revision`: change by change when it is little.
async fn catch_up(cx: &Cx, revision: Revision) -> Result<(), PlatformError> {
    let known = cx.catalogue.borrow().revision;
    if revision.0.saturating_sub(known.0) > MOST_ONE_BY_ONE {
        return fetch(cx).await;
    }
    for missing in known.0 + 1..=revision.0 {
        let row = cx.platform.get(&change_key(Revision(missing))).await?;
        match row.and_then(|row| row.parse::<ChangeRow>()) {
            Some(change) => apply(cx, &change),
            None => return fetch(cx).await,
        }
    }
    Ok(())
}

fn change_key(revision: Revision) -> String {
    format!("{CHANGE_PREFIX}{:020}", revision.0)
}

async fn fetch(cx: &Cx) -> Result<(), PlatformError> {
    let rows = cx.platform.list(ENTRY_PREFIX).await?;
    adopt(cx, from_rows(&rows));
    Ok(())
}

/// Every change writes one entry's row, so the greatest revision in one reading of all of them is
/// the revision of the whole.
fn from_rows(rows: &[Row]) -> Catalogue {
    let mut catalogue = Catalogue::default();
    for row in rows {
        if let Some(name) = row.key.strip_prefix(ENTRY_PREFIX)
            && let (Ok(name), Some(entry)) = (EntryName::try_from(name), row.parse::<EntryRow>())
        {
            catalogue.revision = catalogue.revision.max(entry.revision);
            catalogue.rows.insert(name, entry);
        }
    }
    catalogue
}

/// Takes a whole catalogue over if it is newer.
fn adopt(cx: &Cx, newer: Catalogue) {
    if cx.catalogue.borrow_mut().adopt(newer) {
        note_revision(cx);
    }
}

/// Applies the next change and passes it on. A peer that misses it finds it at its next poll.
fn apply(cx: &Cx, change: &ChangeRow) {
    if !cx.catalogue.borrow_mut().apply(change) {
        return;
    }
    note_revision(cx);
    let mut peers = peer_addresses(cx);
    peers.shuffle(&mut rand::rng());
    peers.truncate(PASS_ON);
    send_news(cx, peers, change);
}

fn note_revision(cx: &Cx) {
    let revision = cx.catalogue.borrow().revision;
    cx.metrics
        .revision
        .set(i64::try_from(revision.0).unwrap_or(i64::MAX));
    cx.timeline.record(Happening::RevisionApplied { revision });
    log::info!("catalogue revision {revision} is in force");
}

fn send_news(cx: &Cx, peers: Vec<String>, change: &ChangeRow) {
    for address in peers {
        let (cx, change) = (Rc::clone(cx), change.clone());
        supervisor::spawn("catalogue-news", async move {
            let _ = cx.peers.call(&address, PeerRequest::News(change)).await;
        });
    }
}

/// Every other daemon that is known, and those of the settings: the members may be too old.
fn peer_addresses(cx: &Cx) -> Vec<String> {
    let members = cx.members.borrow();
    let seen = members
        .daemons
        .values()
        .map(|seen| seen.row.holder.address.clone());
    let mut list: Vec<String> = seen.collect();
    list.extend(cx.cfg.daemon.ask_first.iter().map(ToString::to_string));
    list.sort();
    list.dedup();
    list.retain(|address| *address != cx.me.address);
    list
}

/// Asks all peers at once and takes the greatest catalogue that any of them has.
async fn ask_peers(cx: &Cx) -> bool {
    let known = cx.catalogue.borrow().revision;
    let peers = peer_addresses(cx);
    let calls = peers
        .iter()
        .map(|address| cx.peers.call(address, PeerRequest::Catalogue(known)));
    let replies = futures::future::join_all(calls).await;
    let mut heard = false;
    for reply in replies.into_iter().flatten() {
        heard = true;
        if let PeerReply::Catalogue(newer) = reply {
            adopt(cx, newer);
        }
    }
    heard && cx.catalogue.borrow().revision > Revision::default()
}

/// Hears of a change from a peer.
pub fn hear(cx: &Cx, change: ChangeRow) {
    let known = cx.catalogue.borrow().revision;
    if change.revision <= known {
        return;
    }
    let cx = Rc::clone(cx);
    // Before this daemon is ready a single change says nothing of those before it.
    if cx.catalogue_ready.get() && change.revision.0 == known.0 + 1 {
        apply(&cx, &change);
        return;
    }
    supervisor::spawn("catalogue-fetch", async move {
        if catch_up(&cx, change.revision).await.is_err() {
            ask_peers(&cx).await;
        }
    });
}

/// The last `limit` changes, the latest first.
pub async fn history(cx: &Cx, limit: usize) -> Result<Vec<ChangeRow>, PlatformError> {
    let rows = cx.platform.list(CHANGE_PREFIX).await?;
    let latest = rows.iter().rev().take(limit);
    Ok(latest.filter_map(Row::parse).collect())
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
        let end = try_change(cx, &entry.name, &raw, if_match, &change).await;
        if let Some(end) = end {
            if let ChangeEnd::Accepted(revision) = end {
                // A repeat of a change that was in already; the next poll finds it where this fails.
                let _ = catch_up(cx, revision).await;
            }
            return end;
        }
    }
    ChangeEnd::StoreAway
}

/// Puts an accepted change in force here and tells every other daemon of it. Nothing is read back
/// first: with a slow platform each read would delay it everywhere. `stamp` is from before the write,
/// so that the time line shows the acceptance before anybody who finds it in the table.
fn put_in_force(cx: &Cx, change: &ChangeRow, stamp: Stamp) {
    let accepted = Happening::ChangeAccepted {
        entry: change.name.clone(),
        revision: change.revision,
    };
    cx.timeline.record_at(stamp, accepted);
    apply(cx, change);
    send_news(cx, peer_addresses(cx), change);
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
        // It may be in and changed again since by somebody else.
        return Some(match earlier(cx, change).await {
            Some(revision) => ChangeEnd::Accepted(revision),
            None => ChangeEnd::Refused(refusal),
        });
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
    let change_row = ChangeRow {
        revision,
        name: name.clone(),
        row: row.clone(),
    };
    let version = |row: &Option<Row>| row.as_ref().map_or(0, |row| row.version);
    let mut txn = Txn::default()
        .compare(REVISION_KEY, version(&revision_row))
        .compare(entry_key.clone(), version(&entry_row))
        .put(REVISION_KEY, &RevisionRow { revision })
        .put(entry_key.clone(), &row)
        .put(change_key(revision), &change_row);
    if let Some(old) = revision.0.checked_sub(KEPT_CHANGES) {
        txn = txn.delete(change_key(Revision(old)));
    }
    let stamp = cx.timeline.stamp();
    match cx.platform.txn(&txn).await {
        TxnOutcome::Committed(_) => {
            put_in_force(cx, &change_row, stamp);
            Some(ChangeEnd::Accepted(revision))
        }
        TxnOutcome::Conflict(_) => None,
        TxnOutcome::Unknown(_) => {
            let end = read_back(cx, &entry_key, change).await;
            if end == ChangeEnd::Accepted(revision) {
                put_in_force(cx, &change_row, stamp);
            }
            Some(end)
        }
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

/// The revision that an earlier try of a change made, if the history still has it.
async fn earlier(cx: &Cx, change: &ChangeId) -> Option<Revision> {
    let rows = cx.platform.list(CHANGE_PREFIX).await.ok()?;
    let mut changes = rows.iter().filter_map(Row::parse::<ChangeRow>);
    let found = changes.find(|row| row.row.change == *change);
    found.map(|row| row.revision)
}
