//! HTTP/1.1 server with buffered bodies, used by the daemon's servers and by the stand-ins.
//!
//! The accept loop runs on the caller's thread, so a handler can hold `Rc` state without locks, and a
//! test that pauses the runtime's clock also pauses the server. The size of bodies is limited; a body
//! beyond the limit is refused before it is buffered whole. What all clients hold together is limited
//! by an [`Intake`](intake::Intake).

mod connection;
pub mod intake;
pub mod pool;

use actix_http::{
    Extensions, HttpService, Method, Payload, Request, RequestHead, Response, StatusCode,
    body::{BodySize, BoxBody, MessageBody},
    error::PayloadError,
    header::{CONTENT_LENGTH, HeaderMap},
};
use actix_rt::net::TcpListener;
use actix_service::{IntoServiceFactory, Service, ServiceFactory, fn_service};
use bytes::Bytes;
use connection::{Connection, Socket};
use futures::StreamExt;
use intake::{Charge, Intake, IntakeLimits, IntakeMetrics};
use serde::{Serialize, de::DeserializeOwned};
use std::{
    convert::Infallible,
    future::Future,
    net::{IpAddr, SocketAddr},
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
    time::Duration,
};
use tokio::sync::watch;

/// Timeout for a client to send the head of a request.
const REQUEST_HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum time to wait for connections to close after the last request in flight is answered. It is
/// limited because idle keep-alive connections don't close by themselves.
const CLOSE_GRACE: Duration = Duration::from_millis(500);
/// Time for which the rest of a request body is read and discarded after an early response. Without
/// it the connection closes at once, and a client that is still sending gets a reset instead of the
/// response.
const LINGER: Duration = Duration::from_secs(2);
/// Time that a body may still take after the server was told to stop. A client within its own
/// deadline of a few seconds sends the rest sooner, and it leaves most of the shutdown to requests
/// that have arrived whole.
const STOP_BODY_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval between checks for open requests and connections, and delay after a failed accept.
const CLOSE_POLL: Duration = Duration::from_millis(5);
/// Time after which an idle connection is closed.
const KEEP_ALIVE: Duration = Duration::from_secs(75);

/// A request with its complete body.
#[derive(Debug)]
pub struct HttpRequest {
    /// The request method.
    pub method: Method,
    /// The path, without the query.
    pub path: String,
    /// The query, without the question mark; empty when there is none.
    pub query: String,
    /// Header names and values.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
    /// The client's IP address, if known.
    pub peer: Option<IpAddr>,
}

impl HttpRequest {
    /// A header's value; `None` if it is absent or not visible ASCII.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// The value of a query parameter, without percent-decoding of names or values.
    pub fn query(&self, name: &str) -> Option<&str> {
        let pairs = self
            .query
            .split('&')
            .filter_map(|pair| pair.split_once('='));
        pairs
            .into_iter()
            .find_map(|(key, value)| (key == name).then_some(value))
    }

    /// Parses the body as JSON.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, serde_json::Error> {
        serde_json::from_slice(&self.body)
    }
}

/// A response with a complete body.
#[derive(Clone, Debug)]
pub struct HttpResponse {
    /// Status code.
    pub status: StatusCode,
    /// Header names and values.
    pub headers: Vec<(&'static str, String)>,
    /// The complete body.
    pub body: Bytes,
    /// `Content-Length` to declare if it is not the body's length. The connection is closed after a
    /// shorter body. Stand-ins use it to truncate their responses.
    pub declared_len: Option<u64>,
    /// Whether the connection is closed after the response.
    pub closes: bool,
}

impl HttpResponse {
    /// A response with `body` as JSON.
    pub fn json(status: StatusCode, body: &impl Serialize) -> Self {
        let body = serde_json::to_vec(body).unwrap_or_default();
        Self::bytes(status, body.into()).with("content-type", "application/json")
    }

    /// A response with `body` and no headers.
    pub fn bytes(status: StatusCode, body: Bytes) -> Self {
        Self {
            status,
            headers: Vec::new(),
            body,
            declared_len: None,
            closes: false,
        }
    }

    /// A response without a body.
    pub fn empty(status: StatusCode) -> Self {
        Self::bytes(status, Bytes::new())
    }

    /// Adds a header.
    #[must_use]
    pub fn with(mut self, name: &'static str, value: impl Into<String>) -> Self {
        self.headers.push((name, value.into()));
        self
    }

    /// Closes the connection after the response.
    #[must_use]
    pub fn closing(mut self) -> Self {
        self.closes = true;
        self
    }

    /// The value of the first header with this name.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(key, _)| *key == name)
            .map(|(_, value)| value.as_str())
    }
}

/// What happens to a request's body, decided on the head alone.
#[derive(Clone, Debug)]
pub enum BodyPolicy {
    /// It is collected for the handler, up to a limit in bytes.
    Collect {
        /// The limit in bytes.
        limit: usize,
    },
    /// The handler is called at once, with an empty body in its place.
    Ignore,
    /// The request is answered at once, without the handler.
    Answer(HttpResponse),
}

/// Why a request's body could not be read; passed to the handler instead of the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFault {
    /// The body exceeds the limit.
    TooLarge {
        /// The limit in bytes.
        limit: usize,
    },
    /// The connection failed before the end of the body.
    Incomplete,
    /// The server stops, and the body was not complete in time.
    Draining,
    /// There is no memory for the body.
    OutOfMemory,
}

/// Time after which a client may send a request again that was refused for the state of the server:
/// several round trips, within which the requests of other clients end, or the load balancer has
/// learned that this server stops.
pub const BODY_RETRY: Duration = Duration::from_secs(1);

/// Serves requests on `listener` until `stop` becomes true. Then accepts no more connections, lets
/// requests in flight finish, and returns once connections are closed, at most `CLOSE_GRACE` after
/// the last response. Limits bodies to `body_limit` bytes, and what clients hold together to nothing.
pub async fn serve<H, F>(
    listener: TcpListener,
    body_limit: usize,
    stop: watch::Receiver<bool>,
    handler: H,
) where
    H: Fn(Result<HttpRequest, BodyFault>) -> F + 'static,
    F: Future<Output = HttpResponse> + 'static,
{
    let policy = move |_: &RequestHead| BodyPolicy::Collect { limit: body_limit };
    let intake = Intake::new(IntakeLimits::NONE, IntakeMetrics::default());
    serve_with(listener, intake, policy, stop, handler).await;
}

/// Like [`serve`], but `intake` limits what clients hold together, and `policy` decides by the head of
/// each request what happens to its body, before any of it is read.
pub async fn serve_with<P, H, F>(
    listener: TcpListener,
    intake: Rc<Intake>,
    policy: P,
    stop: watch::Receiver<bool>,
    handler: H,
) where
    P: Fn(&RequestHead) -> BodyPolicy + 'static,
    H: Fn(Result<HttpRequest, BodyFault>) -> F + 'static,
    F: Future<Output = HttpResponse> + 'static,
{
    let handler = Rc::new(handler);
    let policy = Rc::new(policy);
    let in_flight = Rc::new(());
    let counted = Rc::clone(&in_flight);
    let stopped = stop.clone();
    let service = fn_service(move |req: Request| {
        let (handler, token) = (Rc::clone(&handler), Rc::clone(&counted));
        let (policy, stop) = (Rc::clone(&policy), stopped.clone());
        async move {
            let response = respond(req, &*policy, &*handler, stop).await;
            Ok::<_, Infallible>(to_actix(response, token))
        }
    });
    let signal = {
        let stop = stop.clone();
        move || wait_true(stop.clone())
    };
    let factory = HttpService::build()
        .client_request_timeout(REQUEST_HEAD_TIMEOUT)
        .client_disconnect_timeout(LINGER)
        .keep_alive(KEEP_ALIVE)
        .graceful_shutdown_signal(signal)
        .on_connect_ext(|socket: &Socket, data: &mut Extensions| {
            data.insert(Rc::clone(socket.connection()));
        })
        .h1(service)
        .into_factory();
    let Ok(connections) = factory.new_service(()).await else {
        return;
    };
    let connections = Rc::new(connections);
    accept_loop(listener, &intake, stop, connections, &in_flight).await;
}

/// Answers one request, and keeps the state of its connection.
async fn respond<H, F>(
    mut req: Request,
    policy: &dyn Fn(&RequestHead) -> BodyPolicy,
    handler: &H,
    stop: watch::Receiver<bool>,
) -> HttpResponse
where
    H: Fn(Result<HttpRequest, BodyFault>) -> F + 'static,
    F: Future<Output = HttpResponse> + 'static,
{
    let Some(connection) = req.conn_data::<Rc<Connection>>().cloned() else {
        unreachable!("the state of a connection is set when it is accepted");
    };
    connection.begin().await;
    let payload = req.take_payload();
    let has_body = !matches!(payload, Payload::None);
    let declared_len = declared_len(&req);
    let (response, is_rest_unread) = match policy(req.head()) {
        BodyPolicy::Collect { limit } => {
            let body = collect(&connection, declared_len, payload, limit, stop).await;
            connection.begin_serving();
            let is_rest_unread = body.is_err();
            let read = body.map(|body| with_body(req, body));
            (handler(read).await, is_rest_unread)
        }
        BodyPolicy::Ignore => {
            drop(payload);
            connection.begin_serving();
            let response = handler(Ok(with_body(req, Bytes::new()))).await;
            (response, has_body)
        }
        BodyPolicy::Answer(response) => (response, has_body),
    };
    connection.end(response.body.len(), is_rest_unread);
    match is_rest_unread {
        true => response.closing(),
        false => response,
    }
}

async fn accept_loop<S>(
    listener: TcpListener,
    intake: &Rc<Intake>,
    stop: watch::Receiver<bool>,
    service: Rc<S>,
    in_flight: &Rc<()>,
) where
    S: Service<(Socket, Option<SocketAddr>)> + 'static,
{
    // Clones of the token that are held even while no request is in flight.
    let idle_tokens = Rc::strong_count(in_flight);
    let open = Rc::new(());
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = wait_true(stop.clone()) => break,
        };
        // A failed accept (out of file descriptors, client disconnected) must not stop the server.
        let Ok((stream, peer)) = accepted else {
            tokio::time::sleep(CLOSE_POLL).await;
            continue;
        };
        let Some(connection) = intake.admit() else {
            continue;
        };
        // Fails only for a connection that is already closed.
        let _ = stream.set_nodelay(true);
        let (service, intake, token) = (Rc::clone(&service), Rc::clone(intake), Rc::clone(&open));
        actix_rt::spawn(async move {
            let socket = Socket::new(stream, Rc::clone(&connection));
            tokio::select! {
                _ = service.call((socket, Some(peer))) => {}
                () = connection.closed() => {}
            }
            intake.remove(connection.id());
            drop(token);
        });
    }
    drop(listener);
    while Rc::strong_count(in_flight) > idle_tokens {
        tokio::time::sleep(CLOSE_POLL).await;
    }
    let all_closed = async {
        while Rc::strong_count(&open) > 1 {
            tokio::time::sleep(CLOSE_POLL).await;
        }
    };
    let _ = tokio::time::timeout(CLOSE_GRACE, all_closed).await;
}

/// Completes once the watched value is true. Never completes if the sender is dropped before.
pub async fn wait_true(mut stop: watch::Receiver<bool>) {
    if stop.wait_for(|stopped| *stopped).await.is_err() {
        std::future::pending::<()>().await;
    }
}

/// Reads a body. After `stop` it has [`STOP_BODY_TIMEOUT`] left.
async fn collect(
    connection: &Connection,
    declared_len: Option<usize>,
    payload: Payload,
    limit: usize,
    stop: watch::Receiver<bool>,
) -> Result<Bytes, BodyFault> {
    if declared_len.is_some_and(|len| len > limit) {
        return Err(BodyFault::TooLarge { limit });
    }
    connection.begin_body();
    let stopped = async {
        wait_true(stop).await;
        tokio::time::sleep(STOP_BODY_TIMEOUT).await;
    };
    tokio::select! {
        biased;
        () = connection.yielded() => Err(BodyFault::OutOfMemory),
        body = read_body(connection, payload, limit) => body,
        () = stopped => Err(BodyFault::Draining),
    }
}

async fn read_body(
    connection: &Connection,
    mut payload: Payload,
    limit: usize,
) -> Result<Bytes, BodyFault> {
    let mut body = Vec::new();
    let mut charge = connection.body_charge();
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.map_err(|_: PayloadError| BodyFault::Incomplete)?;
        let len = body.len() + chunk.len();
        if len > limit {
            return Err(BodyFault::TooLarge { limit });
        }
        if len > body.capacity() {
            let capacity = (body.capacity() * 2).max(len).min(limit);
            let charge = charge.as_mut();
            if !charge.is_none_or(|charge| connection.try_hold_body(charge, capacity)) {
                return Err(BodyFault::OutOfMemory);
            }
            body.reserve_exact(capacity - body.len());
        }
        body.extend_from_slice(&chunk);
    }
    Ok(Bytes::from_owner(Body {
        body,
        _charge: charge,
    }))
}

/// A body that gives back its memory when the last reference to it is dropped, which may be after its
/// connection was closed.
struct Body {
    body: Vec<u8>,
    _charge: Option<Charge>,
}

impl AsRef<[u8]> for Body {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}

fn with_body(mut req: Request, body: Bytes) -> HttpRequest {
    HttpRequest {
        method: req.method().clone(),
        path: req.path().to_owned(),
        query: req.uri().query().unwrap_or_default().to_owned(),
        headers: std::mem::replace(req.headers_mut(), HeaderMap::new()),
        body,
        peer: req.peer_addr().map(|peer| peer.ip()),
    }
}

fn declared_len(req: &Request) -> Option<usize> {
    let declared = req.head().headers.get(CONTENT_LENGTH)?;
    declared.to_str().ok()?.parse().ok()
}

fn to_actix(response: HttpResponse, token: Rc<()>) -> Response<BoxBody> {
    let mut builder = Response::build(response.status);
    for (name, value) in response.headers {
        builder.insert_header((name, value));
    }
    if response.closes {
        builder.force_close();
    }
    let declared_len = response.declared_len.unwrap_or(response.body.len() as u64);
    builder
        .body(InFlightBody {
            declared_len,
            body: response.body,
            _token: token,
        })
        .map_into_boxed_body()
}

/// A response body that keeps its request counted as in flight until the server drops the body after
/// sending it.
struct InFlightBody {
    declared_len: u64,
    body: Bytes,
    _token: Rc<()>,
}

impl MessageBody for InFlightBody {
    type Error = Infallible;

    fn size(&self) -> BodySize {
        BodySize::Sized(self.declared_len)
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Infallible>>> {
        let body = std::mem::take(&mut self.body);
        Poll::Ready((!body.is_empty()).then_some(Ok(body)))
    }
}
