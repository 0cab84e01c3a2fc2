//! Names and numbers that identify things, each with a type of its own.
//!
//! A job's id carries its home shard, so that any daemon can find the shard's owner without a
//! directory of jobs.

use std::fmt;

/// The longest name that is accepted, in bytes.
pub const MAX_NAME_LEN: usize = 96;

/// A name that breaks the rules for names.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidName {
    raw: String,
}

impl fmt::Display for InvalidName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let shown: String = self.raw.chars().take(MAX_NAME_LEN).collect();
        write!(
            f,
            "invalid name `{shown}`: use 1 to {MAX_NAME_LEN} characters out of a-z, 0-9, `.`, `_` and `-`"
        )
    }
}

impl std::error::Error for InvalidName {}

fn check_name(raw: &str) -> Result<(), InvalidName> {
    let allowed =
        |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || matches!(b, b'.' | b'_' | b'-');
    if raw.is_empty() || raw.len() > MAX_NAME_LEN || !raw.bytes().all(allowed) {
        return Err(InvalidName {
            raw: raw.to_owned(),
        });
    }
    Ok(())
}

name_type! {
    /// A daemon's name, from its settings.
    DaemonId
    /// A worker's name, from the platform's membership list.
    WorkerId
    /// A data centre's name.
    DataCentre
    /// A rack's name, unique within its data centre.
    Rack
    /// A catalogue entry's name.
    EntryName
    /// The owner that a catalogue entry names: a team with a quota.
    OwnerName
    /// A shard's name: its data centre, a dot and its number.
    ShardId
    /// A job's id: its home shard, a `-` and a part unique within the shard.
    JobId
    /// A request's id: minted by a daemon or brought by the caller as `idempotency-key`.
    RequestId
    /// An id that an operator's client gives one catalogue change, to recognise it later.
    ChangeId
}

impl ShardId {
    /// The shard numbered `index` of a data centre.
    pub fn new(data_centre: &DataCentre, index: u32) -> Self {
        Self(format!("{data_centre}.{index}").into())
    }

    /// The data centre that the shard belongs to.
    pub fn data_centre(&self) -> &str {
        self.0.rsplit_once('.').map_or(&self.0, |(dc, _)| dc)
    }
}

impl JobId {
    /// A job's id from its home shard and a number that is unique within the shard.
    pub fn new(shard: &ShardId, unique: u64) -> Self {
        Self(format!("{shard}-{unique:016x}").into())
    }

    /// The home shard named in the id, if the id has the form of a job's id.
    pub fn shard(&self) -> Option<ShardId> {
        let (shard, _) = self.0.rsplit_once('-')?;
        ShardId::try_from(shard).ok()
    }
}

scalar! {
    /// Counts the owners of a shard; every take-over raises it by one.
    #[derive(Default)]
    pub struct Epoch(pub u64);

    /// Counts the catalogue's changes.
    #[derive(Default)]
    pub struct Revision(pub u64);

    /// Tells one run of a daemon from the next at the same address: drawn at random at its start.
    #[derive(Default)]
    pub struct Incarnation(pub u64);

    /// The place of a batch in a shard's ledger, from 1.
    #[derive(Default)]
    pub struct Sequence(pub u64);
}

impl Epoch {
    /// The epoch of the next owner.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl Sequence {
    /// The place after this one.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for Epoch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
