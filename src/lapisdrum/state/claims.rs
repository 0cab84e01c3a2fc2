//! Claims on request ids that callers bring: where they are kept, and what a repeat is told.
//!
//! An id is claimed in a shard's ledger before its request is sent, so that a repeat through any
//! daemon finds the claim. All daemons must therefore agree on the shard: an id belongs to the
//! highest of all *homes* by rendezvous hashing, and the homes stand in one table row, not in what a
//! daemon happens to have seen. Homes taken from the shards in sight would send a repeat through a
//! daemon that has not yet seen a new shard to another ledger, and the request would run twice.
//!
//! A new shard moves about one id in n to itself. Its row says so before any claim is made there,
//! and keeps the list before the change until every claim under that list is forgotten; in between
//! an id is claimed at both homes, the earlier first. That is enough, since a daemon uses a row no
//! longer than the retention after it read it, and a row stays for [`overlap`] before it is changed
//! again: whoever still goes by the list before has its claims found at the earlier home.

use super::ledger::{Claim, ClaimEnd, State};
use crate::core::id::{EntryName, RequestId, ShardId};
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Largest body that is kept for repeats, in bytes. A certificate check's answer is far smaller; a
/// larger one would make the ledger grow with the callers' data.
pub const KEPT_BODY_BYTES: usize = 4 * 1024;
/// Claims that a shard keeps at most: at the bound further ids are refused.
pub const MOST_CLAIMS: usize = 100_000;

data! {
    /// The row that names the shards which keep claims.
    pub struct Homes {
        /// Raised by each change.
        pub generation: u64,
        /// The shards.
        pub shards: Vec<ShardId>,
        /// The shards before the last change, as long as claims under them may be kept.
        pub before: Vec<ShardId>,
    }

    /// What is kept of a claimed request's answer.
    pub struct KeptAnswer {
        /// The hash of the request's body, so that an id used for another body is found out.
        pub digest: u64,
        /// The answer's content type.
        pub content_type: Option<String>,
        /// The answer's body; none when it was too large to keep.
        #[serde(skip)]
        pub body: Option<Vec<u8>>,
        /// Whether the body follows.
        is_whole: bool,
    }
}

impl Homes {
    /// The first row, with the shards in sight.
    pub fn first(known: &[ShardId]) -> Option<Self> {
        (!known.is_empty()).then(|| Self {
            generation: 1,
            shards: sorted(known),
            before: Vec::new(),
        })
    }

    /// The shards at which an id is claimed, in this order.
    pub fn of(&self, id: &RequestId) -> Vec<ShardId> {
        let mut homes: Vec<ShardId> = highest(&self.before, id).cloned().into_iter().collect();
        if let Some(home) = highest(&self.shards, id)
            && !homes.contains(home)
        {
            homes.push(home.clone());
        }
        homes
    }

    /// The next row, if it is time for one: first the list before the last change is dropped, then
    /// shards that are not yet homes are added. `unchanged` is for how long this row has stood.
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
            shards: sorted(&shards),
            before: self.shards.clone(),
        })
    }
}

fn sorted(shards: &[ShardId]) -> Vec<ShardId> {
    let mut sorted = shards.to_vec();
    sorted.sort();
    sorted.dedup();
    sorted
}

/// Rendezvous hashing: adding a shard moves only the ids that the new one wins.
fn highest<'a>(shards: &'a [ShardId], id: &RequestId) -> Option<&'a ShardId> {
    let seed = xxh3_64_with_seed(id.as_str().as_bytes(), 0);
    let weight = |shard: &&ShardId| xxh3_64_with_seed(shard.as_str().as_bytes(), seed);
    shards.iter().max_by_key(weight)
}

/// How long a row stands before it is changed again: a daemon may claim by an earlier row for one
/// retention, its request takes up to `longest_request`, and the claim is kept one retention more.
pub fn overlap(retention: Duration, longest_request: Duration) -> Duration {
    retention * 2 + longest_request
}

/// What a shard's ledger says of an id.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Found {
    /// Nothing: it may be claimed.
    Nothing,
    /// The request is being served.
    InProgress,
    /// The request is over.
    Ended(ClaimEnd),
    /// The id was used for another entry.
    OtherEntry,
}

/// Looks an id up.
pub fn look(state: &State, id: &RequestId, entry: &EntryName) -> Found {
    match state.claims.get(id) {
        None => Found::Nothing,
        Some(claim) if claim.entry != *entry => Found::OtherEntry,
        Some(Claim { end: None, .. }) => Found::InProgress,
        Some(Claim { end: Some(end), .. }) => Found::Ended(end.clone()),
    }
}

impl KeptAnswer {
    /// Keeps an answer, without its body when that is too large.
    pub fn new(digest: u64, content_type: Option<String>, body: &[u8]) -> Self {
        let is_whole = body.len() <= KEPT_BODY_BYTES;
        Self {
            digest,
            content_type,
            body: is_whole.then(|| body.to_vec()),
            is_whole,
        }
    }
}

/// Ends the head of a kept answer; JSON never holds it.
const HEAD_END: u8 = b'\n';

impl From<&KeptAnswer> for Vec<u8> {
    fn from(kept: &KeptAnswer) -> Self {
        let mut bytes = serde_json::to_vec(kept).unwrap_or_default();
        bytes.push(HEAD_END);
        bytes.extend_from_slice(kept.body.as_deref().unwrap_or_default());
        bytes
    }
}

/// Bytes in a ledger that are no kept answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MalformedAnswer;

impl TryFrom<&[u8]> for KeptAnswer {
    type Error = MalformedAnswer;

    fn try_from(bytes: &[u8]) -> Result<Self, MalformedAnswer> {
        let end = bytes.iter().position(|byte| *byte == HEAD_END);
        let (head, body) = bytes.split_at(end.ok_or(MalformedAnswer)?);
        let mut kept: Self = serde_json::from_slice(head).map_err(|_| MalformedAnswer)?;
        kept.body = kept.is_whole.then(|| body[1..].to_vec());
        Ok(kept)
    }
}
