//! A connection of a caller: its socket, wrapped so that the HTTP library reads no faster than the
//! rest of the process keeps up with, and the state by which [`Intake`] knows it.
//!
//! The library decodes all that the socket gives it, queues the requests, and buffers responses until
//! the client takes them. So the socket is read in small steps, of which the library decodes each
//! before the next, and it is not read while requests are queued or responses are left unread.

use super::intake::{ALLOWANCE_BYTES, Charge, Intake};
use crate::policy::intake::{PROGRESS_BYTES, Stage};
use actix_rt::net::TcpStream;
use std::{
    cell::{Cell, RefCell},
    io,
    pin::Pin,
    rc::{Rc, Weak},
    task::{Context, Poll, Waker},
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    sync::Notify,
    time::Instant,
};

/// Bytes of a body read from a socket before the library gets to decode them. Decoded chunks of one
/// byte take several times their size.
const BODY_STEP: usize = 8 * 1024;
/// Bytes of heads read before the library gets to decode them, and most bytes that are read of further
/// requests while one is being served: a queued request takes over a hundred times its shortest size.
const HEAD_STEP: usize = 512;
/// Bytes of responses that a client may leave unread before its next request is handled.
const MAX_UNSENT: usize = 16 * 1024;
/// Memory of a response's head, more than one has.
const RESPONSE_HEAD_BYTES: usize = 512;

/// State of a connection.
pub(super) struct Connection {
    id: u64,
    intake: Weak<Intake>,
    stage: Cell<Stage>,
    /// Whether the library waits for the response to a request. While it doesn't, none is queued.
    in_request: Cell<bool>,
    progressed_at: Cell<Instant>,
    /// Bytes received since then.
    received: Cell<usize>,
    /// Bytes received of heads, which the library buffers until they are complete and keeps until
    /// their request is answered.
    head: Cell<usize>,
    /// Bytes received of further requests since requests are queued.
    ahead: Cell<usize>,
    /// Bytes of responses that the socket has not taken yet.
    unsent: Cell<usize>,
    /// For `head`, `ahead` and `unsent`, beyond the allowance.
    charge: RefCell<Charge>,
    /// Bytes of this charge, for others to read while it changes.
    charged: Cell<usize>,
    /// Bytes charged for the body that arrives.
    body: Cell<usize>,
    has_yielded: Cell<bool>,
    is_closing: Cell<bool>,
    yielded: Notify,
    closed: Notify,
    writable: Notify,
    reader: RefCell<Option<Waker>>,
}

impl Connection {
    pub(super) fn new(id: u64, intake: &Rc<Intake>) -> Self {
        Self {
            id,
            intake: Rc::downgrade(intake),
            stage: Cell::new(Stage::BetweenRequests),
            in_request: Cell::new(false),
            progressed_at: Cell::new(Instant::now()),
            received: Cell::new(0),
            head: Cell::new(0),
            ahead: Cell::new(0),
            unsent: Cell::new(0),
            charge: RefCell::new(intake.charge()),
            charged: Cell::new(0),
            body: Cell::new(0),
            has_yielded: Cell::new(false),
            is_closing: Cell::new(false),
            yielded: Notify::new(),
            closed: Notify::new(),
            writable: Notify::new(),
            reader: RefCell::new(None),
        }
    }

    pub(super) fn id(&self) -> u64 {
        self.id
    }

    pub(super) fn stage(&self) -> Stage {
        self.stage.get()
    }

    pub(super) fn progressed_at(&self) -> Instant {
        self.progressed_at.get()
    }

    /// Bytes charged for the connection, with those of a body that arrives.
    pub(super) fn held_bytes(&self) -> usize {
        self.charged.get() + self.body.get()
    }

    /// Whether its memory is being reclaimed: its request is being refused, or it is being closed.
    pub(super) fn has_yielded(&self) -> bool {
        self.has_yielded.get() || self.is_closing.get()
    }

    pub(super) fn is_closing(&self) -> bool {
        self.is_closing.get()
    }

    /// Closes the connection.
    pub(super) fn close(&self) {
        self.is_closing.set(true);
        self.closed.notify_one();
    }

    /// Gives back the memory: refuses the request whose body arrives, and returns true, or else
    /// closes the connection.
    pub(super) fn yield_memory(&self) -> bool {
        let is_body = self.stage.get() == Stage::ReadingBody;
        match is_body {
            true => {
                self.has_yielded.set(true);
                self.yielded.notify_one();
            }
            false => self.close(),
        }
        is_body
    }

    /// Completes when the connection has to be closed.
    pub(super) async fn closed(&self) {
        self.closed.notified().await;
    }

    /// Completes when the request whose body arrives has to be refused.
    pub(super) async fn yielded(&self) {
        // A notification may be left over from an earlier request.
        while !self.has_yielded.get() {
            self.yielded.notified().await;
        }
    }

    /// Notes that a head has arrived, and waits until the client has read most of the earlier
    /// responses.
    pub(super) async fn begin(&self) {
        self.in_request.set(true);
        while self.unsent.get() > MAX_UNSENT {
            self.writable.notified().await;
        }
    }

    /// Notes that the body of the request follows.
    pub(super) fn begin_body(&self) {
        self.has_yielded.set(false);
        self.stage.set(Stage::ReadingBody);
    }

    /// Notes that a whole request has arrived.
    pub(super) fn begin_serving(&self) {
        self.body.set(0);
        self.stage.set(Stage::Serving);
    }

    /// Notes that the request has a response, with a body of `len` bytes, and whether the rest of the
    /// request's own body is still to be read.
    pub(super) fn end(&self, len: usize, is_rest_unread: bool) {
        self.body.set(0);
        self.head.set(0);
        self.in_request.set(false);
        self.unsent
            .set(self.unsent.get() + len + RESPONSE_HEAD_BYTES);
        self.progress();
        self.stage.set(match is_rest_unread {
            true => Stage::Discarding,
            false => Stage::BetweenRequests,
        });
        // The response is sent even if there is no room for it: its request may have run.
        self.recharge();
        self.resume_reading();
    }

    /// Takes memory for a body with a buffer of `capacity` bytes, beyond the allowance.
    pub(super) fn try_hold_body(&self, charge: &mut Charge, capacity: usize) -> bool {
        let bytes = capacity.saturating_sub(ALLOWANCE_BYTES);
        let Some(intake) = self.intake.upgrade() else {
            return true;
        };
        let has_room = intake.try_set(self.id, charge, bytes);
        self.body.set(charge.bytes());
        if !has_room {
            intake.note("body");
        }
        has_room
    }

    /// An empty charge for a body.
    pub(super) fn body_charge(&self) -> Option<Charge> {
        self.intake.upgrade().map(|intake| intake.charge())
    }

    /// Adjusts the charge to what the connection holds; false if there is not enough memory.
    fn recharge(&self) -> bool {
        // The library's buffer of a head grows by doubling.
        let held = (self.head.get() + self.ahead.get()) * 2 + self.unsent.get();
        let bytes = held.saturating_sub(ALLOWANCE_BYTES);
        if bytes == self.charged.get() {
            return true;
        }
        let Some(intake) = self.intake.upgrade() else {
            return true;
        };
        let mut charge = self.charge.borrow_mut();
        let has_room = intake.try_set(self.id, &mut charge, bytes);
        if !has_room {
            charge.set(bytes);
        }
        self.charged.set(bytes);
        has_room
    }

    fn progress(&self) {
        self.received.set(0);
        self.progressed_at.set(Instant::now());
    }

    /// Notes bytes that were read; false if there is no memory for them.
    fn note_read(&self, len: usize) -> bool {
        self.received.set(self.received.get() + len);
        if self.received.get() >= PROGRESS_BYTES {
            self.progress();
        }
        match (self.stage.get(), self.in_request.get()) {
            (Stage::ReadingBody | Stage::Discarding, _) => return true,
            (_, true) => self.ahead.set(self.ahead.get() + len),
            (_, false) => self.head.set(self.head.get() + self.ahead.take() + len),
        }
        let has_room = self.recharge();
        if let (false, Some(intake)) = (has_room, self.intake.upgrade()) {
            intake.note("connection_memory");
        }
        has_room
    }

    fn note_written(&self, len: usize, unsent: usize) {
        if len > 0 {
            self.progress();
        }
        self.unsent.set(unsent);
        self.recharge();
        if unsent <= MAX_UNSENT {
            self.writable.notify_one();
            self.resume_reading();
        }
    }

    fn pauses_reading(&self) -> bool {
        let is_body = matches!(self.stage.get(), Stage::ReadingBody | Stage::Discarding);
        let is_far_ahead = self.ahead.get() >= HEAD_STEP;
        (self.in_request.get() && !is_body && is_far_ahead) || self.unsent.get() > MAX_UNSENT
    }

    /// Bytes to read before the library decodes them.
    fn step(&self) -> usize {
        match self.stage.get() {
            Stage::ReadingBody | Stage::Discarding => BODY_STEP,
            Stage::BetweenRequests | Stage::Serving => HEAD_STEP,
        }
    }

    fn resume_reading(&self) {
        if let Some(reader) = self.reader.take() {
            reader.wake();
        }
    }
}

/// The socket of a connection.
pub(super) struct Socket {
    stream: TcpStream,
    connection: Rc<Connection>,
    /// Bytes read since the library last got to decode.
    in_step: usize,
}

impl Socket {
    pub(super) fn new(stream: TcpStream, connection: Rc<Connection>) -> Self {
        Self {
            stream,
            connection,
            in_step: 0,
        }
    }

    pub(super) fn connection(&self) -> &Rc<Connection> {
        &self.connection
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = &mut *self;
        if this.connection.pauses_reading() {
            this.connection.reader.replace(Some(cx.waker().clone()));
            return Poll::Pending;
        }
        let step = this.connection.step();
        if this.in_step >= step {
            this.in_step = 0;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let mut bytes = [0; BODY_STEP];
        let len = buf.remaining().min(step - this.in_step);
        let mut read = ReadBuf::new(&mut bytes[..len]);
        if Pin::new(&mut this.stream)
            .poll_read(cx, &mut read)?
            .is_pending()
        {
            this.in_step = 0;
            return Poll::Pending;
        }
        let read = read.filled();
        buf.put_slice(read);
        this.in_step += read.len();
        match this.connection.note_read(read.len()) {
            true => Poll::Ready(Ok(())),
            false => Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into())),
        }
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        match &written {
            Poll::Ready(Ok(len)) => self.connection.note_written(*len, buf.len() - len),
            Poll::Pending => self.connection.note_written(0, buf.len()),
            Poll::Ready(Err(_)) => {}
        }
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
