//! Crowds of clients that misbehave, on connections that they leave open.

use bytes::Bytes;
use futures::future;
use std::{net::SocketAddr, time::Duration};
use tokio::{io::AsyncWriteExt as _, net::TcpStream, time::timeout};

/// Time after which a client takes a connection that accepts no more bytes for stalled, and stops sending.
const STALLED_AFTER: Duration = Duration::from_secs(5);
/// Bytes of a large chunk, and of a piece of a body.
const PIECE_BYTES: usize = 16 * 1024;
/// Clients of a crowd of which one sends its whole body; the others stop one byte short.
const ONE_WHOLE_IN: usize = 8;

/// What each client of a crowd sends.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Kind {
    /// A body of announced length, written at once.
    Whole,
    /// A body of announced length, piece by piece.
    Pieces,
    /// A body in large chunks.
    LargeChunks,
    /// A body in chunks of one byte.
    TinyChunks,
    /// The head of a request that doesn't end.
    Head,
    /// Complete requests without a body; no response is read.
    Pipelined,
    /// Nothing.
    Idle,
}

/// A number of clients that all send the same kind of request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Crowd<'a> {
    pub(crate) kind: Kind,
    pub(crate) clients: usize,
    /// Bytes that each client sends: of its body, of its head, or of all its requests.
    pub(crate) bytes: usize,
    pub(crate) address: SocketAddr,
    pub(crate) host: &'a str,
    pub(crate) path: &'a str,
}

impl Crowd<'_> {
    /// Connects all clients and sends until each has sent everything, or can send no more. The connections stay open
    /// until the result is dropped.
    pub(crate) async fn gather(&self) -> Vec<TcpStream> {
        let clients = (0..self.clients).map(|at| self.client(at % ONE_WHOLE_IN == 0));
        let connected = future::join_all(clients).await;
        connected.into_iter().flatten().collect()
    }

    async fn client(&self, is_whole: bool) -> Option<TcpStream> {
        let connecting = timeout(STALLED_AFTER, TcpStream::connect(self.address));
        let mut stream = connecting.await.ok()?.ok()?;
        let bytes = self.bytes - usize::from(!is_whole);
        for (part, times) in self.parts(bytes, is_whole) {
            for _ in 0..times {
                match timeout(STALLED_AFTER, stream.write_all(&part)).await {
                    Ok(Ok(())) => tokio::task::yield_now().await,
                    // The daemon closed the connection, which it may.
                    Ok(Err(_)) => return None,
                    Err(_) => return Some(stream),
                }
            }
        }
        Some(stream)
    }

    /// Texts to send in order, each as often as the number beside it.
    fn parts(&self, bytes: usize, is_whole: bool) -> Vec<(Bytes, usize)> {
        let head = |method: &str, headers: &str| {
            let (path, host) = (self.path, self.host);
            let head = format!("{method} {path} HTTP/1.1\r\nhost: {host}\r\n{headers}");
            Bytes::from(head)
        };
        let filler = |len: usize| Bytes::from(vec![b'x'; len]);
        let announced = format!("content-length: {}\r\n\r\n", self.bytes);
        let chunked = "transfer-encoding: chunked\r\n\r\n";
        let end = (Bytes::from_static(b"0\r\n\r\n"), usize::from(is_whole));
        match self.kind {
            Kind::Whole => vec![(head("POST", &announced), 1), (filler(bytes), 1)],
            Kind::Pieces => vec![
                (head("POST", &announced), 1),
                (filler(PIECE_BYTES), bytes / PIECE_BYTES),
                (filler(bytes % PIECE_BYTES), 1),
            ],
            Kind::LargeChunks => vec![
                (head("POST", chunked), 1),
                (chunk(PIECE_BYTES), bytes / PIECE_BYTES),
                end,
            ],
            Kind::TinyChunks => {
                let batch = PIECE_BYTES / chunk(1).len();
                vec![
                    (head("POST", chunked), 1),
                    (chunk(1).repeat(batch).into(), bytes / batch),
                    end,
                ]
            }
            Kind::Head => vec![(head("POST", "x: "), 1), (filler(bytes), 1)],
            Kind::Pipelined => {
                let request = head("GET", "\r\n");
                let batch = PIECE_BYTES / request.len();
                let batches = bytes / (batch * request.len());
                vec![(request.repeat(batch).into(), batches)]
            }
            Kind::Idle => Vec::new(),
        }
    }
}

fn chunk(len: usize) -> Bytes {
    format!("{len:x}\r\n{}\r\n", "x".repeat(len)).into()
}
