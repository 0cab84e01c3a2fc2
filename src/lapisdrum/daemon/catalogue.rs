//! The catalogue of this daemon: follows its revision, forwards changes and makes operators'
//! changes.
//!
//! A change is one transaction over its entry's row, the revision row and a change row. If two
//! operators race, one gets a conflict that names the revision in force. Followers read only the
//! changes that they lack. The daemon that made a change sends it to all others, and each daemon
//! that applies it forwards it to a few, so that it also reaches daemons whose platform is slow or
//! unavailable. A daemon serves no callers before it has loaded the catalogue from the table or, if
//! the table does not answer, the newest one that any peer has.

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

/// Key of the row with the revision in force.
const REVISION_KEY: &str = "catalogue/revision";
/// Key prefix of the rows of entries.
const ENTRY_PREFIX: &str = "catalogue/entry/";
/// Key prefix of the rows of changes.
const CHANGE_PREFIX: &str = "catalogue/change/";
/// Number of change rows retained for followers and for the history.
const RETAINED_CHANGES: u64 = 1_000;
/// Number of missing changes up to which a follower reads each; beyond it, it lists all entries.
const MAX_SINGLE_READS: u64 = 16;
/// Number of peers to which a daemon forwards a change that it applies.
const FORWARD_PEERS: usize = 2;
/// Attempts at a change while concurrent changes of other entries keep raising the revision.
const MAX_CHANGE_ATTEMPTS: usize = 8;

/// The catalogue in force, with its entries validated when they change rather than at each access.
#[derive(Debug, Default)]
pub struct InForce {
    catalogue: Catalogue,
    entries: IndexMap<EntryName, Entry>,
}

impl InForce {
    /// The catalogue in the form that daemons exchange.
    pub fn catalogue(&self) -> &Catalogue {
        &self.catalogue
    }

    /// A valid entry, with its revision.
    pub fn entry(&self, name: &EntryName) -> Option<Entry> {
        self.entries.get(name).cloned()
    }

    /// All valid entries.
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

/// Outcome of an operator's change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangeOutcome {
    /// Committed, with the revision that it created.
    Accepted(Revision),
    /// Not committed: the entry was changed since, or no revision was given.
    Refused(ChangeRefusal),
    /// Not committed: the entry is invalid.
    Invalid(EntryFaults),
    /// Not committed by this call: the table did not answer, or every attempt met a conflict.
    StoreAway,
    /// May be committed; the operator should retry with the same change id.
    Unknown,
}

/// Follows the catalogue until the process ends.
pub async fn follow(cx: Cx) -> eyre::Result<()> {
    loop {
        let outcome = match cx.catalogue_ready.get() {
            true => poll(&cx).await,
            false => load_initial(&cx).await,
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

/// Loads the catalogue before this daemon serves callers: from the table or, if that is
/// unavailable, the newest one that any peer has.
async fn load_initial(cx: &Cx) -> Result<(), PlatformError> {
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

/// Reads the changes missing up to `revision`, or all entries if [`MAX_SINGLE_READS`] is exceeded
/// or a change row is missing.
async fn catch_up(cx: &Cx, revision: Revision) -> Result<(), PlatformError> {
    let known = cx.catalogue.borrow().revision;
    if revision.0.saturating_sub(known.0) > MAX_SINGLE_READS {
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

/// Builds a catalogue from one read of all entries. Every change writes an entry's row, so the
/// greatest revision among the rows is the revision of the catalogue.
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

/// Replaces the catalogue in force if `newer` has a greater revision.
fn adopt(cx: &Cx, newer: Catalogue) {
    if cx.catalogue.borrow_mut().adopt(newer) {
        note_revision(cx);
    }
}

/// Applies the next change and forwards it to [`FORWARD_PEERS`] peers. A peer that misses it reads
/// it at its next poll.
fn apply(cx: &Cx, change: &ChangeRow) {
    if !cx.catalogue.borrow_mut().apply(change) {
        return;
    }
    note_revision(cx);
    let mut peers = peer_addresses(cx);
    peers.shuffle(&mut rand::rng());
    peers.truncate(FORWARD_PEERS);
    send_change(cx, peers, change);
}

fn note_revision(cx: &Cx) {
    let revision = cx.catalogue.borrow().revision;
    cx.metrics
        .revision
        .set(i64::try_from(revision.0).unwrap_or(i64::MAX));
    cx.timeline.record(Happening::RevisionApplied { revision });
    log::info!("catalogue revision {revision} is in force");
}

fn send_change(cx: &Cx, peers: Vec<String>, change: &ChangeRow) {
    for address in peers {
        let (cx, change) = (Rc::clone(cx), change.clone());
        supervisor::spawn("catalogue-news", async move {
            let _ = cx.peers.call(&address, PeerRequest::News(change)).await;
        });
    }
}

/// Addresses of all known daemons but this one, and of those in the settings, since the list of
/// members may be out of date.
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

/// Asks all peers concurrently and adopts the newest catalogue that any of them has. Returns
/// whether a peer answered and a catalogue is in force.
async fn ask_peers(cx: &Cx) -> bool {
    let known = cx.catalogue.borrow().revision;
    let peers = peer_addresses(cx);
    let calls = peers
        .iter()
        .map(|address| cx.peers.call(address, PeerRequest::Catalogue(known)));
    let replies = futures::future::join_all(calls).await;
    let mut any_replied = false;
    for reply in replies.into_iter().flatten() {
        any_replied = true;
        if let PeerReply::Catalogue(newer) = reply {
            adopt(cx, newer);
        }
    }
    any_replied && cx.catalogue.borrow().revision > Revision::default()
}

/// Receives a change from a peer: applies it if it is the next one, or else reads what is missing.
pub fn receive(cx: &Cx, change: ChangeRow) {
    let known = cx.catalogue.borrow().revision;
    if change.revision <= known {
        return;
    }
    let cx = Rc::clone(cx);
    // Before this daemon is ready, earlier changes may be missing, so one change is not enough.
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

/// The last `limit` changes, newest first.
pub async fn history(cx: &Cx, limit: usize) -> Result<Vec<ChangeRow>, PlatformError> {
    let rows = cx.platform.list(CHANGE_PREFIX).await?;
    let latest = rows.iter().rev().take(limit);
    Ok(latest.filter_map(Row::parse).collect())
}

/// Makes an operator's change. `if_match` is the revision of the entry that the operator edited. A
/// retry with the same `change` id does not make the change twice.
pub async fn change(
    cx: &Cx,
    raw: RawEntry,
    if_match: Option<Revision>,
    change: ChangeId,
) -> ChangeOutcome {
    let entry = match Entry::try_from(raw.clone()) {
        Ok(entry) => entry,
        Err(faults) => return ChangeOutcome::Invalid(faults),
    };
    for _ in 0..MAX_CHANGE_ATTEMPTS {
        let outcome = try_change(cx, &entry.name, &raw, if_match, &change).await;
        if let Some(outcome) = outcome {
            if let ChangeOutcome::Accepted(revision) = outcome {
                // Needed if an earlier attempt committed the change; on failure the next poll reads
                // it.
                let _ = catch_up(cx, revision).await;
            }
            return outcome;
        }
    }
    ChangeOutcome::StoreAway
}

/// Applies a committed change on this daemon and sends it to all others. Nothing is read back
/// first, since with a slow platform each read would delay the change everywhere. `stamp` was taken
/// before the write, so that on the timeline the acceptance precedes everything that follows from
/// it.
fn put_in_force(cx: &Cx, change: &ChangeRow, stamp: Stamp) {
    let accepted = Happening::ChangeAccepted {
        entry: change.name.clone(),
        revision: change.revision,
    };
    cx.timeline.record_at(stamp, accepted);
    apply(cx, change);
    send_change(cx, peer_addresses(cx), change);
}

/// One attempt at a change. None after a conflict with a concurrent change, when it may be retried.
async fn try_change(
    cx: &Cx,
    name: &EntryName,
    raw: &RawEntry,
    if_match: Option<Revision>,
    change: &ChangeId,
) -> Option<ChangeOutcome> {
    let entry_key = format!("{ENTRY_PREFIX}{name}");
    let (Ok(revision_row), Ok(entry_row)) = (
        cx.platform.get(REVISION_KEY).await,
        cx.platform.get(&entry_key).await,
    ) else {
        return Some(ChangeOutcome::StoreAway);
    };
    let current = entry_row.as_ref().and_then(Row::parse::<EntryRow>);
    // The reply to an earlier attempt was lost, and the change is committed.
    if let Some(current) = current.as_ref().filter(|row| row.change == *change) {
        return Some(ChangeOutcome::Accepted(current.revision));
    }
    if let Err(refusal) = catalogue::check_change(current.as_ref(), if_match) {
        // An earlier attempt may have committed it, and a later change replaced it since.
        return Some(match revision_of_earlier_attempt(cx, change).await {
            Some(revision) => ChangeOutcome::Accepted(revision),
            None => ChangeOutcome::Refused(refusal),
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
    if let Some(old) = revision.0.checked_sub(RETAINED_CHANGES) {
        txn = txn.delete(change_key(Revision(old)));
    }
    let stamp = cx.timeline.stamp();
    match cx.platform.txn(&txn).await {
        TxnOutcome::Committed(_) => {
            put_in_force(cx, &change_row, stamp);
            Some(ChangeOutcome::Accepted(revision))
        }
        TxnOutcome::Conflict(_) => None,
        TxnOutcome::Unknown(_) => {
            let outcome = read_back(cx, &entry_key, change).await;
            if outcome == ChangeOutcome::Accepted(revision) {
                put_in_force(cx, &change_row, stamp);
            }
            Some(outcome)
        }
    }
}

/// After a lost reply, reads the entry's row to find out whether the change is committed. A row
/// without it proves nothing, since the transaction may still be in flight.
async fn read_back(cx: &Cx, entry_key: &str, change: &ChangeId) -> ChangeOutcome {
    let row = cx.platform.get(entry_key).await.ok().flatten();
    match row.and_then(|row| row.parse::<EntryRow>()) {
        Some(row) if row.change == *change => ChangeOutcome::Accepted(row.revision),
        _ => ChangeOutcome::Unknown,
    }
}

/// The revision that an earlier attempt at a change created, if the history still has it.
async fn revision_of_earlier_attempt(cx: &Cx, change: &ChangeId) -> Option<Revision> {
    let rows = cx.platform.list(CHANGE_PREFIX).await.ok()?;
    let mut changes = rows.iter().filter_map(Row::parse::<ChangeRow>);
    let found = changes.find(|row| row.row.change == *change);
    found.map(|row| row.revision)
}
