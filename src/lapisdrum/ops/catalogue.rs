//! `lapisdrum catalogue`: apply, list, show, retire.

use super::{Failure, check};
use crate::{
    api::{
        client::{ClientError, DaemonClient},
        wire::{CatalogueBody, EntryBody},
    },
    core::{catalogue::RawEntry, id::Revision},
};
use actix_http::StatusCode;
use std::path::Path;

/// What became of one entry of an applied file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Applied {
    /// It was as written already.
    Unchanged(String),
    /// It was added or changed; the revision that it made.
    Changed(String, Revision),
}

/// Brings the catalogue in line with a file: entries that differ are added or changed.
pub async fn apply(client: &DaemonClient, file: &Path) -> Result<Vec<Applied>, Failure> {
    let wanted = check::load_catalogue(file)?;
    let mut done = Vec::new();
    for raw in wanted {
        done.push(apply_entry(client, raw).await?);
    }
    Ok(done)
}

async fn apply_entry(client: &DaemonClient, raw: RawEntry) -> Result<Applied, Failure> {
    let current = match client.entry(&raw.name).await {
        Ok(current) => Some(current),
        Err(ClientError::Fault(StatusCode::NOT_FOUND, _)) => None,
        Err(e) => return Err(e.into()),
    };
    if current.as_ref().is_some_and(|current| current.entry == raw) {
        return Ok(Applied::Unchanged(raw.name));
    }
    let seen = current.map(|current| current.revision);
    let done = client.put_entry(&raw, seen).await?;
    Ok(Applied::Changed(raw.name, done.revision))
}

/// Reads the whole catalogue.
pub async fn list(client: &DaemonClient) -> Result<CatalogueBody, Failure> {
    Ok(client.catalogue().await?)
}

/// Reads one entry.
pub async fn show(client: &DaemonClient, name: &str) -> Result<EntryBody, Failure> {
    Ok(client.entry(name).await?)
}

/// Retires an entry as it stands now.
pub async fn retire(client: &DaemonClient, name: &str) -> Result<Revision, Failure> {
    let current = client.entry(name).await?;
    Ok(client.retire_entry(name, current.revision).await?.revision)
}
