//! Server for other daemons' calls, on the daemon's own thread.

use super::{
    client::MAX_FRAME_BYTES,
    wire::{PeerReply, PeerRequest, Stamped},
};
use crate::daemon::Cx;
use actix_rt::net::TcpListener;
use futures::StreamExt;
use std::rc::Rc;
use tarpc::{
    context,
    server::{BaseChannel, Channel},
    tokio_serde::formats::Bincode,
    tokio_util::codec::{Decoder, LengthDelimitedCodec},
};

/// The service between daemons: a single call whose request and reply are enums.
#[tarpc::service]
pub trait PeerService {
    /// Handles one request of another daemon.
    async fn call(req: Stamped<PeerRequest>) -> Stamped<PeerReply>;
}

#[derive(Clone)]
struct Server {
    cx: Cx,
}

impl PeerService for Server {
    async fn call(self, _: context::Context, req: Stamped<PeerRequest>) -> Stamped<PeerReply> {
        self.cx.timeline.observe(req.stamp);
        let value = crate::daemon::peers::answer(&self.cx, req.value).await;
        Stamped {
            stamp: self.cx.timeline.stamp(),
            value,
        }
    }
}

/// Accepts other daemons' connections on `listener` for as long as the returned future is polled.
pub async fn serve(cx: Cx, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(std::time::Duration::from_millis(10)).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let mut codec = LengthDelimitedCodec::new();
        codec.set_max_frame_length(MAX_FRAME_BYTES);
        let framed = codec.framed(stream);
        let transport = tarpc::serde_transport::new(framed, Bincode::default());
        let server = Server { cx: Rc::clone(&cx) };
        let calls = BaseChannel::with_defaults(transport).execute(server.serve());
        actix_rt::spawn(calls.for_each(|call| async move {
            actix_rt::spawn(call);
        }));
    }
}
