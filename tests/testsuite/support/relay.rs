//! A TCP relay between the command line and a daemon that injects one fault.

use lapisdrum_standins::site;
use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
};

/// The fault injected into the first change that passes.
pub(crate) enum Fault {
    /// The daemon makes the change, and the connection breaks before its response arrives.
    LoseResponse,
    /// Another operator's change is made first.
    Overtaken(Box<dyn FnOnce() + Send>),
}

type Pending = Arc<Mutex<Option<Fault>>>;

/// Listens on a free local address and relays each connection to `daemon`.
pub(crate) fn start(daemon: SocketAddr, fault: Fault) -> SocketAddr {
    let listener = TcpListener::bind(site::free_address()).expect("a free port");
    let address = listener.local_addr().expect("an address");
    let pending: Pending = Arc::new(Mutex::new(Some(fault)));
    thread::spawn(move || {
        for client in listener.incoming().flatten() {
            let pending = Arc::clone(&pending);
            thread::spawn(move || relay(client, daemon, &pending));
        }
    });
    address
}

fn relay(mut client: TcpStream, daemon: SocketAddr, pending: &Pending) {
    let Ok(mut upstream) = TcpStream::connect(daemon) else {
        return;
    };
    let losing = Arc::new(AtomicBool::new(false));
    let (Ok(mut responses), Ok(mut back)) = (upstream.try_clone(), client.try_clone()) else {
        return;
    };
    let lost = Arc::clone(&losing);
    thread::spawn(move || {
        pass(&mut responses, &mut back, |_| !lost.load(Ordering::SeqCst));
    });
    pass(&mut client, &mut upstream, |chunk| {
        if chunk.starts_with(b"PUT ") {
            let fault = pending.lock().expect("no panic under the lock").take();
            match fault {
                Some(Fault::LoseResponse) => losing.store(true, Ordering::SeqCst),
                Some(Fault::Overtaken(other)) => other(),
                None => {}
            }
        }
        true
    });
}

/// Copies until end of file, or until `accepts` returns false for a chunk; then closes both connections.
fn pass(from: &mut TcpStream, to: &mut TcpStream, mut accepts: impl FnMut(&[u8]) -> bool) {
    let mut buf = [0; 64 * 1024];
    while let Ok(read) = from.read(&mut buf) {
        if read == 0 || !accepts(&buf[..read]) || to.write_all(&buf[..read]).is_err() {
            break;
        }
    }
    let _ = from.shutdown(Shutdown::Both);
    let _ = to.shutdown(Shutdown::Both);
}
