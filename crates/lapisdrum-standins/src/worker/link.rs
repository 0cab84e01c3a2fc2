//! A TCP proxy in front of a worker for faults that an HTTP library does not produce: it sends an
//! answer twice, or closes the connection instead of sending it.

use actix_rt::net::{TcpListener, TcpStream};
use std::{
    cell::{Cell, RefCell},
    io,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt, copy};

/// Size of one read. Each read counts as one answer, so a larger answer counts as several.
const READ_BYTES: usize = 256 * 1024;

/// Faults that a link injects.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LinkSwitches {
    /// Every n-th answer is sent twice; 0 for none.
    pub repeats_one_in: u32,
    /// Every n-th answer is dropped and its connection closed; 0 for none.
    pub drops_one_in: u32,
    /// Maximum age of a connection, in milliseconds; 0 for no limit.
    pub closes_after_ms: u64,
}

/// A link's state, shared with a test.
#[derive(Debug, Default)]
pub struct Link {
    /// Faults to inject.
    pub switches: RefCell<LinkSwitches>,
    answers: Cell<u32>,
}

impl Link {
    /// Forwards connections from `listener` to `worker` for as long as the future is polled.
    pub async fn serve(self: Rc<Self>, listener: TcpListener, worker: SocketAddr) {
        while let Ok((client, _)) = listener.accept().await {
            let link = Rc::clone(&self);
            actix_rt::spawn(async move {
                // An error on either connection closes both.
                let _ = link.carry(client, worker).await;
            });
        }
    }

    async fn carry(&self, client: TcpStream, worker: SocketAddr) -> io::Result<()> {
        let server = TcpStream::connect(worker).await?;
        client.set_nodelay(true)?;
        server.set_nodelay(true)?;
        let (mut client_read, mut client_write) = client.into_split();
        let (mut server_read, mut server_write) = server.into_split();
        let mut buf = vec![0; READ_BYTES];
        let answers = async {
            loop {
                let n = server_read.read(&mut buf).await?;
                if n == 0 || !self.forward(&buf[..n], &mut client_write).await? {
                    return Ok(());
                }
            }
        };
        let closes_after = match self.switches.borrow().closes_after_ms {
            0 => Duration::MAX,
            ms => Duration::from_millis(ms),
        };
        tokio::select! {
            () = tokio::time::sleep(closes_after) => Ok(()),
            ended = answers => ended,
            ended = copy(&mut client_read, &mut server_write) => ended.map(|_| ()),
        }
    }

    /// Forwards one answer; returns false when the connection is to be closed instead.
    async fn forward(
        &self,
        answer: &[u8],
        to: &mut (impl AsyncWriteExt + Unpin),
    ) -> io::Result<bool> {
        let nth = self.answers.get() + 1;
        self.answers.set(nth);
        let is_one_in = |n: u32| n > 0 && nth.is_multiple_of(n);
        let switches = self.switches.borrow().clone();
        if is_one_in(switches.drops_one_in) {
            return Ok(false);
        }
        to.write_all(answer).await?;
        if is_one_in(switches.repeats_one_in) {
            to.write_all(answer).await?;
        }
        Ok(true)
    }
}
