//! Client for other daemons. Connections are reused, and reopened after a failed call.
//!
//! tarpc matches replies to calls by id, so the late reply to a call that timed out is discarded.

use super::{
    server::PeerServiceClient as Stub,
    wire::{PeerReply, PeerRequest, Stamped},
};
use crate::timeline::ring::Timeline;
use indexmap::IndexMap;
use std::{cell::RefCell, fmt, net::SocketAddr, rc::Rc, time::Duration};
use tarpc::{client, context, tokio_serde::formats::Bincode};

/// Largest frame between daemons, in bytes.
pub const MAX_FRAME_BYTES: usize = 64 * 1024 * 1024;

/// A call without a reply; unless it was never sent, it may have taken effect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerError {
    message: String,
    is_unsent: bool,
}

impl PeerError {
    fn unsent(message: impl ToString) -> Self {
        Self {
            message: message.to_string(),
            is_unsent: true,
        }
    }

    fn unanswered(message: impl ToString) -> Self {
        Self {
            message: message.to_string(),
            is_unsent: false,
        }
    }

    /// Whether no connection was opened, so that the call certainly had no effect.
    pub fn is_unsent(&self) -> bool {
        self.is_unsent
    }
}

impl fmt::Display for PeerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "peer did not answer: {}", self.message)
    }
}

impl std::error::Error for PeerError {}

/// Client for other daemons; keeps one connection per address.
pub struct Peers {
    timeline: Rc<Timeline>,
    timeout: Duration,
    connections: RefCell<IndexMap<String, Stub>>,
}

impl Peers {
    /// Creates a client; calls time out after `timeout` unless they have a limit of their own.
    pub fn new(timeline: Rc<Timeline>, timeout: Duration) -> Self {
        Self {
            timeline,
            timeout,
            connections: RefCell::default(),
        }
    }

    /// Calls the daemon at `address` (IP address and port) with the default timeout.
    pub async fn call(&self, address: &str, req: PeerRequest) -> Result<PeerReply, PeerError> {
        self.call_within(address, req, self.timeout).await
    }

    /// Calls the daemon at `address` and waits for its reply for at most `limit`, which includes
    /// opening a connection.
    pub async fn call_within(
        &self,
        address: &str,
        req: PeerRequest,
        limit: Duration,
    ) -> Result<PeerReply, PeerError> {
        let exchange = self.exchange(address, req, limit);
        let outcome = match tokio::time::timeout(limit, exchange).await {
            Ok(outcome) => outcome,
            Err(_) => Err(PeerError::unanswered("timeout")),
        };
        if outcome.is_err() {
            self.connections.borrow_mut().swap_remove(address);
        }
        outcome
    }

    async fn exchange(
        &self,
        address: &str,
        req: PeerRequest,
        limit: Duration,
    ) -> Result<PeerReply, PeerError> {
        let stub = self.stub(address).await?;
        let mut cx = context::current();
        cx.deadline = std::time::Instant::now() + limit;
        let req = Stamped {
            stamp: self.timeline.stamp(),
            value: req,
        };
        let reply = stub.call(cx, req).await.map_err(PeerError::unanswered)?;
        self.timeline.observe(reply.stamp);
        Ok(reply.value)
    }

    async fn stub(&self, address: &str) -> Result<Stub, PeerError> {
        if let Some(stub) = self.connections.borrow().get(address) {
            return Ok(stub.clone());
        }
        let target: SocketAddr = address
            .parse()
            .map_err(|_| PeerError::unsent(format!("`{address}` is not an IP address and port")))?;
        let mut connect = tarpc::serde_transport::tcp::connect(target, Bincode::default);
        connect.config_mut().max_frame_length(MAX_FRAME_BYTES);
        let transport = connect.await.map_err(PeerError::unsent)?;
        let new = Stub::new(client::Config::default(), transport);
        actix_rt::spawn(async move {
            let _ = new.dispatch.await;
        });
        self.connections
            .borrow_mut()
            .insert(address.to_owned(), new.client.clone());
        Ok(new.client)
    }
}
