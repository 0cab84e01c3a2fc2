//! A TCP relay between daemons, which a test can cut to simulate a network partition.

use actix_rt::{net::TcpListener, task::JoinHandle};
use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
};
use tokio::{io::copy_bidirectional, net::TcpStream};

/// A relay that runs until it is cut.
pub(crate) struct Relay {
    accepting: JoinHandle<()>,
    target: Rc<Cell<SocketAddr>>,
    connections: Rc<RefCell<Vec<JoinHandle<()>>>>,
}

impl Relay {
    /// Forwards the connections to `listener` to `target`.
    pub(super) fn start(listener: TcpListener, target: SocketAddr) -> Self {
        let connections: Rc<RefCell<Vec<JoinHandle<()>>>> = Rc::default();
        let accepted = Rc::clone(&connections);
        let target = Rc::new(Cell::new(target));
        let current_target = Rc::clone(&target);
        let accepting = actix_rt::spawn(async move {
            while let Ok((mut near, _)) = listener.accept().await {
                let to = current_target.get();
                let relaying = actix_rt::spawn(async move {
                    if let Ok(mut far) = TcpStream::connect(to).await {
                        // An error closes both connections.
                        let _ = copy_bidirectional(&mut near, &mut far).await;
                    }
                });
                accepted.borrow_mut().push(relaying);
            }
        });
        Self {
            accepting,
            target,
            connections,
        }
    }

    /// Closes the relay's connections, and forwards new ones to `target`.
    pub(super) fn redirect(&self, target: SocketAddr) {
        self.target.set(target);
        self.close_connections();
    }

    /// Stops the relay and closes its connections.
    pub(crate) fn cut(&self) {
        self.accepting.abort();
        self.close_connections();
    }

    fn close_connections(&self) {
        for relaying in self.connections.borrow_mut().drain(..) {
            relaying.abort();
        }
    }
}
