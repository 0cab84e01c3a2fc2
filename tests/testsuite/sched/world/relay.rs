//! A TCP relay between daemons, which a test can cut or make silent to simulate a network partition.

use actix_rt::{net::TcpListener, task::JoinHandle};
use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
};
use tokio::{io::copy_bidirectional, net::TcpStream, sync::watch};

/// A relay that runs until it is cut.
pub(crate) struct Relay {
    accepting: JoinHandle<()>,
    target: Rc<Cell<SocketAddr>>,
    connections: Rc<RefCell<Vec<JoinHandle<()>>>>,
    is_silent: watch::Sender<bool>,
}

impl Relay {
    /// Forwards the connections to `listener` to `target`.
    pub(super) fn start(listener: TcpListener, target: SocketAddr) -> Self {
        let connections: Rc<RefCell<Vec<JoinHandle<()>>>> = Rc::default();
        let accepted = Rc::clone(&connections);
        let target = Rc::new(Cell::new(target));
        let current_target = Rc::clone(&target);
        let (is_silent, silence) = watch::channel(false);
        let accepting = actix_rt::spawn(async move {
            while let Ok((mut near, _)) = listener.accept().await {
                let current_target = Rc::clone(&current_target);
                let mut silence = silence.clone();
                let relaying = actix_rt::spawn(async move {
                    if silence.wait_for(|is_silent| !is_silent).await.is_err() {
                        return;
                    }
                    if let Ok(mut far) = TcpStream::connect(current_target.get()).await {
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
            is_silent,
        }
    }

    /// Closes the relay's connections and leaves new ones without an answer, or forwards these again.
    pub(crate) fn set_silent(&self, is_silent: bool) {
        self.is_silent.send_replace(is_silent);
        if is_silent {
            self.close_connections();
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
