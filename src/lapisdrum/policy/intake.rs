//! Chooses the client that gives way when the callers of a process together hold all the memory, or
//! all the connections, that they may.
//!
//! Load pattern: hundreds of clients send all but the end of a request and keep their connections
//! open. If only newcomers were refused, such a crowd would keep the place for good; if the largest
//! gave way, an honest large request would lose to many small stalled ones.
//!
//! So the client that has made no progress for the longest time gives way. One that is inside the
//! limits sends its request within a round trip or two, and is the last to be chosen. A request that
//! has arrived whole is never chosen: it may be running.

use std::time::Duration;

/// Bytes that count as progress. A client that sends single bytes to stay makes none.
pub const PROGRESS_BYTES: usize = 1024;

/// What a connection is used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Idle, receiving the head of a request, or sending the last response.
    BetweenRequests,
    /// The body of a request arrives.
    ReadingBody,
    /// A whole request has arrived and is not answered yet.
    Serving,
    /// A request was answered before its end, and the rest is read and thrown away.
    Discarding,
}

/// A client's connection, as far as the choice depends on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Client {
    /// Identifies the connection.
    pub id: u64,
    /// What the connection is used for.
    pub stage: Stage,
    /// Bytes that the process holds for it.
    pub held_bytes: usize,
    /// Time since it last made progress.
    pub stalled_for: Duration,
}

/// What is used up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shortage {
    /// Memory for heads, bodies and responses.
    Memory,
    /// Connections.
    Connections,
}

/// The client that gives way; `None` if none can.
pub fn choose(clients: impl Iterator<Item = Client>, shortage: Shortage) -> Option<Client> {
    let able = clients.filter(|client| client.stage != Stage::Serving);
    match shortage {
        Shortage::Memory => able
            .filter(|client| client.held_bytes > 0)
            .max_by_key(|client| (client.stalled_for, client.held_bytes)),
        // A connection without a request is closed at no cost to its client.
        Shortage::Connections => {
            able.max_by_key(|client| (client.stage != Stage::ReadingBody, client.stalled_for))
        }
    }
}
