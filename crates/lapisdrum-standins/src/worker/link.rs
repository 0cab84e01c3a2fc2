//! A link in front of a worker that does to its answers what an HTTP library won't: repeats them on
//! the connection, or closes the connection when the answer is due.

use actix_rt::net::{TcpListener, TcpStream};
use std::{
    cell::{Cell, RefCell},
    io,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt, copy};

/// Bytes read at once; an answer that is larger counts as several.
const READ_BYTES: usize = 256 * 1024;

/// What a link does wrong.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LinkSwitches {
    /// Of this many answers one is sent twice; 0 for none.
    pub repeats_one_in: u32,
    /// Of this many answers one is dropped and its connection closed; 0 for none.
    pub drops_one_in: u32,
    /// Connections are closed this long after they were made, in milliseconds; 0 for never.
    pub closes_after_ms: u64,
}

/// A link's state; shared with a test.
#[derive(Debug, Default)]
pub struct Link {
    /// What it does wrong.
    pub switches: RefCell<LinkSwitches>,
    answers: Cell<u32>,
}

impl Link {
    /// Carries connections from `listener` to `worker` for as long as the future is polled.
    pub async fn serve(self: Rc<Self>, listener: TcpListener, worker: SocketAddr) {
        while let Ok((near, _)) = listener.accept().await {
            let link = Rc::clone(&self);
            actix_rt::spawn(async move {
                // A broken connection on either side is the end of both.
                let _ = link.carry(near, worker).await;
            });
        }
    }

    async fn carry(&self, near: TcpStream, worker: SocketAddr) -> io::Result<()> {
        let far = TcpStream::connect(worker).await?;
        near.set_nodelay(true)?;
        far.set_nodelay(true)?;
        let (mut near_read, mut near_write) = near.into_split();
        let (mut far_read, mut far_write) = far.into_split();
        let mut buf = vec![0; READ_BYTES];
        let answers = async {
            loop {
                let n = far_read.read(&mut buf).await?;
                if n == 0 || !self.pass_on(&buf[..n], &mut near_write).await? {
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
            ended = copy(&mut near_read, &mut far_write) => ended.map(|_| ()),
        }
    }

    /// Passes one answer on; false when the connection is to be closed in its place.
    async fn pass_on(
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
