//! `lapisdrum catalogue`: apply, list, show, retire, history.

use super::{
    Exit, Failure, check,
    output::write_lines,
    repeat_lost,
    status::{self, StatusReport},
};
use crate::{
    api::{
        client::{ClientError, DaemonClient, new_change_id},
        wire::{CatalogueBody, ChangeLine, EntryBody, HistoryBody},
    },
    core::{
        catalogue::RawEntry,
        id::{ChangeId, DaemonId, Revision},
    },
};
use actix_http::StatusCode;
use serde_json::Value;
use std::{fmt, path::Path, time::Duration};
use tokio::time::Instant;

/// Time between two looks at which daemons have a revision.
const IN_FORCE_POLL: Duration = Duration::from_millis(200);

data! {
    /// One key of an entry that differs.
    pub struct KeyChange {
        /// The key.
        pub key: String,
        /// Its value before; null when it had none.
        pub from: Value,
        /// Its value in the file; null when it has none.
        pub to: Value,
    }

    /// What became of one entry of an applied file.
    #[serde(rename_all = "kebab-case")]
    pub enum Applied {
        /// It was as written already.
        Unchanged,
        /// It would be added or changed.
        WouldChange,
        /// It was added or changed; the revision that it made.
        Changed(Revision),
        /// It was not changed; why.
        Failed(String),
        /// It was not tried, since one before it failed.
        NotTried,
    }

    /// One entry of an applied file.
    pub struct AppliedEntry {
        /// The entry.
        pub entry: String,
        /// What became of it.
        pub applied: Applied,
        /// What differed.
        pub changes: Vec<KeyChange>,
    }

    /// How far a revision has come.
    pub struct InForce {
        /// The revision.
        pub revision: Revision,
        /// Daemons that answered and have it in force.
        pub on: usize,
        /// Daemons that answered.
        pub answered: usize,
        /// Daemons that answered and have it not yet.
        pub behind: Vec<DaemonId>,
        /// Daemons that did not answer.
        pub silent: Vec<DaemonId>,
    }

    /// What became of an applied file.
    pub struct ApplyReport {
        /// Its entries in order.
        pub entries: Vec<AppliedEntry>,
        /// How far the last change has come; none when nothing was changed.
        pub in_force: Option<InForce>,
    }

    /// What became of a retired entry.
    pub struct RetireReport {
        /// The entry.
        pub entry: String,
        /// How far the change has come.
        pub in_force: InForce,
    }
}

/// How a file is applied.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ApplyOptions {
    /// Show the differences and change nothing.
    pub dry_run: bool,
    /// Wait as long as this until the change is in force on every daemon that answers.
    pub wait: Option<Duration>,
}

/// Brings the catalogue in line with a file: entries that differ are added or changed, in order, up
/// to the first that fails. Entries that the file does not name stay as they are.
pub async fn apply(
    client: &DaemonClient,
    file: &Path,
    options: ApplyOptions,
) -> Result<(ApplyReport, Option<Failure>), Failure> {
    let wanted = check::load_catalogue(file)?;
    let mut entries = Vec::new();
    let mut failure = None;
    for raw in wanted {
        entries.push(match failure {
            None => apply_or_fail(client, raw, options.dry_run, &mut failure).await,
            Some(_) => AppliedEntry {
                entry: raw.name,
                applied: Applied::NotTried,
                changes: Vec::new(),
            },
        });
    }
    let last = entries.iter().rev().find_map(|entry| match entry.applied {
        Applied::Changed(revision) => Some(revision),
        _ => None,
    });
    let in_force = match last {
        Some(revision) => {
            let (reached, late) = follow(client, revision, options.wait).await?;
            failure = failure.or(late);
            Some(reached)
        }
        None => None,
    };
    Ok((ApplyReport { entries, in_force }, failure))
}

async fn apply_or_fail(
    client: &DaemonClient,
    raw: RawEntry,
    dry_run: bool,
    failure: &mut Option<Failure>,
) -> AppliedEntry {
    let entry = raw.name.clone();
    match apply_entry(client, raw, dry_run).await {
        Ok(applied) => applied,
        Err(e) => {
            let shown = e.message.clone();
            *failure = Some(Failure::new(e.exit, format!("entry `{entry}`: {e}")));
            AppliedEntry {
                entry,
                applied: Applied::Failed(shown),
                changes: Vec::new(),
            }
        }
    }
}

async fn apply_entry(
    client: &DaemonClient,
    raw: RawEntry,
    dry_run: bool,
) -> Result<AppliedEntry, Failure> {
    let current = match client.entry(&raw.name).await {
        Ok(current) => Some(current),
        Err(ClientError::Fault(StatusCode::NOT_FOUND, _)) => None,
        Err(e) => return Err(e.into()),
    };
    let changes = differences(current.as_ref().map(|current| &current.entry), &raw);
    let applied = if changes.is_empty() {
        Applied::Unchanged
    } else if dry_run {
        Applied::WouldChange
    } else {
        let seen = current.map(|current| current.revision);
        let change = new_change_id();
        let put = async || client.put_entry_as(&raw, seen, &change).await;
        let done = repeat_lost(put).await;
        Applied::Changed(done.map_err(|e| lost_change(e, &change))?.revision)
    };
    Ok(AppliedEntry {
        entry: raw.name,
        applied,
        changes,
    })
}

/// Names the change id, by which `catalogue history` tells whether a change whose answers were all
/// lost is in.
fn lost_change(e: ClientError, change: &ChangeId) -> Failure {
    match e.is_unknown() {
        true => Failure::new(
            Exit::Failed,
            format!("{e}; `lapisdrum catalogue history` has change {change} if it is in"),
        ),
        false => e.into(),
    }
}

/// Keys whose values differ.
fn differences(before: Option<&RawEntry>, after: &RawEntry) -> Vec<KeyChange> {
    let object = |raw: &RawEntry| match serde_json::to_value(raw) {
        Ok(Value::Object(map)) => map,
        _ => serde_json::Map::new(),
    };
    let before = before.map(object).unwrap_or_default();
    let keys = object(after).into_iter();
    // An entry serialises all of its keys, absent ones as null, so none is missed.
    let changes = keys.map(|(key, to)| KeyChange {
        from: before.get(&key).cloned().unwrap_or_default(),
        key,
        to,
    });
    changes.filter(|change| change.from != change.to).collect()
}

/// Looks how far a revision has come, until all that answer have it or `wait` is over.
async fn follow(
    client: &DaemonClient,
    revision: Revision,
    wait: Option<Duration>,
) -> Result<(InForce, Option<Failure>), Failure> {
    let end = Instant::now() + wait.unwrap_or_default();
    loop {
        let reached = in_force(&status::gather(client).await?, revision);
        if reached.behind.is_empty() {
            return Ok((reached, None));
        }
        if Instant::now() >= end {
            let late = wait.map(|wait| {
                let what = format!("not in force on all daemons within {wait:?}; it still spreads");
                Failure::new(Exit::Failed, what)
            });
            return Ok((reached, late));
        }
        tokio::time::sleep(IN_FORCE_POLL).await;
    }
}

fn in_force(status: &StatusReport, revision: Revision) -> InForce {
    let behind: Vec<DaemonId> = status
        .answered()
        .filter(|(_, answer)| answer.revision < revision)
        .map(|(daemon, _)| daemon.daemon.clone())
        .collect();
    let answered = status.answered().count();
    let silent = status.unanswered().map(|daemon| daemon.daemon.clone());
    InForce {
        revision,
        on: answered - behind.len(),
        answered,
        behind,
        silent: silent.collect(),
    }
}

/// Reads the whole catalogue.
pub async fn list(client: &DaemonClient) -> Result<CatalogueBody, Failure> {
    Ok(client.catalogue().await?)
}

/// Reads one entry.
pub async fn show(client: &DaemonClient, name: &str) -> Result<EntryBody, Failure> {
    Ok(client.entry(name).await?)
}

/// Reads the accepted changes.
pub async fn history(client: &DaemonClient) -> Result<HistoryBody, Failure> {
    Ok(client.history().await?)
}

/// Retires an entry as it stands now.
pub async fn retire(
    client: &DaemonClient,
    name: &str,
    wait: Option<Duration>,
) -> Result<(RetireReport, Option<Failure>), Failure> {
    let seen = client.entry(name).await?.revision;
    let change = new_change_id();
    let retire = async || client.retire_entry_as(name, seen, &change).await;
    let done = repeat_lost(retire).await;
    let revision = done.map_err(|e| lost_change(e, &change))?.revision;
    let (in_force, late) = follow(client, revision, wait).await?;
    let report = RetireReport {
        entry: name.to_owned(),
        in_force,
    };
    Ok((report, late))
}

impl fmt::Display for AppliedEntry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let entry = &self.entry;
        match &self.applied {
            Applied::Unchanged => write!(f, "{entry}: unchanged")?,
            Applied::WouldChange => write!(f, "{entry}: would change")?,
            Applied::Changed(revision) => write!(f, "{entry}: revision {revision}")?,
            Applied::Failed(what) => write!(f, "{entry}: not changed: {what}")?,
            Applied::NotTried => write!(f, "{entry}: not tried")?,
        }
        for KeyChange { key, from, to } in &self.changes {
            match from {
                Value::Null => write!(f, "\n  {key}: {to}")?,
                _ => write!(f, "\n  {key}: {from} -> {to}")?,
            }
        }
        Ok(())
    }
}

impl fmt::Display for InForce {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "revision {} is in force on {} of {} daemons that answer",
            self.revision, self.on, self.answered
        )?;
        for (word, daemons) in [("behind", &self.behind), ("no answer", &self.silent)] {
            let names: Vec<&str> = daemons.iter().map(DaemonId::as_str).collect();
            if !names.is_empty() {
                write!(f, "; {word}: {}", names.join(", "))?;
            }
        }
        Ok(())
    }
}

impl fmt::Display for ApplyReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let entries = self.entries.iter().map(ToString::to_string);
        write_lines(
            f,
            entries.chain(self.in_force.iter().map(ToString::to_string)),
        )
    }
}

impl fmt::Display for RetireReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: retired\n{}", self.entry, self.in_force)
    }
}

impl fmt::Display for EntryBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} at revision {}", self.entry.name, self.revision)?;
        for KeyChange { key, to, .. } in differences(None, &self.entry) {
            write!(f, "\n  {key}: {to}")?;
        }
        Ok(())
    }
}

impl fmt::Display for CatalogueBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "revision {}", self.revision)?;
        for EntryBody { entry, revision } in &self.entries {
            let state = if entry.retired { "retired" } else { "active" };
            let RawEntry {
                name, class, owner, ..
            } = entry;
            write!(
                f,
                "\n  {name:<24} {class:<16} {owner:<16} {state:<8} revision {revision}"
            )?;
        }
        Ok(())
    }
}

impl fmt::Display for ChangeLine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = self.entry.as_str();
        write!(
            f,
            "revision {:<8} {name:<24} change {}{}",
            self.revision.0,
            self.change,
            if self.retired { ", retired" } else { "" }
        )
    }
}

impl fmt::Display for HistoryBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.changes.is_empty() {
            return f.write_str("no changes");
        }
        write_lines(f, &self.changes)
    }
}
