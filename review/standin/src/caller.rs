//! Stand-in for requesters: HTTP/1.1 calls to the daemons.

use serde_json::Value;
use std::time::Duration;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

/// How long requesters wait for a response.
const DEADLINE: Duration = Duration::from_millis(3_000);

/// A response: status and body.
pub struct Response {
    pub status: u16,
    pub body: Value,
}

/// Sends one request on a channel of its own; none without a complete response in time.
pub async fn call(address: &str, method: &str, host: &str, path: &str, body: &str) -> Option<Response> {
    tokio::time::timeout(DEADLINE, exchange(address, method, host, path, body)).await.ok()?
}

async fn exchange(address: &str, method: &str, host: &str, path: &str, body: &str) -> Option<Response> {
    let mut stream = TcpStream::connect(address).await.ok()?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\nX-Lapisdrum-Request-Deadline: {}\r\nConnection: close\r\nContent-Length: {}\r\n\r\n",
        DEADLINE.as_millis(),
        body.len()
    );
    stream.write_all(head.as_bytes()).await.ok()?;
    stream.write_all(body.as_bytes()).await.ok()?;
    let mut raw = Vec::new();
    stream.read_to_end(&mut raw).await.ok()?;
    let raw = String::from_utf8_lossy(&raw);
    let (head, body) = raw.split_once("\r\n\r\n")?;
    let status = head.split_whitespace().nth(1)?.parse().ok()?;
    Some(Response { status, body: serde_json::from_str(body).unwrap_or(Value::Null) })
}
