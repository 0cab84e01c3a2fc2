//! HTTP/1.1 over blocking sockets: a server with a thread for each connection, and a client.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

pub struct Request {
    pub method: String,
    pub path: String,
    pub query: String,
    /// Names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn query(&self, name: &str) -> &str {
        let pairs = self.query.split('&').filter_map(|pair| pair.split_once('='));
        let found = pairs.into_iter().find(|(key, _)| *key == name);
        found.map_or("", |(_, value)| value)
    }

    pub fn text(&self) -> &str {
        std::str::from_utf8(&self.body).unwrap_or_default()
    }
}

pub struct Response {
    pub status: u16,
    pub body: Vec<u8>,
}

impl Response {
    pub fn new(status: u16, body: impl Into<Vec<u8>>) -> Self {
        Self { status, body: body.into() }
    }
}

/// A server that can be killed: then its port refuses connections, and open ones are reset.
pub struct Server {
    pub address: SocketAddr,
    is_dead: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    pub fn start(listener: TcpListener, handler: Arc<dyn Fn(Request) -> Response + Send + Sync>) -> Self {
        let address = listener.local_addr().expect("the address of a listener");
        let (is_dead, open) = (Arc::new(AtomicBool::new(false)), Arc::new(Mutex::new(Vec::new())));
        let (dead, streams) = (Arc::clone(&is_dead), Arc::clone(&open));
        spawn(move || {
            while let Ok((stream, _)) = listener.accept() {
                if dead.load(Ordering::SeqCst) {
                    return;
                }
                let _ = stream.set_nodelay(true);
                if let Ok(copy) = stream.try_clone() {
                    streams.lock().unwrap().push(copy);
                }
                let handler = Arc::clone(&handler);
                let dead = Arc::clone(&dead);
                spawn(move || {
                    let _ = serve(stream, &*handler, &dead);
                });
            }
        });
        Self { address, is_dead, open }
    }

    pub fn kill(&self) {
        self.is_dead.store(true, Ordering::SeqCst);
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
        // Wakes the accept loop, which drops the listener.
        let _ = TcpStream::connect(self.address);
    }
}

fn spawn(run: impl FnOnce() + Send + 'static) {
    let built = thread::Builder::new().stack_size(256 * 1024).spawn(run);
    built.expect("a thread");
}

fn serve(stream: TcpStream, handler: &(dyn Fn(Request) -> Response + Send + Sync), dead: &AtomicBool) -> std::io::Result<()> {
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some(req) = read_request(&mut reader)? {
        let answer = handler(req);
        if dead.load(Ordering::SeqCst) {
            return Ok(());
        }
        let mut raw = format!(
            "HTTP/1.1 {} -\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
            answer.status,
            answer.body.len()
        )
        .into_bytes();
        raw.extend(answer.body);
        writer.write_all(&raw)?;
    }
    Ok(())
}

fn read_head(reader: &mut impl BufRead) -> std::io::Result<Option<(String, Vec<(String, String)>)>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some((first.trim_end().to_owned(), headers)));
        }
        if let Some((key, value)) = line.split_once(':') {
            headers.push((key.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

fn length(headers: &[(String, String)]) -> usize {
    let found = headers.iter().find(|(key, _)| key == "content-length");
    found.and_then(|(_, value)| value.parse().ok()).unwrap_or_default()
}

fn read_request(reader: &mut impl BufRead) -> std::io::Result<Option<Request>> {
    let Some((first, headers)) = read_head(reader)? else {
        return Ok(None);
    };
    let mut words = first.split(' ');
    let (method, target) = (words.next().unwrap_or_default(), words.next().unwrap_or_default());
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let mut body = vec![0; length(&headers)];
    reader.read_exact(&mut body)?;
    Ok(Some(Request {
        method: method.to_owned(),
        path: path.to_owned(),
        query: query.to_owned(),
        headers,
        body,
    }))
}

/// Sends one request on a connection of its own; `None` without a complete answer within `limit`.
pub fn send(address: SocketAddr, host: &str, method: &str, path: &str, body: &str, limit: Duration) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address, limit).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    let deadline = limit.as_millis();
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\n\
         X-Lapisdrum-Request-Deadline: {deadline}\r\nContent-Length: {}\r\nConnection: close\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes()).ok()?;
    stream.write_all(body.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let (first, headers) = read_head(&mut reader).ok()??;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    let mut body = vec![0; length(&headers)];
    reader.read_exact(&mut body).ok()?;
    Some((status, String::from_utf8_lossy(&body).into_owned()))
}
