//! `lapisdrum catalogue`: apply, list, show, retire and history.

use super::{
    Exit, Failure, check,
    output::write_lines,
    retry_lost_answers,
    status::{self, StatusReport},
};
use crate::{
    api::{
        client::{ClientError, DaemonClient, new_change_id},
        wire::{CatalogueBody, ChangeSummary, EntryBody, HistoryBody},
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

/// Interval at which the daemons are polled for the revision in force.
const IN_FORCE_POLL_INTERVAL: Duration = Duration::from_millis(200);

data! {
    /// A key of an entry whose value in the file differs from the catalogue's.
    pub struct KeyChange {
        /// Name of the key.
        pub key: String,
        /// Value in the catalogue; null if it has none.
        pub from: Value,
        /// Value in the file; null if it has none.
        pub to: Value,
    }

    /// Outcome of applying one entry of a file.
    #[serde(rename_all = "kebab-case")]
    pub enum Applied {
        /// The catalogue already had the entry as written.
        Unchanged,
        /// Dry run: the entry would be added or changed.
        WouldChange,
        /// The entry was added or changed, which created this revision.
        Changed(Revision),
        /// The change failed with this error message.
        Failed(String),
        /// Skipped because an earlier entry of the file failed.
        NotTried,
    }

    /// One entry of an applied file.
    pub struct AppliedEntry {
        /// Name of the entry.
        pub entry: String,
        /// Outcome for this entry.
        pub applied: Applied,
        /// Keys whose values differed.
        pub changes: Vec<KeyChange>,
    }

    /// Which daemons have a revision in force.
    pub struct InForce {
        /// The revision asked about.
        pub revision: Revision,
        /// Number of answering daemons that have it, or a later one, in force.
        pub on: usize,
        /// Number of daemons that answered.
        pub answered: usize,
        /// Daemons that answered and don't have it yet.
        pub behind: Vec<DaemonId>,
        /// Daemons that did not answer.
        pub silent: Vec<DaemonId>,
    }

    /// Result of `catalogue apply`.
    pub struct ApplyReport {
        /// Outcomes of the entries, in the order of the file.
        pub entries: Vec<AppliedEntry>,
        /// Which daemons have the last change in force; none if nothing was changed.
        pub in_force: Option<InForce>,
    }

    /// Result of `catalogue retire`.
    pub struct RetireReport {
        /// Name of the retired entry.
        pub entry: String,
        /// Which daemons have the change in force.
        pub in_force: InForce,
    }
}

/// Options of `catalogue apply`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ApplyOptions {
    /// Reports the differences and changes nothing.
    pub dry_run: bool,
    /// Time limit for waiting until every daemon that answers has the change in force; no wait if
    /// none.
    pub wait: Option<Duration>,
}

/// Adds or changes the entries of the catalogue that differ from a file, in the file's order, up to
/// the first that fails. Entries that the file does not name are left unchanged.
///
/// The report comes with a failure if an entry failed or the wait timed out.
pub async fn apply(
    client: &DaemonClient,
    file: &Path,
    options: ApplyOptions,
) -> Result<(ApplyReport, Option<Failure>), Failure> {
    let file_entries = check::load_catalogue(file)?;
    let mut entries = Vec::new();
    let mut failure = None;
    for raw in file_entries {
        entries.push(match failure {
            None => try_apply_entry(client, raw, options.dry_run, &mut failure).await,
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
            let (reached, timeout) = wait_until_in_force(client, revision, options.wait).await?;
            failure = failure.or(timeout);
            Some(reached)
        }
        None => None,
    };
    Ok((ApplyReport { entries, in_force }, failure))
}

async fn try_apply_entry(
    client: &DaemonClient,
    raw: RawEntry,
    dry_run: bool,
    failure: &mut Option<Failure>,
) -> AppliedEntry {
    let entry = raw.name.clone();
    match apply_entry(client, raw, dry_run).await {
        Ok(applied) => applied,
        Err(e) => {
            let message = e.message.clone();
            *failure = Some(Failure::new(e.exit, format!("entry `{entry}`: {e}")));
            AppliedEntry {
                entry,
                applied: Applied::Failed(message),
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
        let revision_read = current.map(|current| current.revision);
        let change = new_change_id();
        let put = async || client.put_entry_as(&raw, revision_read, &change).await;
        let result = retry_lost_answers(put).await;
        Applied::Changed(result.map_err(|e| unconfirmed_change(e, &change))?.revision)
    };
    Ok(AppliedEntry {
        entry: raw.name,
        applied,
        changes,
    })
}

/// Adds the change id to the error of a change that may have been made, so that the operator can
/// look it up in `catalogue history`.
fn unconfirmed_change(e: ClientError, change: &ChangeId) -> Failure {
    match e.is_outcome_unknown() {
        true => Failure::new(
            Exit::Failed,
            format!("{e}; `lapisdrum catalogue history` has change {change} if it was made"),
        ),
        false => e.into(),
    }
}

/// Returns the keys whose values differ; all keys that have a value if `before` is none.
pub fn differences(before: Option<&RawEntry>, after: &RawEntry) -> Vec<KeyChange> {
    let object = |raw: &RawEntry| match serde_json::to_value(raw) {
        Ok(Value::Object(map)) => map,
        _ => serde_json::Map::new(),
    };
    let before = before.map(object).unwrap_or_default();
    let keys = object(after).into_iter();
    // An entry serialises all of its keys, absent ones as null, so removed keys are found too.
    let changes = keys.map(|(key, to)| KeyChange {
        from: before.get(&key).cloned().unwrap_or_default(),
        key,
        to,
    });
    changes.filter(|change| change.from != change.to).collect()
}

/// Polls the daemons until all that answer have the revision in force or `wait` has passed; polls
/// once if `wait` is none. A wait that times out is reported as a failure beside the result.
async fn wait_until_in_force(
    client: &DaemonClient,
    revision: Revision,
    wait: Option<Duration>,
) -> Result<(InForce, Option<Failure>), Failure> {
    let deadline = Instant::now() + wait.unwrap_or_default();
    loop {
        let reached = in_force(&status::gather(client).await?, revision);
        if reached.behind.is_empty() {
            return Ok((reached, None));
        }
        if Instant::now() >= deadline {
            let timeout = wait.map(|wait| {
                let message =
                    format!("not in force on all daemons within {wait:?}; it is still propagating");
                Failure::new(Exit::Failed, message)
            });
            return Ok((reached, timeout));
        }
        tokio::time::sleep(IN_FORCE_POLL_INTERVAL).await;
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

/// Reads the accepted changes, newest first.
pub async fn history(client: &DaemonClient) -> Result<HistoryBody, Failure> {
    Ok(client.history().await?)
}

/// Retires an entry, provided that it does not change between the read and the write.
pub async fn retire(
    client: &DaemonClient,
    name: &str,
    wait: Option<Duration>,
) -> Result<(RetireReport, Option<Failure>), Failure> {
    let revision_read = client.entry(name).await?.revision;
    let change = new_change_id();
    let retire = async || client.retire_entry_as(name, revision_read, &change).await;
    let result = retry_lost_answers(retire).await;
    let revision = result.map_err(|e| unconfirmed_change(e, &change))?.revision;
    let (in_force, timeout) = wait_until_in_force(client, revision, wait).await?;
    let report = RetireReport {
        entry: name.to_owned(),
        in_force,
    };
    Ok((report, timeout))
}

impl fmt::Display for AppliedEntry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let entry = &self.entry;
        match &self.applied {
            Applied::Unchanged => write!(f, "{entry}: unchanged")?,
            Applied::WouldChange => write!(f, "{entry}: would change")?,
            Applied::Changed(revision) => write!(f, "{entry}: revision {revision}")?,
            Applied::Failed(message) => write!(f, "{entry}: not changed: {message}")?,
            Applied::NotTried => write!(f, "{entry}: not tried")?,
        }
        let mut changes = self.changes.iter();
        changes.try_for_each(|change| write!(f, "\n  {change}"))
    }
}

impl fmt::Display for KeyChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { key, from, to } = self;
        match from {
            Value::Null => write!(f, "{key}: {to}"),
            _ => write!(f, "{key}: {from} -> {to}"),
        }
    }
}

impl fmt::Display for InForce {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "revision {} is in force on {} of {} daemons that answer",
            self.revision, self.on, self.answered
        )?;
        for (label, daemons) in [("behind", &self.behind), ("no answer", &self.silent)] {
            let names: Vec<&str> = daemons.iter().map(DaemonId::as_str).collect();
            if !names.is_empty() {
                write!(f, "; {label}: {}", names.join(", "))?;
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

impl fmt::Display for ChangeSummary {
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
