//! An HTTP/1.1 server with a thread for each connection, and a client for single requests.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

pub struct Request {
    pub path: String,
    pub query: Vec<(String, String)>,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn query(&self, name: &str) -> &str {
        let found = self.query.iter().find(|(key, _)| key == name);
        found.map_or("", |(_, value)| value.as_str())
    }
}

pub enum Answer {
    Reply(u16, Vec<u8>),
    /// The connection stays open and nothing is answered on it any more.
    Silence,
}

/// Time without a request after which a server closes a channel.
const IDLE_TIMEOUT: Duration = Duration::from_secs(75);

/// The channels of a server. Those that were opened before the last call of [`Channels::mute`] are
/// silent for good; new ones work.
#[derive(Default)]
pub struct Channels {
    epoch: AtomicU64,
    open: AtomicUsize,
    /// Most open channels; further ones wait in the queue of the listener. 0 for no limit.
    most: AtomicUsize,
}

/// An open channel.
struct Open<'a>(&'a Channels);

impl Drop for Open<'_> {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Channels {
    pub fn limit(&self, most: usize) {
        self.most.store(most, Ordering::SeqCst);
    }

    pub fn count(&self) -> usize {
        self.open.load(Ordering::SeqCst)
    }

    fn is_full(&self) -> bool {
        let most = self.most.load(Ordering::SeqCst);
        most > 0 && self.count() >= most
    }

    pub fn mute(&self) {
        self.epoch.fetch_add(1, Ordering::SeqCst);
    }

    fn epoch(&self) -> u64 {
        self.epoch.load(Ordering::SeqCst)
    }
}

/// Serves on a free loopback port, and returns the address.
pub fn serve(
    channels: &Arc<Channels>,
    handler: impl Fn(Request) -> Answer + Send + Sync + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let (handler, channels) = (Arc::new(handler), Arc::clone(channels));
    thread::spawn(move || {
        loop {
            while channels.is_full() {
                thread::sleep(Duration::from_millis(2));
            }
            let Ok((stream, _)) = listener.accept() else {
                continue;
            };
            channels.open.fetch_add(1, Ordering::SeqCst);
            let (handler, channels) = (Arc::clone(&handler), Arc::clone(&channels));
            thread::spawn(move || connection(stream, &channels, &*handler));
        }
    });
    address
}

fn connection(stream: TcpStream, channels: &Channels, handler: &dyn Fn(Request) -> Answer) {
    let _open = Open(channels);
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(IDLE_TIMEOUT));
    let opened_in = channels.epoch();
    let Ok(mut out) = stream.try_clone() else {
        return;
    };
    let mut input = BufReader::new(stream);
    while let Some(request) = read_request(&mut input) {
        let is_silent = || channels.epoch() != opened_in;
        if is_silent() {
            return swallow(input);
        }
        let answer = handler(request);
        let (Answer::Reply(status, body), false) = (answer, is_silent()) else {
            return swallow(input);
        };
        let head = format!(
            "HTTP/1.1 {status} -\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        if out.write_all(&[head.as_bytes(), &body].concat()).is_err() {
            return;
        }
    }
}

/// Reads what comes and answers nothing, until the other side closes the connection.
fn swallow(mut input: impl Read) {
    let mut buf = [0; 4096];
    while input.read(&mut buf).is_ok_and(|read| read > 0) {}
}

fn read_request(input: &mut BufReader<TcpStream>) -> Option<Request> {
    let mut line = String::new();
    (input.read_line(&mut line).ok()? > 0).then_some(())?;
    let mut words = line.split_whitespace();
    let (_method, target) = (words.next()?, words.next()?.to_owned());
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        input.read_line(&mut line).ok()?;
        let Some((key, value)) = line.split_once(':') else {
            break;
        };
        headers.push((key.trim().to_lowercase(), value.trim().to_owned()));
    }
    let len = headers.iter().find(|(key, _)| key == "content-length");
    let len = len.and_then(|(_, value)| value.parse().ok()).unwrap_or(0);
    let mut body = vec![0; len];
    input.read_exact(&mut body).ok()?;
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    Some(Request {
        path: path.to_owned(),
        query: pairs.map(|(k, v)| (k.to_owned(), unescape(v))).collect(),
        headers,
        body,
    })
}

fn unescape(raw: &str) -> String {
    let raw = raw.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < raw.len() {
        let digits = raw.get(at + 1..at + 3).and_then(|d| std::str::from_utf8(d).ok());
        match digits.filter(|_| raw[at] == b'%').map(|d| u8::from_str_radix(d, 16)) {
            Some(Ok(byte)) => {
                out.push(byte);
                at += 3;
            }
            _ => {
                out.push(raw[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Sends one request over a connection of its own. `None` without a complete response in time.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    host: &str,
    body: &str,
    within: Duration,
) -> Option<(u16, Vec<u8>)> {
    let mut stream = TcpStream::connect_timeout(&address, within).ok()?;
    stream.set_read_timeout(Some(within)).ok()?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\nX-Lapisdrum-Request-Deadline: {}\r\nContent-Length: {}\r\n\r\n",
        within.as_millis(),
        body.len()
    );
    stream.write_all([head.as_bytes(), body.as_bytes()].concat().as_slice()).ok()?;
    let mut input = BufReader::new(stream);
    let mut line = String::new();
    input.read_line(&mut line).ok()?;
    let status = line.split_whitespace().nth(1)?.parse().ok()?;
    let mut len = 0;
    loop {
        let mut line = String::new();
        input.read_line(&mut line).ok()?;
        let Some((key, value)) = line.split_once(':') else {
            break;
        };
        if key.eq_ignore_ascii_case("content-length") {
            len = value.trim().parse().ok()?;
        }
    }
    let mut body = vec![0; len];
    input.read_exact(&mut body).ok()?;
    Some((status, body))
}
