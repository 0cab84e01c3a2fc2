//! Raw HTTP calls, for requests that the typed client can't send.

use actix_http::{Method, StatusCode, header::HeaderMap};
use bytes::Bytes;
use std::{net::SocketAddr, time::Duration};

/// Timeout of one call.
const TIMEOUT: Duration = Duration::from_secs(10);

/// An HTTP response, unparsed.
#[derive(Debug)]
pub(crate) struct Raw {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl Raw {
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// `done`, `refused` or `unknown`.
    pub(crate) fn outcome(&self) -> &str {
        self.header("lapisdrum-outcome").unwrap_or("none")
    }

    pub(crate) fn json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }
}

/// Sends one request and reads the whole response.
pub(crate) async fn send(
    method: Method,
    address: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: impl Into<Bytes>,
) -> Result<Raw, String> {
    let http = awc::Client::builder()
        .timeout(TIMEOUT)
        .disable_redirects()
        .finish();
    let mut req = http.request(method, format!("http://{address}{path}"));
    for (name, value) in headers {
        req = req.insert_header((*name, *value));
    }
    let mut answer = req
        .send_body(body.into())
        .await
        .map_err(|e| e.to_string())?;
    let body = answer
        .body()
        .limit(64 << 20)
        .await
        .map_err(|e| e.to_string())?;
    Ok(Raw {
        status: answer.status(),
        headers: answer.headers().clone(),
        body,
    })
}

/// Sends one JSON value and asserts success.
pub(crate) async fn put_json(address: SocketAddr, path: &str, value: &impl serde::Serialize) {
    let body = serde_json::to_vec(value).expect("test data serialises");
    let answer = send(Method::PUT, address, path, &[], body).await;
    let answer = answer.unwrap_or_else(|e| panic!("PUT {path}: {e}"));
    assert!(answer.status.is_success(), "PUT {path}: {}", answer.status);
}
