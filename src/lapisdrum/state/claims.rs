//! Claims on request ids that callers choose: which shard keeps them, and how a repeated request
//! is answered.
//!
//! An id is claimed in a shard's ledger before its request is sent, so that a repeat through any
//! daemon finds the claim. All daemons must therefore agree on the shard. An id belongs to the
//! highest of all *homes* by rendezvous hashing, and the list of homes is one table row. Were each
//! daemon to use the shards it knows, a daemon that does not yet know a new shard would look in
//! another ledger, and a repeated request would run twice.
//!
//! A new shard becomes the home of about one id in n. The row lists it before any claim is made
//! there, and keeps the previous list until every claim made under that list is forgotten. Until
//! then an id is claimed at both homes, the previous one first. This is sufficient because a daemon
//! uses a row for at most one retention after reading it, and a row stays unchanged for
//! [`overlap`]: claims of a daemon that still uses the previous list are found at the previous
//! home.

use super::ledger::{Claim, ClaimEnd, State};
use crate::core::id::{EntryName, RequestId, ShardId};
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Largest response body that is kept for repeated requests, in bytes. A certificate check's is
/// far smaller; larger ones would make the ledger grow with the callers' data.
pub const MAX_KEPT_BODY_BYTES: usize = 4 * 1024;
/// Maximum number of claims that a shard keeps; once reached, further ids are refused.
pub const MAX_CLAIMS: usize = 100_000;

data! {
    /// The table row that lists the shards that keep claims.
    pub struct Homes {
        /// Raised by one at each change of the row; the first row has 1.
        pub generation: u64,
        /// The present homes, sorted.
        pub shards: Vec<ShardId>,
        /// The homes before the last shards were added; empty once no claim made under that list is
        /// kept any more.
        pub before: Vec<ShardId>,
    }

    /// The response to a claimed request, kept for repeats.
    pub struct KeptAnswer {
        /// Hash of the request's body, to detect that an id is reused with another body.
        pub digest: u64,
        /// The response's content type.
        pub content_type: Option<String>,
        /// The response's body; `None` when it was larger than [`MAX_KEPT_BODY_BYTES`].
        #[serde(skip)]
        pub body: Option<Vec<u8>>,
        /// Whether the body follows the JSON head.
        is_whole: bool,
    }
}

impl Homes {
    /// The first row, which lists the known shards; `None` when none is known.
    pub fn first(known: &[ShardId]) -> Option<Self> {
        (!known.is_empty()).then(|| Self {
            generation: 1,
            shards: sorted_and_unique(known),
            before: Vec::new(),
        })
    }

    /// The shards at which an id must be claimed, in this order.
    pub fn of(&self, id: &RequestId) -> Vec<ShardId> {
        let mut homes: Vec<ShardId> = highest_by_hash(&self.before, id)
            .cloned()
            .into_iter()
            .collect();
        if let Some(home) = highest_by_hash(&self.shards, id)
            && !homes.contains(home)
        {
            homes.push(home.clone());
        }
        homes
    }

    /// The row to write next, or `None` when nothing is to be changed yet. The previous list is
    /// dropped first; known shards that are not yet homes are added by a later row. `unchanged` is
    /// the time since this row was written.
    pub fn next(&self, known: &[ShardId], unchanged: Duration, overlap: Duration) -> Option<Self> {
        if unchanged < overlap {
            return None;
        }
        let generation = self.generation + 1;
        if !self.before.is_empty() {
            return Some(Self {
                generation,
                shards: self.shards.clone(),
                before: Vec::new(),
            });
        }
        let mut shards = self.shards.clone();
        shards.extend(
            known
                .iter()
                .filter(|shard| !self.shards.contains(shard))
                .cloned(),
        );
        (shards.len() > self.shards.len()).then(|| Self {
            generation,
            shards: sorted_and_unique(&shards),
            before: self.shards.clone(),
        })
    }
}

fn sorted_and_unique(shards: &[ShardId]) -> Vec<ShardId> {
    let mut sorted = shards.to_vec();
    sorted.sort();
    sorted.dedup();
    sorted
}

/// The shard with the highest rendezvous hash for an id. Adding a shard moves only the ids for
/// which the new shard is the highest.
fn highest_by_hash<'a>(shards: &'a [ShardId], id: &RequestId) -> Option<&'a ShardId> {
    let seed = xxh3_64_with_seed(id.as_str().as_bytes(), 0);
    let weight = |shard: &&ShardId| xxh3_64_with_seed(shard.as_str().as_bytes(), seed);
    shards.iter().max_by_key(weight)
}

/// How long a row must stay unchanged: a daemon may use a previous row for one retention, its
/// request takes up to `longest_request`, and the claim is kept for another retention.
pub fn overlap(retention: Duration, longest_request: Duration) -> Duration {
    retention * 2 + longest_request
}

/// The result of looking a request id up in a shard's ledger.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimStatus {
    /// The id is not claimed.
    NotClaimed,
    /// The request is being served.
    InProgress,
    /// The request has ended.
    Ended(ClaimEnd),
    /// The id was claimed for another catalogue entry.
    OtherEntry,
}

/// Looks up the claim on `id` for a request to `entry`.
pub fn lookup(state: &State, id: &RequestId, entry: &EntryName) -> ClaimStatus {
    match state.claims.get(id) {
        None => ClaimStatus::NotClaimed,
        Some(claim) if claim.entry != *entry => ClaimStatus::OtherEntry,
        Some(Claim { end: None, .. }) => ClaimStatus::InProgress,
        Some(Claim { end: Some(end), .. }) => ClaimStatus::Ended(end.clone()),
    }
}

impl KeptAnswer {
    /// A response whose body is dropped when it is larger than [`MAX_KEPT_BODY_BYTES`]. `digest` is
    /// the hash of the request's body.
    pub fn new(digest: u64, content_type: Option<String>, body: &[u8]) -> Self {
        let is_whole = body.len() <= MAX_KEPT_BODY_BYTES;
        Self {
            digest,
            content_type,
            body: is_whole.then(|| body.to_vec()),
            is_whole,
        }
    }
}

/// Separates the JSON head from the body. Compact JSON contains no line feed.
const HEAD_SEPARATOR: u8 = b'\n';

impl From<&KeptAnswer> for Vec<u8> {
    fn from(kept: &KeptAnswer) -> Self {
        let mut bytes = serde_json::to_vec(kept).unwrap_or_default();
        bytes.push(HEAD_SEPARATOR);
        bytes.extend_from_slice(kept.body.as_deref().unwrap_or_default());
        bytes
    }
}

/// Bytes in a ledger that can't be decoded as a [`KeptAnswer`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MalformedAnswer;

impl TryFrom<&[u8]> for KeptAnswer {
    type Error = MalformedAnswer;

    fn try_from(bytes: &[u8]) -> Result<Self, MalformedAnswer> {
        let end = bytes.iter().position(|byte| *byte == HEAD_SEPARATOR);
        let (head, body) = bytes.split_at(end.ok_or(MalformedAnswer)?);
        let mut kept: Self = serde_json::from_slice(head).map_err(|_| MalformedAnswer)?;
        kept.body = kept.is_whole.then(|| body[1..].to_vec());
        Ok(kept)
    }
}
