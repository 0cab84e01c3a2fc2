//! A TCP relay between daemons, which a test can cut to simulate a network partition.

use actix_rt::{net::TcpListener, task::JoinHandle};
use std::{cell::RefCell, net::SocketAddr, rc::Rc};
use tokio::{io::copy_bidirectional, net::TcpStream};

/// A relay that runs until it is cut.
pub(crate) struct Relay {
    accepting: JoinHandle<()>,
    connections: Rc<RefCell<Vec<JoinHandle<()>>>>,
}

impl Relay {
    /// Forwards the connections to `listener` to `target`.
    pub(super) fn start(listener: TcpListener, target: SocketAddr) -> Self {
        let connections: Rc<RefCell<Vec<JoinHandle<()>>>> = Rc::default();
        let accepted = Rc::clone(&connections);
        let accepting = actix_rt::spawn(async move {
            while let Ok((mut near, _)) = listener.accept().await {
                let relaying = actix_rt::spawn(async move {
                    if let Ok(mut far) = TcpStream::connect(target).await {
                        // An error closes both connections.
                        let _ = copy_bidirectional(&mut near, &mut far).await;
                    }
                });
                accepted.borrow_mut().push(relaying);
            }
        });
        Self {
            accepting,
            connections,
        }
    }

    /// Stops the relay and closes its connections.
    pub(crate) fn cut(&self) {
        self.accepting.abort();
        for relaying in self.connections.borrow().iter() {
            relaying.abort();
        }
    }
}
