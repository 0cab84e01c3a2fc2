//! A TCP relay between daemons, which a test can cut to simulate a network partition.

use actix_rt::{net::TcpListener, task::JoinHandle};
use std::{cell::RefCell, net::SocketAddr, rc::Rc};
use tokio::{io::copy_bidirectional, net::TcpStream};

/// A relay that runs until it is cut.
pub(crate) struct Relay {
    accepting: JoinHandle<()>,
    open: Rc<RefCell<Vec<JoinHandle<()>>>>,
}

impl Relay {
    /// Forwards the connections to `listener` to `target`.
    pub(super) fn start(listener: TcpListener, target: SocketAddr) -> Self {
        let open: Rc<RefCell<Vec<JoinHandle<()>>>> = Rc::default();
        let joined = Rc::clone(&open);
        let accepting = actix_rt::spawn(async move {
            while let Ok((mut near, _)) = listener.accept().await {
                let relaying = actix_rt::spawn(async move {
                    if let Ok(mut far) = TcpStream::connect(target).await {
                        // An error closes both connections.
                        let _ = copy_bidirectional(&mut near, &mut far).await;
                    }
                });
                joined.borrow_mut().push(relaying);
            }
        });
        Self { accepting, open }
    }

    /// Stops the relay and closes its connections.
    pub(crate) fn cut(&self) {
        self.accepting.abort();
        for relaying in self.open.borrow().iter() {
            relaying.abort();
        }
    }
}
