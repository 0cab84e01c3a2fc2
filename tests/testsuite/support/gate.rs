//! A TCP relay whose open connections can be silenced, and which limits their number.

use actix_rt::net::{TcpListener, TcpStream};
use std::{
    cell::Cell,
    net::SocketAddr,
    rc::{Rc, Weak},
    time::Duration,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// Interval between checks for a free place while the limit of connections is reached.
const PLACE_CHECK: Duration = Duration::from_millis(5);

/// The relay; it stops when this is dropped.
pub(crate) struct Gate {
    /// Address that clients connect to.
    pub(crate) address: SocketAddr,
    open: Cell<usize>,
    /// Connections that were accepted before the last increment are silent.
    silenced: Cell<u64>,
}

impl Gate {
    /// Relays to `target`; at most `max_open` connections are accepted at a time, and further ones
    /// wait in the listener's queue.
    pub(crate) async fn start(target: SocketAddr, max_open: usize) -> Rc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let gate = Rc::new(Self {
            address: listener.local_addr().expect("an address"),
            open: Cell::new(0),
            silenced: Cell::new(0),
        });
        actix_rt::spawn(accept(Rc::downgrade(&gate), listener, target, max_open));
        gate
    }

    /// Number of connections that clients have open.
    pub(crate) fn open(&self) -> usize {
        self.open.get()
    }

    /// Stops passing on anything on the connections that are open now. They stay open.
    pub(crate) fn silence(&self) {
        self.silenced.set(self.silenced.get() + 1);
    }
}

async fn accept(gate: Weak<Gate>, listener: TcpListener, target: SocketAddr, max_open: usize) {
    loop {
        let Some(is_full) = gate.upgrade().map(|gate| gate.open() >= max_open) else {
            return;
        };
        if is_full {
            tokio::time::sleep(PLACE_CHECK).await;
            continue;
        }
        let Ok((client, _)) = listener.accept().await else {
            return;
        };
        if let Some(gate) = gate.upgrade() {
            gate.open.set(gate.open() + 1);
            actix_rt::spawn(relay(gate, client, target));
        }
    }
}

async fn relay(gate: Rc<Gate>, mut client: TcpStream, target: SocketAddr) {
    let silenced_before = gate.silenced.get();
    let mut upstream = TcpStream::connect(target).await.expect("the target");
    let (mut sent, mut received) = ([0; 16 * 1024], [0; 16 * 1024]);
    loop {
        let (to, bytes) = tokio::select! {
            read = client.read(&mut sent) => match read {
                Ok(read @ 1..) => (&mut upstream, &sent[..read]),
                _ => break,
            },
            read = upstream.read(&mut received) => match read {
                Ok(read @ 1..) => (&mut client, &received[..read]),
                _ => break,
            },
        };
        let is_silent = gate.silenced.get() != silenced_before;
        if !is_silent && to.write_all(bytes).await.is_err() {
            break;
        }
    }
    gate.open.set(gate.open() - 1);
}
